#include "decision/proxy/OwnShare.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

namespace {

/// Time constant of the mean use, about the window of the limits. Over a
/// shorter period the mean of a burst could exceed the rate by much.
constexpr double kUseAveragingSeconds = 5;
/// An organisation counts as at its limit if the leader was short of tokens
/// within this time before the outage.
constexpr Duration kShortageWindow = std::chrono::seconds(5);
/// Fraction of its use that a host keeps at the limit. The rest covers hosts
/// that still reach a leader.
constexpr double kUseFractionAtLimit = 0.7;
/// Fraction of the equal share that a host gets in addition to its use.
constexpr double kExtraEqualShareFraction = 0.25;
/// Minimum fraction of the equal share below the limit: about the mean use of
/// organisations that use two thirds of their rates.
constexpr double kMinEqualShareFraction = 0.6;
/// Fraction of the equal share for a host that has never borrowed.
constexpr double kEqualShareFractionWithoutHistory = 0.8;
/// A host that served an organisation this recently, without a shortage, starts
/// with a full bucket: with many hosts, each gets less than one request of most
/// organisations during an outage.
constexpr Duration kInitialCreditWindow = std::chrono::seconds(15);

/// Bucket size in seconds of the rate. It absorbs uneven arrivals during an
/// election. At the limit, larger buckets at all hosts together would exceed
/// what the contract allows in a window.
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
