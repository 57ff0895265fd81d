#include "decision/session/StatementExecutor.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Maximum number of attempts per statement; more would only add load to a
/// group that rejects statements.
constexpr uint32_t kMaxAttempts = 8;
/// Retries after overload or failure are limited to this fraction of the
/// statements, so that retries do not amplify an overload. At most
/// kMaxRetryTokens unused retries are saved.
constexpr double kRetryFraction = 0.2;
constexpr double kMaxRetryTokens = 20;
/// A statement that found no instance within Factor / Divisor of its timeout is
/// rejected, so that the caller still has time for a retry.
constexpr int kQueueTimeoutDivisor = 5;
constexpr int kQueueTimeoutFactor = 2;
/// Backoff before the third and later attempts, multiplied by the number of
/// failed attempts.
constexpr Duration kRetryBackoff = milliseconds(8);
/// A connection is considered lost when its instance sends nothing for this
/// time while a statement runs. Exceeds the slowest statements, which take a
/// few hundred milliseconds.
constexpr Duration kResponseTimeout = milliseconds(600);
/// A connection on which no caller awaits the reply is closed when it has not
/// come for this time, also when the instance replies on other connections.
constexpr Duration kUnclaimedReplyTimeout = milliseconds(2'000);
/// Instances that sent defective replies are remembered for this time at least,
/// and for twice as long at most.
constexpr Duration kDefectMemory = milliseconds(60'000);
/// Opening a connection takes two round trips and some work at the instance,
/// which may be queued behind a dozen statements.
constexpr Duration kConnectTimeout = milliseconds(400);
/// A connection with this many prepared statements is reset before its next
/// use, which limits the memory of the host and of the instance.
constexpr size_t kMaxPreparedOnConnection = 256;
constexpr Duration kCloseExcessInterval = milliseconds(200);
constexpr Duration kReportInterval = milliseconds(100);

} // namespace

// Dispatch.

static Duration queueTimeout(const CallerSession &Session) {
  return milliseconds(Session.m_Policy.m_StatementTimeoutMs) *
         kQueueTimeoutFactor / kQueueTimeoutDivisor;
}

bool StatementExecutor::hasWaitTimedOut(const CallerSession &Session,
                                        Time Now) {
  const PendingStatement &Pending = *Session.m_Pending;
  return Pending.m_IsWaitingForInstance &&
         Now - Pending.m_WaitingSince >= queueTimeout(Session);
}

uint32_t StatementExecutor::priorityOf(const CallerSession &Session) {
  if (!Session.m_Origin)
    return Session.m_Policy.m_Priority;
  return m_RoutePriorities.find(m_Board.m_Configuration.policy(),
                                Session.m_Policy);
}

bool StatementExecutor::isQueueTooLong(const CallerSession &Session,
                                       size_t Ahead, Time Now) {
  return Ahead > 0 &&
         m_Selector.estimateWait(Session, Ahead, Now) > queueTimeout(Session);
}

bool StatementExecutor::takeRetryToken() {
  if (m_RetryTokens < 1)
    return false;
  m_RetryTokens -= 1;
  return true;
}

void StatementExecutor::submit(CallerSession &Session, Time Now) {
  m_RetryTokens = std::min(kMaxRetryTokens, m_RetryTokens + kRetryFraction);
  if (Session.m_TransactionOwner) {
    if (!StatementForwarder::canForward(Session)) {
      rollBackAtOwner(Session);
      return fail(Session, SessionError::TooLarge,
                  "the statement does not fit a message to the host at which "
                  "the transaction is open");
    }
    const ForwardTarget Owner = *Session.m_TransactionOwner;
    return sendToOwner(Session, Owner.m_Link, Owner.m_Host, Now);
  }
  if (!Session.m_PinnedConnection)
    return dispatchOrQueue(Session, Now);
  InstanceConnection *Connection = m_Pool.find(*Session.m_PinnedConnection);
  Session.m_Pending->m_Connection = Connection->m_Id;
  Connection->m_Session = Session.m_Id;
  sendNext(Session, *Connection, Now);
}

void StatementExecutor::dispatchOrQueue(CallerSession &Session, Time Now) {
  m_FullGroups.clear();
  if (dispatch(Session, Now))
    return;
  const DatabaseName &Database = Session.m_Policy.m_Database;
  uint32_t Priority = priorityOf(Session);
  size_t Ahead = m_AdmissionQueue.countAhead(Priority, Database);
  // Entry hosts have no queue before their owners.
  bool IsExecutedHere = m_Board.m_OwnedGroups.contains(Database);
  if (IsExecutedHere && isQueueTooLong(Session, Ahead, Now)) {
    ++m_QueueRejections;
    return fail(Session, SessionError::Busy,
                std::to_string(Ahead) +
                    " statements of its priority or a higher one wait");
  }
  Session.m_Pending->m_IsWaitingForInstance = true;
  Session.m_Pending->m_WaitingSince = Now;
  m_AdmissionQueue.push(Priority, Database, Session.m_Organisation,
                        Session.m_Id);
}

void StatementExecutor::dispatchWaiting(Time Now) {
  m_FullGroups.clear();
  m_AdmissionQueue.visit([&](SessionId Id) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found == m_Sessions.end() || !Found->second.m_Pending ||
        !Found->second.m_Pending->m_IsWaitingForInstance)
      return AdmissionQueue::Verdict::Obsolete;
    CallerSession &Session = Found->second;
    Session.m_Pending->m_IsWaitingForInstance = false;
    if (dispatch(Session, Now))
      return AdmissionQueue::Verdict::Dispatched;
    Session.m_Pending->m_IsWaitingForInstance = true;
    return AdmissionQueue::Verdict::Kept;
  });
}

