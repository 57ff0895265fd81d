/// \file
/// How StatementExecutor handles the replies of instances.
#include "decision/session/StatementExecutor.h"

namespace almondpier {

static void markForeignReply(InstanceConnection &Connection) {
  // A statement of a caller may take longer than any of the proxy.
  if (Connection.m_State != ConnectionState::Executing)
    Connection.m_HasForeignReply = true;
}

/// Returns the error of the caller should a further attempt fail as well.
static SessionError errorOfRejectedBegin(const StatementReply &Reply) {
  return provesNotExecuted(*Reply.m_Error) ? *Reply.m_Error
                                           : SessionError::Busy;
}

/// Returns the same for a reply to the pending statement; nothing when the
/// statement succeeded or must not be tried again.
static std::optional<SessionError> errorToRetry(const CallerSession &Session,
                                                const StatementReply &Reply) {
  const PendingStatement &Pending = *Session.m_Pending;
  const Statement &CallerStatement = Pending.m_Received.m_Statement;
  bool IsFirst = Pending.m_IsAutocommit || Session.m_StatementsRun == 0;
  if (!Reply.m_Error || endsTransaction(CallerStatement) || !IsFirst)
    return std::nullopt;
  if (*Reply.m_Error == SessionError::UnknownStatement)
    return SessionError::Busy;
  bool IsFailedRead = *Reply.m_Error == SessionError::Failed &&
                      Pending.m_IsAutocommit && !isWrite(CallerStatement);
  if (!provesNotExecuted(*Reply.m_Error) && !IsFailedRead)
    return std::nullopt;
  return Reply.m_Error;
}

void StatementExecutor::onConnected(const InstanceConnected &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  m_Tracker.onInputReceived(Connection->m_Instance, Now);
  Connection->m_State = ConnectionState::Idle;
  Connection->m_IdleSince = Now;
  if (!Connection->m_Session)
    return;
  auto Found = m_Sessions.find(Connection->m_Session->m_Value);
  if (Found == m_Sessions.end() || !Found->second.m_Pending ||
      Found->second.m_Pending->m_Connection != Connection->m_Id)
    return m_Pool.release(*Connection, Now);
  sendNext(Found->second, *Connection, Now);
}

void StatementExecutor::onRefused(const InstanceRefused &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  InstanceName Instance = Connection->m_Instance;
  std::optional<SessionId> Waiting = Connection->m_Session;
  m_Pool.close(Event.m_Connection);
  // An instance that is full or overloaded can be reached.
  if (Event.m_Error == SessionError::TooManyConnections) {
    // The connections that are open can be used as before.
    ++m_ConnectionsOverLimit;
    m_Tracker.onInputReceived(Instance, Now);
    m_Pool.onOverLimit(Instance, Now);
  } else if (Event.m_Error == SessionError::Busy) {
    m_Tracker.onInputReceived(Instance, Now);
    m_Tracker.onOverloaded(Instance, Now);
  } else {
    m_Tracker.onUnreachable(Instance, Now, Now);
  }
  auto Found = Waiting ? m_Sessions.find(Waiting->m_Value) : m_Sessions.end();
  if (Found != m_Sessions.end() && Found->second.m_Pending &&
      Found->second.m_Pending->m_Connection == Event.m_Connection)
    retry(Found->second, Instance,
          "rejected the connection: " + std::string(nameOf(Event.m_Error)),
          Event.m_Error == SessionError::TooManyConnections
              ? SessionError::TooManyConnections
              : SessionError::Busy,
          Now);
}

void StatementExecutor::recordError(const InstanceConnection &Connection,
                                    SessionError Error, Time Now) {
  if (Error == SessionError::Busy) {
    ++m_OverloadRejections;
    m_Tracker.onOverloaded(Connection.m_Instance, Now);
  } else if (Error == SessionError::Failed) {
    m_Tracker.onStatementFailed(Connection.m_Instance, Now);
  } else if (Error == SessionError::ReadOnly) {
    m_Tracker.onNotPrimary(Connection.m_Instance, Now);
  } else if (Error == SessionError::Lagging) {
    m_Tracker.onLagging(Connection.m_Instance, Now);
  }
}

void StatementExecutor::recordReply(InstanceConnection &Connection,
                                    const StatementReply &Reply) {
  // Only the reply tells whether a transaction is open: an overloaded instance
  // rejects a COMMIT and leaves the transaction as it was.
  Connection.m_InTransaction = Reply.m_State != TransactionState::None;
  Connection.m_IsInSync =
      !Reply.m_Receipt.empty() ||
      (Reply.m_Error ? Connection.m_IsInSync
                     : Connection.m_State == ConnectionState::Beginning);
  if (Reply.m_Error == SessionError::UnknownStatement)
    Connection.m_Prepared.clear();
  if (Reply.m_Error)
    return;
  switch (Connection.m_State) {
  case ConnectionState::Resetting:
    Connection.m_Variables.clear();
    Connection.m_Prepared.clear();
    Connection.m_NeedsReset = false;
    break;
  case ConnectionState::SettingVariable:
    Connection.m_Variables[Connection.m_Sent.m_Name] =
        Connection.m_Sent.m_Argument;
    // It depends on the instance whether a rollback restores the old value.
    Connection.m_NeedsReset |= Connection.m_InTransaction;
    break;
  case ConnectionState::Preparing:
    Connection.m_Prepared[PreparedStatement{Connection.m_Sent.m_IsWrite,
                                            Connection.m_Sent.m_Argument}] =
        Connection.m_Sent.m_Name;
    break;
  default:
    break;
  }
}

void StatementExecutor::reportDefect(const InstanceConnection &Connection,
                                     ReplyDefect Defect) {
  switch (Defect) {
  case ReplyDefect::InvalidLine:
  case ReplyDefect::NoResult:
    ++m_InvalidReplies;
    break;
  case ReplyDefect::Repeated:
    ++m_RepeatedReplies;
    break;
  case ReplyDefect::Unrequested:
    ++m_UnrequestedReplies;
    break;
  }
  m_DefectiveInstances.insert(Connection.m_Instance);
  auto Found = Connection.m_Session
                   ? m_Sessions.find(Connection.m_Session->m_Value)
                   : m_Sessions.end();
  std::string Request =
      Found == m_Sessions.end() ? "none" : Found->second.m_LastRequestId;
  m_Actions.push_back(ReportDecision{
      "instance " + Connection.m_Instance.m_Value + " sent " +
          std::string(nameOf(Defect)) + " on connection " +
          std::to_string(Connection.m_Id.m_Value) + ", last request " + Request,
      true});
}

void StatementExecutor::onReplyInvalid(const InstanceReplyInvalid &Event,
                                       Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  m_Tracker.onInputReceived(Connection->m_Instance, Now);
  reportDefect(*Connection, Event.m_Defect);
  // Every reply has a result, so this is none. The next one may be.
  Connection->m_IsRetiring = true;
  if (Event.m_Defect == ReplyDefect::NoResult &&
      Connection->m_State != ConnectionState::Idle)
    return markForeignReply(*Connection);
  // Nothing shows that a connection can be opened to this instance.
  if (Connection->m_State == ConnectionState::Connecting)
    return onClosed(Event.m_Connection, Now);
  dropConnection(Event.m_Connection,
                 "sent " + std::string(nameOf(Event.m_Defect)), Now);
}

void StatementExecutor::onReplied(const InstanceReplied &Event, Time Now) {
  InstanceConnection *Connection = m_Pool.find(Event.m_Connection);
  if (Connection == nullptr)
    return;
  m_Tracker.onInputReceived(Connection->m_Instance, Now);
  const StatementReply &Reply = Event.m_Reply;
  if (Connection->m_State == ConnectionState::Confirming)
    return onConfirmationReplied(*Connection, Reply, Now);
  ExpectedReply Expected{Connection->m_State, Connection->m_Sent.m_Kind,
                         Connection->m_InTransaction, Connection->m_IsInSync};
  ReplyVerdict Verdict = checkReply(Expected, Connection->m_Replies, Reply);
  Connection->m_Replies.add(Reply);
  switch (Verdict) {
  case ReplyVerdict::Own:
    return onOwnReply(*Connection, Reply, Now);
  case ReplyVerdict::Repeated:
    return reportDefect(*Connection, ReplyDefect::Repeated);
  case ReplyVerdict::Foreign:
    return onForeignReply(*Connection, Reply, Now);
  case ReplyVerdict::Ambiguous:
    return confirmRejection(*Connection, Reply, Now);
  }
}

void StatementExecutor::onForeignReply(InstanceConnection &Connection,
                                       const StatementReply &Reply, Time Now) {
  reportDefect(Connection, ReplyDefect::Unrequested);
  markForeignReply(Connection);
  // Copies of replies without receipt cannot be recognised and are harmless:
  // they answer statements that the proxy issued itself.
  bool HasContent =
      Reply.m_Error || !Reply.m_Receipt.empty() || !Reply.m_Rows.empty();
  if (!HasContent)
    return;
  Connection.m_IsRetiring = true;
  if (Connection.m_State == ConnectionState::Idle ||
      Connection.m_State == ConnectionState::Pinned)
    dropConnection(Connection.m_Id,
                   "sent " + std::string(nameOf(ReplyDefect::Unrequested)),
                   Now);
}

void StatementExecutor::confirmRejection(InstanceConnection &Connection,
                                         const StatementReply &Reply,
                                         Time Now) {
  if (!Connection.m_Session)
    return m_Pool.close(Connection.m_Id);
  // Copies of several replies together could look like the confirmation.
  if (m_DefectiveInstances.contains(Connection.m_Instance) ||
      m_EarlierDefectiveInstances.contains(Connection.m_Instance))
    return dropConnection(Connection.m_Id, "may have sent a rejection twice",
                          Now);
  ++m_ConfirmedRejections;
  UnconfirmedRejection Rejection{Reply,
                                 Connection.m_State,
                                 Connection.m_Sent,
                                 Connection.m_SentAt,
                                 Connection.m_InTransaction,
                                 {}};
  if (Connection.m_InTransaction)
    Rejection.m_Left.push_back(StatementKind::Rollback);
  Rejection.m_Left.push_back(StatementKind::BeginReadOnly);
  Rejection.m_Left.push_back(StatementKind::Rollback);
  Connection.m_Unconfirmed = std::move(Rejection);
  sendConfirmation(Connection, Now);
  retryUnconfirmed(Connection, Now);
}

void StatementExecutor::retryUnconfirmed(InstanceConnection &Connection,
                                         Time Now) {
  auto Found = m_Sessions.find(Connection.m_Session->m_Value);
  bool IsAwaited = Found != m_Sessions.end() && Found->second.m_Pending &&
                   Found->second.m_Pending->m_Connection == Connection.m_Id;
  if (!IsAwaited || takesEffectWhenRun(Found->second))
    return;
  CallerSession &Session = Found->second;
  const UnconfirmedRejection &Rejection = *Connection.m_Unconfirmed;
  std::optional<SessionError> Error =
      Rejection.m_State == ConnectionState::Beginning
          ? errorOfRejectedBegin(Rejection.m_Reply)
          : errorToRetry(Session, Rejection.m_Reply);
  // Without another attempt the caller is told the confirmed outcome.
  if (!Error || !canRetry(Session, *Error))
    return;
  Connection.m_Session.reset();
  Session.m_PinnedConnection.reset();
  retry(Session, Connection.m_Instance,
        "answered " + std::string(nameOf(*Error)), *Error, Now);
}

void StatementExecutor::sendConfirmation(InstanceConnection &Connection,
                                         Time Now) {
  std::deque<StatementKind> &Left = Connection.m_Unconfirmed->m_Left;
  StatementKind Kind = Left.front();
  Left.pop_front();
  m_Pool.send(Connection, ConnectionState::Confirming, makeProxyStatement(Kind),
              std::nullopt, Now);
}

void StatementExecutor::onConfirmationReplied(InstanceConnection &Connection,
                                              const StatementReply &Reply,
                                              Time Now) {
  bool IsBegin = Connection.m_Sent.m_Kind == StatementKind::BeginReadOnly;
  ExpectedReply Expected{IsBegin ? ConnectionState::Beginning
                                 : ConnectionState::RollingBack,
                         Connection.m_Sent.m_Kind};
  ReplyVerdict Verdict = checkReply(Expected, Connection.m_Replies, Reply);
  if (Verdict == ReplyVerdict::Repeated)
    return reportDefect(Connection, ReplyDefect::Repeated);
  // Either the true reply to the statement, or that to a confirmation.
  if (Reply.m_Error)
    return dropConnection(Connection.m_Id, "sent a rejection twice", Now);
  if (Verdict != ReplyVerdict::Own) {
    if (!takeTrueReply(Connection, Reply, Now))
      onForeignReply(Connection, Reply, Now);
    return;
  }
  if (!Connection.m_Unconfirmed->m_Left.empty())
    return sendConfirmation(Connection, Now);
  onRejectionConfirmed(Connection, Now);
}

void StatementExecutor::onRejectionConfirmed(InstanceConnection &Connection,
                                             Time Now) {
  UnconfirmedRejection Rejection =
      *std::exchange(Connection.m_Unconfirmed, std::nullopt);
  Connection.m_State = Rejection.m_State;
  Connection.m_Sent = std::move(Rejection.m_Statement);
  Connection.m_SentAt = Rejection.m_SentAt;
  Connection.m_IsInSync = true;
  // The confirmation has rolled back a transaction that was open.
  Rejection.m_Reply.m_State = TransactionState::None;
  onOwnReply(Connection, Rejection.m_Reply, Now);
}

bool StatementExecutor::takeTrueReply(InstanceConnection &Connection,
                                      const StatementReply &Reply, Time Now) {
  const UnconfirmedRejection &Rejection = *Connection.m_Unconfirmed;
  ExpectedReply Answered{Rejection.m_State, Rejection.m_Statement.m_Kind,
                         Rejection.m_InTransaction};
  if (Rejection.m_State != ConnectionState::Executing ||
      Reply.m_Receipt.empty() ||
      checkReply(Answered, Connection.m_Replies, Reply) != ReplyVerdict::Own)
    return false;
  reportDefect(Connection, ReplyDefect::Repeated);
  // The replies to the confirmation are still to come.
  Connection.m_IsRetiring = true;
  auto Found = Connection.m_Session
                   ? m_Sessions.find(Connection.m_Session->m_Value)
                   : m_Sessions.end();
  bool IsSingle = Found != m_Sessions.end() &&
                  Found->second.m_State == TransactionState::None;
  // The confirmation rolls the caller's transaction back. That around a single
  // read is the proxy's.
  bool IsRolledBack = Rejection.m_InTransaction && !IsSingle &&
                      Rejection.m_Statement.m_Kind != StatementKind::Commit;
  if (IsRolledBack) {
    dropConnection(Connection.m_Id, "sent a rejection twice", Now);
    return true;
  }
  Connection.m_State = Rejection.m_State;
  Connection.m_Sent = Rejection.m_Statement;
  Connection.m_SentAt = Rejection.m_SentAt;
  Connection.m_Unconfirmed.reset();
  onOwnReply(Connection, Reply, Now);
  return true;
}

void StatementExecutor::onOwnReply(InstanceConnection &Connection,
                                   const StatementReply &Reply, Time Now) {
  bool IsRefused = Reply.m_Error.has_value();
  if (!IsRefused && Connection.m_State == ConnectionState::Executing)
    m_Tracker.onStatementSucceeded(Connection.m_Instance);
  if (IsRefused)
    recordError(Connection, *Reply.m_Error, Now);
  recordReply(Connection, Reply);
  auto Found = Connection.m_Session
                   ? m_Sessions.find(Connection.m_Session->m_Value)
                   : m_Sessions.end();
  bool IsAwaited = Found != m_Sessions.end() && Found->second.m_Pending &&
                   Found->second.m_Pending->m_Connection == Connection.m_Id;
  ConnectionState State = Connection.m_State;
  if (State == ConnectionState::RollingBack) {
    if (IsRefused || Connection.m_InTransaction)
      return m_Pool.close(Connection.m_Id);
    return m_Pool.release(Connection, Now);
  }
  if (!IsAwaited)
    return onUnclaimedReply(Connection, IsRefused, Now);
  CallerSession &Session = Found->second;
  if (State == ConnectionState::Executing) {
    m_Tracker.recordLatency(Connection.m_Instance, Now - Connection.m_SentAt,
                            Now);
    return onStatementReplied(Session, Connection, Reply, Now);
  }
  if (State == ConnectionState::Beginning)
    return onBeginReplied(Session, Connection, Reply, Now);
  if (!IsRefused)
    return sendNext(Session, Connection, Now);
  onPreparationRejected(Session, Connection, Reply, Now);
}

void StatementExecutor::onPreparationRejected(CallerSession &Session,
                                              InstanceConnection &Connection,
                                              const StatementReply &Reply,
                                              Time Now) {
  InstanceName Instance = Connection.m_Instance;
  std::string Reason =
      "rejected a statement that prepares the connection: " + Reply.m_ErrorText;
  // The state of the connection is unknown.
  if (Session.m_StatementsRun > 0)
    return dropConnection(Connection.m_Id, Reason, Now);
  m_Pool.close(Connection.m_Id);
  Session.m_PinnedConnection.reset();
  // A value or a template that one instance cannot take is taken by none.
  if (Reply.m_Error == SessionError::Malformed ||
      Reply.m_Error == SessionError::TooLarge)
    return fail(Session, *Reply.m_Error, Reply.m_ErrorText);
  retry(Session, Instance, Reason, SessionError::Busy, Now);
}

void StatementExecutor::onUnclaimedReply(InstanceConnection &Connection,
                                         bool IsRefused, Time Now) {
  // The state of the connection is unknown after a failed preparatory
  // statement.
  bool IsPreparatory = Connection.m_State == ConnectionState::Resetting ||
                       Connection.m_State == ConnectionState::SettingVariable ||
                       Connection.m_State == ConnectionState::Preparing;
  if (IsPreparatory && IsRefused)
    return m_Pool.close(Connection.m_Id);
  releaseConnection(Connection, Now);
}

void StatementExecutor::releaseConnection(InstanceConnection &Connection,
                                          Time Now) {
  Connection.m_Session.reset();
  if (!Connection.m_InTransaction)
    return m_Pool.release(Connection, Now);
  m_Pool.send(Connection, ConnectionState::RollingBack,
              makeProxyStatement(StatementKind::Rollback), std::nullopt, Now);
}

void StatementExecutor::onBeginReplied(CallerSession &Session,
                                       InstanceConnection &Connection,
                                       const StatementReply &Reply, Time Now) {
  // A copy of an earlier reply to BEGIN would confirm an old position. The
  // statement that follows confirms the position with its receipt.
  if (!Reply.m_Error) {
    if (Session.m_State != TransactionState::None)
      Session.m_PinnedConnection = Connection.m_Id;
    return sendStatement(Session, Connection, m_Selector.requirementOf(Session),
                         Now);
  }
  InstanceName Instance = Connection.m_Instance;
  std::string Reason = "rejected BEGIN: " + std::string(nameOf(*Reply.m_Error));
  releaseConnection(Connection, Now);
  retry(Session, Instance, Reason, errorOfRejectedBegin(Reply), Now);
}

void StatementExecutor::onStatementReplied(CallerSession &Session,
                                           InstanceConnection &Connection,
                                           StatementReply Reply, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  const Statement &CallerStatement = Pending.m_Received.m_Statement;
  bool IsTransaction = Session.m_State != TransactionState::None;
  const InstanceDescription *Instance = m_Tracker.find(Connection.m_Instance);
  InstanceName Name = Connection.m_Instance;
  if (!Reply.m_Error) {
    bool ConfirmsLeadership =
        Connection.m_ChecksLeadership ||
        (Pending.m_IsAutocommit && isWrite(CallerStatement));
    bool WroteNothing =
        endsTransaction(CallerStatement) && !Session.m_HasWritten;
    if (ConfirmsLeadership && !WroteNothing && Instance != nullptr &&
        CallerStatement.m_Kind != StatementKind::Rollback)
      m_Tracker.onLeadershipConfirmed(*Instance, Reply.m_Position,
                                      Connection.m_SentAt, Now);
    bool IsCommit =
        CallerStatement.m_Kind == StatementKind::Commit && Session.m_HasWritten;
    if ((IsCommit || (Pending.m_IsAutocommit && isWrite(CallerStatement))) &&
        Reply.m_Position)
      Session.m_LastCommit = std::max(Session.m_LastCommit, *Reply.m_Position);
  }
  // The statement ran and only its result does not fit.
  if (Reply.m_Error == SessionError::TooLarge && takesEffectWhenRun(Session))
    Reply.m_Error = SessionError::OutcomeUnknown;
  if (std::optional<SessionError> Error = errorToRetry(Session, Reply)) {
    Session.m_PinnedConnection.reset();
    releaseConnection(Connection, Now);
    return retry(Session, Name, "answered " + std::string(nameOf(*Error)),
                 *Error, Now);
  }
  if (!IsTransaction) {
    releaseConnection(Connection, Now);
    Reply.m_State = TransactionState::None;
    return finish(Session, std::move(Reply));
  }
  ++Session.m_StatementsRun;
  if (endsTransaction(CallerStatement) ||
      Reply.m_State == TransactionState::None) {
    Session.m_PinnedConnection.reset();
    Reply.m_State = TransactionState::None;
    releaseConnection(Connection, Now);
    // The instance ended the transaction on its own; report it to the caller as
    // failed.
    if (!endsTransaction(CallerStatement))
      Reply.m_State = TransactionState::Failed;
    return finish(Session, std::move(Reply));
  }
  Connection.m_State = ConnectionState::Pinned;
  finish(Session, std::move(Reply));
}

} // namespace almondpier
