#include "decision/control/AllocatorController.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

namespace {

constexpr size_t kMaxPending = 2'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMsPerSecond = 1e3;
constexpr double kMaxRetryAfterMs = 10'000;

double secondsOf(Duration Value) {
  return static_cast<double>(Value.count()) / kMicrosPerSecond;
}

} // namespace

LendingTerms lendingTermsOf(const Limit &Limit) {
  double Seconds = std::min(secondsOf(kMaxLoanValidity),
                            (Limit.m_Burst - 1) / Limit.m_RatePerSecond);
  LendingTerms Terms;
  Terms.m_Validity =
      Duration(static_cast<int64_t>(std::max(Seconds, 0.0) * kMicrosPerSecond));
  Terms.m_Depth = std::max(
      1.0, Limit.m_Burst - Limit.m_RatePerSecond * secondsOf(Terms.m_Validity));
  return Terms;
}

void TokenBucket::refill(const Limit &Limit, Time Now) {
  m_Terms = lendingTermsOf(Limit);
  expireLoans(Now);
  if (Now > m_FilledAt)
    m_Tokens += Limit.m_RatePerSecond * secondsOf(Now - m_FilledAt);
  m_FilledAt = std::max(m_FilledAt, Now);
  m_Tokens = std::min(m_Tokens, m_Terms.m_Depth);
  m_Excess = std::max(m_Excess, m_Tokens + m_Lent - m_Terms.m_Depth);
}

void TokenBucket::expireLoans(Time Now) {
  while (!m_Loans.empty() && m_Loans.front().m_Until < Now) {
    m_Lent -= m_Loans.front().m_Tokens;
    m_Loans.pop_front();
  }
  if (!m_Loans.empty())
    return;
  m_Lent = 0;
  m_Excess = 0;
}

uint32_t TokenBucket::lend(uint32_t Wanted, Time Now) {
  uint32_t Lent =
      std::min(Wanted, static_cast<uint32_t>(std::max(m_Tokens, 0.0)));
  if (Lent == 0)
    return 0;
  m_Tokens -= Lent;
  m_Lent += Lent;
  m_Loans.push_back(Loan{Now + m_Terms.m_Validity, static_cast<double>(Lent)});
  return Lent;
}

void TokenBucket::giveBack(uint32_t Tokens, Time Now) {
  expireLoans(Now);
  double Left = std::min<double>(Tokens, m_Lent);
  m_Lent -= Left;
  double Returned = Left;
  while (Left > 0 && !m_Loans.empty()) {
    double Part = std::min(Left, m_Loans.back().m_Tokens);
    m_Loans.back().m_Tokens -= Part;
    Left -= Part;
    if (m_Loans.back().m_Tokens <= 0)
      m_Loans.pop_back();
  }
  double Settled = std::min(Returned, std::max(m_Excess, 0.0));
  m_Excess -= Settled;
  m_Tokens = std::min(m_Tokens + Returned - Settled, m_Terms.m_Depth);
}

bool AllocatorController::canLend(const ControlContext &Context) const {
  return m_Board.m_IsLeader && !m_Board.m_IsShuttingDown &&
         Context.m_Log.holdsLease(Context.m_Now);
}

void AllocatorController::beginTermIfNew() {
  if (m_Term == m_Board.m_Term)
    return;
  m_Term = m_Board.m_Term;
  m_Buckets.clear();
  m_Pending.clear();
}

TokenBucket &AllocatorController::bucketOf(const OrganisationName &Organisation,
                                           Time Now) {
  TokenBucket &Bucket =
      m_Buckets.try_emplace(Organisation, m_Board.m_LeaderSince).first->second;
  Bucket.refill(m_Board.configuration().currentPreset().limitOf(Organisation),
                Now);
  return Bucket;
}

void AllocatorController::onRequest(LinkId Link, const TokenRequest &Request,
                                    ControlContext &Context) {
  beginTermIfNew();
  // A host that is not the leader stays silent; the proxy learns the leader
  // from its polls.
  if (!canLend(Context) || m_Pending.size() >= kMaxPending)
    return;
  m_Pending.push_back(Pending{Link, Request, {}});
  if (m_Pending.size() == 1 && isAmple(Request, Context.m_Now))
    serve(Context);
}

bool AllocatorController::isAmple(const TokenRequest &Request, Time Now) {
  return std::all_of(
      Request.m_Asks.begin(), Request.m_Asks.end(), [&](const TokenAsk &Ask) {
        if (!m_Board.configuration().organisations().contains(
                Ask.m_Organisation))
          return true;
        double Wanted = static_cast<double>(Ask.m_Waiting) + Ask.m_Ahead;
        return bucketOf(Ask.m_Organisation, Now).tokens() >= 2 * Wanted;
      });
}

void AllocatorController::onReturn(const TokenReturn &Return,
                                   ControlContext &Context) {
  beginTermIfNew();
  if (!m_Board.m_IsLeader || Return.m_LeaderTerm != m_Board.m_Term)
    return;
  auto Found = m_Buckets.find(Return.m_Organisation);
  if (Found == m_Buckets.end())
    return;
  Found->second.refill(
      m_Board.configuration().currentPreset().limitOf(Return.m_Organisation),
      Context.m_Now);
  Found->second.giveBack(Return.m_Tokens, Context.m_Now);
}

