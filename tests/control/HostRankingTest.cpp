#include "decision/HostRanking.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondpier;

namespace {

std::vector<RankedHost> makeHosts(int Count, int Zones) {
  std::vector<RankedHost> Hosts;
  Hosts.reserve(static_cast<size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Hosts.push_back(RankedHost{{"host-" + std::to_string(Index)},
                               {"zone-" + std::to_string(Index % Zones)}});
  return Hosts;
}

} // namespace

TEST_CASE("observers of a database are in different zones, so that the loss of "
          "a zone leaves a majority of them") {
  std::vector<RankedHost> Hosts = makeHosts(11, 3);
  for (int Index = 0; Index < 50; ++Index) {
    std::vector<HostName> Ranked =
        rankHosts({"db-" + std::to_string(Index)}, Hosts);
    REQUIRE(Ranked.size() == 11);
    std::set<AvailabilityZone> Zones;
    for (size_t Rank = 0; Rank < kObserverCount; ++Rank)
      for (const RankedHost &Host : Hosts)
        if (Host.m_Name == Ranked[Rank])
          Zones.insert(Host.m_Zone);
    CHECK(Zones.size() == kObserverCount);
  }
}

TEST_CASE("the ranking depends neither on the order of the hosts nor on a host "
          "that ranks last, so that proxies and control agree") {
  std::vector<RankedHost> Hosts = makeHosts(11, 3);
  std::vector<HostName> Ranked = rankHosts({"db"}, Hosts);
  std::reverse(Hosts.begin(), Hosts.end());
  CHECK((rankHosts({"db"}, Hosts) == Ranked));
  std::vector<HostName> First = rankHosts({"db"}, Hosts, kObserverCount);
  CHECK(std::equal(First.begin(), First.end(), Ranked.begin()));
  std::erase_if(Hosts, [&](const RankedHost &Host) {
    return Host.m_Name == Ranked.back();
  });
  Ranked.pop_back();
  CHECK((rankHosts({"db"}, Hosts) == Ranked));
}
