/// \file
/// Tells every control host that this host is alive.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
/// The capacity changes only with the settings, so it is reported with one
/// heartbeat in four.
constexpr uint64_t kHeartbeatsPerCapacityReport = 4;

class HeartbeatController {
public:
  HeartbeatController(const HostName &Host, const HostCapacity &Capacity,
                      const ProxyBlackboard &Board, ProxyActions &Actions)
      : m_Host(Host), m_Capacity(Capacity), m_Board(Board), m_Actions(Actions) {
  }

  /// Sends a heartbeat when one is due or when the readiness changed.
  void tick(const std::vector<Endpoint> &ControlPeers, bool IsReady, Time Now);
  uint64_t sentCount() const { return m_SentCount; }

private:
  Heartbeat makeHeartbeat(bool IsReady);

  HostName m_Host;
  HostCapacity m_Capacity;
  const ProxyBlackboard &m_Board;
  ProxyActions &m_Actions;
  std::optional<Time> m_LastSent;
  bool m_WasReady = false;
  /// The report that the next heartbeat begins with.
  size_t m_NextReportIndex = 0;
  uint64_t m_SentCount = 0;
};

} // namespace almondpier
