#include "control/Simulation.h"

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

const DatabaseName kGroup{"records"};

InstanceCheckIn checkInOf(const std::string &Name, bool IsPrimary,
                          uint64_t Sequence, uint16_t Port,
                          uint64_t StartedAtMs = 1'000) {
  InstanceCheckIn CheckIn;
  CheckIn.m_Instance.m_Name = InstanceName{Name};
  CheckIn.m_Instance.m_Database = kGroup;
  CheckIn.m_Instance.m_StatementEndpoint = {"127.0.0.1", Port};
  CheckIn.m_Instance.m_IsPrimary = IsPrimary;
  CheckIn.m_Instance.m_StartedAtMs = StartedAtMs;
  CheckIn.m_Sequence = Sequence;
  return CheckIn;
}

/// A control cluster whose directory holds three instances; the first is the
/// primary.
class Group {
public:
  explicit Group(uint32_t SyncReplicas = 0) : m_Sim(3) {
    REQUIRE(m_Sim.awaitVoters(3));
    InstallPolicy Install;
    Install.m_Policy.m_Version = 1;
    Install.m_Policy.m_Groups[kGroup] = GroupPolicy{20, SyncReplicas};
    m_Sim.handle(leader(), PolicySubmitted{nextOperation(), Install});
    for (const char *Name : {"h1", "h2", "h3", "h4"})
      m_Sim.addHost(Name);
    checkInAll();
    m_Sim.run(std::chrono::seconds(3));
    checkInAll();
  }

  size_t leader() { return *m_Sim.leader(); }
  void checkIn(const InstanceCheckIn &CheckIn) {
    m_Sim.handle(leader(), InstanceCheckedIn{nextOperation(), CheckIn});
  }
  void checkInAll() {
    ++m_Sequence;
    checkIn(checkInOf("a", true, m_Sequence, 1));
    checkIn(checkInOf("b", false, m_Sequence, 2));
    checkIn(checkInOf("c", false, m_Sequence, 3));
  }
  /// Runs while all instances except the primary check in.
  void runWithoutPrimaryCheckIns(Duration Time) {
    for (almondpier::Time Deadline = m_Sim.m_Now + Time;
         m_Sim.m_Now < Deadline;) {
      ++m_Sequence;
      checkIn(checkInOf("b", false, m_Sequence, 2));
      checkIn(checkInOf("c", false, m_Sequence, 3));
      m_Sim.run(milliseconds(500));
    }
  }
  void reportUnreachable(const std::vector<std::string> &Hosts) {
    for (const std::string &Host : Hosts)
      m_Sim.m_Hosts[HostName{Host}].m_Reports = {
          InstanceReport{kGroup, InstanceName{"a"}, 600, {}, 0, false}};
  }
  std::vector<CallGroup> promotions() const {
    std::vector<CallGroup> Result;
    for (const CallGroup &Call : m_Sim.m_GroupCalls)
      if (Call.m_Kind == GroupCallKind::Promote)
        Result.push_back(Call);
    return Result;
  }
  const InstanceDescription *directoryEntry(const std::string &Name) {
    for (const InstanceDescription &Instance :
         m_Sim.board(leader()).m_Directory.m_Instances)
      if (Instance.m_Name.m_Value == Name)
        return &Instance;
    return nullptr;
  }
  /// Replicas b and c report the positions 5 and 9. The primary a answers the
  /// leader's requests when PrimaryAnswers is set.
  void answerPositionReads(bool PrimaryAnswers = false) {
    m_Sim.m_AnswerGroupCall =
        [PrimaryAnswers](
            const CallGroup &Call) -> std::optional<GroupCallAnswered> {
      GroupCallAnswered Answer;
      if (!PrimaryAnswers && Call.m_Instance.m_Name.m_Value == "a")
        return Answer;
      Answer.m_Outcome = GroupCallOutcome::Done;
      Answer.m_Term = 3;
      Answer.m_Received = {
          3, Call.m_Instance.m_Name.m_Value == "c" ? uint64_t{9} : uint64_t{5}};
      return Answer;
    };
  }

  Simulation m_Sim;
  uint64_t m_Sequence = 0;

private:
  OperationId nextOperation() {
    return OperationId{10'000 + ++m_LastOperation};
  }
  uint64_t m_LastOperation = 0;
};

} // namespace

