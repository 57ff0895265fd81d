#include "decision/control/GroupFailover.h"

#include "decision/Invariant.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Longer than a consensus round. A proposal without effect after this time is
/// repeated.
constexpr Duration kProposalTimeout = std::chrono::milliseconds(500);
constexpr uint32_t kCallTimeoutMs = 300;
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
/// After a majority is sealed, waits this long for the remaining instances,
/// because one of them may hold more unacknowledged entries.
constexpr Duration kSealGracePeriod = std::chrono::milliseconds(20);
/// How long to wait for a majority of instances that are not draining.
constexpr Duration kNonDrainingSealTimeout = std::chrono::milliseconds(500);
constexpr uint32_t kMaxPromoteAttempts = 3;
constexpr int kHttpConflict = 409;
constexpr int kHttpOk = 200;

} // namespace

void PendingInstanceCalls::send(const Call &Call,
                                const InstanceRecord &Instance,
                                const InstanceRecord *Primary,
                                ControlContext &Context) {
  InstanceCallId Id{++m_LastId};
  m_Calls.emplace(Id, Call);
  CallInstance Action;
  Action.m_Call = Id;
  Action.m_Kind = Call.m_Kind;
  Action.m_Platform = Instance.m_PlatformEndpoint;
  Action.m_Term = Call.m_Term;
  if (Primary != nullptr) {
    Action.m_Primary = Primary->m_Name;
    Action.m_PrimaryPlatform = Primary->m_PlatformEndpoint;
  }
  Action.m_TimeoutMs = kCallTimeoutMs;
  Context.m_Actions.push_back(std::move(Action));
}

std::optional<PendingInstanceCalls::Call>
PendingInstanceCalls::take(InstanceCallId Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return std::nullopt;
  Call Result = std::move(Found->second);
  m_Calls.erase(Found);
  return Result;
}

std::string_view nameOf(GroupFailover::Step Step) {
  switch (Step) {
  case GroupFailover::Step::Begin:
    return "begin";
  case GroupFailover::Step::Seal:
    return "seal";
  case GroupFailover::Step::Promote:
    return "promote";
  case GroupFailover::Step::Publish:
    return "publish";
  case GroupFailover::Step::Done:
    return "done";
  }
  return "unknown";
}

void GroupFailover::tick(const DatabaseRecord &Record,
                         PendingInstanceCalls &Calls, ControlContext &Context) {
  if (m_Step != Step::Begin && m_Step != Step::Done &&
      Record.m_BegunTerm > m_Term)
    restart("a later term has begun", Context);
  if (m_Step == Step::Begin)
    beginTerm(Record, Context);
  if (m_Step == Step::Seal)
    seal(Record, Calls, Context);
  if (m_Step == Step::Promote)
    promote(Record, Calls, Context);
  if (m_Step == Step::Publish)
    publish(Record, Context);
}

void GroupFailover::enterStep(Step Step, Time Now) {
  durationOf(m_Step) += Now - m_StepStartedAt;
  m_Step = Step;
  m_StepStartedAt = Now;
  m_ProposedAt.reset();
  m_CallStates.clear();
}

Duration &GroupFailover::durationOf(Step Step) {
  switch (Step) {
  case Step::Begin:
    return m_Record.m_Begin;
  case Step::Seal:
    return m_Record.m_Seal;
  case Step::Promote:
    return m_Record.m_Promote;
  case Step::Publish:
  case Step::Done:
    return m_Record.m_Publish;
  }
  return m_Record.m_Publish;
}

void GroupFailover::restart(const std::string &Reason,
                            ControlContext &Context) {
  Context.reportStateChange("database " + m_Database.m_Value + ": term " +
                            std::to_string(m_Term) + " abandoned: " + Reason);
  enterStep(Step::Begin, Context.m_Now);
  m_Term = 0;
  m_RetryAt = Context.m_Now + kRetryInterval;
  m_SealedPositions.clear();
  m_MajoritySealedAt.reset();
  m_PromotedInstance = {};
  m_PromoteAttempts = 0;
  ++m_Restarts;
}

void GroupFailover::beginTerm(const DatabaseRecord &Record,
                              ControlContext &Context) {
  if (m_RetryAt && Context.m_Now < *m_RetryAt)
    return;
  if (m_Term == 0)
    m_Term = Record.m_BegunTerm + 1;
  if (Record.m_BegunTerm >= m_Term) {
    // Only the leader proposes terms, so the begun term is the one that it
    // proposed.
    m_Term = Record.m_BegunTerm;
    return enterStep(Step::Seal, Context.m_Now);
  }
  if (m_ProposedAt && Context.m_Now - *m_ProposedAt < kProposalTimeout)
    return;
  m_ProposedAt = Context.m_Now;
  Context.proposeBySystem(BeginTerm{m_Database, m_Term},
                          Context.m_Board.m_Self.m_Host.m_Value);
}

void GroupFailover::seal(const DatabaseRecord &Record,
                         PendingInstanceCalls &Calls, ControlContext &Context) {
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Instances) {
    CallState &State = m_CallStates[Entry.first];
    bool IsRetryTooEarly = State.m_LastCallAt &&
                           Context.m_Now - *State.m_LastCallAt < kRetryInterval;
    if (m_SealedPositions.contains(Entry.first) || State.m_IsPending ||
        IsRetryTooEarly)
      continue;
    State = {Context.m_Now, true};
    Calls.send({m_Database, Entry.first, InstanceCallKind::Seal, m_Term},
               Entry.second, nullptr, Context);
  }
  std::optional<InstanceName> Candidate =
      selectCandidate(Record, Context.m_Now);
  if (!Candidate)
    return;
  m_PromotedInstance = *Candidate;
  enterStep(Step::Promote, Context.m_Now);
}

