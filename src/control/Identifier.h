/// \file
/// Random identifiers of members and clusters.
#pragma once

#include <cstdint>

namespace almondpier {

/// Returns a random number other than 0.
uint64_t generateIdentifier();

} // namespace almondpier
