#include "decision/session/InstanceSelector.h"

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// A connection that replaces another costs the instance about as much as a
/// statement, and again when the other one is wanted; a first one pays off.
constexpr double kReplacedConnectionMs = 14;
constexpr double kFirstConnectionMs = 3;
/// Expected time of a statement at an instance that was not used yet.
constexpr double kUnknownLatencyMs = 20;
/// Writes need the primary, so a read that a replica can serve prefers the
/// replica unless it is this much busier.
constexpr double kPrimaryReadCost = 2.5;
/// Statements to another zone take a round trip longer and use links that are
/// paid for, so a little more load in the own zone is accepted.
constexpr double kOtherZoneMs = 8;
/// An instance that failed the statement is chosen again only when no other one
/// can run it: above any latency.
constexpr double kTriedMs = 1'000;

} // namespace

Requirement InstanceChooser::requirementOf(const CallerSession &Session) const {
  const Task &Task = *Session.m_Task;
  if (Task.m_Target != Target::Recent)
    return Requirement{Task.m_Target, std::nullopt};
  Time Began = Session.m_State == TransactionState::None
                   ? Task.m_Received.m_ReceivedAt
                   : Session.m_TransactionSince;
  const PrimarySample *Sample = m_Views.sampleSince(
      Session.m_Policy.m_Database,
      Began - milliseconds(Session.m_Policy.m_MaxReadAgeMs));
  // Without a recent position of the primary, only the primary itself shows
  // what a read must observe; the read brings a new sample.
  if (Sample == nullptr)
    return Requirement{Target::ProvedPrimary, std::nullopt};
  return Requirement{Target::Recent,
                     std::max(Sample->m_Position, Session.m_LastCommit)};
}

bool InstanceChooser::hasPlace(const CallerSession &Session,
                               const InstanceDescription &Instance, Time Now) {
  const InstanceView &View = m_Views.viewOf(Instance.m_Name);
  // One statement finds out whether an unreachable instance is back.
  double Allowed = View.m_FailingSince ? 1 : View.m_Concurrency;
  return Now >= View.m_AvoidUntil &&
         static_cast<double>(m_Pool.busyAt(Instance.m_Name)) + 1 <= Allowed &&
         m_Pool.availability(Instance.m_Name, Session.m_Organisation) !=
             InstancePool::Availability::None;
}

std::string InstanceChooser::describeWait(const CallerSession &Session,
                                          Time Now) {
  Requirement Needed = requirementOf(Session);
  const DatabaseName &Database = Session.m_Policy.m_Database;
  const InstanceDescription *Primary = m_Views.primaryOf(Database, Now);
  if (Needed.m_Target != Target::Recent && Primary == nullptr)
    return "no primary is known";
  std::string Result = "no instance was free in time:";
  for (const InstanceDescription *Instance : m_Views.readyMembers(Database)) {
    if (Needed.m_Target != Target::Recent && Instance != Primary)
      continue;
    const InstanceView &View = m_Views.viewOf(Instance->m_Name);
    Result += " " + Instance->m_Name.m_Value + " runs " +
              std::to_string(m_Pool.busyAt(Instance->m_Name)) + " of " +
              std::to_string(static_cast<int>(View.m_Concurrency));
    if (Now < View.m_AvoidUntil)
      Result += " and is left alone";
    if (Now < View.m_LaggingUntil)
      Result += " and lags";
    if (m_Pool.availability(Instance->m_Name, Session.m_Organisation) ==
        InstancePool::Availability::None)
      Result += " and has no connection left";
  }
  return Result;
}

double InstanceChooser::costOf(const CallerSession &Session,
                               const InstanceDescription &Instance,
                               bool IsPrimary) {
  const InstanceView &View = m_Views.viewOf(Instance.m_Name);
  double Latency = View.m_LatencyMs == 0 ? kUnknownLatencyMs : View.m_LatencyMs;
  double Cost =
      Latency * static_cast<double>(m_Pool.busyAt(Instance.m_Name) + 1);
  InstancePool::Availability Place =
      m_Pool.availability(Instance.m_Name, Session.m_Organisation);
  if (Place == InstancePool::Availability::Replace)
    Cost += kReplacedConnectionMs;
  if (Place == InstancePool::Availability::New)
    Cost += kFirstConnectionMs;
  if (Instance.m_Zone != m_Board.m_Zone)
    Cost += kOtherZoneMs;
  if (IsPrimary)
    Cost *= kPrimaryReadCost;
  // Another instance is tried first after a failure.
  if (Session.m_Task->m_Tried.contains(Instance.m_Name))
    Cost += kTriedMs;
  return Cost;
}

const InstanceDescription *InstanceChooser::choose(const CallerSession &Session,
                                                   const Requirement &Needed,
                                                   Time Now) {
  const DatabaseName &Database = Session.m_Policy.m_Database;
  const InstanceDescription *Primary = m_Views.primaryOf(Database, Now);
  if (Needed.m_Target != Target::Recent) {
    return Primary != nullptr && hasPlace(Session, *Primary, Now) ? Primary
                                                                  : nullptr;
  }
  const InstanceDescription *Best = nullptr;
  double BestCost = 0;
  for (const InstanceDescription *Instance : m_Views.readyMembers(Database)) {
    bool IsPrimary = Instance == Primary;
    bool IsLagging =
        !IsPrimary && Now < m_Views.viewOf(Instance->m_Name).m_LaggingUntil;
    if (IsLagging || !hasPlace(Session, *Instance, Now))
      continue;
    double Cost = costOf(Session, *Instance, IsPrimary);
    if (Best != nullptr && Cost >= BestCost)
      continue;
    Best = Instance;
    BestCost = Cost;
  }
  return Best;
}

} // namespace almondpier
