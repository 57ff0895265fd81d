#include "decision/session/SessionController.h"

#include <algorithm>
#include <utility>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Maximum number of statements that a caller may send before their replies.
constexpr size_t kMaxQueuedStatements = 64;
/// Maximum number of variables, and of prepared statements, per session; limits
/// the memory of a session.
constexpr size_t kMaxNamesPerSession = 256;
/// Maximum size of the variables and prepared statements of a session, which
/// travel with its statements to the owner of a group.
constexpr size_t kMaxStateBytesPerSession = 256U << 10U;
/// Maximum size of a statement that the proxy extends on its way, by the
/// minimum position of a read or by the name of a prepared statement. With the
/// extension it fits the largest message of an instance.
constexpr size_t kMaxExtendedBytes = (1U << 20U) - 128;
constexpr Duration kTimeoutCheckInterval = milliseconds(50);
/// While the host shuts down, a session without a statement or reply for this
/// time is closed. A caller that goes on at once is told with its next reply.
constexpr Duration kIdleBeforeClose = milliseconds(100);

/// Returns whether a new variable or prepared statement, which replaces
/// Replaced bytes, fits into the session.
bool fitsState(const CallerSession &Session, const Statement &Added,
               size_t Replaced) {
  size_t Bytes = Added.m_Name.size() + Added.m_Argument.size();
  for (const auto &[Name, Value] : Session.m_Variables)
    Bytes += Name.size() + Value.size();
  for (const auto &[Name, Prepared] : Session.m_Prepared)
    Bytes += Name.size() + Prepared.m_Template.size();
  return Bytes - Replaced <= kMaxStateBytesPerSession;
}

/// Returns whether the proxy may have to extend the statement.
bool isExtended(const Statement &Statement) {
  return Statement.m_Kind == StatementKind::Read ||
         Statement.m_Kind == StatementKind::Execute;
}

Duration timeoutOf(const CallerSession &Session) {
  return milliseconds(Session.m_Policy.m_StatementTimeoutMs);
}

CallerRequestId tokenRequestOf(const CallerSession &Session) {
  return CallerRequestId{Session.m_Id.m_Value};
}

/// Limits the wait for a rate token to a fraction of the target latency, so
/// that a caller above its rate is rejected early enough to retry in time.
Duration tokenWaitLimit(const CallerSession &Session) {
  constexpr uint32_t kTargetLatencyDivisor = 5;
  return Session.m_Policy.m_TargetLatencyMs == 0
             ? kMaxTokenWait
             : std::min<Duration>(
                   kMaxTokenWait,
                   milliseconds(Session.m_Policy.m_TargetLatencyMs /
                                kTargetLatencyDivisor));
}

/// Start of the key's digest, in hex: tells two keys apart in the log and does
/// not reveal them.
std::string describeKey(const std::optional<KeyDigest> &Key) {
  constexpr size_t kLoggedBytes = 4;
  if (!Key)
    return "none";
  return "digest " + toHex(std::string_view(
                         reinterpret_cast<const char *>(Key->m_Bytes.data()),
                         kLoggedBytes));
}

} // namespace

SessionController::SessionController(
    const SessionLimits &Limits, ProxyBlackboard &Board,
    TokenController &Tokens, SessionActions &Actions, GroupOwners &Owners,
    StatementForwarder &Forwarder, LinkTable &Links, ProxyActions &LinkActions)
    : m_Limits(Limits), m_Board(Board), m_Tokens(Tokens), m_Actions(Actions),
      m_Executor(Board, m_Sessions, Actions, Owners, Forwarder,
                 Limits.m_EvacuationGrace),
      m_Shutdown(Limits.m_ShutdownGrace),
      m_Served(m_Sessions, m_Executor, Owners, m_Shutdown, Links, LinkActions) {
}

bool SessionController::isFresh(Time Now) const {
  return m_Board.m_FreshAt &&
         Now - *m_Board.m_FreshAt <= m_Limits.m_FreshnessLimit &&
         m_Board.m_Configuration.policy().m_Version > 0;
}

// Opening and ending of sessions.

