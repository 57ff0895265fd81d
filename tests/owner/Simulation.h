/// \file
/// Discrete-event simulation of owners and a group of fake instances.
#pragma once

#include "decision/proxy/OwnerController.h"
#include "owner/FakeInstance.h"

#include <functional>
#include <queue>
#include <random>

namespace almondpier::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct SimulatedOwner {
  ProxyBlackboard m_Board;
  std::unique_ptr<OwnerController> m_Controller;
  /// Receives no configuration from the control hosts.
  bool m_IsIsolated = false;
  std::set<InstanceName> m_UnreachableInstances;
};

class Simulation {
public:
  struct Options {
    size_t m_Instances = 3;
    size_t m_Owners = 1;
    uint64_t m_Seed = 1;
    uint32_t m_Slots = 3;
    uint32_t m_ConnectionLimit = 25;
    Duration m_Latency = microseconds(500);
    /// Upper bound of the random part that is added to each latency.
    Duration m_Jitter{};
    Duration m_ServiceTime = microseconds(200);
    size_t m_ReplicationBatch = 1'000;
  };

  explicit Simulation(const Options &Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    change(CreateOrganisation{{"org"}});
    change(CreateOrganisation{{"other"}});
    change(IssueKey{{"key"}, {{"org"}, digestOfKey("key")}});
    change(IssueKey{{"other-key"}, {{"other"}, digestOfKey("other-key")}});
    for (size_t Index = 0; Index < Options.m_Instances; ++Index)
      addInstance("i" + std::to_string(Index));
    for (size_t Index = 0; Index < Options.m_Owners; ++Index) {
      m_Owners.push_back(std::make_unique<SimulatedOwner>());
      SimulatedOwner &Owner = *m_Owners.back();
      OwnerOptions Named{{"h" + std::to_string(Index)}, {"zone"}, 1};
      Owner.m_Controller =
          std::make_unique<OwnerController>(Named, Owner.m_Board);
      for (size_t Rank = 0; Rank < Options.m_Owners; ++Rank)
        Owner.m_Board.m_Observers[{"db"}].push_back(
            {"h" + std::to_string((Index + Rank) % Options.m_Owners)});
    }
    failOver();
    publish();
    tickOwners();
    replicate();
  }

  // Time.
  Time now() const { return m_Now; }
  void schedule(Duration Delay, std::function<void()> Action) {
    m_Events.push({m_Now + Delay, m_NextEventNumber++, std::move(Action)});
  }
  void run(Duration Period) {
    Time End = m_Now + Period;
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    m_Now = End;
  }