bool StatementExecutor::dispatch(CallerSession &Session, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  if (Now < Pending.m_RetryNotBefore)
    return false;
  if (std::optional<bool> IsForwarded = forward(Session, Now))
    return *IsForwarded;
  m_Selector.refreshSample(Session, Now);
  InstanceRequirement Requirement = m_Selector.requirementOf(Session);
  std::pair Group(Session.m_Policy.m_Database, Requirement.m_Target);
  if (m_FullGroups.contains(Group))
    return false;
  const InstanceDescription *Instance =
      m_Selector.select(Session, Requirement, Now);
  if (Instance == nullptr) {
    if (Requirement.m_Target != StatementTarget::CaughtUp &&
        m_Selector.isPrimaryInClosedZone(Session, Now)) {
      fail(Session, SessionError::Busy,
           "the primary is in an evacuated zone and no other instance leads");
      return true;
    }
    if (!m_Selector.isUnreachable(Session, Requirement, Now)) {
      m_FullGroups.insert(std::move(Group));
      return false;
    }
    if (Requirement.m_Target != StatementTarget::CaughtUp)
      m_Owners.onPrimaryUnreachable(Session.m_Policy.m_Database,
                                    m_Owners.self(), Now);
    if (!Session.m_Origin)
      return false;
    returnToEntryHost(Session, m_Selector.describeWaitReason(Session, Now));
    return true;
  }
  InstanceConnection *Connection = m_Pool.acquire(
      *Instance, Session.m_Organisation, Session.m_Variables, Now);
  if (Connection == nullptr)
    return false;
  Connection->m_Session = Session.m_Id;
  Pending.m_Connection = Connection->m_Id;
  if (Connection->m_State == ConnectionState::Idle)
    sendNext(Session, *Connection, Now);
  return true;
}

// Forwarding.

std::optional<bool> StatementExecutor::forward(CallerSession &Session,
                                               Time Now) {
  if (Session.m_Origin || !StatementForwarder::canForward(Session))
    return std::nullopt;
  PendingStatement &Pending = *Session.m_Pending;
  const DatabaseName &Database = Session.m_Policy.m_Database;
  OwnerQuery Query{Pending.m_Target != StatementTarget::CaughtUp, {}};
  const InstanceDescription *Primary =
      Query.m_NeedsPrimary ? m_Tracker.primaryOf(Database, Now) : nullptr;
  if (Primary != nullptr)
    Query.m_PrimaryZone = Primary->m_Zone;
  StatementRoute Route =
      m_Owners.route(Database, Query, Pending.m_TriedOwners, Now);
  if (Route.m_Kind == StatementRoute::Kind::Local) {
    m_RunWithoutOwner += m_Board.m_OwnedGroups.contains(Database) ? 0 : 1;
    return std::nullopt;
  }
  if (Route.m_Kind == StatementRoute::Kind::Wait)
    return false;
  sendToOwner(Session, Route.m_Link, Route.m_Host, Now);
  return true;
}

