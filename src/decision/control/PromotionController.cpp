#include "decision/control/PromotionController.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Groups are looked at this often; a tenth of the shortest reaction below.
constexpr Duration kWatchInterval = milliseconds(30);
/// A primary that hosts report unreachable for so long is lost. Above the time
/// of a new connection and a slow statement, below what callers wait.
constexpr uint32_t kUnreachableMs = 450;
/// Reports are renewed with each heartbeat of 250 ms.
constexpr Duration kReportValidity = milliseconds(800);
/// A primary that has not checked in for so long is lost as soon as one host
/// reports it unreachable: two intervals of check-ins and a retry.
constexpr Duration kSilence = milliseconds(3'000);
/// A restarted primary announces its role at once; a group stays without a
/// primary for so long before one is chosen.
constexpr Duration kVacancy = milliseconds(1'500);
/// Time for replicas to state their positions.
constexpr Duration kPositionWait = milliseconds(250);
constexpr uint32_t kPositionTimeoutMs = 400;
/// A call to the platform takes a promotion of up to a second.
constexpr uint32_t kPromoteTimeoutMs = 1'500;
/// Time for a promoted instance to announce its role after the call returned.
constexpr Duration kRoleWait = milliseconds(3'000);
constexpr Duration kRetryPause = milliseconds(300);
constexpr Duration kRefusalPause = milliseconds(1'500);
/// Tokens of one leader; a leader makes far fewer attempts in its term.
constexpr uint64_t kTokensPerTerm = 1'000'000;
/// Replicas are sealed for a term above any that the group has reached.
constexpr uint64_t kSealTermStep = 1;

} // namespace

void PromotionController::enter(Group &Group, Step Step, Time Now) {
  Group.m_Step = Step;
  Group.m_StepSince = Now;
}

void PromotionController::endAttempt(Group &Group, Duration Pause, Time Now) {
  enter(Group, Step::Watch, Now);
  Group.m_NotBefore = Now + Pause;
  Group.m_Candidates.clear();
  Group.m_Chosen.reset();
}

std::map<DatabaseName, PromotionController::Members>
PromotionController::membersByDatabase() const {
  std::map<DatabaseName, Members> Result;
  for (const InstanceDescription &Instance : m_Board.m_Directory.m_Instances)
    Result[Instance.m_Database].push_back(&Instance);
  return Result;
}

uint32_t PromotionController::syncReplicasOf(const DatabaseName &Name) const {
  const std::map<DatabaseName, GroupPolicy> &Groups =
      m_Board.configuration().policy().m_Groups;
  auto Found = Groups.find(Name);
  return Found == Groups.end() ? 0 : Found->second.m_SyncReplicas;
}

void PromotionController::tick(ControlContext &Context) {
  if (!m_Board.m_IsLeader || m_Board.m_IsShuttingDown) {
    m_Groups.clear();
    m_Calls.clear();
    return;
  }
  if (m_Term != m_Board.m_Term) {
    m_Term = m_Board.m_Term;
    m_Attempts = 0;
    m_Groups.clear();
    m_Calls.clear();
  }
  if (Context.m_Now - m_SupervisedAt < kWatchInterval ||
      !Context.m_Log.holdsLease(Context.m_Now))
    return;
  m_SupervisedAt = Context.m_Now;
  std::map<DatabaseName, Members> Databases = membersByDatabase();
  std::erase_if(m_Groups, [&](const auto &Entry) {
    return !Databases.contains(Entry.first);
  });
  for (const auto &[Name, Members] : Databases)
    supervise(Name, Members, Context);
}

void PromotionController::supervise(const DatabaseName &Name,
                                    const Members &Members,
                                    ControlContext &Context) {
  Group &Group = m_Groups[Name];
  switch (Group.m_Step) {
  case Step::Watch:
    if (std::optional<std::string> Reason =
            reasonToPromote(Group, Name, Members, Context.m_Now))
      start(Group, Name, Members, *Reason, Context);
    return;
  case Step::ReadPositions:
    return choose(Group, Name, Group.m_Candidates.size(), Context);
  case Step::Promote:
    return;
  case Step::AwaitRole:
    return awaitRole(Group, Name, Members, Context);
  }
}

bool PromotionController::isReportedLost(const DatabaseName &Name,
                                         const InstanceDescription &Primary,
                                         Time Now) const {
  size_t Lost = 0;
  size_t Live = 0;
  for (const auto &[Host, Health] : m_Board.m_Health) {
    if (Now - Health.m_HeardAt >= kReportValidity)
      continue;
    ++Live;
    Lost += std::any_of(Health.m_Reports.begin(), Health.m_Reports.end(),
                        [&](const ReceivedReport &Received) {
                          const InstanceReport &Report = Received.m_Report;
                          return Report.m_Database == Name &&
                                 Report.m_Instance == Primary.m_Name &&
                                 Report.m_UnreachableMs >= kUnreachableMs &&
                                 Now - Received.m_ReceivedAt < kReportValidity;
                        })
                ? 1
                : 0;
  }
  if (Lost == 0)
    return false;
  auto Heard = m_Board.m_CheckedInAt.find(Primary.m_Name);
  bool IsSilent =
      Heard == m_Board.m_CheckedInAt.end() || Now - Heard->second >= kSilence;
  // Hosts without traffic for the group report nothing, so a third of the live
  // hosts is evidence against a primary that still checks in; a single cut host
  // is not.
  return IsSilent || (Lost >= 2 && Lost * 3 >= Live);
}

std::optional<std::string>
PromotionController::reasonToPromote(Group &Group, const DatabaseName &Name,
                                     const Members &Members, Time Now) const {
  const InstanceDescription *Primary = nullptr;
  bool HasReplica = false;
  for (const InstanceDescription *Member : Members) {
    bool IsReady = Member->m_State == InstanceState::Ready;
    if (Member->m_IsPrimary &&
        (Primary == nullptr || Primary->m_State != InstanceState::Ready))
      Primary = Member;
    HasReplica = HasReplica || (!Member->m_IsPrimary && IsReady);
  }
  if (Primary != nullptr)
    Group.m_WithoutPrimarySince.reset();
  else if (!Group.m_WithoutPrimarySince)
    Group.m_WithoutPrimarySince = Now;
  if (!HasReplica || Now < Group.m_NotBefore)
    return std::nullopt;
  if (Primary == nullptr)
    return Now - *Group.m_WithoutPrimarySince >= kVacancy
               ? std::optional<std::string>("no instance is primary")
               : std::nullopt;
  if (Primary->m_State == InstanceState::Draining)
    return "primary " + Primary->m_Name.m_Value + " is draining";
  if (isReportedLost(Name, *Primary, Now))
    return "primary " + Primary->m_Name.m_Value + " is unreachable";
  return std::nullopt;
}

void PromotionController::start(Group &Group, const DatabaseName &Name,
                                const Members &Members,
                                const std::string &Reason,
                                ControlContext &Context) {
  std::erase_if(Group.m_RefusedUntil, [&](const auto &Entry) {
    return Context.m_Now >= Entry.second;
  });
  Group.m_Candidates.clear();
  for (const InstanceDescription *Member : Members)
    if (!Member->m_IsPrimary && Member->m_State == InstanceState::Ready)
      Group.m_Candidates[Member->m_Name] = Candidate{*Member, {}, 0, false};
  Group.m_Reason = Reason;
  Group.m_StartedAt = Context.m_Now;
  ++m_Started;
  Context.reportStateChange("change of primary of database " + Name.m_Value +
                            " begins: " + Reason);
  enter(Group, Step::ReadPositions, Context.m_Now);
  readPositions(Group, Name, Context);
}

GroupCallId PromotionController::send(const DatabaseName &Name,
                                      GroupCallKind Kind,
                                      const InstanceDescription &Instance,
                                      CallGroup Action,
                                      ControlContext &Context) {
  GroupCallId Id{++m_LastCall};
  m_Calls[Id] = Call{Name, Instance.m_Name, Kind};
  Action.m_Call = Id;
  Action.m_Kind = Kind;
  Action.m_Instance = Instance;
  Context.m_Actions.push_back(std::move(Action));
  return Id;
}

void PromotionController::readPositions(Group &Group, const DatabaseName &Name,
                                        ControlContext &Context) {
  // With synchronous replicas, sealing them ends the old primary's ability to
  // acknowledge. The term to seal at is learnt from the positions first.
  Group.m_IsSealing = syncReplicasOf(Name) > 0 && Group.m_HighestTerm > 0;
  for (auto &[Member, Candidate] : Group.m_Candidates) {
    CallGroup Action;
    Action.m_TimeoutMs = kPositionTimeoutMs;
    Action.m_SealTerm = Group.m_HighestTerm + kSealTermStep;
    Candidate.m_IsAwaited = true;
    Candidate.m_Received.reset();
    send(Name,
         Group.m_IsSealing ? GroupCallKind::SealReplica
                           : GroupCallKind::ReadPosition,
         Candidate.m_Instance, Action, Context);
  }
}

void PromotionController::choose(Group &Group, const DatabaseName &Name,
                                 size_t Replicas, ControlContext &Context) {
  uint32_t SyncReplicas = syncReplicasOf(Name);
  size_t Answered = 0;
  bool IsAwaiting = false;
  const Candidate *Best = nullptr;
  for (const auto &[Member, Candidate] : Group.m_Candidates) {
    IsAwaiting = IsAwaiting || Candidate.m_IsAwaited;
    Group.m_HighestTerm = std::max(Group.m_HighestTerm, Candidate.m_Term);
    if (!Candidate.m_Received)
      continue;
    ++Answered;
    if (Group.m_RefusedUntil.contains(Member))
      continue;
    if (Best == nullptr || *Best->m_Received < *Candidate.m_Received)
      Best = &Candidate;
  }
  bool IsDue = Context.m_Now - Group.m_StepSince >= kPositionWait;
  if (IsAwaiting && !IsDue)
    return;
  if (SyncReplicas > 0 && !Group.m_IsSealing && Group.m_HighestTerm > 0) {
    enter(Group, Step::ReadPositions, Context.m_Now);
    return readPositions(Group, Name, Context);
  }
  // An acknowledged commit is on at least SyncReplicas of the replicas, so it
  // is on one of any Replicas - SyncReplicas + 1 of them.
  size_t Needed = SyncReplicas == 0          ? 1
                  : Replicas >= SyncReplicas ? Replicas - SyncReplicas + 1
                                             : Replicas;
  if (Answered < Needed || Best == nullptr) {
    Context.reportStateChange("change of primary of database " + Name.m_Value +
                              " is put off: " + std::to_string(Answered) +
                              " of " + std::to_string(Replicas) +
                              " replicas stated a position, " +
                              std::to_string(Needed) + " are needed");
    ++m_Abandoned;
    return endAttempt(Group, kRetryPause, Context.m_Now);
  }
  Group.m_Chosen = Best->m_Instance.m_Name;
  enter(Group, Step::Promote, Context.m_Now);
  promote(Group, Name, Context);
}

void PromotionController::promote(Group &Group, const DatabaseName &Name,
                                  ControlContext &Context) {
  const Candidate &Chosen = Group.m_Candidates.at(*Group.m_Chosen);
  CallGroup Action;
  Action.m_TimeoutMs = kPromoteTimeoutMs;
  Action.m_FencingToken = m_Board.m_Term * kTokensPerTerm + ++m_Attempts;
  Context.reportStateChange(
      "promoting instance " + Chosen.m_Instance.m_Name.m_Value +
      " of database " + Name.m_Value + " at position " +
      std::to_string(Chosen.m_Received->m_Term) + "." +
      std::to_string(Chosen.m_Received->m_Index) + " with fencing token " +
      std::to_string(Action.m_FencingToken));
  send(Name, GroupCallKind::Promote, Chosen.m_Instance, Action, Context);
}

void PromotionController::awaitRole(Group &Group, const DatabaseName &Name,
                                    const Members &Members,
                                    ControlContext &Context) {
  bool IsPrimary = std::any_of(
      Members.begin(), Members.end(), [&](const InstanceDescription *Member) {
        return Member->m_IsPrimary && Member->m_Name == Group.m_Chosen;
      });
  bool IsDue = Context.m_Now - Group.m_StepSince >= kRoleWait;
  if (!IsPrimary && !IsDue)
    return;
  Context.reportStateChange(
      "change of primary of database " + Name.m_Value +
      (IsPrimary ? " ends: instance " : " is not confirmed: instance ") +
      Group.m_Chosen->m_Value + ", after " +
      std::to_string((Context.m_Now - Group.m_StartedAt) / milliseconds(1)) +
      " ms");
  m_Finished += IsPrimary ? 1 : 0;
  m_Abandoned += IsPrimary ? 0 : 1;
  endAttempt(Group, IsPrimary ? kRefusalPause : kRetryPause, Context.m_Now);
}

void PromotionController::onAnswered(const GroupCallAnswered &Event,
                                     ControlContext &Context) {
  auto Found = m_Calls.find(Event.m_Call);
  if (Found == m_Calls.end())
    return;
  Call Answered = Found->second;
  m_Calls.erase(Found);
  auto Entry = m_Groups.find(Answered.m_Database);
  if (Entry == m_Groups.end())
    return;
  Group &Group = Entry->second;
  if (Answered.m_Kind != GroupCallKind::Promote) {
    auto Asked = Group.m_Candidates.find(Answered.m_Instance);
    if (Group.m_Step != Step::ReadPositions ||
        Asked == Group.m_Candidates.end())
      return;
    Asked->second.m_IsAwaited = false;
    if (Event.m_Outcome != GroupCallOutcome::Done)
      return;
    Asked->second.m_Received = Event.m_Received;
    Asked->second.m_Term = Event.m_Term;
    return;
  }
  if (Group.m_Step != Step::Promote || Group.m_Chosen != Answered.m_Instance)
    return;
  if (Event.m_Outcome == GroupCallOutcome::Done)
    return enter(Group, Step::AwaitRole, Context.m_Now);
  bool IsRefused = Event.m_Outcome == GroupCallOutcome::Refused;
  if (IsRefused)
    Group.m_RefusedUntil[Answered.m_Instance] = Context.m_Now + kRefusalPause;
  Context.reportStateChange("promotion of instance " +
                            Answered.m_Instance.m_Value +
                            (IsRefused ? " was refused" : " has no answer"));
  ++m_Abandoned;
  endAttempt(Group, kRetryPause, Context.m_Now);
}

CounterList PromotionController::counters() const {
  return {{"almondpier_promotions_started_total", "Changes of primary begun.",
           static_cast<double>(m_Started)},
          {"almondpier_promotions_finished_total",
           "Changes of primary confirmed by the new primary.",
           static_cast<double>(m_Finished)},
          {"almondpier_promotions_abandoned_total",
           "Attempts that were put off, refused or not confirmed.",
           static_cast<double>(m_Abandoned)}};
}

} // namespace almondpier
