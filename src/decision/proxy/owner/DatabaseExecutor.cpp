#include "decision/proxy/owner/DatabaseExecutor.h"

#include "decision/Invariant.h"

#include <algorithm>

namespace almondpier {

/// Time after the last request at which a host that is not the owner closes its
/// connections.
constexpr Duration kIdleTimeout = std::chrono::seconds(10);
constexpr Duration kWarmUpTimeout = std::chrono::seconds(1);

DatabaseExecutor::DatabaseExecutor(DatabaseName Database, OwnerContext &Context)
    : m_Database(std::move(Database)), m_Context(Context),
      m_Monitor(m_Database), m_Router(Context.m_Options.m_Zone) {}

void DatabaseExecutor::configure(const DatabaseRecord &Record, Time Now) {
  const ProxyBlackboard &Board = m_Context.m_Board;
  auto Observers = Board.m_Observers.find(m_Database);
  const HostName &Self = m_Context.m_Options.m_Host;
  m_IsObserver = Observers != Board.m_Observers.end() &&
                 std::find(Observers->second.begin(), Observers->second.end(),
                           Self) != Observers->second.end();
  m_IsOwner = m_IsObserver && Observers->second.front() == Self;
  for (FairQueue *Queue :
       {&m_TransactionQueue, &m_BeginQueue, &m_PrimaryQueue, &m_ReadQueue})
    Queue->configure(Board.m_Configuration.activePreset());

  Instance *Former = m_Monitor.primary();
  uint64_t FormerTerm = m_Monitor.record().m_PrimaryTerm;
  std::vector<std::unique_ptr<Instance>> Removed;
  m_Monitor.setProbeInterval(m_Context.m_ProbeInterval);
  m_Monitor.configure(Record, Now, Removed);
  bool IsFormerRemoved =
      std::any_of(Removed.begin(), Removed.end(),
                  [&](const std::unique_ptr<Instance> &Departed) {
                    return Departed.get() == Former;
                  });
  if (Former != nullptr && !IsFormerRemoved &&
      FormerTerm != Record.m_PrimaryTerm)
    onPrimaryReplaced(*Former, Now);
  for (const std::unique_ptr<Instance> &Departed : Removed)
    removeInstance(*Departed, Now);
  for (Transaction *Revoked :
       m_Transactions.withRevokedKey(Board.m_Configuration))
    rollBack(*Revoked, "the API key was revoked", Now);
  updatePools(Now);
  resolveWrites(Now);
  completeConfirmed(Now);
  dispatch(Now);
}

bool DatabaseExecutor::isActive(Time Now) const {
  return m_IsOwner ||
         (m_LastRequestAt && Now - *m_LastRequestAt < kIdleTimeout) ||
         m_Transactions.size() > 0;
}

void DatabaseExecutor::updatePools(Time Now) {
  bool IsActiveNow = isActive(Now);
  for (const std::unique_ptr<Instance> &Member : m_Monitor.instances()) {
    ConnectionPool &Pool = Member->m_Pool;
    Pool.setOpen(IsActiveNow && !Member->m_IsDraining, m_Context.m_Connections,
                 m_Context.m_Actions);
    if (Member->isHealthy(Now))
      Pool.replenish(*this, *Member, m_Context.m_Connections,
                     m_Context.m_NextConnectionId, m_Context.m_Actions, Now);
  }
}

FairQueue &DatabaseExecutor::queueFor(const PendingRequest &Request) {
  if (Request.m_IsOutcomeLookup)
    return m_PrimaryQueue;
  switch (Request.m_Request.m_Kind) {
  case RequestKind::Read:
    return Request.m_NeedsPrimary ? m_PrimaryQueue : m_ReadQueue;
  case RequestKind::Begin:
    return m_BeginQueue;
  case RequestKind::Execute:
  case RequestKind::Commit:
  case RequestKind::Rollback:
    return m_TransactionQueue;
  case RequestKind::Write:
  case RequestKind::Outcome:
    return m_PrimaryQueue;
  }
  return m_PrimaryQueue;
}

void DatabaseExecutor::enqueue(PendingRequest &Request, bool AtFront) {
  FairQueue &Queue = queueFor(Request);
  if (AtFront)
    Queue.pushFront(Request);
  else
    Queue.pushBack(Request);
  Request.m_Stage = RequestStage::Queued;
}

void DatabaseExecutor::enqueueAfter(PendingRequest &Request, Duration Delay,
                                    Time Now) {
  Request.m_TimerIterator = m_Timers.emplace(Now + Delay, &Request);
  Request.m_Stage = RequestStage::Delayed;
}

void DatabaseExecutor::submit(PendingRequest &Request, Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  Request.m_Executor = this;
  bool WasActive = isActive(Now);
  m_LastRequestAt = Now;
  if (!WasActive) {
    m_Monitor.sendDueProbes(m_Context.m_NextProbeId, m_Context.m_Actions, Now);
    updatePools(Now);
  }
  if (!Admitted.m_RequestId.empty() && Admitted.m_Kind != RequestKind::Outcome)
    Request.m_StatementDigest = [&] {
      KeyDigest Digest = digestOfKey(Admitted.m_Statement);
      return toHex({reinterpret_cast<const char *>(Digest.m_Bytes.data()),
                    Digest.m_Bytes.size()});
    }();
  if (Admitted.m_Kind == RequestKind::Execute ||
      Admitted.m_Kind == RequestKind::Commit ||
      Admitted.m_Kind == RequestKind::Rollback) {
    submitTransactionStatement(Request, Now);
    return;
  }
  if (Admitted.m_Kind == RequestKind::Read) {
    m_RetryBudget.deposit();
    const ReadRequirement &Requirement = Admitted.m_Requirement;
    // Only the primary can serve a read with a maximum age of zero.
    Request.m_NeedsConfirmation = Requirement.m_MaxAgeMs
                                      ? *Requirement.m_MaxAgeMs == 0
                                      : Requirement.m_ConfirmedPrimary;
    Request.m_NeedsPrimary = Request.m_NeedsConfirmation;
  } else if (Admitted.m_Kind == RequestKind::Outcome) {
    Request.m_NeedsConfirmation = true;
  }
  if (rejectIfOverloaded(Request, queueFor(Request), Now))
    return;
  enqueue(Request, false);
  if (Request.m_NeedsConfirmation)
    m_Monitor.requestProbeRound(Request.m_FirstProbeAfterArrival,
                                m_Context.m_NextProbeId, m_Context.m_Actions,
                                Now);
  dispatch(Now);
}

void DatabaseExecutor::submitTransactionStatement(PendingRequest &Request,
                                                  Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  const TransactionId Id = Admitted.m_Transaction.value_or(TransactionId{});
  const OwnerOptions &Options = m_Context.m_Options;
  if (Id.m_Owner != Options.m_Host ||
      Id.m_Incarnation != Options.m_Incarnation ||
      Id.m_Number >= m_Context.m_NextTransactionNumber) {
    m_Context.fail(Request, ErrorKind::UnknownTransaction, Ran::No,
                   "no such transaction on this host");
    return;
  }
  Transaction *Open = m_Transactions.find(Id.m_Number);
  if (Open == nullptr) {
    m_Context.fail(Request, ErrorKind::TransactionLost, Ran::No,
                   "the transaction has ended");
    return;
  }
  if (Open->m_Organisation != Admitted.m_Organisation ||
      Open->m_Key != Admitted.m_Key) {
    m_Context.fail(Request, ErrorKind::ForeignTransaction, Ran::No,
                   "the transaction was begun with another key");
    return;
  }
  if (Open->m_Statement != nullptr) {
    m_Context.fail(Request, ErrorKind::BadRequest, Ran::No,
                   "another statement of the transaction is still running");
    return;
  }
  Open->m_Statement = &Request;
  Open->m_LastUsedAt = Now;
  Request.m_Transaction = Open;
  enqueue(Request, false);
  dispatch(Now);
}

bool DatabaseExecutor::rejectIfOverloaded(PendingRequest &Request,
                                          const FairQueue &Queue, Time Now) {
  const OrganisationName &Organisation = Request.m_Request.m_Organisation;
  bool IsRead = &Queue == &m_ReadQueue;
  Duration ServiceTime =
      (IsRead ? m_ReadServiceTime : m_PrimaryServiceTime).mean();
  size_t Concurrency = 0;
  for (const std::unique_ptr<Instance> &Member : m_Monitor.instances())
    if ((Member.get() == m_Monitor.primary()) != IsRead &&
        Member->isHealthy(Now) && !Member->m_IsDraining)
      Concurrency += Member->m_Pool.slotCount() + 1;
  Duration Wait{};
  if (Concurrency > 0 && !Queue.empty())
    Wait = ServiceTime *
               static_cast<int64_t>(Queue.estimateRequestsAhead(Organisation)) /
               static_cast<int64_t>(Concurrency) +
           ServiceTime;
  bool HasRoom = Queue.hasRoom(Organisation);
  if (HasRoom && Now + Wait <= Request.m_Deadline)
    return false;
  Duration Excess =
      std::max<Duration>(HasRoom ? Now + Wait - Request.m_Deadline : Wait,
                         std::chrono::milliseconds(1));
  m_Context.fail(
      Request, ErrorKind::Overloaded, Ran::No,
      HasRoom ? "the request cannot be served before its deadline: the queue "
                "is too long"
              : "the queue of the organisation is full",
      static_cast<uint32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Excess).count()));
  return true;
}

