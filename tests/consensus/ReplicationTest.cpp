#include "consensus/ManualCluster.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("consensus: an entry of an older term does not commit by being on a "
          "majority") {
  // The case of figure 8 of the Raft paper: member 1 leads in term 4 and holds
  // an entry of term 2 that 3 then acknowledges, while 5 holds one of term 3.
  ManualCluster Cluster({1, 2, 3, 4, 5});
  for (uint64_t Id : {1, 2})
    Cluster.node(Id).m_Disk.m_Entries.push_back({2, 2, "old", {}});
  for (uint64_t Id : {1, 2, 3, 4, 5}) {
    Cluster.node(Id).m_Disk.m_HardState.m_Term = 3;
    Cluster.start(Id);
  }
  Cluster.m_Now += ms(850);
  Cluster[1].tick(Cluster.m_Now);
  auto Answer = [&](uint64_t From, const ConsensusBody &Body) {
    Cluster[1].receive({MemberId{From}, MemberId{1}, 0, Body}, Cluster.m_Now);
  };
  for (uint64_t Id : {2, 3})
    Answer(Id, VoteReply{4, true, true});
  for (uint64_t Id : {2, 3})
    Answer(Id, VoteReply{4, false, true});
  REQUIRE(Cluster[1].isLeader());
  for (uint64_t Id : {2, 3})
    Answer(Id, AppendReply{4, true, 2, 1});
  CHECK(Cluster[1].matchIndex(MemberId{3}) == 2);
  CHECK(Cluster[1].commitIndex() == 0);
  CHECK(Cluster[1].takeOutput().m_Committed.empty());
  for (uint64_t Id : {2, 3})
    Answer(Id, AppendReply{4, true, 3, 1});
  CHECK(Cluster[1].commitIndex() == 3);
}

TEST_CASE("consensus: a proposal is sent before any time passes, and a second "
          "one without waiting for the first") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  Cluster.run(ms(100));
  for (const char *Data : {"a", "b"}) {
    Cluster[Leader].propose(Data, Cluster.m_Now);
    size_t Appends = 0;
    for (const ConsensusMessage &Sent : Cluster[Leader].takeOutput().m_Messages)
      Appends += std::get<AppendRequest>(Sent.m_Body).m_Entries.size();
    CHECK(Appends == 2);
  }
}

