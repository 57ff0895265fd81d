#include "decision/session/StatementExecutor.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Attempts for one statement; further ones only add load to a group that
/// refuses.
constexpr uint32_t kMaxAttempts = 8;
/// Retries for load or failure are at most this share of the statements, so
/// that an overload is not multiplied; a few are always left.
constexpr double kRetryShare = 0.2;
constexpr double kMaxRetryBudget = 20;
/// A statement that found no instance in this share of its time is refused, so
/// that its caller can still come back in time.
constexpr int kWaitShareDivisor = 5;
constexpr int kWaitShareFactor = 2;
/// Pause before the second and later attempts, times the number of attempts.
constexpr Duration kRetryPause = milliseconds(8);
/// An instance that sent nothing for so long while a statement waits is taken
/// for lost: above the slowest statements of a few hundred milliseconds.
constexpr Duration kSilenceLimit = milliseconds(600);
/// A connection takes two round trips and some work at the instance, for which
/// it may wait behind a dozen statements.
constexpr Duration kConnectLimit = milliseconds(400);
constexpr Duration kTrimInterval = milliseconds(200);
constexpr Duration kReportInterval = milliseconds(100);

bool isEnd(const Statement &Statement) {
  return Statement.m_Kind == StatementKind::Commit ||
         Statement.m_Kind == StatementKind::Rollback;
}

Statement ownStatement(StatementKind Kind) {
  Statement Own;
  Own.m_Kind = Kind;
  return Own;
}

/// Name of a prepared statement at instances. It follows from what is prepared,
/// so sessions with different names or equal names for different statements
/// share connections.
std::string instanceNameOf(const PreparedStatement &Prepared) {
  return (Prepared.m_IsWrite ? "w_" : "r_") + Prepared.m_Shape;
}

} // namespace

// Dispatch.

bool StatementExecutor::hasWaitedEnough(const CallerSession &Session,
                                        Time Now) {
  const Task &Task = *Session.m_Task;
  Duration Limit = milliseconds(Session.m_Policy.m_StatementTimeoutMs) *
                   kWaitShareFactor / kWaitShareDivisor;
  return Task.m_IsWaitingForInstance && Now - Task.m_WaitingSince >= Limit;
}

bool StatementExecutor::spendRetry() {
  if (m_RetryBudget < 1)
    return false;
  m_RetryBudget -= 1;
  return true;
}

void StatementExecutor::submit(CallerSession &Session, Time Now) {
  m_RetryBudget = std::min(kMaxRetryBudget, m_RetryBudget + kRetryShare);
  if (!Session.m_Pinned)
    return wait(Session, Now);
  InstanceConnection *Connection = m_Pool.find(*Session.m_Pinned);
  Session.m_Task->m_Connection = Connection->m_Id;
  Connection->m_Session = Session.m_Id;
  advance(Session, *Connection, Now);
}

void StatementExecutor::wait(CallerSession &Session, Time Now) {
  if (dispatch(Session, Now))
    return;
  Session.m_Task->m_IsWaitingForInstance = true;
  Session.m_Task->m_WaitingSince = Now;
  m_Waiting.push_back(Session.m_Id);
}

void StatementExecutor::dispatchWaiting(Time Now) {
  std::deque<SessionId> Still;
  std::swap(Still, m_Waiting);
  for (SessionId Id : Still) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found == m_Sessions.end() || !Found->second.m_Task ||
        !Found->second.m_Task->m_IsWaitingForInstance)
      continue;
    CallerSession &Session = Found->second;
    Session.m_Task->m_IsWaitingForInstance = false;
    if (dispatch(Session, Now))
      continue;
    Session.m_Task->m_IsWaitingForInstance = true;
    m_Waiting.push_back(Id);
  }
}

