#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

ChangeBody create(const std::string &Name) {
  return CreateOrganisation{{Name}};
}

} // namespace

TEST_CASE("control: of two racing operators with equal versions exactly one is "
          "accepted") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Leader = *Sim.leader();
  uint64_t Version = Sim.configuration().version();
  OperationId First =
      Sim.submit(Leader, {"id-1", Version, "ann", 1, create("one")});
  OperationId Second =
      Sim.submit(Leader, {"id-2", Version, "bob", 1, create("two")});
  REQUIRE(Sim.runUntil(
      [&] { return Sim.reply(Leader, First) && Sim.reply(Leader, Second); }));
  CHECK(Sim.reply(Leader, First)->m_Outcome->m_Accepted);
  CHECK(!Sim.reply(Leader, Second)->m_Outcome->m_Accepted);
  CHECK(Sim.reply(Leader, Second)->m_Outcome->m_Error->m_Kind ==
        ErrorKind::VersionConflict);
  CHECK(Sim.configuration().version() == Version + 1);
  // Both are in the audit trail, the refused one too.
  std::vector<AuditRecord> Trail =
      Sim.board(Leader).m_State.audit().after(0, 1'000);
  REQUIRE(Trail.size() >= 2);
  CHECK(Trail[Trail.size() - 2].m_Actor == "ann");
  CHECK(Trail.back().m_Actor == "bob");
}

TEST_CASE(
    "control: a change sent again after a lost answer gets its first "
    "outcome, also from another leader and after restarts with snapshot") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  ChangeOutcome First = Sim.change(create("one"), "id-1");
  REQUIRE(First.m_Accepted);
  size_t Old = *Sim.leader();
  Sim.stop(Old);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  CHECK((Sim.change(create("one"), "id-1") == First));
  // Enough changes for a snapshot on every host.
  for (int Index = 0; Index < 520; ++Index)
    REQUIRE(Sim.change(create("o" + std::to_string(Index)),
                       "o" + std::to_string(Index))
                .m_Accepted);
  Sim.start(Old);
  Sim.run(milliseconds(1'000));
  uint64_t Version = Sim.configuration().version();
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.stop(Index);
  for (size_t Index = 0; Index < 3; ++Index) {
    CHECK(Sim.m_Controls[Index].m_Disk.m_Snapshot.m_Index >= 500);
    Sim.start(Index);
  }
  CHECK((Sim.change(create("one"), "id-1") == First));
  CHECK(Sim.configuration().version() == Version);
  // The same identifier does not hide another change.
  CHECK(!Sim.change(create("other"), "id-1").m_Accepted);
  CHECK(!Sim.configuration().organisations().contains({"other"}));
}

TEST_CASE("control: a change whose leader is lost is answered as unknown and "
          "applies at most once when it is sent again") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Old = *Sim.leader();
  Sim.m_Controls[Old].m_IsIsolated = true;
  Change Lost{"id-1", Sim.board(Old).configuration().version(), "ann", 1,
              create("one")};
  OperationId Id = Sim.submit(Old, Lost);
  REQUIRE(Sim.runUntil([&] { return Sim.reply(Old, Id).has_value(); }));
  CHECK(Sim.reply(Old, Id)->m_Error->m_Ran == Ran::Unknown);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  CHECK(Sim.change(create("one"), "id-1").m_Accepted);
  Sim.m_Controls[Old].m_IsIsolated = false;
  Sim.run(milliseconds(2'000));
  CHECK((Sim.board(Old).configuration() == Sim.configuration()));
}

TEST_CASE("control: a follower names the leader instead of answering") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Follower = (*Sim.leader() + 1) % 3;
  OperationId Id = Sim.submit(Follower, {"id", 0, "ann", 1, create("one")});
  REQUIRE(Sim.reply(Follower, Id));
  CHECK(Sim.reply(Follower, Id)->m_Error->m_Kind == ErrorKind::NotLeader);
  CHECK((Sim.reply(Follower, Id)->m_Leader ==
         Sim.m_Controls[*Sim.leader()].m_Member.m_Operations));
}

TEST_CASE("control: polls at leader and follower hold everything accepted "
          "before, as changes or as a whole") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.addHost("h1");
  for (size_t Index : {*Sim.leader(), (*Sim.leader() + 1) % 3}) {
    std::string Name = "o" + std::to_string(Index);
    REQUIRE(Sim.change(create(Name), Name).m_Accepted);
    Configuration Proxy = Sim.configuration();
    uint64_t Applied = Sim.board(*Sim.leader()).m_State.appliedIndex();
    REQUIRE(Sim.change(create(Name + "x"), Name + "x").m_Accepted);
    uint64_t Accepted = Sim.board(*Sim.leader()).m_State.appliedIndex();
    Sim.poll(Index, {"h1"}, Applied);
    REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Index) != nullptr; }));
    const PollReply &Delta = *Sim.lastPollReply(Index);
    CHECK(Delta.m_AppliedIndex >= Accepted);
    CHECK(Delta.m_Snapshot.empty());
    for (const Change &Change : Delta.m_Changes) {
      CHECK(Change.m_Actor.empty());
      CHECK(Proxy.apply(Change).m_Accepted);
    }
    CHECK(Proxy.organisations().contains({Name + "x"}));
    Sim.poll(Index, {"h1"}, 0);
    REQUIRE(Sim.runUntil([&] { return Sim.lastPollReply(Index) != nullptr; }));
    const PollReply &Whole = *Sim.lastPollReply(Index);
    CHECK(Whole.m_Snapshot.size() == Whole.m_SnapshotBytes);
    CHECK(decodeConfiguration(Whole.m_Snapshot)
              .organisations()
              .contains({Name + "x"}));
  }
  CHECK(Sim.configuration().hosts().contains({"h1"}));
}

