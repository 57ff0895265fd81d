/// \file
/// Selects the instance that runs a statement.
#pragma once

#include "decision/session/EvacuatedZones.h"
#include "decision/session/Session.h"

namespace almondpier {

/// Requirements of one attempt on its instance.
struct InstanceRequirement {
  StatementTarget m_Target = StatementTarget::Primary;
  std::optional<Position> m_MinPosition;
};

/// Selects instances by requirement, capacity and expected cost. All sessions
/// passed to its functions must have m_Pending set.
class InstanceSelector {
public:
  InstanceSelector(const ProxyBlackboard &Board, GroupTracker &Tracker,
                   const EvacuatedZones &Evacuated,
                   const InstanceConnectionPool &Pool)
      : m_Board(Board), m_Tracker(Tracker), m_Evacuated(Evacuated),
        m_Pool(Pool) {}

  /// Call before each attempt. Turns a single read into one that the primary
  /// must confirm, if the known position of the primary will soon be too old
  /// for reads at replicas. An owner whose callers do not write learns
  /// positions in no other way.
  void refreshSample(CallerSession &Session, Time Now);
  InstanceRequirement requirementOf(const CallerSession &Session) const;
  /// Returns the instance with the lowest expected cost that has capacity for
  /// another statement, or null.
  const InstanceDescription *select(const CallerSession &Session,
                                    const InstanceRequirement &Requirement,
                                    Time Now);
  /// Returns whether every instance that may run the pending statement has been
  /// unreachable for some time, or none is known.
  bool isUnreachable(const CallerSession &Session,
                     const InstanceRequirement &Requirement, Time Now);
  /// Returns how long a statement is expected to wait behind Ahead others; zero
  /// when the latency of the instances is not known yet.
  Duration estimateWait(const CallerSession &Session, size_t Ahead, Time Now);
  /// Returns whether the presumed primary of the session's group may not be
  /// used any more because its zone is evacuated.
  bool isPrimaryInClosedZone(const CallerSession &Session, Time Now);
  /// Describes why none of the eligible instances can run the pending
  /// statement, for the log and the error message.
  std::string describeWaitReason(const CallerSession &Session, Time Now);

private:
  /// Returns whether this host may send another statement to the instance now.
  bool hasCapacity(const CallerSession &Session,
                   const InstanceDescription &Instance, Time Now);

  /// Returns how many statements this host may run at the instance at once.
  double allowedStatements(const InstanceDescription &Instance);

  /// Returns the expected cost of another statement at the instance, in
  /// milliseconds.
  double estimateCost(const CallerSession &Session,
                      const InstanceDescription &Instance, bool IsPrimary,
                      Time Now);

  const ProxyBlackboard &m_Board;
  GroupTracker &m_Tracker;
  const EvacuatedZones &m_Evacuated;
  const InstanceConnectionPool &m_Pool;
};

} // namespace almondpier
