#include "decision/control/RateLimitController.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

namespace {

constexpr size_t kMaxPendingRequests = 2'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMsPerSecond = 1e3;
constexpr double kMaxRetryAfterMs = 10'000;

double secondsOf(Duration Value) {
  return static_cast<double>(Value.count()) / kMicrosPerSecond;
}

} // namespace

LoanParameters loanParametersOf(const Limit &Limit) {
  double Seconds = std::min(secondsOf(kMaxLoanValidity),
                            (Limit.m_Burst - 1) / Limit.m_RatePerSecond);
  LoanParameters Parameters;
  Parameters.m_Validity =
      Duration(static_cast<int64_t>(std::max(Seconds, 0.0) * kMicrosPerSecond));
  Parameters.m_Capacity =
      std::max(1.0, Limit.m_Burst - Limit.m_RatePerSecond *
                                        secondsOf(Parameters.m_Validity));
  return Parameters;
}

void TokenBucket::refill(const Limit &Limit, Time Now) {
  m_Parameters = loanParametersOf(Limit);
  expireLoans(Now);
  if (Now > m_RefilledAt)
    m_Tokens += Limit.m_RatePerSecond * secondsOf(Now - m_RefilledAt);
  m_RefilledAt = std::max(m_RefilledAt, Now);
  m_Tokens = std::min(m_Tokens, m_Parameters.m_Capacity);
  m_OverflowTokens = std::max(m_OverflowTokens, m_Tokens + m_OutstandingTokens -
                                                    m_Parameters.m_Capacity);
}

void TokenBucket::expireLoans(Time Now) {
  while (!m_Loans.empty() && m_Loans.front().m_ExpiresAt < Now) {
    m_OutstandingTokens -= m_Loans.front().m_Tokens;
    m_Loans.pop_front();
  }
  if (!m_Loans.empty())
    return;
  m_OutstandingTokens = 0;
  m_OverflowTokens = 0;
}

uint32_t TokenBucket::lend(uint32_t Requested, Time Now) {
  uint32_t Granted =
      std::min(Requested, static_cast<uint32_t>(std::max(m_Tokens, 0.0)));
  if (Granted == 0)
    return 0;
  m_Tokens -= Granted;
  m_OutstandingTokens += Granted;
  m_Loans.push_back(
      Loan{Now + m_Parameters.m_Validity, static_cast<double>(Granted)});
  return Granted;
}

void TokenBucket::returnTokens(uint32_t Tokens, Time Now) {
  expireLoans(Now);
  double Remaining = std::min<double>(Tokens, m_OutstandingTokens);
  m_OutstandingTokens -= Remaining;
  double Returned = Remaining;
  while (Remaining > 0 && !m_Loans.empty()) {
    double Portion = std::min(Remaining, m_Loans.back().m_Tokens);
    m_Loans.back().m_Tokens -= Portion;
    Remaining -= Portion;
    if (m_Loans.back().m_Tokens <= 0)
      m_Loans.pop_back();
  }
  double Absorbed = std::min(Returned, std::max(m_OverflowTokens, 0.0));
  m_OverflowTokens -= Absorbed;
  m_Tokens = std::min(m_Tokens + Returned - Absorbed, m_Parameters.m_Capacity);
}

bool RateLimitController::mayLend(const ControlContext &Context) const {
  return m_Board.m_IsLeader && !m_Board.m_IsShuttingDown &&
         Context.m_Log.holdsLease(Context.m_Now);
}

void RateLimitController::resetOnNewTerm() {
  if (m_LeaderTerm == m_Board.m_Term)
    return;
  m_LeaderTerm = m_Board.m_Term;
  m_Buckets.clear();
  m_PendingRequests.clear();
}

TokenBucket &
RateLimitController::refilledBucket(const OrganisationName &Organisation,
                                    Time Now) {
  TokenBucket &Bucket =
      m_Buckets.try_emplace(Organisation, m_Board.m_LeaderSince).first->second;
  Bucket.refill(m_Board.configuration().activePreset().limitOf(Organisation),
                Now);
  return Bucket;
}

void RateLimitController::onRequest(LinkId Link, const TokenRequest &Request,
                                    ControlContext &Context) {
  resetOnNewTerm();
  // A host that cannot lend does not reply; the proxy learns the leader from
  // its polls.
  if (!mayLend(Context) || m_PendingRequests.size() >= kMaxPendingRequests)
    return;
  m_PendingRequests.push_back(PendingRequest{Link, Request, {}});
  if (m_PendingRequests.size() == 1 &&
      canServeImmediately(Request, Context.m_Now))
    servePending(Context);
}

bool RateLimitController::canServeImmediately(const TokenRequest &Request,
                                              Time Now) {
  return std::all_of(
      Request.m_Demands.begin(), Request.m_Demands.end(),
      [&](const TokenDemand &Ask) {
        if (!m_Board.configuration().organisations().contains(
                Ask.m_Organisation))
          return true;
        double Requested = static_cast<double>(Ask.m_Waiting) + Ask.m_Prefetch;
        return refilledBucket(Ask.m_Organisation, Now).tokens() >=
               2 * Requested;
      });
}

void RateLimitController::onReturn(const TokenReturn &Return,
                                   ControlContext &Context) {
  resetOnNewTerm();
  if (!m_Board.m_IsLeader || Return.m_LeaderTerm != m_Board.m_Term)
    return;
  auto Found = m_Buckets.find(Return.m_Organisation);
  if (Found == m_Buckets.end())
    return;
  Found->second.refill(
      m_Board.configuration().activePreset().limitOf(Return.m_Organisation),
      Context.m_Now);
  Found->second.returnTokens(Return.m_Tokens, Context.m_Now);
}

