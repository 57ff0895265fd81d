#include "decision/proxy/owner/OwnerGroup.h"

#include "decision/Invariant.h"

#include <algorithm>

namespace almondpier {

/// How long a group without owner role keeps its connections after its last
/// request.
constexpr Duration kActiveFor = std::chrono::seconds(10);
constexpr Duration kWarmUpTimeout = std::chrono::seconds(1);

OwnerGroup::OwnerGroup(DatabaseName Database, OwnerContext &Context)
    : m_Database(std::move(Database)), m_Context(Context), m_View(m_Database),
      m_Router(Context.m_Options.m_Zone) {}

void OwnerGroup::configure(const DatabaseRecord &Record, Time Now) {
  const ProxyBlackboard &Board = m_Context.m_Board;
  auto Observers = Board.m_Observers.find(m_Database);
  const HostName &Self = m_Context.m_Options.m_Host;
  m_IsObserver = Observers != Board.m_Observers.end() &&
                 std::find(Observers->second.begin(), Observers->second.end(),
                           Self) != Observers->second.end();
  m_IsOwner = m_IsObserver && Observers->second.front() == Self;
  for (FairQueue *Lane : {&m_Steps, &m_Begins, &m_PrimaryWork, &m_Reads})
    Lane->configure(Board.m_Configuration.currentPreset());

  Instance *Former = m_View.primary();
  uint64_t FormerTerm = m_View.record().m_PrimaryTerm;
  std::vector<std::unique_ptr<Instance>> Removed;
  m_View.setProbeInterval(m_Context.m_ProbeInterval);
  m_View.configure(Record, Now, Removed);
  bool IsFormerGone = std::any_of(Removed.begin(), Removed.end(),
                                  [&](const std::unique_ptr<Instance> &Left) {
                                    return Left.get() == Former;
                                  });
  if (Former != nullptr && !IsFormerGone && FormerTerm != Record.m_PrimaryTerm)
    leaveFormerPrimary(*Former, Now);
  for (const std::unique_ptr<Instance> &Left : Removed)
    removeInstance(*Left, Now);
  for (Transaction *Revoked : m_Transactions.revoked(Board.m_Configuration))
    rollBack(*Revoked, "the key was revoked", Now);
  updatePools(Now);
  resolveWrites(Now);
  releaseConfirmed(Now);
  pump(Now);
}

bool OwnerGroup::isActive(Time Now) const {
  return m_IsOwner || (m_LastWork && Now - *m_LastWork < kActiveFor) ||
         m_Transactions.size() > 0;
}

void OwnerGroup::updatePools(Time Now) {
  bool IsActiveNow = isActive(Now);
  for (const std::unique_ptr<Instance> &Member : m_View.instances()) {
    ConnectionPool &Pool = Member->m_Pool;
    Pool.setOpen(IsActiveNow && !Member->m_IsDraining, m_Context.m_Connections,
                 m_Context.m_Actions);
    if (Member->isHealthy(Now))
      Pool.warm(*this, *Member, m_Context.m_Connections,
                m_Context.m_NextConnection, m_Context.m_Actions, Now);
  }
}

FairQueue &OwnerGroup::laneOf(const PendingRequest &Request) {
  if (Request.m_IsLookingUp)
    return m_PrimaryWork;
  switch (Request.m_Request.m_Kind) {
  case RequestKind::Read:
    return Request.m_NeedsPrimary ? m_PrimaryWork : m_Reads;
  case RequestKind::Begin:
    return m_Begins;
  case RequestKind::Execute:
  case RequestKind::Commit:
  case RequestKind::Rollback:
    return m_Steps;
  case RequestKind::Write:
  case RequestKind::Outcome:
    return m_PrimaryWork;
  }
  return m_PrimaryWork;
}

void OwnerGroup::enqueue(PendingRequest &Request, bool AtFront) {
  FairQueue &Lane = laneOf(Request);
  if (AtFront)
    Lane.pushFront(Request);
  else
    Lane.pushBack(Request);
  Request.m_Stage = RequestStage::Queued;
}

void OwnerGroup::delay(PendingRequest &Request, Duration Delay, Time Now) {
  Request.m_TimePlace = m_Timers.emplace(Now + Delay, &Request);
  Request.m_Stage = RequestStage::Delayed;
}

void OwnerGroup::submit(PendingRequest &Request, Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  Request.m_Group = this;
  bool WasActive = isActive(Now);
  m_LastWork = Now;
  if (!WasActive) {
    m_View.probe(m_Context.m_NextProbe, m_Context.m_Actions, Now);
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
    submitStep(Request, Now);
    return;
  }
  if (Admitted.m_Kind == RequestKind::Read) {
    m_Retries.onRequest();
    const ReadRequirement &Requirement = Admitted.m_Requirement;
    // No replica can prove an age of zero.
    Request.m_NeedsConfirmation = Requirement.m_MaxAgeMs
                                      ? *Requirement.m_MaxAgeMs == 0
                                      : Requirement.m_ConfirmedPrimary;
    Request.m_NeedsPrimary = Request.m_NeedsConfirmation;
  } else if (Admitted.m_Kind == RequestKind::Outcome) {
    Request.m_NeedsConfirmation = true;
  }
  if (refuseEarly(Request, laneOf(Request), Now))
    return;
  enqueue(Request, false);
  if (Request.m_NeedsConfirmation)
    m_View.wantRound(Request.m_FirstProbe, m_Context.m_NextProbe,
                     m_Context.m_Actions, Now);
  pump(Now);
}

void OwnerGroup::submitStep(PendingRequest &Request, Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  const TransactionId Id = Admitted.m_Transaction.value_or(TransactionId{});
  const OwnerOptions &Options = m_Context.m_Options;
  if (Id.m_Owner != Options.m_Host ||
      Id.m_Incarnation != Options.m_Incarnation ||
      Id.m_Number >= m_Context.m_NextTransaction) {
    m_Context.fail(Request, ErrorKind::UnknownTransaction, Ran::No,
                   "this host holds no such transaction");
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
                   "another statement of the transaction is running");
    return;
  }
  Open->m_Statement = &Request;
  Open->m_LastUsed = Now;
  Request.m_Transaction = Open;
  enqueue(Request, false);
  pump(Now);
}

