#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

const DatabaseName kGroup{"records"};
const AvailabilityZone kZoneOfPrimary{"z1"};

/// A control cluster with a group of three instances in the zones z1 to z3; "a"
/// in z1 is the primary. Instances apply commits with a lag and follow the
/// calls of the leader.
class Fleet {
public:
  explicit Fleet(uint32_t SyncReplicas = 0) : m_Sim(3) {
    REQUIRE(m_Sim.awaitVoters(3));
    InstallPolicy Install;
    Install.m_Policy.m_Version = 1;
    Install.m_Policy.m_Groups[kGroup] = GroupPolicy{20, SyncReplicas};
    m_Sim.handle(leader(), PolicySubmitted{nextOperation(), Install});
    for (const char *Name : {"h1", "h2", "h3"})
      m_Sim.addHost(Name);
    m_Sim.m_AnswerGroupCall = [this](const CallGroup &Call) {
      return answer(Call);
    };
    run(std::chrono::seconds(4));
  }

  size_t leader() { return *m_Sim.leader(); }
  void run(Duration Time) {
    for (almondpier::Time Deadline = m_Sim.m_Now + Time;
         m_Sim.m_Now < Deadline;) {
      if (m_Sim.leader())
        checkInAll();
      m_Sim.run(milliseconds(100));
    }
  }
  /// Sends an order to the leader and returns its answer.
  ReplyToOperation order(const AvailabilityZone &Zone, bool IsEvacuated) {
    size_t At = leader();
    OperationId Id = nextOperation();
    m_Sim.handle(At, ZoneEvacuationRequested{Id, {Zone, IsEvacuated}, "ann"});
    REQUIRE(m_Sim.runUntil([&] { return m_Sim.reply(At, Id).has_value(); }));
    return *m_Sim.reply(At, Id);
  }
  bool isAccepted(const AvailabilityZone &Zone, bool IsEvacuated) {
    ReplyToOperation Reply = order(Zone, IsEvacuated);
    return Reply.m_Outcome && Reply.m_Outcome->m_Accepted;
  }
  size_t countCalls(GroupCallKind Kind, const std::string &Instance) const {
    return static_cast<size_t>(
        std::count_if(m_Sim.m_GroupCalls.begin(), m_Sim.m_GroupCalls.end(),
                      [&](const CallGroup &Call) {
                        return Call.m_Kind == Kind &&
                               Call.m_Instance.m_Name.m_Value == Instance;
                      }));
  }

  Simulation m_Sim;
  std::string m_Primary = "a";
  /// Commits that each instance has received.
  std::map<std::string, uint64_t> m_Received{{"a", 9}, {"b", 9}, {"c", 9}};
  std::set<std::string> m_Silent;
  std::function<void(const CallGroup &)> m_OnCall;
  std::function<bool()> m_RefusesDemotion;
  uint64_t m_LostCommits = 0;

private:
  static std::string zoneOf(const std::string &Name) {
    return Name == "a" ? "z1" : Name == "b" ? "z2" : "z3";
  }
  void checkInAll() {
    ++m_Sequence;
    uint16_t Port = 0;
    for (const char *Name : {"a", "b", "c"}) {
      ++Port;
      if (m_Silent.contains(Name))
        continue;
      InstanceCheckIn CheckIn;
      CheckIn.m_Instance.m_Name = InstanceName{Name};
      CheckIn.m_Instance.m_Database = kGroup;
      CheckIn.m_Instance.m_Zone = {zoneOf(Name)};
      CheckIn.m_Instance.m_StatementEndpoint = {"127.0.0.1", Port};
      CheckIn.m_Instance.m_IsPrimary = m_Primary == Name;
      CheckIn.m_Instance.m_StartedAtMs = 1'000;
      CheckIn.m_Sequence = m_Sequence;
      m_Sim.handle(leader(), InstanceCheckedIn{nextOperation(), CheckIn});
    }
  }
  std::optional<GroupCallAnswered> answer(const CallGroup &Call) {
    if (m_OnCall)
      m_OnCall(Call);
    std::string Name = Call.m_Instance.m_Name.m_Value;
    GroupCallAnswered Answer;
    if (m_Silent.contains(Name))
      return Answer;
    if (Call.m_Kind == GroupCallKind::DemotePrimary && m_RefusesDemotion &&
        m_RefusesDemotion()) {
      Answer.m_Outcome = GroupCallOutcome::Refused;
      return Answer;
    }
    Answer.m_Outcome = GroupCallOutcome::Done;
    Answer.m_Term = 3;
    Answer.m_Received = {3, m_Received.at(Name)};
    if (Call.m_Kind == GroupCallKind::DemotePrimary && m_Primary == Name)
      m_Primary.clear();
    if (Call.m_Kind == GroupCallKind::Promote) {
      uint64_t Acknowledged = m_Received.at("a");
      m_LostCommits +=
          Acknowledged - std::min(Acknowledged, m_Received.at(Name));
      m_Primary = Name;
    }
    return Answer;
  }
  OperationId nextOperation() {
    return OperationId{10'000 + ++m_LastOperation};
  }

  uint64_t m_Sequence = 0;
  uint64_t m_LastOperation = 0;
};

} // namespace