TEST_CASE("consensus: a follower that was away catches up in messages below "
          "the size limit") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Away = Leader % 3 + 1;
  Cluster.stop(Away);
  for (int Count = 0; Count < 200; ++Count)
    REQUIRE(Cluster.propose(std::string(40'000, 'x')) != 0);
  REQUIRE(Cluster.propose(std::string(kMaxMessageBytes / 2, 'y')) != 0);
  CHECK_THROWS_AS(
      Cluster[Leader].propose(std::string(kMaxMessageBytes / 2 + 1, 'y'),
                              Cluster.m_Now),
      Error);
  Cluster.start(Away);
  size_t Largest = 0;
  while (Cluster[Away].lastIndex() < Cluster[Leader].lastIndex()) {
    Cluster.m_Now += ms(5);
    Cluster[Leader].tick(Cluster.m_Now);
    Cluster.settle(Leader);
    for (const ConsensusMessage &Sent : Cluster.m_Messages)
      Largest = std::max(Largest, encode(Message(Sent)).size());
    Cluster.deliver();
    REQUIRE(Cluster.m_Now < Time(std::chrono::hours(1)) + ms(30'000));
  }
  CHECK(Largest <= kMaxMessageBytes);
  CHECK(Cluster.node(Away).m_Applied == Cluster.node(Leader).m_Applied);
}

TEST_CASE("consensus: entries of a lost leader that were not committed are "
          "replaced") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Old = Cluster.elect();
  Cluster.run(ms(100));
  Cluster.m_Cut = {Old};
  for (int Count = 0; Count < 5; ++Count)
    REQUIRE(Cluster[Old].propose("lost", Cluster.m_Now));
  Cluster.run(ms(2'000));
  REQUIRE(Cluster.leader() != Old);
  Cluster.propose("kept");
  Cluster.m_Cut.clear();
  Cluster.run(ms(500));
  for (uint64_t Id : {1, 2, 3}) {
    CHECK(Cluster.node(Id).m_Applied ==
          Cluster.node(Cluster.leader()).m_Applied);
    CHECK(Cluster.node(Id).m_Disk.m_Entries ==
          Cluster.node(Old).m_Disk.m_Entries);
  }
  CHECK(Cluster.node(Old).m_Applied.back() == "kept");
}

TEST_CASE("consensus: messages of another cluster are ignored") {
  ManualCluster Cluster({1, 2, 3});
  Cluster.m_Now += ms(450);
  Cluster[1].receive({MemberId{2}, MemberId{1}, 5, AppendRequest{9}},
                     Cluster.m_Now);
  Cluster[1].receive({MemberId{2}, MemberId{3}, 0, AppendRequest{9}},
                     Cluster.m_Now);
  CHECK(Cluster[1].takeOutput().empty());
  CHECK(Cluster[1].term() == 1);
}

namespace {

/// Compacts the log of a member to its last committed entry.
void compact(ManualCluster &Cluster, uint64_t Id, const std::string &Data) {
  Cluster[Id].compact(Cluster[Id].commitIndex(), Data);
  persistSnapshot(Cluster.node(Id).m_Disk, Cluster[Id].snapshot());
}

} // namespace

TEST_CASE("consensus: a follower far behind gets the snapshot in chunks, also "
          "when chunks are lost and the leader takes a newer snapshot") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Away = Leader % 3 + 1;
  Cluster.m_Cut = {Away};
  for (int Count = 0; Count < 400; ++Count)
    Cluster.propose("x");
  std::string State(kMaxSnapshotPartBytes * 24 + 1, 's');
  compact(Cluster, Leader, State);
  Cluster.m_Cut.clear();
  // Every third message is lost for a while.
  uint64_t Count = 0;
  for (int Step = 0; Step < 200; ++Step) {
    Cluster.m_Now += ms(5);
    Cluster[Leader].tick(Cluster.m_Now);
    Cluster.settle(Leader);
    for (const ConsensusMessage &Sent : Cluster.m_Messages)
      CHECK(encode(Message(Sent)).size() <= kMaxMessageBytes);
    std::erase_if(Cluster.m_Messages,
                  [&](const ConsensusMessage &) { return ++Count % 3 == 0; });
    Cluster.deliver();
    if (Step == 10) {
      Cluster.propose("newer");
      compact(Cluster, Leader, State + "t");
    }
  }
  Cluster.run(ms(1'000));
  CHECK(Cluster.node(Away).m_Applied[0].substr(0, State.size()) == State);
  CHECK(Cluster.node(Away).m_Applied.back() ==
        Cluster.node(Leader).m_Applied.back());
  CHECK(Cluster[Away].commitIndex() == Cluster[Leader].commitIndex());
  // The member restarts from its snapshot.
  Cluster.start(Away);
  Cluster.run(ms(1'000));
  CHECK(Cluster[Away].commitIndex() == Cluster[Leader].commitIndex());
}

// Guards against chunks that are sent again while they are on their way: on a
// slow link the repeats delayed one another and the heartbeats behind them.
TEST_CASE("consensus: a member behind a link of 2 Mbit/s gets a snapshot about "
          "as fast as the link allows") {
  constexpr int64_t kBytesPerMs = 250;
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Away = Leader % 3 + 1;
  Cluster.m_Cut = {Away};
  for (int Count = 0; Count < 400; ++Count)
    Cluster.propose("x");
  std::string State(kMaxSnapshotPartBytes * 16, 's');
  compact(Cluster, Leader, State);
  Cluster.m_Cut.clear();
  Time LinkFreeAt = Cluster.m_Now;
  std::multimap<Time, ConsensusMessage> OnTheWay;
  uint64_t Bytes = 0;
  auto TimeOnLink = [](size_t Size) {
    return ms(static_cast<int64_t>(Size) / kBytesPerMs);
  };
  for (Time End = Cluster.m_Now + TimeOnLink(2 * State.size());
       Cluster.m_Now < End;) {
    Cluster.m_Now += ms(5);
    for (auto &[Id, Node] : Cluster.m_Nodes) {
      Node.m_Consensus->tick(Cluster.m_Now);
      Cluster.settle(Id);
    }
    while (!OnTheWay.empty() && OnTheWay.begin()->first <= Cluster.m_Now) {
      Cluster[Away].receive(OnTheWay.begin()->second, Cluster.m_Now);
      Cluster.settle(Away);
      OnTheWay.erase(OnTheWay.begin());
    }
    for (; !Cluster.m_Messages.empty(); Cluster.m_Messages.pop_front()) {
      ConsensusMessage Sent = Cluster.m_Messages.front();
      if (Sent.m_To.m_Value != Away) {
        Cluster[Sent.m_To.m_Value].receive(Sent, Cluster.m_Now);
        Cluster.settle(Sent.m_To.m_Value);
        continue;
      }
      size_t Size = encode(Message(Sent)).size();
      Bytes += Size;
      LinkFreeAt = std::max(LinkFreeAt, Cluster.m_Now) + TimeOnLink(Size);
      OnTheWay.emplace(LinkFreeAt, Sent);
    }
  }
  MESSAGE("bytes sent to the member: ", Bytes, " for ", State.size());
  CHECK(Cluster.node(Away).m_Applied.size() > 0);
  CHECK(Bytes <= State.size() * 3 / 2);
}

TEST_CASE("consensus: a late snapshot does not remove entries that the member "
          "has acknowledged") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Follower = Leader % 3 + 1;
  for (int Count = 0; Count < 5; ++Count)
    Cluster.propose("x");
  uint64_t Term = Cluster[Leader].term();
  Cluster.start(Follower);
  uint64_t Last = Cluster[Follower].lastIndex();
  REQUIRE(Cluster[Follower].commitIndex() == 0);
  SnapshotRequest Late{Term, Term, 4, membershipOf({1, 2, 3}), 0, "s", true};
  Cluster[Follower].receive({MemberId{Leader}, MemberId{Follower}, 0, Late},
                            Cluster.m_Now);
  CHECK(!Cluster[Follower].takeOutput().m_InstalledSnapshot);
  CHECK(Cluster[Follower].lastIndex() == Last);
  CHECK(Cluster[Follower].commitIndex() == 4);
}

TEST_CASE("consensus: a follower a little behind a snapshot gets entries") {
  ManualCluster Cluster({1, 2, 3});
  uint64_t Leader = Cluster.elect();
  uint64_t Away = Leader % 3 + 1;
  Cluster.m_Cut = {Away};
  for (int Count = 0; Count < 50; ++Count)
    Cluster.propose("x");
  compact(Cluster, Leader, "state");
  Cluster.m_Cut.clear();
  Cluster.run(ms(500));
  CHECK(Cluster.node(Away).m_Applied == Cluster.node(Leader).m_Applied);
}
