#include "almondpier/Model.h"

#include <algorithm>
#include <charconv>
#include <sodium.h>

namespace almondpier {

static bool isNameCharacter(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '.' ||
         Character == '_' || Character == '-';
}

bool isValidName(std::string_view Text) {
  return !Text.empty() && Text.size() <= kMaxNameBytes &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

static std::optional<uint16_t> parseNumber(std::string_view Text,
                                           uint16_t Max) {
  uint16_t Value = 0;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Result.ec != std::errc() ||
      Result.ptr != Text.data() + Text.size() || Value > Max)
    return std::nullopt;
  return Value;
}

static bool isIpv4Address(std::string_view Text) {
  constexpr uint16_t kMaxOctet = 255;
  int Octets = 0;
  while (true) {
    size_t Dot = Text.find('.');
    std::string_view Octet = Text.substr(0, Dot);
    // Sockets do not accept an octet with a leading zero, which some programs
    // read as an octal number.
    bool HasLeadingZero = Octet.size() > 1 && Octet.front() == '0';
    if (HasLeadingZero || !parseNumber(Octet, kMaxOctet))
      return false;
    ++Octets;
    if (Dot == std::string_view::npos)
      return Octets == 4;
    Text.remove_prefix(Dot + 1);
  }
}

Endpoint parseEndpoint(std::string_view Text) {
  constexpr uint16_t kMaxPort = 65'535;
  size_t Colon = Text.rfind(':');
  std::string_view Address = Text.substr(0, Colon);
  std::optional<uint16_t> Port;
  if (Colon != std::string_view::npos)
    Port = parseNumber(Text.substr(Colon + 1), kMaxPort);
  if (!Port || *Port == 0 || !isIpv4Address(Address))
    throw std::invalid_argument("'" + std::string(Text.substr(0, 100)) +
                                "' is not an endpoint; write ADDRESS:PORT with "
                                "an IPv4 address, such as 127.0.0.1:7000");
  return Endpoint{std::string(Address), *Port};
}

std::string formatEndpoint(const Endpoint &Value) {
  return Value.m_Address + ":" + std::to_string(Value.m_Port);
}

void TermHistory::add(TermStart Start) {
  if (m_Starts.empty() || Start.m_Term > m_Starts.back().m_Term)
    m_Starts.push_back(Start);
}

bool TermHistory::covers(Position State, Position Wanted) const {
  if (Wanted == Position{})
    return true;
  if (State.m_Term < Wanted.m_Term || State.m_Index < Wanted.m_Index)
    return false;
  if (State.m_Term == Wanted.m_Term)
    return true;
  auto Next = std::upper_bound(m_Starts.begin(), m_Starts.end(), Wanted.m_Term,
                               [](uint64_t Term, const TermStart &Start) {
                                 return Term < Start.m_Term;
                               });
  // Every later term up to that of State must have begun at or after Wanted. A
  // term that was begun but has no published start can have put an entry at
  // Wanted.m_Index, so a gap proves nothing.
  uint64_t Expected = Wanted.m_Term + 1;
  for (; Next != m_Starts.end() && Next->m_Term <= State.m_Term; ++Next) {
    if (Next->m_Term != Expected || Next->m_StartIndex < Wanted.m_Index)
      return false;
    ++Expected;
  }
  return Expected == State.m_Term + 1;
}

static void initializeSodium() {
  if (sodium_init() < 0)
    throw Error(ErrorKind::Internal, "libsodium could not be initialised");
}

KeyDigest digestOfKey(std::string_view Key) {
  initializeSodium();
  KeyDigest Digest;
  crypto_generichash(Digest.m_Bytes.data(), Digest.m_Bytes.size(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size(), nullptr, 0);
  return Digest;
}

std::array<uint8_t, 32> keyedHash(std::string_view Secret,
                                  std::string_view Data) {
  initializeSodium();
  std::array<uint8_t, 32> Hash{};
  int Result = crypto_generichash(
      Hash.data(), Hash.size(),
      reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
      reinterpret_cast<const unsigned char *>(Secret.data()), Secret.size());
  if (Result != 0)
    throw Error(ErrorKind::Internal, "a secret has 16 to 64 bytes");
  return Hash;
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         sodium_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string toHex(std::string_view Bytes) {
  std::string Text(Bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(),
                 reinterpret_cast<const unsigned char *>(Bytes.data()),
                 Bytes.size());
  Text.pop_back();
  return Text;
}

std::string toBase64(std::string_view Bytes) {
  std::string Text(sodium_base64_encoded_len(
                       Bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING),
                   '\0');
  sodium_bin2base64(Text.data(), Text.size(),
                    reinterpret_cast<const unsigned char *>(Bytes.data()),
                    Bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  Text.pop_back();
  return Text;
}

std::optional<std::string> fromBase64(std::string_view Text) {
  std::string Bytes(Text.size(), '\0');
  size_t Length = 0;
  int Result = sodium_base642bin(
      reinterpret_cast<unsigned char *>(Bytes.data()), Bytes.size(),
      Text.data(), Text.size(), nullptr, &Length, nullptr,
      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  if (Result != 0)
    return std::nullopt;
  Bytes.resize(Length);
  return Bytes;
}

std::string_view nameOf(PresetKind Kind) {
  switch (Kind) {
  case PresetKind::Ordinary:
    return "ordinary";
  case PresetKind::Peak:
    return "peak";
  case PresetKind::Maintenance:
    return "maintenance";
  }
  return "unknown";
}

std::optional<PresetKind> parsePresetKind(std::string_view Text) {
  for (PresetKind Kind :
       {PresetKind::Ordinary, PresetKind::Peak, PresetKind::Maintenance})
    if (Text == nameOf(Kind))
      return Kind;
  return std::nullopt;
}

Limit Preset::limitOf(const OrganisationName &Organisation) const {
  auto Found = m_Limits.find(Organisation);
  return Found == m_Limits.end() ? m_DefaultLimit : Found->second;
}

} // namespace almondpier