bool StatementExecutor::dispatch(CallerSession &Session, Time Now) {
  Task &Task = *Session.m_Task;
  if (Now < Task.m_NotBefore)
    return false;
  Requirement Needed = m_Chooser.requirementOf(Session);
  const InstanceDescription *Instance = m_Chooser.choose(Session, Needed, Now);
  if (Instance == nullptr)
    return false;
  InstanceConnection *Connection =
      m_Pool.acquire(*Instance, Session.m_Organisation, Session.m_Values, Now);
  if (Connection == nullptr)
    return false;
  Connection->m_Session = Session.m_Id;
  Task.m_Connection = Connection->m_Id;
  if (Connection->m_Step == ConnectionStep::Idle)
    advance(Session, *Connection, Now);
  return true;
}

// Statements of one attempt.

bool StatementExecutor::synchronise(CallerSession &Session,
                                    InstanceConnection &Connection, Time Now) {
  bool HasForeign =
      std::any_of(Connection.m_Values.begin(), Connection.m_Values.end(),
                  [&](const std::pair<const std::string, std::string> &Entry) {
                    return !Session.m_Values.contains(Entry.first);
                  });
  if ((HasForeign || Connection.m_NeedsReset) && !Connection.m_InTransaction) {
    m_Pool.send(Connection, ConnectionStep::Reset,
                ownStatement(StatementKind::Reset), std::nullopt, Now);
    return false;
  }
  for (const auto &[Name, Value] : Session.m_Values) {
    auto Known = Connection.m_Values.find(Name);
    if (Known != Connection.m_Values.end() && Known->second == Value)
      continue;
    Statement Set = ownStatement(StatementKind::SetValue);
    Set.m_Name = Name;
    Set.m_Argument = Value;
    m_Pool.send(Connection, ConnectionStep::SetValue, std::move(Set),
                std::nullopt, Now);
    return false;
  }
  const Statement &Main = Session.m_Task->m_Received.m_Statement;
  if (Main.m_Kind != StatementKind::Execute)
    return true;
  const PreparedStatement &Prepared = Session.m_Prepared.at(Main.m_Name);
  std::string Name = instanceNameOf(Prepared);
  if (Connection.m_Prepared.contains(Name))
    return true;
  Statement Prepare = ownStatement(StatementKind::Prepare);
  Prepare.m_Name = Name;
  Prepare.m_Argument = Prepared.m_Shape;
  Prepare.m_IsWrite = Prepared.m_IsWrite;
  m_Pool.send(Connection, ConnectionStep::Prepare, std::move(Prepare),
              std::nullopt, Now);
  return false;
}

void StatementExecutor::advance(CallerSession &Session,
                                InstanceConnection &Connection, Time Now) {
  if (!synchronise(Session, Connection, Now))
    return;
  Requirement Needed = m_Chooser.requirementOf(Session);
  bool IsTransaction = Session.m_State != TransactionState::None;
  bool NeedsBegin = IsTransaction || Needed.m_Target == Target::ProvedPrimary;
  if (NeedsBegin && !Connection.m_InTransaction)
    return sendBegin(Session, Connection, Needed, Now);
  sendMain(Session, Connection, Needed, Now);
}

void StatementExecutor::sendBegin(CallerSession &Session,
                                  InstanceConnection &Connection,
                                  const Requirement &Needed, Time Now) {
  bool IsForwarded =
      Session.m_State != TransactionState::None &&
      (!Session.m_IsReadOnly || Needed.m_Target == Target::Recent);
  // Only a transaction that may write makes the instance check that it leads.
  Connection.m_ChecksLeadership =
      !IsForwarded || Session.m_BeginStatement.m_Kind == StatementKind::Begin;
  m_Pool.send(Connection, ConnectionStep::Begin,
              IsForwarded ? Session.m_BeginStatement
                          : ownStatement(StatementKind::Begin),
              IsForwarded && Session.m_IsReadOnly ? Needed.m_NotBefore
                                                  : std::nullopt,
              Now);
}

