#include "decision/Invariant.h"
#include "decision/proxy/owner/OwnerGroup.h"

#include <algorithm>

namespace almondpier {

/// An instance that refused a statement gets the next one no sooner, so that
/// refusals do not become a loop.
constexpr Duration kPauseAfterRefusal = std::chrono::milliseconds(5);
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(20);
/// Interval between lookups of an outcome that is not recorded yet.
constexpr Duration kLookupInterval = std::chrono::milliseconds(100);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kRefused = 409;
constexpr int kFailed = 422;

void OwnerGroup::giveBack(Connection &Connection) {
  Connection.m_Instance->m_Pool.giveBack(Connection, m_Context.m_Connections,
                                         m_Context.m_Actions);
}

void OwnerGroup::discard(Connection &Connection, bool AlreadyClosed) {
  Connection.m_Instance->m_Pool.discard(Connection, m_Context.m_Connections,
                                        m_Context.m_Actions, AlreadyClosed);
}

void OwnerGroup::onAnswered(Connection &Connection,
                            const InstanceAnswered &Event, Time Now) {
  ConnectionPool &Pool = Connection.m_Instance->m_Pool;
  if (Connection.m_IsWarming) {
    onWarmUpAnswered(Connection, Event, Now);
    pump(Now);
    return;
  }
  PendingRequest *Request = Connection.m_Request;
  if (Request == nullptr) {
    // Nothing was asked on this connection, so its state is not known.
    Transaction *Pinned = Connection.m_Transaction;
    if (Pinned != nullptr)
      rollBack(*Pinned, "the connection answered out of turn", Now);
    else
      discard(Connection, false);
    return;
  }
  requireInvariant(Request->m_Connection == &Connection, "R8",
                   "an answer reaches another request");
  Duration Taken = Now - Connection.m_SentAt;
  Pool.onAnswered(Connection);
  unlink(*Request);
  if (const InstanceAnswer *Answer =
          std::get_if<InstanceAnswer>(&Event.m_Result)) {
    ServiceTime &Measured =
        Connection.m_Instance == m_View.primary() ? m_PrimaryTime : m_ReadTime;
    Measured.add(Taken);
    onAnswer(*Request, Connection, *Answer, Now);
  } else {
    onFailure(*Request, Connection,
              std::get<InstanceFailure>(Event.m_Result).m_NothingSent, false,
              Now);
  }
  pump(Now);
}

void OwnerGroup::onWarmUpAnswered(Connection &Connection,
                                  const InstanceAnswered &Event, Time Now) {
  const InstanceAnswer *Answer = std::get_if<InstanceAnswer>(&Event.m_Result);
  if (Answer != nullptr &&
      (Answer->m_HttpStatus == kNotFound || Answer->m_HttpStatus == kOk)) {
    Connection.m_IsWarming = false;
    giveBack(Connection);
    return;
  }
  Connection.m_Instance->m_Pool.onWarmUpFailed(Now);
  discard(Connection, false);
}

void OwnerGroup::onAnswer(PendingRequest &Request, Connection &Connection,
                          const InstanceAnswer &Answer, Time Now) {
  Request.m_Result.m_Instance = Connection.m_Instance->m_Record.m_Name;
  if (Request.m_IsLookingUp) {
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
    onStepAnswer(Request, Connection, Answer, Now);
    return;
  case RequestKind::Commit:
    onCommitAnswer(Request, Connection, Answer, Now);
    return;
  }
}

void OwnerGroup::onFailure(PendingRequest &Request, Connection &Connection,
                           bool NothingSent, bool AlreadyClosed, Time Now) {
  Instance &Failed = *Connection.m_Instance;
  // An idle connection that the instance closed meanwhile is no sign that the
  // instance fails.
  if (!NothingSent)
    Failed.m_PausedUntil =
        std::max(Failed.m_PausedUntil, Now + kPauseAfterFailure);
  Transaction *Pinned = Connection.m_Transaction;
  discard(Connection, AlreadyClosed);
  if (NothingSent)
    Request.m_MayHaveRun = false;
  if (Pinned != nullptr) {
    Request.m_Transaction = nullptr;
    ++m_Context.m_Counters.m_TransactionsRolledBack;
    m_Transactions.close(*Pinned);
  }
  RequestKind Kind = Request.m_Request.m_Kind;
  if (Request.m_IsLookingUp) {
    delay(Request, kLookupInterval, Now);
  } else if (Kind == RequestKind::Read || Kind == RequestKind::Outcome) {
    if (NothingSent)
      enqueue(Request, true);
    else
      retryRead(Request, Now);
  } else if (Kind == RequestKind::Write || Kind == RequestKind::Begin) {
    if (NothingSent)
      enqueue(Request, true);
    else if (Kind == RequestKind::Write)
      lookUpOutcome(Request, Now);
    else
      m_Context.fail(Request, ErrorKind::TransactionLost, Ran::Unknown,
                     "the connection to the instance was lost");
  } else if (Kind == RequestKind::Commit && !NothingSent) {
    lookUpOutcome(Request, Now);
  } else if (Kind == RequestKind::Rollback) {
    // Closing the connection has rolled the transaction back.
    m_Context.complete(Request, std::move(Request.m_Result));
  } else {
    m_Context.fail(Request, ErrorKind::TransactionLost,
                   NothingSent ? Ran::No : Ran::Unknown,
                   "the connection to the instance was lost");
  }
}

void OwnerGroup::requeueRefused(PendingRequest &Request, Instance &Refusing,
                                Time Now) {
  Refusing.m_PausedUntil =
      std::max(Refusing.m_PausedUntil, Now + kPauseAfterRefusal);
  Request.m_MayHaveRun = false;
  enqueue(Request, true);
}

void OwnerGroup::failByAnswer(PendingRequest &Request,
                              const InstanceAnswer &Answer) {
  ErrorKind Kind = ErrorKind::StatementFailed;
  if (Answer.m_IdempotencyMismatch)
    Kind = ErrorKind::IdempotencyMismatch;
  else if (Answer.m_HttpStatus == kBadRequest)
    Kind = ErrorKind::BadRequest;
  if (!Answer.m_Ran)
    Request.m_MayHaveRun = false;
  m_Context.fail(Request, Kind, Answer.m_Ran ? Ran::Yes : Ran::No,
                 Answer.m_Body);
}

// Reads.

void OwnerGroup::retryRead(PendingRequest &Request, Time Now) {
  if (!m_Retries.take(Now)) {
    ++m_Context.m_Counters.m_RetriesDenied;
    m_Context.fail(Request, ErrorKind::Overloaded, Ran::Unknown,
                   "an instance failed and the budget of retries is spent");
    return;
  }
  ++m_Context.m_Counters.m_ReadsRetried;
  enqueue(Request, true);
}

void OwnerGroup::onReadAnswer(PendingRequest &Request, Connection &Connection,
                              const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  int Status = Answer.m_HttpStatus;
  if (Status != kOk && Status != kFailed && Status != kRefused &&
      Status != kBadRequest) {
    discard(Connection, false);
    retryRead(Request, Now);
    return;
  }
  giveBack(Connection);
  if (Status == kRefused) {
    requeueRefused(Request, Served, Now);
    return;
  }
  if (Status == kBadRequest) {
    failByAnswer(Request, Answer);
    return;
  }
  if (Status == kFailed)
    Request.m_Result.m_Error =
        ErrorReport{ErrorKind::StatementFailed, Answer.m_Body,
                    Answer.m_Ran ? Ran::Yes : Ran::No, 0};
  else
    Request.m_Result.m_Error.reset();
  Request.m_Result.m_Body = Answer.m_Body;
  Request.m_Result.m_Position = Answer.m_Position;
  if (Request.m_SentTerm != 0)
    m_View.onPositionOf(Served, Answer.m_Position, Request.m_SentTerm);
  Request.m_Result.m_ServedByReplica = Request.m_SentTerm == 0;
  finishRead(Request, Served, Now);
}

void OwnerGroup::finishRead(PendingRequest &Request, Instance &Served,
                            Time Now) {
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.currentPreset().m_MaxReadAgeMs;
  bool Satisfied = !Request.m_NeedsConfirmation &&
                   ReadRouter::satisfies(m_View, Request, MaxReadAgeMs,
                                         Request.m_Result.m_Position, Now);
  if (!Satisfied && Request.m_SentTerm == 0) {
    // The replica turned out not to hold what was known of it.
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

void OwnerGroup::waitForConfirmation(PendingRequest &Request, Time Now) {
  Request.m_Stage = RequestStage::WaitingForConfirmation;
  Request.m_ProbePlace =
      m_WaitingForProof.emplace(Request.m_FirstProbe, &Request);
  m_View.wantRound(Request.m_FirstProbe, m_Context.m_NextProbe,
                   m_Context.m_Actions, Now);
  releaseConfirmed(Now);
}

void OwnerGroup::releaseConfirmed(Time Now) {
  m_View.wantRound(0, m_Context.m_NextProbe, m_Context.m_Actions, Now);
  uint64_t Confirmed = m_View.confirmedProbe();
  while (!m_WaitingForProof.empty() &&
         m_WaitingForProof.begin()->first <= Confirmed) {
    PendingRequest &Request = *m_WaitingForProof.begin()->second;
    unlink(Request);
    if (Request.m_SentTerm != m_View.record().m_PrimaryTerm) {
      enqueue(Request, true);
      continue;
    }
    if (Request.m_Request.m_Kind == RequestKind::Read)
      ++m_Context.m_Counters.m_ReadsByPrimary;
    m_Context.complete(Request, std::move(Request.m_Result));
  }
}

// Writes.

void OwnerGroup::onWriteAnswer(PendingRequest &Request, Connection &Connection,
                               const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  int Status = Answer.m_HttpStatus;
  bool IsKnown =
      Status == kOk ||
      ((Status == kRefused || Status == kFailed || Status == kBadRequest) &&
       !Answer.m_Ran) ||
      Status == kFailed;
  if (!IsKnown) {
    discard(Connection, false);
    lookUpOutcome(Request, Now);
    return;
  }
  giveBack(Connection);
  if (Status == kOk)
    waitForMajority(Request, Answer, Served, Now);
  else if (Status == kRefused)
    requeueRefused(Request, Served, Now);
  else
    failByAnswer(Request, Answer);
}

void OwnerGroup::waitForMajority(PendingRequest &Request,
                                 const InstanceAnswer &Answer, Instance &Served,
                                 Time Now) {
  if (Answer.m_Position.m_Index == 0 ||
      Answer.m_Position.m_Term > Request.m_SentTerm) {
    m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                   "the instance named no valid position of the write");
    return;
  }
  // The entry of a repeated request can be of an older term. It is on the log
  // of the primary of m_SentTerm, so a majority in that term proves it.
  m_View.onPositionOf(Served, Answer.m_Position, Request.m_SentTerm);
  Request.m_Entry = Position{Request.m_SentTerm, Answer.m_Position.m_Index};
  Request.m_Result.m_Error.reset();
  Request.m_Result.m_Body = Answer.m_Body;
  Request.m_Result.m_Position = Request.m_Entry;
  m_Writes.add(Request);
  resolveWrites(Now);
}

void OwnerGroup::resolveWrites(Time Now) {
  if (m_Writes.empty())
    return;
  std::vector<PendingRequest *> Safe;
  std::vector<PendingRequest *> Unresolved;
  m_Writes.resolve(m_View, Safe, Unresolved);
  for (PendingRequest *Request : Safe) {
    Position Entry = Request->m_Entry;
    size_t Holding = 0;
    for (const std::unique_ptr<Instance> &Member : m_View.instances())
      Holding += Member->m_InTermPosition.m_Term == Entry.m_Term &&
                         Member->m_InTermPosition.m_Index >= Entry.m_Index
                     ? 1
                     : 0;
    requireInvariant(Holding >= m_View.record().majority(), "R2",
                     "a write is acknowledged without a majority");
    ++m_Context.m_Counters.m_WritesAcknowledged;
    m_Context.complete(*Request, std::move(Request->m_Result));
  }
  for (PendingRequest *Request : Unresolved)
    lookUpOutcome(*Request, Now);
  m_Writes.askForPositions(m_View, m_Context.m_NextProbe, m_Context.m_Actions,
                           Now);
}

void OwnerGroup::lookUpOutcome(PendingRequest &Request, Time Now) {
  if (Request.m_Request.m_RequestId.empty()) {
    m_Context.fail(
        Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
        "the connection or the primary was lost before a majority held "
        "the write");
    return;
  }
  ++m_Context.m_Counters.m_OutcomesLookedUp;
  Request.m_IsLookingUp = true;
  Request.m_WriteTerm = Request.m_SentTerm;
  enqueue(Request, true);
  m_LastWork = Now;
}

void OwnerGroup::onLookupAnswer(PendingRequest &Request, Connection &Connection,
                                const InstanceAnswer &Answer, Time Now) {
  Instance &Served = *Connection.m_Instance;
  giveBack(Connection);
  switch (Answer.m_HttpStatus) {
  case kOk:
    waitForMajority(Request, Answer, Served, Now);
    return;
  case kNotFound:
    if (!Request.m_IsLookingUp) {
      // The write may still be on its way, so this is no proof that it did not
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
      delay(Request, kLookupInterval, Now);
    }
    return;
  case kFailed:
    if (!Request.m_IsLookingUp) {
      failByAnswer(Request, Answer);
      return;
    }
    m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                   "the identifier is recorded for another statement");
    return;
  default:
    Served.m_PausedUntil =
        std::max(Served.m_PausedUntil, Now + kPauseAfterRefusal);
    delay(Request, kPauseAfterFailure, Now);
  }
}

// Transactions.

void OwnerGroup::onBeginAnswer(PendingRequest &Request, Connection &Connection,
                               const InstanceAnswer &Answer, Time Now) {
  Transaction &Opened = *Request.m_Transaction;
  Instance &Served = *Connection.m_Instance;
  Request.m_Transaction = nullptr;
  Opened.m_Statement = nullptr;
  if (Answer.m_HttpStatus == kOk) {
    Opened.m_LastUsed = Now;
    ++m_Context.m_Counters.m_TransactionsBegun;
    if (Request.m_IsCancelled) {
      rollBack(Opened, "the caller is gone", Now);
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
  if (Answer.m_HttpStatus == kRefused && DidNotRun) {
    giveBack(Connection);
    requeueRefused(Request, Served, Now);
    return;
  }
  discard(Connection, false);
  if (Answer.m_HttpStatus == kFailed || Answer.m_HttpStatus == kBadRequest)
    failByAnswer(Request, Answer);
  else
    m_Context.fail(Request, ErrorKind::TransactionLost, Ran::Unknown,
                   "the instance could not begin the transaction");
}

void OwnerGroup::onStepAnswer(PendingRequest &Request, Connection &Connection,
                              const InstanceAnswer &Answer, Time Now) {
  Transaction &Open = *Request.m_Transaction;
  Request.m_Transaction = nullptr;
  Open.m_Statement = nullptr;
  Open.m_LastUsed = Now;
  int Status = Answer.m_HttpStatus;
  if (Request.m_Request.m_Kind == RequestKind::Rollback) {
    m_Transactions.close(Open);
    ++m_Context.m_Counters.m_TransactionsRolledBack;
    if (Status == kOk)
      giveBack(Connection);
    else
      discard(Connection, false);
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  if (Status == kOk) {
    Request.m_Result.m_Body = Answer.m_Body;
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  if (Status == kFailed || Status == kBadRequest) {
    failByAnswer(Request, Answer);
    return;
  }
  rollBack(Open, "the instance refused a statement", Now);
  if (Status == kRefused && !Answer.m_Ran)
    Request.m_MayHaveRun = false;
  m_Context.fail(Request, ErrorKind::TransactionLost,
                 Request.m_MayHaveRun ? Ran::Unknown : Ran::No,
                 "the instance refused the statement: " + Answer.m_Body);
}

void OwnerGroup::onCommitAnswer(PendingRequest &Request, Connection &Connection,
                                const InstanceAnswer &Answer, Time Now) {
  Transaction &Open = *Request.m_Transaction;
  Instance &Served = *Connection.m_Instance;
  Request.m_Transaction = nullptr;
  m_Transactions.close(Open);
  int Status = Answer.m_HttpStatus;
  if (Status == kOk) {
    giveBack(Connection);
    if (Answer.m_Position.m_Index > 0) {
      Request.m_SentTerm = Answer.m_Position.m_Term;
      waitForMajority(Request, Answer, Served, Now);
      return;
    }
    Request.m_Result.m_Body = Answer.m_Body;
    m_Context.complete(Request, std::move(Request.m_Result));
    return;
  }
  discard(Connection, false);
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  bool DidNotRun = !Answer.m_Ran && (Status == kRefused || Status == kFailed ||
                                     Status == kBadRequest);
  if (!DidNotRun) {
    lookUpOutcome(Request, Now);
    return;
  }
  if (Status != kRefused) {
    failByAnswer(Request, Answer);
    return;
  }
  Request.m_MayHaveRun = false;
  m_Context.fail(Request, ErrorKind::TransactionLost, Ran::No,
                 "the instance refused the commit: " + Answer.m_Body);
}

} // namespace almondpier