void RateLimitController::tick(ControlContext &Context) {
  resetOnNewTerm();
  if (!mayLend(Context)) {
    m_PendingRequests.clear();
    return;
  }
  if (!m_PendingRequests.empty())
    servePending(Context);
  std::erase_if(m_Buckets, [&](const auto &Entry) {
    return !m_Board.configuration().organisations().contains(Entry.first) &&
           Entry.second.isFull();
  });
}

void RateLimitController::servePending(ControlContext &Context) {
  std::map<OrganisationName, std::vector<LoanAllocation>> Allocations;
  for (PendingRequest &Pending : m_PendingRequests) {
    Pending.m_Grant.m_Sequence = Pending.m_Request.m_Sequence;
    Pending.m_Grant.m_LeaderTerm = m_Board.m_Term;
    Pending.m_Grant.m_Loans.resize(Pending.m_Request.m_Demands.size());
    for (size_t Index = 0; Index < Pending.m_Request.m_Demands.size();
         ++Index) {
      const TokenDemand &Ask = Pending.m_Request.m_Demands[Index];
      TokenLoan &Loan = Pending.m_Grant.m_Loans[Index];
      Loan.m_Organisation = Ask.m_Organisation;
      if (m_Board.configuration().organisations().contains(Ask.m_Organisation))
        Allocations[Ask.m_Organisation].push_back(
            LoanAllocation{&Loan, Ask.m_Waiting, Ask.m_Prefetch});
    }
  }
  for (std::pair<const OrganisationName, std::vector<LoanAllocation>> &Entry :
       Allocations)
    serveOrganisation(Entry.first, Entry.second, Context.m_Now);
  for (PendingRequest &Pending : m_PendingRequests)
    Context.m_Actions.push_back(
        SendMessage{Pending.m_Link, std::move(Pending.m_Grant)});
  m_PendingRequests.clear();
}

void RateLimitController::serveOrganisation(
    const OrganisationName &Organisation,
    std::vector<LoanAllocation> &Allocations, Time Now) {
  TokenBucket &Bucket = refilledBucket(Organisation, Now);
  Limit Limit = m_Board.configuration().activePreset().limitOf(Organisation);
  uint32_t ValidityMs =
      static_cast<uint32_t>(loanParametersOf(Limit).m_Validity.count() / 1'000);
  std::vector<uint32_t> Waiting;
  std::vector<uint32_t> Prefetch;
  for (const LoanAllocation &Allocation : Allocations) {
    Waiting.push_back(Allocation.m_Waiting);
    Prefetch.push_back(Allocation.m_Prefetch);
  }
  std::vector<uint32_t> Granted =
      divideFairly(Waiting, static_cast<uint32_t>(Bucket.tokens()));
  double Unmet = 0;
  for (size_t Index = 0; Index < Allocations.size(); ++Index) {
    Allocations[Index].m_Loan->m_Tokens = Bucket.lend(Granted[Index], Now);
    Unmet += Waiting[Index] - Granted[Index];
  }
  // Prefetching may take at most half of the remaining tokens; the rest is kept
  // for requests waiting at other hosts.
  std::vector<uint32_t> PrefetchShares(Allocations.size(), 0);
  if (Unmet <= 0)
    PrefetchShares =
        divideFairly(Prefetch, static_cast<uint32_t>(Bucket.tokens() / 2));
  double RetryAfterMs = std::ceil((Unmet + 1 - Bucket.tokens()) /
                                  Limit.m_RatePerSecond * kMsPerSecond);
  for (size_t Index = 0; Index < Allocations.size(); ++Index) {
    TokenLoan &Loan = *Allocations[Index].m_Loan;
    Loan.m_Tokens += Bucket.lend(PrefetchShares[Index], Now);
    Loan.m_ValidityMs = ValidityMs;
    m_LentTokens += Loan.m_Tokens;
    if (Granted[Index] >= Waiting[Index])
      continue;
    ++m_PartialLoans;
    Loan.m_RetryAfterMs =
        static_cast<uint32_t>(std::clamp(RetryAfterMs, 1.0, kMaxRetryAfterMs));
  }
}

std::vector<uint32_t>
RateLimitController::divideFairly(const std::vector<uint32_t> &Demands,
                                  uint32_t Available) {
  std::vector<uint32_t> Shares(Demands.size(), 0);
  std::vector<size_t> Unsatisfied;
  for (size_t Step = 0; Step < Demands.size(); ++Step) {
    size_t Index = (Step + m_RotationOffset) % Demands.size();
    if (Demands[Index] > 0)
      Unsatisfied.push_back(Index);
  }
  ++m_RotationOffset;
  while (Available > 0 && !Unsatisfied.empty()) {
    uint32_t EqualShare = std::max<uint32_t>(
        1, Available / static_cast<uint32_t>(Unsatisfied.size()));
    for (size_t Index : Unsatisfied) {
      uint32_t Portion =
          std::min({EqualShare, Demands[Index] - Shares[Index], Available});
      Shares[Index] += Portion;
      Available -= Portion;
    }
    std::erase_if(Unsatisfied, [&](size_t Index) {
      return Shares[Index] >= Demands[Index];
    });
  }
  return Shares;
}

} // namespace almondpier
