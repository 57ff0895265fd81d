/// \file
/// Borrows rate tokens from the control leader and spends them on requests.
#pragma once

#include "decision/proxy/LinkTable.h"
#include "decision/proxy/OwnShare.h"

#include <deque>

namespace almondpier {

constexpr Duration kTokenRequestInterval = std::chrono::milliseconds(20);
/// A request waits so long for a token when the leader has none to lend.
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(250);
/// A request waits so long when no leader answers.
constexpr Duration kMaxLeaderWait = std::chrono::milliseconds(2'000);
/// A new leader begins with empty buckets while requests of the election have
/// piled up, so for this time after a change a request waits as long as for an
/// answer.
constexpr Duration kLeaderChangeGracePeriod = std::chrono::milliseconds(3'000);

class TokenController {
public:
  struct RefusedWaiter {
    CallerRequestId m_Id;
    ErrorReport m_Error;
  };

  /// With Board, this host admits its share of each rate by itself while no
  /// leader lends; without one, requests wait for a leader.
  TokenController(const HostName &Host, LinkTable &Links, ProxyActions &Actions,
                  const ProxyBlackboard *Board = nullptr);

  /// Spends a token of the organisation for a request that does not wait.
  /// Returns false while there is none, or while others wait for one.
  bool trySpend(const OrganisationName &Organisation, Time Now);
  /// Spends a token for a request that takeServable() returned.
  bool trySpendForWaiter(const OrganisationName &Organisation, Time Now);
  /// Patience is how long the request waits while the leader has no token.
  void enqueueWaiter(const OrganisationName &Organisation, CallerRequestId Id,
                     Time Deadline, Time Now, Duration MaxWait = kMaxTokenWait);
  void removeWaiter(const OrganisationName &Organisation, CallerRequestId Id);
  /// Removes from the queues the requests for which there are tokens now, in
  /// order of arrival.
  std::vector<CallerRequestId> takeServableWaiters(Time Now);
  /// Requests that waited as long as allowed.
  std::vector<RefusedWaiter> takeRefusedWaiters(Time Now);

  void setLeader(const std::optional<Endpoint> &Leader, Time Now);
  void onGrant(LinkId Link, const TokenGrant &Grant, Time Now);
  void onLinkLost(LinkId Link);
  /// Sends what is wanted unless the last request is too recent.
  void requestTokens(Time Now);
  void tick(Time Now);
  /// Gives all tokens back, before the process ends.
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
    /// Soonest to expire first.
    std::deque<Loan> m_Loans;
    std::deque<Waiter> m_Waiters;
    /// Asked for and not answered yet.
    uint32_t m_RequestedForWaiters = 0;
    uint32_t m_RequestedAhead = 0;
    Time m_NextRequestAt;
    /// Send time of the latest request that brought fewer tokens than wanted.
    std::optional<Time> m_LastShortRequestAt;
    uint32_t m_RetryAfterMs = 0;
    uint32_t m_UsedInWindow = 0;
    double m_UsePerSecond = 0;
    /// Tokens of this host's own share, while no leader lends.
    FallbackRateLimiter m_Fallback;
    /// Wanted ahead after the tokens ran out; decays when they last.
    uint32_t m_BurstTarget = 0;
  };
  struct OutstandingRequest {
    Time m_SentAt;
    std::vector<TokenDemand> m_Asks;
  };

  /// Whether no leader has answered for so long that this host uses its share.
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
  /// Since when an answer of a leader is due; nothing while none is.
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
  /// When the first grant of another leader came.
  std::optional<Time> m_LeaderChangedAt;
  Time m_UseWindowStart;
  uint64_t m_Borrowed = 0;
  uint64_t m_Spent = 0;
  uint64_t m_Returned = 0;
  uint64_t m_Expired = 0;
};

} // namespace almondpier
