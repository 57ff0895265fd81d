#include "decision/Invariant.h"
#include "decision/proxy/owner/DatabaseExecutor.h"

#include <algorithm>

namespace almondpier {

/// Pause before the next statement to an instance that refused one, so that
/// refusals do not become a busy loop.
constexpr Duration kPauseAfterRefusal = std::chrono::milliseconds(5);
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(20);
/// Interval between lookups of an outcome that is not recorded yet.
constexpr Duration kLookupInterval = std::chrono::milliseconds(100);

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpUnprocessableContent = 422;

void DatabaseExecutor::releaseConnection(Connection &Connection) {
  Connection.m_Instance->m_Pool.release(Connection, m_Context.m_Connections,
                                        m_Context.m_Actions);
}

void DatabaseExecutor::discardConnection(Connection &Connection,
                                         bool AlreadyClosed) {
  Connection.m_Instance->m_Pool.discard(Connection, m_Context.m_Connections,
                                        m_Context.m_Actions, AlreadyClosed);
}

void DatabaseExecutor::onInstanceAnswered(Connection &Connection,
                                          const InstanceAnswered &Event,
                                          Time Now) {
  ConnectionPool &Pool = Connection.m_Instance->m_Pool;
  if (Connection.m_IsWarmingUp) {
    onWarmUpAnswered(Connection, Event, Now);
    dispatch(Now);
    return;
  }
  PendingRequest *Request = Connection.m_Request;
  if (Request == nullptr) {
    // No request is outstanding on this connection, so the state of its session
    // is unknown.
    Transaction *Pinned = Connection.m_Transaction;
    if (Pinned != nullptr)
      rollBack(*Pinned, "the instance sent an unexpected answer", Now);
    else
      discardConnection(Connection, false);
    return;
  }
  requireInvariant(Request->m_Connection == &Connection, "R8",
                   "an answer is delivered to another request");
  Duration Taken = Now - Connection.m_SentAt;
  Pool.onStatementAnswered(Connection);
  unlink(*Request);
  if (const InstanceAnswer *Answer =
          std::get_if<InstanceAnswer>(&Event.m_Result)) {
    MeanServiceTime &Measured = Connection.m_Instance == m_Monitor.primary()
                                    ? m_PrimaryServiceTime
                                    : m_ReadServiceTime;
    Measured.add(Taken);
    onAnswer(*Request, Connection, *Answer, Now);
  } else {
    onFailure(*Request, Connection,
              std::get<InstanceFailure>(Event.m_Result).m_NothingSent, false,
              Now);
  }
  dispatch(Now);
}

void DatabaseExecutor::onWarmUpAnswered(Connection &Connection,
                                        const InstanceAnswered &Event,
                                        Time Now) {
  const InstanceAnswer *Answer = std::get_if<InstanceAnswer>(&Event.m_Result);
  if (Answer != nullptr && (Answer->m_HttpStatus == kHttpNotFound ||
                            Answer->m_HttpStatus == kHttpOk)) {
    Connection.m_IsWarmingUp = false;
    releaseConnection(Connection);
    return;
  }
  Connection.m_Instance->m_Pool.onWarmUpFailed(Now);
  discardConnection(Connection, false);
}

void DatabaseExecutor::onAnswer(PendingRequest &Request, Connection &Connection,
                                const InstanceAnswer &Answer, Time Now) {
  Request.m_Result.m_Instance = Connection.m_Instance->m_Record.m_Name;
  if (Request.m_IsOutcomeLookup) {
    onLookupAnswer(Request, Connection, Answer, Now);
    return;
  }
  switch (Request.m_Request.m_Kind) {
  case RequestKind::Read:
    onReadAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Write:
    onWriteAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Outcome:
    onLookupAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Begin:
    onBeginAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Execute:
  case RequestKind::Rollback:
    onTransactionAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Commit:
    onCommitAnswer(Request, Connection, Answer, Now);
    return;
  }
}

void DatabaseExecutor::onFailure(PendingRequest &Request,
                                 Connection &Connection, bool NothingSent,
                                 bool AlreadyClosed, Time Now) {
  Instance &Failed = *Connection.m_Instance;
  // An instance may close an idle connection at any time. This does not
  // indicate a failure, so it does not pause the instance.
  if (!NothingSent)
    Failed.m_PausedUntil =
        std::max(Failed.m_PausedUntil, Now + kPauseAfterFailure);
  Transaction *Pinned = Connection.m_Transaction;
  discardConnection(Connection, AlreadyClosed);
  if (NothingSent)
    Request.m_MayHaveRun = false;
  if (Pinned != nullptr) {
    Request.m_Transaction = nullptr;
    ++m_Context.m_Counters.m_TransactionsRolledBack;
    m_Transactions.close(*Pinned);
  }
  RequestKind Kind = Request.m_Request.m_Kind;
  if (Request.m_IsOutcomeLookup) {
    enqueueAfter(Request, kLookupInterval, Now);
  } else if (Kind == RequestKind::Read || Kind == RequestKind::Outcome) {
    if (NothingSent)
      enqueue(Request, true);
    else
      retryRead(Request, Now);
  } else if (Kind == RequestKind::Write || Kind == RequestKind::Begin) {
    if (NothingSent)
      enqueue(Request, true);
    else if (Kind == RequestKind::Write)
      startOutcomeLookup(Request, Now);
    else
      m_Context.fail(Request, ErrorKind::TransactionLost, Ran::Unknown,
                     "the connection to the instance was lost");
  } else if (Kind == RequestKind::Commit && !NothingSent) {
    startOutcomeLookup(Request, Now);
  } else if (Kind == RequestKind::Rollback) {
    // Closing the connection rolls the transaction back.
    m_Context.complete(Request, std::move(Request.m_Result));
  } else {
    m_Context.fail(Request, ErrorKind::TransactionLost,
                   NothingSent ? Ran::No : Ran::Unknown,
                   "the connection to the instance was lost");
  }
}

void DatabaseExecutor::requeueRefused(PendingRequest &Request,
                                      Instance &Refusing, Time Now) {
  Refusing.m_PausedUntil =
      std::max(Refusing.m_PausedUntil, Now + kPauseAfterRefusal);
  Request.m_MayHaveRun = false;
  enqueue(Request, true);
}

void DatabaseExecutor::failWithInstanceError(PendingRequest &Request,
                                             const InstanceAnswer &Answer) {
  ErrorKind Kind = ErrorKind::StatementFailed;
  if (Answer.m_IdempotencyMismatch)
    Kind = ErrorKind::IdempotencyMismatch;
  else if (Answer.m_HttpStatus == kHttpBadRequest)
    Kind = ErrorKind::BadRequest;
  if (!Answer.m_Ran)
    Request.m_MayHaveRun = false;
  m_Context.fail(Request, Kind, Answer.m_Ran ? Ran::Yes : Ran::No,
                 Answer.m_Body);
}

// Reads.

void DatabaseExecutor::retryRead(PendingRequest &Request, Time Now) {
  if (!m_RetryBudget.tryWithdraw(Now)) {
    ++m_Context.m_Counters.m_RetriesDenied;
    m_Context.fail(Request, ErrorKind::Overloaded, Ran::Unknown,
                   "an instance failed and the retry budget is exhausted");
    return;
  }
  ++m_Context.m_Counters.m_ReadsRetried;
  enqueue(Request, true);
}

void DatabaseExecutor::onReadAnswer(PendingRequest &Request,
                                    Connection &Connection,
                                    const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  int Status = Answer.m_HttpStatus;
  if (Status != kHttpOk && Status != kHttpUnprocessableContent &&
      Status != kHttpConflict && Status != kHttpBadRequest) {
    discardConnection(Connection, false);
    retryRead(Request, Now);
    return;
  }
  releaseConnection(Connection);
  if (Status == kHttpConflict) {
    requeueRefused(Request, Served, Now);
    return;
  }
  if (Status == kHttpBadRequest) {
    failWithInstanceError(Request, Answer);
    return;
  }
  if (Status == kHttpUnprocessableContent)
    Request.m_Result.m_Error =
        ErrorReport{ErrorKind::StatementFailed, Answer.m_Body,
                    Answer.m_Ran ? Ran::Yes : Ran::No, 0};
  else
    Request.m_Result.m_Error.reset();
  Request.m_Result.m_Body = Answer.m_Body;
  Request.m_Result.m_Position = Answer.m_Position;
  if (Request.m_SentTerm != 0)
    m_Monitor.onPositionReported(Served, Answer.m_Position, Request.m_SentTerm);
  Request.m_Result.m_ServedByReplica = Request.m_SentTerm == 0;
  finishRead(Request, Served, Now);
}

void DatabaseExecutor::finishRead(PendingRequest &Request, Instance &Served,
                                  Time Now) {
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.activePreset().m_MaxReadAgeMs;
  bool Satisfied = !Request.m_NeedsConfirmation &&
                   ReadRouter::satisfies(m_Monitor, Request, MaxReadAgeMs,
                                         Request.m_Result.m_Position, Now);
  if (!Satisfied && Request.m_SentTerm == 0) {
    // The replica answered from an older position than it had reported.
    Served.m_Position =
        std::min(Served.m_Position, Request.m_Result.m_Position);
    Request.m_NeedsPrimary = true;
    enqueue(Request, true);
    return;
  }
  if (!Satisfied) {
    waitForConfirmation(Request, Now);
    return;
  }
  ++(Request.m_SentTerm == 0 ? m_Context.m_Counters.m_ReadsByReplicas
                             : m_Context.m_Counters.m_ReadsByPrimary);
  m_Context.complete(Request, std::move(Request.m_Result));
}

void DatabaseExecutor::waitForConfirmation(PendingRequest &Request, Time Now) {
  Request.m_Stage = RequestStage::WaitingForConfirmation;
  Request.m_ProbeIterator = m_WaitingForConfirmation.emplace(
      Request.m_FirstProbeAfterArrival, &Request);
  m_Monitor.requestProbeRound(Request.m_FirstProbeAfterArrival,
                              m_Context.m_NextProbeId, m_Context.m_Actions,
                              Now);
  completeConfirmed(Now);
}

void DatabaseExecutor::completeConfirmed(Time Now) {
  m_Monitor.requestProbeRound(0, m_Context.m_NextProbeId, m_Context.m_Actions,
                              Now);
  uint64_t Confirmed = m_Monitor.latestConfirmedProbe();
  while (!m_WaitingForConfirmation.empty() &&
         m_WaitingForConfirmation.begin()->first <= Confirmed) {
    PendingRequest &Request = *m_WaitingForConfirmation.begin()->second;
    unlink(Request);
    if (Request.m_SentTerm != m_Monitor.record().m_PrimaryTerm) {
      enqueue(Request, true);
      continue;
    }
    if (Request.m_Request.m_Kind == RequestKind::Read)
      ++m_Context.m_Counters.m_ReadsByPrimary;
    m_Context.complete(Request, std::move(Request.m_Result));
  }
}

// Writes.

void DatabaseExecutor::onWriteAnswer(PendingRequest &Request,
                                     Connection &Connection,
                                     const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  int Status = Answer.m_HttpStatus;
  bool IsKnown =
      Status == kHttpOk ||
      ((Status == kHttpConflict || Status == kHttpUnprocessableContent ||
        Status == kHttpBadRequest) &&
       !Answer.m_Ran) ||
      Status == kHttpUnprocessableContent;
  if (!IsKnown) {
    discardConnection(Connection, false);
    startOutcomeLookup(Request, Now);
    return;
  }
  releaseConnection(Connection);
  if (Status == kHttpOk)
    waitForMajority(Request, Answer, Served, Now);
  else if (Status == kHttpConflict)
    requeueRefused(Request, Served, Now);
  else
    failWithInstanceError(Request, Answer);
}

void DatabaseExecutor::waitForMajority(PendingRequest &Request,
                                       const InstanceAnswer &Answer,
                                       Instance &Served, Time Now) {
  if (Answer.m_Position.m_Index == 0 ||
      Answer.m_Position.m_Term > Request.m_SentTerm) {
    m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                   "the instance returned no valid position for the write");
    return;
  }
  // The entry of a repeated request may be of an older term. It is in the log
  // of the primary of m_SentTerm, so a majority that holds its index in that
  // term holds the entry.
  m_Monitor.onPositionReported(Served, Answer.m_Position, Request.m_SentTerm);
  Request.m_EntryPosition =
      Position{Request.m_SentTerm, Answer.m_Position.m_Index};
  Request.m_Result.m_Error.reset();
  Request.m_Result.m_Body = Answer.m_Body;
  Request.m_Result.m_Position = Request.m_EntryPosition;
  m_Writes.add(Request);
  resolveWrites(Now);
}

