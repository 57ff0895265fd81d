#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

InstanceName primaryOf(const Simulation &Sim) {
  return *Sim.database()->m_Primary;
}

/// Writes at the primary; returns the position, or nothing if it refused.
std::optional<Position> write(Simulation &Sim, const InstanceName &Primary,
                              uint64_t Term, const std::string &Key) {
  StandInAnswer Answer = Sim.instance(Primary).write(
      Term, R"({"op":"put","key":")" + Key + R"(","value":1})", "", "");
  if (Answer.m_Status != 200)
    return std::nullopt;
  return Answer.m_Position;
}

/// Stops the primary and makes two of three observers report it.
InstanceName stopPrimary(Simulation &Sim) {
  InstanceName Old = primaryOf(Sim);
  Sim.m_Instances.at(Old).m_IsUp = false;
  Sim.reportUnreachable(Old, {"h1", "h2"});
  return Old;
}

/// Checks that no term has two primaries and that the elected primary holds all
/// Keys.
void checkFailoverSafety(Simulation &Sim,
                         const std::vector<std::string> &Keys) {
  for (const std::pair<const uint64_t, std::set<InstanceName>> &Entry :
       Sim.m_PromotedByTerm)
    CHECK(Entry.second.size() == 1);
  for (const std::string &Key : Keys)
    CHECK(Sim.instance(primaryOf(Sim)).rows().contains(Key));
}

} // namespace

TEST_CASE("control: a lost primary is replaced by the most advanced instance "
          "within the time the steps need, and the others follow") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  InstanceName Old = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  REQUIRE(write(Sim, Old, Term, "k"));
  // Only one replica holds the acknowledged write.
  InstanceName Advanced;
  for (const std::pair<const InstanceName, SimulatedInstance> &Entry :
       Sim.m_Instances)
    if (Entry.first != Old)
      Advanced = Entry.first;
  for (int Round = 0; Round < 5; ++Round)
    Sim.instance(Advanced).replicate(
        Term, Sim.instance(Old).entriesAfter(Sim.instance(Advanced).position(),
                                             Term, UINT64_MAX));
  stopPrimary(Sim);
  Time Start = Sim.m_Now;
  REQUIRE(Sim.awaitNewPrimary(Old, Term));
  CHECK((Sim.m_Now - Start < milliseconds(500)));
  CHECK((primaryOf(Sim) == Advanced));
  checkFailoverSafety(Sim, {"k"});
  Sim.run(milliseconds(20));
  const FailoverRecord &Record = Sim.board(*Sim.leader()).m_Failovers.back();
  CHECK((Record.m_Detect == milliseconds(450)));
  CHECK((Record.m_Total > Record.m_Seal));
  // The former primary returns, is told to follow, and discards its extra
  // entry.
  Sim.m_Instances.at(Old).m_IsUp = true;
  Sim.clearReports();
  CHECK(Sim.runUntil([&] {
    Sim.replicate();
    return Sim.instance(Old).status().m_Role == StandInRole::Replica &&
           Sim.instance(Old).position() ==
               Sim.instance(primaryOf(Sim)).position();
  }));
}

TEST_CASE("control: one observer of three, or hosts that do not observe, "
          "cannot start a failover") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  InstanceName Old = primaryOf(Sim);
  Sim.reportUnreachable(Old, {"h1"});
  Sim.run(std::chrono::seconds(3));
  CHECK((primaryOf(Sim) == Old));
  // Reports of a host that is no longer live do not count.
  Sim.reportUnreachable(Old, {"h2"});
  Sim.m_Hosts[HostName{"h2"}].m_IsUp = false;
  Sim.m_Hosts[HostName{"h1"}].m_Reports.clear();
  Sim.run(std::chrono::seconds(3));
  CHECK((primaryOf(Sim) == Old));
  CHECK(Sim.database()->m_BegunTerm == Sim.database()->m_PrimaryTerm);
}

