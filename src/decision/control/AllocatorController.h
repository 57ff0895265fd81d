/// \file
/// Token buckets of the organisations, lent to proxies by the leader.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <deque>

namespace almondpier {

/// How a voted limit is lent: tokens can be used for m_Validity after they were
/// asked for, and the bucket holds at most m_Depth, so that in any window of
/// length w at most burst + rate x w are used.
struct LendingTerms {
  Duration m_Validity{};
  double m_Depth = 0;
};
LendingTerms lendingTermsOf(const Limit &Limit);

/// The bucket of one organisation.
class TokenBucket {
public:
  /// Starts empty.
  explicit TokenBucket(Time Start) : m_FilledAt(Start) {}

  void refill(const Limit &Limit, Time Now);
  /// Returns how many of Wanted were lent.
  uint32_t lend(uint32_t Wanted, Time Now);
  void giveBack(uint32_t Tokens, Time Now);
  double tokens() const { return m_Tokens; }
  bool isFull() const { return m_Tokens >= m_Terms.m_Depth; }

private:
  struct Loan {
    Time m_Until;
    double m_Tokens = 0;
  };

  void expireLoans(Time Now);

  LendingTerms m_Terms;
  double m_Tokens = 0;
  Time m_FilledAt;
  std::deque<Loan> m_Loans;
  double m_Lent = 0;
  /// Tokens that flowed in although tokens and loans together filled the
  /// bucket. They would have overflowed had the loans not been made, so loans
  /// that are given back make good for them first.
  double m_Excess = 0;
};

/// Lends under the leadership lease only.
class AllocatorController {
public:
  explicit AllocatorController(const ControlBlackboard &Board)
      : m_Board(Board) {}

  void onRequest(LinkId Link, const TokenRequest &Request,
                 ControlContext &Context);
  void onReturn(const TokenReturn &Return, ControlContext &Context);
  /// Serves requests that arrived together.
  void tick(ControlContext &Context);
  uint64_t lentTokens() const { return m_LentTokens; }
  uint64_t shortLoans() const { return m_ShortLoans; }

private:
  struct Pending {
    LinkId m_Link;
    TokenRequest m_Request;
    TokenGrant m_Grant;
  };
  struct Claim {
    TokenLoan *m_Loan = nullptr;
    uint32_t m_Waiting = 0;
    uint32_t m_Ahead = 0;
  };

  bool canLend(const ControlContext &Context) const;
  void beginTermIfNew();
  TokenBucket &bucketOf(const OrganisationName &Organisation, Time Now);
  /// Whether serving this request at once takes nothing from others that ask
  /// at the same time.
  bool isAmple(const TokenRequest &Request, Time Now);
  void serve(ControlContext &Context);
  void serveOrganisation(const OrganisationName &Organisation,
                         std::vector<Claim> &Claims, Time Now);
  /// Divides Available among the wants, equal shares first.
  std::vector<uint32_t> divide(const std::vector<uint32_t> &Wants,
                               uint32_t Available);

  const ControlBlackboard &m_Board;
  uint64_t m_Term = 0;
  std::map<OrganisationName, TokenBucket> m_Buckets;
  std::vector<Pending> m_Pending;
  /// Moves on, so that no host always gets the first of the odd tokens.
  size_t m_NextHost = 0;
  uint64_t m_LentTokens = 0;
  uint64_t m_ShortLoans = 0;
};

} // namespace almondpier
