/// \file
/// Which instance runs a statement.
#pragma once

#include "decision/session/Session.h"

namespace almondpier {

/// What one attempt needs of the instance.
struct Requirement {
  Target m_Target = Target::Primary;
  std::optional<Position> m_NotBefore;
};

/// Session.m_Task is set in all sessions passed to it.
class InstanceChooser {
public:
  InstanceChooser(const ProxyBlackboard &Board, GroupViews &Views,
                  const InstancePool &Pool)
      : m_Board(Board), m_Views(Views), m_Pool(Pool) {}

  Requirement requirementOf(const CallerSession &Session) const;
  /// Returns the instance with the lowest expected cost that takes another
  /// statement now, or null.
  const InstanceDescription *choose(const CallerSession &Session,
                                    const Requirement &Needed, Time Now);
  /// What stands against each instance that could run the task, for the log.
  std::string describeWait(const CallerSession &Session, Time Now);

private:
  /// Whether the instance takes another statement of this host now.
  bool hasPlace(const CallerSession &Session,
                const InstanceDescription &Instance, Time Now);

  /// Expected cost of another statement there, in milliseconds.
  double costOf(const CallerSession &Session,
                const InstanceDescription &Instance, bool IsPrimary);

  const ProxyBlackboard &m_Board;
  GroupViews &m_Views;
  const InstancePool &m_Pool;
};

} // namespace almondpier