TEST_CASE("control: an isolated host answers no poll, neither the former "
          "leader nor a follower") {
  Simulation Sim(5);
  REQUIRE(Sim.awaitVoters(5));
  Sim.addHost("h1");
  size_t Leader = *Sim.leader();
  size_t Follower = (Leader + 1) % 5;
  Sim.m_Controls[Leader].m_IsIsolated = true;
  Sim.m_Controls[Follower].m_IsIsolated = true;
  for (int Round = 0; Round < 30; ++Round) {
    Sim.poll(Leader, {"h1"});
    CHECK(Sim.lastPollReply(Leader) == nullptr);
    Sim.poll(Follower, {"h1"});
    Sim.run(milliseconds(100));
    CHECK(Sim.lastPollReply(Follower) == nullptr);
  }
  REQUIRE(Sim.leader());
  Sim.poll(*Sim.leader(), {"h1"});
  CHECK(Sim.runUntil(
      [&] { return Sim.lastPollReply(*Sim.leader()) != nullptr; }));
}

TEST_CASE("control: a host that lost its disk returns as a learner, becomes a "
          "voter and replaces its old identifier") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  REQUIRE(Sim.change(create("one"), "id-1").m_Accepted);
  size_t Lost = (*Sim.leader() + 1) % 3;
  Sim.stop(Lost);
  SimulatedControl &Control = Sim.m_Controls[Lost];
  Control.m_Disk = {};
  Control.m_ClusterId = 0;
  Control.m_Member.m_Id = MemberId{999};
  Sim.start(Lost);
  CHECK(Sim.runUntil([&] {
    if (!Sim.leader())
      return false;
    const Membership &Members = Sim.board(*Sim.leader()).m_Membership;
    size_t OfHost = 0;
    bool HasNew = false;
    for (const ControlMember &Member : Members.m_Voters) {
      OfHost += Member.m_Host == Control.m_Member.m_Host ? 1 : 0;
      HasNew = HasNew || Member.m_Id == MemberId{999};
    }
    return HasNew && OfHost == 1 && Members.m_Voters.size() == 3;
  }));
  CHECK(Sim.runUntil([&] {
    return Sim.board(Lost).configuration().organisations().contains({"one"});
  }));
}

TEST_CASE("control: shutting down a leader hands over before it ends") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Old = *Sim.leader();
  Sim.handle(Old, ShutdownRequested{});
  REQUIRE(Sim.runUntil([&] { return Sim.m_Controls[Old].m_IsShutDown; }));
  Time Handed = Sim.m_Now;
  REQUIRE(Sim.runUntil([&] { return Sim.leader() && *Sim.leader() != Old; }));
  CHECK((Sim.m_Now - Handed < milliseconds(300)));
}

TEST_CASE("control: operators remove a member, and removing the leader hands "
          "over first") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  size_t Old = *Sim.leader();
  MemberId Target = Sim.m_Controls[Old].m_Member.m_Id;
  for (uint64_t Try = 0; Try < 20; ++Try) {
    size_t Leader = *Sim.leader();
    Sim.handle(Leader, OperatorRemoveMember{OperationId{9'000 + Try}, Target,
                                            "remove-1", "ann"});
    Sim.run(milliseconds(500));
    REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
    if (Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 2)
      break;
  }
  CHECK(Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 2);
  CHECK(*Sim.leader() != Old);
  CHECK(Sim.change(create("after"), "id-1").m_Accepted);
}