void SessionController::open(const SessionOpened &Event, Time Now) {
  CallerSession Opened;
  Opened.m_Id = Event.m_Session;
  Opened.m_Route = Event.m_Route;
  Opened.m_Key = Event.m_Key;
  Opened.m_LastActivityAt = Now;
  std::optional<SessionError> Refusal = admit(Opened, Now);
  bool IsFull = m_Sessions.size() >= m_Limits.m_MaxSessions;
  bool IsTooLate = m_Shutdown.isOutOfRotation(Now) ||
                   (!Refusal && !m_Shutdown.canFinish(Now + timeoutOf(Opened)));
  if (IsFull || IsTooLate)
    Refusal = SessionError::Busy;
  if (Refusal) {
    ++m_SessionsRefused;
    emit(ReportDecision{
        "session refused: " + std::string(nameOf(*Refusal)) + ", route " +
            Event.m_Route.m_Value + ", key " + describeKey(Event.m_Key) +
            ", policy version " +
            std::to_string(m_Board.m_Configuration.policy().m_Version),
        true});
    emit(RefuseSession{Event.m_Session, *Refusal});
    return;
  }
  ++m_SessionsOpened;
  m_Sessions.emplace(Event.m_Session.m_Value, std::move(Opened));
  emit(AcceptSession{Event.m_Session});
}

std::optional<SessionError>
SessionController::checkAdmission(const CallerSession &Session,
                                  Time Now) const {
  if (!isFresh(Now))
    return SessionError::Busy;
  const Configuration &InForce = m_Board.m_Configuration;
  auto Route = InForce.policy().m_Routes.find(Session.m_Route);
  if (Route == InForce.policy().m_Routes.end())
    return SessionError::UnknownDatabase;
  const std::pair<const KeyId, KeyRecord> *Key =
      Session.m_Key ? InForce.findKey(*Session.m_Key) : nullptr;
  if (Key == nullptr)
    return Route->second.m_AllowsAnonymous
               ? std::nullopt
               : std::optional<SessionError>(SessionError::UnknownKey);
  // A key that was moved to another organisation requires a new session.
  if (!Session.m_Organisation.empty() &&
      Key->second.m_Organisation != Session.m_Organisation)
    return SessionError::UnknownKey;
  return std::nullopt;
}

std::optional<SessionError>
SessionController::checkOpenTransaction(const CallerSession &Session,
                                        Time Now) const {
  if (!isFresh(Now))
    return SessionError::Busy;
  // A change or removal of the route takes effect with the next transaction. A
  // key that is withdrawn or moved ends this one, whatever became of the route.
  if (!Session.m_IsAdmittedByKey)
    return std::nullopt;
  const std::pair<const KeyId, KeyRecord> *Key =
      m_Board.m_Configuration.findKey(*Session.m_Key);
  if (Key == nullptr || Key->second.m_Organisation != Session.m_Organisation)
    return SessionError::UnknownKey;
  return std::nullopt;
}

std::optional<SessionError> SessionController::admit(CallerSession &Session,
                                                     Time Now) {
  if (std::optional<SessionError> Refusal = checkAdmission(Session, Now))
    return Refusal;
  const Configuration &InForce = m_Board.m_Configuration;
  Session.m_Policy = InForce.policy().m_Routes.at(Session.m_Route);
  const std::pair<const KeyId, KeyRecord> *Key =
      Session.m_Key ? InForce.findKey(*Session.m_Key) : nullptr;
  Session.m_IsAdmittedByKey = Key != nullptr;
  // Instances receive the organisation of each connection; "-" denotes a caller
  // without a key.
  Session.m_Organisation =
      Key != nullptr ? Key->second.m_Organisation : OrganisationName{"-"};
  return std::nullopt;
}

void SessionController::end(SessionId Id, Time Now) {
  auto Found = m_Sessions.find(Id.m_Value);
  if (Found == m_Sessions.end())
    return;
  CallerSession &Session = Found->second;
  if (Session.m_Pending && Session.m_Pending->m_IsWaitingForToken)
    m_Tokens.removeWaiter(Session.m_Organisation, tokenRequestOf(Session));
  // A statement in flight needs no action: its connection is rolled back or
  // released when the reply arrives.
  if (!Session.m_Pending || !Session.m_Pending->m_Connection)
    m_Executor.rollBack(Session, Now);
  m_Sessions.erase(Found);
}

// Statements.

