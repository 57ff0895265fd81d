#include "decision/control/FailoverController.h"

#include "decision/HostRanking.h"
#include "decision/control/LivenessController.h"

#include <algorithm>

namespace almondpier {

namespace {

/// An observer counts an instance as unreachable after this time without an
/// answer.
constexpr uint32_t kUnreachableThresholdMs = 400;
/// Owners hold new writes for this time before a planned switchover.
constexpr Duration kDrainHoldTime = std::chrono::milliseconds(300);
/// Minimum time between two switchover attempts, if the first left the primary
/// role at a draining instance.
constexpr Duration kSwitchoverRetryInterval = std::chrono::seconds(5);
/// Longer than two heartbeat intervals.
constexpr Duration kRoleLostTimeout = std::chrono::milliseconds(600);
constexpr size_t kMaxFailoverRecords = 200;
constexpr double kMicrosPerSecond = 1e6;

} // namespace

void FailoverController::reset() {
  m_PendingCalls.clear();
  m_ActiveFailovers.clear();
  m_FollowSupervisors.clear();
  m_SpareAdmissions.clear();
  m_DrainObservedAt.clear();
  m_LastSwitchoverAt.clear();
  m_RoleLostSince.clear();
  m_Board.m_FailoverSteps.clear();
}

void FailoverController::onAnswered(const InstanceCallAnswered &Event,
                                    ControlContext &Context) {
  std::optional<PendingInstanceCalls::Call> Call =
      m_PendingCalls.take(Event.m_Call);
  if (!Call)
    return;
  if (Call->m_Kind == InstanceCallKind::Follow) {
    m_FollowSupervisors[Call->m_Database].onAnswered(*Call, Event);
    return;
  }
  auto Failover = m_ActiveFailovers.find(Call->m_Database);
  const DatabaseRecord *Record =
      m_Board.configuration().findDatabase(Call->m_Database);
  if (Call->m_Kind == InstanceCallKind::Status && Record != nullptr)
    m_SpareAdmissions[Call->m_Database].onAnswered(*Call, Event, *Record,
                                                   Context);
  if (Failover == m_ActiveFailovers.end() || Record == nullptr)
    return;
  Failover->second->onAnswered(*Call, Event, Context);
  // Starts the next step without waiting for a clock tick.
  advance(*Failover->second, Call->m_Database, *Record, Context);
}

void FailoverController::advance(GroupFailover &Failover,
                                 const DatabaseName &Name,
                                 const DatabaseRecord &Record,
                                 ControlContext &Context) {
  Failover.tick(Record, m_PendingCalls, Context);
  m_Board.m_FailoverSteps[Name] = nameOf(Failover.step());
}

void FailoverController::tick(ControlContext &Context) {
  if (!m_Board.m_IsLeader || m_LeaderTerm != m_Board.m_Term) {
    reset();
    m_LeaderTerm = m_Board.m_Term;
  }
  if (!m_Board.m_IsLeader || m_Board.m_IsShuttingDown)
    return;
  collectReports(Context.m_Now);
  for (const std::pair<const DatabaseName, DatabaseRecord> &Entry :
       m_Board.configuration().databases())
    superviseDatabase(Entry.first, Entry.second, Context);
}

void FailoverController::collectReports(Time Now) {
  m_Reports.clear();
  for (const std::pair<const HostName, HostHealth> &Entry : m_Board.m_Health) {
    if (Now - Entry.second.m_HeardAt >= LivenessController::kLiveLimit)
      continue;
    for (const ReceivedReport &Received : Entry.second.m_Reports)
      m_Reports[Received.m_Report.m_Database].push_back(HostReport{
          Entry.first, Entry.second.m_AppliedIndex, &Received.m_Report});
  }
}

void FailoverController::superviseDatabase(const DatabaseName &Name,
                                           const DatabaseRecord &Record,
                                           ControlContext &Context) {
  auto Failover = m_ActiveFailovers.find(Name);
  if (Failover != m_ActiveFailovers.end()) {
    advance(*Failover->second, Name, Record, Context);
    if (Failover->second->step() != GroupFailover::Step::Done)
      return;
    finishFailover(*Failover->second, Context);
    m_ActiveFailovers.erase(Failover);
  }
  if (std::optional<std::string> Reason =
          failoverReason(Name, Record, Context.m_Now))
    return startFailover(Name, *Reason, Context);
  FollowSupervisor &Supervisor = m_FollowSupervisors[Name];
  auto Reports = m_Reports.find(Name);
  if (Reports != m_Reports.end())
    for (const HostReport &Report : Reports->second)
      Supervisor.onStateMismatch(Report.m_Report->m_Instance);
  Supervisor.tick(Name, Record, m_PendingCalls, Context);
  m_SpareAdmissions[Name].tick(Name, Record, m_PendingCalls, Context);
}

std::optional<std::string>
FailoverController::failoverReason(const DatabaseName &Name,
                                   const DatabaseRecord &Record, Time Now) {
  // Instances announced after the first term has begun become spares, so the
  // initial election waits until the group is complete.
  if (Record.m_BegunTerm == 0) {
    if (Record.m_Instances.size() < Record.m_GroupSize)
      return std::nullopt;
    return "first election";
  }
  if (Record.m_BegunTerm > Record.m_PrimaryTerm || !Record.m_Primary)
    return "unfinished term";
  if (isPrimaryLost(Name, Record, Now))
    return "primary lost";
  return switchoverReason(Name, Record, Now);
}

std::optional<std::string>
FailoverController::switchoverReason(const DatabaseName &Name,
                                     const DatabaseRecord &Record, Time Now) {
  if (!Record.m_Draining.contains(*Record.m_Primary)) {
    m_DrainObservedAt.erase(Name);
    return std::nullopt;
  }
  Time Since = m_DrainObservedAt.emplace(Name, Now).first->second;
  auto LastSwitchover = m_LastSwitchoverAt.find(Name);
  if (Now - Since < kDrainHoldTime ||
      (LastSwitchover != m_LastSwitchoverAt.end() &&
       Now - LastSwitchover->second < kSwitchoverRetryInterval))
    return std::nullopt;
  size_t Remaining = 0;
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Instances)
    Remaining += Record.m_Draining.contains(Entry.first) ? 0 : 1;
  if (Remaining < Record.majority())
    return std::nullopt;
  m_LastSwitchoverAt[Name] = Now;
  return "primary departs";
}

