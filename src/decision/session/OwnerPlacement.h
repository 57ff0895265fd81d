/// \file
/// Chooses the hosts that own database groups by what hosts can carry.
#pragma once

#include "decision/HostRanking.h"

namespace almondpier {

/// Hosts that may own a group in one zone, in order of preference. With three,
/// the loss of two hosts leaves one.
constexpr size_t kOwnerCandidates = 3;

/// A host that may own groups.
struct PlacementHost {
  HostName m_Name;
  AvailabilityZone m_Zone;
  HostCapacity m_Capacity;

  friend auto operator<=>(const PlacementHost &,
                          const PlacementHost &) = default;
};

/// Returns how many statements a second a host of this capacity can execute for
/// other hosts: the less of what its link and its processor can carry.
double statementsPerSecond(const HostCapacity &Capacity);

/// Candidates for the owner of one group in each zone; the first is preferred.
using ZoneCandidates = std::map<AvailabilityZone, std::vector<HostName>>;

/// Gives each group an owner in each zone that has hosts. In each zone the
/// groups are divided so that the number that a host owns is in proportion to
/// what it can carry; hosts that can carry a fraction of a group's share own
/// none while others have room. The result depends only on the sets of groups
/// and hosts, so all hosts compute the same one.
std::map<DatabaseName, ZoneCandidates>
placeOwners(const std::vector<DatabaseName> &Groups,
            const std::vector<PlacementHost> &Hosts);

} // namespace almondpier
