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
  void deposit() {
    m_RatioTokens = std::min(m_RatioTokens + kRetryRatio, kMaxRatioTokens);
  }

  /// Takes one retry; returns false when the budget is spent.
  bool tryWithdraw(Time Now) {
    Duration Passed = Now - m_LastRefill;
    m_LastRefill = Now;
    m_MinimumTokens = std::min(
        kMinRetriesPerSecond,
        m_MinimumTokens + kMinRetriesPerSecond *
                              std::chrono::duration<double>(Passed).count());
    double &Source = m_MinimumTokens >= 1 ? m_MinimumTokens : m_RatioTokens;
    if (Source < 1)
      return false;
    Source -= 1;
    return true;
  }

private:
  static constexpr double kRetryRatio = 0.1;
  static constexpr double kMinRetriesPerSecond = 3;
  /// Caps what quiet times save up.
  static constexpr double kMaxRatioTokens = 100;

  double m_RatioTokens = 0;
  double m_MinimumTokens = kMinRetriesPerSecond;
  Time m_LastRefill{};
};

} // namespace almondpier