void StatementExecutor::sendToOwner(CallerSession &Session, LinkId Link,
                                    const HostName &Host, Time Now) {
  m_Forwarder.send(Session, Link, Host, Now);
  Session.m_Pending->m_IsSent = true;
  if (isWrite(Session.m_Pending->m_Received.m_Statement))
    Session.m_HasWritten = true;
}

void StatementExecutor::returnToEntryHost(CallerSession &Session,
                                          const std::string &Reason) {
  StatementReply Reply;
  Reply.m_Error = SessionError::Busy;
  Reply.m_ErrorText = Reason;
  m_Completed.push_back(
      CompletedStatement{Session.m_Id, std::move(Reply), true});
}

void StatementExecutor::onForwardedReply(LinkId Link,
                                         const ForwardedStatementReply &Reply,
                                         Time Now) {
  std::optional<SessionId> Id = m_Forwarder.take(Link, Reply.m_Sequence);
  auto Found = Id ? m_Sessions.find(Id->m_Value) : m_Sessions.end();
  if (Found == m_Sessions.end() || !Found->second.m_Pending ||
      !Found->second.m_Pending->m_Forward ||
      Found->second.m_Pending->m_Forward->m_Sequence != Reply.m_Sequence)
    return;
  CallerSession &Session = Found->second;
  PendingStatement &Pending = *Session.m_Pending;
  const ForwardTarget Owner = *Pending.m_Forward;
  std::optional<StatementReply> Parsed = parseForwardedReply(Reply);
  if (!Parsed)
    return onForwardFailed(Session, Now);
  Pending.m_Forward.reset();
  bool CanTryOther = Reply.m_IsUnreachable && Parsed->m_Error &&
                     provesNotExecuted(*Parsed->m_Error) &&
                     !Session.m_TransactionOwner;
  if (CanTryOther) {
    if (Pending.m_Target != StatementTarget::CaughtUp)
      m_Owners.onPrimaryUnreachable(Session.m_Policy.m_Database, Owner.m_Host,
                                    Now);
    ++m_Retries;
    Pending.m_IsSent = false;
    Pending.m_TriedOwners.insert(Owner.m_Host);
    Pending.m_LastFailure = Owner.m_Host.m_Value + ": " + Parsed->m_ErrorText;
    return dispatchOrQueue(Session, Now);
  }
  Session.m_LastCommit = std::max(Session.m_LastCommit, Reply.m_LastCommit);
  if (Parsed->m_Error)
    Pending.m_LastFailure = "reported by owner " + Owner.m_Host.m_Value;
  if (Session.m_State != TransactionState::None) {
    ++Session.m_StatementsRun;
    Session.m_TransactionOwner.reset();
    if (Parsed->m_State == TransactionState::Open)
      Session.m_TransactionOwner = Owner;
  }
  finish(Session, std::move(*Parsed));
}

void StatementExecutor::onForwardFailed(CallerSession &Session, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  const ForwardTarget Owner = *Pending.m_Forward;
  Pending.m_Forward.reset();
  bool WasOpen = Session.m_TransactionOwner.has_value();
  Session.m_TransactionOwner.reset();
  SessionError Error = errorWithoutReply(Session);
  std::string Reason = "owner " + Owner.m_Host.m_Value + " was lost";
  bool CanRetry = Error != SessionError::OutcomeUnknown && !WasOpen &&
                  !endsTransaction(Pending.m_Received.m_Statement);
  if (!CanRetry)
    return fail(Session, Error, Reason);
  ++m_Retries;
  ++Pending.m_Attempts;
  Pending.m_IsSent = false;
  Pending.m_TriedOwners.insert(Owner.m_Host);
  Pending.m_LastFailure = Reason;
  dispatchOrQueue(Session, Now);
}

