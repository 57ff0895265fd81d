/// \file
/// Failover of groups whose instances are promoted on request and whose number
/// of synchronous replicas is configured.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Runs at the leader. Detects an unreachable, draining or missing primary of
/// each group in the directory, reads the positions of the replicas (and seals
/// the replicas if the group replicates synchronously), and has the most
/// advanced replica promoted. The fencing token increases with the leader's
/// term and with each attempt, so that instances refuse a delayed call of an
/// earlier attempt.
class PromotionController {
public:
  explicit PromotionController(ControlBlackboard &Board) : m_Board(Board) {}

  void onAnswered(const GroupCallAnswered &Event, ControlContext &Context);
  void tick(ControlContext &Context);
  CounterList counters() const;

private:
  enum class Step : uint8_t { Monitor, ReadPositions, Promote, AwaitRole };

  struct Candidate {
    InstanceDescription m_Instance;
    std::optional<Position> m_ReceivedPosition;
    uint64_t m_Term = 0;
    bool m_IsPending = false;
  };
  struct Group {
    Step m_Step = Step::Monitor;
    Time m_StepStartedAt;
    /// No attempt starts before this time.
    Time m_NextAttemptAt;
    Time m_StartedAt;
    std::string m_Reason;
    std::optional<Time> m_NoPrimarySince;
    std::map<InstanceName, Candidate> m_Candidates;
    std::optional<InstanceName> m_Chosen;
    /// Replicas that refused a promotion, each excluded as a candidate until
    /// the given time.
    std::map<InstanceName, Time> m_ExcludedUntil;
    uint64_t m_HighestTerm = 0;
    bool m_IsSealing = false;
  };
  struct Call {
    DatabaseName m_Database;
    InstanceName m_Instance;
    GroupCallKind m_Kind = GroupCallKind::ReadPosition;
  };
  /// Directory entries of the instances of one group.
  using Members = std::vector<const InstanceDescription *>;

  std::map<DatabaseName, Members> membersByDatabase() const;
  void supervise(const DatabaseName &Name, const Members &Members,
                 ControlContext &Context);
  std::optional<std::string> promotionReason(Group &Group,
                                             const DatabaseName &Name,
                                             const Members &Members,
                                             Time Now) const;
  bool isReportedUnreachable(const DatabaseName &Name,
                             const InstanceDescription &Primary,
                             Time Now) const;
  uint32_t syncReplicasOf(const DatabaseName &Name) const;
  void startAttempt(Group &Group, const DatabaseName &Name,
                    const Members &Members, const std::string &Reason,
                    ControlContext &Context);
  void readPositions(Group &Group, const DatabaseName &Name,
                     ControlContext &Context);
  void chooseCandidate(Group &Group, const DatabaseName &Name, size_t Replicas,
                       ControlContext &Context);
  void promote(Group &Group, const DatabaseName &Name, ControlContext &Context);
  void awaitRole(Group &Group, const DatabaseName &Name, const Members &Members,
                 ControlContext &Context);
  void endAttempt(Group &Group, Duration Delay, Time Now);
  void enterStep(Group &Group, Step Step, Time Now);
  GroupCallId sendCall(const DatabaseName &Name, GroupCallKind Kind,
                       const InstanceDescription &Instance, CallGroup Action,
                       ControlContext &Context);

  ControlBlackboard &m_Board;
  uint64_t m_LeaderTerm = 0;
  uint64_t m_Attempts = 0;
  uint64_t m_LastCallId = 0;
  std::map<GroupCallId, Call> m_PendingCalls;
  std::map<DatabaseName, Group> m_Groups;
  Time m_LastMonitoredAt;
  uint64_t m_Started = 0;
  uint64_t m_Completed = 0;
  uint64_t m_Abandoned = 0;
};

} // namespace almondpier
