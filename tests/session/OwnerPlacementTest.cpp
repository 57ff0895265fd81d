#include "decision/session/OwnerPlacement.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

constexpr HostCapacity kNarrow{2'000, 120};
constexpr HostCapacity kWide{100'000, 320};

std::vector<PlacementHost> makeHosts(size_t Count, size_t Wide, size_t Zones) {
  std::vector<PlacementHost> Hosts;
  for (size_t Index = 0; Index < Count; ++Index)
    Hosts.push_back(PlacementHost{HostName{"h" + std::to_string(Index)},
                                  {"z" + std::to_string(Index % Zones)},
                                  Index < Wide ? kWide : kNarrow});
  return Hosts;
}

std::vector<DatabaseName> makeGroups(size_t Count) {
  std::vector<DatabaseName> Groups;
  for (size_t Index = 0; Index < Count; ++Index)
    Groups.push_back(DatabaseName{"g" + std::to_string(Index)});
  return Groups;
}

/// Groups that each host owns in its zone.
std::map<HostName, size_t>
ownedCounts(const std::map<DatabaseName, ZoneCandidates> &Placed) {
  std::map<HostName, size_t> Counts;
  for (const auto &[Group, Zones] : Placed)
    for (const auto &[Zone, Candidates] : Zones)
      ++Counts[Candidates.front()];
  return Counts;
}

} // namespace

TEST_CASE("owner placement: few wide hosts own all groups that they can "
          "carry") {
  // Guards against choosing owners by names alone: hosts with links of 2 Mbit/s
  // would own most groups, and each statement passes the link twice.
  std::map<HostName, size_t> Counts =
      ownedCounts(placeOwners(makeGroups(8), makeHosts(85, 6, 3)));
  CHECK(Counts.size() == 6);
  for (const auto &[Host, Count] : Counts)
    CHECK(Count == 4);
}

TEST_CASE("owner placement: wide hosts that cannot carry all groups share them "
          "with the others") {
  // 300 hosts of which one in each zone is wide: with all 20 groups of its zone
  // it answered later than callers wait.
  std::map<DatabaseName, ZoneCandidates> Placed =
      placeOwners(makeGroups(20), makeHosts(300, 5, 5));
  std::map<HostName, size_t> Counts = ownedCounts(Placed);
  for (const auto &[Host, Count] : Counts) {
    bool IsWide = Host.m_Value.size() == 2 && Host.m_Value[1] < '5';
    CHECK(Count <= (IsWide ? 11 : 1));
  }
  CHECK(Counts.size() > 5);
}

TEST_CASE("owner placement: candidates are distinct hosts of the zone and the "
          "same for any order of the input") {
  std::vector<PlacementHost> Hosts = makeHosts(30, 4, 3);
  std::vector<DatabaseName> Groups = makeGroups(9);
  std::map<DatabaseName, ZoneCandidates> Placed = placeOwners(Groups, Hosts);
  std::map<HostName, AvailabilityZone> ZoneOf;
  for (const PlacementHost &Host : Hosts)
    ZoneOf[Host.m_Name] = Host.m_Zone;
  for (const auto &[Group, Zones] : Placed) {
    CHECK(Zones.size() == 3);
    for (const auto &[Zone, Candidates] : Zones) {
      CHECK(std::set<HostName>(Candidates.begin(), Candidates.end()).size() ==
            kOwnerCandidates);
      for (const HostName &Candidate : Candidates)
        CHECK(ZoneOf.at(Candidate) == Zone);
    }
  }
  std::reverse(Hosts.begin(), Hosts.end());
  std::reverse(Groups.begin(), Groups.end());
  CHECK(placeOwners(Groups, Hosts) == Placed);
}

TEST_CASE("owner placement: a host that publishes nothing counts as a small "
          "one") {
  CHECK(statementsPerSecond(HostCapacity()) > statementsPerSecond(kNarrow));
  CHECK(statementsPerSecond(HostCapacity()) < statementsPerSecond(kWide));
  // The processor bounds what a host with a wide link can carry.
  CHECK(statementsPerSecond(HostCapacity{1'000'000, 100}) ==
        statementsPerSecond(HostCapacity{2'000'000, 100}));
}

TEST_CASE("owner placement: a zone with a single host has one candidate") {
  std::map<DatabaseName, ZoneCandidates> Placed =
      placeOwners(makeGroups(2), makeHosts(1, 0, 1));
  CHECK(Placed.size() == 2);
  for (const auto &[Group, Zones] : Placed)
    CHECK(Zones.at(AvailabilityZone{"z0"}) ==
          std::vector<HostName>{HostName{"h0"}});
}
