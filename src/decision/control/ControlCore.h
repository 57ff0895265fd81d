/// \file
/// All decisions of a control host: the configuration log, polls, failover,
/// liveness and rate limits.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <memory>

namespace almondpier {

struct ControlOptions {
  ControlMember m_Self;
  /// 0 for a host that has not joined a cluster.
  uint64_t m_ClusterId = 0;
  /// What the data folder holds; empty for a host that joins.
  PersistedLog m_Log;
  /// TCP endpoints of control hosts to ask for membership while the log holds
  /// none.
  std::vector<Endpoint> m_JoinPeers;
  uint64_t m_Seed = 0;
  /// Disks that may be lost at the same time. An absence of members never
  /// shrinks the cluster to fewer copies than that takes.
  size_t m_LostDisksBorne = 1;
  /// False while the data folder cannot be written. The host then takes no part
  /// in consensus and refuses every operation, until the core is restarted.
  bool m_IsStorageAvailable = true;
};

/// Answers an operation that was in progress when the data folder could not be
/// written.
ReplyToOperation interruptedReply(OperationId Id);

class ControlCore {
public:
  ControlCore(const ControlOptions &Options, Time Now);
  ~ControlCore();
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Forgets everything and starts from Options, as in a new process. The
  /// driver closes all links, and drops events and answers to calls of the time
  /// before.
  void restart(const ControlOptions &Options, Time Now);
  /// Handles an event and appends the actions it causes, to be carried out in
  /// order.
  void handle(const ControlEvent &Event, Time Now, ControlActions &Actions);
  const ControlBlackboard &blackboard() const;
  /// Whether this host holds a current log and knows the leader.
  bool isReady() const;
  /// Index of the log up to which this host has applied.
  uint64_t appliedIndex() const;
  CounterList counters() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
