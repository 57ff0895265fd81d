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
};

class ControlCore {
public:
  ControlCore(const ControlOptions &Options, Time Now);
  ~ControlCore();
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

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
