#include "control/Simulation.h"

#include <random>

using namespace almondpier;
using namespace almondpier::controltest;

namespace {

const DatabaseName kGroup{"records"};

/// A group with one synchronous replica, as the pages describe it: a commit is
/// acknowledged once any replica has received it, known to the control hosts or
/// not.
class SynchronousGroup {
public:
  struct Member {
    bool m_IsUp = true;
    bool m_IsPrimary = false;
    bool m_IsDraining = false;
    /// Receives nothing, though it is not sealed.
    bool m_IsDeaf = false;
    /// Does not answer control hosts.
    bool m_IsDark = false;
    uint64_t m_Term = 1;
    uint64_t m_HeldTerm = 0;
    uint64_t m_Received = 0;
    uint64_t m_Sequence = 0;
    uint64_t m_StartedAtMs = 1'000;
    uint16_t m_Port = 0;
    /// Delay of its answers.
    Duration m_AnswerDelay = milliseconds(1);
  };

  static constexpr Duration kPromotionTime = milliseconds(1'000);

  SynchronousGroup() : m_Sim(3) {
    REQUIRE(m_Sim.awaitVoters(3));
    InstallPolicy Install;
    Install.m_Policy.m_Version = 1;
    Install.m_Policy.m_Groups[kGroup] = GroupPolicy{20, 1};
    m_Sim.handle(*m_Sim.leader(), PolicySubmitted{nextOperation(), Install});
    m_Sim.m_AnswerGroupCall =
        [this](const CallGroup &Call) -> std::optional<GroupCallAnswered> {
      receive(Call);
      return std::nullopt;
    };
    m_Sim.addHost("h1");
    start("a");
    start("b");
    start("c");
    m_Members["a"].m_IsPrimary = true;
    run(std::chrono::seconds(4));
    REQUIRE(m_Acknowledged > 0);
  }

  void start(const std::string &Name) {
    Member Started;
    Started.m_StartedAtMs = 1'000 + ++m_Boots;
    Started.m_Port = static_cast<uint16_t>(100 + m_Boots);
    // It copies the log before it takes part.
    for (const auto &[Other, Running] : m_Members)
      if (Running.m_IsPrimary)
        Started.m_Term = Running.m_Term;
    m_Members[Name] = Started;
    checkIn(Name);
  }
  void drain(const std::string &Name) {
    m_Members.at(Name).m_IsDraining = true;
    checkIn(Name);
  }
  void leave(const std::string &Name) {
    sendLeave(Name, m_Members.at(Name).m_StartedAtMs);
    m_Members.at(Name).m_IsUp = false;
  }
  void sendLeave(const std::string &Name, uint64_t StartedAtMs) {
    InstanceCheckIn Leaving;
    Leaving.m_Instance.m_Name = InstanceName{Name};
    Leaving.m_Instance.m_StartedAtMs = StartedAtMs;
    Leaving.m_IsLeaving = true;
    deliver(Leaving);
  }
  /// The only host with connections to the instance gets no answers from it.
  void reportUnreachable(const std::string &Name) {
    m_Sim.m_Hosts[HostName{"h1"}].m_Reports = {
        InstanceReport{kGroup, InstanceName{Name}, 600, {}, 0, false}};
  }
  void clearReports() { m_Sim.m_Hosts[HostName{"h1"}].m_Reports.clear(); }
  void run(Duration Time) {
    for (almondpier::Time End = m_Sim.m_Now + Time; m_Sim.m_Now < End;) {
      m_Sim.step();
      deliverDue();
      if (++m_Steps % 2 == 0)
        commit();
      if (m_Steps % 400 == 0)
        for (const auto &[Name, Running] : m_Members)
          if (Running.m_IsUp)
            checkIn(Name);
    }
  }
  bool runUntil(const std::function<bool()> &Condition, Duration Limit) {
    for (almondpier::Time End = m_Sim.m_Now + Limit;
         m_Sim.m_Now < End && !Condition();)
      run(milliseconds(10));
    return Condition();
  }
  std::string primary() const {
    for (const auto &[Name, Running] : m_Members)
      if (Running.m_IsPrimary && Running.m_IsUp)
        return Name;
    return "";
  }
  /// Returns whether commits are acknowledged.
  bool isServing() {
    uint64_t Before = m_Acknowledged;
    run(milliseconds(100));
    return m_Acknowledged > Before;
  }
  size_t countCalls(GroupCallKind Kind) const {
    return static_cast<size_t>(std::count_if(
        m_Sim.m_GroupCalls.begin(), m_Sim.m_GroupCalls.end(),
        [&](const CallGroup &Call) { return Call.m_Kind == Kind; }));
  }

  Simulation m_Sim;
  std::map<std::string, Member> m_Members;
  /// Called for each call, before it is carried out.
  std::function<void(const CallGroup &)> m_OnCall;
  uint64_t m_Acknowledged = 0;
  /// Acknowledged commits that a promoted instance lacked.
  uint64_t m_Lost = 0;
  size_t m_Promotions = 0;

private:
  void deliver(const InstanceCheckIn &CheckIn) {
    if (m_Sim.leader())
      m_Sim.handle(*m_Sim.leader(),
                   InstanceCheckedIn{nextOperation(), CheckIn});
  }
  void checkIn(const std::string &Name) {
    Member &Sender = m_Members.at(Name);
    InstanceCheckIn CheckIn;
    InstanceDescription &Instance = CheckIn.m_Instance;
    Instance.m_Name = InstanceName{Name};
    Instance.m_Database = kGroup;
    Instance.m_Zone = {"z"};
    Instance.m_StatementEndpoint = {"127.0.0.1", Sender.m_Port};
    Instance.m_IsPrimary = Sender.m_IsPrimary;
    Instance.m_State =
        Sender.m_IsDraining ? InstanceState::Draining : InstanceState::Ready;
    Instance.m_StartedAtMs = Sender.m_StartedAtMs;
    CheckIn.m_Sequence = ++Sender.m_Sequence;
    deliver(CheckIn);
  }
  /// The primary commits, each replica that receives gets everything up to it.
  void commit() {
    std::string Leader = primary();
    if (Leader.empty())
      return;
    uint64_t Position = ++m_Members.at(Leader).m_Received;
    for (auto &[Name, Replica] : m_Members) {
      if (Name == Leader || !Replica.m_IsUp || Replica.m_IsDeaf ||
          Replica.m_HeldTerm > 0)
        continue;
      Replica.m_Received = Position;
      Replica.m_Term = m_Members.at(Leader).m_Term;
      m_Acknowledged = std::max(m_Acknowledged, Position);
    }
  }

  void schedule(Duration After, std::function<void()> Action) {
    m_Due.emplace(m_Sim.m_Now + After, std::move(Action));
  }
  void deliverDue() {
    while (!m_Due.empty() && m_Due.begin()->first <= m_Sim.m_Now) {
      std::function<void()> Action = std::move(m_Due.begin()->second);
      m_Due.erase(m_Due.begin());
      Action();
    }
  }
  void answer(GroupCallAnswered Answer, const CallGroup &Call, Duration After) {
    Duration Limit = milliseconds(Call.m_TimeoutMs);
    if (After >= Limit)
      Answer = GroupCallAnswered();
    Answer.m_Call = Call.m_Call;
    schedule(std::min(After, Limit), [this, Answer] {
      if (m_Sim.leader())
        m_Sim.handle(*m_Sim.leader(), Answer);
    });
  }
  void receive(const CallGroup &Call) {
    if (m_OnCall)
      m_OnCall(Call);
    std::string Name = Call.m_Instance.m_Name.m_Value;
    auto Found = m_Members.find(Name);
    bool IsRunning = Found != m_Members.end() && Found->second.m_IsUp;
    GroupCallAnswered Answer;
    if (Call.m_Kind == GroupCallKind::Promote) {
      Answer.m_Outcome =
          IsRunning ? GroupCallOutcome::Done : GroupCallOutcome::Refused;
      answer(Answer, Call, milliseconds(1));
      if (IsRunning)
        schedule(kPromotionTime, [this, Name] { promote(Name); });
      return;
    }
    if (!IsRunning || Found->second.m_IsDark)
      return answer(Answer, Call, milliseconds(Call.m_TimeoutMs));
    Member &Called = Found->second;
    if (Call.m_Kind == GroupCallKind::SealReplica && !Called.m_IsPrimary &&
        Call.m_SealTerm > Called.m_Term)
      Called.m_HeldTerm = Call.m_SealTerm;
    if (Call.m_Kind == GroupCallKind::ResumeReplica)
      Called.m_HeldTerm = 0;
    if (Call.m_Kind == GroupCallKind::DemotePrimary && Called.m_IsPrimary &&
        Call.m_SealTerm > Called.m_Term) {
      Called.m_IsPrimary = false;
      checkIn(Name);
    }
    Answer.m_Outcome = GroupCallOutcome::Done;
    Answer.m_Term = Called.m_Term;
    Answer.m_Received = {Called.m_Term, Called.m_Received};
    Answer.m_IsPrimary = Called.m_IsPrimary;
    Answer.m_HeldTerm = Called.m_HeldTerm;
    answer(Answer, Call, Called.m_AnswerDelay);
  }
  void promote(const std::string &Name) {
    Member &Promoted = m_Members.at(Name);
    if (!Promoted.m_IsUp || Promoted.m_IsPrimary)
      return;
    ++m_Promotions;
    m_Lost += m_Acknowledged - std::min(m_Acknowledged, Promoted.m_Received);
    m_Acknowledged = std::min(m_Acknowledged, Promoted.m_Received);
    uint64_t Term = 0;
    for (const auto &[Other, Running] : m_Members)
      Term = std::max(Term, Running.m_Term);
    for (auto &[Other, Running] : m_Members) {
      Running.m_IsPrimary = Other == Name;
      Running.m_Received = std::min(Running.m_Received, Promoted.m_Received);
      Running.m_HeldTerm = 0;
      Running.m_Term = Term + 1;
      if (Running.m_IsUp)
        checkIn(Other);
    }
  }
  OperationId nextOperation() {
    return OperationId{20'000 + ++m_LastOperation};
  }

  std::multimap<Time, std::function<void()>> m_Due;
  uint64_t m_Steps = 0;
  uint64_t m_Boots = 0;
  uint64_t m_LastOperation = 0;
};

} // namespace

// LOST: the set of replicas was taken once, and a replica that started between
// the seal and the promotion received what the draining primary went on to
// acknowledge.
TEST_CASE(
    "promotion: a replica that starts during a change of primary costs no "
    "acknowledged commit") {
  for (Duration After : {milliseconds(5), milliseconds(60), milliseconds(300),
                         milliseconds(900)}) {
    CAPTURE(After / milliseconds(1));
    SynchronousGroup Group;
    Group.start("a2");
    Group.run(milliseconds(500));
    Group.drain("a");
    Group.run(After);
    Group.start("d");
    REQUIRE(Group.runUntil([&] { return Group.m_Promotions > 0; },
                           std::chrono::seconds(5)));
    CHECK(Group.m_Lost == 0);
    Group.run(std::chrono::seconds(3));
    CHECK(Group.isServing());
  }
}

// LOST: the term to seal at was kept from the change before, so that the seal
// of the second one had no effect and was counted.
TEST_CASE("promotion: each change of primary under one leader learns the term "
          "anew") {
  enum class Reason : uint8_t { Draining, DrainingAndDark, Unreachable };
  for (Reason Why :
       {Reason::Draining, Reason::DrainingAndDark, Reason::Unreachable}) {
    CAPTURE(static_cast<int>(Why));
    SynchronousGroup Group;
    std::string Old = "a";
    for (size_t Change = 1; Change <= 3; ++Change) {
      CAPTURE(Change);
      Group.start(std::string(1, static_cast<char>('c' + Change)));
      Group.run(milliseconds(500));
      Group.m_Members.at(Old).m_IsDark = Why != Reason::Draining;
      if (Why == Reason::Unreachable)
        Group.reportUnreachable(Old);
      else
        Group.drain(Old);
      // The chosen replica receives nothing from the order on.
      Group.m_OnCall = [&](const CallGroup &Call) {
        if (Call.m_Kind == GroupCallKind::Promote)
          Group.m_Members.at(Call.m_Instance.m_Name.m_Value).m_IsDeaf = true;
      };
      REQUIRE(Group.runUntil([&] { return Group.m_Promotions == Change; },
                             std::chrono::seconds(6)));
      Group.m_OnCall = nullptr;
      CHECK(Group.m_Lost == 0);
      Group.clearReports();
      for (auto &[Name, Member] : Group.m_Members)
        Member.m_IsDeaf = false;
      Group.run(std::chrono::seconds(3));
      Group.leave(Old);
      Old = Group.primary();
      REQUIRE(!Old.empty());
      Group.run(std::chrono::seconds(2));
      CHECK(Group.isServing());
    }
  }
}

// LOST: a draining replica still counts for the primary, but was neither sealed
// nor read.
TEST_CASE("promotion: a draining replica that alone holds acknowledged commits "
          "is waited for") {
  for (bool IsDark : {false, true}) {
    CAPTURE(IsDark);
    SynchronousGroup Group;
    Group.m_Members.at("c").m_IsDeaf = true;
    Group.drain("b");
    Group.run(milliseconds(500));
    Group.m_Members.at("a").m_IsDark = IsDark;
    Group.drain("a");
    Group.run(std::chrono::seconds(4));
    CHECK(Group.m_Lost == 0);
    // It receives again and catches up.
    Group.m_Members.at("c").m_IsDeaf = false;
    Group.m_Members.at("c").m_HeldTerm = 0;
    Group.m_Members.at("c").m_Received = Group.m_Members.at("b").m_Received;
    CHECK(Group.runUntil([&] { return Group.primary() == "c"; },
                         std::chrono::seconds(6)));
    CHECK(Group.m_Lost == 0);
  }
}

// LOST: a leave of an earlier boot hid the running one, which went on
// acknowledging.
TEST_CASE(
    "directory: a late leave of an earlier boot does not hide the running "
    "one") {
  SynchronousGroup Group;
  uint64_t Earlier = Group.m_Members.at("c").m_StartedAtMs;
  Group.leave("c");
  Group.run(milliseconds(500));
  Group.start("c");
  Group.run(milliseconds(500));
  Group.sendLeave("c", Earlier);
  Group.run(milliseconds(500));
  const std::vector<InstanceDescription> &Known =
      Group.m_Sim.board(*Group.m_Sim.leader()).m_Directory.m_Instances;
  CHECK(std::any_of(Known.begin(), Known.end(),
                    [](const InstanceDescription &Instance) {
                      return Instance.m_Name.m_Value == "c";
                    }));
}

// A late answer to a STATUS was taken for that to the PAUSE of the next pass.
TEST_CASE(
    "promotion: an answer to an earlier request does not count as that of "
    "a seal") {
  SynchronousGroup Group;
  Group.m_Members.at("a").m_IsDark = true;
  // Answers arrive after the time for which they are collected.
  Group.m_Members.at("c").m_AnswerDelay = milliseconds(300);
  bool IsCSealed = true;
  Group.m_OnCall = [&](const CallGroup &Call) {
    if (Call.m_Kind == GroupCallKind::Promote)
      IsCSealed = Group.m_Members.at("c").m_HeldTerm > 0;
    // The request to seal is lost.
    if (Call.m_Kind == GroupCallKind::SealReplica &&
        Call.m_Instance.m_Name.m_Value == "c")
      Group.m_Members.at("c").m_IsDark = true;
  };
  Group.drain("a");
  Group.run(std::chrono::seconds(3));
  CHECK((Group.countCalls(GroupCallKind::Promote) == 0 || IsCSealed));
  CHECK(Group.m_Lost == 0);
}

// Replicas that stay sealed would let no commit be acknowledged any more.
TEST_CASE("promotion: sealed replicas receive again after an attempt that ends "
          "without a promotion") {
  for (bool ChangesLeader : {false, true}) {
    CAPTURE(ChangesLeader);
    SynchronousGroup Group;
    Group.m_Members.at("a").m_IsDark = true;
    Group.m_Members.at("c").m_IsDark = true;
    Group.drain("a");
    REQUIRE(
        Group.runUntil([&] { return Group.m_Members.at("b").m_HeldTerm > 0; },
                       std::chrono::seconds(3)));
    Group.m_Members.at("a").m_IsDraining = false;
    Group.m_Members.at("a").m_IsDark = false;
    Group.m_Members.at("c").m_IsDark = false;
    if (ChangesLeader) {
      Group.m_Sim.stop(*Group.m_Sim.leader());
      REQUIRE(Group.runUntil([&] { return Group.m_Sim.leader().has_value(); },
                             std::chrono::seconds(5)));
    }
    Group.run(std::chrono::seconds(14));
    CHECK(Group.m_Members.at("b").m_HeldTerm == 0);
    CHECK(Group.isServing());
    CHECK(Group.m_Lost == 0);
  }
}

// Drains, starts, lagging replicas, late leaves and slow answers overlap.
TEST_CASE(
    "promotion: no acknowledged commit is lost in a random mix of drains, "
    "starts, lagging replicas and slow answers") {
  constexpr uint32_t kSeeds = 50;
  size_t Promotions = 0;
  for (uint32_t Seed = 1; Seed <= kSeeds; ++Seed) {
    CAPTURE(Seed);
    std::mt19937 Random(Seed);
    auto Below = [&](size_t Count) { return Random() % Count; };
    SynchronousGroup Group;
    size_t LastName = 0;
    for (int Step = 0; Step < 12; ++Step) {
      std::vector<std::string> Running;
      for (const auto &[Name, Member] : Group.m_Members)
        if (Member.m_IsUp && !Member.m_IsDraining)
          Running.push_back(Name);
      switch (Below(5)) {
      case 0:
        Group.start("n" + std::to_string(++LastName));
        break;
      case 1:
        // Two that serve stay.
        if (Running.size() > 2)
          Group.drain(Running[Below(Running.size())]);
        break;
      case 2:
        for (auto &[Name, Member] : Group.m_Members)
          Member.m_IsDeaf = false;
        Group.m_Members.at(Running[Below(Running.size())]).m_IsDeaf = true;
        break;
      case 3:
        Group.m_Members.at(Running[Below(Running.size())]).m_AnswerDelay =
            milliseconds(1 + Below(380));
        break;
      default:
        Group.start("n" + std::to_string(++LastName));
        if (Running.size() > 1 && !Group.primary().empty())
          Group.drain(Group.primary());
        break;
      }
      Group.run(milliseconds(Below(2'500)));
    }
    for (auto &[Name, Member] : Group.m_Members) {
      Member.m_IsDeaf = false;
      Member.m_AnswerDelay = milliseconds(1);
      if (Member.m_IsDraining && !Member.m_IsPrimary && Member.m_IsUp)
        Group.leave(Name);
    }
    Group.run(std::chrono::seconds(15));
    CHECK(Group.m_Lost == 0);
    CHECK(Group.isServing());
    Promotions += Group.m_Promotions;
  }
  CHECK(Promotions > kSeeds);
}