TEST_CASE("evacuation: orders repeat without effect, unknown zones and the "
          "last zone are refused, and the later of opposite orders counts") {
  Fleet Test;
  CHECK(Test.order({"nowhere"}, true).m_Error->m_Kind == ErrorKind::NotFound);
  CHECK(Test.isAccepted({"z2"}, true));
  CHECK(Test.isAccepted({"z2"}, true));
  CHECK(Test.isAccepted({"z3"}, true));
  CHECK(Test.order({"z1"}, true).m_Error->m_Kind == ErrorKind::BadRequest);
  CHECK(Test.isAccepted({"z3"}, false));
  CHECK(Test.isAccepted({"z3"}, false));
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(Test.m_Sim.board(Index).configuration().evacuatedZones() ==
          std::set<AvailabilityZone>{{"z2"}});
}

// Guards against an acknowledged evacuation that is forgotten: instances that
// are about to lose power would be used again.
TEST_CASE("evacuation: an accepted order survives the restart of all control "
          "hosts and a lost disk") {
  Fleet Test;
  REQUIRE(Test.isAccepted({"z2"}, true));
  for (size_t Index = 0; Index < 3; ++Index)
    Test.m_Sim.stop(Index);
  for (size_t Index = 0; Index < 3; ++Index)
    Test.m_Sim.start(Index);
  REQUIRE(Test.m_Sim.awaitVoters(3));
  size_t Lost = (Test.leader() + 1) % 3;
  Test.m_Sim.stopAndWipe(Lost);
  Test.m_Sim.start(Lost);
  REQUIRE(Test.m_Sim.awaitVoters(3));
  for (size_t Index = 0; Index < 3; ++Index)
    CHECK(Test.m_Sim.board(Index).configuration().isEvacuated({"z2"}));
}

// Guards against losing the commits that a primary acknowledged just before it
// was replaced: replicas are some milliseconds behind.
TEST_CASE("evacuation: the primary of the zone is demoted first, and a replica "
          "is promoted once it holds all commits") {
  Fleet Test;
  Test.m_Received = {{"a", 20}, {"b", 12}, {"c", 9}};
  Test.m_OnCall = [&](const CallGroup &Call) {
    // The last commits arrive after the third reading of positions.
    if (Call.m_Kind == GroupCallKind::ReadPosition &&
        Test.countCalls(GroupCallKind::ReadPosition, "b") >= 3)
      Test.m_Received["b"] = 20;
  };
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  Time OrderedAt = Test.m_Sim.m_Now;
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Primary == "b"; }));
  CHECK(Test.m_Sim.m_Now - OrderedAt < std::chrono::seconds(2));
  CHECK(Test.countCalls(GroupCallKind::DemotePrimary, "a") == 1);
  CHECK(Test.m_LostCommits == 0);
  Test.run(std::chrono::seconds(5));
  CHECK(Test.m_Primary == "b");
  CHECK(Test.countCalls(GroupCallKind::Promote, "b") == 1);
}

TEST_CASE("evacuation: a replica that stays behind does not hold the group "
          "without a primary for ever") {
  Fleet Test;
  Test.m_Received = {{"a", 20}, {"b", 12}, {"c", 9}};
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Primary == "b"; }));
  CHECK(Test.m_LostCommits == 8);
}

TEST_CASE("evacuation: a primary that does not answer its demotion is replaced "
          "all the same") {
  Fleet Test;
  Test.m_Silent = {"a"};
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  REQUIRE(Test.m_Sim.runUntil([&] {
    return Test.countCalls(GroupCallKind::Promote, "b") +
               Test.countCalls(GroupCallKind::Promote, "c") ==
           1;
  }));
}

// Guards against a failover into a zone that is about to lose power.
TEST_CASE("evacuation: no instance of an evacuated zone is promoted, failovers "
          "included") {
  Fleet Test;
  REQUIRE(Test.isAccepted({"z2"}, true));
  REQUIRE(Test.isAccepted({"z3"}, true));
  for (const char *Host : {"h1", "h2", "h3"})
    Test.m_Sim.m_Hosts[HostName{Host}].m_Reports = {
        InstanceReport{kGroup, InstanceName{"a"}, 600, {}, 0, false}};
  Test.m_Silent = {"a"};
  Test.run(std::chrono::seconds(8));
  CHECK(Test.countCalls(GroupCallKind::Promote, "b") == 0);
  CHECK(Test.countCalls(GroupCallKind::Promote, "c") == 0);
  REQUIRE(Test.isAccepted({"z3"}, false));
  Test.run(std::chrono::seconds(3));
  CHECK(Test.countCalls(GroupCallKind::Promote, "c") >= 1);
  CHECK(Test.countCalls(GroupCallKind::Promote, "b") == 0);
}