void SessionController::receive(const StatementReceived &Event, Time Now) {
  auto Found = m_Sessions.find(Event.m_Session.m_Value);
  if (Found == m_Sessions.end())
    return;
  CallerSession &Session = Found->second;
  Session.m_LastActivityAt = Now;
  if (Session.m_Queue.size() >= kMaxQueuedStatements) {
    emit(CloseSession{Session.m_Id});
    return end(Session.m_Id, Now);
  }
  Session.m_Queue.push_back(ReceivedStatement{Event.m_Statement, Now});
  startNext(Session, Now);
}

void SessionController::startNext(CallerSession &Session, Time Now) {
  while (!Session.m_Pending && !Session.m_Queue.empty()) {
    ReceivedStatement Next = std::move(Session.m_Queue.front());
    Session.m_Queue.pop_front();
    start(Session, std::move(Next), Now);
  }
}

void SessionController::start(CallerSession &Session,
                              ReceivedStatement Received, Time Now) {
  Session.m_LastRequestId = Received.m_Statement.m_RequestId;
  if (Session.m_State == TransactionState::Failed)
    return startInFailedTransaction(Session, Received, Now);
  switch (Received.m_Statement.m_Kind) {
  case StatementKind::Begin:
  case StatementKind::BeginReadOnly:
    return startBegin(Session, Received, Now);
  case StatementKind::Commit:
  case StatementKind::Rollback:
    return startTransactionEnd(Session, Received, Now);
  case StatementKind::Read:
  case StatementKind::Write:
  case StatementKind::Execute:
    return startDataStatement(Session, std::move(Received), Now);
  case StatementKind::SetVariable:
    return startSetVariable(Session, Received, Now);
  case StatementKind::Prepare:
    return startPrepare(Session, Received.m_Statement, Now);
  case StatementKind::Deallocate:
    return startDeallocate(Session, Received.m_Statement, Now);
  case StatementKind::Reset:
  case StatementKind::Invalid:
    break;
  }
  replyError(Session, SessionError::Malformed, "unknown statement", Now);
}

void SessionController::startInFailedTransaction(
    CallerSession &Session, const ReceivedStatement &Received, Time Now) {
  StatementKind Kind = Received.m_Statement.m_Kind;
  if (Kind != StatementKind::Commit && Kind != StatementKind::Rollback)
    return replyError(Session, SessionError::Malformed,
                      "the transaction has failed; only COMMIT or "
                      "ROLLBACK is accepted",
                      Now);
  m_Executor.rollBack(Session, Now);
  resetTransaction(Session);
  if (Kind == StatementKind::Rollback)
    return replyLocally(Session, Now);
  replyError(Session, SessionError::Aborted,
             "the transaction had failed and was rolled back", Now);
}

void SessionController::startBegin(CallerSession &Session,
                                   const ReceivedStatement &Received,
                                   Time Now) {
  if (Session.m_State != TransactionState::None)
    return replyError(Session, SessionError::Malformed,
                      "a transaction is already open", Now);
  setPending(Session, Received, Now);
  if (std::optional<SessionError> Refusal = admit(Session, Now)) {
    Session.m_Pending.reset();
    return replyError(Session, *Refusal, "not admitted", Now);
  }
  if (!m_Shutdown.canFinish(Session.m_Pending->m_Deadline))
    return refuseForShutdown(Session, Now);
  acquireToken(Session, Now);
}

void SessionController::startTransactionEnd(CallerSession &Session,
                                            const ReceivedStatement &Received,
                                            Time Now) {
  bool IsCommit = Received.m_Statement.m_Kind == StatementKind::Commit;
  if (Session.m_State == TransactionState::None)
    return IsCommit ? replyError(Session, SessionError::Malformed,
                                 "no transaction is open", Now)
                    : replyLocally(Session, Now);
  // Before its first statement a transaction is not open at any instance.
  if (!IsCommit && !Session.m_PinnedConnection) {
    m_Executor.rollBack(Session, Now);
    resetTransaction(Session);
    return replyLocally(Session, Now);
  }
  startDataStatement(Session, Received, Now);
}