void StatementExecutor::sendMain(CallerSession &Session,
                                 InstanceConnection &Connection,
                                 const Requirement &Needed, Time Now) {
  Task &Task = *Session.m_Task;
  Statement Main = Task.m_Received.m_Statement;
  if (Main.m_Kind == StatementKind::Execute) {
    Main.m_Name = instanceNameOf(Session.m_Prepared.at(Main.m_Name));
    Main.m_Text.clear();
  }
  Task.m_IsSent = true;
  if (isWrite(Main))
    Session.m_HasWritten = true;
  bool IsConditional =
      Needed.m_Target == Target::Recent && !Connection.m_InTransaction;
  if (Task.m_IsSingle && !isWrite(Main))
    ++(IsConditional ? m_ReplicaReads : m_ProvedReads);
  m_Pool.send(Connection, ConnectionStep::Main, std::move(Main),
              IsConditional ? Needed.m_NotBefore : std::nullopt, Now);
}

// Answers of instances.

void StatementExecutor::onConnected(const InstanceConnected &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  m_Views.onHeard(Connection->m_Instance, Now);
  Connection->m_Step = ConnectionStep::Idle;
  Connection->m_IdleSince = Now;
  if (!Connection->m_Session)
    return;
  auto Found = m_Sessions.find(Connection->m_Session->m_Value);
  if (Found == m_Sessions.end() || !Found->second.m_Task ||
      Found->second.m_Task->m_Connection != Connection->m_Id)
    return m_Pool.release(*Connection, Now);
  advance(Found->second, *Connection, Now);
}

void StatementExecutor::onRefused(const InstanceRefused &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  InstanceName Instance = Connection->m_Instance;
  std::optional<SessionId> Waiting = Connection->m_Session;
  m_Pool.close(Event.m_Connection);
  // A refusal for the number of connections is not a sign of a lost instance.
  if (Event.m_Error == SessionError::TooManyConnections ||
      Event.m_Error == SessionError::Busy)
    m_Views.onOverloaded(Instance, Now);
  else
    m_Views.onUnreachable(Instance, Now);
  auto Found = Waiting ? m_Sessions.find(Waiting->m_Value) : m_Sessions.end();
  if (Found != m_Sessions.end() && Found->second.m_Task &&
      Found->second.m_Task->m_Connection == Event.m_Connection)
    retry(Found->second, Instance,
          "refused the connection: " + std::string(nameOf(Event.m_Error)),
          SessionError::Busy, Now);
}

void StatementExecutor::noteError(const InstanceConnection &Connection,
                                  SessionError Error, Time Now) {
  if (Error == SessionError::Busy)
    m_Views.onOverloaded(Connection.m_Instance, Now);
  else if (Error == SessionError::ReadOnly)
    m_Views.onNotPrimary(Connection.m_Instance, Now);
  else if (Error == SessionError::Lagging)
    m_Views.onLagging(Connection.m_Instance, Now);
}

