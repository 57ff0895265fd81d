/// \file
/// Changes by operators: from the request to the outcome.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Proposes changes and answers them once they are applied. A change whose
/// outcome cannot be known is answered with OutcomeUnknown; the operator sends
/// it again with the same identifier.
class ChangeController {
public:
  void submit(const OperatorChange &Event, ControlContext &Context);
  /// Answers at once when the document in force is as new.
  void submitPolicy(const PolicySubmitted &Event, ControlContext &Context);
  /// Refuses an unknown zone and the last one that is in use. Repeated orders
  /// are accepted without effect.
  void submitEvacuation(const ZoneEvacuationRequested &Event,
                        ControlContext &Context);
  /// Proposes a change of the membership; the outcome answers Id.
  void submitMembership(OperationId Id, const Membership &Target,
                        const Change &Record, ControlContext &Context);
  void onApplied(const LogEntry &Entry, const ChangeOutcome &Outcome,
                 ControlContext &Context);
  void onLeadershipLost(ControlContext &Context);
  void tick(ControlContext &Context);
  /// Whether operations wait for an outcome.
  bool isIdle() const { return m_Waiting.empty(); }

private:
  /// Appends a change of this leader and waits for its outcome.
  void propose(OperationId Id, const Change &Proposed, ControlContext &Context);
  struct Waiting {
    OperationId m_Id;
    uint64_t m_Term = 0;
    Time m_Until;
  };

  void wait(OperationId Id, uint64_t Index, ControlContext &Context);
  static void replyUnknown(OperationId Id, ControlContext &Context);

  /// By log index.
  std::multimap<uint64_t, Waiting> m_Waiting;
};

} // namespace almondpier
