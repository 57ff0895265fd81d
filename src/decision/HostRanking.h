/// \file
/// Rendezvous ranking of hosts for each database. Proxies and control hosts
/// must agree on it, so both use this code.
#pragma once

#include "almondpier/Messages.h"

#include <limits>

namespace almondpier {

/// The first hosts of the ranking observe the database; the first owns it.
constexpr size_t kObserverCount = 3;

struct RankedHost {
  HostName m_Name;
  AvailabilityZone m_Zone;

  friend auto operator<=>(const RankedHost &, const RankedHost &) = default;
};

/// Returns the hash of a name, the same on every host.
uint64_t hashOfName(std::string_view Name);
/// Returns the hash by which hosts are ranked for a database, from the hashes
/// of their names: uniformly distributed, and the same on every host.
uint64_t rendezvousHash(uint64_t DatabaseHash, uint64_t HostHash);

/// Returns the hosts that can own and observe databases: live, ready and
/// registered.
std::vector<RankedHost> candidateHosts(const Configuration &Configuration,
                                       const LiveHosts &Live);

/// Ranks hosts by a hash of the names of database and host; the first
/// kObserverCount are in different availability zones where possible. Returns
/// at most Count names. The order of Hosts does not matter.
std::vector<HostName>
rankHosts(const DatabaseName &Database, const std::vector<RankedHost> &Hosts,
          size_t Count = std::numeric_limits<size_t>::max());

} // namespace almondpier
