/// \file
/// Asks instances for their status over connections that are kept alive.
#pragma once

#include "proxy/ProxyDispatcher.h"

#include <unordered_map>

namespace almondpier {

class StatusProber {
public:
  StatusProber(EventLoop &Loop, ProxyDispatcher &Events)
      : m_Loop(Loop), m_Events(Events) {}

  void start(const ProbeInstance &Action);
  CounterList counters() const;

private:
  using Connection = std::unique_ptr<HttpClientConnection>;
  struct Probe {
    ProbeInstance m_Action;
    Connection m_Connection;
    /// The connection carried a probe before, so the instance may have closed
    /// it meanwhile.
    bool m_IsReused = false;
    std::unique_ptr<OneShotTimer> m_Timeout;
  };

  Connection takeIdle(const Endpoint &Platform);
  void keepIdle(const Endpoint &Platform, Connection Idle);
  void send(ProbeId Id);
  void onResult(
      ProbeId Id,
      const std::variant<HttpResponse, HttpClientConnection::Failure> &Result);
  void finish(ProbeId Id, std::optional<InstanceStatus> Status);

  EventLoop &m_Loop;
  ProxyDispatcher &m_Events;
  std::unordered_map<uint64_t, Probe> m_Probes;
  std::map<Endpoint, std::vector<Connection>> m_Idle;
  uint64_t m_ProbeCount = 0;
  uint64_t m_FailureCount = 0;
};

} // namespace almondpier
