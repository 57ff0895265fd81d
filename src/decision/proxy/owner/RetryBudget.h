/// \file
/// Bounds retries of reads, so that a failing group is not sent a multiple of
/// its load.
#pragma once

#include "almondpier/Model.h"

#include <algorithm>

namespace almondpier {

/// Allows retries up to 10% of requests and at least 3 a second.
class RetryBudget {
public:
  void onRequest() { m_Tokens = std::min(m_Tokens + kShare, kMaxTokens); }

  /// Takes one retry; returns false when the budget is spent.
  bool take(Time Now) {
    Duration Passed = Now - m_RefilledAt;
    m_RefilledAt = Now;
    m_Floor =
        std::min(kFloorPerSecond,
                 m_Floor + kFloorPerSecond *
                               std::chrono::duration<double>(Passed).count());
    double &Source = m_Floor >= 1 ? m_Floor : m_Tokens;
    if (Source < 1)
      return false;
    Source -= 1;
    return true;
  }

private:
  static constexpr double kShare = 0.1;
  static constexpr double kFloorPerSecond = 3;
  /// Caps what quiet times save up.
  static constexpr double kMaxTokens = 100;

  double m_Tokens = 0;
  double m_Floor = kFloorPerSecond;
  Time m_RefilledAt{};
};

} // namespace almondpier
