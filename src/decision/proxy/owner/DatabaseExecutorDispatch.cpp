#include "decision/Invariant.h"
#include "decision/proxy/owner/DatabaseExecutor.h"

#include <algorithm>

namespace almondpier {

/// How long a read waits for a replica before the primary serves it.
constexpr Duration kReplicaWaitLimit = std::chrono::milliseconds(20);
/// A read may use a free slot of the primary after waiting this long for a busy
/// replica.
constexpr Duration kPrimaryFallbackDelay = std::chrono::milliseconds(5);

void DatabaseExecutor::dispatch(Time Now) {
  if (!isFresh(m_Context.m_Board, Now))
    return;
  if (!m_TransactionQueue.empty())
    dispatchTransactions(Now);
  if (!m_PrimaryQueue.empty() || !m_BeginQueue.empty())
    dispatchToPrimary(Now);
  if (!m_ReadQueue.empty())
    dispatchReads(Now);
}

bool DatabaseExecutor::validateBeforeDispatch(PendingRequest &Request,
                                              const Instance *Target,
                                              Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  if (!isKeyValid(m_Context.m_Board.m_Configuration, Admitted.m_Key,
                  Admitted.m_Organisation)) {
    Transaction *Open = Request.m_Transaction;
    unlink(Request);
    if (Open != nullptr) {
      Open->m_Statement = nullptr;
      rollBack(*Open, "the API key was revoked", Now);
    }
    if (Request.m_MayHaveRun)
      m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                     "the API key was revoked before the outcome was known");
    else
      m_Context.fail(Request, ErrorKind::UnknownKey, Ran::No,
                     "the API key is unknown or was revoked");
    return false;
  }
  // An idle instance is always tried. Otherwise one slow period would keep the
  // mean service time high, and the group would refuse requests forever.
  if (Request.m_MayHaveRun || Target == nullptr ||
      Target->m_Pool.outstandingCount() == 0 ||
      Request.m_Transaction != nullptr)
    return true;
  Duration Needed =
      (Target == m_Monitor.primary() ? m_PrimaryServiceTime : m_ReadServiceTime)
          .mean();
  if (Now + Needed <= Request.m_Deadline)
    return true;
  unlink(Request);
  m_Context.fail(
      Request, ErrorKind::Overloaded, Ran::No,
      "the time left is shorter than the mean service time of the database",
      static_cast<uint32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Needed).count()));
  return false;
}

void DatabaseExecutor::dispatchTransactions(Time Now) {
  while (!m_TransactionQueue.empty()) {
    PendingRequest &Request = m_TransactionQueue.selectNext();
    Transaction &Open = *Request.m_Transaction;
    if (!Open.m_Instance->m_Pool.hasSlot())
      return;
    if (!validateBeforeDispatch(Request, nullptr, Now))
      continue;
    Connection &Pinned = *Open.m_Connection;
    requireInvariant(
        Pinned.m_Transaction == &Open &&
            Open.m_Organisation == Request.m_Request.m_Organisation &&
            Open.m_Key == Request.m_Request.m_Key,
        "R3", "a statement of another caller is sent in a transaction");
    m_TransactionQueue.popSelected();
    send(Request, Pinned, 0, Now);
  }
}

void DatabaseExecutor::dispatchToPrimary(Time Now) {
  if (!m_Monitor.isPrimaryUsable(Now) ||
      Now < m_Monitor.primary()->m_PausedUntil)
    return;
  bool HasMore = true;
  while (HasMore) {
    FairQueue &First = m_PreferBegins ? m_BeginQueue : m_PrimaryQueue;
    FairQueue &Second = m_PreferBegins ? m_PrimaryQueue : m_BeginQueue;
    HasMore = sendNextToPrimary(First, Now) || sendNextToPrimary(Second, Now);
    m_PreferBegins = !m_PreferBegins;
  }
}

bool DatabaseExecutor::sendNextToPrimary(FairQueue &Queue, Time Now) {
  Instance &Primary = *m_Monitor.primary();
  ConnectionPool &Pool = Primary.m_Pool;
  while (!Queue.empty()) {
    if (!Pool.hasCapacity() || (&Queue == &m_BeginQueue && !Pool.canPin()))
      return false;
    PendingRequest &Request = Queue.selectNext();
    if (!validateBeforeDispatch(Request, &Primary, Now))
      continue;
    Queue.popSelected();
    Connection &Taken = Pool.acquire();
    if (&Queue == &m_BeginQueue) {
      Transaction &Opened = m_Transactions.open(
          m_Context.m_NextTransactionNumber++, Request, Taken, Now);
      Opened.m_Statement = &Request;
      Request.m_Transaction = &Opened;
      Pool.pin(Taken, Opened);
    }
    send(Request, Taken, m_Monitor.record().m_PrimaryTerm, Now);
    return true;
  }
  return false;
}

