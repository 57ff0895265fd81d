/// \file
/// State shared by all database executors of one host.
#pragma once

#include "decision/proxy/owner/Instance.h"
#include "decision/proxy/owner/PendingRequest.h"

#include <set>

namespace almondpier {

struct OwnerCounters {
  uint64_t m_Submitted = 0;
  uint64_t m_ReadsByReplicas = 0;
  uint64_t m_ReadsByPrimary = 0;
  uint64_t m_WritesAcknowledged = 0;
  uint64_t m_OutcomesUnknown = 0;
  uint64_t m_OutcomesLookedUp = 0;
  uint64_t m_Overloaded = 0;
  uint64_t m_DeadlinesExceeded = 0;
  uint64_t m_ReadsRetried = 0;
  uint64_t m_RetriesDenied = 0;
  uint64_t m_AnswersAbandoned = 0;
  uint64_t m_TransactionsBegun = 0;
  uint64_t m_TransactionsRolledBack = 0;
};

struct OwnerContext {
  OwnerContext(const OwnerOptions &Options, ProxyBlackboard &Board)
      : m_Options(Options), m_Board(Board) {}

  const OwnerOptions m_Options;
  ProxyBlackboard &m_Board;
  ProxyActions m_Actions;
  std::vector<CompletedRequest> m_Completed;
  OwnerCounters m_Counters;

  Duration m_ProbeInterval = kProbeInterval;
  uint64_t m_NextConnectionId = 1;
  uint64_t m_NextProbeId = 1;
  uint64_t m_NextTransactionNumber = 1;

  ConnectionTable m_Connections;
  std::unordered_map<uint64_t, std::unique_ptr<PendingRequest>> m_Requests;
  std::set<std::pair<Time, uint64_t>> m_Deadlines;

  /// Hands over the result of a request and deletes the request, which must be
  /// unlinked.
  void complete(PendingRequest &Request, RequestResult &&Result);
  void fail(PendingRequest &Request, ErrorKind Kind, Ran Ran,
            std::string Message, uint32_t RetryAfterMs = 0);
};

} // namespace almondpier