TEST_CASE("control: the single live host decides alone") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  Sim.startDatabase();
  Sim.m_Hosts[HostName{"h2"}].m_IsUp = false;
  Sim.m_Hosts[HostName{"h3"}].m_IsUp = false;
  Sim.run(std::chrono::seconds(2));
  InstanceName Old = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  Sim.m_Instances.at(Old).m_IsUp = false;
  Sim.reportUnreachable(Old, {"h1"});
  CHECK(Sim.awaitNewPrimary(Old, Term));
}

TEST_CASE("control: a leader lost after any step leaves a change of primary "
          "that its successor completes in a new term") {
  for (const char *Step : {"begin", "seal", "promote", "publish"}) {
    CAPTURE(Step);
    Simulation Sim(3);
    REQUIRE(Sim.awaitVoters(3));
    Sim.startDatabase();
    InstanceName Old = primaryOf(Sim);
    uint64_t Term = Sim.database()->m_PrimaryTerm;
    REQUIRE(write(Sim, Old, Term, "k"));
    Sim.replicate();
    Sim.replicate();
    std::optional<size_t> IsolatedLeader;
    size_t Leader = *Sim.leader();
    Sim.m_AfterEvent = [&](size_t Index) {
      if (IsolatedLeader || Index != Leader)
        return;
      auto Found = Sim.board(Index).m_FailoverSteps.find(Simulation::kDatabase);
      if (Found == Sim.board(Index).m_FailoverSteps.end() ||
          Found->second != Step)
        return;
      IsolatedLeader = Index;
      Sim.m_Controls[Index].m_IsIsolated = true;
    };
    stopPrimary(Sim);
    // Losing the first answer prolongs the promotion, so that the leader can be
    // isolated during this step.
    int Calls = 0;
    Sim.m_InjectCallFault = [&](size_t, const CallInstance &Call) {
      bool IsFirst = Call.m_Kind == InstanceCallKind::Promote && Calls++ == 0;
      return IsFirst ? CallFault::AnswerLost : CallFault::Answered;
    };
    REQUIRE(Sim.awaitNewPrimary(Old, Term));
    CHECK(IsolatedLeader);
    Sim.run(std::chrono::seconds(2));
    checkFailoverSafety(Sim, {"k"});
    // The isolated leader returns and applies the same configuration.
    if (IsolatedLeader)
      Sim.m_Controls[*IsolatedLeader].m_IsIsolated = false;
    Sim.run(std::chrono::seconds(3));
    CHECK((Sim.board(0).configuration() == Sim.board(1).configuration()));
    CHECK((Sim.board(0).configuration() == Sim.board(2).configuration()));
    checkFailoverSafety(Sim, {"k"});
  }
}

TEST_CASE("control: lost requests and answers at every step delay a change of "
          "primary, but never lead to two primaries in one term") {
  for (InstanceCallKind Kind :
       {InstanceCallKind::Seal, InstanceCallKind::Promote})
    for (CallFault Fault : {CallFault::RequestLost, CallFault::AnswerLost}) {
      Simulation Sim(3);
      REQUIRE(Sim.awaitVoters(3));
      Sim.startDatabase();
      InstanceName Old = primaryOf(Sim);
      uint64_t Term = Sim.database()->m_PrimaryTerm;
      REQUIRE(write(Sim, Old, Term, "k"));
      Sim.replicate();
      Sim.replicate();
      int LostCalls = 0;
      Sim.m_InjectCallFault = [&](size_t, const CallInstance &Call) {
        // Enough losses that the leader abandons terms.
        return Call.m_Kind == Kind && LostCalls++ < 7 ? Fault
                                                      : CallFault::Answered;
      };
      stopPrimary(Sim);
      REQUIRE(Sim.awaitNewPrimary(Old, Term));
      Sim.run(std::chrono::seconds(1));
      checkFailoverSafety(Sim, {"k"});
    }
}