void StatementExecutor::onLinkLost(LinkId Link, Time Now) {
  m_Owners.onLinkLost(Link, Now);
  for (SessionId Id : m_Forwarder.takeLost(Link)) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found != m_Sessions.end() && Found->second.m_Pending &&
        Found->second.m_Pending->m_Forward &&
        Found->second.m_Pending->m_Forward->m_Link == Link)
      onForwardFailed(Found->second, Now);
  }
  for (auto &[Id, Session] : m_Sessions) {
    if (!Session.m_TransactionOwner ||
        Session.m_TransactionOwner->m_Link != Link)
      continue;
    Session.m_TransactionOwner.reset();
    Session.m_State = TransactionState::Failed;
  }
}

// Statements of one attempt.

bool StatementExecutor::synchroniseConnection(CallerSession &Session,
                                              InstanceConnection &Connection,
                                              Time Now) {
  bool HasOtherVariables =
      std::any_of(Connection.m_Variables.begin(), Connection.m_Variables.end(),
                  [&](const std::pair<const std::string, std::string> &Entry) {
                    return !Session.m_Variables.contains(Entry.first);
                  });
  if ((HasOtherVariables || Connection.m_NeedsReset ||
       Connection.m_Prepared.size() >= kMaxPreparedOnConnection) &&
      !Connection.m_InTransaction) {
    m_Pool.send(Connection, ConnectionState::Resetting,
                makeProxyStatement(StatementKind::Reset), std::nullopt, Now);
    return false;
  }
  for (const auto &[Name, Value] : Session.m_Variables) {
    auto Known = Connection.m_Variables.find(Name);
    if (Known != Connection.m_Variables.end() && Known->second == Value)
      continue;
    Statement Set = makeProxyStatement(StatementKind::SetVariable);
    Set.m_Name = Name;
    Set.m_Argument = Value;
    m_Pool.send(Connection, ConnectionState::SettingVariable, std::move(Set),
                std::nullopt, Now);
    return false;
  }
  const Statement &CallerStatement = Session.m_Pending->m_Received.m_Statement;
  if (CallerStatement.m_Kind != StatementKind::Execute)
    return true;
  const PreparedStatement &Prepared =
      Session.m_Prepared.at(CallerStatement.m_Name);
  if (Connection.m_Prepared.contains(Prepared))
    return true;
  Statement Prepare = makeProxyStatement(StatementKind::Prepare);
  // The name holds nothing of the caller: a template may contain separators.
  Prepare.m_Name = "p" + std::to_string(++Connection.m_PreparedNames);
  Prepare.m_Argument = Prepared.m_Template;
  Prepare.m_IsWrite = Prepared.m_IsWrite;
  m_Pool.send(Connection, ConnectionState::Preparing, std::move(Prepare),
              std::nullopt, Now);
  return false;
}

bool StatementExecutor::leaveClosedZone(CallerSession &Session,
                                        InstanceConnection &Connection,
                                        Time Now) {
  const InstanceDescription *Instance = m_Tracker.find(Connection.m_Instance);
  if (Instance == nullptr || !m_Evacuated.isClosed(Instance->m_Zone, Now))
    return false;
  InstanceName Name = Connection.m_Instance;
  m_Pool.close(Connection.m_Id);
  Session.m_PinnedConnection.reset();
  bool CanRetry = Session.m_StatementsRun == 0 &&
                  !endsTransaction(Session.m_Pending->m_Received.m_Statement);
  if (CanRetry) {
    retry(Session, Name, "is in an evacuated zone", SessionError::Busy, Now);
    return true;
  }
  ++m_EvacuatedTransactions;
  fail(Session, SessionError::Aborted,
       Name.m_Value + " is in an evacuated zone");
  return true;
}

void StatementExecutor::sendNext(CallerSession &Session,
                                 InstanceConnection &Connection, Time Now) {
  if (leaveClosedZone(Session, Connection, Now))
    return;
  if (!synchroniseConnection(Session, Connection, Now))
    return;
  InstanceRequirement Requirement = m_Selector.requirementOf(Session);
  bool IsTransaction = Session.m_State != TransactionState::None;
  bool NeedsBegin = IsTransaction ||
                    Requirement.m_Target == StatementTarget::ConfirmedPrimary;
  if (NeedsBegin && !Connection.m_InTransaction)
    return sendBegin(Session, Connection, Requirement, Now);
  sendStatement(Session, Connection, Requirement, Now);
}

