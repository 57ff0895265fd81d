/// \file
/// The operators' command line.
#pragma once

#include "almondpier/Model.h"

#include <iosfwd>

namespace almondpier {

/// Exit codes of the program.
enum class OperationsExit : int {
  Done = 0,
  Refused = 1,
  Usage = 2,
  NoLeader = 3,
  VersionConflict = 4,
};

struct OperationsOptions {
  /// Operations endpoints of the control hosts.
  std::vector<Endpoint> m_Control;
  std::string m_OperatorKey;
  /// Prints JSON instead of text.
  bool m_IsJson = false;
  /// Identifier of a change that is sent again; drawn at random when empty.
  std::string m_ChangeId;
  /// Configuration version that a change expects; read first when not set.
  std::optional<uint64_t> m_ExpectVersion;
  /// How long a leader is searched for.
  Duration m_LeaderTimeout = std::chrono::seconds(10);

  // Limits for "presets define"; what is not set keeps its value.
  std::optional<double> m_DefaultRate;
  std::optional<double> m_DefaultBurst;
  /// ORGANISATION=RATE:BURST, or ORGANISATION=none to remove the limit.
  std::vector<std::string> m_Limits;
  std::optional<uint32_t> m_MaxReadAgeMs;
  std::optional<uint32_t> m_DrainTimeoutMs;
  std::optional<std::string> m_Vote;

  // Range of "audit".
  uint64_t m_After = 0;
  uint32_t m_Limit = 100;
};

/// What --help prints: every command, with examples.
std::string_view operationsUsage();

/// Runs one command, such as {"organisations", "create", "prairie"}. Results go
/// to Out, errors with their remedy to Errors.
OperationsExit runOperation(const std::vector<std::string> &Words,
                            const OperationsOptions &Options, std::ostream &Out,
                            std::ostream &Errors);

} // namespace almondpier