void DatabaseExecutor::resolveWrites(Time Now) {
  if (m_Writes.empty())
    return;
  std::vector<PendingRequest *> Acknowledged;
  std::vector<PendingRequest *> Unresolved;
  m_Writes.resolve(m_Monitor, Acknowledged, Unresolved);
  for (PendingRequest *Request : Acknowledged) {
    Position Entry = Request->m_EntryPosition;
    size_t Holding = 0;
    for (const std::unique_ptr<Instance> &Member : m_Monitor.instances())
      Holding += Member->m_MatchPosition.m_Term == Entry.m_Term &&
                         Member->m_MatchPosition.m_Index >= Entry.m_Index
                     ? 1
                     : 0;
    requireInvariant(Holding >= m_Monitor.record().majority(), "R2",
                     "a write is acknowledged without a majority");
    ++m_Context.m_Counters.m_WritesAcknowledged;
    m_Context.complete(*Request, std::move(Request->m_Result));
  }
  for (PendingRequest *Request : Unresolved)
    startOutcomeLookup(*Request, Now);
  m_Writes.requestPositions(m_Monitor, m_Context.m_NextProbeId,
                            m_Context.m_Actions, Now);
}

void DatabaseExecutor::startOutcomeLookup(PendingRequest &Request, Time Now) {
  if (Request.m_Request.m_RequestId.empty()) {
    m_Context.fail(
        Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
        "the connection or the primary was lost before a majority held "
        "the write");
    return;
  }
  ++m_Context.m_Counters.m_OutcomesLookedUp;
  Request.m_IsOutcomeLookup = true;
  Request.m_WriteTerm = Request.m_SentTerm;
  enqueue(Request, true);
  m_LastRequestAt = Now;
}

