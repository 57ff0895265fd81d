#include "consensus/ClusterChecks.h"
#include "consensus/ManualCluster.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

ConsensusMessage voteRequest(uint64_t From, uint64_t To,
                             const VoteRequest &Request) {
  return {MemberId{From}, MemberId{To}, 0, Request};
}

/// Delivers a message to a member and returns its reply to a vote request.
std::optional<VoteReply> voteOf(ManualCluster &Cluster,
                                const ConsensusMessage &Message) {
  Cluster[Message.m_To.m_Value].receive(Message, Cluster.m_Now);
  std::optional<VoteReply> Result;
  for (const ConsensusMessage &Sent :
       Cluster[Message.m_To.m_Value].takeOutput().m_Messages)
    if (const VoteReply *Reply = std::get_if<VoteReply>(&Sent.m_Body))
      Result = *Reply;
  return Result;
}

/// Lets 1 and 2 win votes of 3 in the same term, with a restart of 3 between;
/// returns whether both were granted.
bool votesTwice(bool Forgets) {
  ManualCluster Cluster({1, 2, 3});
  ClusterChecks Checks;
  VoteRequest Request{2, false, 1, 1, false};
  Cluster.m_Now += ms(450);
  Cluster[3].receive(voteRequest(1, 3, Request), Cluster.m_Now);
  Cluster.settle(3);
  if (Forgets)
    Cluster.node(3).m_Disk.m_HardState.m_VotedFor = {};
  Cluster.start(3);
  Cluster.m_Now += ms(450);
  std::optional<VoteReply> Second = voteOf(Cluster, voteRequest(2, 3, Request));
  return Second && Second->m_Granted;
}

} // namespace

TEST_CASE("consensus: three members elect one leader, replicate and commit") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  REQUIRE(Leader != 0);
  uint64_t Index = Cluster.propose("x");
  CHECK(Index == 3);
  // Followers apply without waiting for the next heartbeat.
  for (uint64_t Id : {1, 2, 3})
    CHECK(Cluster.node(Id).m_Applied.back() == "x");
  CHECK(Cluster[Leader].holdsLease(Cluster.m_Now));
  CHECK(Cluster[1].leader().m_Value == Leader);
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

TEST_CASE("consensus: members whose seed is their identifier do not stand for "
          "election at the same moments for ever") {
  for (uint64_t First = 1; First < 200; ++First) {
    ManualCluster Cluster({First, First + 1});
    Cluster.elect();
    CHECK(Cluster.leader() != 0);
  }
}

TEST_CASE("consensus: a vote survives a restart, so no term has two leaders") {
  CHECK(!votesTwice(false));
  // The same steps with a forgotten vote elect a second leader.
  CHECK(votesTwice(true));
}

TEST_CASE("consensus: a vote goes only to a candidate whose log holds every "
          "entry that may be committed") {
  ManualCluster Cluster({1, 2, 3});
  Cluster.m_Now += ms(450);
  CHECK(
      !voteOf(Cluster, voteRequest(2, 1, {2, false, 1, 0, false}))->m_Granted);
  CHECK(
      !voteOf(Cluster, voteRequest(2, 1, {3, false, 0, 9, false}))->m_Granted);
  CHECK(voteOf(Cluster, voteRequest(2, 1, {4, false, 1, 1, false}))->m_Granted);
}

