#include "decision/control/GroupFailover.h"

#include "decision/Invariant.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Longer than a round of consensus; a proposal without effect is repeated.
constexpr Duration kProposalTimeout = std::chrono::milliseconds(500);
constexpr uint32_t kCallTimeoutMs = 300;
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
/// After a majority is sealed, others get this time to answer, because one of
/// them may hold more of what was not acknowledged.
constexpr Duration kLateSealWait = std::chrono::milliseconds(20);
/// Longest wait for a majority without the draining instances.
constexpr Duration kDrainedSealWait = std::chrono::milliseconds(500);
constexpr uint32_t kMaxPromoteTries = 3;
constexpr int kConflict = 409;
constexpr int kOk = 200;

} // namespace

void InstanceCalls::send(const Call &Call, const InstanceRecord &Instance,
                         const InstanceRecord *Primary,
                         ControlContext &Context) {
  InstanceCallId Id{++m_LastId};
  m_Calls.emplace(Id, Call);
  CallInstance Action;
  Action.m_Call = Id;
  Action.m_Kind = Call.m_Kind;
  Action.m_Platform = Instance.m_Platform;
  Action.m_Term = Call.m_Term;
  if (Primary != nullptr) {
    Action.m_Primary = Primary->m_Name;
    Action.m_PrimaryPlatform = Primary->m_Platform;
  }
  Action.m_TimeoutMs = kCallTimeoutMs;
  Context.m_Actions.push_back(std::move(Action));
}