void DatabaseExecutor::dispatchReads(Time Now) {
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.activePreset().m_MaxReadAgeMs;
  while (!m_ReadQueue.empty()) {
    PendingRequest &Request = m_ReadQueue.selectNext();
    ReadRouter::Choice Choice =
        m_Router.choose(m_Monitor, Request, MaxReadAgeMs, Now);
    Instance *Primary = m_Monitor.primary();
    if (Choice.m_Instance == nullptr && Choice.m_HasCandidate) {
      bool MayUsePrimary =
          Now - Request.m_ArrivedAt >= kPrimaryFallbackDelay &&
          m_PrimaryQueue.empty() && m_Monitor.isPrimaryUsable(Now) &&
          Now >= Primary->m_PausedUntil && Primary->m_Pool.hasCapacity() &&
          Primary->m_Pool.outstandingCount() < Primary->m_Pool.slotCount();
      if (!MayUsePrimary)
        return;
      Choice.m_Instance = Primary;
    }
    if (!validateBeforeDispatch(Request, Choice.m_Instance, Now))
      continue;
    m_ReadQueue.popSelected();
    if (Choice.m_Instance == nullptr) {
      waitForReplica(Request, Now);
      continue;
    }
    uint64_t Term =
        Choice.m_Instance == Primary ? m_Monitor.record().m_PrimaryTerm : 0;
    send(Request, Choice.m_Instance->m_Pool.acquire(), Term, Now);
  }
}

void DatabaseExecutor::moveToPrimary(PendingRequest &Request) {
  Request.m_NeedsPrimary = true;
  enqueue(Request, false);
}

void DatabaseExecutor::waitForReplica(PendingRequest &Request, Time Now) {
  const ReadRequirement &Requirement = Request.m_Request.m_Requirement;
  bool HasReplica = false;
  for (const std::unique_ptr<Instance> &Member : m_Monitor.instances()) {
    if (Member.get() == m_Monitor.primary() || Member->m_IsDraining ||
        !Member->isHealthy(Now))
      continue;
    HasReplica = true;
    if (!Requirement.m_MaxAgeMs && Requirement.m_Position.m_Index > 0)
      m_Monitor.waitForPosition(*Member, Requirement.m_Position,
                                m_Context.m_NextProbeId, m_Context.m_Actions,
                                Now);
  }
  Time WaitUntil = Request.m_ArrivedAt + kReplicaWaitLimit;
  if (!HasReplica || Now >= WaitUntil) {
    moveToPrimary(Request);
    dispatchToPrimary(Now);
    return;
  }
  Request.m_Stage = RequestStage::WaitingForReplica;
  Request.m_TimerIterator = m_Timers.emplace(WaitUntil, &Request);
  Request.m_WaitsForFreshness = Requirement.m_MaxAgeMs.has_value();
  if (Request.m_WaitsForFreshness) {
    Request.m_FreshnessIterator =
        m_WaitingForFreshness.insert(m_WaitingForFreshness.end(), &Request);
    m_Monitor.requestProbeRound(Request.m_FirstProbeAfterArrival,
                                m_Context.m_NextProbeId, m_Context.m_Actions,
                                Now);
  } else {
    Request.m_PositionIterator =
        m_WaitingForPosition.emplace(Requirement.m_Position, &Request);
  }
}

void DatabaseExecutor::requeueWaitingReads(const Instance &Changed, Time Now) {
  while (!m_WaitingForPosition.empty() &&
         Changed.m_Position >= m_WaitingForPosition.begin()->first) {
    PendingRequest &Request = *m_WaitingForPosition.begin()->second;
    unlink(Request);
    enqueue(Request, false);
  }
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.activePreset().m_MaxReadAgeMs;
  for (auto It = m_WaitingForFreshness.begin();
       It != m_WaitingForFreshness.end();) {
    PendingRequest &Request = **It;
    ++It;
    if (!m_Router.choose(m_Monitor, Request, MaxReadAgeMs, Now).m_HasCandidate)
      continue;
    unlink(Request);
    enqueue(Request, false);
  }
}

void DatabaseExecutor::send(PendingRequest &Request, Connection &Connection,
                            uint64_t Term, Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  RequestKind Kind =
      Request.m_IsOutcomeLookup ? RequestKind::Outcome : Admitted.m_Kind;
  bool ChangesData = Kind != RequestKind::Read &&
                     Kind != RequestKind::Outcome &&
                     Kind != RequestKind::Rollback;
  requireInvariant(!ChangesData || !Request.m_MayHaveRun, "R10",
                   "a request that may have run is sent again");
  requireInvariant(Connection.m_Request == nullptr, "R8",
                   "a second request is assigned to a connection");
  if (ChangesData)
    Request.m_MayHaveRun = true;
  Request.m_SentTerm = Term;
  Request.m_Connection = &Connection;
  Request.m_Stage = RequestStage::Sent;
  Connection.m_Request = &Request;
  Connection.m_Instance->m_Pool.onStatementSent(Connection, Now);

  SendStatement Statement;
  Statement.m_Connection = Connection.m_Id;
  Statement.m_Kind = Kind;
  Statement.m_Term = Term;
  Statement.m_RequestId = Admitted.m_RequestId;
  Statement.m_StatementDigest = Request.m_StatementDigest;
  if (Kind != RequestKind::Outcome)
    Statement.m_Statement = Admitted.m_Statement;
  m_Context.m_Actions.emplace_back(std::move(Statement));
}

} // namespace almondpier
