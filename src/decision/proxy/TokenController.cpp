#include "decision/proxy/TokenController.h"

#include "decision/Invariant.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

using std::chrono::milliseconds;

// Reconnects to a leader that does not answer a request within this time.
static constexpr Duration kAnswerTimeout = milliseconds(400);
// Longest interval between requests while the leader is short of tokens. Bounds
// the time until a silent leader is noticed.
static constexpr Duration kMaxShortRequestInterval = milliseconds(100);
// A leader counts as responsive if it answered a request sent this recently.
static constexpr Duration kRecentAnswerWindow = milliseconds(200);
// Leaves a returned token time to reach the leader before it expires there.
static constexpr Duration kReturnMargin = milliseconds(60);
static constexpr Duration kUseWindow = milliseconds(100);
static constexpr double kUseWindowSeconds = 0.1;
// Tokens are borrowed ahead for the expected use of this period.
static constexpr double kBorrowAheadSeconds = 0.1;
static constexpr uint32_t kMaxTokensPerRequest = 100'000;
static constexpr uint32_t kMaxBurstTarget = 10'000;

// A leader that has not answered for this time counts as absent. Elections take
// several times as long.
static constexpr Duration kLeaderlessTimeout = milliseconds(150);

TokenController::TokenController(const HostName &Host, LinkTable &Links,
                                 ProxyActions &Actions,
                                 const ProxyBlackboard *Board)
    : m_Host(Host), m_Links(Links), m_Actions(Actions), m_Board(Board) {}

bool TokenController::isLeaderless(Time Now) const {
  return m_Board != nullptr && m_UnansweredSince &&
         Now - *m_UnansweredSince >= kLeaderlessTimeout;
}

void TokenController::refillFallback(const OrganisationName &Organisation,
                                     Account &Account, Time Now) {
  // Counts registered hosts that are down too, so that the shares of all hosts
  // never exceed the rate.
  size_t Hosts = std::max(m_Board->m_Configuration.hosts().size(),
                          m_Board->m_LiveHosts.m_Hosts.size());
  Limit TotalLimit =
      m_Board->m_Configuration.activePreset().limitOf(Organisation);
  Account.m_Fallback.refill(
      FallbackRateLimiter::LeaderOutage{*m_UnansweredSince, TotalLimit, Hosts,
                                        m_Borrowed > 0},
      Now);
}

uint32_t TokenController::availableTokens(Account &Account, Time Now) {
  uint32_t Sum = 0;
  for (const Loan &Loan : Account.m_Loans)
    if (Now < Loan.m_ExpiresAt)
      Sum += Loan.m_Tokens;
  return Sum;
}

bool TokenController::trySpend(Account &Account, Time Now) {
  expireLoans(Account, Now);
  if (Account.m_Loans.empty()) {
    if (!isLeaderless(Now) || !Account.m_Fallback.trySpend())
      return false;
    ++m_FallbackTokensSpent;
    ++Account.m_UsedInWindow;
    return true;
  }
  Loan &Next = Account.m_Loans.front();
  requireInvariant(Next.m_Tokens > 0 && Now < Next.m_ExpiresAt, "R7",
                   "a spent token is lent and not expired");
  --Next.m_Tokens;
  if (Next.m_Tokens == 0)
    Account.m_Loans.pop_front();
  ++Account.m_UsedInWindow;
  ++m_Spent;
  return true;
}

bool TokenController::trySpend(const OrganisationName &Organisation, Time Now) {
  Account &Account = m_Accounts[Organisation];
  if (isLeaderless(Now))
    refillFallback(Organisation, Account, Now);
  return Account.m_Waiters.empty() && trySpend(Account, Now);
}

bool TokenController::trySpendForWaiter(const OrganisationName &Organisation,
                                        Time Now) {
  return trySpend(m_Accounts[Organisation], Now);
}

void TokenController::enqueueWaiter(const OrganisationName &Organisation,
                                    CallerRequestId Id, Time Deadline, Time Now,
                                    Duration MaxWait) {
  m_Accounts[Organisation].m_Waiters.push_back(
      Waiter{Id, Now, Deadline, MaxWait});
  ++m_WaitingCount;
  requestTokens(Now);
}

void TokenController::removeWaiter(const OrganisationName &Organisation,
                                   CallerRequestId Id) {
  auto Account = m_Accounts.find(Organisation);
  if (Account != m_Accounts.end())
    m_WaitingCount -=
        std::erase_if(Account->second.m_Waiters,
                      [&](const Waiter &Entry) { return Entry.m_Id == Id; });
}