  // Requests.
  AdmittedRequest request(RequestKind Kind, std::string Statement,
                          uint32_t TimeLeftMs = 1'000) const {
    AdmittedRequest Made;
    Made.m_Kind = Kind;
    Made.m_Organisation = {"org"};
    Made.m_Key = {"key"};
    Made.m_Database = {"db"};
    Made.m_Statement = std::move(Statement);
    Made.m_TimeLeftMs = TimeLeftMs;
    return Made;
  }
  uint64_t submit(const AdmittedRequest &Request, size_t Owner = 0) {
    uint64_t Ticket = m_NextTicket++;
    m_Submitted[Ticket] = {m_Now, m_Now + milliseconds(Request.m_TimeLeftMs)};
    m_Owners[Owner]->m_Controller->submit({Ticket}, Request, m_Now);
    collectOutput(Owner);
    return Ticket;
  }
  void cancel(uint64_t Ticket, size_t Owner = 0) {
    m_Owners[Owner]->m_Controller->cancel({Ticket}, m_Now);
    collectOutput(Owner);
  }
  const RequestResult *result(uint64_t Ticket) const {
    auto Found = m_Results.find(Ticket);
    return Found == m_Results.end() ? nullptr : &Found->second;
  }
  /// Runs until the request completes, and returns its result.
  const RequestResult &finish(uint64_t Ticket) {
    for (int Step = 0; Step < 40'000 && result(Ticket) == nullptr; ++Step)
      run(milliseconds(1));
    return m_Results.at(Ticket);
  }
  const RequestResult &call(const AdmittedRequest &Request) {
    return finish(submit(Request));
  }

  // Control.
  void change(const ChangeBody &Body) {
    m_Configuration.apply({"", m_Configuration.version(), "test", 0, Body});
  }
  const DatabaseRecord &record() const {
    return *m_Configuration.findDatabase({"db"});
  }
  /// Sends the configuration to the owners that are not isolated.
  void publish() {
    for (size_t Index = 0; Index < m_Owners.size(); ++Index) {
      SimulatedOwner &Owner = *m_Owners[Index];
      if (Owner.m_IsIsolated)
        continue;
      Owner.m_Board.m_Configuration = m_Configuration;
      Owner.m_Board.m_FreshAt = m_Now;
      Owner.m_Controller->onConfigurationChanged(m_Now);
      collectOutput(Index);
    }
  }
  FakeInstance &instance(const std::string &Name) {
    return *m_Instances.at({Name});
  }
  FakeInstance *primary() {
    FakeInstance *Latest = nullptr;
    for (auto &Entry : m_Instances)
      if (Entry.second->m_IsPrimary &&
          (Latest == nullptr ||
           Latest->m_SealedTerm < Entry.second->m_SealedTerm))
        Latest = Entry.second.get();
    return Latest;
  }
  // Steps of a failover. Instances in m_CutFromControl are skipped.
  uint64_t beginTerm() {
    uint64_t Term = record().m_BegunTerm + 1;
    change(BeginTerm{{"db"}, Term});
    return Term;
  }
  std::vector<FakeInstance *> sealAll(uint64_t Term) {
    std::vector<FakeInstance *> Sealed;
    for (auto &Entry : m_Instances)
      if (Entry.second->m_IsUp && !m_CutFromControl.contains(Entry.first) &&
          record().m_Instances.contains(Entry.first) &&
          Entry.second->seal(Term))
        Sealed.push_back(Entry.second.get());
    return Sealed;
  }
  /// Promotes the sealed instance with the highest position. Returns null
  /// without a majority.
  FakeInstance *promote(const std::vector<FakeInstance *> &Sealed) {
    std::vector<FakeInstance *> Candidates;
    for (FakeInstance *Candidate : Sealed)
      if (!record().m_Draining.contains(Candidate->m_Name))
        Candidates.push_back(Candidate);
    if (Candidates.size() < record().majority())
      Candidates = Sealed;
    if (Candidates.size() < record().majority())
      return nullptr;
    FakeInstance *Best = *std::max_element(
        Candidates.begin(), Candidates.end(),
        [](const FakeInstance *Left, const FakeInstance *Right) {
          return Left->position() < Right->position();
        });
    if (!Best->m_IsUp)
      return nullptr;
    m_StartIndex = Best->promote(Best->m_SealedTerm);
    return Best;
  }
  void elect(const FakeInstance &Primary) {
    change(ElectPrimary{
        {"db"}, Primary.m_Name, {Primary.m_SealedTerm, m_StartIndex}});
  }
  bool failOver() {
    uint64_t Term = beginTerm();
    FakeInstance *Primary = promote(sealAll(Term));
    if (Primary != nullptr)
      elect(*Primary);
    publish();
    return Primary != nullptr;
  }

  // Faults.
  void kill(const std::string &Name) {
    FakeInstance &Victim = instance(Name);
    Victim.m_IsUp = false;
    Victim.restart();
    for (const std::pair<const FakeConnectionKey, InstanceName> &Entry :
         m_Connections)
      if (Entry.second == Victim.m_Name)
        resetConnection(Entry.first);
    m_Jobs[Victim.m_Name].clear();
    m_RunningJobs[Victim.m_Name] = 0;
    ++m_Incarnations[Victim.m_Name];
  }
  void restart(const std::string &Name) { instance(Name).m_IsUp = true; }
  /// Suspends an instance: statements and probes wait until it resumes, and it
  /// receives nothing from control or from other instances.
  void suspend(const std::string &Name, Duration Length) {
    m_Suspended.insert({Name});
    m_CutFromControl.insert({Name});
    m_CutFromReplication.insert({Name});
    schedule(Length, [this, Name] {
      m_Suspended.erase({Name});
      m_CutFromControl.erase({Name});
      m_CutFromReplication.erase({Name});
      answerProbes();
    });
  }
  void partitionOwner(size_t Owner, const std::string &Name) {
    m_Owners[Owner]->m_UnreachableInstances.insert({Name});
  }
  void clearFaults() {
    for (std::unique_ptr<SimulatedOwner> &Owner : m_Owners) {
      Owner->m_UnreachableInstances.clear();
      Owner->m_IsIsolated = false;
    }
    m_CutFromControl.clear();
    m_CutFromReplication.clear();
    m_Suspended.clear();
  }
  /// Breaks a connection. An outstanding answer is lost.
  void resetConnection(const FakeConnectionKey &Key) {
    auto Found = m_Connections.find(Key);
    if (Found == m_Connections.end())
      return;
    m_Instances.at(Found->second)->m_Transactions.erase(Key);
    m_BrokenConnections.insert(Key);
    schedule(latency(), [this, Key] {
      deliver(Key.first, [&](OwnerController &Owner) {
        if (m_OutstandingStatements.erase(Key) > 0)
          Owner.handle(
              InstanceAnswered{{Key.second}, InstanceFailure{"reset", false}},
              m_Now);
        else
          Owner.handle(ConnectionClosed{{Key.second}}, m_Now);
      });
    });
  }

  /// Breaks a random connection of the owner.
  void resetRandomConnection(size_t Owner) {
    std::vector<FakeConnectionKey> Open;
    for (const std::pair<const FakeConnectionKey, InstanceName> &Entry :
         m_Connections)
      if (Entry.first.first == Owner &&
          !m_ClosedConnections.contains(Entry.first) &&
          !m_BrokenConnections.contains(Entry.first))
        Open.push_back(Entry.first);
    if (!Open.empty())
      resetConnection(Open[m_Random() % Open.size()]);
  }

  Duration latency() {
    Duration Extra{};
    if (m_Options.m_Jitter > Duration{})
      Extra = Duration(static_cast<int64_t>(
          m_Random() % static_cast<uint64_t>(m_Options.m_Jitter.count())));
    return m_Options.m_Latency + Extra;
  }

  struct Submitted {
    Time m_At{};
    Time m_Deadline{};
  };
  Options m_Options;
  std::mt19937_64 m_Random;
  Configuration m_Configuration;
  std::vector<std::unique_ptr<SimulatedOwner>> m_Owners;
  std::map<InstanceName, std::unique_ptr<FakeInstance>> m_Instances;
  std::map<uint64_t, Submitted> m_Submitted;
  std::map<uint64_t, RequestResult> m_Results;
  std::map<uint64_t, Time> m_CompletedAt;
  /// Set when a request completed twice or after its deadline.
  std::string m_CompletionError;
  std::set<InstanceName> m_CutFromControl;
  std::set<InstanceName> m_Suspended;
  /// Instances that neither send nor receive log entries.
  std::set<InstanceName> m_CutFromReplication;
  /// Called for each statement that an owner sends, before it is delivered.
  std::function<void(const InstanceName &, const SendStatement &)> m_OnSend;
  /// Called for each completed request.
  std::function<void(uint64_t, const RequestResult &)> m_OnCompleted;
  std::map<InstanceName, size_t> m_MaxOutstanding;
  std::map<InstanceName, size_t> m_OpenConnections;

private:
  struct Event {
    Time m_At{};
    uint64_t m_Number = 0;
    std::function<void()> m_Action;

    friend bool operator<(const Event &Left, const Event &Right) {
      return std::pair(Left.m_At, Left.m_Number) >
             std::pair(Right.m_At, Right.m_Number);
    }
  };
  struct Job {
    FakeConnectionKey m_Key;
    SendStatement m_Statement;
  };

  void addInstance(const std::string &Name) {
    m_Instances[{Name}] = std::make_unique<FakeInstance>(InstanceName{Name});
    InstanceRecord Record;
    Record.m_Database = {"db"};
    Record.m_Name = {Name};
    Record.m_Zone = {"zone"};
    Record.m_StatementEndpoint = {"127.0.0.1",
                                  static_cast<uint16_t>(m_Instances.size())};
    Record.m_PlatformEndpoint = Record.m_StatementEndpoint;
    Record.m_Slots = m_Options.m_Slots;
    Record.m_ConnectionLimit = m_Options.m_ConnectionLimit;
    Record.m_GroupSize = static_cast<uint32_t>(m_Options.m_Instances);
    m_InstancesByPort[Record.m_StatementEndpoint.m_Port] = {Name};
    change(RegisterInstance{Record});
  }

  void tickOwners() {
    for (size_t Index = 0; Index < m_Owners.size(); ++Index) {
      SimulatedOwner &Owner = *m_Owners[Index];
      if (!Owner.m_IsIsolated)
        Owner.m_Board.m_FreshAt = m_Now;
      Owner.m_Controller->tick(m_Now);
      collectOutput(Index);
    }
    schedule(milliseconds(5), [this] { tickOwners(); });
  }

  void replicate() {
    FakeInstance *Primary = primary();
    if (Primary != nullptr && Primary->m_IsUp &&
        !m_CutFromReplication.contains(Primary->m_Name))
      for (auto &Entry : m_Instances) {
        FakeInstance &Follower = *Entry.second;
        if (&Follower == Primary || !Follower.m_IsUp ||
            m_CutFromReplication.contains(Entry.first) ||
            Follower.m_SealedTerm > Primary->m_SealedTerm)
          continue;
        Follower.seal(Primary->m_SealedTerm);
        Follower.replicateFrom(*Primary, m_Options.m_ReplicationBatch);
      }
    answerProbes();
    schedule(m_Options.m_Latency * 2, [this] { replicate(); });
  }

  void deliver(size_t Owner,
               const std::function<void(OwnerController &)> &Event) {
    Event(*m_Owners[Owner]->m_Controller);
    collectOutput(Owner);
  }

  bool isPartitioned(size_t Owner, const InstanceName &Name) const {
    return m_Owners[Owner]->m_UnreachableInstances.contains(Name);
  }

  void collectOutput(size_t Owner) {
    OwnerController &Controller = *m_Owners[Owner]->m_Controller;
    for (CompletedRequest &Done : Controller.takeCompleted()) {
      uint64_t Ticket = Done.m_Ticket.m_Value;
      if (m_Results.contains(Ticket))
        m_CompletionError = "completed twice";
      if (m_Now > m_Submitted.at(Ticket).m_Deadline)
        m_CompletionError = "completed late";
      m_Results[Ticket] = Done.m_Result;
      m_CompletedAt[Ticket] = m_Now;
      if (m_OnCompleted)
        m_OnCompleted(Ticket, Done.m_Result);
    }
    for (ProxyAction &Action : Controller.takeActions())
      perform(Owner, Action);
  }

  void perform(size_t Owner, const ProxyAction &Action) {
    if (const OpenConnection *Open = std::get_if<OpenConnection>(&Action)) {
      m_Connections[{Owner, Open->m_Connection.m_Value}] =
          m_InstancesByPort.at(Open->m_Instance.m_Port);
      ++m_OpenConnections[m_InstancesByPort.at(Open->m_Instance.m_Port)];
    } else if (const CloseConnection *Close =
                   std::get_if<CloseConnection>(&Action)) {
      closeConnection({Owner, Close->m_Connection.m_Value});
    } else if (const SendStatement *Sent = std::get_if<SendStatement>(&Action))
      sendStatement({Owner, Sent->m_Connection.m_Value}, *Sent);
    else if (const ProbeInstance *Probe = std::get_if<ProbeInstance>(&Action))
      probe(Owner, *Probe);
  }

  void closeConnection(const FakeConnectionKey &Key) {
    InstanceName Name = m_Connections.at(Key);
    --m_OpenConnections[Name];
    m_OutstandingStatements.erase(Key);
    m_ClosedConnections.insert(Key);
    schedule(latency(), [this, Key, Name] {
      if (!isPartitioned(Key.first, Name))
        m_Instances.at(Name)->m_Transactions.erase(Key);
    });
  }

  void sendStatement(const FakeConnectionKey &Key, const SendStatement &Sent) {
    const InstanceName Name = m_Connections.at(Key);
    if (m_OnSend)
      m_OnSend(Name, Sent);
    m_OutstandingStatements.insert(Key);
    if (Sent.m_RequestId == "/warm-up")
      m_WarmingUp.insert(Key);
    else
      m_WarmingUp.erase(Key);
    size_t Count = 0;
    for (const FakeConnectionKey &Other : m_OutstandingStatements)
      Count += Other.first == Key.first && m_Connections.at(Other) == Name &&
                       !m_WarmingUp.contains(Other)
                   ? 1
                   : 0;
    m_MaxOutstanding[Name] = std::max(m_MaxOutstanding[Name], Count);
    schedule(latency(), [this, Key, Name, Sent] { arrive(Key, Name, Sent); });
  }

  void arrive(const FakeConnectionKey &Key, const InstanceName &Name,
              const SendStatement &Sent) {
    FakeInstance &Target = *m_Instances.at(Name);
    if (m_Suspended.contains(Name)) {
      schedule(milliseconds(1),
               [this, Key, Name, Sent] { arrive(Key, Name, Sent); });
      return;
    }
    if (isPartitioned(Key.first, Name) || m_BrokenConnections.contains(Key))
      return;
    if (!Target.m_IsUp) {
      answer(Key, InstanceFailure{"refused", true});
      return;
    }
    m_Jobs[Name].push_back({Key, Sent});
    startJobs(Name);
  }

  void startJobs(const InstanceName &Name) {
    std::deque<Job> &Waiting = m_Jobs[Name];
    while (m_RunningJobs[Name] < m_Options.m_Slots && !Waiting.empty()) {
      Job Next = Waiting.front();
      Waiting.pop_front();
      ++m_RunningJobs[Name];
      uint64_t Incarnation = m_Incarnations[Name];
      schedule(m_Options.m_ServiceTime, [this, Next, Name, Incarnation] {
        if (m_Incarnations[Name] != Incarnation)
          return;
        --m_RunningJobs[Name];
        InstanceAnswer Answer =
            m_Instances.at(Name)->execute(Next.m_Key, Next.m_Statement);
        answerProbes();
        answer(Next.m_Key, Answer);
        startJobs(Name);
      });
    }
  }

  void answer(const FakeConnectionKey &Key,
              const std::variant<InstanceAnswer, InstanceFailure> &Result) {
    schedule(latency(), [this, Key, Result] {
      if (isPartitioned(Key.first, m_Connections.at(Key)) ||
          m_BrokenConnections.contains(Key))
        return;
      m_OutstandingStatements.erase(Key);
      deliver(Key.first, [&](OwnerController &Owner) {
        Owner.handle(InstanceAnswered{{Key.second}, Result}, m_Now);
      });
    });
  }

  void probe(size_t Owner, const ProbeInstance &Asked) {
    const InstanceName Name = m_InstancesByPort.at(Asked.m_Platform.m_Port);
    uint64_t Number = m_NextProbe++;
    // A probe fails if it is not answered within its timeout.
    m_Probes[Number] = {Owner, Asked, Name};
    schedule(milliseconds(Asked.m_TimeoutMs), [this, Number] {
      auto Found = m_Probes.find(Number);
      if (Found == m_Probes.end())
        return;
      PendingProbe Failed = Found->second;
      m_Probes.erase(Found);
      deliver(Failed.m_Owner, [&](OwnerController &Controller) {
        Controller.handle(ProbeAnswered{Failed.m_Asked.m_Probe, {}}, m_Now);
      });
    });
    schedule(latency(), [this, Number] {
      auto Found = m_Probes.find(Number);
      if (Found == m_Probes.end() ||
          isPartitioned(Found->second.m_Owner, Found->second.m_Instance))
        return;
      Found->second.m_HasArrived = true;
      answerProbes();
    });
  }

  void answerProbes() {
    for (auto It = m_Probes.begin(); It != m_Probes.end();) {
      uint64_t Number = It->first;
      PendingProbe &Waiting = It->second;
      ++It;
      FakeInstance &Asked = *m_Instances.at(Waiting.m_Instance);
      if (!Waiting.m_HasArrived || Waiting.m_IsAnswered ||
          m_Suspended.contains(Waiting.m_Instance))
        continue;
      if (Asked.m_IsUp && Waiting.m_Asked.m_WaitFor &&
          Asked.position() < *Waiting.m_Asked.m_WaitFor)
        continue;
      Waiting.m_IsAnswered = true;
      std::optional<InstanceStatus> Status;
      if (Asked.m_IsUp)
        Status = Asked.status();
      schedule(latency(), [this, Number, Status] {
        auto Found = m_Probes.find(Number);
        if (Found == m_Probes.end() ||
            isPartitioned(Found->second.m_Owner, Found->second.m_Instance))
          return;
        PendingProbe Done = Found->second;
        m_Probes.erase(Found);
        deliver(Done.m_Owner, [&](OwnerController &Controller) {
          Controller.handle(ProbeAnswered{Done.m_Asked.m_Probe, Status}, m_Now);
        });
      });
    }
  }

  struct PendingProbe {
    size_t m_Owner = 0;
    ProbeInstance m_Asked;
    InstanceName m_Instance;
    bool m_HasArrived = false;
    bool m_IsAnswered = false;
  };

  Time m_Now{seconds(1'000)};
  std::priority_queue<Event> m_Events;
  uint64_t m_NextEventNumber = 0;
  uint64_t m_NextTicket = 1;
  uint64_t m_NextProbe = 1;
  uint64_t m_StartIndex = 0;
  std::map<uint16_t, InstanceName> m_InstancesByPort;
  std::map<FakeConnectionKey, InstanceName> m_Connections;
  std::set<FakeConnectionKey> m_BrokenConnections;
  std::set<FakeConnectionKey> m_ClosedConnections;
  std::set<FakeConnectionKey> m_OutstandingStatements;
  std::set<FakeConnectionKey> m_WarmingUp;
  std::map<uint64_t, PendingProbe> m_Probes;
  std::map<InstanceName, std::deque<Job>> m_Jobs;
  std::map<InstanceName, size_t> m_RunningJobs;
  std::map<InstanceName, uint64_t> m_Incarnations;
};

} // namespace almondpier::testing
