/// \file
/// The proxy server: serves clients, called callers in the code, over HTTP and
/// executes the actions of ProxyCore.
#pragma once

#include "almondpier/Net.h"

namespace almondpier {

struct ProxySettings {
  /// Record of this host. m_ForwardEndpoint is the TCP and UDP endpoint on
  /// which it listens for other hosts.
  HostRecord m_Host;
  /// HTTP endpoint for callers.
  Endpoint m_Listen;
  /// TCP and UDP endpoints of the control hosts to contact at start.
  std::vector<Endpoint> m_Control;
  /// Secret shared by all hosts, 16 to 64 bytes.
  std::string m_FleetSecret;
  /// Connections from callers beyond this number are refused.
  uint32_t m_MaxConnections = 20'000;
};

class ProxyServer {
public:
  /// Throws Error when an endpoint cannot be bound.
  ProxyServer(EventLoop &Loop, const ProxySettings &Settings);
  ~ProxyServer();
  ProxyServer(const ProxyServer &) = delete;
  ProxyServer &operator=(const ProxyServer &) = delete;

  /// Completes the work in progress and then stops the loop.
  void shutDown();

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