std::vector<CallerRequestId> TokenController::takeServableWaiters(Time Now) {
  std::vector<CallerRequestId> Servable;
  if (m_WaitingCount == 0)
    return Servable;
  for (auto &[Organisation, Account] : m_Accounts) {
    if (Account.m_Waiters.empty())
      continue;
    uint32_t Tokens = availableTokens(Account, Now);
    if (isLeaderless(Now)) {
      refillFallback(Organisation, Account, Now);
      Tokens += static_cast<uint32_t>(Account.m_Fallback.tokens());
    }
    for (; Tokens > 0 && !Account.m_Waiters.empty(); --Tokens) {
      Servable.push_back(Account.m_Waiters.front().m_Id);
      Account.m_Waiters.pop_front();
    }
  }
  m_WaitingCount -= Servable.size();
  return Servable;
}

std::optional<ErrorReport> TokenController::refusalFor(const Account &Account,
                                                       const Waiter &Waiter,
                                                       Time Now) const {
  Duration Waited = Now - Waiter.m_Since;
  bool LeaderAnswers =
      Account.m_LastShortRequestAt &&
      *Account.m_LastShortRequestAt >= Waiter.m_Since &&
      Now - *Account.m_LastShortRequestAt <= kRecentAnswerWindow;
  // Without a leader, requests wait for the local rate limit.
  if (isLeaderless(Now) && Waited >= Waiter.m_MaxWait)
    return ErrorReport{ErrorKind::RateLimited,
                       "no leader lends, and this host's share is used",
                       Ran::No, 1};
  bool IsLeaderNew =
      m_LeaderChangedAt && Now - *m_LeaderChangedAt < kLeaderChangeGracePeriod;
  Duration MaxWait = IsLeaderNew ? kMaxLeaderWait : Waiter.m_MaxWait;
  if (LeaderAnswers && (Waited >= MaxWait || Now >= Waiter.m_Deadline))
    return ErrorReport{ErrorKind::RateLimited,
                       "the organisation is above its rate", Ran::No,
                       std::max(Account.m_RetryAfterMs, 1U)};
  if (Waited >= kMaxLeaderWait || Now >= Waiter.m_Deadline)
    return ErrorReport{ErrorKind::ConfigurationStale,
                       "no control leader answers requests for rate tokens",
                       Ran::No, 0};
  return std::nullopt;
}

std::vector<TokenController::RefusedWaiter>
TokenController::takeRefusedWaiters(Time Now) {
  std::vector<RefusedWaiter> Result;
  if (m_WaitingCount == 0)
    return Result;
  for (auto &Item : m_Accounts) {
    const Account &Account = Item.second;
    std::erase_if(Item.second.m_Waiters, [&](const Waiter &Entry) {
      std::optional<ErrorReport> Error = refusalFor(Account, Entry, Now);
      if (Error)
        Result.push_back(RefusedWaiter{Entry.m_Id, *Error});
      return Error.has_value();
    });
  }
  m_WaitingCount -= Result.size();
  return Result;
}

void TokenController::setLeader(const std::optional<Endpoint> &Leader,
                                Time Now) {
  if (Leader == m_Leader)
    return;
  discardOutstandingRequests();
  // Acquire before release: both may be the same host, whose link then stays
  // up.
  if (Leader)
    m_Links.acquire(*Leader, LinkUse::Tokens, Now);
  if (m_Leader)
    m_Links.release(*m_Leader, LinkUse::Tokens);
  m_Leader = Leader;
}

void TokenController::discardOutstandingRequests() {
  m_OutstandingRequests.clear();
  m_RequestLink.reset();
  for (auto &[Organisation, Account] : m_Accounts) {
    Account.m_RequestedForWaiters = 0;
    Account.m_RequestedAhead = 0;
    Account.m_NextRequestAt = Time();
  }
}

void TokenController::onLinkLost(LinkId Link) {
  if (m_RequestLink == Link)
    discardOutstandingRequests();
}

void TokenController::onGrant(LinkId Link, const TokenGrant &Grant, Time Now) {
  if (m_RequestLink != Link)
    return;
  // Ignores duplicate grants and grants for requests that were given up.
  auto Found = m_OutstandingRequests.find(Grant.m_Sequence);
  if (Found == m_OutstandingRequests.end())
    return;
  OutstandingRequest Answered = std::move(Found->second);
  m_OutstandingRequests.erase(Found);
  m_UnansweredSince.reset();
  if (m_LeaderTerm != 0 && Grant.m_LeaderTerm != m_LeaderTerm)
    m_LeaderChangedAt = Now;
  m_LeaderTerm = Grant.m_LeaderTerm;
  for (const TokenDemand &Ask : Answered.m_Asks)
    applyLoan(Answered, Ask, Grant, Now);
}