TEST_CASE("promotion: a primary that several hosts cannot reach is replaced by "
          "the most advanced replica") {
  Group Test;
  Test.answerPositionReads();
  Test.reportUnreachable({"h1", "h2"});
  Test.runWithoutPrimaryCheckIns(milliseconds(1'500));
  REQUIRE(!Test.promotions().empty());
  CHECK(Test.promotions().front().m_Instance.m_Name.m_Value == "c");
  CHECK(Test.promotions().front().m_FencingToken > 0);
}

TEST_CASE("promotion: a report of a single host does not replace a primary "
          "that still checks in") {
  Group Test;
  Test.answerPositionReads(true);
  Test.reportUnreachable({"h1"});
  for (int Step = 0; Step < 8; ++Step) {
    Test.checkInAll();
    Test.m_Sim.run(milliseconds(500));
  }
  CHECK(Test.promotions().empty());
}

TEST_CASE("promotion: a departing primary is replaced while it still serves") {
  Group Test;
  Test.answerPositionReads();
  InstanceCheckIn Draining = checkInOf("a", true, 900, 1);
  Draining.m_Instance.m_State = InstanceState::Draining;
  Test.checkIn(Draining);
  Test.m_Sim.run(milliseconds(600));
  REQUIRE(!Test.promotions().empty());
  CHECK(Test.promotions().front().m_Instance.m_Name.m_Value == "c");
}

TEST_CASE(
    "promotion: fencing tokens rise with every attempt and every leader") {
  Group Test;
  Test.answerPositionReads();
  std::function<std::optional<GroupCallAnswered>(const CallGroup &)>
      AnswerPositionReads = Test.m_Sim.m_AnswerGroupCall;
  Test.m_Sim.m_AnswerGroupCall = [&](const CallGroup &Call) {
    std::optional<GroupCallAnswered> Answer = AnswerPositionReads(Call);
    if (Call.m_Kind == GroupCallKind::Promote)
      Answer->m_Outcome = GroupCallOutcome::Unknown;
    return Answer;
  };
  Test.reportUnreachable({"h1", "h2", "h3"});
  Test.runWithoutPrimaryCheckIns(milliseconds(3'000));
  Test.m_Sim.stop(Test.leader());
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Sim.leader().has_value(); }));
  Test.runWithoutPrimaryCheckIns(milliseconds(8'000));
  std::vector<CallGroup> Calls = Test.promotions();
  REQUIRE(Calls.size() >= 3);
  for (size_t Index = 1; Index < Calls.size(); ++Index)
    CHECK(Calls[Index].m_FencingToken > Calls[Index - 1].m_FencingToken);
}

TEST_CASE("promotion: with a synchronous replica, every replica that may hold "
          "an acknowledged commit is sealed and read first") {
  Group Test(1);
  Test.answerPositionReads();
  std::function<std::optional<GroupCallAnswered>(const CallGroup &)>
      AnswerPositionReads = Test.m_Sim.m_AnswerGroupCall;
  Test.m_Sim.m_AnswerGroupCall =
      [&](const CallGroup &Call) -> std::optional<GroupCallAnswered> {
    if (Call.m_Instance.m_Name.m_Value == "c")
      return GroupCallAnswered{{}, GroupCallOutcome::Unknown, {}, 0, false};
    return AnswerPositionReads(Call);
  };
  Test.reportUnreachable({"h1", "h2", "h3"});
  Test.runWithoutPrimaryCheckIns(milliseconds(3'000));
  CHECK(Test.promotions().empty());
  Test.m_Sim.m_AnswerGroupCall = AnswerPositionReads;
  Test.runWithoutPrimaryCheckIns(milliseconds(2'000));
  REQUIRE(!Test.promotions().empty());
  CHECK(Test.promotions().front().m_Instance.m_Name.m_Value == "c");
  bool HasSealed = false;
  for (const CallGroup &Call : Test.m_Sim.m_GroupCalls)
    HasSealed = HasSealed || Call.m_Kind == GroupCallKind::SealReplica;
  CHECK(HasSealed);
}

TEST_CASE("directory: late check-ins of an earlier boot or number change "
          "nothing") {
  Group Test;
  InstanceCheckIn Newer = checkInOf("b", false, 1, 2, 5'000);
  Test.checkIn(Newer);
  InstanceCheckIn Late = checkInOf("b", true, 80, 2, 1'000);
  Test.checkIn(Late);
  Test.m_Sim.run(milliseconds(50));
  REQUIRE(Test.directoryEntry("b") != nullptr);
  CHECK(!Test.directoryEntry("b")->m_IsPrimary);
  CHECK(Test.directoryEntry("b")->m_StartedAtMs == 5'000);
}

TEST_CASE("directory: an address that was reused belongs to the later boot") {
  Group Test;
  Test.checkIn(checkInOf("d", false, 1, 2, 9'000));
  Test.m_Sim.run(milliseconds(50));
  CHECK(Test.directoryEntry("d") != nullptr);
  CHECK(Test.directoryEntry("b") == nullptr);
  // A delayed check-in of the instance that had the address before.
  Test.checkIn(checkInOf("b", false, 500, 2, 1'000));
  Test.m_Sim.run(milliseconds(50));
  CHECK(Test.directoryEntry("d") != nullptr);
  CHECK(Test.directoryEntry("b") == nullptr);
}

TEST_CASE("directory: an instance that left does not come back with a late "
          "check-in") {
  Group Test;
  InstanceCheckIn Leaving;
  Leaving.m_Instance.m_Name = InstanceName{"c"};
  Leaving.m_IsLeaving = true;
  Test.checkIn(Leaving);
  Test.checkIn(checkInOf("c", false, 700, 3));
  Test.m_Sim.run(milliseconds(50));
  CHECK(Test.directoryEntry("c") == nullptr);
}

TEST_CASE("directory: an entry that does not fit the log is not recorded and "
          "the control hosts go on") {
  // Guards against one oversized entry, relayed by a host of an earlier build,
  // that ends each leader in turn.
  Group Test;
  Test.m_Sim.run(std::chrono::seconds(2));
  InstanceCheckIn Oversized = checkInOf("d", false, 1, 9);
  Oversized.m_Instance.m_Zone = AvailabilityZone{std::string(600'000, 'z')};
  Test.checkIn(Oversized);
  for (int Step = 0; Step < 5; ++Step) {
    Test.m_Sim.run(milliseconds(500));
    Test.checkInAll();
  }
  REQUIRE(Test.m_Sim.leader().has_value());
  CHECK(Test.directoryEntry("a") != nullptr);
  CHECK(Test.m_Sim.board(Test.leader()).m_State.directory().size() == 3);
}

TEST_CASE("directory: a primary behind a partition loses its role when another "
          "instance claims it") {
  // Guards against hosts that keep using a primary behind a partition because
  // its last check-in still claims the role after another instance was
  // promoted.
  Group Test;
  Test.checkIn(checkInOf("c", true, 600, 3));
  Test.m_Sim.run(milliseconds(50));
  REQUIRE(Test.directoryEntry("a") != nullptr);
  CHECK(!Test.directoryEntry("a")->m_IsPrimary);
  CHECK(Test.directoryEntry("c")->m_IsPrimary);
}

TEST_CASE("directory: a cluster that restarts as a whole knows its instances "
          "before they check in") {
  // Guards against statements finding no primary after a power loss of all
  // hosts until every instance has checked in again.
  Group Test;
  Test.m_Sim.run(std::chrono::seconds(2));
  REQUIRE(Test.m_Sim.board(Test.leader()).m_Directory.m_IsComplete);
  REQUIRE(Test.m_Sim.board(Test.leader()).m_State.directory().size() == 3);
  for (size_t Index = 0; Index < 3; ++Index)
    Test.m_Sim.stop(Index);
  for (size_t Index = 0; Index < 3; ++Index)
    Test.m_Sim.start(Index);
  REQUIRE(Test.m_Sim.runUntil([&] { return Test.m_Sim.leader().has_value(); }));
  Test.m_Sim.run(milliseconds(50));
  REQUIRE(Test.directoryEntry("a") != nullptr);
  CHECK(Test.directoryEntry("a")->m_IsPrimary);
  // Instances that do not check in again are removed soon.
  Test.runWithoutPrimaryCheckIns(milliseconds(4'500));
  CHECK(Test.directoryEntry("a") == nullptr);
  CHECK(Test.directoryEntry("b") != nullptr);
}

TEST_CASE("promotion: a primary that answers the leader is not replaced for "
          "the reports of busy hosts") {
  // Hosts whose connections an overloaded primary refused reported it as
  // unreachable, and it was replaced while it went on acknowledging writes.
  Group Test;
  Test.answerPositionReads(true);
  Test.reportUnreachable({"h1", "h2"});
  for (int Step = 0; Step < 8; ++Step) {
    Test.checkInAll();
    Test.m_Sim.run(milliseconds(500));
  }
  CHECK(Test.promotions().empty());
}

TEST_CASE("promotion: a primary that refuses the leader's request as "
          "overloaded is not replaced") {
  Group Test;
  Test.m_Sim.m_AnswerGroupCall =
      [](const CallGroup &) -> std::optional<GroupCallAnswered> {
    return GroupCallAnswered{{}, GroupCallOutcome::Refused, {}, 0, false};
  };
  Test.reportUnreachable({"h1", "h2"});
  for (int Step = 0; Step < 8; ++Step) {
    Test.checkInAll();
    Test.m_Sim.run(milliseconds(500));
  }
  CHECK(Test.promotions().empty());
}

TEST_CASE("promotion: the report of the only host with connections suffices "
          "when the leader gets no answer either") {
  // One host owns a group, so no other host notices that its primary is dark.
  // Without the leader's own request, the change of primary waited for the
  // check-ins to run out.
  Group Test;
  Test.answerPositionReads();
  Test.reportUnreachable({"h1"});
  Test.checkInAll();
  Test.m_Sim.run(milliseconds(1'200));
  REQUIRE(!Test.promotions().empty());
  CHECK(Test.promotions().front().m_Instance.m_Name.m_Value == "c");
}
