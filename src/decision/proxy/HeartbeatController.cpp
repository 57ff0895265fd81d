#include "decision/proxy/HeartbeatController.h"

namespace almondpier {

// Header and hash of a datagram take 48 bytes.
static constexpr size_t kMaxHeartbeatBytes = kMaxDatagramBytes - 64;

void HeartbeatController::tick(const std::vector<Endpoint> &ControlPeers,
                               bool IsReady, Time Now) {
  bool IsDue = !m_LastSent || Now - *m_LastSent >= kHeartbeatInterval;
  if (!IsDue && IsReady == m_WasReady)
    return;
  m_LastSent = Now;
  m_WasReady = IsReady;
  Message Sent = makeHeartbeat(IsReady);
  bool ReportsCapacity =
      m_Capacity.isKnown() && m_SentCount % kHeartbeatsPerCapacityReport == 0;
  for (const Endpoint &Peer : ControlPeers) {
    m_Actions.push_back(SendDatagram{Peer, Sent});
    if (ReportsCapacity)
      m_Actions.push_back(
          SendDatagram{Peer, HostCapacityReport{m_Host, m_Capacity}});
  }
  ++m_SentCount;
}

Heartbeat HeartbeatController::makeHeartbeat(bool IsReady) {
  Heartbeat Result{m_Host, IsReady, m_Board.m_AppliedIndex, {}, false};
  const std::vector<InstanceReport> &Reports = m_Board.m_Reports;
  if (Reports.empty())
    return Result;
  // When not all reports fit, the next heartbeat goes on with the rest.
  size_t First = m_NextReportIndex % Reports.size();
  size_t Bytes = encode(Message(Result)).size();
  for (size_t Offset = 0; Offset < Reports.size(); ++Offset) {
    const InstanceReport &Next = Reports[(First + Offset) % Reports.size()];
    Heartbeat Single;
    size_t EmptyBytes = encode(Message(Single)).size();
    Single.m_Reports.push_back(Next);
    size_t NextBytes = encode(Message(Single)).size() - EmptyBytes;
    if (Bytes + NextBytes > kMaxHeartbeatBytes) {
      m_NextReportIndex = First + Offset;
      Result.m_IsPartial = true;
      return Result;
    }
    Bytes += NextBytes;
    Result.m_Reports.push_back(Next);
  }
  m_NextReportIndex = 0;
  return Result;
}

} // namespace almondpier
