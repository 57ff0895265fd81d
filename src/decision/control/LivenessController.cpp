#include "decision/control/LivenessController.h"

#include <algorithm>

namespace almondpier {

namespace {

/// A registration that had no effect is repeated after this time.
constexpr Duration kRegistrationInterval = std::chrono::seconds(1);
/// A longer gap between ticks means that this process was suspended; heartbeats
/// may wait unread, so no host is declared dead until they had time to arrive.
constexpr Duration kSuspensionGap = std::chrono::milliseconds(300);
/// Heartbeats older than this are forgotten.
constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

void LivenessController::onHeartbeat(const Heartbeat &Heartbeat, Time Now) {
  HostHealth &Health = m_Board.m_Health[Heartbeat.m_Host];
  Health.m_HeardAt = Now;
  Health.m_Ready = Heartbeat.m_Ready;
  Health.m_AppliedIndex = Heartbeat.m_AppliedIndex;
  if (Heartbeat.m_IsPartial)
    keepOtherReports(Health, Heartbeat, Now);
  else
    Health.m_Reports.clear();
  for (const InstanceReport &Report : Heartbeat.m_Reports)
    Health.m_Reports.push_back(ReceivedReport{Report, Now});
}

void LivenessController::keepOtherReports(HostHealth &Health,
                                          const Heartbeat &Heartbeat,
                                          Time Now) {
  std::erase_if(Health.m_Reports, [&](const ReceivedReport &Known) {
    if (Now - Known.m_ReceivedAt >= kLiveLimit)
      return true;
    return std::any_of(Heartbeat.m_Reports.begin(), Heartbeat.m_Reports.end(),
                       [&](const InstanceReport &Report) {
                         return Report.m_Database ==
                                    Known.m_Report.m_Database &&
                                Report.m_Instance == Known.m_Report.m_Instance;
                       });
  });
}

void LivenessController::onHostRecord(const HostRecord &Host,
                                      ControlContext &Context) {
  const std::map<HostName, HostRecord> &Known = m_Board.configuration().hosts();
  auto Found = Known.find(Host.m_Name);
  if (Found != Known.end() && Found->second == Host) {
    m_RegisteredAt.erase(Host.m_Name);
    return;
  }
  if (!isValidName(Host.m_Name.m_Value))
    return;
  auto [Last, IsNew] = m_RegisteredAt.emplace(Host.m_Name, Context.m_Now);
  if (!IsNew && Context.m_Now - Last->second < kRegistrationInterval)
    return;
  Last->second = Context.m_Now;
  if (m_Board.m_IsLeader)
    Context.proposeBySystem(RegisterHost{Host}, Host.m_Name.m_Value);
  else
    m_Relays.push_back(Host);
}

void LivenessController::onCapacityReport(const HostCapacityReport &Report,
                                          ControlContext &Context) {
  const Configuration &InForce = m_Board.configuration();
  if (!m_Board.m_IsLeader || !m_Board.canExtendConfiguration() ||
      !InForce.hosts().contains(Report.m_Host))
    return;
  auto Known = InForce.hostCapacities().find(Report.m_Host);
  HostCapacity Recorded =
      Known == InForce.hostCapacities().end() ? HostCapacity() : Known->second;
  if (Recorded == Report.m_Capacity) {
    m_CapacityProposedAt.erase(Report.m_Host);
    return;
  }
  auto [Last, IsNew] =
      m_CapacityProposedAt.emplace(Report.m_Host, Context.m_Now);
  if (!IsNew && Context.m_Now - Last->second < kRegistrationInterval)
    return;
  Last->second = Context.m_Now;
  Context.proposeBySystem(SetHostCapacity{Report.m_Host, Report.m_Capacity},
                          Report.m_Host.m_Value);
}

void LivenessController::onLeaderList(const LiveHosts &List) {
  bool IsNewer = List.m_Term > m_Board.m_LiveHosts.m_Term ||
                 (List.m_Term == m_Board.m_LiveHosts.m_Term &&
                  List.m_Version > m_Board.m_LiveHosts.m_Version);
  if (IsNewer && List.m_Version > 0)
    m_Board.m_LiveHosts = List;
}

void LivenessController::tick(ControlContext &Context) {
  if (Context.m_Now - m_TickedAt > kSuspensionGap)
    m_CompleteAfter = Context.m_Now + kLiveLimit;
  m_TickedAt = Context.m_Now;
  std::erase_if(m_Board.m_Health, [&](const auto &Entry) {
    return Context.m_Now - Entry.second.m_HeardAt > kForgetAfter;
  });
  // Heartbeats come to the leader, so a new one has heard of no host yet.
  bool IsComplete = Context.m_Now >= m_CompleteAfter &&
                    Context.m_Now >= m_Board.m_LeaderSince + kLiveLimit;
  if (m_Board.m_IsLeader && IsComplete)
    publish(Context);
}

void LivenessController::publish(ControlContext &Context) {
  std::vector<LiveHost> Hosts;
  for (const std::pair<const HostName, HostHealth> &Entry : m_Board.m_Health)
    if (Context.m_Now - Entry.second.m_HeardAt < kLiveLimit)
      Hosts.push_back(LiveHost{Entry.first, Entry.second.m_Ready});
  LiveHosts &Published = m_Board.m_LiveHosts;
  bool IsOwn = Published.m_Term == m_Board.m_Term && Published.m_Version > 0;
  if (IsOwn && Published.m_Hosts == Hosts)
    return;
  if (Published.m_Hosts.size() != Hosts.size())
    Context.reportStateChange(std::to_string(Hosts.size()) + " hosts are live");
  uint64_t Version = IsOwn ? Published.m_Version + 1 : 1;
  Published = LiveHosts{m_Board.m_Term, Version, std::move(Hosts)};
}

} // namespace almondpier
