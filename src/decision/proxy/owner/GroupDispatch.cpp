#include "decision/Invariant.h"
#include "decision/proxy/owner/OwnerGroup.h"

#include <algorithm>

namespace almondpier {

/// How long a read waits for a replica before the primary serves it.
constexpr Duration kReplicaPatience = std::chrono::milliseconds(20);
/// A read that waited this long for a busy replica may use a free slot of the
/// primary.
constexpr Duration kSpillAfter = std::chrono::milliseconds(5);

void OwnerGroup::pump(Time Now) {
  if (!isFresh(m_Context.m_Board, Now))
    return;
  if (!m_Steps.empty())
    pumpSteps(Now);
  if (!m_PrimaryWork.empty() || !m_Begins.empty())
    pumpPrimary(Now);
  if (!m_Reads.empty())
    pumpReads(Now);
}

bool OwnerGroup::mayDispatch(PendingRequest &Request, const Instance *Target,
                             Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  if (!isKeyInForce(m_Context.m_Board.m_Configuration, Admitted.m_Key,
                    Admitted.m_Organisation)) {
    Transaction *Open = Request.m_Transaction;
    unlink(Request);
    if (Open != nullptr) {
      Open->m_Statement = nullptr;
      rollBack(*Open, "the key was revoked", Now);
    }
    if (Request.m_MayHaveRun)
      m_Context.fail(Request, ErrorKind::OutcomeUnknown, Ran::Unknown,
                     "the key was revoked before the outcome was known");
    else
      m_Context.fail(Request, ErrorKind::UnknownKey, Ran::No,
                     "the key is not in force");
    return false;
  }
  // With nothing outstanding the request goes ahead in any case, so that one
  // slow period does not block the group for good.
  if (Request.m_MayHaveRun || Target == nullptr ||
      Target->m_Pool.outstanding() == 0 || Request.m_Transaction != nullptr)
    return true;
  Duration Needed =
      (Target == m_View.primary() ? m_PrimaryTime : m_ReadTime).mean();
  if (Now + Needed <= Request.m_Deadline)
    return true;
  unlink(Request);
  m_Context.fail(
      Request, ErrorKind::Overloaded, Ran::No,
      "the time left is shorter than the database takes",
      static_cast<uint32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(Needed).count()));
  return false;
}

void OwnerGroup::pumpSteps(Time Now) {
  while (!m_Steps.empty()) {
    PendingRequest &Request = m_Steps.next();
    Transaction &Open = *Request.m_Transaction;
    if (!Open.m_Instance->m_Pool.hasSlot())
      return;
    if (!mayDispatch(Request, nullptr, Now))
      continue;
    Connection &Pinned = *Open.m_Connection;
    requireInvariant(Pinned.m_Transaction == &Open &&
                         Open.m_Organisation ==
                             Request.m_Request.m_Organisation &&
                         Open.m_Key == Request.m_Request.m_Key,
                     "R3", "a statement of another caller in a transaction");
    m_Steps.popNext();
    send(Request, Pinned, 0, Now);
  }
}

void OwnerGroup::pumpPrimary(Time Now) {
  if (!m_View.isPrimaryUsable(Now) || Now < m_View.primary()->m_PausedUntil)
    return;
  bool HasMore = true;
  while (HasMore) {
    FairQueue &First = m_BeginsNext ? m_Begins : m_PrimaryWork;
    FairQueue &Second = m_BeginsNext ? m_PrimaryWork : m_Begins;
    HasMore = sendNextOf(First, Now) || sendNextOf(Second, Now);
    m_BeginsNext = !m_BeginsNext;
  }
}

bool OwnerGroup::sendNextOf(FairQueue &Lane, Time Now) {
  Instance &Primary = *m_View.primary();
  ConnectionPool &Pool = Primary.m_Pool;
  while (!Lane.empty()) {
    if (!Pool.hasCapacity() || (&Lane == &m_Begins && !Pool.canPin()))
      return false;
    PendingRequest &Request = Lane.next();
    if (!mayDispatch(Request, &Primary, Now))
      continue;
    Lane.popNext();
    Connection &Taken = Pool.take();
    if (&Lane == &m_Begins) {
      Transaction &Opened = m_Transactions.open(m_Context.m_NextTransaction++,
                                                Request, Taken, Now);
      Opened.m_Statement = &Request;
      Request.m_Transaction = &Opened;
      Pool.pin(Taken, Opened);
    }
    send(Request, Taken, m_View.record().m_PrimaryTerm, Now);
    return true;
  }
  return false;
}

