/// \file
/// Failover of groups whose instances are promoted on request and whose number
/// of synchronous replicas is configured.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Runs at the leader. Detects an unreachable, draining or missing primary of
/// each group in the directory, reads the positions of the replicas (and seals
/// the replicas if the group replicates synchronously), and has the most
/// advanced replica promoted. A primary in an evacuated zone is demoted first,
/// and a replica elsewhere promoted once it holds everything that the primary
/// acknowledged; no instance of an evacuated zone is promoted. The fencing
/// token increases with the leader's term and with each attempt, so that
/// instances refuse a delayed call of an earlier attempt.
class PromotionController {
public:
  explicit PromotionController(ControlBlackboard &Board) : m_Board(Board) {}

  void onAnswered(const GroupCallAnswered &Event, ControlContext &Context);
  void tick(ControlContext &Context);
  CounterList counters() const;

private:
  enum class Step : uint8_t {
    Monitor,
    ReadPositions,
    /// Planned moves only: the primary is being demoted.
    Demote,
    /// Planned moves only: the replicas receive the last commits of the
    /// primary.
    CatchUp,
    Promote,
    AwaitRole
  };

  struct Candidate {
    InstanceDescription m_Instance;
    std::optional<Position> m_ReceivedPosition;
    uint64_t m_Term = 0;
    bool m_IsPending = false;
  };
  /// The leader's own status requests to a primary that hosts report as
  /// unreachable. An overloaded primary still answers or refuses them.
  struct PrimaryCheck {
    std::optional<GroupCallId> m_Call;
    Time m_SentAt;
    std::optional<Time> m_AnsweredAt;
    /// When the first of the consecutive requests without an answer was sent.
    std::optional<Time> m_SilentSince;
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
    /// The reachable primary of an evacuated zone, in a planned move.
    std::optional<InstanceDescription> m_Leaving;
    /// Position of m_Leaving after its demotion.
    std::optional<Position> m_LastPosition;
    Time m_PositionsReadAt;
    size_t m_DemotionCalls = 0;
    /// Replicas that refused a promotion, each excluded as a candidate until
    /// the given time.
    std::map<InstanceName, Time> m_ExcludedUntil;
    uint64_t m_HighestTerm = 0;
    bool m_IsSealing = false;
    PrimaryCheck m_PrimaryCheck;
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
                                             ControlContext &Context);
  /// How many hosts report the primary as unreachable, and for how long.
  struct ReportSummary {
    size_t m_Hosts = 0;
    size_t m_LiveHosts = 0;
    uint32_t m_LongestMs = 0;
  };
  ReportSummary summariseReports(const DatabaseName &Name,
                                 const InstanceDescription &Primary,
                                 Time Now) const;
  bool isUnreachable(const Group &Group, const DatabaseName &Name,
                     const InstanceDescription &Primary, Time Now) const;
  /// Sends a status request to a primary that hosts report as unreachable.
  void checkPrimary(Group &Group, const DatabaseName &Name,
                    const InstanceDescription &Primary,
                    ControlContext &Context);
  void onPrimaryChecked(Group &Group, const GroupCallAnswered &Event, Time Now);
  uint32_t syncReplicasOf(const DatabaseName &Name) const;
  /// Returns whether the instance may become primary.
  bool isUsable(const InstanceDescription &Instance) const;
  /// Returns the candidate with the highest position of those that may be
  /// promoted, or null.
  const Candidate *mostAdvanced(const Group &Group) const;
  /// Returns how many replicas must have reported their position, so that one
  /// of them holds every acknowledged commit.
  size_t requiredAnswers(const Group &Group, const DatabaseName &Name) const;
  void demote(Group &Group, const DatabaseName &Name, ControlContext &Context);
  void onDemoted(Group &Group, const DatabaseName &Name,
                 const GroupCallAnswered &Event, ControlContext &Context);
  /// Promotes a replica that holds all commits of the demoted primary.
  void awaitCatchUp(Group &Group, const DatabaseName &Name,
                    ControlContext &Context);
  void startAttempt(Group &Group, const DatabaseName &Name,
                    const Members &Members, const std::string &Reason,
                    ControlContext &Context);
  void readPositions(Group &Group, const DatabaseName &Name,
                     ControlContext &Context);
  void chooseCandidate(Group &Group, const DatabaseName &Name,
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
