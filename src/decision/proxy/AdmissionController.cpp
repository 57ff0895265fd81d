#include "decision/proxy/AdmissionController.h"

#include "decision/proxy/RequestTraits.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

// Limits the memory used by statements of requests in progress.
static constexpr size_t kMaxStatementBytes = size_t{128} << 20U;
static constexpr uint32_t kOverloadRetryAfterMs = 500;
// Owners roll back a transaction that has had no statement for 10 s.
static constexpr Duration kTransactionIdleTimeout = milliseconds(10'000);

AdmissionController::AdmissionController(const std::string &FleetSecret,
                                         const ProxyBlackboard &Board,
                                         TokenController &Tokens,
                                         ForwardingController &Forwarding,
                                         ProxyActions &Actions)
    : m_Board(Board), m_Tokens(Tokens), m_Forwarding(Forwarding),
      m_Actions(Actions), m_SessionCodec(FleetSecret),
      m_TransactionCodec(FleetSecret) {}

void AdmissionController::submit(const CallerRequest &Request, Time Now) {
  ++m_ReceivedCount;
  if (m_RefusesNewWork && !isTransactionStep(Request.m_Kind)) {
    refuse(Request.m_Id, ErrorReport{ErrorKind::ShuttingDown,
                                     "this host is shutting down", Ran::No, 0});
    return;
  }
  if (m_StatementBytes + Request.m_Statement.size() > kMaxStatementBytes) {
    refuse(Request.m_Id,
           ErrorReport{ErrorKind::Overloaded,
                       "statements of waiting requests exceed the memory limit",
                       Ran::No, kOverloadRetryAfterMs});
    return;
  }
  Call &Added = m_Calls[Request.m_Id.m_Value];
  Added.m_Request = Request;
  Added.m_StatementBytes = Request.m_Statement.size();
  m_StatementBytes += Added.m_StatementBytes;
  Added.m_Deadline = Now + milliseconds(Request.m_TimeoutMs);
  tryAdmit(Added, false, Now);
}

void AdmissionController::cancel(CallerRequestId Id, Time Now) {
  auto Found = m_Calls.find(Id.m_Value);
  if (Found == m_Calls.end())
    return;
  ++m_DisconnectedCount;
  Call &Call = Found->second;
  if (Call.m_Stage == Stage::Forwarded)
    m_Forwarding.cancel(Id, Now);
  if (Call.m_Stage == Stage::WaitingForToken)
    m_Tokens.removeWaiter(Call.m_Organisation, Id);
  if (Call.m_Stage == Stage::Held)
    std::erase(m_Held, Id);
  removeCall(Id);
}

void AdmissionController::removeCall(CallerRequestId Id) {
  auto Found = m_Calls.find(Id.m_Value);
  if (Found == m_Calls.end())
    return;
  m_StatementBytes -= Found->second.m_StatementBytes;
  m_Calls.erase(Found);
}

std::optional<ErrorReport> AdmissionController::validate(Call &Call) const {
  const CallerRequest &Request = Call.m_Request;
  const Configuration &Config = m_Board.m_Configuration;
  const std::pair<const KeyId, KeyRecord> *Key =
      Request.m_Key ? Config.findKey(*Request.m_Key) : nullptr;
  if (Key == nullptr)
    return ErrorReport{ErrorKind::UnknownKey,
                       Request.m_Key ? "the key is unknown or revoked"
                                     : "the request has no key",
                       Ran::No, 0};
  Call.m_Key = Key->first;
  Call.m_Organisation = Key->second.m_Organisation;
  if (Config.findDatabase(Request.m_Database) == nullptr)
    return ErrorReport{ErrorKind::UnknownDatabase,
                       "there is no database of this name", Ran::No, 0};
  bool NeedsIdempotencyKey = Request.m_Kind == RequestKind::Outcome;
  if ((NeedsIdempotencyKey || !Request.m_IdempotencyKey.empty()) &&
      !isValidName(Request.m_IdempotencyKey))
    return ErrorReport{ErrorKind::BadRequest,
                       "an Idempotency-Key has 1 to 64 characters out of "
                       "a-z, A-Z, 0-9, '.', '_' and '-'",
                       Ran::No, 0};
  if (isTransactionStep(Request.m_Kind))
    return validateTransaction(Call);
  return std::nullopt;
}

std::optional<ErrorReport>
AdmissionController::validateTransaction(Call &Call) const {
  std::optional<TransactionBinding> Binding =
      m_TransactionCodec.open(Call.m_Request.m_Transaction);
  if (!Binding || Binding->m_Database != Call.m_Request.m_Database)
    return ErrorReport{ErrorKind::UnknownTransaction,
                       "there is no such transaction in this database", Ran::No,
                       0};
  if (Binding->m_Organisation != Call.m_Organisation ||
      Binding->m_Key != Call.m_Key)
    return ErrorReport{ErrorKind::ForeignTransaction,
                       "the transaction was begun with another key", Ran::No,
                       0};
  Call.m_Transaction = Binding->m_Transaction;
  return std::nullopt;
}

void AdmissionController::decodeSession(Call &Call) const {
  std::optional<Session> Opened =
      m_SessionCodec.open(Call.m_Request.m_SessionToken, Call.m_Organisation);
  Call.m_HasValidSession = Opened.has_value();
  Call.m_Session = Opened ? std::move(*Opened)
                          : Session::withUnknownWrites(Call.m_Organisation);
}

void AdmissionController::tryAdmit(Call &Call, bool HasWaitedForToken,
                                   Time Now) {
  CallerRequestId Id = Call.m_Request.m_Id;
  if (!isFresh(m_Board, Now)) {
    hold(Call, Now);
    return;
  }
  // Repeated after every wait because the key may have been revoked since.
  if (std::optional<ErrorReport> Error = validate(Call)) {
    refuse(Id, *Error);
    return;
  }
  bool HasToken = HasWaitedForToken
                      ? m_Tokens.trySpendForWaiter(Call.m_Organisation, Now)
                      : m_Tokens.trySpend(Call.m_Organisation, Now);
  if (HasToken) {
    forward(Call, Now);
    return;
  }
  Call.m_Stage = Stage::WaitingForToken;
  m_Tokens.enqueueWaiter(Call.m_Organisation, Id, Call.m_Deadline, Now);
}

void AdmissionController::hold(Call &Call, Time Now) {
  CallerRequestId Id = Call.m_Request.m_Id;
  Call.m_Stage = Stage::Held;
  if (!Call.m_HeldSince)
    Call.m_HeldSince = Now;
  ++m_HeldCount;
  m_Held.push_back(Id);
}

void AdmissionController::forward(Call &Call, Time Now) {
  decodeSession(Call);
  Call.m_Stage = Stage::Forwarded;
  if (isTransactionStep(Call.m_Request.m_Kind))
    m_OpenTransactions[*Call.m_Transaction] = Now;
  CallerRequestId Id = Call.m_Request.m_Id;
  m_Forwarding.submit(Id, makeAdmittedRequest(Call), Call.m_Deadline, Now);
}

AdmittedRequest AdmissionController::makeAdmittedRequest(Call &Call) const {
  CallerRequest &Request = Call.m_Request;
  AdmittedRequest Result;
  Result.m_Kind = Request.m_Kind;
  Result.m_Organisation = Call.m_Organisation;
  Result.m_Key = Call.m_Key;
  Result.m_Database = Request.m_Database;
  Result.m_Statement = std::move(Request.m_Statement);
  Result.m_Transaction = Call.m_Transaction;
  if (!Request.m_IdempotencyKey.empty())
    Result.m_RequestId =
        Call.m_Organisation.m_Value + "/" + Request.m_IdempotencyKey;
  if (Request.m_Kind != RequestKind::Read)
    return Result;
  Result.m_Requirement = Call.m_Session.requirementFor(Request.m_Database);
  Call.m_NeedsConfirmedPrimary =
      Result.m_Requirement.m_ConfirmedPrimary && !Request.m_MaxAgeMs;
  if (Request.m_MaxAgeMs)
    Result.m_Requirement.m_MaxAgeMs =
        std::min(*Request.m_MaxAgeMs,
                 m_Board.m_Configuration.activePreset().m_MaxReadAgeMs);
  return Result;
}

void AdmissionController::refuse(CallerRequestId Id, const ErrorReport &Error) {
  ++m_AnsweredCount;
  ++m_ErrorCounts[Error.m_Kind];
  ReplyToCaller Reply;
  Reply.m_Id = Id;
  Reply.m_Error = Error;
  m_Actions.push_back(std::move(Reply));
  removeCall(Id);
}

std::string
AdmissionController::updatedSessionToken(Call &Call,
                                         const RequestResult &Result) const {
  const DatabaseName &Database = Call.m_Request.m_Database;
  RequestKind Kind = Call.m_Request.m_Kind;
  bool IsDurable = Kind == RequestKind::Write || Kind == RequestKind::Commit ||
                   Kind == RequestKind::Outcome;
  bool Changed = !Call.m_HasValidSession;
  if (Result.m_Error) {
    bool IsUnknown =
        Result.m_Error->m_Ran == Ran::Unknown &&
        (Kind == RequestKind::Write || Kind == RequestKind::Commit);
    Changed |= IsUnknown && Call.m_Session.recordUnknownWrite(Database);
  } else if (IsDurable && Result.m_Position.m_Term != 0) {
    Changed |= Call.m_Session.recordWrite(Database, Result.m_Position);
  } else if (Kind == RequestKind::Read && Call.m_NeedsConfirmedPrimary) {
    Changed |= Call.m_Session.recordConfirmedRead(Database, Result.m_Position);
  }
  return Changed ? m_SessionCodec.seal(Call.m_Session)
                 : Call.m_Request.m_SessionToken;
}

std::string
AdmissionController::newTransactionToken(const Call &Call,
                                         const RequestResult &Result) const {
  if (Call.m_Request.m_Kind != RequestKind::Begin || Result.m_Error ||
      !Result.m_Transaction)
    return {};
  return m_TransactionCodec.seal(
      TransactionBinding{*Result.m_Transaction, Call.m_Organisation, Call.m_Key,
                         Call.m_Request.m_Database});
}

void AdmissionController::updateOpenTransactions(const Call &Call,
                                                 const RequestResult &Result,
                                                 Time Now) {
  RequestKind Kind = Call.m_Request.m_Kind;
  if (Kind == RequestKind::Begin && Result.m_Transaction && !Result.m_Error)
    m_OpenTransactions[*Result.m_Transaction] = Now;
  if (!Call.m_Transaction)
    return;
  bool StillOpen =
      Kind == RequestKind::Execute &&
      (!Result.m_Error || Result.m_Error->m_Kind == ErrorKind::StatementFailed);
  if (StillOpen)
    m_OpenTransactions[*Call.m_Transaction] = Now;
  else
    m_OpenTransactions.erase(*Call.m_Transaction);
}

void AdmissionController::finish(
    const ForwardingController::FinishedRequest &FinishedRequest, Time Now) {
  auto Found = m_Calls.find(FinishedRequest.m_Id.m_Value);
  if (Found == m_Calls.end())
    return;
  Call &Call = Found->second;
  const RequestResult &Result = FinishedRequest.m_Result;
  updateOpenTransactions(Call, Result, Now);
  if (Call.m_Request.m_Kind == RequestKind::Read && !Result.m_Error) {
    ++m_ReadCount;
    m_ReplicaReadCount += Result.m_ServedByReplica ? 1 : 0;
  }
  if (Result.m_Error)
    ++m_ErrorCounts[Result.m_Error->m_Kind];
  ++m_AnsweredCount;
  ReplyToCaller Reply;
  Reply.m_Id = FinishedRequest.m_Id;
  Reply.m_Error = Result.m_Error;
  Reply.m_Body = Result.m_Body;
  Reply.m_SessionToken = updatedSessionToken(Call, Result);
  Reply.m_Transaction = newTransactionToken(Call, Result);
  Reply.m_ServedByReplica = Result.m_ServedByReplica;
  Reply.m_Instance = Result.m_Instance;
  m_Actions.push_back(std::move(Reply));
  removeCall(FinishedRequest.m_Id);
}

void AdmissionController::retryWaiting(Time Now) {
  if (!m_Held.empty() && isFresh(m_Board, Now)) {
    std::vector<CallerRequestId> Held;
    Held.swap(m_Held);
    for (CallerRequestId Id : Held)
      tryAdmit(m_Calls.at(Id.m_Value), false, Now);
  }
  for (CallerRequestId Id : m_Tokens.takeServableWaiters(Now))
    tryAdmit(m_Calls.at(Id.m_Value), true, Now);
}

void AdmissionController::tick(Time Now) {
  for (const TokenController::RefusedWaiter &Refused :
       m_Tokens.takeRefusedWaiters(Now))
    refuse(Refused.m_Id, Refused.m_Error);
  std::vector<CallerRequestId> Expired;
  std::erase_if(m_Held, [&](CallerRequestId Id) {
    const Call &Call = m_Calls.at(Id.m_Value);
    bool IsTimedOut =
        Now >= Call.m_Deadline || Now - *Call.m_HeldSince >= kMaxHoldTime;
    if (IsTimedOut)
      Expired.push_back(Id);
    return IsTimedOut;
  });
  for (CallerRequestId Id : Expired)
    refuse(Id, ErrorReport{ErrorKind::ConfigurationStale,
                           "this host has no fresh configuration", Ran::No, 0});
  std::erase_if(m_OpenTransactions, [&](const auto &Entry) {
    return Now - Entry.second >= kTransactionIdleTimeout;
  });
}

CounterList AdmissionController::counters() const {
  CounterList Result{
      {"almondpier_requests_total", "Requests of callers",
       static_cast<double>(m_ReceivedCount)},
      {"almondpier_answers_total", "Answers to callers",
       static_cast<double>(m_AnsweredCount)},
      {"almondpier_callers_gone_total",
       "Requests whose caller closed the connection",
       static_cast<double>(m_DisconnectedCount)},
      {"almondpier_requests_held_total",
       "Requests held because the configuration was not fresh",
       static_cast<double>(m_HeldCount)},
      {"almondpier_reads_total", "Reads answered without an error",
       static_cast<double>(m_ReadCount)},
      {"almondpier_replica_reads_total", "Reads served by replicas",
       static_cast<double>(m_ReplicaReadCount)},
      {"almondpier_requests_in_progress", "Requests without an answer",
       static_cast<double>(m_Calls.size())},
  };
  for (const auto &[Kind, Count] : m_ErrorCounts)
    Result.push_back(
        {"almondpier_errors_" + std::string(nameOf(Kind)) + "_total",
         "Answers with this error", static_cast<double>(Count)});
  return Result;
}

} // namespace almondpier
