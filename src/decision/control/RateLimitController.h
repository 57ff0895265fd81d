/// \file
/// Per-organisation rate limits: the leader lends tokens from one bucket per
/// organisation to the proxies.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <deque>

namespace almondpier {

/// Derived from a configured limit. Lent tokens are usable for m_Validity after
/// the proxy sent its request, and the bucket holds at most m_Capacity.
/// Together the two ensure that no window of length w admits more than burst +
/// rate x w requests.
struct LoanParameters {
  Duration m_Validity{};
  double m_Capacity = 0;
};
LoanParameters loanParametersOf(const Limit &Limit);

/// Token bucket of one organisation, including the tokens that are currently
/// lent.
class TokenBucket {
public:
  /// Starts empty.
  explicit TokenBucket(Time Start) : m_RefilledAt(Start) {}

  void refill(const Limit &Limit, Time Now);
  /// Lends up to Requested tokens and returns how many were lent.
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
  /// Tokens refilled while available and outstanding tokens together already
  /// reached the capacity. Without the loans the bucket would have discarded
  /// them, so returned tokens cancel this amount before they become available
  /// again.
  double m_OverflowTokens = 0;
};

/// Answers the token requests of proxies. Only a leader that holds the
/// leadership lease lends tokens, so two leaders never lend from the same limit
/// at the same time.
class RateLimitController {
public:
  explicit RateLimitController(const ControlBlackboard &Board)
      : m_Board(Board) {}

  void onRequest(LinkId Link, const TokenRequest &Request,
                 ControlContext &Context);
  void onReturn(const TokenReturn &Return, ControlContext &Context);
  /// Serves the requests that were collected since the last tick.
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
  /// Whether each bucket holds at least twice what the request asks for. It can
  /// then be served before the next tick without taking tokens from requests
  /// that arrive until then.
  bool canServeImmediately(const TokenRequest &Request, Time Now);
  void servePending(ControlContext &Context);
  void serveOrganisation(const OrganisationName &Organisation,
                         std::vector<LoanAllocation> &Allocations, Time Now);
  /// Max-min fair division: equal shares first, then the remainder among the
  /// demands that are not yet satisfied.
  std::vector<uint32_t> divideFairly(const std::vector<uint32_t> &Demands,
                                     uint32_t Available);

  const ControlBlackboard &m_Board;
  uint64_t m_LeaderTerm = 0;
  std::map<OrganisationName, TokenBucket> m_Buckets;
  std::vector<PendingRequest> m_PendingRequests;
  /// Index of the first demand to consider; advances with every division, so
  /// that no host always gets the tokens that an equal division leaves over.
  size_t m_RotationOffset = 0;
  uint64_t m_LentTokens = 0;
  uint64_t m_PartialLoans = 0;
};

} // namespace almondpier
