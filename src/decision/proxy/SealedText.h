/// \file
/// Authenticated text for tokens that callers carry.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace almondpier {

/// Derives the key of one kind of token from the fleet secret.
std::string deriveTokenKey(std::string_view FleetSecret,
                           std::string_view Purpose);
/// URL-safe text of Payload and its keyed hash.
std::string sealText(std::string_view Key, std::string_view Payload);
/// Returns the payload, or nothing when the text is damaged or was sealed with
/// another key.
std::optional<std::string> openText(std::string_view Key,
                                    std::string_view Text);

} // namespace almondpier
