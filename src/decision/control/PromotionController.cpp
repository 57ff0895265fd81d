#include "decision/control/PromotionController.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// A tenth of the shortest reaction time below.
constexpr Duration kMonitorInterval = milliseconds(30);
/// A host's report counts against a primary that has been unreachable for this
/// time. Longer than a new connection and a slow statement take, shorter than
/// the time that callers wait.
constexpr uint32_t kUnreachableThresholdMs = 450;
/// Heartbeats renew the reports every 250 ms.
constexpr Duration kReportValidity = milliseconds(800);
/// Shorter than kReportValidity, so that the answers of a primary that is still
/// reported never become outdated.
constexpr Duration kPrimaryCheckInterval = milliseconds(200);
/// Two check-in intervals and a retry. A primary that has not checked in for
/// this time is lost as soon as one host reports it as unreachable.
constexpr Duration kCheckInTimeout = milliseconds(3'000);
/// How long a group may have no primary before one is promoted; a restarted
/// primary announces its role sooner.
constexpr Duration kNoPrimaryTimeout = milliseconds(1'500);
/// How long to collect the positions of the replicas.
constexpr Duration kPositionCollectionTime = milliseconds(250);
constexpr uint32_t kPositionCallTimeoutMs = 400;
/// Longer than a promotion through the platform, which takes up to 1 s.
constexpr uint32_t kPromoteCallTimeoutMs = 1'500;
/// How long a promoted instance may take to announce its role after the call
/// has returned.
constexpr Duration kRoleTimeout = milliseconds(3'000);
/// How long replicas may take to receive the last commits of a demoted primary.
/// The group accepts no writes meanwhile.
constexpr Duration kCatchUpLimit = milliseconds(2'000);
/// Interval at which their positions are read.
constexpr Duration kCatchUpInterval = milliseconds(30);
/// An overloaded primary may refuse the call.
constexpr size_t kMaxDemotionCalls = 3;
constexpr Duration kRetryDelay = milliseconds(300);
/// How long a candidate that refused is excluded, and a group is not monitored
/// after a completed promotion.
constexpr Duration kCooldown = milliseconds(1'500);
/// Fencing tokens reserved for each leader term; a leader makes far fewer
/// attempts in its term.
constexpr uint64_t kFencingTokensPerTerm = 1'000'000;
/// Replicas are sealed for a term above any that the group has reached.
constexpr uint64_t kSealTermIncrement = 1;
/// Passes in which the replicas are sealed before an attempt is put off.
constexpr size_t kMaxSealPasses = 6;
/// How long replicas stay sealed after an attempt: longer than the delay of the
/// next one, so that they are not resumed in between.
constexpr Duration kSealMemory = milliseconds(1'000);
/// An order without an answer may still be carried out within this time.
constexpr Duration kLateOrderTime = milliseconds(10'000);
constexpr Duration kResumeInterval = milliseconds(300);

} // namespace

void PromotionController::enterStep(Group &Group, Step Step, Time Now) {
  Group.m_Step = Step;
  Group.m_StepStartedAt = Now;
  Group.m_PrimaryCheck = PrimaryCheck();
}

void PromotionController::endAttempt(Group &Group, Duration Delay, Time Now) {
  enterStep(Group, Step::Monitor, Now);
  Group.m_NextAttemptAt = Now + Delay;
  Group.m_ResumeAt = std::max(Now + kSealMemory, Group.m_OrderPendingUntil);
  Group.m_Candidates.clear();
  Group.m_Chosen.reset();
  Group.m_Leaving.reset();
  Group.m_LastPosition.reset();
  Group.m_DemotionCalls = 0;
  Group.m_HighestTerm = 0;
  Group.m_SealTerm = 0;
  Group.m_SealPasses = 0;
  Group.m_SealedPositions.clear();
}

bool PromotionController::isUsable(const InstanceDescription &Instance) const {
  return Instance.m_State == InstanceState::Ready &&
         !m_Board.configuration().isEvacuated(Instance.m_Zone);
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
    m_PendingCalls.clear();
    return;
  }
  if (m_LeaderTerm != m_Board.m_Term) {
    m_LeaderTerm = m_Board.m_Term;
    m_Attempts = 0;
    m_Groups.clear();
    m_PendingCalls.clear();
  }
  if (Context.m_Now - m_LastMonitoredAt < kMonitorInterval ||
      !Context.m_Log.holdsLease(Context.m_Now))
    return;
  m_LastMonitoredAt = Context.m_Now;
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
  auto [Entry, IsNew] = m_Groups.try_emplace(Name);
  Group &Group = Entry->second;
  if (IsNew && syncReplicasOf(Name) > 0) {
    // An earlier leader may have left replicas sealed.
    for (const InstanceDescription *Member : Members)
      if (!Member->m_IsPrimary)
        Group.m_Sealed[Member->m_Name] = *Member;
    Group.m_ResumeAt = Context.m_Now + kLateOrderTime;
  }
  switch (Group.m_Step) {
  case Step::Monitor:
    if (std::optional<std::string> Reason =
            promotionReason(Group, Name, Members, Context))
      startAttempt(Group, Name, Members, *Reason, Context);
    else
      resumeReplicas(Group, Name, Members, Context);
    return;
  case Step::ReadPositions:
    return chooseCandidate(Group, Name, Members, Context);
  case Step::Demote:
    return;
  case Step::Promote:
    return sealLateReplicas(Group, Name, Members, Context);
  case Step::CatchUp:
    return awaitCatchUp(Group, Name, Members, Context);
  case Step::AwaitRole:
    sealLateReplicas(Group, Name, Members, Context);
    return awaitRole(Group, Name, Members, Context);
  }
}

PromotionController::ReportSummary
PromotionController::summariseReports(const DatabaseName &Name,
                                      const InstanceDescription &Primary,
                                      Time Now) const {
  ReportSummary Result;
  for (const auto &[Host, Health] : m_Board.m_Health) {
    if (Now - Health.m_HeardAt >= kReportValidity)
      continue;
    ++Result.m_LiveHosts;
    uint32_t LongestMs = 0;
    for (const ReceivedReport &Received : Health.m_Reports) {
      const InstanceReport &Report = Received.m_Report;
      if (Report.m_Database == Name && Report.m_Instance == Primary.m_Name &&
          Now - Received.m_ReceivedAt < kReportValidity)
        LongestMs = std::max(LongestMs, Report.m_UnreachableMs);
    }
    Result.m_Hosts += LongestMs >= kUnreachableThresholdMs ? 1 : 0;
    Result.m_LongestMs = std::max(Result.m_LongestMs, LongestMs);
  }
  return Result;
}

void PromotionController::checkPrimary(Group &Group, const DatabaseName &Name,
                                       const InstanceDescription &Primary,
                                       ControlContext &Context) {
  PrimaryCheck &Check = Group.m_PrimaryCheck;
  if (summariseReports(Name, Primary, Context.m_Now).m_LongestMs == 0) {
    Check = PrimaryCheck();
    return;
  }
  if (Check.m_Call || Context.m_Now - Check.m_SentAt < kPrimaryCheckInterval)
    return;
  CallGroup Action;
  Action.m_TimeoutMs = kPositionCallTimeoutMs;
  Check.m_SentAt = Context.m_Now;
  Check.m_Call =
      sendCall(Name, GroupCallKind::ReadPosition, Primary, Action, Context);
}

void PromotionController::onPrimaryChecked(Group &Group,
                                           const GroupCallAnswered &Event,
                                           Time Now) {
  PrimaryCheck &Check = Group.m_PrimaryCheck;
  Check.m_Call.reset();
  // An instance that refuses the request is overloaded, not lost.
  if (Event.m_Outcome != GroupCallOutcome::Unknown) {
    Check.m_AnsweredAt = Now;
    Check.m_SilentSince.reset();
    return;
  }
  if (!Check.m_SilentSince)
    Check.m_SilentSince = Check.m_SentAt;
}

bool PromotionController::isUnreachable(const Group &Group,
                                        const DatabaseName &Name,
                                        const InstanceDescription &Primary,
                                        Time Now) const {
  ReportSummary Reports = summariseReports(Name, Primary, Now);
  if (Reports.m_Hosts == 0)
    return false;
  auto LastCheckIn = m_Board.m_CheckedInAt.find(Primary.m_Name);
  bool IsCheckInOverdue = LastCheckIn == m_Board.m_CheckedInAt.end() ||
                          Now - LastCheckIn->second >= kCheckInTimeout;
  if (IsCheckInOverdue)
    return true;
  const PrimaryCheck &Check = Group.m_PrimaryCheck;
  // Few hosts hold connections to a group, so the report of one suffices when
  // the leader gets no answer either. A single report does not, because that
  // host may itself be cut off from the network.
  if (Check.m_SilentSince)
    return true;
  // A primary that answers the leader is replaced only when most hosts cannot
  // reach it: full connections and a full queue look like a loss to hosts.
  bool HasAnswered =
      Check.m_AnsweredAt && Now - *Check.m_AnsweredAt < kReportValidity;
  return HasAnswered && Reports.m_Hosts * 2 > Reports.m_LiveHosts;
}

std::optional<std::string>
PromotionController::promotionReason(Group &Group, const DatabaseName &Name,
                                     const Members &Members,
                                     ControlContext &Context) {
  Time Now = Context.m_Now;
  const InstanceDescription *Primary = nullptr;
  bool HasReplica = false;
  for (const InstanceDescription *Member : Members) {
    if (Member->m_IsPrimary &&
        (Primary == nullptr || Primary->m_State != InstanceState::Ready))
      Primary = Member;
    HasReplica = HasReplica || (!Member->m_IsPrimary && isUsable(*Member));
  }
  if (Primary != nullptr)
    Group.m_NoPrimarySince.reset();
  else if (!Group.m_NoPrimarySince)
    Group.m_NoPrimarySince = Now;
  Group.m_Primary.reset();
  if (Primary != nullptr)
    Group.m_Primary = *Primary;
  if (!HasReplica || Now < Group.m_NextAttemptAt)
    return std::nullopt;
  if (Primary == nullptr)
    return Now - *Group.m_NoPrimarySince >= kNoPrimaryTimeout
               ? std::optional<std::string>("no instance is primary")
               : std::nullopt;
  if (Primary->m_State == InstanceState::Draining) {
    // It goes on acknowledging commits through any replica that it reaches,
    // also one that starts meanwhile.
    if (syncReplicasOf(Name) > 0)
      Group.m_Leaving = *Primary;
    return "primary " + Primary->m_Name.m_Value + " is draining";
  }
  checkPrimary(Group, Name, *Primary, Context);
  if (isUnreachable(Group, Name, *Primary, Now))
    return "primary " + Primary->m_Name.m_Value + " is unreachable";
  if (!isUsable(*Primary)) {
    Group.m_Leaving = *Primary;
    return "primary " + Primary->m_Name.m_Value + " is in the evacuated zone " +
           Primary->m_Zone.m_Value;
  }
  return std::nullopt;
}

void PromotionController::startAttempt(Group &Group, const DatabaseName &Name,
                                       const Members &Members,
                                       const std::string &Reason,
                                       ControlContext &Context) {
  std::erase_if(Group.m_ExcludedUntil, [&](const auto &Entry) {
    return Context.m_Now >= Entry.second;
  });
  Group.m_Candidates.clear();
  addReplicas(Group, Name, Members);
  Group.m_Reason = Reason;
  Group.m_StartedAt = Context.m_Now;
  ++m_Started;
  Context.reportStateChange("database " + Name.m_Value +
                            ": failover started: " + Reason);
  enterStep(Group, Step::ReadPositions, Context.m_Now);
  readPositions(Group, Name, Context);
}

GroupCallId PromotionController::sendCall(const DatabaseName &Name,
                                          GroupCallKind Kind,
                                          const InstanceDescription &Instance,
                                          CallGroup Action,
                                          ControlContext &Context) {
  GroupCallId Id{++m_LastCallId};
  m_PendingCalls[Id] = Call{Name, Instance.m_Name, Kind, m_Groups[Name].m_Pass};
  Action.m_Call = Id;
  Action.m_Kind = Kind;
  Action.m_Instance = Instance;
  Context.m_Actions.push_back(std::move(Action));
  return Id;
}

bool PromotionController::needsSeal(const Group &Group,
                                    const DatabaseName &Name) const {
  // A demoted primary acknowledges nothing. Before its demotion the positions
  // only tell whether a replica can be promoted.
  return syncReplicasOf(Name) > 0 && !Group.m_Leaving;
}

bool PromotionController::addReplicas(Group &Group, const DatabaseName &Name,
                                      const Members &Members) {
  bool HasAdded = false;
  bool IsSynchronous = syncReplicasOf(Name) > 0;
  for (const InstanceDescription *Member : Members) {
    bool IsDemoted = Group.m_Demoted &&
                     Group.m_Demoted->m_Name == Member->m_Name &&
                     Group.m_Demoted->m_StartedAtMs == Member->m_StartedAtMs;
    // What a demoted primary alone holds was not acknowledged, so that it need
    // not be counted unless it can be promoted itself.
    bool IsCounted = !Member->m_IsPrimary &&
                     (!IsDemoted || isUsable(*Member)) &&
                     // A draining replica still receives.
                     (IsSynchronous || Member->m_State == InstanceState::Ready);
    auto Known = Group.m_Candidates.find(Member->m_Name);
    if (Known != Group.m_Candidates.end())
      Known->second.m_Instance.m_State = Member->m_State;
    bool IsKnown =
        Known != Group.m_Candidates.end() &&
        Known->second.m_Instance.m_StartedAtMs == Member->m_StartedAtMs;
    if (!IsCounted || IsKnown)
      continue;
    Group.m_Candidates[Member->m_Name] = Candidate{*Member};
    Group.m_SealedPositions.erase(Member->m_Name);
    HasAdded = true;
  }
  return HasAdded;
}

void PromotionController::sealReplica(Group &Group, const DatabaseName &Name,
                                      Candidate &Sealed,
                                      ControlContext &Context) {
  CallGroup Action;
  Action.m_TimeoutMs = kPositionCallTimeoutMs;
  Action.m_SealTerm = Group.m_SealTerm;
  Group.m_Sealed[Sealed.m_Instance.m_Name] = Sealed.m_Instance;
  ++m_SealedCount;
  sendCall(Name, GroupCallKind::SealReplica, Sealed.m_Instance, Action,
           Context);
}

void PromotionController::readPositions(Group &Group, const DatabaseName &Name,
                                        ControlContext &Context) {
  // The first pass reads the positions to learn the term to seal at.
  bool IsSealing = needsSeal(Group, Name) && Group.m_HighestTerm > 0;
  Group.m_SealTerm = IsSealing ? Group.m_HighestTerm + kSealTermIncrement : 0;
  Group.m_SealPasses += IsSealing ? 1 : 0;
  ++Group.m_Pass;
  for (auto &[Member, Candidate] : Group.m_Candidates) {
    Candidate.m_IsPending = true;
    Candidate.m_IsSealed = false;
    Candidate.m_ReceivedPosition.reset();
    if (IsSealing) {
      sealReplica(Group, Name, Candidate, Context);
      continue;
    }
    CallGroup Action;
    Action.m_TimeoutMs = kPositionCallTimeoutMs;
    sendCall(Name, GroupCallKind::ReadPosition, Candidate.m_Instance, Action,
             Context);
  }
  // Sealed replicas are enough; a primary that can be reached after all is
  // demoted as well, in case an unknown replica receives from it.
  if (!Group.m_SealedPositions.empty() && Group.m_Primary) {
    CallGroup Action;
    Action.m_TimeoutMs = kPositionCallTimeoutMs;
    Action.m_SealTerm = Group.m_SealTerm;
    sendCall(Name, GroupCallKind::DemotePrimary, *Group.m_Primary, Action,
             Context);
  }
}

const PromotionController::Candidate *
PromotionController::mostAdvanced(const Group &Group) const {
  const Candidate *Best = nullptr;
  for (const auto &[Member, Candidate] : Group.m_Candidates) {
    if (!Candidate.m_ReceivedPosition || !isUsable(Candidate.m_Instance) ||
        Group.m_ExcludedUntil.contains(Member))
      continue;
    if (Best == nullptr ||
        *Best->m_ReceivedPosition < *Candidate.m_ReceivedPosition)
      Best = &Candidate;
  }
  return Best;
}

bool PromotionController::hasAllCommits(const Group &Group,
                                        const Candidate *Candidate) {
  return Group.m_LastPosition && Candidate != nullptr &&
         *Candidate->m_ReceivedPosition >= *Group.m_LastPosition;
}

size_t PromotionController::requiredAnswers(const Group &Group,
                                            const DatabaseName &Name) const {
  uint32_t SyncReplicas = syncReplicasOf(Name);
  size_t Replicas = Group.m_Candidates.size();
  // Before the demotion of a primary nothing is decided by the positions.
  bool IsBeforeDemotion = Group.m_Leaving && !Group.m_LastPosition;
  if (SyncReplicas == 0 || IsBeforeDemotion)
    return 1;
  // An acknowledged commit is on at least SyncReplicas of the replicas, and
  // therefore on at least one of any Replicas - SyncReplicas + 1 of them.
  return Replicas >= SyncReplicas ? Replicas - SyncReplicas + 1 : Replicas;
}

bool PromotionController::isSealConfirmed(Group &Group) {
  std::map<InstanceName, Position> Positions;
  for (const auto &[Member, Candidate] : Group.m_Candidates)
    if (Candidate.m_IsSealed)
      Positions[Member] = *Candidate.m_ReceivedPosition;
  // Unchanged positions of the same replicas show that nothing has undone the
  // seal since, neither a late call nor a restart.
  bool IsUnchanged = Positions == Group.m_SealedPositions;
  Group.m_SealedPositions = std::move(Positions);
  return IsUnchanged;
}

void PromotionController::postpone(Group &Group, const DatabaseName &Name,
                                   const std::string &Reason,
                                   ControlContext &Context) {
  Context.reportStateChange("database " + Name.m_Value +
                            ": failover postponed: " + Reason);
  ++m_Abandoned;
  endAttempt(Group, kRetryDelay, Context.m_Now);
}

void PromotionController::chooseCandidate(Group &Group,
                                          const DatabaseName &Name,
                                          const Members &Members,
                                          ControlContext &Context) {
  size_t Answered = 0;
  bool HasPendingCalls = false;
  bool IsSealing = Group.m_SealTerm > 0;
  Position Highest;
  for (const auto &[Member, Candidate] : Group.m_Candidates) {
    HasPendingCalls = HasPendingCalls || Candidate.m_IsPending;
    if (!Candidate.m_ReceivedPosition)
      continue;
    Answered += !IsSealing || Candidate.m_IsSealed ? 1 : 0;
    Highest = std::max(Highest, *Candidate.m_ReceivedPosition);
  }
  bool IsTimedOut =
      Context.m_Now - Group.m_StepStartedAt >= kPositionCollectionTime;
  if (HasPendingCalls && !IsTimedOut)
    return;
  bool HasNewReplicas = addReplicas(Group, Name, Members);
  bool IsSealTooLow = IsSealing && Group.m_HighestTerm >= Group.m_SealTerm;
  bool MustSealAgain =
      needsSeal(Group, Name) && Group.m_HighestTerm > 0 &&
      (!IsSealing || HasNewReplicas || IsSealTooLow || !isSealConfirmed(Group));
  if (MustSealAgain) {
    if (Group.m_SealPasses >= kMaxSealPasses)
      return postpone(Group, Name, "the replicas could not be sealed", Context);
    enterStep(Group, Step::ReadPositions, Context.m_Now);
    return readPositions(Group, Name, Context);
  }
  const Candidate *Best = mostAdvanced(Group);
  size_t Required =
      hasAllCommits(Group, Best) ? 1 : requiredAnswers(Group, Name);
  // A replica that may not be promoted can be the only one that holds an
  // acknowledged commit.
  bool IsBeforeDemotion = Group.m_Leaving && !Group.m_LastPosition;
  bool LacksCommits = syncReplicasOf(Name) > 0 && !IsBeforeDemotion &&
                      Best != nullptr && !hasAllCommits(Group, Best) &&
                      *Best->m_ReceivedPosition < Highest;
  if (Answered < Required || Best == nullptr || LacksCommits)
    return postpone(Group, Name,
                    std::to_string(Answered) + " of " +
                        std::to_string(Group.m_Candidates.size()) +
                        " replicas reported a position" +
                        (IsSealing ? " under a seal" : "") + ", " +
                        std::to_string(Required) + " required" +
                        (Best == nullptr ? "; none of them may be promoted"
                         : LacksCommits
                             ? "; only a replica that drains or is in an "
                               "evacuated zone holds all commits"
                             : ""),
                    Context);
  if (Group.m_Leaving && !Group.m_LastPosition)
    return demote(Group, Name, Context);
  Group.m_Chosen = Best->m_Instance.m_Name;
  enterStep(Group, Step::Promote, Context.m_Now);
  promote(Group, Name, Context);
}

void PromotionController::sealLateReplicas(Group &Group,
                                           const DatabaseName &Name,
                                           const Members &Members,
                                           ControlContext &Context) {
  if (Group.m_SealTerm == 0 || !addReplicas(Group, Name, Members))
    return;
  for (auto &[Member, Candidate] : Group.m_Candidates) {
    if (Group.m_SealedPositions.contains(Member) || Member == Group.m_Chosen)
      continue;
    Context.reportStateChange("database " + Name.m_Value + ": replica " +
                              Member.m_Value +
                              " started during the failover and is sealed");
    Group.m_SealedPositions[Member] = Position();
    sealReplica(Group, Name, Candidate, Context);
  }
}

void PromotionController::resumeReplicas(Group &Group, const DatabaseName &Name,
                                         const Members &Members,
                                         ControlContext &Context) {
  if (Group.m_Sealed.empty() || Context.m_Now < Group.m_ResumeAt ||
      Context.m_Now - Group.m_ResumeSentAt < kResumeInterval)
    return;
  Group.m_ResumeSentAt = Context.m_Now;
  // An instance that is gone or has restarted holds no seal.
  std::erase_if(Group.m_Sealed, [&](const auto &Entry) {
    return std::none_of(
        Members.begin(), Members.end(), [&](const InstanceDescription *Member) {
          return Member->m_Name == Entry.first &&
                 Member->m_StartedAtMs == Entry.second.m_StartedAtMs;
        });
  });
  CallGroup Action;
  Action.m_TimeoutMs = kPositionCallTimeoutMs;
  for (const auto &[Member, Instance] : Group.m_Sealed)
    sendCall(Name, GroupCallKind::ResumeReplica, Instance, Action, Context);
}

void PromotionController::demote(Group &Group, const DatabaseName &Name,
                                 ControlContext &Context) {
  CallGroup Action;
  Action.m_TimeoutMs = kPositionCallTimeoutMs;
  Action.m_SealTerm = Group.m_HighestTerm + kSealTermIncrement;
  enterStep(Group, Step::Demote, Context.m_Now);
  ++Group.m_DemotionCalls;
  ++Group.m_Pass;
  sendCall(Name, GroupCallKind::DemotePrimary, *Group.m_Leaving, Action,
           Context);
}

void PromotionController::onDemoted(Group &Group, const DatabaseName &Name,
                                    const GroupCallAnswered &Event,
                                    ControlContext &Context) {
  std::string Primary = "database " + Name.m_Value + ": primary " +
                        Group.m_Leaving->m_Name.m_Value;
  Group.m_HighestTerm = std::max(Group.m_HighestTerm, Event.m_Term);
  // An instance whose term is not below that of the order stays primary.
  bool HasRefused =
      Event.m_Outcome == GroupCallOutcome::Refused ||
      (Event.m_Outcome == GroupCallOutcome::Done && Event.m_IsPrimary);
  if (Event.m_Outcome == GroupCallOutcome::Done && !HasRefused) {
    Context.reportStateChange(Primary + " is demoted at position " +
                              std::to_string(Event.m_Received.m_Term) + "." +
                              std::to_string(Event.m_Received.m_Index));
    Group.m_LastPosition = Event.m_Received;
    Group.m_Demoted = Group.m_Leaving;
    enterStep(Group, Step::CatchUp, Context.m_Now);
  } else if (HasRefused && Group.m_DemotionCalls < kMaxDemotionCalls) {
    // The positions are read once more before the next call.
    enterStep(Group, Step::ReadPositions, Context.m_Now);
  } else {
    // The promotion ends the leadership of a primary that cannot be demoted.
    Context.reportStateChange(Primary + " could not be demoted; it is replaced "
                                        "as an unreachable one");
    Group.m_Leaving.reset();
    enterStep(Group, Step::ReadPositions, Context.m_Now);
  }
  Group.m_PositionsReadAt = Context.m_Now;
  readPositions(Group, Name, Context);
}

void PromotionController::awaitCatchUp(Group &Group, const DatabaseName &Name,
                                       const Members &Members,
                                       ControlContext &Context) {
  const Candidate *Best = mostAdvanced(Group);
  bool HasCaughtUp = hasAllCommits(Group, Best);
  bool IsTimedOut = Context.m_Now - Group.m_StepStartedAt >= kCatchUpLimit;
  if (HasCaughtUp || IsTimedOut) {
    if (!HasCaughtUp)
      Context.reportStateChange(
          "database " + Name.m_Value +
          ": no replica has received the last commits of the demoted primary "
          "in time" +
          std::string(syncReplicasOf(Name) > 0 ? "" : "; they are lost"));
    // The positions are at hand, so the choice follows at once.
    for (auto &[Member, Candidate] : Group.m_Candidates)
      Candidate.m_IsPending = false;
    return chooseCandidate(Group, Name, Members, Context);
  }
  if (Context.m_Now - Group.m_PositionsReadAt < kCatchUpInterval)
    return;
  bool HasPendingCalls =
      std::any_of(Group.m_Candidates.begin(), Group.m_Candidates.end(),
                  [](const auto &Entry) { return Entry.second.m_IsPending; });
  if (HasPendingCalls &&
      Context.m_Now - Group.m_PositionsReadAt < kPositionCollectionTime)
    return;
  Group.m_PositionsReadAt = Context.m_Now;
  addReplicas(Group, Name, Members);
  readPositions(Group, Name, Context);
}

void PromotionController::promote(Group &Group, const DatabaseName &Name,
                                  ControlContext &Context) {
  const Candidate &Chosen = Group.m_Candidates.at(*Group.m_Chosen);
  CallGroup Action;
  Action.m_TimeoutMs = kPromoteCallTimeoutMs;
  Group.m_OrderPendingUntil = Context.m_Now + kLateOrderTime;
  Action.m_FencingToken = m_Board.m_Term * kFencingTokensPerTerm + ++m_Attempts;
  Context.reportStateChange(
      "promoting instance " + Chosen.m_Instance.m_Name.m_Value +
      " of database " + Name.m_Value + " at position " +
      std::to_string(Chosen.m_ReceivedPosition->m_Term) + "." +
      std::to_string(Chosen.m_ReceivedPosition->m_Index) +
      " with fencing token " + std::to_string(Action.m_FencingToken));
  sendCall(Name, GroupCallKind::Promote, Chosen.m_Instance, Action, Context);
}

void PromotionController::awaitRole(Group &Group, const DatabaseName &Name,
                                    const Members &Members,
                                    ControlContext &Context) {
  bool IsPrimary = std::any_of(
      Members.begin(), Members.end(), [&](const InstanceDescription *Member) {
        return Member->m_IsPrimary && Member->m_Name == Group.m_Chosen;
      });
  bool IsTimedOut = Context.m_Now - Group.m_StepStartedAt >= kRoleTimeout;
  if (!IsPrimary && !IsTimedOut)
    return;
  Context.reportStateChange(
      "database " + Name.m_Value +
      (IsPrimary ? ": failover completed: primary "
                 : ": failover not confirmed by instance ") +
      Group.m_Chosen->m_Value + " after " +
      std::to_string((Context.m_Now - Group.m_StartedAt) / milliseconds(1)) +
      " ms");
  if (IsPrimary) {
    Group.m_OrderPendingUntil = Time();
    Group.m_Demoted.reset();
  }
  m_Completed += IsPrimary ? 1 : 0;
  m_Abandoned += IsPrimary ? 0 : 1;
  endAttempt(Group, IsPrimary ? kCooldown : kRetryDelay, Context.m_Now);
}

void PromotionController::onAnswered(const GroupCallAnswered &Event,
                                     ControlContext &Context) {
  auto Found = m_PendingCalls.find(Event.m_Call);
  if (Found == m_PendingCalls.end())
    return;
  Call Answered = Found->second;
  m_PendingCalls.erase(Found);
  auto Entry = m_Groups.find(Answered.m_Database);
  if (Entry == m_Groups.end())
    return;
  Group &Group = Entry->second;
  if (Group.m_PrimaryCheck.m_Call == Event.m_Call)
    return onPrimaryChecked(Group, Event, Context.m_Now);
  if (Answered.m_Kind == GroupCallKind::ResumeReplica) {
    if (Event.m_Outcome == GroupCallOutcome::Done &&
        Group.m_Step == Step::Monitor)
      m_ResumedCount += Group.m_Sealed.erase(Answered.m_Instance);
    return;
  }
  if (Answered.m_Kind == GroupCallKind::DemotePrimary) {
    if (Group.m_Step == Step::Demote && Answered.m_Pass == Group.m_Pass)
      onDemoted(Group, Answered.m_Database, Event, Context);
    return;
  }
  if (Answered.m_Kind != GroupCallKind::Promote) {
    auto Queried = Group.m_Candidates.find(Answered.m_Instance);
    bool IsCollecting =
        Group.m_Step == Step::ReadPositions || Group.m_Step == Step::CatchUp;
    // An answer to an earlier pass says nothing about the seal of this one.
    if (!IsCollecting || Queried == Group.m_Candidates.end() ||
        Answered.m_Pass != Group.m_Pass)
      return;
    Queried->second.m_IsPending = false;
    if (Event.m_Outcome != GroupCallOutcome::Done)
      return;
    Queried->second.m_ReceivedPosition = Event.m_Received;
    // A seal has no effect at a term that the instance has reached.
    Queried->second.m_IsSealed =
        Answered.m_Kind == GroupCallKind::SealReplica &&
        (Event.m_Term < Group.m_SealTerm ||
         Event.m_HeldTerm >= Group.m_SealTerm);
    if (!Queried->second.m_IsSealed)
      Group.m_HighestTerm = std::max(Group.m_HighestTerm, Event.m_Term);
    return;
  }
  if (Group.m_Step != Step::Promote || Group.m_Chosen != Answered.m_Instance)
    return;
  if (Event.m_Outcome == GroupCallOutcome::Done)
    return enterStep(Group, Step::AwaitRole, Context.m_Now);
  bool IsRefused = Event.m_Outcome == GroupCallOutcome::Refused;
  if (IsRefused) {
    // The platform has seen this token, so no earlier order takes effect.
    Group.m_OrderPendingUntil = Time();
    Group.m_ExcludedUntil[Answered.m_Instance] = Context.m_Now + kCooldown;
  }
  Context.reportStateChange("promotion of instance " +
                            Answered.m_Instance.m_Value +
                            (IsRefused ? " was refused" : " was not answered"));
  ++m_Abandoned;
  endAttempt(Group, kRetryDelay, Context.m_Now);
}

CounterList PromotionController::counters() const {
  return {{"almondpier_promotions_started_total", "Changes of primary begun.",
           static_cast<double>(m_Started)},
          {"almondpier_promotions_finished_total",
           "Changes of primary confirmed by the new primary.",
           static_cast<double>(m_Completed)},
          {"almondpier_promotions_abandoned_total",
           "Attempts that were put off, refused or not confirmed.",
           static_cast<double>(m_Abandoned)},
          {"almondpier_replica_seals_total",
           "Requests to replicas to stop receiving during a change of primary.",
           static_cast<double>(m_SealedCount)},
          {"almondpier_replicas_resumed_total",
           "Replicas that receive again after a seal.",
           static_cast<double>(m_ResumedCount)}};
}

} // namespace almondpier
