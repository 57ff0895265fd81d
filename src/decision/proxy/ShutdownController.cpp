#include "decision/proxy/ShutdownController.h"

namespace almondpier {

void ShutdownController::begin(Time Now) {
  if (m_BegunAt)
    return;
  m_BegunAt = Now;
  m_Board.m_IsShuttingDown = true;
  m_Actions.push_back(ReportStateChange{"shutdown begins"});
}

bool ShutdownController::refusesNewWork(Time Now) const {
  return m_BegunAt && Now - *m_BegunAt >= kShutdownGracePeriod;
}

bool ShutdownController::tick(size_t WorkInProgress, Time Now) {
  if (!m_BegunAt || m_IsComplete || !refusesNewWork(Now))
    return false;
  bool IsOverdue = Now - *m_BegunAt >= kShutdownTimeout;
  if (WorkInProgress > 0 && !IsOverdue)
    return false;
  m_IsComplete = true;
  m_Actions.push_back(ReportStateChange{
      WorkInProgress == 0
          ? "shutdown complete"
          : "shutdown ends with " + std::to_string(WorkInProgress) +
                " requests or transactions unfinished"});
  return true;
}

} // namespace almondpier
