/// \file
/// Simulates control hosts, database instances and proxies on a manual clock.
/// Every message can be lost, and every process can stop and restart with the
/// state it had persisted.
#pragma once

#include "almondpier/StandIn.h"
#include "decision/control/ControlCore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

namespace almondpier::controltest {

using std::chrono::milliseconds;

/// Fault injected into a request to an instance.
enum class CallFault : uint8_t { Answered, RequestLost, AnswerLost };

struct SimulatedHost {
  HostRecord m_Record;
  bool m_IsUp = true;
  bool m_IsReady = true;
  std::vector<InstanceReport> m_Reports;
};

struct SimulatedInstance {
  InstanceRecord m_Record;
  std::unique_ptr<StandInInstance> m_Instance;
  bool m_IsUp = true;
};

struct SimulatedControl {
  ControlMember m_Member;
  std::unique_ptr<ControlCore> m_Core;
  PersistedLog m_Disk;
  uint64_t m_ClusterId = 0;
  bool m_IsIsolated = false;
  std::map<OperationId, ReplyToOperation> m_Replies;
  /// Messages sent to proxies.
  std::vector<Message> m_SentToProxies;
  bool m_IsShutDown = false;
  std::vector<std::string> m_StateChanges;
};

class Simulation {
public:
  static constexpr LinkId kProxyLink{1'000'000};

  /// The first Founders control hosts form the cluster together; Joining more
  /// hosts join it.
  static Simulation withFounders(size_t Founders, size_t Joining = 0) {
    return Simulation(Founders, Joining);
  }

  /// One control host per element, with or without a disk. The first three are
  /// the founders, which know one another by address only, and the seeds of all
  /// hosts.
  static Simulation withSeeds(const std::vector<bool> &HasDisk) {
    return Simulation(HasDisk);
  }

  explicit Simulation(size_t ControlHosts) {
    for (size_t Index = 0; Index < ControlHosts; ++Index)
      addControl(HostName{"c" + std::to_string(Index)});
    m_Controls[0].m_Disk = makeInitialLog(m_Controls[0].m_Member);
    m_Controls[0].m_ClusterId = kClusterId;
    for (size_t Index = 0; Index < ControlHosts; ++Index)
      start(Index);
  }

