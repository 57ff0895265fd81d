#include "decision/proxy/OwnShare.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

namespace {

/// Limits count over windows of about this length, so the mean of the use over
/// it cannot exceed the rate by much, as a shorter mean of a burst would.
constexpr double kUseAveragingSeconds = 5;
/// An organisation for which the leader was short in this time is at its limit.
constexpr Duration kShortageWindow = std::chrono::seconds(5);
/// Of its own use, a host goes on with so much at a limit; the rest covers
/// hosts that still reach a leader.
constexpr double kUseFractionAtLimit = 0.7;
/// Part of its equal share of the rate that a host has besides.
constexpr double kExtraEqualShareFraction = 0.25;
/// Part of its equal share that a host has at least, below the limit: about the
/// mean use of organisations that use two thirds of their rates.
constexpr double kMinEqualShareFraction = 0.6;
/// The same for a host that never borrowed.
constexpr double kEqualShareFractionWithoutHistory = 0.8;
/// A host at which an organisation was served in this time without shortage
/// serves it at once: with many hosts, each has less than one request of most
/// organisations in an absence.
constexpr Duration kInitialCreditWindow = std::chrono::seconds(15);

/// Tokens for so long bridge uneven arrivals in the time of an election. At a
/// limit, more of them, saved up by all hosts, would add too much to a window
/// of the contract.
constexpr double kBurstSeconds = 2;
constexpr double kBurstSecondsAtLimit = 1;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

void FallbackRateLimiter::recordUse(uint32_t Tokens, Duration Length,
                                    Time Now) {
  double PreviousWeight = std::exp(-secondsOf(Length) / kUseAveragingSeconds);
  m_UsePerSecond = PreviousWeight * m_UsePerSecond +
                   (1 - PreviousWeight) * Tokens / secondsOf(Length);
  if (Tokens > 0)
    m_LastUseAt = Now;
}

bool FallbackRateLimiter::isAtLimit(const LeaderOutage &Outage) const {
  return m_LastShortageAt &&
         Outage.m_Since - *m_LastShortageAt < kShortageWindow;
}

double FallbackRateLimiter::ratePerSecond(const LeaderOutage &Outage) const {
  double EqualShare =
      Outage.m_TotalLimit.m_RatePerSecond /
      static_cast<double>(std::max<size_t>(1, Outage.m_HostCount));
  if (!Outage.m_HasBorrowed)
    return kEqualShareFractionWithoutHistory * EqualShare;
  double ExtraRate = kExtraEqualShareFraction * EqualShare;
  if (isAtLimit(Outage))
    return kUseFractionAtLimit * m_UsePerSecond + ExtraRate;
  return std::max(m_UsePerSecond + ExtraRate,
                  kMinEqualShareFraction * EqualShare);
}

void FallbackRateLimiter::refill(const LeaderOutage &Outage, Time Now) {
  double Rate = ratePerSecond(Outage);
  bool IsAtLimit = isAtLimit(Outage);
  double MaxTokens =
      std::max(1.0, Rate * (IsAtLimit ? kBurstSecondsAtLimit : kBurstSeconds));
  if (m_RefilledAt < Outage.m_Since) {
    m_RefilledAt = Outage.m_Since;
    bool HasCredit = m_LastUseAt &&
                     Outage.m_Since - *m_LastUseAt < kInitialCreditWindow &&
                     !IsAtLimit;
    m_Tokens = HasCredit ? MaxTokens : 0;
  }
  m_Tokens =
      std::min(MaxTokens, m_Tokens + Rate * secondsOf(Now - m_RefilledAt));
  m_RefilledAt = std::max(m_RefilledAt, Now);
}

bool FallbackRateLimiter::trySpend() {
  if (m_Tokens < 1)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace almondpier