void DatabaseExecutor::onLookupAnswer(PendingRequest &Request,
                                      Connection &Connection,
                                      const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  releaseConnection(Connection);
  switch (Answer.m_HttpStatus) {
  case kHttpOk:
    waitForMajority(Request, Answer, Served, Now);
    return;
  case kHttpNotFound:
    if (!Request.m_IsOutcomeLookup) {
      // The write may still be in flight, so this does not show that it did not
      // run.
      Request.m_Result.m_Error =
          ErrorReport{ErrorKind::NotFound,
                      "no outcome is recorded for this request identifier",
                      Ran::Unknown, 0};
      waitForConfirmation(Request, Now);
    } else if (Request.m_SentTerm > Request.m_WriteTerm) {
      m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                     "the primary was replaced and its successor has no record "
                     "of the write");
    } else {
      enqueueAfter(Request, kLookupInterval, Now);
    }
    return;
  case kHttpUnprocessableContent:
    if (!Request.m_IsOutcomeLookup) {
      failWithInstanceError(Request, Answer);
      return;
    }
    m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                   "the request identifier is recorded for another statement");
    return;
  default:
    Served.m_PausedUntil =
        std::max(Served.m_PausedUntil, Now + kPauseAfterRefusal);
    enqueueAfter(Request, kPauseAfterFailure, Now);
  }
}