void AllocatorController::tick(ControlContext &Context) {
  beginTermIfNew();
  if (!canLend(Context)) {
    m_Pending.clear();
    return;
  }
  if (!m_Pending.empty())
    serve(Context);
  std::erase_if(m_Buckets, [&](const auto &Entry) {
    return !m_Board.configuration().organisations().contains(Entry.first) &&
           Entry.second.isFull();
  });
}

void AllocatorController::serve(ControlContext &Context) {
  std::map<OrganisationName, std::vector<Claim>> Claims;
  for (Pending &Pending : m_Pending) {
    Pending.m_Grant.m_Sequence = Pending.m_Request.m_Sequence;
    Pending.m_Grant.m_LeaderTerm = m_Board.m_Term;
    Pending.m_Grant.m_Loans.resize(Pending.m_Request.m_Asks.size());
    for (size_t Index = 0; Index < Pending.m_Request.m_Asks.size(); ++Index) {
      const TokenAsk &Ask = Pending.m_Request.m_Asks[Index];
      TokenLoan &Loan = Pending.m_Grant.m_Loans[Index];
      Loan.m_Organisation = Ask.m_Organisation;
      if (m_Board.configuration().organisations().contains(Ask.m_Organisation))
        Claims[Ask.m_Organisation].push_back(
            Claim{&Loan, Ask.m_Waiting, Ask.m_Ahead});
    }
  }
  for (std::pair<const OrganisationName, std::vector<Claim>> &Entry : Claims)
    serveOrganisation(Entry.first, Entry.second, Context.m_Now);
  for (Pending &Pending : m_Pending)
    Context.m_Actions.push_back(
        SendMessage{Pending.m_Link, std::move(Pending.m_Grant)});
  m_Pending.clear();
}

void AllocatorController::serveOrganisation(
    const OrganisationName &Organisation, std::vector<Claim> &Claims,
    Time Now) {
  TokenBucket &Bucket = bucketOf(Organisation, Now);
  Limit Limit = m_Board.configuration().currentPreset().limitOf(Organisation);
  uint32_t ValidityMs =
      static_cast<uint32_t>(lendingTermsOf(Limit).m_Validity.count() / 1'000);
  std::vector<uint32_t> Waiting;
  std::vector<uint32_t> Ahead;
  for (const Claim &Claim : Claims) {
    Waiting.push_back(Claim.m_Waiting);
    Ahead.push_back(Claim.m_Ahead);
  }
  std::vector<uint32_t> Lent =
      divide(Waiting, static_cast<uint32_t>(Bucket.tokens()));
  double Missing = 0;
  for (size_t Index = 0; Index < Claims.size(); ++Index) {
    Claims[Index].m_Loan->m_Tokens = Bucket.lend(Lent[Index], Now);
    Missing += Waiting[Index] - Lent[Index];
  }
  // Half of the rest stays for requests that wait at other hosts.
  std::vector<uint32_t> Advance(Claims.size(), 0);
  if (Missing <= 0)
    Advance = divide(Ahead, static_cast<uint32_t>(Bucket.tokens() / 2));
  double RetryAfterMs = std::ceil((Missing + 1 - Bucket.tokens()) /
                                  Limit.m_RatePerSecond * kMsPerSecond);
  for (size_t Index = 0; Index < Claims.size(); ++Index) {
    TokenLoan &Loan = *Claims[Index].m_Loan;
    Loan.m_Tokens += Bucket.lend(Advance[Index], Now);
    Loan.m_ValidityMs = ValidityMs;
    m_LentTokens += Loan.m_Tokens;
    if (Lent[Index] >= Waiting[Index])
      continue;
    ++m_ShortLoans;
    Loan.m_RetryAfterMs =
        static_cast<uint32_t>(std::clamp(RetryAfterMs, 1.0, kMaxRetryAfterMs));
  }
}

std::vector<uint32_t>
AllocatorController::divide(const std::vector<uint32_t> &Wants,
                            uint32_t Available) {
  std::vector<uint32_t> Shares(Wants.size(), 0);
  std::vector<size_t> Open;
  for (size_t Step = 0; Step < Wants.size(); ++Step) {
    size_t Index = (Step + m_NextHost) % Wants.size();
    if (Wants[Index] > 0)
      Open.push_back(Index);
  }
  ++m_NextHost;
  while (Available > 0 && !Open.empty()) {
    uint32_t Share =
        std::max<uint32_t>(1, Available / static_cast<uint32_t>(Open.size()));
    for (size_t Index : Open) {
      uint32_t Part =
          std::min({Share, Wants[Index] - Shares[Index], Available});
      Shares[Index] += Part;
      Available -= Part;
    }
    std::erase_if(Open,
                  [&](size_t Index) { return Shares[Index] >= Wants[Index]; });
  }
  return Shares;
}

} // namespace almondpier
