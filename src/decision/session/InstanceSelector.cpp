#include "decision/session/InstanceSelector.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Statements that the owner of a group runs at an instance beyond its slots,
/// so that a slot never waits for the round trip between them.
constexpr double kExtraStatements = 2;
/// An owner runs this fraction of that at instances that another owner uses
/// most.
constexpr double kOtherOwnersDivisor = 2;
/// A position of the primary is renewed when it has reached this fraction of
/// the age that reads accept.
constexpr int kSampleRefreshDivisor = 2;
/// Opening a connection in place of another one costs the instance about as
/// much as a statement, and again when the closed one is needed later. A
/// connection that replaces none is cheaper because it can be reused.
constexpr double kReplaceConnectionCostMs = 14;
constexpr double kNewConnectionCostMs = 3;
/// Expected latency of an instance without measurements.
constexpr double kDefaultLatencyMs = 20;
/// Cost factor of reads at the primary. Writes need the primary, so a read goes
/// to a replica unless the replica is this many times as expensive.
constexpr double kPrimaryReadCostFactor = 2.5;
/// Statements to another availability zone have a longer round trip and use
/// metered links, so slightly more load in the own zone is accepted.
constexpr double kOtherZoneCostMs = 8;
/// Exceeds any latency, so that an instance that failed the statement is
/// selected again only when no other one can run it.
constexpr double kTriedInstanceCostMs = 1'000;

} // namespace

InstanceRequirement
InstanceSelector::requirementOf(const CallerSession &Session) const {
  const PendingStatement &Pending = *Session.m_Pending;
  if (Pending.m_Target != StatementTarget::CaughtUp)
    return InstanceRequirement{Pending.m_Target, std::nullopt};
  Time ReadStart = Session.m_State == TransactionState::None
                       ? Pending.m_Received.m_ReceivedAt
                       : Session.m_TransactionStartedAt;
  const PrimarySample *Sample = m_Tracker.oldestSampleSince(
      Session.m_Policy.m_Database,
      ReadStart - milliseconds(Session.m_Policy.m_MaxReadAgeMs));
  // Without a recent position of the primary, only the primary itself can
  // satisfy the staleness bound. The read yields a new sample.
  if (Sample == nullptr)
    return InstanceRequirement{StatementTarget::ConfirmedPrimary, std::nullopt};
  return InstanceRequirement{
      StatementTarget::CaughtUp,
      std::max(Sample->m_Position, Session.m_LastCommit)};
}

void InstanceSelector::refreshSample(CallerSession &Session, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  if (std::exchange(Pending.m_RefreshesSample, false))
    Pending.m_Target = StatementTarget::CaughtUp;
  const DatabaseName &Database = Session.m_Policy.m_Database;
  Duration MaxAge = milliseconds(Session.m_Policy.m_MaxReadAgeMs);
  if (Pending.m_Target != StatementTarget::CaughtUp ||
      !Pending.m_IsAutocommit || MaxAge == Duration::zero() ||
      !m_Tracker.isSampleDue(Database, MaxAge / kSampleRefreshDivisor, Now))
    return;
  const InstanceDescription *Primary = m_Tracker.primaryOf(Database, Now);
  if (Primary == nullptr || !hasCapacity(Session, *Primary, Now))
    return;
  m_Tracker.onSampleRequested(Database, Now);
  Pending.m_RefreshesSample = true;
  Pending.m_Target = StatementTarget::ConfirmedPrimary;
}

double
InstanceSelector::allowedStatements(const InstanceDescription &Instance) {
  const InstanceHealth &Health = m_Tracker.healthOf(Instance.m_Name);
  // A single statement probes whether an unreachable instance is available
  // again.
  double Allowed = Health.m_UnreachableSince ? 1 : Health.m_ConcurrencyLimit;
  Allowed = std::min(Allowed, Health.m_Pace.limit());
  if (!m_Board.m_OwnedGroups.contains(Instance.m_Database))
    return Allowed;
  // Statements beyond the slots wait here, where the best instance and the
  // remaining time are known, and not at the instance.
  double Owned = Instance.m_Slots + kExtraStatements;
  return std::min(Allowed, m_Board.isMainUserOf(Instance)
                               ? Owned
                               : Owned / kOtherOwnersDivisor);
}

Duration InstanceSelector::estimateWait(const CallerSession &Session,
                                        size_t Ahead, Time Now) {
  const DatabaseName &Database = Session.m_Policy.m_Database;
  bool NeedsPrimary = Session.m_Pending->m_Target != StatementTarget::CaughtUp;
  const InstanceDescription *Primary = m_Tracker.primaryOf(Database, Now);
  double PerMillisecond = 0;
  for (const InstanceDescription *Instance :
       m_Tracker.readyInstances(Database)) {
    double LatencyMs = m_Tracker.healthOf(Instance->m_Name).m_LatencyMs;
    if (LatencyMs > 0 && (!NeedsPrimary || Instance == Primary))
      PerMillisecond += allowedStatements(*Instance) / LatencyMs;
  }
  if (PerMillisecond == 0)
    return Duration::zero();
  constexpr double kMicrosPerMs = 1'000;
  return Duration(static_cast<int64_t>(static_cast<double>(Ahead) /
                                       PerMillisecond * kMicrosPerMs));
}

