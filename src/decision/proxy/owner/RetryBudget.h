/// \file
/// Limits retries of reads, so that they do not multiply the load on a failing
/// group.
#pragma once

#include "almondpier/Model.h"

#include <algorithm>

namespace almondpier {

/// Token buckets that allow retries for 10% of the requests and at least 3
/// retries per second.
class RetryBudget {
public:
  /// Adds the share of one request to the budget.
  void deposit() {
    m_RatioTokens = std::min(m_RatioTokens + kRetryRatio, kMaxRatioTokens);
  }

  /// Withdraws one retry. Returns false if the budget is exhausted.
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
  /// Limits the tokens that accumulate while nothing fails.
  static constexpr double kMaxRatioTokens = 100;

  double m_RatioTokens = 0;
  double m_MinimumTokens = kMinRetriesPerSecond;
  Time m_LastRefill{};
};

} // namespace almondpier