void TokenController::applyLoan(const OutstandingRequest &Answered,
                                const TokenDemand &Ask, const TokenGrant &Grant,
                                Time Now) {
  Account &Account = m_Accounts[Ask.m_Organisation];
  Account.m_RequestedForWaiters -=
      std::min(Account.m_RequestedForWaiters, Ask.m_Waiting);
  Account.m_RequestedAhead -=
      std::min(Account.m_RequestedAhead, Ask.m_Prefetch);
  auto Lent = std::find_if(Grant.m_Loans.begin(), Grant.m_Loans.end(),
                           [&](const TokenLoan &Loan) {
                             return Loan.m_Organisation == Ask.m_Organisation;
                           });
  uint32_t Tokens = Lent == Grant.m_Loans.end() ? 0 : Lent->m_Tokens;
  if (Tokens < Ask.m_Waiting || (Ask.m_Waiting == 0 && Tokens == 0)) {
    uint32_t RetryAfterMs =
        Lent == Grant.m_Loans.end() ? 0 : Lent->m_RetryAfterMs;
    Account.m_RetryAfterMs = RetryAfterMs;
    Account.m_LastShortRequestAt = Answered.m_SentAt;
    Account.m_Fallback.recordShortage(Now);
    Account.m_NextRequestAt =
        Now + std::clamp<Duration>(milliseconds(RetryAfterMs),
                                   kTokenRequestInterval,
                                   kMaxShortRequestInterval);
  }
  if (Tokens == 0)
    return;
  m_Borrowed += Tokens;
  Duration Validity = milliseconds(Lent->m_ValidityMs);
  Time ExpiresAt = Answered.m_SentAt + Validity;
  if (Now >= ExpiresAt) {
    m_Expired += Tokens;
    return;
  }
  Duration Margin = std::min<Duration>(kReturnMargin, Validity / 4);
  Loan Added{Tokens, ExpiresAt, ExpiresAt - Margin, Grant.m_LeaderTerm};
  auto Place = std::upper_bound(Account.m_Loans.begin(), Account.m_Loans.end(),
                                Added, [](const Loan &Left, const Loan &Right) {
                                  return Left.m_ExpiresAt < Right.m_ExpiresAt;
                                });
  Account.m_Loans.insert(Place, Added);
}

void TokenController::expireLoans(Account &Account, Time Now) {
  while (!Account.m_Loans.empty() &&
         Now >= Account.m_Loans.front().m_ExpiresAt) {
    m_Expired += Account.m_Loans.front().m_Tokens;
    Account.m_Loans.pop_front();
  }
}

void TokenController::returnLoan(const OrganisationName &Organisation,
                                 const Loan &Loan) {
  std::optional<LinkId> Link =
      m_Leader ? m_Links.linkTo(*m_Leader) : std::nullopt;
  if (!Link) {
    m_Expired += Loan.m_Tokens;
    return;
  }
  m_Returned += Loan.m_Tokens;
  m_Actions.push_back(SendMessage{
      *Link, TokenReturn{Loan.m_LeaderTerm, Organisation, Loan.m_Tokens}});
}

void TokenController::returnUnused(const OrganisationName &Organisation,
                                   Account &Account, Time Now) {
  while (!Account.m_Loans.empty() && Account.m_Waiters.empty() &&
         Now >= Account.m_Loans.front().m_ReturnAt) {
    returnLoan(Organisation, Account.m_Loans.front());
    Account.m_Loans.pop_front();
  }
}

void TokenController::returnAll(Time Now) {
  for (auto &[Organisation, Account] : m_Accounts) {
    expireLoans(Account, Now);
    for (const Loan &Loan : Account.m_Loans)
      returnLoan(Organisation, Loan);
    Account.m_Loans.clear();
    Account.m_UsePerSecond = 0;
    Account.m_UsedInWindow = 0;
    Account.m_BurstTarget /= 2;
  }
}