void SessionController::startDataStatement(CallerSession &Session,
                                           ReceivedStatement Received,
                                           Time Now) {
  Statement &DataStatement = Received.m_Statement;
  if (DataStatement.m_Kind == StatementKind::Execute) {
    auto Prepared = Session.m_Prepared.find(DataStatement.m_Name);
    if (Prepared == Session.m_Prepared.end())
      return replyError(Session, SessionError::UnknownStatement,
                        DataStatement.m_Name, Now);
    DataStatement.m_IsWrite = Prepared->second.m_IsWrite;
  }
  if (isExtended(DataStatement) &&
      DataStatement.m_RequestId.size() + DataStatement.m_Text.size() >
          kMaxExtendedBytes) {
    abortTransaction(Session, Now);
    return replyError(Session, SessionError::TooLarge,
                      "the statement is too large", Now);
  }
  bool IsAutocommit = Session.m_State == TransactionState::None;
  setPending(Session, std::move(Received), Now);
  std::optional<SessionError> Refusal =
      IsAutocommit ? admit(Session, Now) : checkOpenTransaction(Session, Now);
  if (Refusal) {
    Session.m_Pending.reset();
    abortTransaction(Session, Now);
    return replyError(Session, *Refusal, "not admitted", Now);
  }
  Time Deadline = Session.m_Pending->m_Deadline;
  bool IsInTime = IsAutocommit
                      ? m_Shutdown.canFinish(Deadline)
                      : m_Shutdown.canContinueTransaction(Deadline, Now);
  if (!IsInTime)
    return refuseForShutdown(Session, Now);
  Session.m_Pending->m_IsAutocommit = IsAutocommit;
  Session.m_Pending->m_Target =
      targetOf(Session, Session.m_Pending->m_Received.m_Statement);
  if (!IsAutocommit)
    return m_Executor.submit(Session, Now);
  Session.m_HasWritten = false;
  Session.m_StatementsRun = 0;
  acquireToken(Session, Now);
}

void SessionController::refuseForShutdown(CallerSession &Session, Time Now) {
  Statement Refused = std::move(Session.m_Pending->m_Received.m_Statement);
  Session.m_Pending.reset();
  ++m_ShutdownRefusals;
  const std::string Reason =
      "the host shuts down before the deadline of the statement";
  if (Session.m_State == TransactionState::None)
    return replyError(Session, SessionError::Busy, Reason, Now);
  abortTransaction(Session, Now);
  if (endsTransaction(Refused))
    resetTransaction(Session);
  if (Refused.m_Kind == StatementKind::Rollback)
    return replyLocally(Session, Now);
  replyError(Session, SessionError::Aborted, Reason, Now);
}

void SessionController::setPending(CallerSession &Session,
                                   ReceivedStatement Received, Time Now) {
  PendingStatement Started;
  Started.m_Deadline =
      std::max(Received.m_ReceivedAt, Now) + timeoutOf(Session);
  Started.m_Received = std::move(Received);
  Session.m_Pending = std::move(Started);
}

StatementTarget SessionController::targetOf(const CallerSession &Session,
                                            const Statement &Statement) const {
  bool MayWrite = Session.m_State == TransactionState::None
                      ? isWrite(Statement)
                      : !Session.m_IsReadOnly;
  if (MayWrite)
    return StatementTarget::Primary;
  return Session.m_Policy.m_Guarantee == ReadGuarantee::Primary
             ? StatementTarget::ConfirmedPrimary
             : StatementTarget::CaughtUp;
}

void SessionController::startSetVariable(CallerSession &Session,
                                         const ReceivedStatement &Received,
                                         Time Now) {
  const Statement &Set = Received.m_Statement;
  auto Known = Session.m_Variables.find(Set.m_Name);
  bool IsNew = Known == Session.m_Variables.end();
  if (IsNew && Session.m_Variables.size() >= kMaxNamesPerSession)
    return replyError(Session, SessionError::TooLarge,
                      "the session has too many variables", Now);
  size_t Replaced = IsNew ? 0 : Set.m_Name.size() + Known->second.size();
  if (!fitsState(Session, Set, Replaced))
    return replyError(Session, SessionError::TooLarge,
                      "the variables and prepared statements of the session "
                      "are too large",
                      Now);
  // The variable is set on a connection before the next statement of the
  // session that runs on it.
  Session.m_Variables[Set.m_Name] = Set.m_Argument;
  replyLocally(Session, Now);
}