void DatabaseExecutor::unlink(PendingRequest &Request) {
  switch (Request.m_Stage) {
  case RequestStage::Unlinked:
    break;
  case RequestStage::Queued:
    Request.m_Queue->remove(Request);
    break;
  case RequestStage::WaitingForReplica:
    if (Request.m_WaitsForFreshness)
      m_WaitingForFreshness.erase(Request.m_FreshnessIterator);
    else
      m_WaitingForPosition.erase(Request.m_PositionIterator);
    m_Timers.erase(Request.m_TimerIterator);
    break;
  case RequestStage::Delayed:
    m_Timers.erase(Request.m_TimerIterator);
    break;
  case RequestStage::Sent:
    if (Request.m_Connection != nullptr) {
      Request.m_Connection->m_Request = nullptr;
      Request.m_Connection = nullptr;
    }
    break;
  case RequestStage::WaitingForMajority:
    m_Writes.remove(Request);
    break;
  case RequestStage::WaitingForConfirmation:
    m_WaitingForConfirmation.erase(Request.m_ProbeIterator);
    break;
  }
  Request.m_Stage = RequestStage::Unlinked;
}

void DatabaseExecutor::abandonAnswer(PendingRequest &Request) {
  Connection *Used = Request.m_Connection;
  unlink(Request);
  ++m_Context.m_Counters.m_AnswersAbandoned;
  if (Used == nullptr)
    return;
  Transaction *Pinned = Used->m_Transaction;
  discardConnection(*Used, false);
  if (Pinned == nullptr)
    return;
  if (Pinned->m_Statement != nullptr)
    Pinned->m_Statement->m_Transaction = nullptr;
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  m_Transactions.close(*Pinned);
}