void StatementExecutor::sendBegin(CallerSession &Session,
                                  InstanceConnection &Connection,
                                  const InstanceRequirement &Requirement,
                                  Time Now) {
  bool SendsCallerBegin = Session.m_State != TransactionState::None &&
                          (!Session.m_IsReadOnly ||
                           Requirement.m_Target == StatementTarget::CaughtUp);
  // An instance checks its leadership only in a transaction that may write.
  Connection.m_ChecksLeadership =
      !SendsCallerBegin ||
      Session.m_BeginStatement.m_Kind == StatementKind::Begin;
  m_Pool.send(Connection, ConnectionState::Beginning,
              SendsCallerBegin ? Session.m_BeginStatement
                               : makeProxyStatement(StatementKind::Begin),
              SendsCallerBegin && Session.m_IsReadOnly
                  ? Requirement.m_MinPosition
                  : std::nullopt,
              Now);
}

void StatementExecutor::sendStatement(CallerSession &Session,
                                      InstanceConnection &Connection,
                                      const InstanceRequirement &Requirement,
                                      Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  Statement CallerStatement = Pending.m_Received.m_Statement;
  if (CallerStatement.m_Kind == StatementKind::Execute) {
    CallerStatement.m_Name =
        Connection.m_Prepared.at(Session.m_Prepared.at(CallerStatement.m_Name));
    CallerStatement.m_Text.clear();
  }
  Pending.m_IsSent = true;
  if (isWrite(CallerStatement))
    Session.m_HasWritten = true;
  bool HasMinPosition = Requirement.m_Target == StatementTarget::CaughtUp &&
                        !Connection.m_InTransaction;
  if (Pending.m_IsAutocommit && !isWrite(CallerStatement))
    ++(HasMinPosition ? m_PositionReads : m_ConfirmedReads);
  m_Pool.send(Connection, ConnectionState::Executing,
              std::move(CallerStatement),
              HasMinPosition ? Requirement.m_MinPosition : std::nullopt, Now);
}

// Failure handling.

SessionError
StatementExecutor::errorWithoutReply(const CallerSession &Session) {
  // Closing a connection rolls back its uncommitted transaction, and a commit
  // without writes has no effect.
  return Session.m_Pending->m_IsSent && takesEffectWhenRun(Session)
             ? SessionError::OutcomeUnknown
             : SessionError::Aborted;
}

void StatementExecutor::onClosed(ConnectionId Id, Time Now) {
  const InstanceConnection *Connection = m_Pool.find(Id);
  if (Connection == nullptr)
    return;
  InstanceName Instance = Connection->m_Instance;
  bool WasIdle = Connection->m_State == ConnectionState::Idle;
  Time SentAt = Connection->m_SentAt;
  if (!WasIdle)
    m_Tracker.onUnreachable(Instance, SentAt, Now);
  dropConnection(Id, "closed the connection or stopped responding", Now);
}

void StatementExecutor::dropConnection(ConnectionId Id,
                                       const std::string &Reason, Time Now) {
  const InstanceConnection *Connection = m_Pool.find(Id);
  InstanceName Instance = Connection->m_Instance;
  std::optional<SessionId> Owner = Connection->m_Session;
  m_Pool.close(Id);
  auto Found = Owner ? m_Sessions.find(Owner->m_Value) : m_Sessions.end();
  if (Found == m_Sessions.end())
    return;
  CallerSession &Session = Found->second;
  bool WasPinned = Session.m_PinnedConnection == Id;
  if (WasPinned)
    Session.m_PinnedConnection.reset();
  if (!Session.m_Pending || Session.m_Pending->m_Connection != Id) {
    if (WasPinned)
      Session.m_State = TransactionState::Failed;
    return;
  }
  bool CanRetry = errorWithoutReply(Session) != SessionError::OutcomeUnknown &&
                  Session.m_StatementsRun == 0 &&
                  !endsTransaction(Session.m_Pending->m_Received.m_Statement);
  if (CanRetry)
    return retry(Session, Instance, Reason, SessionError::Aborted, Now);
  fail(Session, errorWithoutReply(Session),
       "the connection to " + Instance.m_Value + " is lost");
}