// Transactions.

void DatabaseExecutor::onBeginAnswer(PendingRequest &Request,
                                     Connection &Connection,
                                     const InstanceAnswer &Answer, Time Now) {
  Transaction &Opened = *Request.m_Transaction;
  Instance &Served = *Connection.m_Instance;
  Request.m_Transaction = nullptr;
  Opened.m_Statement = nullptr;
  if (Answer.m_HttpStatus == kHttpOk) {
    Opened.m_LastUsedAt = Now;
    ++m_Context.m_Counters.m_TransactionsBegun;
    if (Request.m_IsCancelled) {
      rollBack(Opened, "the caller disconnected", Now);
      m_Context.complete(Request, RequestResult{});
      return;
    }
    const OwnerOptions &Options = m_Context.m_Options;
    Request.m_Result.m_Body = Answer.m_Body;
    Request.m_Result.m_Transaction =
        TransactionId{Options.m_Host, Options.m_Incarnation, Opened.m_Number};
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  m_Transactions.close(Opened);
  bool DidNotRun = !Answer.m_Ran;
  if (Answer.m_HttpStatus == kHttpConflict && DidNotRun) {
    releaseConnection(Connection);
    requeueRefused(Request, Served, Now);
    return;
  }
  discardConnection(Connection, false);
  if (Answer.m_HttpStatus == kHttpUnprocessableContent ||
      Answer.m_HttpStatus == kHttpBadRequest)
    failWithInstanceError(Request, Answer);
  else
    m_Context.fail(Request, ErrorKind::TransactionLost, Ran::Unknown,
                   "the instance could not begin the transaction");
}

void DatabaseExecutor::onTransactionAnswer(PendingRequest &Request,
                                           Connection &Connection,
                                           const InstanceAnswer &Answer,
                                           Time Now) {
  Transaction &Open = *Request.m_Transaction;
  Request.m_Transaction = nullptr;
  Open.m_Statement = nullptr;
  Open.m_LastUsedAt = Now;
  int Status = Answer.m_HttpStatus;
  if (Request.m_Request.m_Kind == RequestKind::Rollback) {
    m_Transactions.close(Open);
    ++m_Context.m_Counters.m_TransactionsRolledBack;
    if (Status == kHttpOk)
      releaseConnection(Connection);
    else
      discardConnection(Connection, false);
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  if (Status == kHttpOk) {
    Request.m_Result.m_Body = Answer.m_Body;
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  if (Status == kHttpUnprocessableContent || Status == kHttpBadRequest) {
    failWithInstanceError(Request, Answer);
    return;
  }
  rollBack(Open, "the instance refused a statement", Now);
  if (Status == kHttpConflict && !Answer.m_Ran)
    Request.m_MayHaveRun = false;
  m_Context.fail(Request, ErrorKind::TransactionLost,
                 Request.m_MayHaveRun ? Ran::Unknown : Ran::No,
                 "the instance refused the statement: " + Answer.m_Body);
}

void DatabaseExecutor::onCommitAnswer(PendingRequest &Request,
                                      Connection &Connection,
                                      const InstanceAnswer &Answer, Time Now) {
  Transaction &Open = *Request.m_Transaction;
  Instance &Served = *Connection.m_Instance;
  Request.m_Transaction = nullptr;
  m_Transactions.close(Open);
  int Status = Answer.m_HttpStatus;
  if (Status == kHttpOk) {
    releaseConnection(Connection);
    if (Answer.m_Position.m_Index > 0) {
      Request.m_SentTerm = Answer.m_Position.m_Term;
      waitForMajority(Request, Answer, Served, Now);
      return;
    }
    Request.m_Result.m_Body = Answer.m_Body;
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  discardConnection(Connection, false);
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  bool DidNotRun = !Answer.m_Ran && (Status == kHttpConflict ||
                                     Status == kHttpUnprocessableContent ||
                                     Status == kHttpBadRequest);
  if (!DidNotRun) {
    startOutcomeLookup(Request, Now);
    return;
  }
  if (Status != kHttpConflict) {
    failWithInstanceError(Request, Answer);
    return;
  }
  Request.m_MayHaveRun = false;
  m_Context.fail(Request, ErrorKind::TransactionLost, Ran::No,
                 "the instance refused the commit: " + Answer.m_Body);
}

} // namespace almondpier
