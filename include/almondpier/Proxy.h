/// \file
/// The proxy of an entry host: serves callers over HTTP and executes what
/// ProxyCore decides.
#pragma once

#include "almondpier/Net.h"

namespace almondpier {

struct ProxySettings {
  /// m_Forward is where this host listens for other hosts, by TCP and UDP.
  HostRecord m_Host;
  /// HTTP endpoint for callers.
  Endpoint m_Listen;
  /// TCP and UDP endpoints of control hosts to begin with.
  std::vector<Endpoint> m_Control;
  /// 16 to 64 bytes.
  std::string m_FleetSecret;
  /// Connections of callers beyond this number are refused.
  uint32_t m_MaxConnections = 20'000;
};

class ProxyServer {
public:
  /// Throws Error when an endpoint cannot be bound.
  ProxyServer(EventLoop &Loop, const ProxySettings &Settings);
  ~ProxyServer();
  ProxyServer(const ProxyServer &) = delete;
  ProxyServer &operator=(const ProxyServer &) = delete;

  /// Finishes the work in progress and then stops the loop.
  void shutDown();

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