void DatabaseExecutor::cancel(PendingRequest &Request, Time Now) {
  Request.m_IsCancelled = true;
  bool IsSent = Request.m_Stage == RequestStage::Sent;
  bool IsExecute = Request.m_Request.m_Kind == RequestKind::Execute;
  if (Request.m_Transaction != nullptr && (IsExecute || !IsSent)) {
    rollBack(*Request.m_Transaction, "the caller disconnected", Now);
    return;
  }
  // A statement that was sent runs to its end and its result is dropped, so
  // that the connection stays usable and the outcome of a write becomes known.
  if (IsSent || Request.m_MayHaveRun)
    return;
  unlink(Request);
  m_Context.complete(Request, RequestResult{});
}

void DatabaseExecutor::expire(PendingRequest &Request, Time Now) {
  RequestStage Stage = Request.m_Stage;
  bool IsSent = Stage == RequestStage::Sent ||
                Stage == RequestStage::WaitingForConfirmation;
  Transaction *Open = Request.m_Transaction;
  if (Stage == RequestStage::Sent) {
    abandonAnswer(Request);
  } else {
    unlink(Request);
    if (Open != nullptr) {
      Open->m_Statement = nullptr;
      Request.m_Transaction = nullptr;
      rollBack(*Open, "the deadline of a statement in the transaction passed",
               Now);
    }
  }
  RequestKind Kind = Request.m_Request.m_Kind;
  if (Request.m_MayHaveRun && Kind != RequestKind::Execute &&
      Kind != RequestKind::Begin) {
    m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                   "the deadline passed before a majority of the database's "
                   "instances held the write");
    return;
  }
  if (IsSent || Request.m_MayHaveRun) {
    m_Context.fail(Request, ErrorKind::DeadlineExceeded, Ran::Unknown,
                   "the deadline passed before the database answered");
    return;
  }
  bool IsStale = !isFresh(m_Context.m_Board, Now);
  bool HasPrimary = m_Monitor.isPrimaryUsable(Now);
  if (IsStale)
    m_Context.fail(Request, ErrorKind::ConfigurationStale, Ran::No,
                   "the deadline passed while the configuration was stale");
  else if (!HasPrimary)
    m_Context.fail(Request, ErrorKind::NoPrimary, Ran::No,
                   "the deadline passed while the database had no primary");
  else
    m_Context.fail(Request, ErrorKind::DeadlineExceeded, Ran::No,
                   "the deadline passed while the request was queued");
}