void StatementExecutor::onReplied(const InstanceReplied &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  m_Views.onHeard(Connection->m_Instance, Now);
  const StatementReply &Reply = Event.m_Reply;
  bool IsRefused = Reply.m_Error.has_value();
  if (!IsRefused && Connection->m_Step == ConnectionStep::Main)
    m_Views.onServed(Connection->m_Instance);
  if (IsRefused)
    noteError(*Connection, *Reply.m_Error, Now);
  switch (Connection->m_Step) {
  case ConnectionStep::Reset:
    Connection->m_Values.clear();
    Connection->m_Prepared.clear();
    Connection->m_NeedsReset = false;
    break;
  case ConnectionStep::SetValue:
    Connection->m_Values[Connection->m_Sent.m_Name] =
        Connection->m_Sent.m_Argument;
    // Whether a rollback restores the old value is the instance's affair.
    Connection->m_NeedsReset |= Connection->m_InTransaction;
    break;
  case ConnectionStep::Prepare:
    Connection->m_Prepared.insert(Connection->m_Sent.m_Name);
    break;
  default:
    break;
  }
  auto Found = Connection->m_Session
                   ? m_Sessions.find(Connection->m_Session->m_Value)
                   : m_Sessions.end();
  bool IsAwaited = Found != m_Sessions.end() && Found->second.m_Task &&
                   Found->second.m_Task->m_Connection == Connection->m_Id;
  ConnectionStep Step = Connection->m_Step;
  if (Step == ConnectionStep::Begin)
    Connection->m_InTransaction = !IsRefused;
  if (Step == ConnectionStep::Rollback) {
    if (IsRefused)
      return m_Pool.close(Connection->m_Id);
    return m_Pool.release(*Connection, Now);
  }
  if (!IsAwaited) {
    if (isEnd(Connection->m_Sent) && Step == ConnectionStep::Main)
      Connection->m_InTransaction = false;
    return onOrphanReplied(*Connection, Now);
  }
  CallerSession &Session = Found->second;
  if (Step == ConnectionStep::Main) {
    m_Views.onLatency(Connection->m_Instance, Now - Connection->m_SentAt);
    return onMainReplied(Session, *Connection, Reply, Now);
  }
  if (Step == ConnectionStep::Begin)
    return onBeginReplied(Session, *Connection, Reply, Now);
  if (!IsRefused)
    return advance(Session, *Connection, Now);
  // The state of the connection is unknown after a failed preparation.
  InstanceName Instance = Connection->m_Instance;
  std::string Why = "could not prepare the connection: " + Reply.m_ErrorText;
  if (Session.m_StatementsRun > 0)
    return onClosed(Connection->m_Id, Now);
  m_Pool.close(Connection->m_Id);
  Session.m_Pinned.reset();
  retry(Session, Instance, Why, SessionError::Busy, Now);
}

void StatementExecutor::onOrphanReplied(InstanceConnection &Connection,
                                        Time Now) {
  Connection.m_Session.reset();
  letGo(Connection, Now);
}

void StatementExecutor::letGo(InstanceConnection &Connection, Time Now) {
  Connection.m_Session.reset();
  if (!Connection.m_InTransaction)
    return m_Pool.release(Connection, Now);
  m_Pool.send(Connection, ConnectionStep::Rollback,
              ownStatement(StatementKind::Rollback), std::nullopt, Now);
}

void StatementExecutor::onBeginReplied(CallerSession &Session,
                                       InstanceConnection &Connection,
                                       const StatementReply &Reply, Time Now) {
  if (!Reply.m_Error) {
    const InstanceDescription *Instance = m_Views.find(Connection.m_Instance);
    if (Connection.m_ChecksLeadership && Instance != nullptr)
      m_Views.onLeadershipProved(*Instance, Reply.m_Position,
                                 Connection.m_SentAt, Now);
    if (Session.m_State != TransactionState::None)
      Session.m_Pinned = Connection.m_Id;
    return sendMain(Session, Connection, m_Chooser.requirementOf(Session), Now);
  }
  InstanceName Instance = Connection.m_Instance;
  std::string Why = "refused to begin: " + std::string(nameOf(*Reply.m_Error));
  SessionError Error =
      saysNotRun(*Reply.m_Error) ? *Reply.m_Error : SessionError::Busy;
  letGo(Connection, Now);
  retry(Session, Instance, Why, Error, Now);
}

