/// \file
/// An admitted request at its owner, from submission to completion.
#pragma once

#include "decision/proxy/OwnerController.h"
#include "decision/proxy/owner/FairQueue.h"

namespace almondpier {

struct Connection;
struct Transaction;
class DatabaseExecutor;

/// Processing stage of a request. In each stage the request is linked into the
/// containers of that stage only.
enum class RequestStage : uint8_t {
  /// In no container.
  Unlinked,
  /// In a fair queue.
  Queued,
  /// A read that waits for a replica to hold the required position or to be
  /// fresh enough.
  WaitingForReplica,
  /// Waits for a timer before it is queued again.
  Delayed,
  /// Sent on a connection and not answered yet.
  Sent,
  /// Answered; waits until a majority holds the write.
  WaitingForMajority,
  /// Answered; waits for the confirmation that the primary was still the
  /// primary.
  WaitingForConfirmation,
};

struct PendingRequest {
  Ticket m_Ticket;
  AdmittedRequest m_Request;
  Time m_ArrivedAt{};
  Time m_Deadline{};
  /// Probes with this identifier or a later one are sent after the request
  /// arrived.
  uint64_t m_FirstProbeAfterArrival = 0;
  DatabaseExecutor *m_Executor = nullptr;
  RequestStage m_Stage = RequestStage::Unlinked;
  /// The caller has gone; the result is dropped.
  bool m_IsCancelled = false;
  /// A statement that changes data was sent, and no answer has shown that it
  /// did not run.
  bool m_MayHaveRun = false;
  /// A read that must be served by the primary.
  bool m_NeedsPrimary = false;
  /// The result is valid only if the instance is confirmed to have still been
  /// the primary after m_ArrivedAt.
  bool m_NeedsConfirmation = false;
  /// The outcome of the write is looked up by its request identifier, because
  /// its connection or primary was lost.
  bool m_IsOutcomeLookup = false;
  /// Term in which the write was sent, and term with which the last statement
  /// was sent; 0 if it was sent without a term.
  uint64_t m_WriteTerm = 0;
  uint64_t m_SentTerm = 0;
  /// Log position of the write, which a majority must hold before the request
  /// completes.
  Position m_EntryPosition;
  InstanceName m_LastTried;
  std::string m_StatementDigest;
  RequestResult m_Result;

  // Links of the current stage.
  FairQueue *m_Queue = nullptr;
  FairQueue::RequestList::iterator m_QueueIterator;
  Connection *m_Connection = nullptr;
  Transaction *m_Transaction = nullptr;
  std::multimap<Position, PendingRequest *>::iterator m_PositionIterator;
  std::multimap<Time, PendingRequest *>::iterator m_TimerIterator;
  std::multimap<uint64_t, PendingRequest *>::iterator m_ProbeIterator;
  std::list<PendingRequest *>::iterator m_FreshnessIterator;
  bool m_WaitsForFreshness = false;
};

} // namespace almondpier
