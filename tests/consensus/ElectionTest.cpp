#include "consensus/ManualCluster.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("consensus: three members elect one leader, replicate and commit") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  REQUIRE(Leader != 0);
  uint64_t Index = Cluster.propose("x");
  CHECK(Index == 3);
  // Followers apply without waiting for the next heartbeat.
  for (uint64_t Id : {1, 2, 3})
    CHECK(Cluster.node(Id).m_Applied.back() == "x");
  std::optional<uint64_t> Read =
      Cluster[Leader].requestReadIndex(Cluster.m_Now);
  REQUIRE(Read);
  CHECK(Cluster.node(Leader).m_Reads.empty());
  Cluster.deliver();
  REQUIRE(Cluster.node(Leader).m_Reads.size() == 1);
  CHECK(Cluster.node(Leader).m_Reads[0].m_Index == Index);
  CHECK(Cluster[Leader].holdsLease(Cluster.m_Now));
}

TEST_CASE("consensus: a cluster of one starts from its initial log and commits "
          "at once") {
  ManualCluster Cluster({1});
  CHECK((Cluster.node(1).m_Disk == makeInitialLog(controlMember(1))));
  REQUIRE(Cluster.elect() == 1);
  uint64_t Index = *Cluster[1].propose("x", Cluster.m_Now);
  CHECK(Cluster[1].commitIndex() == Index);
  CHECK(Cluster[1].requestReadIndex(Cluster.m_Now));
  Cluster.deliver();
  CHECK(Cluster.node(1).m_Reads.size() == 1);
  CHECK(Cluster[1].holdsLease(Cluster.m_Now));
}