void StatementExecutor::onMainReplied(CallerSession &Session,
                                      InstanceConnection &Connection,
                                      StatementReply Reply, Time Now) {
  Task &Task = *Session.m_Task;
  const Statement &Main = Task.m_Received.m_Statement;
  bool IsTransaction = Session.m_State != TransactionState::None;
  const InstanceDescription *Instance = m_Views.find(Connection.m_Instance);
  InstanceName Name = Connection.m_Instance;
  if (!Reply.m_Error) {
    bool IsProof =
        Connection.m_ChecksLeadership || (Task.m_IsSingle && isWrite(Main));
    bool WroteNothing = isEnd(Main) && !Session.m_HasWritten;
    if (IsProof && !WroteNothing && Instance != nullptr &&
        Main.m_Kind != StatementKind::Rollback)
      m_Views.onLeadershipProved(*Instance, Reply.m_Position,
                                 Connection.m_SentAt, Now);
    bool IsCommit =
        Main.m_Kind == StatementKind::Commit && Session.m_HasWritten;
    if ((IsCommit || (Task.m_IsSingle && isWrite(Main))) && Reply.m_Position)
      Session.m_LastCommit = std::max(Session.m_LastCommit, *Reply.m_Position);
  }
  if (Reply.m_Error == SessionError::UnknownStatement)
    Connection.m_Prepared.clear();
  bool CanRepeat =
      Reply.m_Error && (saysNotRun(*Reply.m_Error) ||
                        *Reply.m_Error == SessionError::UnknownStatement ||
                        (*Reply.m_Error == SessionError::Failed &&
                         Task.m_IsSingle && !isWrite(Main)));
  if (CanRepeat && !isEnd(Main) &&
      (Task.m_IsSingle || Session.m_StatementsRun == 0)) {
    SessionError Error = *Reply.m_Error == SessionError::UnknownStatement
                             ? SessionError::Busy
                             : *Reply.m_Error;
    Session.m_Pinned.reset();
    letGo(Connection, Now);
    return retry(Session, Name, "answered " + std::string(nameOf(Error)), Error,
                 Now);
  }
  if (!IsTransaction) {
    letGo(Connection, Now);
    Reply.m_State = TransactionState::None;
    return finish(Session, std::move(Reply));
  }
  ++Session.m_StatementsRun;
  if (isEnd(Main) || Reply.m_State == TransactionState::None) {
    Connection.m_InTransaction = Reply.m_State != TransactionState::None;
    Session.m_Pinned.reset();
    Reply.m_State = TransactionState::None;
    letGo(Connection, Now);
    // A transaction that ended by itself has failed for the caller.
    if (!isEnd(Main))
      Reply.m_State = TransactionState::Failed;
    return finish(Session, std::move(Reply));
  }
  Connection.m_Step = ConnectionStep::Pinned;
  finish(Session, std::move(Reply));
}

// Failures.

SessionError
StatementExecutor::errorAfterLoss(const CallerSession &Session) const {
  const Task &Task = *Session.m_Task;
  const Statement &Main = Task.m_Received.m_Statement;
  if (!Task.m_IsSent)
    return SessionError::Aborted;
  // Closing the connection rolls back a transaction without a commit; a commit
  // of nothing keeps nothing.
  bool MayHaveTakenEffect =
      (Task.m_IsSingle && isWrite(Main)) ||
      (Main.m_Kind == StatementKind::Commit && Session.m_HasWritten);
  return MayHaveTakenEffect ? SessionError::OutcomeUnknown
                            : SessionError::Aborted;
}

void StatementExecutor::onClosed(ConnectionId Id, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Id);
  if (Connection == nullptr)
    return;
  InstanceName Instance = Connection->m_Instance;
  std::optional<SessionId> Owner = Connection->m_Session;
  bool WasIdle = Connection->m_Step == ConnectionStep::Idle;
  m_Pool.close(Id);
  if (!WasIdle)
    m_Views.onUnreachable(Instance, Now);
  auto Found = Owner ? m_Sessions.find(Owner->m_Value) : m_Sessions.end();
  if (Found == m_Sessions.end())
    return;
  CallerSession &Session = Found->second;
  bool WasPinned = Session.m_Pinned == Id;
  if (WasPinned)
    Session.m_Pinned.reset();
  if (!Session.m_Task || Session.m_Task->m_Connection != Id) {
    if (WasPinned)
      Session.m_State = TransactionState::Failed;
    return;
  }
  bool IsRepeatable = errorAfterLoss(Session) != SessionError::OutcomeUnknown &&
                      Session.m_StatementsRun == 0 &&
                      !isEnd(Session.m_Task->m_Received.m_Statement);
  if (IsRepeatable)
    return retry(Session, Instance, "lost the connection",
                 SessionError::Aborted, Now);
  fail(Session, errorAfterLoss(Session),
       "the connection to " + Instance.m_Value + " is lost");
}

