/// \file
/// Which hosts are members of the replicated log.
#pragma once

#include "decision/control/ChangeController.h"

namespace almondpier {

/// Adds joining hosts as learners, makes them voters once they hold the log,
/// and removes the old identifier of a host that lost its disk.
class MembershipController {
public:
  static constexpr size_t kMaxVoters = 7;

  /// Silent voters stay when fewer than MinVoters would be left.
  MembershipController(const ControlBlackboard &Board,
                       ChangeController &Changes, size_t MinVoters)
      : m_Board(Board), m_Changes(Changes), m_MinVoters(MinVoters) {}

  void onJoinRequest(const JoinRequest &Request, ControlContext &Context);
  void onRemove(const OperatorRemoveMember &Event, ControlContext &Context);
  /// One step at a time towards the wanted membership.
  void tick(ControlContext &Context);

private:
  void propose(const Membership &Target, const std::string &Description,
               ControlContext &Context);
  bool replaceOldIdentifier(ControlContext &Context);
  bool promoteLearner(ControlContext &Context);
  /// Removes founders without a disk once hosts with one have joined.
  bool dismissFounder(ControlContext &Context);
  bool removeSilentVoter(ControlContext &Context);

  const ControlBlackboard &m_Board;
  ChangeController &m_Changes;
  size_t m_MinVoters;
  Time m_SteppedAt;
};

} // namespace almondpier
