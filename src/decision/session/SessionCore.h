/// \file
/// Decision logic of a proxy that serves sessions over a stateful wire
/// protocol: admission, transactions, read guarantees and connections to
/// instances. It performs no I/O: it consumes events and returns actions.
#pragma once

#include "decision/proxy/ProxyCore.h"
#include "decision/session/SessionController.h"

namespace almondpier {

class SessionCore {
public:
  /// m_Host.m_ForwardEndpoint of the options is the endpoint from which
  /// datagrams are sent.
  SessionCore(const ProxyOptions &Options, const SessionLimits &Limits,
              Time Now);
  ~SessionCore();
  SessionCore(const SessionCore &) = delete;
  SessionCore &operator=(const SessionCore &) = delete;

  /// Handles an event and appends the resulting actions: those for sessions and
  /// instances to Actions, those for control hosts to ControlActions. Every
  /// statement of an accepted session gets exactly one ReplyToStatement unless
  /// the session ends first.
  void handle(const SessionEvent &Event, Time Now, SessionActions &Actions,
              ProxyActions &ControlActions);
  /// Returns whether the host accepts new sessions.
  bool isReady(Time Now) const;
  const ProxyBlackboard &blackboard() const;
  CounterList counters() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
