#include "decision/session/OwnerPlacement.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Bytes that a statement and its reply take on the link of an owner in each
/// direction: from the entry host and to the instance, and back.
constexpr double kBytesPerStatement = 2'000;
/// Processor time of an owner for one statement, in seconds of a core.
constexpr double kProcessorSecondsPerStatement = 250e-6;
/// Capacity of a host that publishes none, of an earlier build for example.
constexpr HostCapacity kDefaultCapacity{10'000, 100};
constexpr double kBytesPerKbit = 125;
constexpr double kPermille = 1'000;

struct Load {
  const PlacementHost *m_Host = nullptr;
  uint64_t m_HostHash = 0;
  double m_Limit = 0;
  double m_Groups = 0;

  /// Share of the limit that is in use with one more group.
  double nextUse() const { return (m_Groups + 1) / m_Limit; }
};

/// Returns the host that has most room for the group. Equal hosts are chosen by
/// hash, so that groups spread over them.
Load &leastLoaded(uint64_t GroupHash, std::vector<Load> &Loads) {
  return *std::min_element(Loads.begin(), Loads.end(),
                           [&](const Load &Left, const Load &Right) {
                             if (Left.nextUse() != Right.nextUse())
                               return Left.nextUse() < Right.nextUse();
                             return rendezvousHash(GroupHash, Left.m_HostHash) >
                                    rendezvousHash(GroupHash, Right.m_HostHash);
                           });
}

/// Returns Owner, followed by the hosts that take over when it is lost: those
/// that can carry most, equal ones in the order of their hashes.
std::vector<HostName> withSuccessors(uint64_t GroupHash, const HostName &Owner,
                                     std::vector<Load> Loads) {
  std::erase_if(Loads, [&](const Load &Candidate) {
    return Candidate.m_Host->m_Name == Owner;
  });
  size_t Count = std::min(kOwnerCandidates - 1, Loads.size());
  std::partial_sort(Loads.begin(),
                    Loads.begin() + static_cast<ptrdiff_t>(Count), Loads.end(),
                    [&](const Load &Left, const Load &Right) {
                      if (Left.m_Limit != Right.m_Limit)
                        return Left.m_Limit > Right.m_Limit;
                      return rendezvousHash(GroupHash, Left.m_HostHash) >
                             rendezvousHash(GroupHash, Right.m_HostHash);
                    });
  std::vector<HostName> Result{Owner};
  for (size_t Index = 0; Index < Count; ++Index)
    Result.push_back(Loads[Index].m_Host->m_Name);
  return Result;
}

} // namespace

double statementsPerSecond(const HostCapacity &Capacity) {
  uint32_t Link = Capacity.m_LinkKbitPerSecond != 0
                      ? Capacity.m_LinkKbitPerSecond
                      : kDefaultCapacity.m_LinkKbitPerSecond;
  uint32_t Processor = Capacity.m_ProcessorPermille != 0
                           ? Capacity.m_ProcessorPermille
                           : kDefaultCapacity.m_ProcessorPermille;
  return std::min(Link * kBytesPerKbit / kBytesPerStatement,
                  Processor / kPermille / kProcessorSecondsPerStatement);
}

std::map<DatabaseName, ZoneCandidates>
placeOwners(const std::vector<DatabaseName> &Groups,
            const std::vector<PlacementHost> &Hosts) {
  std::map<AvailabilityZone, std::vector<Load>> Zones;
  for (const PlacementHost &Host : Hosts)
    Zones[Host.m_Zone].push_back(Load{&Host, hashOfName(Host.m_Name.m_Value),
                                      statementsPerSecond(Host.m_Capacity), 0});
  std::vector<DatabaseName> Ordered = Groups;
  std::sort(Ordered.begin(), Ordered.end());
  std::map<DatabaseName, ZoneCandidates> Result;
  for (auto &[Zone, Loads] : Zones)
    for (const DatabaseName &Group : Ordered) {
      uint64_t GroupHash = hashOfName(Group.m_Value);
      Load &Owner = leastLoaded(GroupHash, Loads);
      Owner.m_Groups += 1;
      Result[Group][Zone] =
          withSuccessors(GroupHash, Owner.m_Host->m_Name, Loads);
    }
  return Result;
}

} // namespace almondpier
