#include "consensus/ManualCluster.h"
#include "decision/consensus/MembershipRules.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("consensus: a membership changes by one member, which joins as a "
          "learner") {
  Membership Current = membershipOf({1, 2, 3}, {4});
  CHECK(isSingleStep(Current, membershipOf({1, 2, 3}, {4, 5})));
  CHECK(isSingleStep(Current, membershipOf({1, 2, 3, 4})));
  CHECK(isSingleStep(Current, membershipOf({1, 2}, {4})));
  CHECK(isSingleStep(Current, membershipOf({1, 2}, {3, 4})));
  CHECK(isSingleStep(Current, membershipOf({1, 2, 3})));
  CHECK(!isSingleStep(Current, Current));
  // Disjoint majorities of {1,2,3} and {1,2,4} could both elect a leader.
  CHECK(!isSingleStep(Current, membershipOf({1, 2, 4})));
  CHECK(!isSingleStep(Current, membershipOf({1, 2, 3, 5}, {4})));
  CHECK(!isSingleStep(Current, membershipOf({1, 2, 3, 3}, {4, 5})));
  CHECK(!isSingleStep(membershipOf({1}), membershipOf({})));
}

TEST_CASE("consensus: a cluster grows from one member, each promoted only when "
          "it holds the log") {
  ManualCluster Cluster({1});
  Cluster.elect();
  Cluster.propose("x");
  Cluster.m_Cut = {2};
  Cluster.start(2);
  CHECK(Cluster[2].role() == ConsensusRole::Learner);
  REQUIRE(Cluster.change(membershipOf({1}, {2})) != 0);
  Cluster.run(ms(2'000));
  // A learner without the log is no voter, and the leader does not need it.
  CHECK(Cluster.change(membershipOf({1, 2})) == 0);
  CHECK(Cluster[1].isLeader());
  Cluster.m_Cut.clear();
  Cluster.run(ms(200));
  CHECK(Cluster.node(2).m_Applied == Cluster.node(1).m_Applied);
  CHECK(Cluster[2].role() == ConsensusRole::Learner);
  REQUIRE(Cluster.change(membershipOf({1, 2})) != 0);
  CHECK(Cluster[2].role() == ConsensusRole::Follower);
  Cluster.m_Cut = {2};
  uint64_t Committed = Cluster[1].commitIndex();
  Cluster.propose("needs both");
  CHECK(Cluster[1].commitIndex() == Committed);
}

TEST_CASE("consensus: a second change waits for the first to commit") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  REQUIRE(Cluster[Leader].proposeMembership(membershipOf({1, 2, 3}, {4}), "",
                                            Cluster.m_Now));
  CHECK(!Cluster[Leader].proposeMembership(membershipOf({1, 2, 3}, {4, 5}), "",
                                           Cluster.m_Now));
  Cluster.deliver();
  CHECK(Cluster[Leader].proposeMembership(membershipOf({1, 2, 3}, {4, 5}), "",
                                          Cluster.m_Now));
}

TEST_CASE("consensus: a removed member does not disturb the others, also after "
          "a restart") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Removed = Leader % 3 + 1;
  uint64_t Kept = 6 - Leader - Removed;
  Cluster.run(ms(100));
  REQUIRE(Cluster.change(membershipOf({Leader, Kept})) != 0);
  uint64_t Term = Cluster[Leader].term();
  Cluster.run(ms(5'000));
  Cluster.start(Removed);
  Cluster.run(ms(5'000));
  CHECK(Cluster.leader() == Leader);
  CHECK(Cluster[Leader].term() == Term);
  CHECK(!Cluster[Removed].isLeader());
}

TEST_CASE("consensus: a leader that is removed hands over once the removal is "
          "committed") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  std::vector<uint64_t> Rest{1, 2, 3};
  std::erase(Rest, Leader);
  REQUIRE(Cluster.change(membershipOf(Rest)) != 0);
  CHECK(!Cluster[Leader].isLeader());
  CHECK(Cluster[Leader].role() == ConsensusRole::Learner);
  uint64_t Next = Cluster.leader();
  REQUIRE(Next != 0);
  Cluster.propose("x");
  CHECK(Cluster.node(Next).m_Applied.back() == "x");
}

TEST_CASE("consensus: a member whose removal reached only its own log still "
          "finishes it, because no other log is new enough") {
  ManualCluster Cluster({1, 2});
  uint64_t Leader = Cluster.elect();
  uint64_t Other = 3 - Leader;
  Cluster.run(ms(100));
  Cluster.m_Cut = {Leader};
  REQUIRE(Cluster.change(membershipOf({Other})) != 0);
  Cluster.start(Leader);
  Cluster.start(Other);
  Cluster.m_Cut.clear();
  Cluster.run(ms(4'000));
  REQUIRE(Cluster.leader() == Other);
  CHECK((Cluster[Other].membership() == membershipOf({Other})));
}

TEST_CASE("consensus: a host that lost its disk returns as a learner and "
          "replaces its old identifier") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Lost = Leader % 3 + 1;
  Cluster.propose("x");
  Cluster.stop(Lost);
  Cluster.start(4);
  std::vector<uint64_t> Rest{1, 2, 3};
  std::erase(Rest, Lost);
  REQUIRE(Cluster.change(membershipOf({1, 2, 3}, {4})) != 0);
  Cluster.run(ms(200));
  REQUIRE(Cluster.change(membershipOf({1, 2, 3, 4})) != 0);
  Cluster.run(ms(200));
  REQUIRE(Cluster.change(membershipOf({Rest[0], Rest[1], 4})) != 0);
  Cluster.run(ms(200));
  // A second loss right after the repair leaves a majority.
  Cluster.stop(Leader);
  Cluster.elect();
  Cluster.run(ms(200));
  CHECK(Cluster.propose("y") != 0);
  CHECK(Cluster.node(4).m_Applied.back() == "y");
}