/// Rejections by a lagging replica, by an instance that is not the primary and
/// of a connection cost the instance almost nothing and do not count against
/// the retry budget.
static bool isCheapRejection(SessionError Error) {
  return Error == SessionError::Lagging || Error == SessionError::ReadOnly ||
         Error == SessionError::TooManyConnections;
}

bool StatementExecutor::canRetry(const CallerSession &Session,
                                 SessionError Error) const {
  return Session.m_Pending->m_Attempts + 1 < kMaxAttempts &&
         (isCheapRejection(Error) || m_RetryTokens >= 1);
}

void StatementExecutor::retry(CallerSession &Session,
                              const InstanceName &Failed,
                              const std::string &Reason, SessionError Error,
                              Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  ++m_Retries;
  ++Pending.m_Attempts;
  Pending.m_Connection.reset();
  Pending.m_IsSent = false;
  Pending.m_TriedInstances.insert(Failed);
  Pending.m_LastFailure = Failed.m_Value + " " + Reason;
  // Another host may reach an instance that this one has lost.
  if (Session.m_Origin && Pending.m_Target != StatementTarget::CaughtUp &&
      m_Tracker.isLost(Failed, Now))
    return returnToEntryHost(Session, Pending.m_LastFailure);
  if (Pending.m_Attempts >= kMaxAttempts ||
      (!isCheapRejection(Error) && !takeRetryToken()))
    return fail(Session,
                provesNotExecuted(Error) ? Error : SessionError::Aborted,
                Pending.m_LastFailure);
  if (Pending.m_Attempts > 1)
    Pending.m_RetryNotBefore = Now + kRetryBackoff * Pending.m_Attempts;
  dispatchOrQueue(Session, Now);
}

void StatementExecutor::fail(CallerSession &Session, SessionError Error,
                             const std::string &Text) {
  StatementReply Reply;
  Reply.m_Error = Error;
  Reply.m_ErrorText = Text;
  bool EndsTransaction =
      endsTransaction(Session.m_Pending->m_Received.m_Statement);
  Reply.m_State = Session.m_State == TransactionState::None || EndsTransaction
                      ? TransactionState::None
                      : TransactionState::Failed;
  finish(Session, std::move(Reply));
}

void StatementExecutor::finish(CallerSession &Session, StatementReply Reply) {
  Session.m_Pending->m_Connection.reset();
  m_Completed.push_back(CompletedStatement{Session.m_Id, std::move(Reply)});
}

StatementReply StatementExecutor::abandon(CallerSession &Session, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  StatementReply Reply;
  Reply.m_Error =
      Pending.m_IsSent ? errorWithoutReply(Session) : SessionError::Busy;
  Reply.m_ErrorText = Pending.m_IsWaitingForInstance
                          ? m_Selector.describeWaitReason(Session, Now)
                      : Pending.m_IsSent ? "no answer in time"
                                         : "no connection in time";
  Pending.m_IsWaitingForInstance = false;
  rollBackAtOwner(Session);
  std::optional<ConnectionId> Used = Pending.m_Connection;
  Pending.m_Connection.reset();
  if (Session.m_PinnedConnection == Used)
    Session.m_PinnedConnection.reset();
  bool EndsTransaction = endsTransaction(Pending.m_Received.m_Statement);
  Reply.m_State = Session.m_State == TransactionState::None || EndsTransaction
                      ? TransactionState::None
                      : TransactionState::Failed;
  InstanceConnection *Connection = Used ? m_Pool.find(*Used) : nullptr;
  if (Connection == nullptr)
    return Reply;
  if (Connection->m_State == ConnectionState::Connecting) {
    // The connection can be used by the next statement once its handshake is
    // complete.
    Connection->m_Session.reset();
    return Reply;
  }
  if (m_Tracker.healthOf(Connection->m_Instance).m_LastInputAt <
      Connection->m_SentAt)
    m_Tracker.onUnreachable(Connection->m_Instance, Connection->m_SentAt, Now);
  m_Pool.close(Connection->m_Id);
  return Reply;
}

