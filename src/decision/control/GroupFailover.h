/// \file
/// One change of primary of one database, and the instances that follow.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Requests to instances whose answer is awaited.
class PendingInstanceCalls {
public:
  struct Call {
    DatabaseName m_Database;
    InstanceName m_Instance;
    InstanceCallKind m_Kind = InstanceCallKind::Status;
    uint64_t m_Term = 0;
  };

  void send(const Call &Call, const InstanceRecord &Instance,
            const InstanceRecord *Primary, ControlContext &Context);
  /// Returns and forgets the call that an answer belongs to; nothing when it is
  /// of an earlier leadership.
  std::optional<Call> take(InstanceCallId Id);
  void clear() { m_Calls.clear(); }

private:
  uint64_t m_LastId = 0;
  std::map<InstanceCallId, Call> m_Calls;
};

/// Fixes a term, seals a majority, promotes the most advanced instance and
/// publishes it. Within one term at most one instance is ever told to promote;
/// whenever the result of a promotion is unknown, a new term begins.
class GroupFailover {
public:
  enum class Step : uint8_t { Begin, Seal, Promote, Publish, Done };

  GroupFailover(DatabaseName Database, std::string Reason,
                Duration DetectionTime, Time Now)
      : m_Database(std::move(Database)), m_Reason(std::move(Reason)),
        m_StartedAt(Now), m_StepStartedAt(Now) {
    m_Record.m_Detect = DetectionTime;
  }

  void tick(const DatabaseRecord &Record, PendingInstanceCalls &Calls,
            ControlContext &Context);
  void onAnswered(const PendingInstanceCalls::Call &Call,
                  const InstanceCallAnswered &Answer, ControlContext &Context);
  Step step() const { return m_Step; }
  uint64_t restarts() const { return m_Restarts; }
  /// The durations of the steps done so far.
  FailoverRecord record(Time Now) const;

private:
  struct CallState {
    std::optional<Time> m_LastCallAt;
    bool m_IsPending = false;
  };

  void beginTerm(const DatabaseRecord &Record, ControlContext &Context);
  void seal(const DatabaseRecord &Record, PendingInstanceCalls &Calls,
            ControlContext &Context);
  std::optional<InstanceName> selectCandidate(const DatabaseRecord &Record,
                                              Time Now);
  void promote(const DatabaseRecord &Record, PendingInstanceCalls &Calls,
               ControlContext &Context);
  void publish(const DatabaseRecord &Record, ControlContext &Context);
  void enterStep(Step Step, Time Now);
  /// Begins a new term, because this one cannot be completed.
  void restart(const std::string &Reason, ControlContext &Context);
  Duration &durationOf(Step Step);

  DatabaseName m_Database;
  std::string m_Reason;
  Step m_Step = Step::Begin;
  /// The term of this attempt; 0 until it is fixed.
  uint64_t m_Term = 0;
  Time m_StartedAt;
  Time m_StepStartedAt;
  std::optional<Time> m_ProposedAt;
  std::optional<Time> m_RetryAt;
  std::map<InstanceName, CallState> m_CallStates;
  std::map<InstanceName, Position> m_SealedPositions;
  std::optional<Time> m_MajoritySealedAt;
  InstanceName m_PromotedInstance;
  uint32_t m_PromoteAttempts = 0;
  uint64_t m_StartIndex = 0;
  uint64_t m_Restarts = 0;
  FailoverRecord m_Record;
};

std::string_view nameOf(GroupFailover::Step Step);

/// Tells the other instances of a group to follow its primary, and repeats it
/// until they agree.
class FollowSupervisor {
public:
  void tick(const DatabaseName &Name, const DatabaseRecord &Record,
            PendingInstanceCalls &Calls, ControlContext &Context);
  void onAnswered(const PendingInstanceCalls::Call &Call,
                  const InstanceCallAnswered &Answer);
  /// An observer saw the instance in another state than wanted.
  void onStateMismatch(const InstanceName &Instance);

private:
  struct CallState {
    std::optional<Time> m_LastCallAt;
    bool m_IsConfirmed = false;
  };

  uint64_t m_PrimaryTerm = 0;
  std::map<InstanceName, CallState> m_CallStates;
};

} // namespace almondpier