void StatementExecutor::retry(CallerSession &Session,
                              const InstanceName &Failed,
                              const std::string &Why, SessionError Error,
                              Time Now) {
  Task &Task = *Session.m_Task;
  ++m_Retries;
  ++Task.m_Attempts;
  Task.m_Connection.reset();
  Task.m_IsSent = false;
  Task.m_Tried.insert(Failed);
  Task.m_LastFailure = Failed.m_Value + " " + Why;
  // A replica that lacks a position and an instance that does not lead refuse
  // at no cost to themselves.
  bool IsFree =
      Error == SessionError::Lagging || Error == SessionError::ReadOnly;
  if (Task.m_Attempts >= kMaxAttempts || (!IsFree && !spendRetry()))
    return fail(Session, saysNotRun(Error) ? Error : SessionError::Aborted,
                Task.m_LastFailure);
  if (Task.m_Attempts > 1)
    Task.m_NotBefore = Now + kRetryPause * Task.m_Attempts;
  wait(Session, Now);
}

void StatementExecutor::fail(CallerSession &Session, SessionError Error,
                             const std::string &Text) {
  StatementReply Reply;
  Reply.m_Error = Error;
  Reply.m_ErrorText = Text;
  bool Ends = isEnd(Session.m_Task->m_Received.m_Statement);
  Reply.m_State = Session.m_State == TransactionState::None || Ends
                      ? TransactionState::None
                      : TransactionState::Failed;
  finish(Session, std::move(Reply));
}

void StatementExecutor::finish(CallerSession &Session, StatementReply Reply) {
  Session.m_Task->m_Connection.reset();
  m_Finished.push_back(Finished{Session.m_Id, std::move(Reply)});
}

StatementReply StatementExecutor::giveUp(CallerSession &Session, Time Now) {
  Task &Task = *Session.m_Task;
  StatementReply Reply;
  Reply.m_Error = Task.m_IsSent ? errorAfterLoss(Session) : SessionError::Busy;
  Reply.m_ErrorText = Task.m_IsWaitingForInstance
                          ? m_Chooser.describeWait(Session, Now)
                      : Task.m_IsSent ? "no answer in time"
                                      : "no connection in time";
  Task.m_IsWaitingForInstance = false;
  std::optional<ConnectionId> Used = Task.m_Connection;
  Task.m_Connection.reset();
  if (Session.m_Pinned == Used)
    Session.m_Pinned.reset();
  bool Ends = isEnd(Task.m_Received.m_Statement);
  Reply.m_State = Session.m_State == TransactionState::None || Ends
                      ? TransactionState::None
                      : TransactionState::Failed;
  InstanceConnection *Connection = Used ? m_Pool.find(*Used) : nullptr;
  if (Connection == nullptr)
    return Reply;
  if (Connection->m_Step == ConnectionStep::Connecting) {
    // A finished handshake is of use to the next statement.
    Connection->m_Session.reset();
    return Reply;
  }
  if (m_Views.viewOf(Connection->m_Instance).m_HeardAt < Connection->m_SentAt)
    m_Views.onUnreachable(Connection->m_Instance, Now);
  m_Pool.close(Connection->m_Id);
  return Reply;
}

void StatementExecutor::rollBack(CallerSession &Session, Time Now) {
  if (!Session.m_Pinned)
    return;
  InstanceConnection *Connection = m_Pool.find(*Session.m_Pinned);
  Session.m_Pinned.reset();
  if (Connection != nullptr)
    letGo(*Connection, Now);
}