// Guards against a group that stays without a primary when the leader is lost
// between the demotion and the promotion.
TEST_CASE("evacuation: the next leader finishes a move that was begun") {
  Fleet Test;
  Test.m_Received = {{"a", 20}, {"b", 20}, {"c", 9}};
  std::optional<size_t> Stopped;
  Test.m_OnCall = [&](const CallGroup &Call) {
    if (Call.m_Kind == GroupCallKind::DemotePrimary && !Stopped)
      Stopped = Test.leader();
  };
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  REQUIRE(Test.m_Sim.runUntil([&] { return Stopped.has_value(); }));
  Test.m_Sim.stop(*Stopped);
  for (int Step = 0; Step < 100 && Test.m_Primary != "b"; ++Step)
    Test.run(milliseconds(100));
  CHECK(Test.m_Primary == "b");
  CHECK(Test.m_LostCommits == 0);
}

// Guards against the loss of a commit whose only copy outside of the primary is
// in an evacuated zone.
TEST_CASE("evacuation: with synchronous replicas, a failover waits for the "
          "replica that holds all commits") {
  Fleet Test(1);
  REQUIRE(Test.isAccepted({"z2"}, true));
  Test.m_Received = {{"a", 20}, {"b", 20}, {"c", 9}};
  for (const char *Host : {"h1", "h2", "h3"})
    Test.m_Sim.m_Hosts[HostName{Host}].m_Reports = {
        InstanceReport{kGroup, InstanceName{"a"}, 600, {}, 0, false}};
  Test.m_Silent = {"a"};
  Test.run(std::chrono::seconds(8));
  CHECK(Test.countCalls(GroupCallKind::Promote, "c") == 0);
  CHECK(Test.countCalls(GroupCallKind::SealReplica, "b") > 0);
  REQUIRE(Test.isAccepted({"z2"}, false));
  Test.run(std::chrono::seconds(3));
  CHECK(Test.countCalls(GroupCallKind::Promote, "b") >= 1);
  CHECK(Test.m_LostCommits == 0);
}

// Guards against a promotion into a zone that was evacuated during the move.
TEST_CASE("evacuation: a second zone that is evacuated during a move loses its "
          "candidates") {
  Fleet Test;
  Test.m_Received = {{"a", 20}, {"b", 20}, {"c", 20}};
  bool HasOrdered = false;
  Test.m_OnCall = [&](const CallGroup &Call) {
    if (Call.m_Kind != GroupCallKind::DemotePrimary || HasOrdered)
      return;
    HasOrdered = true;
    Test.m_Sim.handle(
        Test.leader(),
        ZoneEvacuationRequested{OperationId{99'999}, {{"z2"}, true}, "ann"});
    // The replicas are asked only after the order is in the log.
    Test.m_Received = {{"a", 20}, {"b", 19}, {"c", 18}};
  };
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  for (int Step = 0; Step < 60 && Test.m_Primary != "c"; ++Step)
    Test.run(milliseconds(100));
  CHECK(Test.m_Primary == "c");
  CHECK(Test.countCalls(GroupCallKind::Promote, "b") == 0);
}

// Guards against a group without a primary whose only reachable instance is the
// one that was demoted.
TEST_CASE("evacuation: a demoted primary is promoted again when its zone is "
          "restored and no other instance can lead") {
  Fleet Test;
  Test.m_OnCall = [&](const CallGroup &Call) {
    if (Call.m_Kind == GroupCallKind::DemotePrimary)
      Test.m_Silent = {"b", "c"};
  };
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Primary.empty(); }));
  REQUIRE(Test.isAccepted(kZoneOfPrimary, false));
  for (int Step = 0; Step < 100 && Test.m_Primary != "a"; ++Step)
    Test.run(milliseconds(100));
  CHECK(Test.m_Primary == "a");
}

// Guards against a lossy promotion because an overloaded primary refused one
// call.
TEST_CASE("evacuation: a demotion that the primary refuses is repeated") {
  Fleet Test;
  size_t Refusals = 2;
  Test.m_RefusesDemotion = [&] { return Refusals > 0 && Refusals-- > 0; };
  REQUIRE(Test.isAccepted(kZoneOfPrimary, true));
  for (int Step = 0;
       Step < 40 && Test.m_Primary != "b" && Test.m_Primary != "c"; ++Step)
    Test.run(milliseconds(100));
  CHECK(Test.countCalls(GroupCallKind::DemotePrimary, "a") == 3);
  CHECK((Test.m_Primary == "b" || Test.m_Primary == "c"));
}

// Guards against an evacuation that cannot be ordered while a control host is
// down: the next leader has never heard from it.
TEST_CASE("evacuation: a control host that is down does not prevent an order") {
  Fleet Test;
  REQUIRE(Test.isAccepted({"z2"}, true));
  Test.m_Sim.stop(Test.leader());
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Sim.leader().has_value(); }));
  CHECK(Test.isAccepted({"z3"}, true));
}
