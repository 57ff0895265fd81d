/// \file
/// What a host admits by itself while no leader lends rate tokens.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// Goes on at the pace at which the leader has lent, so that the hosts together
/// stay about as fast as before. An equal part of the rate for each host would
/// refuse most requests where sessions are spread unevenly over many hosts.
class FallbackRateLimiter {
public:
  /// Tokens of the leader used in the Length before Now.
  void recordUse(uint32_t Tokens, Duration Length, Time Now);
  /// The leader had fewer tokens than were wanted.
  void recordShortage(Time Now) { m_LastShortageAt = Now; }
  /// The leader that is absent, and what it shared.
  struct LeaderOutage {
    Time m_Since;
    /// The limit of all hosts together.
    Limit m_TotalLimit;
    size_t m_HostCount = 1;
    /// Whether this host has borrowed since its start, so that its use shows
    /// its part.
    bool m_HasBorrowed = true;
  };
  /// Adds what accrued in the absence.
  void refill(const LeaderOutage &Outage, Time Now);
  double tokens() const { return m_Tokens; }
  /// Takes a token; returns false when there is none.
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