void OwnerGroup::pumpReads(Time Now) {
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.currentPreset().m_MaxReadAgeMs;
  while (!m_Reads.empty()) {
    PendingRequest &Request = m_Reads.next();
    ReadRouter::Choice Choice =
        m_Router.choose(m_View, Request, MaxReadAgeMs, Now);
    Instance *Primary = m_View.primary();
    if (Choice.m_Instance == nullptr && Choice.m_HasCandidate) {
      bool MaySpill = Now - Request.m_Arrived >= kSpillAfter &&
                      m_PrimaryWork.empty() && m_View.isPrimaryUsable(Now) &&
                      Now >= Primary->m_PausedUntil &&
                      Primary->m_Pool.hasCapacity() &&
                      Primary->m_Pool.outstanding() < Primary->m_Pool.slots();
      if (!MaySpill)
        return;
      Choice.m_Instance = Primary;
    }
    if (!mayDispatch(Request, Choice.m_Instance, Now))
      continue;
    m_Reads.popNext();
    if (Choice.m_Instance == nullptr) {
      waitForReplica(Request, Now);
      continue;
    }
    uint64_t Term =
        Choice.m_Instance == Primary ? m_View.record().m_PrimaryTerm : 0;
    send(Request, Choice.m_Instance->m_Pool.take(), Term, Now);
  }
}

void OwnerGroup::moveToPrimary(PendingRequest &Request) {
  Request.m_NeedsPrimary = true;
  enqueue(Request, false);
}

void OwnerGroup::waitForReplica(PendingRequest &Request, Time Now) {
  const ReadRequirement &Requirement = Request.m_Request.m_Requirement;
  bool HasReplica = false;
  for (const std::unique_ptr<Instance> &Member : m_View.instances()) {
    if (Member.get() == m_View.primary() || Member->m_IsDraining ||
        !Member->isHealthy(Now))
      continue;
    HasReplica = true;
    if (!Requirement.m_MaxAgeMs && Requirement.m_Position.m_Index > 0)
      m_View.waitFor(*Member, Requirement.m_Position, m_Context.m_NextProbe,
                     m_Context.m_Actions, Now);
  }
  Time GiveUp = Request.m_Arrived + kReplicaPatience;
  if (!HasReplica || Now >= GiveUp) {
    moveToPrimary(Request);
    pumpPrimary(Now);
    return;
  }
  Request.m_Stage = RequestStage::WaitingForReplica;
  Request.m_TimePlace = m_Timers.emplace(GiveUp, &Request);
  Request.m_WaitsForAge = Requirement.m_MaxAgeMs.has_value();
  if (Request.m_WaitsForAge) {
    Request.m_AgePlace =
        m_WaitingForAge.insert(m_WaitingForAge.end(), &Request);
    m_View.wantRound(Request.m_FirstProbe, m_Context.m_NextProbe,
                     m_Context.m_Actions, Now);
  } else {
    Request.m_PositionPlace =
        m_WaitingForPosition.emplace(Requirement.m_Position, &Request);
  }
}

void OwnerGroup::wakeWaitingReads(const Instance &Changed, Time Now) {

  while (!m_WaitingForPosition.empty() &&
         Changed.m_Position >= m_WaitingForPosition.begin()->first) {
    PendingRequest &Request = *m_WaitingForPosition.begin()->second;
    unlink(Request);
    enqueue(Request, false);
  }
  uint32_t MaxReadAgeMs =
      m_Context.m_Board.m_Configuration.currentPreset().m_MaxReadAgeMs;
  for (auto It = m_WaitingForAge.begin(); It != m_WaitingForAge.end();) {
    PendingRequest &Request = **It;
    ++It;
    if (!m_Router.choose(m_View, Request, MaxReadAgeMs, Now).m_HasCandidate)
      continue;
    unlink(Request);
    enqueue(Request, false);
  }
}

void OwnerGroup::send(PendingRequest &Request, Connection &Connection,
                      uint64_t Term, Time Now) {
  const AdmittedRequest &Admitted = Request.m_Request;
  RequestKind Kind =
      Request.m_IsLookingUp ? RequestKind::Outcome : Admitted.m_Kind;
  bool Changes = Kind != RequestKind::Read && Kind != RequestKind::Outcome &&
                 Kind != RequestKind::Rollback;
  requireInvariant(!Changes || !Request.m_MayHaveRun, "R10",
                   "a request that may have run is sent again");
  requireInvariant(Connection.m_Request == nullptr, "R8",
                   "a connection carries two requests");
  if (Changes)
    Request.m_MayHaveRun = true;
  Request.m_SentTerm = Term;
  Request.m_Connection = &Connection;
  Request.m_Stage = RequestStage::Sent;
  Connection.m_Request = &Request;
  Connection.m_Instance->m_Pool.onSent(Connection, Now);

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
