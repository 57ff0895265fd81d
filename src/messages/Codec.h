/// \file
/// A pair of cereal archives for compact little-endian binary. Writing appends
/// to a string; reading bounds every length by the input that remains. Included
/// by sources only.
#pragma once

#include "almondpier/Messages.h"

#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstring>

namespace almondpier {

static_assert(std::endian::native == std::endian::little,
              "the encoding is the memory layout of little-endian machines");

class BoundedOutputArchive
    : public cereal::OutputArchive<BoundedOutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit BoundedOutputArchive(std::string &Target)
      : OutputArchive<BoundedOutputArchive, cereal::AllowEmptyClassElision>(
            this),
        m_Target(Target) {}

  void saveBinary(const void *Data, size_t Size) {
    m_Target.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &m_Target;
};

/// cereal resizes containers before it reads their elements; this archive
/// refuses counts that the remaining input cannot hold, so a corrupted length
/// cannot exhaust memory.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::string_view Source)
      : InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
        m_Source(Source) {}

  void loadBinary(void *Data, size_t Size) {
    if (Size > m_Source.size())
      throw DecodeError("the message ends early");
    if (Size > 0)
      std::memcpy(Data, m_Source.data(), Size);
    m_Source.remove_prefix(Size);
  }
  size_t remaining() const { return m_Source.size(); }

private:
  std::string_view m_Source;
};

template <typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>>
CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &Ar, const Value &Source) {
  Ar.saveBinary(&Source, sizeof(Source));
}

template <typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar, Value &Target) {
  if constexpr (std::is_same_v<Value, bool>) {
    uint8_t Byte = 0;
    Ar.loadBinary(&Byte, sizeof(Byte));
    if (Byte > 1)
      throw DecodeError("a boolean is neither 0 nor 1");
    Target = Byte == 1;
  } else {
    Ar.loadBinary(&Target, sizeof(Value));
  }
}

template <typename Archive, typename Value>
CEREAL_ARCHIVE_RESTRICT(BoundedInputArchive, BoundedOutputArchive)
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &Ar,
                               cereal::NameValuePair<Value> &Pair) {
  Ar(Pair.value);
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &Ar,
                               const cereal::SizeTag<Value> &Tag) {
  Ar(static_cast<uint32_t>(Tag.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::SizeTag<Value> &Tag) {
  uint32_t Size = 0;
  Ar(Size);
  // Every element takes at least one byte.
  if (Size > Ar.remaining())
    throw DecodeError("a length exceeds the message");
  Tag.size = Size;
}

template <typename Value>
void CEREAL_SAVE_FUNCTION_NAME(BoundedOutputArchive &Ar,
                               const cereal::BinaryData<Value> &Data) {
  Ar.saveBinary(Data.data, static_cast<size_t>(Data.size));
}

template <typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::BinaryData<Value> &Data) {
  Ar.loadBinary(Data.data, static_cast<size_t>(Data.size));
}

} // namespace almondpier

CEREAL_SETUP_ARCHIVE_TRAITS(almondpier::BoundedInputArchive,
                            almondpier::BoundedOutputArchive)

namespace almondpier {

template <typename Value> std::string encodeValue(const Value &Source) {
  std::string Bytes;
  BoundedOutputArchive Archive(Bytes);
  Archive(Source);
  return Bytes;
}

/// Throws DecodeError unless Bytes is exactly one encoded Value.
template <typename Value> Value decodeValue(std::string_view Bytes) {
  BoundedInputArchive Archive(Bytes);
  Value Target;
  try {
    Archive(Target);
  } catch (const cereal::Exception &Failure) {
    throw DecodeError(Failure.what());
  }
  if (Archive.remaining() != 0)
    throw DecodeError("bytes follow the end of the message");
  return Target;
}

/// Encodes Source, followed by Tail unless that is empty.
template <typename Value, typename TailValue>
std::string encodeWithTail(const Value &Source, const TailValue &Tail) {
  std::string Bytes = encodeValue(Source);
  return Tail.empty() ? Bytes : Bytes + encodeValue(Tail);
}

/// Decodes what encodeWithTail() wrote. Throws DecodeError.
template <typename Value, typename TailValue>
std::pair<Value, TailValue> decodeWithTail(std::string_view Bytes) {
  BoundedInputArchive Archive(Bytes);
  std::pair<Value, TailValue> Result;
  try {
    Archive(Result.first);
    if (Archive.remaining() != 0)
      Archive(Result.second);
  } catch (const cereal::Exception &Failure) {
    throw DecodeError(Failure.what());
  }
  if (Archive.remaining() != 0)
    throw DecodeError("bytes follow the end of the message");
  return Result;
}

} // namespace almondpier
