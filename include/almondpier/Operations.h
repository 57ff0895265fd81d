/// \file
/// Commands of the operators' command-line program.
#pragma once

#include "almondpier/Model.h"

#include <iosfwd>

namespace almondpier {

/// Exit codes of the command-line program.
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
  /// Identifier of the change, given to repeat an earlier attempt; chosen at
  /// random when empty.
  std::string m_ChangeId;
  /// Configuration version that the change is based on; the current version is
  /// read first when not set.
  std::optional<uint64_t> m_ExpectVersion;
  /// How long to look for a control host that answers as the leader.
  Duration m_LeaderTimeout = std::chrono::seconds(10);

  // Values for "presets define"; a value that is not set stays unchanged.
  std::optional<double> m_DefaultRate;
  std::optional<double> m_DefaultBurst;
  /// ORGANISATION=RATE:BURST, or ORGANISATION=none to remove the limit.
  std::vector<std::string> m_Limits;
  std::optional<uint32_t> m_MaxReadAgeMs;
  std::optional<uint32_t> m_DrainTimeoutMs;
  std::optional<std::string> m_Vote;

  // Range of entries for "audit".
  uint64_t m_After = 0;
  uint32_t m_Limit = 100;
};

/// Text that --help prints: every command, with examples.
std::string_view operationsUsage();

/// Runs one command, such as {"organisations", "create", "prairie"}. Writes the
/// result to Out. Writes errors, with how to correct them, to Errors.
OperationsExit runOperation(const std::vector<std::string> &Words,
                            const OperationsOptions &Options, std::ostream &Out,
                            std::ostream &Errors);

} // namespace almondpier
