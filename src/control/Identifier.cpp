#include "control/Identifier.h"

#include <sodium.h>

namespace almondpier {

uint64_t generateIdentifier() {
  uint64_t Number = 0;
  while (Number == 0)
    randombytes_buf(&Number, sizeof(Number));
  return Number;
}

} // namespace almondpier