void StatementExecutor::rollBackAtOwner(CallerSession &Session) {
  std::optional<ForwardTarget> Target =
      std::exchange(Session.m_TransactionOwner, std::nullopt);
  if (Session.m_Pending && Session.m_Pending->m_Forward) {
    Target = std::exchange(Session.m_Pending->m_Forward, std::nullopt);
    m_Forwarder.cancel(*Target);
  }
  if (Target)
    m_Forwarder.end(Session, *Target);
}

void StatementExecutor::rollBack(CallerSession &Session, Time Now) {
  rollBackAtOwner(Session);
  if (!Session.m_PinnedConnection)
    return;
  InstanceConnection *Connection = m_Pool.find(*Session.m_PinnedConnection);
  Session.m_PinnedConnection.reset();
  if (Connection != nullptr)
    releaseConnection(*Connection, Now);
}

// Timers.

void StatementExecutor::closeUnresponsive(Time Now) {
  std::vector<ConnectionId> Unresponsive;
  for (const auto &[Id, Connection] : m_Pool.connections()) {
    if (Connection.m_State == ConnectionState::Idle ||
        Connection.m_State == ConnectionState::Pinned)
      continue;
    auto Owner = Connection.m_Session
                     ? m_Sessions.find(Connection.m_Session->m_Value)
                     : m_Sessions.end();
    bool IsAwaited = Owner != m_Sessions.end() && Owner->second.m_Pending &&
                     Owner->second.m_Pending->m_Connection == Connection.m_Id;
    bool IsConnecting = Connection.m_State == ConnectionState::Connecting;
    Duration Waited = Now - Connection.m_SentAt;
    if (!IsAwaited && Waited >= kUnclaimedReplyTimeout) {
      Unresponsive.push_back(Connection.m_Id);
      continue;
    }
    bool HasInput = !Connection.m_HasForeignReply &&
                    m_Tracker.healthOf(Connection.m_Instance).m_LastInputAt >=
                        Connection.m_SentAt;
    if (Waited < (IsConnecting ? kConnectTimeout : kResponseTimeout) ||
        (HasInput && !IsConnecting))
      continue;
    // The reply to a write or commit may still arrive, so only its deadline
    // ends the wait.
    if (IsAwaited && Owner->second.m_Pending->m_IsSent &&
        errorWithoutReply(Owner->second) == SessionError::OutcomeUnknown)
      continue;
    Unresponsive.push_back(Connection.m_Id);
  }
  for (ConnectionId Id : Unresponsive) {
    const InstanceConnection *Connection = m_Pool.find(Id);
    if (Connection != nullptr && Connection->m_HasForeignReply)
      dropConnection(Id, "sent replies to other statements only", Now);
    else
      onClosed(Id, Now);
  }
}

void StatementExecutor::leaveClosedZones(Time Now) {
  if (m_Evacuated.empty())
    return;
  std::vector<ConnectionId> Closing;
  for (const auto &[Id, Connection] : m_Pool.connections()) {
    const InstanceDescription *Instance = m_Tracker.find(Connection.m_Instance);
    bool IsAtRest = Connection.m_State == ConnectionState::Idle ||
                    Connection.m_State == ConnectionState::Pinned;
    if (IsAtRest && Instance != nullptr &&
        m_Evacuated.isClosed(Instance->m_Zone, Now))
      Closing.push_back(Connection.m_Id);
  }
  for (ConnectionId Id : Closing) {
    std::optional<SessionId> User = m_Pool.find(Id)->m_Session;
    m_Pool.close(Id);
    auto Found = User ? m_Sessions.find(User->m_Value) : m_Sessions.end();
    if (Found == m_Sessions.end() || Found->second.m_PinnedConnection != Id)
      continue;
    Found->second.m_PinnedConnection.reset();
    Found->second.m_State = TransactionState::Failed;
    ++m_EvacuatedTransactions;
  }
}

