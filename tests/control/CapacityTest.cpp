#include "control/Simulation.h"
#include "decision/control/FeedController.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

const HostName kHost{"h1"};
constexpr HostCapacity kCapacity{100'000, 320};

bool hasCapacityChange(const PollReply &Reply) {
  return std::any_of(
      Reply.m_Changes.begin(), Reply.m_Changes.end(), [](const Change &Sent) {
        return std::holds_alternative<SetHostCapacity>(Sent.m_Body);
      });
}

/// Answer to the poll of a session proxy that applied the log up to Applied.
PollReply pollAs(Simulation &Sim, size_t Index, uint64_t Applied,
                 uint64_t Extension) {
  Sim.pollForAmendments(Index, kHost, Applied, kRequestsSnapshotParts,
                        Extension);
  REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Index) != nullptr; }));
  return *Sim.lastPollReply(Index);
}

} // namespace

TEST_CASE("capacity: a host's report reaches the configuration of all control "
          "hosts, and is recorded once") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost(kHost.m_Value);
  uint64_t Before = pollAs(Sim, Leader, 0, 0).m_AppliedIndex;
  REQUIRE(Sim.runUntil([&] {
    return Sim.board(Leader).configuration().hosts().contains(kHost);
  }));
  REQUIRE(
      Sim.runUntil([&] { return Sim.board(Leader).canExtendConfiguration(); }));
  for (int Count = 0; Count < 5; ++Count) {
    Sim.handle(Leader,
               DatagramReceived{{}, HostCapacityReport{kHost, kCapacity}});
    Sim.run(milliseconds(300));
  }
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(Sim.board(Index).configuration().hostCapacities() ==
          std::map<HostName, HostCapacity>{{kHost, kCapacity}});
  PollReply Reply = pollAs(Sim, Leader, Before, kReadsConfigurationExtension);
  CHECK(std::count_if(Reply.m_Changes.begin(), Reply.m_Changes.end(),
                      [](const Change &Sent) {
                        return std::holds_alternative<SetHostCapacity>(
                            Sent.m_Body);
                      }) == 1);
}

// Guards against a rolling upgrade in which a proxy of the earlier build cannot
// decode its answer, and refuses its callers.
TEST_CASE("capacity: a proxy of an earlier build gets neither the change nor a "
          "snapshot with the extension") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  Sim.addHost(kHost.m_Value);
  uint64_t Before = pollAs(Sim, Leader, 0, 0).m_AppliedIndex;
  REQUIRE(Sim.runUntil([&] {
    return Sim.board(Leader).configuration().hosts().contains(kHost) &&
           Sim.board(Leader).canExtendConfiguration();
  }));
  Sim.handle(Leader,
             DatagramReceived{{}, HostCapacityReport{kHost, kCapacity}});
  Sim.run(milliseconds(300));
  CHECK(hasCapacityChange(
      pollAs(Sim, Leader, Before, kReadsConfigurationExtension)));
  CHECK(!hasCapacityChange(pollAs(Sim, Leader, Before, 0)));
  PollReply Whole = pollAs(Sim, Leader, 0, 0);
  REQUIRE(Whole.m_Snapshot.size() == Whole.m_SnapshotBytes);
  CHECK(decodeConfiguration(Whole.m_Snapshot).extension().empty());
  // Until then the snapshot from before the change is offered.
  Sim.run(std::chrono::seconds(5));
  PollReply Offer = pollAs(Sim, Leader, 0, kReadsConfigurationExtension);
  CHECK(Offer.m_Snapshot.empty());
  CHECK(Offer.m_SnapshotBytes > Whole.m_SnapshotBytes);
}

// Guards against a control host of an earlier build that ends at an entry of
// the log that it cannot decode.
TEST_CASE("capacity: nothing is recorded until every member has shown that it "
          "can decode it") {
  ControlBlackboard Board;
  Board.m_Self.m_Id = MemberId{1};
  ControlMember Voter;
  Voter.m_Id = MemberId{2};
  ControlMember Learner;
  Learner.m_Id = MemberId{3};
  Board.m_Membership = Membership{{Board.m_Self, Voter}, {Learner}};
  CHECK(!Board.canExtendConfiguration());
  Board.m_ExtensionMembers = {Voter.m_Id};
  CHECK(!Board.canExtendConfiguration());
  Board.m_ExtensionMembers = {Voter.m_Id, Learner.m_Id};
  CHECK(Board.canExtendConfiguration());

  FeedController Feed(Board);
  Feed.onReadIndexRequest(LinkId{1}, ReadIndexRequest{Voter.m_Id, 5}, Time());
  CHECK(!Board.canExtendConfiguration());
  Feed.onReadIndexRequest(
      LinkId{1}, ReadIndexRequest{Voter.m_Id, 6 | kAppliesExtensionBit},
      Time());
  CHECK(Board.canExtendConfiguration());
}
