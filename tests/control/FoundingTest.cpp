#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

OperationId installVersion(Simulation &Sim, size_t Index, uint64_t Version) {
  static uint64_t LastNumber = 1'000'000;
  InstallPolicy Install;
  Install.m_Policy.m_Version = Version;
  Install.m_Source = "version " + std::to_string(Version);
  OperationId Id{++LastNumber};
  Sim.handle(Index, PolicySubmitted{Id, Install});
  return Id;
}

bool isAccepted(Simulation &Sim, size_t Index, OperationId Id) {
  std::optional<ReplyToOperation> Reply = Sim.reply(Index, Id);
  return Reply && Reply->m_Outcome && Reply->m_Outcome->m_Accepted;
}

void startAll(Simulation &Sim) {
  for (size_t Index = 0; Index < Sim.m_Controls.size(); ++Index)
    Sim.start(Index);
}

} // namespace

TEST_CASE("founding: hosts with a disk take over from founders without one") {
  // The seeds of a deployment are any three control hosts, so that none of
  // them may have a disk.
  std::vector<std::vector<bool>> Deployments = {
      {false, false, false, true, true, true, true, true, true},
      {true, false, false, true, true},
      {true, true, false, true},
      {false, true, true, true, false, false},
      {true, true, true},
      {false, false, true},
      {false, true},
  };
  for (const std::vector<bool> &HasDisk : Deployments) {
    CAPTURE(HasDisk.size());
    Simulation Sim = Simulation::withSeeds(HasDisk);
    startAll(Sim);
    CHECK(
        Sim.runUntil([&] { return Sim.isFormed(); }, std::chrono::seconds(8)));
  }
}

TEST_CASE("founding: nothing is accepted before every voter has a disk, and "
          "what is accepted outlives all processes") {
  Simulation Sim =
      Simulation::withSeeds({false, false, false, true, true, true, true});
  startAll(Sim);
  std::optional<OperationId> Accepted;
  size_t Taker = 0;
  REQUIRE(Sim.runUntil([&] {
    std::optional<size_t> Leader = Sim.leader();
    if (!Leader)
      return false;
    if (*Leader != Taker || !Accepted ||
        (Sim.reply(Taker, *Accepted) && !isAccepted(Sim, Taker, *Accepted))) {
      Taker = *Leader;
      Accepted = installVersion(Sim, Taker, 7);
    }
    return isAccepted(Sim, Taker, *Accepted);
  }));
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.stopAndWipe(Index);
  for (size_t Index = 3; Index < 7; ++Index)
    Sim.stop(Index);
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  CHECK(Sim.configuration().policy().m_Version == 7);
}

TEST_CASE("founding: a founder without a disk that starts again founds "
          "nothing") {
  Simulation Sim =
      Simulation::withSeeds({false, false, false, true, true, true, true});
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.stopAndWipe(Index);
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.start(Index);
  Sim.run(std::chrono::seconds(3));
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(!Sim.board(Index).m_IsLeader);
  // The seeds know no member after the start; the leader informs them.
  CHECK(Sim.isFormed());
  CHECK(Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 4);
}

TEST_CASE("relay: it names the leader, passes check-ins on and serves no "
          "reads") {
  Simulation Sim = Simulation::withSeeds({true, true, true, false, false});
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  OperationId Install = installVersion(Sim, 3, 5);
  std::optional<ReplyToOperation> Reply = Sim.reply(3, Install);
  REQUIRE(Reply);
  CHECK(Reply->m_Leader == Sim.m_Controls[*Sim.leader()].m_Member.m_Operations);
  OperationId Read{500};
  Sim.handle(3, OperatorRead{Read});
  REQUIRE(Sim.reply(3, Read));
  CHECK(Sim.reply(3, Read)->m_Error);

  InstanceCheckIn CheckIn;
  CheckIn.m_Instance.m_Name = InstanceName{"i-1"};
  CheckIn.m_Instance.m_StartedAtMs = 1;
  CheckIn.m_Sequence = 1;
  OperationId Announced{501};
  Sim.handle(4, InstanceCheckedIn{Announced, CheckIn});
  REQUIRE(Sim.reply(4, Announced));
  CHECK(!Sim.reply(4, Announced)->m_Error);
  Sim.run(milliseconds(100));
  CHECK(Sim.board(*Sim.leader()).m_CheckedInAt.contains(InstanceName{"i-1"}));
}

TEST_CASE("relay: without a leader it acknowledges nothing") {
  // An acknowledged check-in that reaches no leader would let an instance end
  // although requests are still sent to it.
  Simulation Sim = Simulation::withSeeds({true, true, true, false});
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.m_Controls[Index].m_IsIsolated = true;
  Sim.run(std::chrono::seconds(3));
  CHECK(!Sim.m_Controls[3].m_Core->isReady());
  OperationId Announced{502};
  Sim.handle(3, InstanceCheckedIn{Announced, {}});
  REQUIRE(Sim.reply(3, Announced));
  CHECK(Sim.reply(3, Announced)->m_Error);
  for (size_t Index = 0; Index < 3; ++Index)
    Sim.m_Controls[Index].m_IsIsolated = false;
  CHECK(Sim.runUntil([&] { return Sim.m_Controls[3].m_Core->isReady(); }));
}

TEST_CASE("relay: relays that are cut off from the members forget the leader") {
  // Relays whose seeds are relays ask one another; an old answer went round.
  Simulation Sim =
      Simulation::withSeeds({false, false, false, true, true, true});
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  for (size_t Index = 3; Index < 6; ++Index)
    Sim.m_Controls[Index].m_IsIsolated = true;
  Sim.run(std::chrono::seconds(6));
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(!Sim.m_Controls[Index].m_Core->isReady());
}

TEST_CASE("relay: a host with an empty disk joins through seeds that only "
          "relay") {
  // Pattern: a control machine is replaced at another address, and its seeds
  // are three machines without a disk.
  Simulation Sim =
      Simulation::withSeeds({false, false, false, true, true, true, true});
  for (size_t Index = 0; Index < 6; ++Index)
    Sim.start(Index);
  REQUIRE(Sim.runUntil([&] {
    return Sim.leader() &&
           Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 3 &&
           Sim.board(*Sim.leader()).isDurable();
  }));
  Sim.start(6);
  CHECK(Sim.runUntil([&] { return Sim.isFormed(); }));
}

TEST_CASE("membership: as many copies stay as the loss of two disks takes") {
  // Two members are silent and removed, then the two that acknowledged a
  // change lose their disks: with three copies left the change would be lost.
  Simulation Sim = Simulation::withSeeds({true, true, true, true, true});
  Sim.m_ToleratedDiskLosses = 2;
  startAll(Sim);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  size_t First = (*Sim.leader() + 1) % 5;
  size_t Second = (*Sim.leader() + 2) % 5;
  Sim.m_Controls[First].m_IsIsolated = true;
  Sim.m_Controls[Second].m_IsIsolated = true;
  Sim.run(std::chrono::seconds(8));
  CHECK(Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 5);
}