// Time.

void StatementExecutor::closeSilent(Time Now) {
  std::vector<ConnectionId> Silent;
  for (const auto &[Id, Connection] : m_Pool.all()) {
    if (Connection.m_Step == ConnectionStep::Idle ||
        Connection.m_Step == ConnectionStep::Pinned)
      continue;
    bool IsConnecting = Connection.m_Step == ConnectionStep::Connecting;
    Duration Waited = Now - Connection.m_SentAt;
    bool IsHeard =
        m_Views.viewOf(Connection.m_Instance).m_HeardAt >= Connection.m_SentAt;
    if (Waited < (IsConnecting ? kConnectLimit : kSilenceLimit) ||
        (IsHeard && !IsConnecting))
      continue;
    // The answer to a write or commit may still come; only its deadline ends
    // the wait.
    auto Owner = Connection.m_Session
                     ? m_Sessions.find(Connection.m_Session->m_Value)
                     : m_Sessions.end();
    if (Owner != m_Sessions.end() && Owner->second.m_Task &&
        Owner->second.m_Task->m_IsSent &&
        errorAfterLoss(Owner->second) == SessionError::OutcomeUnknown)
      continue;
    Silent.push_back(Connection.m_Id);
  }
  for (ConnectionId Id : Silent)
    onClosed(Id, Now);
}

void StatementExecutor::report(Time Now) {
  std::map<InstanceName, Time> WaitingSince;
  for (const auto &[Id, Connection] : m_Pool.all()) {
    if (Connection.m_Step == ConnectionStep::Idle ||
        Connection.m_Step == ConnectionStep::Pinned)
      continue;
    auto [Entry, IsNew] =
        WaitingSince.emplace(Connection.m_Instance, Connection.m_SentAt);
    Entry->second = std::min(Entry->second, Connection.m_SentAt);
  }
  m_Board.m_Reports.clear();
  for (const auto &[Name, View] : m_Views.views()) {
    std::optional<Time> Since = View.m_FailingSince;
    auto Waiting = WaitingSince.find(Name);
    if (Waiting != WaitingSince.end()) {
      Time Silent = std::max(Waiting->second, View.m_HeardAt);
      Since = Since ? std::min(*Since, Silent) : Silent;
    }
    const InstanceDescription *Instance = m_Views.find(Name);
    if (!Since || Instance == nullptr || Now - *Since < milliseconds(150))
      continue;
    InstanceReport Report;
    Report.m_Database = Instance->m_Database;
    Report.m_Instance = Name;
    Report.m_UnreachableMs =
        static_cast<uint32_t>((Now - *Since) / milliseconds(1));
    m_Board.m_Reports.push_back(std::move(Report));
  }
}

void StatementExecutor::tick(Time Now) {
  closeSilent(Now);
  if (Now - m_TrimmedAt >= kTrimInterval) {
    m_TrimmedAt = Now;
    m_Pool.trim(Now);
  }
  if (Now - m_ReportedAt >= kReportInterval) {
    m_ReportedAt = Now;
    report(Now);
  }
}

CounterList StatementExecutor::counters() const {
  return {
      {"almondpier_instance_connections", "Connections to instances",
       static_cast<double>(m_Pool.count())},
      {"almondpier_instance_connections_opened_total",
       "Connections to instances opened",
       static_cast<double>(m_Pool.openedCount())},
      {"almondpier_statements_waiting", "Statements that wait for a connection",
       static_cast<double>(m_Waiting.size())},
      {"almondpier_statement_retries_total", "Attempts repeated at an instance",
       static_cast<double>(m_Retries)},
      {"almondpier_position_reads_total", "Single reads sent with a position",
       static_cast<double>(m_ReplicaReads)},
      {"almondpier_proved_reads_total",
       "Single reads for which the primary proved that it leads",
       static_cast<double>(m_ProvedReads)}};
}

} // namespace almondpier
