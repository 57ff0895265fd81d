/// \file
/// Which instance runs a statement.
#pragma once

#include "decision/session/Session.h"

namespace almondpier {

/// What one attempt needs of the instance.
struct InstanceRequirement {
  StatementTarget m_Target = StatementTarget::Primary;
  std::optional<Position> m_MinPosition;
};

/// Session.m_Pending is set in all sessions passed to it.
class InstanceSelector {
public:
  InstanceSelector(const ProxyBlackboard &Board, GroupTracker &Tracker,
                   const InstanceConnectionPool &Pool)
      : m_Board(Board), m_Tracker(Tracker), m_Pool(Pool) {}

  InstanceRequirement requirementOf(const CallerSession &Session) const;
  /// Returns the instance with the lowest expected cost that takes another
  /// statement now, or null.
  const InstanceDescription *select(const CallerSession &Session,
                                    const InstanceRequirement &Requirement,
                                    Time Now);
  /// What stands against each instance that could run the task, for the log.
  std::string describeWaitReason(const CallerSession &Session, Time Now);

private:
  /// Whether the instance takes another statement of this host now.
  bool hasCapacity(const CallerSession &Session,
                   const InstanceDescription &Instance, Time Now);

  /// Expected cost of another statement there, in milliseconds.
  double estimateCost(const CallerSession &Session,
                      const InstanceDescription &Instance, bool IsPrimary);

  const ProxyBlackboard &m_Board;
  GroupTracker &m_Tracker;
  const InstanceConnectionPool &m_Pool;
};

} // namespace almondpier
