#include "control/Simulation.h"

#include <random>

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

/// Longer than a removal of a silent voter, an election and a join together.
constexpr Duration kRecoveryLimit = std::chrono::seconds(12);
/// A host counts as lost for this time after it is back.
constexpr Duration kCatchUpTime = std::chrono::seconds(4);

/// Three hosts with a disk and three without, all running.
Simulation makeCluster() {
  Simulation Sim =
      Simulation::withSeeds({true, true, true, false, false, false});
  for (size_t Index = 0; Index < Sim.m_Controls.size(); ++Index)
    Sim.start(Index);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  Sim.run(std::chrono::seconds(2));
  return Sim;
}

void restart(Simulation &Sim, const std::vector<size_t> &Hosts) {
  for (size_t Host : Hosts)
    Sim.stop(Host);
  for (size_t Host : Hosts)
    Sim.start(Host);
}

double counterOf(const Simulation &Sim, size_t Index, const std::string &Name) {
  for (const Counter &Value : Sim.m_Controls[Index].m_Core->counters())
    if (Value.m_Name == Name)
      return Value.m_Value;
  throw std::logic_error("no counter " + Name);
}

} // namespace

// RECOVER, CONFIG: the seeds were exchanged for hosts without a disk, which
// were started anew and knew no member. A host that lost its disk asked only
// them and was out for good; with the next lost disk the core was lost.
TEST_CASE("membership: hosts that lose their disks one after the other rejoin "
          "when no seed knew a member at its start") {
  for (bool IsRead : {false, true}) {
    CAPTURE(IsRead);
    Simulation Sim = makeCluster();
    for (size_t Index = 0; Index < Sim.m_Controls.size(); ++Index)
      Sim.setSeeds(Index, {3, 4, 5}, IsRead);
    restart(Sim, {3, 4, 5});
    Sim.run(std::chrono::seconds(4));
    for (size_t Lost : {0, 1, 2}) {
      CAPTURE(Lost);
      Sim.stopAndWipe(Lost);
      Sim.run(std::chrono::seconds(1));
      Sim.start(Lost);
      CHECK(Sim.runUntil([&] { return Sim.isFormed(); }, kRecoveryLimit));
      Sim.run(kCatchUpTime);
    }
  }
}

TEST_CASE("membership: a host with an empty disk rejoins over the link of a "
          "member to its old address") {
  Simulation Sim = makeCluster();
  for (size_t Host : {3, 4, 5})
    Sim.stop(Host);
  size_t Lost = (*Sim.leader() + 1) % 3;
  Sim.setSeeds(Lost, {3, 4, 5}, false);
  MemberId Old = Sim.m_Controls[Lost].m_Member.m_Id;
  Sim.stopAndWipe(Lost);
  Sim.start(Lost);
  CHECK(Sim.runUntil(
      [&] {
        return Sim.leader() &&
               Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 3 &&
               Sim.board(*Sim.leader()).findMember(Old) == nullptr;
      },
      kRecoveryLimit));
}

TEST_CASE("membership: a silent voter that was removed and lost its disk is "
          "contacted at its old address") {
  Simulation Sim = Simulation::withSeeds({true, true, true, true, true, false});
  for (size_t Index = 0; Index < Sim.m_Controls.size(); ++Index)
    Sim.start(Index);
  REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }));
  size_t Lost = (*Sim.leader() + 1) % 5;
  Sim.stopAndWipe(Lost);
  Sim.run(std::chrono::seconds(6));
  REQUIRE(Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 4);
  Sim.stop(5);
  Sim.setSeeds(Lost, {5}, false);
  Sim.start(Lost);
  CHECK(Sim.runUntil(
      [&] {
        return Sim.board(*Sim.leader()).m_Membership.m_Voters.size() == 5;
      },
      kRecoveryLimit));
}

TEST_CASE("relay: one that starts anew is told the members, whatever its "
          "seeds are") {
  Simulation Sim = makeCluster();
  // The members' settings name none of the relays.
  for (size_t Relay : {3, 4, 5})
    Sim.setSeeds(Relay, {3, 4, 5}, false);
  restart(Sim, {3, 4, 5});
  // The new leader did not inform them before.
  Sim.stop(*Sim.leader());
  CHECK(Sim.runUntil(
      [&] {
        return std::all_of(Sim.m_Controls.begin() + 3, Sim.m_Controls.end(),
                           [](const SimulatedControl &Relay) {
                             return Relay.m_Core->isReady();
                           });
      },
      kRecoveryLimit));
}

TEST_CASE("membership: a member that does not come back is reported") {
  Simulation Sim = makeCluster();
  size_t Lost = (*Sim.leader() + 1) % 3;
  Sim.stop(Lost);
  Sim.run(std::chrono::seconds(5));
  const std::string Name = "almondpier_control_silent_members";
  const SimulatedControl &Leader = Sim.m_Controls[*Sim.leader()];
  auto IsLogged = [&](const std::string &Text) {
    return std::any_of(
        Leader.m_StateChanges.begin(), Leader.m_StateChanges.end(),
        [&](const std::string &Line) {
          return Line.find("control host c" + std::to_string(Lost)) !=
                     std::string::npos &&
                 Line.find(Text) != std::string::npos;
        });
  };
  CHECK(counterOf(Sim, *Sim.leader(), Name) == 1);
  CHECK(IsLogged("has sent nothing for"));
  Sim.start(Lost);
  Sim.run(std::chrono::seconds(2));
  CHECK(counterOf(Sim, *Sim.leader(), Name) == 0);
  CHECK(IsLogged("is heard again"));
}

// Any mix of changed seeds, new starts and lost disks, one disk at a time.
TEST_CASE("membership: no control host is out for good after a random mix of "
          "changed seeds, new starts and lost disks") {
  constexpr uint32_t kSeeds = 50;
  for (uint32_t Seed = 1; Seed <= kSeeds; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    auto Below = [&](size_t Count) { return Random() % Count; };
    Simulation Sim = makeCluster();
    for (int Step = 0; Step < 6; ++Step) {
      std::vector<size_t> Seeds;
      while (Seeds.size() < 3)
        Seeds.push_back(Below(Sim.m_Controls.size()));
      bool IsRead = Below(2) == 0;
      for (size_t Index = 0; Index < Sim.m_Controls.size(); ++Index)
        Sim.setSeeds(Index, Seeds, IsRead);
      std::vector<size_t> Restarted;
      for (size_t Host : {3, 4, 5})
        if (Below(2) == 0)
          Restarted.push_back(Host);
      restart(Sim, Restarted);
      size_t Member = Below(3);
      if (Below(3) != 0)
        Sim.stopAndWipe(Member);
      else
        Sim.stop(Member);
      Sim.run(milliseconds(Below(3'000)));
      Sim.start(Member);
      REQUIRE(Sim.runUntil([&] { return Sim.isFormed(); }, kRecoveryLimit));
      Sim.run(kCatchUpTime);
    }
  }
}
