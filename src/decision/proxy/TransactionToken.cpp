#include "decision/proxy/TransactionToken.h"

#include "decision/proxy/SealedText.h"
#include "messages/Codec.h"

namespace almondpier {

TransactionTokenCodec::TransactionTokenCodec(std::string_view FleetSecret)
    : m_Key(deriveTokenKey(FleetSecret, "transaction token")) {}

std::string
TransactionTokenCodec::seal(const TransactionBinding &Binding) const {
  return sealText(m_Key, encodeValue(Binding));
}

std::optional<TransactionBinding>
TransactionTokenCodec::open(std::string_view Token) const {
  std::optional<std::string> Payload = openText(m_Key, Token);
  if (!Payload)
    return std::nullopt;
  try {
    return decodeValue<TransactionBinding>(*Payload);
  } catch (const DecodeError &) {
    // Sealed by another version of this program.
    return std::nullopt;
  }
}

} // namespace almondpier