void SessionController::startPrepare(CallerSession &Session,
                                     const Statement &Received, Time Now) {
  auto Known = Session.m_Prepared.find(Received.m_Name);
  bool IsNew = Known == Session.m_Prepared.end();
  if (IsNew && Session.m_Prepared.size() >= kMaxNamesPerSession)
    return replyError(Session, SessionError::TooLarge,
                      "the session has too many prepared statements", Now);
  size_t Replaced =
      IsNew ? 0 : Received.m_Name.size() + Known->second.m_Template.size();
  if (!fitsState(Session, Received, Replaced))
    return replyError(Session, SessionError::TooLarge,
                      "the variables and prepared statements of the session "
                      "are too large",
                      Now);
  Session.m_Prepared[Received.m_Name] =
      PreparedStatement{Received.m_IsWrite, Received.m_Argument};
  replyLocally(Session, Now);
}

void SessionController::startDeallocate(CallerSession &Session,
                                        const Statement &Received, Time Now) {
  if (Session.m_Prepared.erase(Received.m_Name) == 0)
    return replyError(Session, SessionError::UnknownStatement, Received.m_Name,
                      Now);
  replyLocally(Session, Now);
}

// Admission.

void SessionController::acquireToken(CallerSession &Session, Time Now) {
  bool IsLimited =
      m_Board.m_Configuration.organisations().contains(Session.m_Organisation);
  if (!IsLimited || m_Tokens.trySpend(Session.m_Organisation, Now))
    return onAdmitted(Session, Now);
  Session.m_Pending->m_IsWaitingForToken = true;
  m_Tokens.enqueueWaiter(Session.m_Organisation, tokenRequestOf(Session),
                         Session.m_Pending->m_Deadline, Now,
                         tokenWaitLimit(Session));
}

void SessionController::onAdmitted(CallerSession &Session, Time Now) {
  Session.m_Pending->m_IsWaitingForToken = false;
  const Statement &Admitted = Session.m_Pending->m_Received.m_Statement;
  bool IsBegin = Admitted.m_Kind == StatementKind::Begin ||
                 Admitted.m_Kind == StatementKind::BeginReadOnly;
  if (!IsBegin)
    return m_Executor.submit(Session, Now);
  // The transaction is begun at an instance together with its first statement,
  // so that it holds no connection while the caller has not sent one.
  Session.m_State = TransactionState::Open;
  Session.m_IsReadOnly = Admitted.m_Kind == StatementKind::BeginReadOnly;
  Session.m_StatementsRun = 0;
  Session.m_HasWritten = false;
  Session.m_TransactionStartedAt = Session.m_Pending->m_Received.m_ReceivedAt;
  Session.m_BeginStatement = Admitted;
  Session.m_Pending.reset();
  replyLocally(Session, Now);
}

void SessionController::resumePending(Time Now) {
  for (const auto &[Id, Error] : m_Tokens.takeRefusedWaiters(Now)) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found == m_Sessions.end() || !Found->second.m_Pending)
      continue;
    ++m_OperationsRateLimited;
    Found->second.m_Pending.reset();
    replyError(Found->second, SessionError::Busy, Error.m_Message, Now);
    startNext(Found->second, Now);
  }
  for (CallerRequestId Id : m_Tokens.takeServableWaiters(Now)) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found == m_Sessions.end() || !Found->second.m_Pending)
      continue;
    CallerSession &Session = Found->second;
    if (!m_Tokens.trySpendForWaiter(Session.m_Organisation, Now)) {
      m_Tokens.enqueueWaiter(Session.m_Organisation, Id,
                             Session.m_Pending->m_Deadline, Now,
                             tokenWaitLimit(Session));
      continue;
    }
    onAdmitted(Session, Now);
    startNext(Session, Now);
  }
  m_Executor.dispatchWaiting(Now);
  for (std::vector<StatementExecutor::CompletedStatement> Done =
           m_Executor.takeCompleted();
       !Done.empty(); Done = m_Executor.takeCompleted())
    for (const StatementExecutor::CompletedStatement &Completed : Done)
      onCompleted(Completed, Now);
  closeAnswered(Now);
}

// Replies.

void SessionController::replyLocally(CallerSession &Session, Time Now) {
  StatementReply Reply;
  Reply.m_State = Session.m_State;
  reply(Session, std::move(Reply), Now);
}