void StatementExecutor::publishReports(Time Now) {
  std::map<InstanceName, Time> WaitingSince;
  for (const auto &[Id, Connection] : m_Pool.connections()) {
    if (Connection.m_State == ConnectionState::Idle ||
        Connection.m_State == ConnectionState::Pinned)
      continue;
    auto [Entry, IsNew] =
        WaitingSince.emplace(Connection.m_Instance, Connection.m_SentAt);
    Entry->second = std::min(Entry->second, Connection.m_SentAt);
  }
  m_Board.m_Reports.clear();
  for (auto &[Name, Health] : m_Tracker.instances()) {
    std::optional<Time> Since = Health.m_UnreachableSince;
    auto Waiting = WaitingSince.find(Name);
    Health.m_SilentSince.reset();
    if (Waiting != WaitingSince.end()) {
      Time SilentSince = std::max(Waiting->second, Health.m_LastInputAt);
      Health.m_SilentSince = SilentSince;
      Since = Since ? std::min(*Since, SilentSince) : SilentSince;
    }
    const InstanceDescription *Instance = m_Tracker.find(Name);
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
  if (Now - m_DefectsClearedAt >= kDefectMemory) {
    m_DefectsClearedAt = Now;
    m_EarlierDefectiveInstances = std::exchange(m_DefectiveInstances, {});
  }
  closeUnresponsive(Now);
  leaveClosedZones(Now);
  for (std::string &Report : m_Tracker.takePaceReports())
    m_Actions.push_back(ReportDecision{std::move(Report), false});
  if (Now - m_ExcessClosedAt >= kCloseExcessInterval) {
    m_ExcessClosedAt = Now;
    m_Pool.closeExcess(Now);
  }
  if (Now - m_ReportedAt >= kReportInterval) {
    m_ReportedAt = Now;
    publishReports(Now);
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
       static_cast<double>(m_AdmissionQueue.size())},
      {"almondpier_statements_forwarded_total",
       "Statements sent to the owner of their group",
       static_cast<double>(m_Forwarder.sentCount())},
      {"almondpier_statements_at_owners",
       "Forwarded statements without a reply",
       static_cast<double>(m_Forwarder.inFlight())},
      {"almondpier_statements_without_owner_total",
       "Attempts to run a statement here because no owner accepted it",
       static_cast<double>(m_RunWithoutOwner)},
      {"almondpier_connections_over_limit_total",
       "Connections that instances rejected as too many",
       static_cast<double>(m_ConnectionsOverLimit)},
      {"almondpier_overload_rejections_total",
       "Statements that instances rejected as overloaded",
       static_cast<double>(m_OverloadRejections)},
      {"almondpier_instance_invalid_replies_total",
       "Replies of instances that break the protocol",
       static_cast<double>(m_InvalidReplies)},
      {"almondpier_instance_unrequested_replies_total",
       "Replies of instances that no statement waited for",
       static_cast<double>(m_UnrequestedReplies)},
      {"almondpier_instance_repeated_replies_total",
       "Replies of instances that came once more",
       static_cast<double>(m_RepeatedReplies)},
      {"almondpier_rejections_confirmed_total",
       "Rejections that could be copies and were put to a confirmation",
       static_cast<double>(m_ConfirmedRejections)},
      {"almondpier_instances_ramping",
       "Instances whose load is being raised after a start or a return",
       static_cast<double>(m_Tracker.rampingCount())},
      {"almondpier_queue_rejections_total",
       "Statements rejected on arrival because of the queue before them",
       static_cast<double>(m_QueueRejections)},
      {"almondpier_evacuated_transactions_total",
       "Transactions rolled back because their zone was evacuated",
       static_cast<double>(m_EvacuatedTransactions)},
      {"almondpier_statement_retries_total", "Attempts repeated at an instance",
       static_cast<double>(m_Retries)},
      {"almondpier_position_reads_total", "Single reads sent with a position",
       static_cast<double>(m_PositionReads)},
      {"almondpier_proved_reads_total",
       "Single reads for which the primary proved that it leads",
       static_cast<double>(m_ConfirmedReads)}};
}

} // namespace almondpier
