/// \file
/// Free ports on loopback for tests with real sockets.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// Returns a loopback endpoint that was free a moment ago and that this process
/// has not been given before.
Endpoint freeEndpoint();

} // namespace almondpier
