/// \file
/// Identifiers of members and clusters.
#pragma once

#include <cstdint>

namespace almondpier {

/// Random and never 0.
uint64_t generateIdentifier();

} // namespace almondpier
