/// \file
/// Local rate limit of an organisation while no leader lends rate tokens.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// A token bucket refilled at the rate at which the host used tokens of the
/// leader, so that the total over all hosts stays about the same. An equal
/// share of the limit per host would refuse most requests when sessions are
/// spread unevenly over many hosts.
class FallbackRateLimiter {
public:
  /// Records the tokens of the leader used in the Length before Now.
  void recordUse(uint32_t Tokens, Duration Length, Time Now);
  /// Records that the leader granted fewer tokens than requested.
  void recordShortage(Time Now) { m_LastShortageAt = Now; }
  /// The current period without a leader.
  struct LeaderOutage {
    Time m_Since;
    /// The limit of all hosts together.
    Limit m_TotalLimit;
    size_t m_HostCount = 1;
    /// Whether this host has borrowed tokens since it started. Otherwise its
    /// recorded use says nothing about its share.
    bool m_HasBorrowed = true;
  };
  /// Adds the tokens accrued since the outage began or since the last refill.
  void refill(const LeaderOutage &Outage, Time Now);
  double tokens() const { return m_Tokens; }
  /// Returns false if no token is left.
  bool trySpend();

private:
  double ratePerSecond(const LeaderOutage &Outage) const;
  bool isAtLimit(const LeaderOutage &Outage) const;

  double m_UsePerSecond = 0;
  std::optional<Time> m_LastUseAt;
  std::optional<Time> m_LastShortageAt;
  double m_Tokens = 0;
  Time m_RefilledAt;
};

} // namespace almondpier
