/// \file
/// Translates command words into changes.
#pragma once

#include "almondpier/Operations.h"

#include <nlohmann/json.hpp>

namespace almondpier {

/// Thrown for a command that does not exist or lacks something.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct ChangeDraft {
  nlohmann::json m_Body;
  /// Set when a key is issued.
  std::string m_KeyId;
  std::string m_Key;
};

/// 32 random bytes in URL-safe base64.
std::string drawKey();
std::string drawChangeId();
std::string hexDigestOf(const std::string &Key);

/// Throws UsageError when the words are no change; asks no control host.
void checkWords(const std::vector<std::string> &Words,
                const OperationsOptions &Options);
/// Whether the change is made out of the configuration in force.
bool needsCurrentPreset(const std::vector<std::string> &Words);
/// Throws UsageError.
ChangeDraft draftChange(const std::vector<std::string> &Words,
                        const OperationsOptions &Options,
                        const nlohmann::json &Configuration);

} // namespace almondpier
