/// \file
/// Failover of one database, and supervision of the instances that replicate
/// from its primary.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Requests to instances that have not been answered yet.
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
  /// Removes and returns the call that an answer belongs to; nothing if the
  /// call was made before a change of leadership.
  std::optional<Call> take(InstanceCallId Id);
  void clear() { m_Calls.clear(); }

private:
  uint64_t m_LastId = 0;
  std::map<InstanceCallId, Call> m_Calls;
};

/// State machine of one failover: begins a new term through the consensus log,
/// seals a majority of the instances (a sealed instance accepts nothing from
/// earlier terms), promotes the most advanced sealed instance and publishes it
/// as the primary. At most one instance is asked to promote in a term. If the
/// result of a promotion is unknown, the failover restarts with a new term.
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
  /// The failover with the durations of the steps completed so far.
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
  /// Abandons the current term, which cannot be completed, and begins a new
  /// one.
  void restart(const std::string &Reason, ControlContext &Context);
  Duration &durationOf(Step Step);

  DatabaseName m_Database;
  std::string m_Reason;
  Step m_Step = Step::Begin;
  /// Term of this attempt; 0 until one is chosen.
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

/// Tells the other instances of a group to follow its primary, and repeats the
/// request until they confirm.
class FollowSupervisor {
public:
  void tick(const DatabaseName &Name, const DatabaseRecord &Record,
            PendingInstanceCalls &Calls, ControlContext &Context);
  void onAnswered(const PendingInstanceCalls::Call &Call,
                  const InstanceCallAnswered &Answer);
  /// Called when an observer reports the instance as unhealthy or not in the
  /// configured role; the request is then repeated soon.
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
