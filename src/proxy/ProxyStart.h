/// \file
/// Start options of a proxy core.
#pragma once

#include "decision/proxy/ProxyCore.h"

namespace almondpier {

/// Options with a new incarnation and seed for a process that starts now.
ProxyOptions makeProxyOptions(const HostRecord &Host,
                              const std::string &FleetSecret,
                              const std::vector<Endpoint> &Control);

} // namespace almondpier
