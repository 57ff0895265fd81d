#include "proxy/ProxyDispatcher.h"

#include "almondpier/Telemetry.h"
#include "decision/Invariant.h"

#include <cstdlib>

namespace almondpier {

void ProxyDispatcher::dispatch(ProxyEvent Event) {
  m_Events.push_back(std::move(Event));
  if (m_IsDispatching)
    return;
  m_IsDispatching = true;
  try {
    while (!m_Events.empty())
      handleNext();
  } catch (const InvariantViolation &Violation) {
    // The state can no longer be trusted, and an exception must not pass
    // through libevent.
    writeLog(LogLevel::Error, Violation.what());
    std::_Exit(EXIT_FAILURE);
  }
  m_IsDispatching = false;
}

void ProxyDispatcher::handleNext() {
  ProxyEvent Event = std::move(m_Events.front());
  m_Events.pop_front();
  ProxyActions Actions;
  m_Core.handle(Event, m_Loop.now(), Actions);
  for (ProxyAction &Action : Actions)
    execute(Action);
}

void ProxyDispatcher::execute(ProxyAction &Action) {
  try {
    m_Executor(Action);
  } catch (const Error &Failure) {
    ++m_FailureCount;
    writeLog(LogLevel::Error, Failure.what());
  }
}

} // namespace almondpier