bool DatabaseExecutor::rejectIfWaiting(PendingRequest &Request) {
  bool IsWaiting = Request.m_Stage == RequestStage::Queued ||
                   Request.m_Stage == RequestStage::WaitingForReplica ||
                   Request.m_Stage == RequestStage::Delayed;
  if (!IsWaiting || Request.m_MayHaveRun)
    return false;
  unlink(Request);
  if (Request.m_Transaction != nullptr)
    Request.m_Transaction->m_Statement = nullptr;
  m_Context.fail(
      Request, ErrorKind::ConfigurationStale, Ran::No,
      "the configuration is stale: no control host has confirmed it");
  return true;
}

void DatabaseExecutor::rollBack(Transaction &Transaction, const char *Reason,
                                Time Now) {
  PendingRequest *Statement = Transaction.m_Statement;
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  if (Statement != nullptr) {
    unlink(*Statement);
    Statement->m_Transaction = nullptr;
  }
  bool WasCommitting = Statement != nullptr && Statement->m_MayHaveRun &&
                       Statement->m_Request.m_Kind == RequestKind::Commit;
  discardConnection(*Transaction.m_Connection, false);
  m_Transactions.close(Transaction);
  if (Statement == nullptr)
    return;
  if (WasCommitting)
    startOutcomeLookup(*Statement, Now);
  else
    m_Context.fail(*Statement, ErrorKind::TransactionLost,
                   Statement->m_MayHaveRun ? Ran::Unknown : Ran::No, Reason);
}

void DatabaseExecutor::onPrimaryReplaced(Instance &Former, Time Now) {
  m_Context.m_Actions.emplace_back(ReportStateChange{
      "database " + m_Database.m_Value + ": primary " +
      Former.m_Record.m_Name.m_Value + " was replaced in term " +
      std::to_string(m_Monitor.record().m_PrimaryTerm)});
  for (Transaction *Open : m_Transactions.all())
    if (Open->m_Instance == &Former)
      rollBack(*Open, "the primary was replaced", Now);
  // Writes with a request identifier are looked up at the new primary. Those
  // without one keep their connection, because the former primary may still
  // answer.
  std::vector<PendingRequest *> Outstanding;
  for (const Connection *Used : Former.m_Pool.connections())
    if (Used->m_Request != nullptr && Used->m_Request->m_SentTerm != 0)
      Outstanding.push_back(Used->m_Request);
  for (PendingRequest *Request : Outstanding) {
    bool ChangesData = Request->m_MayHaveRun;
    if (ChangesData && Request->m_Request.m_RequestId.empty())
      continue;
    abandonAnswer(*Request);
    if (ChangesData)
      startOutcomeLookup(*Request, Now);
    else
      enqueue(*Request, true);
  }
  // Results that still wait for a confirmation in the former term are
  // discarded, and the requests are sent again.
  std::multimap<uint64_t, PendingRequest *> Unconfirmed;
  Unconfirmed.swap(m_WaitingForConfirmation);
  for (const std::pair<const uint64_t, PendingRequest *> &Entry : Unconfirmed) {
    Entry.second->m_Stage = RequestStage::Unlinked;
    enqueue(*Entry.second, true);
  }
  Former.m_Pool.invalidateAll(m_Context.m_Connections, m_Context.m_Actions);
}

void DatabaseExecutor::removeInstance(Instance &Instance, Time Now) {
  for (Transaction *Open : m_Transactions.all())
    if (Open->m_Instance == &Instance)
      rollBack(*Open, "the instance was removed", Now);
  std::vector<Connection *> Connections = Instance.m_Pool.connections();
  for (Connection *Departed : Connections) {
    PendingRequest *Request = Departed->m_Request;
    if (Request == nullptr) {
      discardConnection(*Departed, false);
      continue;
    }
    unlink(*Request);
    onFailure(*Request, *Departed, false, false, Now);
  }
}