TEST_CASE(
    "control: a promotion whose answer comes after its term was abandoned "
    "has no effect") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  Sim.startDatabase();
  InstanceName Old = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  std::optional<CallInstance> Late;
  Sim.m_InjectCallFault = [&](size_t, const CallInstance &Call) {
    bool IsFirstTerm =
        Call.m_Kind == InstanceCallKind::Promote && Call.m_Term == Term + 1;
    if (IsFirstTerm)
      Late = Call;
    return IsFirstTerm ? CallFault::RequestLost : CallFault::Answered;
  };
  stopPrimary(Sim);
  REQUIRE(Sim.awaitNewPrimary(Old, Term));
  REQUIRE(Late);
  CHECK(Sim.database()->m_PrimaryTerm == Term + 2);
  InstanceName New = primaryOf(Sim);
  Sim.handle(0, InstanceCallAnswered{Late->m_Call, 200, {}, 7});
  Sim.run(std::chrono::seconds(1));
  CHECK((primaryOf(Sim) == New));
  CHECK(Sim.database()->m_PrimaryTerm == Term + 2);
  checkFailoverSafety(Sim, {});
}

TEST_CASE("control: without a majority of instances nothing is promoted, and "
          "the change completes when a majority is back") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  InstanceName Old = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  InstanceName Other =
      Old == InstanceName{"a"} ? InstanceName{"b"} : InstanceName{"a"};
  Sim.m_Instances.at(Other).m_IsUp = false;
  stopPrimary(Sim);
  Sim.run(std::chrono::seconds(5));
  CHECK(Sim.database()->m_PrimaryTerm == Term);
  CHECK(Sim.m_PromotedByTerm.size() == 1);
  Sim.m_Instances.at(Other).m_IsUp = true;
  CHECK(Sim.awaitNewPrimary(Old, Term));
  checkFailoverSafety(Sim, {});
}

TEST_CASE("control: an isolated leader promotes nothing") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  InstanceName Old = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  size_t Isolated = *Sim.leader();
  // The isolated leader still reaches the instances, but no other control host.
  Sim.m_Controls[Isolated].m_IsIsolated = true;
  for (int Round = 0; Round < 20; ++Round) {
    for (const char *Host : {"h1", "h2", "h3"})
      Sim.handle(
          Isolated,
          DatagramReceived{
              {},
              Heartbeat{{Host},
                        true,
                        0,
                        {InstanceReport{
                            Simulation::kDatabase, Old, 450, {}, 0, false}}}});
    Sim.run(milliseconds(100));
  }
  CHECK((primaryOf(Sim) == Old));
  CHECK(Sim.database()->m_BegunTerm == Term);
  CHECK(Sim.m_PromotedByTerm.size() == 1);
}

TEST_CASE("control: draining a primary moves it to an instance that stays, "
          "with everything acknowledged, also when leaders change") {
  for (bool StopsLeader : {false, true}) {
    Simulation Sim(3);
    REQUIRE(Sim.awaitVoters(3));
    Sim.startDatabase();
    InstanceName Old = primaryOf(Sim);
    uint64_t Term = Sim.database()->m_PrimaryTerm;
    REQUIRE(write(Sim, Old, Term, "k"));
    for (int Round = 0; Round < 3; ++Round)
      Sim.replicate();
    Time Start = Sim.m_Now;
    REQUIRE(Sim.change(DrainInstance{Simulation::kDatabase, Old, true}, "d")
                .m_Accepted);
    Sim.run(milliseconds(200));
    CHECK((primaryOf(Sim) == Old));
    if (StopsLeader)
      Sim.stop(*Sim.leader());
    REQUIRE(Sim.awaitNewPrimary(Old, Term));
    if (!StopsLeader)
      CHECK((Sim.m_Now - Start < std::chrono::seconds(1)));
    checkFailoverSafety(Sim, {"k"});
    // The drained instance must not become primary again.
    Sim.run(std::chrono::seconds(6));
    CHECK((primaryOf(Sim) != Old));
    CHECK(Sim.database()->m_PrimaryTerm == Term + 1);
  }
}