std::optional<InstanceName>
GroupFailover::selectCandidate(const DatabaseRecord &Record, Time Now) {
  std::vector<std::pair<Position, InstanceName>> Sealed;
  std::vector<std::pair<Position, InstanceName>> NonDraining;
  for (const std::pair<const InstanceName, Position> &Entry :
       m_SealedPositions) {
    if (!Record.m_Instances.contains(Entry.first))
      continue;
    Sealed.emplace_back(Entry.second, Entry.first);
    if (!Record.m_Draining.contains(Entry.first))
      NonDraining.emplace_back(Entry.second, Entry.first);
  }
  if (Sealed.size() < Record.majority())
    return std::nullopt;
  if (!m_MajoritySealedAt)
    m_MajoritySealedAt = Now;
  bool IsComplete = Sealed.size() == Record.m_Instances.size();
  if (!IsComplete && Now - *m_MajoritySealedAt < kSealGracePeriod)
    return std::nullopt;
  if (NonDraining.size() >= Record.majority())
    return std::max_element(NonDraining.begin(), NonDraining.end())->second;
  if (!IsComplete && Now - *m_MajoritySealedAt < kNonDrainingSealTimeout)
    return std::nullopt;
  return std::max_element(Sealed.begin(), Sealed.end())->second;
}

void GroupFailover::promote(const DatabaseRecord &Record,
                            PendingInstanceCalls &Calls,
                            ControlContext &Context) {
  auto Instance = Record.m_Instances.find(m_PromotedInstance);
  if (Instance == Record.m_Instances.end())
    return restart("the selected instance was removed", Context);
  CallState &State = m_CallStates[m_PromotedInstance];
  bool IsRetryTooEarly = State.m_LastCallAt &&
                         Context.m_Now - *State.m_LastCallAt < kRetryInterval;
  if (State.m_IsPending || IsRetryTooEarly)
    return;
  // The instance may have been promoted even if its answer was lost, so no
  // other instance may be promoted in this term.
  if (m_PromoteAttempts == kMaxPromoteAttempts)
    return restart("instance " + m_PromotedInstance.m_Value +
                       " did not answer the promotion requests",
                   Context);
  ++m_PromoteAttempts;
  State = {Context.m_Now, true};
  Calls.send(
      {m_Database, m_PromotedInstance, InstanceCallKind::Promote, m_Term},
      Instance->second, nullptr, Context);
}

void GroupFailover::publish(const DatabaseRecord &Record,
                            ControlContext &Context) {
  if (Record.m_PrimaryTerm == m_Term) {
    requireInvariant(Record.m_Primary == m_PromotedInstance, "R2",
                     "one instance is promoted in a term");
    return enterStep(Step::Done, Context.m_Now);
  }
  if (!Record.m_Instances.contains(m_PromotedInstance))
    return restart("the promoted instance was removed", Context);
  if (m_ProposedAt && Context.m_Now - *m_ProposedAt < kProposalTimeout)
    return;
  m_ProposedAt = Context.m_Now;
  Context.proposeBySystem(ElectPrimary{m_Database, m_PromotedInstance,
                                       TermStart{m_Term, m_StartIndex}},
                          Context.m_Board.m_Self.m_Host.m_Value);
}

void GroupFailover::onAnswered(const PendingInstanceCalls::Call &Call,
                               const InstanceCallAnswered &Answer,
                               ControlContext &Context) {
  bool IsSeal = Call.m_Kind == InstanceCallKind::Seal && m_Step == Step::Seal;
  bool IsPromote =
      Call.m_Kind == InstanceCallKind::Promote && m_Step == Step::Promote;
  if (Call.m_Term != m_Term || (!IsSeal && !IsPromote))
    return;
  m_CallStates[Call.m_Instance].m_IsPending = false;
  if (Answer.m_HttpStatus == kHttpConflict)
    return restart("instance " + Call.m_Instance.m_Value +
                       " is sealed for a different term",
                   Context);
  if (Answer.m_HttpStatus != kHttpOk)
    return;
  if (IsPromote && Answer.m_StartIndex) {
    m_StartIndex = *Answer.m_StartIndex;
    return enterStep(Step::Publish, Context.m_Now);
  }
  // Checks the name, because another instance may have taken over the address.
  if (IsSeal && Answer.m_Status &&
      Answer.m_Status->m_Instance == Call.m_Instance &&
      Answer.m_Status->m_SealedTerm == m_Term)
    m_SealedPositions[Call.m_Instance] = Answer.m_Status->m_Position;
}

FailoverRecord GroupFailover::record(Time Now) const {
  FailoverRecord Result = m_Record;
  Result.m_Database = m_Database;
  Result.m_Term = m_Term;
  Result.m_Primary = m_PromotedInstance;
  Result.m_Reason = m_Reason;
  Result.m_Total = Now - m_StartedAt;
  return Result;
}

} // namespace almondpier
