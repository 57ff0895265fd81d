#include "decision/session/InstancePace.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Answers are late when they take this many times as long as those of the
/// other instances. Statements of one kind differ by less on average.
constexpr double kLateFactor = 2;
constexpr double kLowerFactor = 0.7;
constexpr double kSmoothingFactor = 0.3;
/// Answers to statements that were in flight together count once.
constexpr Duration kMinLowerInterval = std::chrono::milliseconds(50);

} // namespace

void InstancePace::begin(Time Now) {
  *this = InstancePace();
  m_BegunAt = Now;
}

void InstancePace::onAnswered(double LatencyMs, double ReferenceMs,
                              double Usual, Time Now) {
  if (!m_BegunAt)
    return;
  m_LatencyMs = m_LatencyMs == 0 ? LatencyMs
                                 : (1 - kSmoothingFactor) * m_LatencyMs +
                                       kSmoothingFactor * LatencyMs;
  if (ReferenceMs > 0 && m_LatencyMs > kLateFactor * ReferenceMs)
    lower(Now);
  else
    m_Limit += m_HasBeenLate ? 1 / m_Limit : 1;
  if (m_Limit >= Usual || Now - *m_BegunAt >= kMaxRampTime)
    m_BegunAt.reset();
}

void InstancePace::onFailed(Time Now) {
  if (m_BegunAt)
    lower(Now);
}

void InstancePace::lower(Time Now) {
  m_HasBeenLate = true;
  if (Now - m_LoweredAt < kMinLowerInterval)
    return;
  m_LoweredAt = Now;
  m_Limit = std::max(1.0, m_Limit * kLowerFactor);
}

} // namespace almondpier
