#include "storage/Record.h"

#include <boost/crc.hpp>

#include <cstring>

namespace almondpier {

namespace {

using Crc = boost::crc_32_type;

/// Checksum of Bytes in its place. Kind keeps headers and payloads apart.
uint32_t checksum(const RecordContext &Context, uint64_t Offset, uint64_t Kind,
                  std::string_view Bytes) {
  std::array<uint64_t, 4> Place{Context.m_Member.m_Value, Context.m_FileNumber,
                                Offset, Kind};
  Crc Sum;
  Sum.process_bytes(Place.data(), sizeof(Place));
  Sum.process_bytes(Bytes.data(), Bytes.size());
  return Sum.checksum();
}

constexpr uint64_t kHeaderKind = 1;
constexpr uint64_t kPayloadKind = 2;

struct Header {
  uint32_t m_Length = 0;
  uint32_t m_PayloadChecksum = 0;
  uint32_t m_HeaderChecksum = 0;
};
static_assert(sizeof(Header) == kRecordHeaderBytes);

uint32_t headerChecksum(const RecordContext &Context, uint64_t Offset,
                        const Header &Value) {
  std::array<char, 2 * sizeof(uint32_t)> Bytes{};
  std::memcpy(Bytes.data(), &Value, Bytes.size());
  return checksum(Context, Offset, kHeaderKind, {Bytes.data(), Bytes.size()});
}

/// Returns the header at Offset, unless it is incomplete or damaged.
std::optional<Header> readHeader(const RecordContext &Context,
                                 std::string_view Content, uint64_t Offset) {
  if (Content.size() - Offset < kRecordHeaderBytes)
    return std::nullopt;
  Header Value;
  std::memcpy(&Value, Content.data() + Offset, sizeof(Value));
  if (headerChecksum(Context, Offset, Value) != Value.m_HeaderChecksum)
    return std::nullopt;
  return Value;
}

bool hasValidRecordAfter(const RecordContext &Context, std::string_view Content,
                         uint64_t Offset) {
  for (++Offset; Offset + kRecordHeaderBytes <= Content.size(); ++Offset)
    if (readHeader(Context, Content, Offset))
      return true;
  return false;
}

} // namespace

std::string encodeRecord(const RecordContext &Context, uint64_t Offset,
                         std::string_view Payload) {
  Header Value;
  Value.m_Length = static_cast<uint32_t>(Payload.size());
  Value.m_PayloadChecksum = checksum(Context, Offset, kPayloadKind, Payload);
  Value.m_HeaderChecksum = headerChecksum(Context, Offset, Value);
  std::string Bytes(kRecordHeaderBytes, '\0');
  std::memcpy(Bytes.data(), &Value, sizeof(Value));
  return Bytes.append(Payload);
}

RecordView readRecord(const RecordContext &Context, std::string_view Content,
                      uint64_t Offset) {
  if (Offset == Content.size())
    return {RecordState::End, {}, Offset};
  std::optional<Header> Found = readHeader(Context, Content, Offset);
  if (!Found) {
    bool IsBefore = hasValidRecordAfter(Context, Content, Offset);
    return {
        IsBefore ? RecordState::Damaged : RecordState::TornTail, {}, Offset};
  }
  uint64_t End = Offset + kRecordHeaderBytes + Found->m_Length;
  if (End > Content.size())
    return {RecordState::TornTail, {}, Offset};
  std::string_view Payload =
      Content.substr(Offset + kRecordHeaderBytes, Found->m_Length);
  if (checksum(Context, Offset, kPayloadKind, Payload) ==
      Found->m_PayloadChecksum)
    return {RecordState::Valid, Payload, End};
  bool IsLast = End == Content.size();
  return {IsLast ? RecordState::TornTail : RecordState::Damaged, {}, Offset};
}

} // namespace almondpier