void SessionController::replyError(CallerSession &Session, SessionError Error,
                                   const std::string &Text, Time Now) {
  StatementReply Reply;
  Reply.m_Error = Error;
  Reply.m_ErrorText = Text;
  Reply.m_State = Session.m_State;
  emit(ReportDecision{
      "request " + Session.m_LastRequestId +
          " refused: " + std::string(nameOf(Error)) + " (" + Text +
          "), organisation " + Session.m_Organisation.m_Value + ", route " +
          Session.m_Route.m_Value + ", policy version " +
          std::to_string(m_Board.m_Configuration.policy().m_Version),
      true});
  // A session whose key or route was removed stays open: its caller may still
  // have to end a transaction, and every further operation is rejected.
  reply(Session, std::move(Reply), Now);
}

void SessionController::reply(CallerSession &Session, StatementReply Reply,
                              Time Now) {
  ++m_StatementsAnswered;
  m_StatementsFailed += Reply.m_Error ? 1 : 0;
  Session.m_LastActivityAt = Now;
  emit(ReplyToStatement{Session.m_Id, std::move(Reply)});
  if (m_Shutdown.hasBegun())
    m_Answered.push_back(Session.m_Id);
}

void SessionController::logOutcome(const CallerSession &Session,
                                   const StatementReply &Reply, Time Now) {
  const PendingStatement &Pending = *Session.m_Pending;
  bool IsFailure = Reply.m_Error.has_value();
  if (!IsFailure && Pending.m_Attempts == 0)
    return;
  Duration Age = m_Board.m_FreshAt ? Now - *m_Board.m_FreshAt : Duration{};
  emit(ReportDecision{
      "request " + Pending.m_Received.m_Statement.m_RequestId + ": " +
          (IsFailure ? std::string(nameOf(*Reply.m_Error)) + " (" +
                           Reply.m_ErrorText + ")"
                     : "answered") +
          ", organisation " + Session.m_Organisation.m_Value +
          (Session.m_Origin ? ", forwarded for database " +
                                  Session.m_Policy.m_Database.m_Value
                            : ", route " + Session.m_Route.m_Value) +
          ", after " +
          std::to_string((Now - Pending.m_Received.m_ReceivedAt) /
                         milliseconds(1)) +
          " ms and " + std::to_string(Pending.m_Attempts) +
          " retries, last failure: " +
          (Pending.m_LastFailure.empty() ? "none" : Pending.m_LastFailure) +
          ", policy version " +
          std::to_string(m_Board.m_Configuration.policy().m_Version) + " of " +
          std::to_string(Age / milliseconds(1)) + " ms ago",
      IsFailure});
}

void SessionController::onCompleted(
    const StatementExecutor::CompletedStatement &Completed, Time Now) {
  auto Found = m_Sessions.find(Completed.m_Session.m_Value);
  if (Found == m_Sessions.end() || !Found->second.m_Pending)
    return;
  CallerSession &Session = Found->second;
  StatementReply Reply = Completed.m_Reply;
  logOutcome(Session, Reply, Now);
  if (Session.m_Origin)
    return m_Served.complete(Session, Completed, Now);
  StatementKind Kind = Session.m_Pending->m_Received.m_Statement.m_Kind;
  bool IsTransaction = Session.m_State != TransactionState::None;
  Session.m_Pending.reset();
  if (IsTransaction &&
      (Kind == StatementKind::Commit || Kind == StatementKind::Rollback)) {
    resetTransaction(Session);
    // A rollback without a connection succeeds: the transaction was rolled back
    // with the loss of the connection.
    if (Kind == StatementKind::Rollback && Reply.m_Error)
      Reply = StatementReply();
    Reply.m_State = TransactionState::None;
  } else if (IsTransaction) {
    Session.m_State = Reply.m_State;
  }
  reply(Session, std::move(Reply), Now);
  startNext(Session, Now);
}

void SessionController::abortTransaction(CallerSession &Session, Time Now) {
  if (Session.m_State == TransactionState::None)
    return;
  m_Executor.rollBack(Session, Now);
  Session.m_State = TransactionState::Failed;
}

void SessionController::resetTransaction(CallerSession &Session) {
  Session.m_State = TransactionState::None;
  Session.m_IsReadOnly = false;
  Session.m_HasWritten = false;
  Session.m_StatementsRun = 0;
}

// Timers.