bool OwnerGroup::refuseEarly(PendingRequest &Request, const FairQueue &Lane,
                             Time Now) {
  const OrganisationName &Organisation = Request.m_Request.m_Organisation;
  bool IsRead = &Lane == &m_Reads;
  Duration Each = (IsRead ? m_ReadTime : m_PrimaryTime).mean();
  size_t AtOnce = 0;
  for (const std::unique_ptr<Instance> &Member : m_View.instances())
    if ((Member.get() == m_View.primary()) != IsRead &&
        Member->isHealthy(Now) && !Member->m_IsDraining)
      AtOnce += Member->m_Pool.slots() + 1;
  Duration Wait{};
  if (AtOnce > 0 && !Lane.empty())
    Wait = Each * static_cast<int64_t>(Lane.estimateAhead(Organisation)) /
               static_cast<int64_t>(AtOnce) +
           Each;
  bool HasRoom = Lane.hasRoom(Organisation);
  if (HasRoom && Now + Wait <= Request.m_Deadline)
    return false;
  Duration Excess =
      std::max<Duration>(HasRoom ? Now + Wait - Request.m_Deadline : Wait,
                         std::chrono::milliseconds(1));
  m_Context.fail(
      Request, ErrorKind::Overloaded, Ran::No,
      HasRoom ? "the queue is too long for the time left"
              : "the queue of the organisation is full",
      static_cast<uint32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Excess).count()));
  return true;
}

void OwnerGroup::unlink(PendingRequest &Request) {
  switch (Request.m_Stage) {
  case RequestStage::New:
    break;
  case RequestStage::Queued:
    Request.m_Lane->remove(Request);
    break;
  case RequestStage::WaitingForReplica:
    if (Request.m_WaitsForAge)
      m_WaitingForAge.erase(Request.m_AgePlace);
    else
      m_WaitingForPosition.erase(Request.m_PositionPlace);
    m_Timers.erase(Request.m_TimePlace);
    break;
  case RequestStage::Delayed:
    m_Timers.erase(Request.m_TimePlace);
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
    m_WaitingForProof.erase(Request.m_ProbePlace);
    break;
  }
  Request.m_Stage = RequestStage::New;
}

void OwnerGroup::abandon(PendingRequest &Request) {
  Connection *Used = Request.m_Connection;
  unlink(Request);
  ++m_Context.m_Counters.m_AnswersAbandoned;
  if (Used == nullptr)
    return;
  Transaction *Pinned = Used->m_Transaction;
  discard(*Used, false);
  if (Pinned == nullptr)
    return;
  if (Pinned->m_Statement != nullptr)
    Pinned->m_Statement->m_Transaction = nullptr;
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  m_Transactions.close(*Pinned);
}

