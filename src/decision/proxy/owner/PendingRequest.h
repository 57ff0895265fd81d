/// \file
/// An admitted request at its owner, from submission to completion.
#pragma once

#include "decision/proxy/OwnerController.h"
#include "decision/proxy/owner/FairQueue.h"

namespace almondpier {

struct Connection;
struct Transaction;
class DatabaseExecutor;

/// Where a request stands. It is linked from exactly one place per stage.
enum class RequestStage : uint8_t {
  /// Not linked.
  Unlinked,
  /// In a fair queue.
  Queued,
  /// A read that waits for a replica to be fresh enough.
  WaitingForReplica,
  /// Waits for a moment before it is queued again.
  Delayed,
  /// On a connection.
  Sent,
  /// Answered; waits for the acknowledgement by a majority.
  WaitingForMajority,
  /// Answered; waits for the proof that the primary still was one.
  WaitingForConfirmation,
};

struct PendingRequest {
  Ticket m_Ticket;
  AdmittedRequest m_Request;
  Time m_ArrivedAt{};
  Time m_Deadline{};
  /// Probes with this or a later identifier were sent after the request
  /// arrived.
  uint64_t m_FirstProbeAfterArrival = 0;
  DatabaseExecutor *m_Executor = nullptr;
  RequestStage m_Stage = RequestStage::Unlinked;
  /// Nobody waits for the answer.
  bool m_IsCancelled = false;
  /// A statement that changes data was sent, and no answer proves that it did
  /// not run.
  bool m_MayHaveRun = false;
  /// A read that no replica can serve.
  bool m_NeedsPrimary = false;
  /// The result counts only if the primary still was one after m_ArrivedAt.
  bool m_NeedsConfirmation = false;
  /// A write whose connection was lost; its outcome is looked up.
  bool m_IsOutcomeLookup = false;
  /// Term in which the write was sent, and that of the last statement sent.
  uint64_t m_WriteTerm = 0;
  uint64_t m_SentTerm = 0;
  /// Entry that must be on a majority before the result is given.
  Position m_EntryPosition;
  InstanceName m_LastTried;
  std::string m_StatementDigest;
  RequestResult m_Result;

  // Links of the stage.
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