void DatabaseExecutor::onConnectionClosed(Connection &Connection, Time Now) {
  InstanceAnswered Event{Connection.m_Id,
                         InstanceFailure{"closed by the instance", false}};
  if (Connection.m_IsWarmingUp || Connection.m_Request != nullptr) {
    onInstanceAnswered(Connection, Event, Now);
    return;
  }
  Transaction *Pinned = Connection.m_Transaction;
  if (Pinned == nullptr) {
    discardConnection(Connection, true);
    return;
  }
  rollBack(*Pinned, "the connection to the instance was lost", Now);
  dispatch(Now);
}

bool DatabaseExecutor::onProbeAnswered(const ProbeAnswered &Event, Time Now) {
  Instance *Answered = m_Monitor.onProbeAnswered(Event, Now);
  if (Answered == nullptr)
    return false;
  if (!Event.m_Status)
    return true;
  if (Answered->m_Pool.openCount() == 0)
    updatePools(Now);
  resolveWrites(Now);
  completeConfirmed(Now);
  requeueWaitingReads(*Answered, Now);
  dispatch(Now);
  return true;
}

void DatabaseExecutor::runTimers(Time Now) {
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    PendingRequest &Request = *m_Timers.begin()->second;
    bool IsRead = Request.m_Stage == RequestStage::WaitingForReplica;
    unlink(Request);
    if (IsRead)
      moveToPrimary(Request);
    else
      enqueue(Request, true);
  }
}

void DatabaseExecutor::checkInstanceHealth(Time Now) {
  for (const std::unique_ptr<Instance> &Member : m_Monitor.instances()) {
    bool IsHealthy = Member->isHealthy(Now);
    if (IsHealthy != Member->m_WasReportedHealthy)
      m_Context.m_Actions.emplace_back(
          ReportStateChange{"database " + m_Database.m_Value + ": instance " +
                            Member->m_Record.m_Name.m_Value +
                            (IsHealthy ? " is healthy" : " is unhealthy")});
    bool HasFailed = Member->m_WasReportedHealthy && !IsHealthy;
    Member->m_WasReportedHealthy = IsHealthy;
    std::vector<Connection *> Connections = Member->m_Pool.connections();
    for (Connection *Used : Connections) {
      if (Used->m_IsWarmingUp && Now - Used->m_SentAt > kWarmUpTimeout) {
        discardConnection(*Used, false);
        Member->m_Pool.onWarmUpFailed(Now);
        continue;
      }
      PendingRequest *Request = Used->m_Request;
      if (!HasFailed || Request == nullptr ||
          Request->m_Request.m_Kind != RequestKind::Read)
        continue;
      // Another instance may serve the read before its deadline.
      abandonAnswer(*Request);
      retryRead(*Request, Now);
    }
  }
}

void DatabaseExecutor::tick(Time Now) {
  if (m_IsObserver || isActive(Now))
    m_Monitor.sendDueProbes(m_Context.m_NextProbeId, m_Context.m_Actions, Now);
  m_Monitor.expireProbes(Now);
  std::chrono::milliseconds DrainTimeout(
      m_Context.m_Board.m_Configuration.activePreset().m_DrainTimeoutMs);
  for (Transaction *Expired : m_Transactions.expired(Now, DrainTimeout))
    if (Expired->m_Statement == nullptr ||
        Expired->m_Statement->m_Request.m_Kind != RequestKind::Commit ||
        Expired->m_Statement->m_Stage != RequestStage::Sent)
      rollBack(*Expired,
               "the transaction was idle or open for too long, or its instance "
               "is draining",
               Now);
  checkInstanceHealth(Now);
  runTimers(Now);
  updatePools(Now);
  m_Monitor.requestProbeRound(0, m_Context.m_NextProbeId, m_Context.m_Actions,
                              Now);
  dispatch(Now);
}

void DatabaseExecutor::appendReports(std::vector<InstanceReport> &Reports,
                                     Time Now) const {
  if (m_IsObserver)
    m_Monitor.appendReports(Reports, Now);
}

} // namespace almondpier
