#include "decision/proxy/OwnerController.h"

#include "decision/proxy/owner/DatabaseExecutor.h"

#include <algorithm>
#include <deque>

namespace almondpier {

/// Ticks come every 5 ms; requests end one tick before their deadline.
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
/// How long requests wait for a configuration that is proved current.
constexpr Duration kMaxHoldTime = std::chrono::seconds(2);
constexpr Duration kReportInterval = std::chrono::milliseconds(50);

struct OwnerController::State {
  State(const OwnerOptions &Options, ProxyBlackboard &Board)
      : m_Context(Options, Board) {}

  size_t observedInstanceCount() const;
  DatabaseExecutor *findOrAddGroup(const DatabaseName &Database, Time Now);
  void holdWhileStale(Time Now);

  OwnerContext m_Context;
  std::unordered_map<DatabaseName, std::unique_ptr<DatabaseExecutor>> m_Groups;
  /// Since when the configuration has not been proved current.
  std::optional<Time> m_StaleSince;
  /// Requests in the order of arrival, kept while the configuration is stale.
  std::deque<std::pair<Time, uint64_t>> m_Held;
  Time m_NextReport{};
};

size_t OwnerController::State::observedInstanceCount() const {
  const ProxyBlackboard &Board = m_Context.m_Board;
  size_t Count = 0;
  for (const std::pair<const DatabaseName, std::vector<HostName>> &Entry :
       Board.m_Observers) {
    const DatabaseRecord *Record =
        Board.m_Configuration.findDatabase(Entry.first);
    if (Record != nullptr &&
        std::find(Entry.second.begin(), Entry.second.end(),
                  m_Context.m_Options.m_Host) != Entry.second.end())
      Count += Record->m_Instances.size();
  }
  return Count;
}

DatabaseExecutor *
OwnerController::State::findOrAddGroup(const DatabaseName &Database, Time Now) {
  auto Found = m_Groups.find(Database);
  if (Found != m_Groups.end())
    return Found->second.get();
  const DatabaseRecord *Record =
      m_Context.m_Board.m_Configuration.findDatabase(Database);
  if (Record == nullptr)
    return nullptr;
  std::unique_ptr<DatabaseExecutor> New =
      std::make_unique<DatabaseExecutor>(Database, m_Context);
  DatabaseExecutor *Added = New.get();
  m_Groups.emplace(Database, std::move(New));
  Added->configure(*Record, Now);
  return Added;
}

void OwnerController::State::holdWhileStale(Time Now) {
  if (isFresh(m_Context.m_Board, Now)) {
    m_StaleSince.reset();
    m_Held.clear();
    return;
  }
  if (!m_StaleSince) {
    m_StaleSince = Now;
    m_Held.clear();
    for (const std::pair<const uint64_t, std::unique_ptr<PendingRequest>>
             &Entry : m_Context.m_Requests)
      m_Held.emplace_back(Entry.second->m_ArrivedAt, Entry.first);
    std::sort(m_Held.begin(), m_Held.end());
  }
  if (Now - *m_StaleSince < kMaxHoldTime)
    return;
  while (!m_Held.empty() && Now - m_Held.front().first >= kMaxHoldTime) {
    auto Found = m_Context.m_Requests.find(m_Held.front().second);
    m_Held.pop_front();
    if (Found != m_Context.m_Requests.end() &&
        Found->second->m_Executor != nullptr)
      Found->second->m_Executor->rejectIfWaiting(*Found->second);
  }
}

OwnerController::OwnerController(const OwnerOptions &Options,
                                 ProxyBlackboard &Board)
    : m_State(std::make_unique<State>(Options, Board)) {}

OwnerController::~OwnerController() = default;

void OwnerController::submit(Ticket Ticket, const AdmittedRequest &Request,
                             Time Now) {
  OwnerContext &Context = m_State->m_Context;
  ++Context.m_Counters.m_Submitted;
  std::unique_ptr<PendingRequest> New = std::make_unique<PendingRequest>();
  New->m_Ticket = Ticket;
  New->m_Request = Request;
  New->m_ArrivedAt = Now;
  Duration TimeLeft = std::chrono::milliseconds(Request.m_TimeLeftMs);
  New->m_Deadline = Now + std::max(TimeLeft - kTickInterval, TimeLeft / 2);
  New->m_FirstProbeAfterArrival = Context.m_NextProbeId;
  PendingRequest &Added = *New;
  Context.m_Deadlines.emplace(Added.m_Deadline, Ticket.m_Value);
  Context.m_Requests.emplace(Ticket.m_Value, std::move(New));
  DatabaseExecutor *Group = m_State->findOrAddGroup(Request.m_Database, Now);
  if (Group == nullptr) {
    Context.fail(Added, ErrorKind::UnknownDatabase, Ran::No,
                 "no database '" + Request.m_Database.m_Value + "'");
    return;
  }
  if (m_State->m_StaleSince)
    m_State->m_Held.emplace_back(Now, Ticket.m_Value);
  Group->submit(Added, Now);
}

void OwnerController::cancel(Ticket Ticket, Time Now) {
  auto Found = m_State->m_Context.m_Requests.find(Ticket.m_Value);
  if (Found != m_State->m_Context.m_Requests.end())
    Found->second->m_Executor->cancel(*Found->second, Now);
}

void OwnerController::handle(const InstanceAnswered &Event, Time Now) {
  ConnectionTable &Table = m_State->m_Context.m_Connections;
  auto Found = Table.find(Event.m_Connection.m_Value);
  // Answers on connections that were closed here are late.
  if (Found == Table.end())
    return;
  Connection &Used = *Found->second;
  Used.m_Executor->onInstanceAnswered(Used, Event, Now);
}

void OwnerController::handle(const ConnectionClosed &Event, Time Now) {
  ConnectionTable &Table = m_State->m_Context.m_Connections;
  auto Found = Table.find(Event.m_Connection.m_Value);
  if (Found == Table.end())
    return;
  Connection &Closed = *Found->second;
  Closed.m_Executor->onConnectionClosed(Closed, Now);
}

void OwnerController::handle(const ProbeAnswered &Event, Time Now) {
  for (std::pair<const DatabaseName, std::unique_ptr<DatabaseExecutor>> &Entry :
       m_State->m_Groups)
    if (Entry.second->onProbeAnswered(Event, Now))
      return;
}

/// At 540 hosts before 1,200 databases a host observes 20 instances; probing
/// each every 100 ms would take more than the 2.5% of a core that control may
/// use.
static Duration probeIntervalFor(size_t ObservedInstances) {
  constexpr int64_t kMaxProbesPerSecond = 60;
  constexpr Duration kSecond = std::chrono::seconds(1);
  return std::max(kProbeInterval, kSecond *
                                      static_cast<int64_t>(ObservedInstances) /
                                      kMaxProbesPerSecond);
}

void OwnerController::onConfigurationChanged(Time Now) {
  const ProxyBlackboard &Board = m_State->m_Context.m_Board;
  m_State->m_Context.m_ProbeInterval =
      probeIntervalFor(m_State->observedInstanceCount());
  for (const std::pair<const DatabaseName, std::vector<HostName>> &Entry :
       Board.m_Observers)
    if (std::find(Entry.second.begin(), Entry.second.end(),
                  m_State->m_Context.m_Options.m_Host) != Entry.second.end())
      m_State->findOrAddGroup(Entry.first, Now);
  for (std::pair<const DatabaseName, std::unique_ptr<DatabaseExecutor>> &Entry :
       m_State->m_Groups) {
    const DatabaseRecord *Record =
        Board.m_Configuration.findDatabase(Entry.first);
    if (Record != nullptr)
      Entry.second->configure(*Record, Now);
  }
}

void OwnerController::tick(Time Now) {
  OwnerContext &Context = m_State->m_Context;
  while (!Context.m_Deadlines.empty() &&
         Context.m_Deadlines.begin()->first <= Now) {
    auto Found = Context.m_Requests.find(Context.m_Deadlines.begin()->second);
    Found->second->m_Executor->expire(*Found->second, Now);
  }
  m_State->holdWhileStale(Now);
  for (std::pair<const DatabaseName, std::unique_ptr<DatabaseExecutor>> &Entry :
       m_State->m_Groups)
    Entry.second->tick(Now);
  if (Now < m_State->m_NextReport)
    return;
  m_State->m_NextReport = Now + kReportInterval;
  Context.m_Board.m_Reports.clear();
  for (std::pair<const DatabaseName, std::unique_ptr<DatabaseExecutor>> &Entry :
       m_State->m_Groups)
    Entry.second->appendReports(Context.m_Board.m_Reports, Now);
}

ProxyActions OwnerController::takeActions() {
  ProxyActions Taken;
  Taken.swap(m_State->m_Context.m_Actions);
  return Taken;
}

std::vector<CompletedRequest> OwnerController::takeCompleted() {
  std::vector<CompletedRequest> Taken;
  Taken.swap(m_State->m_Context.m_Completed);
  return Taken;
}

size_t OwnerController::workInProgress() const {
  size_t Open = m_State->m_Context.m_Requests.size();
  for (const std::pair<const DatabaseName, std::unique_ptr<DatabaseExecutor>>
           &Entry : m_State->m_Groups)
    Open += Entry.second->openTransactions();
  return Open;
}

CounterList OwnerController::counters() const {
  const OwnerCounters &Counters = m_State->m_Context.m_Counters;
  auto Total = [](const char *Name, const char *Help, uint64_t Value) {
    return Counter{std::string("almondpier_owner_") + Name + "_total", Help,
                   static_cast<double>(Value)};
  };
  return {
      Total("requests", "Requests submitted to the owner.",
            Counters.m_Submitted),
      Total("reads_by_replicas", "Reads answered by replicas.",
            Counters.m_ReadsByReplicas),
      Total("reads_by_primary", "Reads answered by primaries.",
            Counters.m_ReadsByPrimary),
      Total("writes_acknowledged", "Writes that a majority holds.",
            Counters.m_WritesAcknowledged),
      Total("outcomes_unknown", "Writes whose outcome stayed unknown.",
            Counters.m_OutcomesUnknown),
      Total("outcomes_looked_up", "Writes whose connection was lost.",
            Counters.m_OutcomesLookedUp),
      Total("overloaded", "Requests refused because of a long queue.",
            Counters.m_Overloaded),
      Total("deadlines_exceeded", "Reads and queued requests that expired.",
            Counters.m_DeadlinesExceeded),
      Total("reads_retried", "Reads sent to another instance.",
            Counters.m_ReadsRetried),
      Total("retries_denied", "Reads that failed without retry budget.",
            Counters.m_RetriesDenied),
      Total("answers_abandoned", "Connections closed before their answer.",
            Counters.m_AnswersAbandoned),
      Total("transactions_begun", "Transactions begun.",
            Counters.m_TransactionsBegun),
      Total("transactions_rolled_back", "Transactions that did not commit.",
            Counters.m_TransactionsRolledBack),
      {"almondpier_owner_work_in_progress",
       "Requests and transactions in progress.",
       static_cast<double>(workInProgress())},
      {"almondpier_owner_connections", "Connections to instances.",
       static_cast<double>(m_State->m_Context.m_Connections.size())},
  };
}

} // namespace almondpier
