/// \file
/// Announces an instance to the control hosts.
#pragma once

#include "standin/Context.h"

namespace almondpier {

/// Sends one announcement a second, to another control host after a failure.
class Announcer {
public:
  explicit Announcer(StandInContext &Context);

private:
  void announce();

  StandInContext &m_Context;
  size_t m_Control = 0;
  std::unique_ptr<HttpClientConnection> m_Connection;
  Timer m_Timer;
};

} // namespace almondpier