TEST_CASE("consensus: an isolated member does not depose the leader when it "
          "returns") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Other = Leader % 3 + 1;
  uint64_t Term = Cluster[Leader].term();
  Cluster.m_Cut = {Other};
  Cluster.run(ms(5'000));
  CHECK(Cluster[Other].term() == Term);
  CHECK(Cluster[Other].leader() == MemberId{});
  Cluster.m_Cut.clear();
  Cluster.run(ms(2'000));
  CHECK(Cluster.leader() == Leader);
  CHECK(Cluster[Leader].term() == Term);
  CHECK(Cluster[Other].leader().m_Value == Leader);
}

TEST_CASE("consensus: a voter ignores candidates for 400 ms after it heard a "
          "leader and after its own start, except for a transfer") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Voter = Leader % 3 + 1;
  uint64_t Candidate = 6 - Leader - Voter;
  Cluster.run(ms(100));
  VoteRequest Request{9, false, 9, 9, false};
  ConsensusMessage Message = voteRequest(Candidate, Voter, Request);
  uint64_t Term = Cluster[Voter].term();
  CHECK(!voteOf(Cluster, Message));
  CHECK(Cluster[Voter].term() == Term);
  CHECK(!voteOf(Cluster, voteRequest(Candidate, Leader, Request)));
  SUBCASE("a pre-vote is refused as well") {
    Request.m_PreVote = true;
    CHECK(!voteOf(Cluster, voteRequest(Candidate, Voter, Request))->m_Granted);
  }
  SUBCASE("a restarted voter waits") {
    Cluster.m_Now += ms(1'000);
    Cluster.start(Voter);
    Cluster.m_Now += ms(399);
    CHECK(!voteOf(Cluster, Message));
    Cluster.m_Now += ms(1);
    CHECK(voteOf(Cluster, Message)->m_Granted);
  }
  SUBCASE("a transfer need not wait") {
    Request.m_LeadershipTransfer = true;
    CHECK(voteOf(Cluster, voteRequest(Candidate, Voter, Request))->m_Granted);
  }
}

TEST_CASE("consensus: a leader without a majority steps down after an election "
          "timeout, its lease ends before, and its reads fail") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  Cluster.m_Cut = {Leader};
  std::optional<uint64_t> Read =
      Cluster[Leader].requestReadIndex(Cluster.m_Now);
  REQUIRE(Read);
  Cluster.run(ms(310));
  CHECK(Cluster[Leader].isLeader());
  CHECK(!Cluster[Leader].holdsLease(Cluster.m_Now));
  Cluster.run(ms(100));
  CHECK(!Cluster[Leader].isLeader());
  CHECK(Cluster.node(Leader).m_Reads.empty());
  CHECK(Cluster.node(Leader).m_FailedReads == std::vector<uint64_t>{*Read});
}

TEST_CASE("consensus: the lease counts from the send time of an acknowledged "
          "round, not from its acknowledgement") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(300));
  Cluster.m_Cut = {Leader};
  Cluster.run(ms(310));
  CHECK(!Cluster[Leader].holdsLease(Cluster.m_Now));
  Cluster.m_Cut.clear();
  Time Sent = Cluster.m_Now;
  REQUIRE(Cluster[Leader].requestReadIndex(Cluster.m_Now));
  ConsensusOutput Output = Cluster[Leader].takeOutput();
  Cluster.m_Now += ms(50);
  for (const ConsensusMessage &Message : Output.m_Messages)
    Cluster.m_Messages.push_back(Message);
  Cluster.deliver();
  CHECK(Cluster[Leader].holdsLease(Sent + ms(299)));
  CHECK(!Cluster[Leader].holdsLease(Sent + ms(300)));
}

TEST_CASE("consensus: a read waits for a round that starts after it") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Committed = Cluster.propose("x");
  REQUIRE(Cluster[Leader].requestReadIndex(Cluster.m_Now));
  Cluster.settle(Leader);
  std::deque<ConsensusMessage> FirstRound = Cluster.m_Messages;
  REQUIRE(Cluster[Leader].requestReadIndex(Cluster.m_Now));
  Cluster.settle(Leader);
  // Only the messages of the first round arrive.
  Cluster.m_Messages = FirstRound;
  Cluster.deliver();
  REQUIRE(Cluster.node(Leader).m_Reads.size() == 1);
  CHECK(Cluster.node(Leader).m_Reads[0].m_Index == Committed);
  Cluster.run(ms(100));
  CHECK(Cluster.node(Leader).m_Reads.size() == 2);
}

