// Bytes from the network must give a message or DecodeError, never a crash,
// and a decoded message must encode to the same bytes.
#include "almondpier/Messages.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size);

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  std::string_view Bytes(reinterpret_cast<const char *>(Data), Size);
  try {
    almondpier::Message Decoded = almondpier::decodeMessage(Bytes);
    if (almondpier::decodeMessage(almondpier::encode(Decoded)) != Decoded)
      std::abort();
  } catch (const almondpier::DecodeError &) {
    return 0;
  }
  return 0;
}
