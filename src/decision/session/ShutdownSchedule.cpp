#include "decision/session/ShutdownSchedule.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

/// Load balancers probe readiness every second and need two failed probes to
/// stop sending sessions.
static constexpr Duration kRotationTime = milliseconds(2'200);
/// Time for the last replies to be sent and for the process to exit.
static constexpr Duration kExitTime = milliseconds(700);

void ShutdownSchedule::begin(Time Now) {
  if (!m_BegunAt)
    m_BegunAt = Now;
}

Time ShutdownSchedule::end() const {
  return *m_BegunAt + std::max(m_Grace - kExitTime, m_Grace / 2);
}

bool ShutdownSchedule::isOutOfRotation(Time Now) const {
  return m_BegunAt && Now - *m_BegunAt >= std::min(kRotationTime, m_Grace / 2);
}

bool ShutdownSchedule::canFinish(Time Deadline) const {
  return !m_BegunAt || Deadline <= end();
}

bool ShutdownSchedule::canContinueTransaction(Time Deadline, Time Now) const {
  return !isHalfOver(Now) || canFinish(Deadline);
}

Time ShutdownSchedule::limit(Time Deadline) const {
  return m_BegunAt ? std::min(Deadline, end()) : Deadline;
}

bool ShutdownSchedule::isHalfOver(Time Now) const {
  return m_BegunAt && Now - *m_BegunAt >= m_Grace / 2;
}

bool ShutdownSchedule::isOver(Time Now) const {
  return m_BegunAt && Now >= end();
}

} // namespace almondpier