bool FailoverController::isPrimaryLost(const DatabaseName &Name,
                                       const DatabaseRecord &Record, Time Now) {
  auto Reports = m_Reports.find(Name);
  if (Reports == m_Reports.end() || m_Board.m_LiveHosts.m_Version == 0) {
    m_RoleLostSince.erase(Name);
    return false;
  }
  std::vector<HostName> Observers = rankHosts(
      Name, candidateHosts(m_Board.configuration(), m_Board.m_LiveHosts),
      kObserverCount);
  size_t Unreachable = 0;
  size_t RoleLost = 0;
  for (const HostReport &Report : Reports->second) {
    if (Report.m_Report->m_Instance != *Record.m_Primary ||
        std::find(Observers.begin(), Observers.end(), Report.m_Host) ==
            Observers.end())
      continue;
    if (Report.m_Report->m_UnreachableMs >= kUnreachableThresholdMs)
      ++Unreachable;
    else if (Report.m_Report->m_UnreachableMs == 0 &&
             !Report.m_Report->m_IsPrimary &&
             Report.m_Report->m_SealedTerm >= Record.m_PrimaryTerm)
      ++RoleLost;
  }
  size_t RequiredObservers =
      std::min(std::max<size_t>(Observers.size() / 2 + 1, 2),
               std::max<size_t>(Observers.size(), 1));
  if (Unreachable >= RequiredObservers)
    return true;
  // A restarted primary answers but no longer holds the primary role. Reports
  // may still show the state before a promotion, so the condition must persist
  // for kRoleLostTimeout.
  if (Unreachable + RoleLost < RequiredObservers) {
    m_RoleLostSince.erase(Name);
    return false;
  }
  Time Since = m_RoleLostSince.emplace(Name, Now).first->second;
  return Now - Since >= kRoleLostTimeout;
}

Duration FailoverController::detectionTime(const DatabaseName &Name) const {
  const DatabaseRecord *Record = m_Board.configuration().findDatabase(Name);
  auto Reports = m_Reports.find(Name);
  Duration Longest{};
  if (Reports == m_Reports.end())
    return Longest;
  for (const HostReport &Report : Reports->second)
    if (Report.m_Report->m_Instance == Record->m_Primary)
      Longest = std::max<Duration>(
          Longest, std::chrono::milliseconds(Report.m_Report->m_UnreachableMs));
  return Longest;
}

void FailoverController::startFailover(const DatabaseName &Name,
                                       const std::string &Reason,
                                       ControlContext &Context) {
  Context.reportStateChange("database " + Name.m_Value +
                            ": failover started: " + Reason);
  ++m_Started;
  m_RoleLostSince.erase(Name);
  m_ActiveFailovers[Name] = std::make_unique<GroupFailover>(
      Name, Reason, detectionTime(Name), Context.m_Now);
  advance(*m_ActiveFailovers[Name], Name,
          *m_Board.configuration().findDatabase(Name), Context);
}

void FailoverController::finishFailover(const GroupFailover &Failover,
                                        ControlContext &Context) {
  FailoverRecord Record = Failover.record(Context.m_Now);
  Record.m_WallTimeMs = m_Board.m_WallTimeMs;
  Context.reportStateChange(
      "database " + Record.m_Database.m_Value +
      ": failover completed: instance " + Record.m_Primary.m_Value +
      " is primary in term " + std::to_string(Record.m_Term) + " after " +
      std::to_string(Record.m_Total.count() / 1'000) + " ms");
  ++m_Finished;
  m_Restarted += Failover.restarts();
  m_TotalDuration += Record.m_Total;
  m_Board.m_FailoverSteps.erase(Record.m_Database);
  m_DrainObservedAt.erase(Record.m_Database);
  m_Board.m_Failovers.push_back(std::move(Record));
  if (m_Board.m_Failovers.size() > kMaxFailoverRecords)
    m_Board.m_Failovers.erase(m_Board.m_Failovers.begin());
}

CounterList FailoverController::counters() const {
  return {{"almondpier_failovers_started_total",
           "Changes of primary that this leader began.",
           static_cast<double>(m_Started)},
          {"almondpier_failovers_finished_total",
           "Changes of primary that this leader finished.",
           static_cast<double>(m_Finished)},
          {"almondpier_failover_restarts_total",
           "Terms given up during changes of primary.",
           static_cast<double>(m_Restarted)},
          {"almondpier_failover_seconds_total",
           "Time that finished changes of primary took.",
           static_cast<double>(m_TotalDuration.count()) / kMicrosPerSecond}};
}

} // namespace almondpier