TEST_CASE("control: a primary that cannot be replaced keeps its role while it "
          "drains") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  Sim.startDatabase();
  for (const char *Name : {"a", "b", "c"})
    REQUIRE(Sim.change(DrainInstance{Simulation::kDatabase, {Name}, true}, Name)
                .m_Accepted);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  Sim.run(std::chrono::seconds(8));
  CHECK(Sim.database()->m_PrimaryTerm == Term);
}

TEST_CASE("control: a departing instance is drained once") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  uint64_t Version = Sim.configuration().version();
  size_t Follower = (*Sim.leader() + 1) % 3;
  for (uint64_t Round = 0; Round < 5; ++Round) {
    Sim.handle(Follower,
               InstanceAnnounced{OperationId{50'000 + Round},
                                 Sim.m_Instances.at({"a"}).m_Record, true});
    Sim.run(milliseconds(400));
  }
  CHECK(Sim.database()->m_Draining.contains({"a"}));
  CHECK(Sim.configuration().version() == Version + 1);
}

TEST_CASE("control: unchanged announcements do not grow the log") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  Sim.startDatabase();
  uint64_t Applied = Sim.board(0).m_State.appliedIndex();
  Sim.run(std::chrono::seconds(5));
  CHECK(Sim.board(0).m_State.appliedIndex() == Applied);
}

TEST_CASE("control: a spare counts only once it holds the log, so that a "
          "second loss right after a repair loses nothing") {
  Simulation Sim(1);
  REQUIRE(Sim.awaitVoters(1));
  Sim.startDatabase();
  InstanceName Primary = primaryOf(Sim);
  uint64_t Term = Sim.database()->m_PrimaryTerm;
  InstanceName Removed =
      Primary == InstanceName{"a"} ? InstanceName{"b"} : InstanceName{"a"};
  REQUIRE(write(Sim, Primary, Term, "k"));
  Sim.replicate();
  Sim.m_Instances.at(Removed).m_IsUp = false;
  Sim.addInstance("d");
  Sim.run(std::chrono::seconds(1));
  REQUIRE(Sim.database()->m_Spares.contains({"d"}));
  REQUIRE(Sim.change(RemoveInstance{Simulation::kDatabase, Removed}, "r")
              .m_Accepted);
  // The spare does not replicate yet.
  Sim.run(std::chrono::seconds(6));
  CHECK(!Sim.database()->m_Instances.contains({"d"}));
  CHECK(Sim.runUntil([&] {
    Sim.replicate();
    return Sim.database()->m_Instances.contains({"d"});
  }));
  CHECK(Sim.instance({"d"}).rows().contains("k"));
}

TEST_CASE("control: live hosts are those heard within a second, and a leader "
          "change does not empty the list") {
  Simulation Sim(3);
  REQUIRE(Sim.awaitVoters(3));
  Sim.startDatabase();
  size_t Leader = *Sim.leader();
  CHECK(Sim.board(Leader).m_LiveHosts.m_Hosts.size() == 3);
  Sim.m_Hosts[HostName{"h3"}].m_IsUp = false;
  Sim.run(milliseconds(1'300));
  CHECK(Sim.board(Leader).m_LiveHosts.m_Hosts.size() == 2);
  Sim.stop(Leader);
  REQUIRE(Sim.runUntil([&] { return Sim.leader().has_value(); }));
  Sim.run(milliseconds(50));
  CHECK(Sim.board(*Sim.leader()).m_LiveHosts.m_Hosts.size() == 2);
  // A host that has just started knows no live hosts and must not publish an
  // empty list.
  Sim.start(Leader);
  for (int Round = 0; Round < 200; ++Round) {
    Sim.run(milliseconds(10));
    if (Sim.leader() && Sim.board(*Sim.leader()).m_LiveHosts.m_Version > 0)
      CHECK(Sim.board(*Sim.leader()).m_LiveHosts.m_Hosts.size() == 2);
  }
}
