#include "almondpier/Messages.h"

#include "messages/Codec.h"

#include <algorithm>

namespace almondpier {

uint64_t digestOf(const std::vector<ControlMember> &Members) {
  // Hosts with different standard libraries only send the list more often.
  uint64_t Hash = std::hash<std::string>{}(encodeValue(Members));
  return std::max<uint64_t>(Hash, 1);
}

std::string encode(const Message &Message) {
  std::string Bytes = encodeValue(Message);
  if (Bytes.size() > kMaxMessageBytes)
    throw Error(ErrorKind::Internal, "a message of " +
                                         std::to_string(Bytes.size()) +
                                         " bytes exceeds the limit of " +
                                         std::to_string(kMaxMessageBytes));
  return Bytes;
}

Message decodeMessage(std::string_view Bytes) {
  if (Bytes.size() > kMaxMessageBytes)
    throw DecodeError("the message exceeds the size limit");
  return decodeValue<Message>(Bytes);
}

std::string encode(const Change &Change) { return encodeValue(Change); }

Change decodeChange(std::string_view Bytes) {
  return decodeValue<Change>(Bytes);
}

std::string encode(const Configuration &Configuration,
                   ConfigurationEncoding Encoding) {
  if (Encoding == ConfigurationEncoding::WithoutExtension)
    return encodeValue(Configuration);
  return encodeWithTail(Configuration, Configuration.extension());
}

Configuration decodeConfiguration(std::string_view Bytes) {
  auto [Result, Extension] =
      decodeWithTail<Configuration, ConfigurationExtension>(Bytes);
  Result.setExtension(std::move(Extension));
  return std::move(Result);
}

} // namespace almondpier
