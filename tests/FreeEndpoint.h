/// \file
/// Free ports on loopback for tests with real sockets.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// Returns a loopback endpoint that was free a moment ago.
Endpoint freeEndpoint();

} // namespace almondpier