void SessionController::expireTimeouts(Time Now) {
  Duration IdleLimit =
      milliseconds(m_Board.m_Configuration.policy().m_TransactionIdleMs);
  std::vector<StatementExecutor::CompletedStatement> Abandoned;
  for (auto &[Id, Session] : m_Sessions) {
    if (Session.m_Pending && !Session.m_Pending->m_IsWaitingForToken &&
        (Now >= m_Shutdown.limit(Session.m_Pending->m_Deadline) ||
         StatementExecutor::hasWaitTimedOut(Session, Now)))
      Abandoned.push_back({Session.m_Id, m_Executor.abandon(Session, Now)});
    else if (!Session.m_Pending && Session.m_State == TransactionState::Open &&
             Now - Session.m_LastActivityAt >= IdleLimit)
      abortTransaction(Session, Now);
  }
  for (const StatementExecutor::CompletedStatement &Completed : Abandoned)
    onCompleted(Completed, Now);
}

void SessionController::tick(Time Now) {
  if (Now - m_TimeoutsCheckedAt >= kTimeoutCheckInterval ||
      m_Shutdown.isOver(Now)) {
    m_TimeoutsCheckedAt = Now;
    expireTimeouts(Now);
  }
  m_Executor.tick(Now);
  continueShutdown(Now);
}

// Shutdown.

bool SessionController::canEnd(const CallerSession &Session, Time Now) const {
  if (Session.m_Pending || !Session.m_Queue.empty())
    return false;
  if (m_Shutdown.isOver(Now))
    return true;
  if (Session.m_State == TransactionState::None)
    return Now - Session.m_LastActivityAt >= kIdleBeforeClose;
  return !m_Shutdown.canContinueTransaction(Now + timeoutOf(Session), Now);
}

void SessionController::continueShutdown(Time Now) {
  if (!m_Shutdown.isOutOfRotation(Now))
    return;
  std::vector<SessionId> Ending;
  for (const auto &[Id, Session] : m_Sessions)
    if (canEnd(Session, Now))
      Ending.push_back(Session.m_Id);
  for (SessionId Id : Ending) {
    if (m_Sessions.at(Id.m_Value).m_Origin)
      m_Served.end(Id, Now);
    else
      close(Id, Now);
  }
}

void SessionController::closeAnswered(Time Now) {
  for (SessionId Id : std::exchange(m_Answered, {})) {
    auto Found = m_Sessions.find(Id.m_Value);
    if (Found == m_Sessions.end() || !m_Shutdown.isOutOfRotation(Now))
      continue;
    const CallerSession &Session = Found->second;
    if (!Session.m_Pending && Session.m_Queue.empty() &&
        Session.m_State == TransactionState::None)
      close(Id, Now);
  }
}

void SessionController::close(SessionId Id, Time Now) {
  emit(CloseSession{Id});
  end(Id, Now);
}

bool SessionController::isShutdownComplete(Time Now) const {
  return m_Shutdown.isOver(Now) ||
         (m_Sessions.empty() && m_Shutdown.isHalfOver(Now));
}

CounterList SessionController::counters() const {
  CounterList Result{{"almondpier_sessions", "Sessions that are open",
                      static_cast<double>(m_Sessions.size())},
                     {"almondpier_sessions_opened_total", "Sessions opened",
                      static_cast<double>(m_SessionsOpened)},
                     {"almondpier_sessions_refused_total", "Sessions refused",
                      static_cast<double>(m_SessionsRefused)},
                     {"almondpier_statements_answered_total",
                      "Statements answered",
                      static_cast<double>(m_StatementsAnswered)},
                     {"almondpier_statements_failed_total",
                      "Statements answered with an error",
                      static_cast<double>(m_StatementsFailed)},
                     {"almondpier_operations_rate_limited_total",
                      "Operations refused for the rate of their organisation",
                      static_cast<double>(m_OperationsRateLimited)},
                     {"almondpier_statements_refused_at_shutdown_total",
                      "Statements refused because the host ends before their "
                      "deadline",
                      static_cast<double>(m_ShutdownRefusals)}};
  for (Counter &Counter : m_Executor.counters())
    Result.push_back(std::move(Counter));
  for (Counter &Counter : m_Served.counters())
    Result.push_back(std::move(Counter));
  return Result;
}

} // namespace almondpier