TEST_CASE("consensus: a leader that has not committed in its term answers no "
          "read") {
  ManualCluster Cluster({1, 2, 3});
  Cluster.m_Cut = {1};
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(50));
  uint64_t Other = 5 - Leader;
  Cluster.stop(Leader);
  Cluster.m_Cut.clear();
  // The new leader is elected, and its first entry is lost.
  Time End = Cluster.m_Now + ms(3'000);
  while (!Cluster[Other].isLeader() && !Cluster[1].isLeader() &&
         Cluster.m_Now < End) {
    Cluster.m_Now += ms(5);
    Cluster[Other].tick(Cluster.m_Now);
    Cluster[1].tick(Cluster.m_Now);
    Cluster.settle(Other);
    Cluster.settle(1);
    if (!Cluster.m_Messages.empty()) {
      std::deque<ConsensusMessage> Batch;
      Batch.swap(Cluster.m_Messages);
      for (const ConsensusMessage &Message : Batch)
        if (Message.m_To.m_Value != Leader)
          Cluster[Message.m_To.m_Value].receive(Message, Cluster.m_Now);
    }
  }
  uint64_t Next = Cluster[Other].isLeader() ? Other : 1;
  REQUIRE(Cluster[Next].isLeader());
  CHECK(!Cluster[Next].requestReadIndex(Cluster.m_Now));
  CHECK(!Cluster[Next].proposeMembership(membershipOf({1, 2}), "",
                                         Cluster.m_Now));
  Cluster.run(ms(200));
  CHECK(Cluster[Next].requestReadIndex(Cluster.m_Now));
}

TEST_CASE("consensus: leadership moves at once on a transfer, and the former "
          "leader gives up its lease before") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  SUBCASE("when a follower holds the whole log") {
    Cluster[Leader].transferLeadership(Cluster.m_Now);
    CHECK(!Cluster[Leader].isLeader());
    CHECK(!Cluster[Leader].holdsLease(Cluster.m_Now));
  }
  SUBCASE("when the followers have yet to receive an entry") {
    REQUIRE(Cluster[Leader].propose("x", Cluster.m_Now));
    Cluster[Leader].transferLeadership(Cluster.m_Now);
    CHECK(Cluster[Leader].isLeader());
    CHECK(!Cluster[Leader].propose("y", Cluster.m_Now));
  }
  Cluster.deliver();
  uint64_t Next = Cluster.leader();
  CHECK(Next != 0);
  CHECK(Next != Leader);
  CHECK(Cluster[Next].holdsLease(Cluster.m_Now));
}

TEST_CASE("consensus: a transfer that no follower can take ends, and the "
          "leader takes proposals again") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  REQUIRE(Cluster[Leader].propose("x", Cluster.m_Now));
  Cluster[Leader].transferLeadership(Cluster.m_Now);
  Cluster[Leader].takeOutput();
  uint64_t Lost = Cluster[Leader].lastIndex();
  // Heartbeats are answered, but no follower can hold the whole log.
  for (int Step = 0; Step < 90; ++Step) {
    Cluster.m_Now += ms(5);
    Cluster[Leader].tick(Cluster.m_Now);
    for (const ConsensusMessage &Sent :
         Cluster[Leader].takeOutput().m_Messages) {
      const AppendRequest &Request = std::get<AppendRequest>(Sent.m_Body);
      AppendReply Reply{Request.m_Term, false, Lost - 1, Request.m_Round};
      Cluster[Leader].receive({Sent.m_To, Sent.m_From, 0, Reply},
                              Cluster.m_Now);
    }
    Cluster[Leader].takeOutput();
  }
  REQUIRE(Cluster[Leader].isLeader());
  CHECK(Cluster[Leader].propose("y", Cluster.m_Now));
}

TEST_CASE("consensus: after the loss of a leader the next one follows within "
          "1.2 s") {
  Duration Longest{};
  for (uint64_t First = 1; First <= 300; ++First) {
    ManualCluster Cluster({First, First + 1, First + 2});
    uint64_t Leader = Cluster.elect();
    Cluster.run(ms(1'000));
    Time Lost = Cluster.m_Now;
    Cluster.stop(Leader);
    Cluster.elect();
    Longest = std::max(Longest, Cluster.m_Now - Lost);
  }
  MESSAGE("longest of 300: " << Longest.count() / 1'000 << " ms");
  CHECK(Longest < ms(1'200));
}