std::optional<InstanceCalls::Call> InstanceCalls::take(InstanceCallId Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return std::nullopt;
  Call Taken = std::move(Found->second);
  m_Calls.erase(Found);
  return Taken;
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

void GroupFailover::tick(const DatabaseRecord &Record, InstanceCalls &Calls,
                         ControlContext &Context) {
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

void GroupFailover::enter(Step Step, Time Now) {
  durationOf(m_Step) += Now - m_StepStartedAt;
  m_Step = Step;
  m_StepStartedAt = Now;
  m_ProposedAt.reset();
  m_Targets.clear();
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

void GroupFailover::restart(const std::string &Why, ControlContext &Context) {
  Context.reportStateChange("database " + m_Database.m_Value + ": term " +
                            std::to_string(m_Term) + " is given up: " + Why);
  enter(Step::Begin, Context.m_Now);
  m_Term = 0;
  m_NotBefore = Context.m_Now + kRetryInterval;
  m_Sealed.clear();
  m_MajorityAt.reset();
  m_Promoted = {};
  m_PromoteTries = 0;
  ++m_Restarts;
}

void GroupFailover::beginTerm(const DatabaseRecord &Record,
                              ControlContext &Context) {
  if (m_NotBefore && Context.m_Now < *m_NotBefore)
    return;
  if (m_Term == 0)
    m_Term = Record.m_BegunTerm + 1;
  if (Record.m_BegunTerm >= m_Term) {
    // Only this leader proposes terms while it leads, so the term is its own.
    m_Term = Record.m_BegunTerm;
    return enter(Step::Seal, Context.m_Now);
  }
  if (m_ProposedAt && Context.m_Now - *m_ProposedAt < kProposalTimeout)
    return;
  m_ProposedAt = Context.m_Now;
  Context.proposeBySystem(BeginTerm{m_Database, m_Term},
                          Context.m_Board.m_Self.m_Host.m_Value);
}

void GroupFailover::seal(const DatabaseRecord &Record, InstanceCalls &Calls,
                         ControlContext &Context) {
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Instances) {
    Target &Target = m_Targets[Entry.first];
    bool IsTooEarly =
        Target.m_AskedAt && Context.m_Now - *Target.m_AskedAt < kRetryInterval;
    if (m_Sealed.contains(Entry.first) || Target.m_IsAwaited || IsTooEarly)
      continue;
    Target = {Context.m_Now, true};
    Calls.send({m_Database, Entry.first, InstanceCallKind::Seal, m_Term},
               Entry.second, nullptr, Context);
  }
  std::optional<InstanceName> Chosen = chooseSealed(Record, Context.m_Now);
  if (!Chosen)
    return;
  m_Promoted = *Chosen;
  enter(Step::Promote, Context.m_Now);
}

std::optional<InstanceName>
GroupFailover::chooseSealed(const DatabaseRecord &Record, Time Now) {
  std::vector<std::pair<Position, InstanceName>> All;
  std::vector<std::pair<Position, InstanceName>> Staying;
  for (const std::pair<const InstanceName, Position> &Entry : m_Sealed) {
    if (!Record.m_Instances.contains(Entry.first))
      continue;
    All.emplace_back(Entry.second, Entry.first);
    if (!Record.m_Draining.contains(Entry.first))
      Staying.emplace_back(Entry.second, Entry.first);
  }
  if (All.size() < Record.majority())
    return std::nullopt;
  if (!m_MajorityAt)
    m_MajorityAt = Now;
  bool IsComplete = All.size() == Record.m_Instances.size();
  if (!IsComplete && Now - *m_MajorityAt < kLateSealWait)
    return std::nullopt;
  if (Staying.size() >= Record.majority())
    return std::max_element(Staying.begin(), Staying.end())->second;
  if (!IsComplete && Now - *m_MajorityAt < kDrainedSealWait)
    return std::nullopt;
  return std::max_element(All.begin(), All.end())->second;
}

void GroupFailover::promote(const DatabaseRecord &Record, InstanceCalls &Calls,
                            ControlContext &Context) {
  auto Instance = Record.m_Instances.find(m_Promoted);
  if (Instance == Record.m_Instances.end())
    return restart("the chosen instance was removed", Context);
  Target &Target = m_Targets[m_Promoted];
  bool IsTooEarly =
      Target.m_AskedAt && Context.m_Now - *Target.m_AskedAt < kRetryInterval;
  if (Target.m_IsAwaited || IsTooEarly)
    return;
  // The instance may have been promoted although its answer was lost, so no
  // other may be promoted in this term.
  if (m_PromoteTries == kMaxPromoteTries)
    return restart("instance " + m_Promoted.m_Value + " does not answer",
                   Context);
  ++m_PromoteTries;
  Target = {Context.m_Now, true};
  Calls.send({m_Database, m_Promoted, InstanceCallKind::Promote, m_Term},
             Instance->second, nullptr, Context);
}

void GroupFailover::publish(const DatabaseRecord &Record,
                            ControlContext &Context) {
  if (Record.m_PrimaryTerm == m_Term) {
    requireInvariant(Record.m_Primary == m_Promoted, "R2",
                     "one instance is promoted in a term");
    return enter(Step::Done, Context.m_Now);
  }
  if (!Record.m_Instances.contains(m_Promoted))
    return restart("the promoted instance was removed", Context);
  if (m_ProposedAt && Context.m_Now - *m_ProposedAt < kProposalTimeout)
    return;
  m_ProposedAt = Context.m_Now;
  Context.proposeBySystem(
      ElectPrimary{m_Database, m_Promoted, TermStart{m_Term, m_StartIndex}},
      Context.m_Board.m_Self.m_Host.m_Value);
}

void GroupFailover::onAnswered(const InstanceCalls::Call &Call,
                               const InstanceCallAnswered &Answer,
                               ControlContext &Context) {
  bool IsSeal = Call.m_Kind == InstanceCallKind::Seal && m_Step == Step::Seal;
  bool IsPromote =
      Call.m_Kind == InstanceCallKind::Promote && m_Step == Step::Promote;
  if (Call.m_Term != m_Term || (!IsSeal && !IsPromote))
    return;
  m_Targets[Call.m_Instance].m_IsAwaited = false;
  if (Answer.m_HttpStatus == kConflict)
    return restart("instance " + Call.m_Instance.m_Value +
                       " is sealed at another term",
                   Context);
  if (Answer.m_HttpStatus != kOk)
    return;
  if (IsPromote && Answer.m_StartIndex) {
    m_StartIndex = *Answer.m_StartIndex;
    return enter(Step::Publish, Context.m_Now);
  }
  // Another instance may have taken the address.
  if (IsSeal && Answer.m_Status &&
      Answer.m_Status->m_Instance == Call.m_Instance &&
      Answer.m_Status->m_SealedTerm == m_Term)
    m_Sealed[Call.m_Instance] = Answer.m_Status->m_Position;
}

FailoverRecord GroupFailover::record(Time Now) const {
  FailoverRecord Result = m_Record;
  Result.m_Database = m_Database;
  Result.m_Term = m_Term;
  Result.m_Primary = m_Promoted;
  Result.m_Reason = m_Reason;
  Result.m_Total = Now - m_StartedAt;
  return Result;
}

} // namespace almondpier