void OwnerGroup::cancel(PendingRequest &Request, Time Now) {
  Request.m_IsCancelled = true;
  bool IsSent = Request.m_Stage == RequestStage::Sent;
  bool IsExecute = Request.m_Request.m_Kind == RequestKind::Execute;
  if (Request.m_Transaction != nullptr && (IsExecute || !IsSent)) {
    rollBack(*Request.m_Transaction, "the caller is gone", Now);
    return;
  }
  // What was sent is left to end, so that its connection stays usable and the
  // outcome of a write is settled; the result is dropped.
  if (IsSent || Request.m_MayHaveRun)
    return;
  unlink(Request);
  m_Context.complete(Request, RequestResult{});
}

void OwnerGroup::expire(PendingRequest &Request, Time Now) {
  RequestStage Stage = Request.m_Stage;
  bool IsSent = Stage == RequestStage::Sent ||
                Stage == RequestStage::WaitingForConfirmation;
  Transaction *Open = Request.m_Transaction;
  if (Stage == RequestStage::Sent) {
    abandon(Request);
  } else {
    unlink(Request);
    if (Open != nullptr) {
      Open->m_Statement = nullptr;
      Request.m_Transaction = nullptr;
      rollBack(*Open, "the deadline of a statement passed", Now);
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
  bool IsHeld = !isFresh(m_Context.m_Board, Now);
  bool HasPrimary = m_View.isPrimaryUsable(Now);
  if (IsHeld)
    m_Context.fail(Request, ErrorKind::ConfigurationStale, Ran::No,
                   "the deadline passed without a current configuration");
  else if (!HasPrimary)
    m_Context.fail(Request, ErrorKind::NoPrimary, Ran::No,
                   "the database had no primary until the deadline");
  else
    m_Context.fail(Request, ErrorKind::DeadlineExceeded, Ran::No,
                   "the deadline passed in the queue");
}

bool OwnerGroup::refuseStale(PendingRequest &Request) {
  bool IsWaiting = Request.m_Stage == RequestStage::Queued ||
                   Request.m_Stage == RequestStage::WaitingForReplica ||
                   Request.m_Stage == RequestStage::Delayed;
  if (!IsWaiting || Request.m_MayHaveRun)
    return false;
  unlink(Request);
  if (Request.m_Transaction != nullptr)
    Request.m_Transaction->m_Statement = nullptr;
  m_Context.fail(Request, ErrorKind::ConfigurationStale, Ran::No,
                 "no control host proved that the configuration is current");
  return true;
}

void OwnerGroup::rollBack(Transaction &Transaction, const char *Reason,
                          Time Now) {
  PendingRequest *Statement = Transaction.m_Statement;
  ++m_Context.m_Counters.m_TransactionsRolledBack;
  if (Statement != nullptr) {
    unlink(*Statement);
    Statement->m_Transaction = nullptr;
  }
  bool WasCommitting = Statement != nullptr && Statement->m_MayHaveRun &&
                       Statement->m_Request.m_Kind == RequestKind::Commit;
  discard(*Transaction.m_Connection, false);
  m_Transactions.close(Transaction);
  if (Statement == nullptr)
    return;
  if (WasCommitting)
    lookUpOutcome(*Statement, Now);
  else
    m_Context.fail(*Statement, ErrorKind::TransactionLost,
                   Statement->m_MayHaveRun ? Ran::Unknown : Ran::No, Reason);
}

void OwnerGroup::leaveFormerPrimary(Instance &Former, Time Now) {
  m_Context.m_Actions.emplace_back(ReportStateChange{
      "database " + m_Database.m_Value + ": primary " +
      Former.m_Record.m_Name.m_Value + " is replaced in term " +
      std::to_string(m_View.record().m_PrimaryTerm)});
  for (Transaction *Open : m_Transactions.all())
    if (Open->m_Instance == &Former)
      rollBack(*Open, "the primary was replaced", Now);
  // A write with an identifier is looked up at the new primary; one without
  // may still be answered.
  std::vector<PendingRequest *> Sent;
  for (const Connection *Used : Former.m_Pool.all())
    if (Used->m_Request != nullptr && Used->m_Request->m_SentTerm != 0)
      Sent.push_back(Used->m_Request);
  for (PendingRequest *Request : Sent) {
    bool Changes = Request->m_MayHaveRun;
    if (Changes && Request->m_Request.m_RequestId.empty())
      continue;
    abandon(*Request);
    if (Changes)
      lookUpOutcome(*Request, Now);
    else
      enqueue(*Request, true);
  }
  // Results that wait for a proof in the former term are read again.
  std::multimap<uint64_t, PendingRequest *> Unproved;
  Unproved.swap(m_WaitingForProof);
  for (const std::pair<const uint64_t, PendingRequest *> &Entry : Unproved) {
    Entry.second->m_Stage = RequestStage::New;
    enqueue(*Entry.second, true);
  }
  Former.m_Pool.retire(m_Context.m_Connections, m_Context.m_Actions);
}

void OwnerGroup::removeInstance(Instance &Instance, Time Now) {
  for (Transaction *Open : m_Transactions.all())
    if (Open->m_Instance == &Instance)
      rollBack(*Open, "the instance was removed", Now);
  std::vector<Connection *> All = Instance.m_Pool.all();
  for (Connection *Left : All) {
    PendingRequest *Request = Left->m_Request;
    if (Request == nullptr) {
      discard(*Left, false);
      continue;
    }
    unlink(*Request);
    onFailure(*Request, *Left, false, false, Now);
  }
}

void OwnerGroup::onClosed(Connection &Connection, Time Now) {
  InstanceAnswered Event{Connection.m_Id,
                         InstanceFailure{"closed by the instance", false}};
  if (Connection.m_IsWarming || Connection.m_Request != nullptr) {
    onAnswered(Connection, Event, Now);
    return;
  }
  Transaction *Pinned = Connection.m_Transaction;
  if (Pinned == nullptr) {
    discard(Connection, true);
    return;
  }
  rollBack(*Pinned, "the connection to the instance was lost", Now);
  pump(Now);
}

bool OwnerGroup::onProbeAnswered(const ProbeAnswered &Event, Time Now) {
  Instance *Answered = m_View.onProbeAnswered(Event, Now);
  if (Answered == nullptr)
    return false;
  if (!Event.m_Status)
    return true;
  if (Answered->m_Pool.open() == 0)
    updatePools(Now);
  resolveWrites(Now);
  releaseConfirmed(Now);
  wakeWaitingReads(*Answered, Now);
  pump(Now);
  return true;
}

void OwnerGroup::runTimers(Time Now) {
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

void OwnerGroup::checkInstances(Time Now) {
  for (const std::unique_ptr<Instance> &Member : m_View.instances()) {
    bool IsHealthy = Member->isHealthy(Now);
    if (IsHealthy != Member->m_WasHealthy)
      m_Context.m_Actions.emplace_back(
          ReportStateChange{"database " + m_Database.m_Value + ": instance " +
                            Member->m_Record.m_Name.m_Value +
                            (IsHealthy ? " is healthy" : " is unhealthy")});
    bool HasFailed = Member->m_WasHealthy && !IsHealthy;
    Member->m_WasHealthy = IsHealthy;
    std::vector<Connection *> All = Member->m_Pool.all();
    for (Connection *Used : All) {
      if (Used->m_IsWarming && Now - Used->m_SentAt > kWarmUpTimeout) {
        discard(*Used, false);
        Member->m_Pool.onWarmUpFailed(Now);
        continue;
      }
      PendingRequest *Request = Used->m_Request;
      if (!HasFailed || Request == nullptr ||
          Request->m_Request.m_Kind != RequestKind::Read)
        continue;
      // Another instance may serve the read in time.
      abandon(*Request);
      retryRead(*Request, Now);
    }
  }
}

void OwnerGroup::tick(Time Now) {
  if (m_IsObserver || isActive(Now))
    m_View.probe(m_Context.m_NextProbe, m_Context.m_Actions, Now);
  m_View.expireProbes(Now);
  std::chrono::milliseconds DrainTimeout(
      m_Context.m_Board.m_Configuration.currentPreset().m_DrainTimeoutMs);
  for (Transaction *Over : m_Transactions.expired(Now, DrainTimeout))
    if (Over->m_Statement == nullptr ||
        Over->m_Statement->m_Request.m_Kind != RequestKind::Commit ||
        Over->m_Statement->m_Stage != RequestStage::Sent)
      rollBack(*Over, "the transaction was open for too long", Now);
  checkInstances(Now);
  runTimers(Now);
  updatePools(Now);
  m_View.wantRound(0, m_Context.m_NextProbe, m_Context.m_Actions, Now);
  pump(Now);
}

void OwnerGroup::appendReports(std::vector<InstanceReport> &Reports,
                               Time Now) const {
  if (m_IsObserver)
    m_View.appendReports(Reports, Now);
}

} // namespace almondpier
