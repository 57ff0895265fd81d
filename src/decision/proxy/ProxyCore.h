/// \file
/// All decisions of a proxy: admission, sessions, rate limits, forwarding, and
/// the groups it owns.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <memory>

namespace almondpier {

struct ProxyOptions {
  HostRecord m_Host;
  /// What the host can carry; unknown for hosts that publish nothing.
  HostCapacity m_Capacity;
  /// Rises with each start of the process.
  uint64_t m_Incarnation = 0;
  std::string m_FleetSecret;
  /// TCP and UDP endpoints of control hosts to begin with; poll replies name
  /// the current ones.
  std::vector<Endpoint> m_ControlPeers;
  uint64_t m_Seed = 0;
  /// Whether the proxy finds owners of databases by the list of live hosts.
  bool m_RoutesByLiveHosts = true;
};

class ProxyCore {
public:
  ProxyCore(const ProxyOptions &Options, Time Now);
  ~ProxyCore();
  ProxyCore(const ProxyCore &) = delete;
  ProxyCore &operator=(const ProxyCore &) = delete;

  /// Handles an event and appends the actions it causes. Every CallerRequest
  /// gets exactly one ReplyToCaller unless CallerGone came first.
  void handle(const ProxyEvent &Event, Time Now, ProxyActions &Actions);
  /// Whether the host takes new work; false before the first fresh
  /// configuration and from shutdown on.
  bool isReady(Time Now) const;
  const ProxyBlackboard &blackboard() const;
  CounterList counters() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
