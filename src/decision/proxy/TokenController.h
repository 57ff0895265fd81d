/// \file
/// Borrows rate tokens from the control leader and spends one on each request.
#pragma once

#include "decision/proxy/LinkTable.h"
#include "decision/proxy/OwnShare.h"

#include <deque>

namespace almondpier {

constexpr Duration kTokenRequestInterval = std::chrono::milliseconds(20);
/// Longest wait for a token while the leader answers but has none to lend.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(250);
/// Longest wait for a token while no leader answers.
constexpr Duration kMaxLeaderWait = std::chrono::milliseconds(2'000);
/// A new leader starts with empty buckets and faces the requests that queued
/// up during the election. For this time after a leader change, requests
/// wait up to kMaxLeaderWait instead of kMaxTokenWait.
constexpr Duration kLeaderChangeGracePeriod = std::chrono::milliseconds(3'000);

class TokenController {
public:
  struct RefusedWaiter {
    CallerRequestId m_Id;
    ErrorReport m_Error;
  };

  /// With Board, a local rate limit applies while no leader answers. Without
  /// Board, requests wait for a leader.
  TokenController(const HostName &Host, LinkTable &Links, ProxyActions &Actions,
                  const ProxyBlackboard *Board = nullptr);

  /// Spends a token for a request that is not queued. Returns false if there
  /// is none or if other requests of the organisation are queued for one.
  bool trySpend(const OrganisationName &Organisation, Time Now);
  /// Spends a token for a request that takeServableWaiters() returned.
  bool trySpendForWaiter(const OrganisationName &Organisation, Time Now);
  /// MaxWait limits the wait while the leader answers but has no token.
  void enqueueWaiter(const OrganisationName &Organisation, CallerRequestId Id,
                     Time Deadline, Time Now, Duration MaxWait = kMaxTokenWait);
  void removeWaiter(const OrganisationName &Organisation, CallerRequestId Id);
  /// Dequeues the requests for which tokens are available, in order of arrival
  /// within each organisation.
  std::vector<CallerRequestId> takeServableWaiters(Time Now);
  /// Dequeues the requests whose wait has timed out.
  std::vector<RefusedWaiter> takeRefusedWaiters(Time Now);

  void setLeader(const std::optional<Endpoint> &Leader, Time Now);
  void onGrant(LinkId Link, const TokenGrant &Grant, Time Now);
  void onLinkLost(LinkId Link);
  /// Requests the tokens needed now, at most once per kTokenRequestInterval.
  void requestTokens(Time Now);
  void tick(Time Now);
  /// Returns all unused tokens to the leader before the process ends.
  void returnAll(Time Now);

  uint64_t fallbackTokensSpent() const { return m_FallbackTokensSpent; }
  uint64_t tokensBorrowed() const { return m_Borrowed; }
  uint64_t tokensSpent() const { return m_Spent; }
  uint64_t tokensReturned() const { return m_Returned; }
  uint64_t tokensExpired() const { return m_Expired; }
  size_t waitingCount() const { return m_WaitingCount; }

private:
  struct Loan {
    uint32_t m_Tokens = 0;
    Time m_ExpiresAt;
    Time m_ReturnAt;
    uint64_t m_LeaderTerm = 0;
  };
  struct Waiter {
    CallerRequestId m_Id;
    Time m_Since;
    Time m_Deadline;
    Duration m_MaxWait{};
  };
  struct Account {
    /// Ordered by expiry.
    std::deque<Loan> m_Loans;
    std::deque<Waiter> m_Waiters;
    /// Tokens requested and not answered yet.
    uint32_t m_RequestedForWaiters = 0;
    uint32_t m_RequestedAhead = 0;
    Time m_NextRequestAt;
    /// Send time of the latest request granted fewer tokens than requested.
    std::optional<Time> m_LastShortRequestAt;
    uint32_t m_RetryAfterMs = 0;
    uint32_t m_UsedInWindow = 0;
    double m_UsePerSecond = 0;
    /// Limits the rate locally while no leader answers.
    FallbackRateLimiter m_Fallback;
    /// Tokens to borrow ahead; doubled when they run out, halved in each use
    /// window.
    uint32_t m_BurstTarget = 0;
  };
  struct OutstandingRequest {
    Time m_SentAt;
    std::vector<TokenDemand> m_Asks;
  };

  /// Whether the leader has been silent long enough to use the local limit.
  bool isLeaderless(Time Now) const;
  void refillFallback(const OrganisationName &Organisation, Account &Account,
                      Time Now);
  static uint32_t availableTokens(Account &Account, Time Now);
  bool trySpend(Account &Account, Time Now);
  void expireLoans(Account &Account, Time Now);
  void returnUnused(const OrganisationName &Organisation, Account &Account,
                    Time Now);
  void returnLoan(const OrganisationName &Organisation, const Loan &Loan);
  void updateUseRates(Time Now);
  std::optional<TokenDemand> computeDemand(const OrganisationName &Organisation,
                                           Account &Account, Time Now) const;
  void sendTokenRequest(LinkId Link, Time Now);
  void discardOutstandingRequests();
  void applyLoan(const OutstandingRequest &Answered, const TokenDemand &Ask,
                 const TokenGrant &Grant, Time Now);
  std::optional<ErrorReport> refusalFor(const Account &Account,
                                        const Waiter &Waiter, Time Now) const;

  HostName m_Host;
  LinkTable &m_Links;
  ProxyActions &m_Actions;
  const ProxyBlackboard *m_Board;
  /// Send time of the oldest unanswered need for tokens, if any.
  std::optional<Time> m_UnansweredSince;
  uint64_t m_FallbackTokensSpent = 0;
  std::map<OrganisationName, Account> m_Accounts;
  std::map<uint64_t, OutstandingRequest> m_OutstandingRequests;
  std::optional<Endpoint> m_Leader;
  std::optional<LinkId> m_RequestLink;
  uint64_t m_Sequence = 0;
  size_t m_WaitingCount = 0;
  Time m_LastRequestAt;
  uint64_t m_LeaderTerm = 0;
  /// When the first grant of the current leader arrived, if another led before.
  std::optional<Time> m_LeaderChangedAt;
  Time m_UseWindowStart;
  uint64_t m_Borrowed = 0;
  uint64_t m_Spent = 0;
  uint64_t m_Returned = 0;
  uint64_t m_Expired = 0;
};

} // namespace almondpier
