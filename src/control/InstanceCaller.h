/// \file
/// Platform requests to database instances.
#pragma once

#include "almondpier/Net.h"
#include "decision/control/ControlEvents.h"

namespace almondpier {

/// Sends each request on a connection of its own, so that a late answer cannot
/// be taken for that of another request.
class InstanceClient {
public:
  using Handler = std::function<void(const ControlEvent &)>;

  InstanceClient(EventLoop &Loop, Handler OnEvent)
      : m_Loop(Loop), m_OnEvent(std::move(OnEvent)) {}

  void call(const CallInstance &Call);

private:
  EventLoop &m_Loop;
  Handler m_OnEvent;
  std::map<InstanceCallId, std::unique_ptr<HttpClientConnection>> m_Calls;
};

} // namespace almondpier
