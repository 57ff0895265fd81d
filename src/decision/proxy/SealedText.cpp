#include "decision/proxy/SealedText.h"

#include "almondpier/Model.h"

namespace almondpier {

// 128 bits of a keyed hash cannot be guessed, and keep the tokens short.
static constexpr size_t kAuthenticationCodeBytes = 16;
// No token that this program seals is longer.
static constexpr size_t kMaxTextBytes = 4'096;

static std::string authenticationCodeOf(std::string_view Key,
                                        std::string_view Payload) {
  std::array<uint8_t, 32> Code = keyedHash(Key, Payload);
  return std::string(reinterpret_cast<const char *>(Code.data()),
                     kAuthenticationCodeBytes);
}

std::string deriveTokenKey(std::string_view FleetSecret,
                           std::string_view Purpose) {
  std::array<uint8_t, 32> Key = keyedHash(FleetSecret, Purpose);
  return std::string(reinterpret_cast<const char *>(Key.data()), Key.size());
}

std::string sealText(std::string_view Key, std::string_view Payload) {
  std::string Bytes(Payload);
  Bytes += authenticationCodeOf(Key, Payload);
  return toBase64(Bytes);
}

std::optional<std::string> openText(std::string_view Key,
                                    std::string_view Text) {
  if (Text.empty() || Text.size() > kMaxTextBytes)
    return std::nullopt;
  std::optional<std::string> Bytes = fromBase64(Text);
  if (!Bytes || Bytes->size() < kAuthenticationCodeBytes)
    return std::nullopt;
  std::string_view Payload = std::string_view(*Bytes).substr(
      0, Bytes->size() - kAuthenticationCodeBytes);
  std::string_view Code = std::string_view(*Bytes).substr(Payload.size());
  if (!equalInConstantTime(Code, authenticationCodeOf(Key, Payload)))
    return std::nullopt;
  Bytes->resize(Payload.size());
  return Bytes;
}

} // namespace almondpier
