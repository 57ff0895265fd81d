/// \file
/// Passes events to the core one after the other.
#pragma once

#include "almondpier/Net.h"
#include "decision/proxy/ProxyCore.h"

#include <deque>

namespace almondpier {

/// Handles events in order. An event that arises while actions are executed
/// waits until they are done. The process ends when an invariant is broken.
class ProxyDispatcher {
public:
  using Executor = std::function<void(ProxyAction &)>;

  ProxyDispatcher(EventLoop &Loop, ProxyCore &Core)
      : m_Loop(Loop), m_Core(Core) {}
  void setExecutor(Executor Execute) { m_Executor = std::move(Execute); }
  void dispatch(ProxyEvent Event);
  /// Actions that failed, such as messages over the size limit.
  uint64_t failureCount() const { return m_FailureCount; }

private:
  void handleNext();
  void execute(ProxyAction &Action);

  EventLoop &m_Loop;
  ProxyCore &m_Core;
  Executor m_Executor;
  std::deque<ProxyEvent> m_Events;
  bool m_IsDispatching = false;
  uint64_t m_FailureCount = 0;
};

} // namespace almondpier
