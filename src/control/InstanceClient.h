/// \file
/// HTTP client for the platform endpoints of database instances.
#pragma once

#include "almondpier/Net.h"
#include "decision/control/ControlEvents.h"

namespace almondpier {

/// Uses a separate connection for each request, so that a late answer cannot be
/// taken for the answer to another request.
class InstanceClient {
public:
  using Handler = std::function<void(const ControlEvent &)>;

  InstanceClient(EventLoop &Loop, Handler OnEvent)
      : m_Loop(Loop), m_OnEvent(std::move(OnEvent)) {}

  void call(const CallInstance &Call);
  /// Drops all calls in progress; they are not answered.
  void cancelCalls() { m_Calls.clear(); }

private:
  EventLoop &m_Loop;
  Handler m_OnEvent;
  std::map<InstanceCallId, std::unique_ptr<HttpClientConnection>> m_Calls;
};

} // namespace almondpier
