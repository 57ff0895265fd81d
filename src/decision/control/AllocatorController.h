/// \file
/// Token buckets of the organisations, lent to proxies by the leader.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <deque>

namespace almondpier {

/// How a voted limit is lent: tokens can be used for m_Validity after they were
/// asked for, and the bucket holds at most m_Capacity, so that in any window of
/// length w at most burst + rate x w are used.
struct LoanParameters {
  Duration m_Validity{};
  double m_Capacity = 0;
};
LoanParameters loanParametersOf(const Limit &Limit);

/// The bucket of one organisation.
class TokenBucket {
public:
  /// Starts empty.
  explicit TokenBucket(Time Start) : m_RefilledAt(Start) {}

  void refill(const Limit &Limit, Time Now);
  /// Returns how many of Wanted were lent.
  uint32_t lend(uint32_t Requested, Time Now);
  void returnTokens(uint32_t Tokens, Time Now);
  double tokens() const { return m_Tokens; }
  bool isFull() const { return m_Tokens >= m_Parameters.m_Capacity; }

private:
  struct Loan {
    Time m_ExpiresAt;
    double m_Tokens = 0;
  };

  void expireLoans(Time Now);

  LoanParameters m_Parameters;
  double m_Tokens = 0;
  Time m_RefilledAt;
  std::deque<Loan> m_Loans;
  double m_OutstandingTokens = 0;
  /// Tokens that flowed in although tokens and loans together filled the
  /// bucket. They would have overflowed had the loans not been made, so loans
  /// that are given back make good for them first.
  double m_OverflowTokens = 0;
};

/// Lends under the leadership lease only.
class RateLimitController {
public:
  explicit RateLimitController(const ControlBlackboard &Board)
      : m_Board(Board) {}

  void onRequest(LinkId Link, const TokenRequest &Request,
                 ControlContext &Context);
  void onReturn(const TokenReturn &Return, ControlContext &Context);
  /// Serves requests that arrived together.
  void tick(ControlContext &Context);
  uint64_t lentTokens() const { return m_LentTokens; }
  uint64_t partialLoans() const { return m_PartialLoans; }

private:
  struct PendingRequest {
    LinkId m_Link;
    TokenRequest m_Request;
    TokenGrant m_Grant;
  };
  struct LoanAllocation {
    TokenLoan *m_Loan = nullptr;
    uint32_t m_Waiting = 0;
    uint32_t m_Prefetch = 0;
  };

  bool mayLend(const ControlContext &Context) const;
  void resetOnNewTerm();
  TokenBucket &refilledBucket(const OrganisationName &Organisation, Time Now);
  /// Whether serving this request at once takes nothing from others that ask
  /// at the same time.
  bool canServeImmediately(const TokenRequest &Request, Time Now);
  void servePending(ControlContext &Context);
  void serveOrganisation(const OrganisationName &Organisation,
                         std::vector<LoanAllocation> &Allocations, Time Now);
  /// Divides Available among the wants, equal shares first.
  std::vector<uint32_t> divideFairly(const std::vector<uint32_t> &Demands,
                                     uint32_t Available);

  const ControlBlackboard &m_Board;
  uint64_t m_LeaderTerm = 0;
  std::map<OrganisationName, TokenBucket> m_Buckets;
  std::vector<PendingRequest> m_PendingRequests;
  /// Moves on, so that no host always gets the first of the odd tokens.
  size_t m_RotationOffset = 0;
  uint64_t m_LentTokens = 0;
  uint64_t m_PartialLoans = 0;
};

} // namespace almondpier