  size_t addControl(const HostName &Host) {
    SimulatedControl &Added = m_Controls.emplace_back();
    uint16_t Port = static_cast<uint16_t>(7'000 + m_Controls.size());
    Added.m_Member = {MemberId{100 + m_Controls.size()},
                      Host,
                      {"z1"},
                      {"127.0.0.1", Port},
                      {"127.0.0.2", Port}};
    return m_Controls.size() - 1;
  }

  void start(size_t Index) {
    SimulatedControl &Control = m_Controls[Index];
    ControlOptions Options;
    Options.m_Self = Control.m_Member;
    Options.m_ClusterId = Control.m_ClusterId;
    Options.m_Log = Control.m_Disk;
    Options.m_Seed = ++m_Seed;
    Options.m_JoinPeers = seedsOf(Index);
    Options.m_LostDisksBorne = m_ToleratedDiskLosses;
    Control.m_Core = std::make_unique<ControlCore>(Options, m_Now);
  }

  /// Changes the seeds in the settings of a host. A running process reads them
  /// only if IsRead.
  void setSeeds(size_t Index, const std::vector<size_t> &Seeds, bool IsRead) {
    m_SeedIndices[Index] = Seeds;
    if (IsRead)
      handle(Index, SeedsChanged{seedsOf(Index)});
  }

  /// Stops a host and erases its disk. On its next start it joins the cluster
  /// as a new member.
  void stopAndWipe(size_t Index) {
    stop(Index);
    SimulatedControl &Control = m_Controls[Index];
    Control.m_Disk = {};
    Control.m_ClusterId = 0;
    Control.m_Member.m_Id = MemberId{Control.m_Member.m_Id.m_Value + 1'000};
  }

  void stop(size_t Index) {
    m_Controls[Index].m_Core.reset();
    for (auto It = m_Links.begin(); It != m_Links.end();) {
      if (It->first.first != Index && It->second.first != Index) {
        ++It;
        continue;
      }
      LinkEnd RemoteEnd = It->first.first == Index ? It->second : It->first;
      It = m_Links.erase(It);
      schedule([this, RemoteEnd] {
        handle(RemoteEnd.first, LinkClosed{RemoteEnd.second, "stopped"});
      });
    }
  }

  /// Runs for the given time in steps of 1 ms.
  void run(Duration Time) {
    for (almondpier::Time Deadline = m_Now + Time; m_Now < Deadline;)
      step();
  }

  /// Runs until Condition holds; returns whether it held within Limit.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(20)) {
    for (Time Deadline = m_Now + Limit; m_Now < Deadline;) {
      if (Condition())
        return true;
      step();
    }
    return Condition();
  }

  void step() {
    m_Now += milliseconds(1);
    while (!m_ScheduledActions.empty() &&
           m_ScheduledActions.begin()->first <= m_Now) {
      std::function<void()> Action =
          std::move(m_ScheduledActions.begin()->second);
      m_ScheduledActions.erase(m_ScheduledActions.begin());
      Action();
    }
    if (++m_ElapsedMs % 10 == 0)
      for (size_t Index = 0; Index < m_Controls.size(); ++Index)
        handle(Index, ClockTick{m_ElapsedMs});
    if (m_ElapsedMs % 100 == 0)
      sendHeartbeats();
    if (m_ElapsedMs % 500 == 0 && m_AnnouncesInstances)
      announceAll();
  }

  void handle(size_t Index, const ControlEvent &Event) {
    if (!m_Controls[Index].m_Core)
      return;
    ControlActions Actions;
    m_Controls[Index].m_Core->handle(Event, m_Now, Actions);
    for (const ControlAction &Action : Actions)
      std::visit([&](const auto &Value) { execute(Index, Value); }, Action);
    if (m_AfterEvent)
      m_AfterEvent(Index);
  }

  std::optional<size_t> leader() const {
    std::optional<size_t> Found;
    uint64_t Term = 0;
    for (size_t Index = 0; Index < m_Controls.size(); ++Index) {
      const SimulatedControl &Control = m_Controls[Index];
      if (!Control.m_Core || Control.m_IsIsolated || !board(Index).m_IsLeader ||
          board(Index).m_Term < Term)
        continue;
      Found = Index;
      Term = board(Index).m_Term;
    }
    return Found;
  }

  const ControlBlackboard &board(size_t Index) const {
    return m_Controls[Index].m_Core->blackboard();
  }
  const Configuration &configuration() const {
    return board(*leader()).configuration();
  }
  const DatabaseRecord *database() const {
    return leader() ? configuration().findDatabase(kDatabase) : nullptr;
  }

  /// Waits until every running host knows exactly Count voters and no learners.
  bool awaitVoters(size_t Count) {
    return runUntil([&] {
      return leader() &&
             std::all_of(m_Controls.begin(), m_Controls.end(),
                         [&](const SimulatedControl &Control) {
                           if (!Control.m_Core)
                             return true;
                           const Membership &Members =
                               Control.m_Core->blackboard().m_Membership;
                           return Members.m_Voters.size() == Count &&
                                  Members.m_Learners.empty();
                         });
    });
  }

  /// Whether one leader is known to all and its voters are exactly the hosts
  /// with a disk.
  bool isFormed() const {
    std::optional<size_t> Leader = leader();
    if (!Leader)
      return false;
    std::set<MemberId> Wanted;
    for (const SimulatedControl &Control : m_Controls) {
      if (!Control.m_Core || !Control.m_Core->isReady())
        return false;
      if (Control.m_Member.m_IsDurable)
        Wanted.insert(Control.m_Member.m_Id);
    }
    std::set<MemberId> Voters;
    for (const ControlMember &Voter : board(*Leader).m_Membership.m_Voters)
      if (Voter.m_IsDurable)
        Voters.insert(Voter.m_Id);
    return Voters == Wanted &&
           board(*Leader).m_Membership.m_Voters.size() == Wanted.size();
  }

  // Operators.

  OperationId submit(size_t Index, const Change &Change) {
    OperationId Id{++m_LastOperation};
    handle(Index, OperatorChange{Id, Change});
    return Id;
  }
  std::optional<ReplyToOperation> reply(size_t Index, OperationId Id) {
    auto Found = m_Controls[Index].m_Replies.find(Id);
    if (Found == m_Controls[Index].m_Replies.end())
      return std::nullopt;
    return Found->second;
  }
  /// Submits a change at the leader and waits for the outcome.
  ChangeOutcome change(const ChangeBody &Body, const std::string &ChangeId) {
    REQUIRE(runUntil([&] { return leader().has_value(); }));
    size_t Index = *leader();
    OperationId Id = submit(Index, Change{ChangeId, configuration().version(),
                                          "ann", m_ElapsedMs, Body});
    REQUIRE(runUntil([&] { return reply(Index, Id).has_value(); }));
    REQUIRE(reply(Index, Id)->m_Outcome);
    return *reply(Index, Id)->m_Outcome;
  }

  // Databases.

  void addInstance(const std::string &Name, uint32_t GroupSize = 3) {
    uint16_t Port = static_cast<uint16_t>(8'000 + ++m_InstanceCount);
    SimulatedInstance &Added = m_Instances[InstanceName{Name}];
    Added.m_Record.m_Database = kDatabase;
    Added.m_Record.m_Name = {Name};
    Added.m_Record.m_Zone = {"z1"};
    Added.m_Record.m_StatementEndpoint = {"127.0.0.3", Port};
    Added.m_Record.m_PlatformEndpoint = {"127.0.0.1", Port};
    Added.m_Record.m_GroupSize = GroupSize;
    Added.m_Instance = std::make_unique<StandInInstance>(
        Added.m_Record.m_Name, [](std::string_view) {});
  }
  StandInInstance &instance(const InstanceName &Name) {
    return *m_Instances.at(Name).m_Instance;
  }
  void announceAll() {
    for (const std::pair<const InstanceName, SimulatedInstance> &Entry :
         m_Instances)
      if (Entry.second.m_IsUp && leader())
        handle(*leader(), InstanceAnnounced{OperationId{++m_LastOperation},
                                            Entry.second.m_Record, false});
  }
  /// Copies entries of the primary's log to its replicas.
  void replicate() {
    for (std::pair<const InstanceName, SimulatedInstance> &Entry :
         m_Instances) {
      const std::optional<StandInSource> &Source =
          Entry.second.m_Instance->source();
      if (!Source || !Entry.second.m_IsUp)
        continue;
      SimulatedInstance &Primary = m_Instances.at(Source->m_Primary);
      if (Primary.m_IsUp)
        Entry.second.m_Instance->replicate(
            Source->m_Term, Primary.m_Instance->entriesAfter(
                                Entry.second.m_Instance->position(),
                                Source->m_Term, UINT64_MAX));
    }
  }
  /// Starts three instances with an elected primary and three hosts that
  /// observe them.
  void startDatabase() {
    for (const char *Name : {"a", "b", "c"})
      addInstance(Name);
    for (const char *Name : {"h1", "h2", "h3"})
      addHost(Name);
    m_AnnouncesInstances = true;
    REQUIRE(runUntil([&] {
      return database() != nullptr && database()->m_Primary.has_value();
    }));
    // Polling registers a host.
    for (const std::pair<const HostName, SimulatedHost> &Entry : m_Hosts)
      poll(*leader(), Entry.first);
    REQUIRE(runUntil([&] { return configuration().hosts().size() == 3; }));
    run(milliseconds(1'500));
  }
  /// Makes hosts report the instance as unreachable, as its observers would.
  void reportUnreachable(const InstanceName &Instance,
                         const std::vector<std::string> &Hosts) {
    for (const std::string &Host : Hosts)
      m_Hosts[HostName{Host}].m_Reports = {
          InstanceReport{kDatabase, Instance, 450, {}, 0, false}};
  }
  void clearReports() {
    for (std::pair<const HostName, SimulatedHost> &Entry : m_Hosts)
      Entry.second.m_Reports.clear();
  }
  bool awaitNewPrimary(const InstanceName &Old, uint64_t AfterTerm,
                       Duration Limit = std::chrono::seconds(20)) {
    return runUntil(
        [&] {
          return database() != nullptr && database()->m_Primary != Old &&
                 database()->m_PrimaryTerm > AfterTerm &&
                 database()->m_BegunTerm == database()->m_PrimaryTerm;
        },
        Limit);
  }

  // Proxies.

  void addHost(const std::string &Name) {
    uint16_t Port = static_cast<uint16_t>(9'000 + m_Hosts.size());
    m_Hosts[HostName{Name}].m_Record = {
        {Name}, {"z-" + Name}, {"127.0.0.1", Port}};
  }
  void sendHeartbeats() {
    for (const std::pair<const HostName, SimulatedHost> &Entry : m_Hosts)
      if (Entry.second.m_IsUp)
        for (size_t Index = 0; Index < m_Controls.size(); ++Index)
          if (!m_Controls[Index].m_IsIsolated)
            handle(Index, DatagramReceived{{},
                                           Heartbeat{Entry.first,
                                                     Entry.second.m_IsReady, 0,
                                                     Entry.second.m_Reports}});
  }
  void poll(size_t Index, const HostName &Host, uint64_t Applied = 0) {
    handle(Index,
           MessageReceived{kProxyLink,
                           PollRequest{m_Hosts[Host].m_Record, 1,
                                       ++m_PollSequence, Applied, 0, 0}});
  }
  /// Polls as a session proxy, which applies amendments of the policy.
  void pollForAmendments(size_t Index, const HostName &Host, uint64_t Applied,
                         uint64_t Capability = kAppliesPolicyAmendments,
                         uint64_t Extension = 0) {
    PollRequest Poll{m_Hosts[Host].m_Record, 1, ++m_PollSequence, Applied};
    Poll.m_WantsLiveHosts = false;
    Poll.m_LiveHostsTerm = Capability;
    Poll.m_LiveHostsVersion = Extension;
    handle(Index, MessageReceived{kProxyLink, Poll});
  }
  /// Returns the answer to the last poll, or null.
  const PollReply *lastPollReply(size_t Index) const {
    const std::vector<Message> &Sent = m_Controls[Index].m_SentToProxies;
    for (auto It = Sent.rbegin(); It != Sent.rend(); ++It)
      if (const PollReply *Reply = std::get_if<PollReply>(&*It))
        if (Reply->m_Sequence == m_PollSequence)
          return Reply;
    return nullptr;
  }

  static inline const DatabaseName kDatabase{"races"};
  static constexpr uint64_t kClusterId = 77;

  Time m_Now{std::chrono::hours(1)};
  std::deque<SimulatedControl> m_Controls;
  std::map<InstanceName, SimulatedInstance> m_Instances;
  std::map<HostName, SimulatedHost> m_Hosts;
  /// Selects the fault for a request to an instance; without it all requests
  /// are answered.
  std::function<CallFault(size_t Control, const CallInstance &)>
      m_InjectCallFault;
  /// Calls to instances through the platform, and the function that answers
  /// them; without it none is answered.
  std::vector<CallGroup> m_GroupCalls;
  std::function<std::optional<GroupCallAnswered>(const CallGroup &)>
      m_AnswerGroupCall;
  std::function<void(size_t Control)> m_AfterEvent;
  bool m_AnnouncesInstances = false;
  size_t m_SeedCount = 1;
  size_t m_ToleratedDiskLosses = 1;
  /// Successfully promoted instances by term.
  std::map<uint64_t, std::set<InstanceName>> m_PromotedByTerm;

private:
  std::vector<Endpoint> seedsOf(size_t Index) const {
    std::vector<Endpoint> Seeds;
    auto Changed = m_SeedIndices.find(Index);
    if (Changed == m_SeedIndices.end()) {
      for (size_t Seed = 0; Seed < m_SeedCount; ++Seed)
        Seeds.push_back(m_Controls[Seed].m_Member.m_Peer);
      return Seeds;
    }
    for (size_t Seed : Changed->second)
      Seeds.push_back(m_Controls[Seed].m_Member.m_Peer);
    return Seeds;
  }

  Simulation(size_t Founders, size_t Joining) {
    for (size_t Index = 0; Index < Founders + Joining; ++Index)
      addControl(HostName{"c" + std::to_string(Index)});
    std::vector<ControlMember> Members;
    for (size_t Index = 0; Index < Founders; ++Index)
      Members.push_back(m_Controls[Index].m_Member);
    for (size_t Index = 0; Index < Founders; ++Index) {
      m_Controls[Index].m_Disk = makeInitialLog(Members);
      m_Controls[Index].m_ClusterId = kClusterId;
    }
  }

  explicit Simulation(const std::vector<bool> &HasDisk) {
    m_SeedCount = std::min<size_t>(3, HasDisk.size());
    std::vector<ControlMember> Founders;
    for (size_t Index = 0; Index < HasDisk.size(); ++Index) {
      ControlMember &Member =
          m_Controls[addControl(HostName{"c" + std::to_string(Index)})]
              .m_Member;
      if (Index < m_SeedCount) {
        Founders.push_back(Member);
        Founders.back().m_Zone = {};
        Founders.back().m_IsDurable = false;
      }
      Member.m_IsDurable = HasDisk[Index];
    }
    for (size_t Index = 0; Index < m_SeedCount; ++Index) {
      m_Controls[Index].m_Disk = makeInitialLog(Founders);
      m_Controls[Index].m_ClusterId = kClusterId;
    }
  }

  using LinkEnd = std::pair<size_t, LinkId>;

  void schedule(std::function<void()> Action,
                Duration After = milliseconds(1)) {
    m_ScheduledActions.emplace(m_Now + After, std::move(Action));
  }

  bool isReachable(size_t From, size_t To) const {
    return m_Controls[To].m_Core && !m_Controls[From].m_IsIsolated &&
           !m_Controls[To].m_IsIsolated;
  }

  void execute(size_t Index, const PersistLog &Action) {
    PersistedLog &Disk = m_Controls[Index].m_Disk;
    if (Action.m_HardState)
      Disk.m_HardState = *Action.m_HardState;
    if (Action.m_InstalledSnapshot) {
      Disk.m_Snapshot = *Action.m_InstalledSnapshot;
      Disk.m_Entries.clear();
    }
    for (const LogEntry &Entry : Action.m_Entries) {
      while (!Disk.m_Entries.empty() &&
             Disk.m_Entries.back().m_Index >= Entry.m_Index)
        Disk.m_Entries.pop_back();
      Disk.m_Entries.push_back(Entry);
    }
  }
  void execute(size_t Index, const PersistSnapshot &Action) {
    PersistedLog &Disk = m_Controls[Index].m_Disk;
    Disk.m_Snapshot = Action.m_Snapshot;
    std::erase_if(Disk.m_Entries, [&](const LogEntry &Entry) {
      return Entry.m_Index <= Action.m_Snapshot.m_Index;
    });
  }
  void execute(size_t Index, const PersistCluster &Action) {
    m_Controls[Index].m_ClusterId = Action.m_ClusterId;
  }
  void execute(size_t Index, const ReplyToOperation &Action) {
    // Every operation is answered at most once.
    REQUIRE(m_Controls[Index].m_Replies.emplace(Action.m_Id, Action).second);
  }
  void execute(size_t Index, const OpenLink &Action) {
    schedule([this, Index, Action] {
      for (size_t Other = 0; Other < m_Controls.size(); ++Other) {
        if (m_Controls[Other].m_Member.m_Peer != Action.m_Peer ||
            !isReachable(Index, Other) || !m_Controls[Index].m_Core)
          continue;
        m_LastAcceptedLink += 2;
        LinkEnd LocalEnd{Index, Action.m_Link};
        LinkEnd RemoteEnd{Other, LinkId{m_LastAcceptedLink}};
        m_Links[LocalEnd] = RemoteEnd;
        m_Links[RemoteEnd] = LocalEnd;
        handle(Other, LinkOpened{RemoteEnd.second});
        handle(Index, LinkOpened{LocalEnd.second});
        return;
      }
      handle(Index, LinkClosed{Action.m_Link, "unreachable"});
    });
  }
  void execute(size_t Index, const CloseLink &Action) {
    auto Found = m_Links.find(LinkEnd{Index, Action.m_Link});
    if (Found == m_Links.end())
      return;
    LinkEnd RemoteEnd = Found->second;
    m_Links.erase(Found);
    m_Links.erase(RemoteEnd);
    schedule([this, RemoteEnd] {
      handle(RemoteEnd.first, LinkClosed{RemoteEnd.second, "closed"});
    });
  }
  void execute(size_t Index, const SendMessage &Action) {
    // Links with larger numbers belong to proxies too.
    if (Action.m_Link >= kProxyLink) {
      m_Controls[Index].m_SentToProxies.push_back(Action.m_Message);
      return;
    }
    auto Found = m_Links.find(LinkEnd{Index, Action.m_Link});
    if (Found == m_Links.end())
      return;
    LinkEnd RemoteEnd = Found->second;
    schedule([this, Index, RemoteEnd, Sent = Action.m_Message] {
      if (isReachable(Index, RemoteEnd.first) && m_Links.contains(RemoteEnd))
        handle(RemoteEnd.first, MessageReceived{RemoteEnd.second, Sent});
    });
  }
  void execute(size_t Index, const CallGroup &Action) {
    m_GroupCalls.push_back(Action);
    if (!m_AnswerGroupCall)
      return;
    schedule([this, Index, Action] {
      std::optional<GroupCallAnswered> Answer = m_AnswerGroupCall(Action);
      if (!Answer)
        return;
      Answer->m_Call = Action.m_Call;
      handle(Index, *Answer);
    });
  }
  void execute(size_t Index, const CallInstance &Action) {
    CallFault Fault = m_InjectCallFault ? m_InjectCallFault(Index, Action)
                                        : CallFault::Answered;
    SimulatedInstance *Target = nullptr;
    for (std::pair<const InstanceName, SimulatedInstance> &Entry : m_Instances)
      if (Entry.second.m_Record.m_PlatformEndpoint == Action.m_Platform)
        Target = &Entry.second;
    if (m_Controls[Index].m_IsIsolated || Target == nullptr ||
        !Target->m_IsUp || Fault == CallFault::RequestLost) {
      schedule(
          [this, Index, Action] {
            handle(Index, InstanceCallAnswered{Action.m_Call, 0, {}, {}});
          },
          milliseconds(Action.m_TimeoutMs));
      return;
    }
    schedule([this, Index, Action, Target, Fault] {
      InstanceCallAnswered Answer = answerInstanceCall(Action, *Target);
      bool IsAnswerLost = Fault == CallFault::AnswerLost;
      if (IsAnswerLost)
        Answer = InstanceCallAnswered{Action.m_Call, 0, {}, {}};
      schedule([this, Index, Answer] { handle(Index, Answer); },
               IsAnswerLost ? milliseconds(Action.m_TimeoutMs)
                            : milliseconds(1));
    });
  }
  InstanceCallAnswered answerInstanceCall(const CallInstance &Call,
                                          SimulatedInstance &Target) {
    StandInInstance &Instance = *Target.m_Instance;
    InstanceCallAnswered Answer{Call.m_Call, 200, {}, {}};
    if (Call.m_Kind == InstanceCallKind::Promote) {
      Answer.m_StartIndex = Instance.promote(Call.m_Term);
      if (Answer.m_StartIndex)
        m_PromotedByTerm[Call.m_Term].insert(Target.m_Record.m_Name);
      else
        Answer.m_HttpStatus = 409;
      return Answer;
    }
    bool IsGood = true;
    if (Call.m_Kind == InstanceCallKind::Seal)
      IsGood = Instance.seal(Call.m_Term);
    if (Call.m_Kind == InstanceCallKind::Follow)
      IsGood = Instance.follow(
          StandInSource{Call.m_Term, Call.m_Primary, Call.m_PrimaryPlatform});
    StandInStatus Status = Instance.status();
    Answer.m_HttpStatus = IsGood ? 200 : 409;
    if (IsGood)
      Answer.m_Status = InstanceStatus{Status.m_Instance, Status.m_Position,
                                       Status.m_SealedTerm,
                                       Status.m_Role == StandInRole::Primary};
    return Answer;
  }
  void execute(size_t Index, const ReportStateChange &Action) {
    m_Controls[Index].m_StateChanges.push_back(Action.m_Text);
  }
  void execute(size_t Index, const ShutdownComplete & /*Action*/) {
    m_Controls[Index].m_IsShutDown = true;
  }

  uint64_t m_ElapsedMs = 0;
  uint64_t m_Seed = 0;
  uint64_t m_LastOperation = 0;
  uint64_t m_LastAcceptedLink = 0;
  uint64_t m_PollSequence = 0;
  uint16_t m_InstanceCount = 0;
  std::multimap<Time, std::function<void()>> m_ScheduledActions;
  std::map<LinkEnd, LinkEnd> m_Links;
  /// Seeds of the hosts whose settings were changed.
  std::map<size_t, std::vector<size_t>> m_SeedIndices;
};

} // namespace almondpier::controltest