void TokenController::updateUseRates(Time Now) {
  constexpr double kPreviousWeight = 0.7;
  constexpr double kNegligibleUsePerSecond = 0.5;
  if (Now - m_UseWindowStart < kUseWindow)
    return;
  Duration Length = Now - m_UseWindowStart;
  double Seconds = std::chrono::duration<double>(Length).count();
  m_UseWindowStart = Now;
  for (auto &[Organisation, Account] : m_Accounts) {
    double Use = Account.m_UsedInWindow / Seconds;
    if (!isLeaderless(Now))
      Account.m_Fallback.recordUse(Account.m_UsedInWindow, Length, Now);
    Account.m_UsePerSecond =
        kPreviousWeight * Account.m_UsePerSecond + (1 - kPreviousWeight) * Use;
    if (Account.m_UsePerSecond < kNegligibleUsePerSecond)
      Account.m_UsePerSecond = 0;
    Account.m_UsedInWindow = 0;
    Account.m_BurstTarget /= 2;
  }
}

std::optional<TokenDemand>
TokenController::computeDemand(const OrganisationName &Organisation,
                               Account &Account, Time Now) const {
  if (Now < Account.m_NextRequestAt)
    return std::nullopt;
  uint32_t Waiting = static_cast<uint32_t>(Account.m_Waiters.size());
  bool IsLeaderShort =
      Account.m_LastShortRequestAt &&
      Now - *Account.m_LastShortRequestAt <= kRecentAnswerWindow;
  // When the tokens borrowed ahead run out, the target doubles, because use
  // measured over a window follows a burst too slowly.
  if (IsLeaderShort)
    Account.m_BurstTarget = 0;
  else if (Waiting > Account.m_RequestedForWaiters)
    Account.m_BurstTarget =
        std::min(std::max(2 * Account.m_BurstTarget, Waiting), kMaxBurstTarget);
  double UseTarget = std::floor(Account.m_UsePerSecond * kBorrowAheadSeconds);
  uint32_t Wanted = static_cast<uint32_t>(std::clamp<double>(
      UseTarget, Account.m_BurstTarget, kMaxTokensPerRequest));
  uint32_t Available = availableTokens(Account, Now) + Account.m_RequestedAhead;
  TokenDemand Ask{Organisation, 0, 0};
  if (Waiting > Account.m_RequestedForWaiters)
    Ask.m_Waiting = Waiting - Account.m_RequestedForWaiters;
  // Borrowing ahead only below half of the target limits the request rate.
  if (Wanted > 0 && Available < (Wanted + 1) / 2)
    Ask.m_Prefetch = Wanted - Available;
  if (Ask.m_Waiting == 0 && Ask.m_Prefetch == 0)
    return std::nullopt;
  Account.m_RequestedForWaiters += Ask.m_Waiting;
  Account.m_RequestedAhead += Ask.m_Prefetch;
  return Ask;
}

void TokenController::sendTokenRequest(LinkId Link, Time Now) {
  std::vector<TokenDemand> Asks;
  for (auto &[Organisation, Account] : m_Accounts)
    if (std::optional<TokenDemand> Ask =
            computeDemand(Organisation, Account, Now))
      Asks.push_back(*Ask);
  if (Asks.empty())
    return;
  m_LastRequestAt = Now;
  m_RequestLink = Link;
  m_OutstandingRequests[++m_Sequence] = OutstandingRequest{Now, Asks};
  if (!m_UnansweredSince)
    m_UnansweredSince = Now;
  m_Actions.push_back(
      SendMessage{Link, TokenRequest{m_Host, m_Sequence, std::move(Asks)}});
}

void TokenController::tick(Time Now) {
  for (auto &[Organisation, Account] : m_Accounts) {
    expireLoans(Account, Now);
    returnUnused(Organisation, Account, Now);
  }
  updateUseRates(Now);
  bool CanRequest = m_Leader && m_Links.linkTo(*m_Leader).has_value();
  if (!CanRequest && m_WaitingCount > 0 && !m_UnansweredSince)
    m_UnansweredSince = Now;
  if (!m_Leader)
    return;
  if (!m_OutstandingRequests.empty() &&
      Now - m_OutstandingRequests.begin()->second.m_SentAt >= kAnswerTimeout) {
    discardOutstandingRequests();
    m_Links.reconnect(*m_Leader, Now);
  }
  requestTokens(Now);
}

void TokenController::requestTokens(Time Now) {
  std::optional<LinkId> Link =
      m_Leader ? m_Links.linkTo(*m_Leader) : std::nullopt;
  if (Link && Now - m_LastRequestAt >= kTokenRequestInterval)
    sendTokenRequest(*Link, Now);
}

} // namespace almondpier