bool InstanceSelector::hasCapacity(const CallerSession &Session,
                                   const InstanceDescription &Instance,
                                   Time Now) {
  const InstanceHealth &Health = m_Tracker.healthOf(Instance.m_Name);
  double Allowed = allowedStatements(Instance);
  bool IsSilent =
      !Health.m_UnreachableSince && m_Tracker.isLost(Instance.m_Name, Now);
  return !IsSilent && Now >= Health.m_BackoffUntil &&
         !m_Evacuated.isClosed(Instance.m_Zone, Now) &&
         static_cast<double>(m_Pool.busyCount(Instance.m_Name)) + 1 <=
             Allowed &&
         m_Pool.availability(Instance, Session.m_Organisation, Now) !=
             InstanceConnectionPool::Availability::None;
}

bool InstanceSelector::isPrimaryInClosedZone(const CallerSession &Session,
                                             Time Now) {
  const InstanceDescription *Primary =
      m_Tracker.primaryOf(Session.m_Policy.m_Database, Now);
  return Primary != nullptr && m_Evacuated.isClosed(Primary->m_Zone, Now);
}

bool InstanceSelector::isUnreachable(const CallerSession &Session,
                                     const InstanceRequirement &Requirement,
                                     Time Now) {
  const DatabaseName &Database = Session.m_Policy.m_Database;
  if (Requirement.m_Target != StatementTarget::CaughtUp) {
    const InstanceDescription *Primary = m_Tracker.primaryOf(Database, Now);
    return Primary != nullptr && m_Tracker.isLost(Primary->m_Name, Now);
  }
  std::vector<const InstanceDescription *> Ready =
      m_Tracker.readyInstances(Database);
  return std::all_of(Ready.begin(), Ready.end(),
                     [&](const InstanceDescription *Instance) {
                       return m_Tracker.isLost(Instance->m_Name, Now);
                     });
}

std::string InstanceSelector::describeWaitReason(const CallerSession &Session,
                                                 Time Now) {
  InstanceRequirement Requirement = requirementOf(Session);
  const DatabaseName &Database = Session.m_Policy.m_Database;
  const InstanceDescription *Primary = m_Tracker.primaryOf(Database, Now);
  if (Requirement.m_Target != StatementTarget::CaughtUp && Primary == nullptr)
    return "no primary is known";
  std::string Result = "no instance was free in time:";
  for (const InstanceDescription *Instance :
       m_Tracker.readyInstances(Database)) {
    if (Requirement.m_Target != StatementTarget::CaughtUp &&
        Instance != Primary)
      continue;
    const InstanceHealth &Health = m_Tracker.healthOf(Instance->m_Name);
    Result += " " + Instance->m_Name.m_Value + " runs " +
              std::to_string(m_Pool.busyCount(Instance->m_Name)) + " of " +
              std::to_string(static_cast<int>(Health.m_ConcurrencyLimit));
    if (Now < Health.m_BackoffUntil)
      Result += " and is left alone";
    if (Now < Health.m_LaggingUntil)
      Result += " and lags";
    if (m_Pool.availability(*Instance, Session.m_Organisation, Now) ==
        InstanceConnectionPool::Availability::None)
      Result += " and has no connection left";
  }
  return Result;
}

double InstanceSelector::estimateCost(const CallerSession &Session,
                                      const InstanceDescription &Instance,
                                      bool IsPrimary, Time Now) {
  const InstanceHealth &Health = m_Tracker.healthOf(Instance.m_Name);
  double Latency =
      Health.m_LatencyMs == 0 ? kDefaultLatencyMs : Health.m_LatencyMs;
  double Cost =
      Latency * static_cast<double>(m_Pool.busyCount(Instance.m_Name) + 1);
  InstanceConnectionPool::Availability Connection =
      m_Pool.availability(Instance, Session.m_Organisation, Now);
  if (Connection == InstanceConnectionPool::Availability::ReplaceIdle)
    Cost += kReplaceConnectionCostMs;
  if (Connection == InstanceConnectionPool::Availability::OpenNew)
    Cost += kNewConnectionCostMs;
  if (Instance.m_Zone != m_Board.m_Zone)
    Cost += kOtherZoneCostMs;
  if (IsPrimary)
    Cost *= kPrimaryReadCostFactor;
  if (Session.m_Pending->m_TriedInstances.contains(Instance.m_Name))
    Cost += kTriedInstanceCostMs;
  return Cost;
}

const InstanceDescription *
InstanceSelector::select(const CallerSession &Session,
                         const InstanceRequirement &Requirement, Time Now) {
  const DatabaseName &Database = Session.m_Policy.m_Database;
  const InstanceDescription *Primary = m_Tracker.primaryOf(Database, Now);
  if (Requirement.m_Target != StatementTarget::CaughtUp) {
    return Primary != nullptr && hasCapacity(Session, *Primary, Now) ? Primary
                                                                     : nullptr;
  }
  const InstanceDescription *Best = nullptr;
  double BestCost = 0;
  for (const InstanceDescription *Instance :
       m_Tracker.readyInstances(Database)) {
    bool IsPrimary = Instance == Primary;
    bool IsLagging =
        !IsPrimary && Now < m_Tracker.healthOf(Instance->m_Name).m_LaggingUntil;
    if (IsLagging || !hasCapacity(Session, *Instance, Now))
      continue;
    double Cost = estimateCost(Session, *Instance, IsPrimary, Now);
    if (Best != nullptr && Cost >= BestCost)
      continue;
    Best = Instance;
    BestCost = Cost;
  }
  return Best;
}

} // namespace almondpier
