/// \file
/// Failover of groups whose instances are promoted on request and whose number
/// of synchronous replicas is configured.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Runs at the leader. Detects an unreachable, draining or missing primary of
/// each group in the directory, reads the positions of the replicas, and has
/// the most advanced replica promoted. A primary in an evacuated zone is
/// demoted first, and a replica elsewhere promoted once it holds everything
/// that the primary acknowledged; no instance of an evacuated zone is promoted.
/// The fencing token increases with the leader's term and with each attempt, so
/// that instances refuse a delayed call of an earlier attempt.
///
/// In a group that replicates synchronously, nothing may be acknowledged
/// between the reading of the positions and the promotion: the primary is
/// demoted first where it can be reached, otherwise all replicas are sealed,
/// draining ones included. docs/design/promotion-seals.md says why that
/// suffices.
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
    bool m_IsPending = false;
    /// The position was read under the seal of the current pass.
    bool m_IsSealed = false;
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
    /// The replicas of the attempt: those that may be promoted, and with
    /// synchronous replication all that may acknowledge commits.
    std::map<InstanceName, Candidate> m_Candidates;
    std::optional<InstanceName> m_Chosen;
    /// The instance that claims to be primary; empty when none does.
    std::optional<InstanceDescription> m_Primary;
    /// The reachable primary of a planned move: in an evacuated zone, or
    /// draining in a group that replicates synchronously.
    std::optional<InstanceDescription> m_Leaving;
    /// Position of m_Leaving after its demotion.
    std::optional<Position> m_LastPosition;
    Time m_PositionsReadAt;
    size_t m_DemotionCalls = 0;
    /// Replicas that refused a promotion, each excluded as a candidate until
    /// the given time.
    std::map<InstanceName, Time> m_ExcludedUntil;
    /// The highest term that the members reported in this attempt.
    uint64_t m_HighestTerm = 0;
    /// Number of the last pass over the members; answers to earlier ones are
    /// ignored.
    uint64_t m_Pass = 0;
    /// Term of the seal of the last pass; 0 when it sealed nothing.
    uint64_t m_SealTerm = 0;
    size_t m_SealPasses = 0;
    /// Positions that the pass before found under the same seal.
    std::map<InstanceName, Position> m_SealedPositions;
    /// Until then an order without a definite answer may be carried out.
    Time m_OrderPendingUntil;
    /// The primary that was demoted and not replaced yet. What it alone holds
    /// was not acknowledged.
    std::optional<InstanceDescription> m_Demoted;
    /// Replicas that are or may be sealed and are to receive again.
    std::map<InstanceName, InstanceDescription> m_Sealed;
    /// When they are resumed, unless another attempt begins.
    Time m_ResumeAt;
    Time m_ResumeSentAt;
    PrimaryCheck m_PrimaryCheck;
  };
  struct Call {
    DatabaseName m_Database;
    InstanceName m_Instance;
    GroupCallKind m_Kind = GroupCallKind::ReadPosition;
    uint64_t m_Pass = 0;
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
  /// Returns whether the candidate holds all commits of the demoted primary.
  static bool hasAllCommits(const Group &Group, const Candidate *Candidate);
  /// Returns whether the positions must be read under a seal.
  bool needsSeal(const Group &Group, const DatabaseName &Name) const;
  /// Adds replicas that started or restarted since the attempt began. Returns
  /// whether there were any.
  bool addReplicas(Group &Group, const DatabaseName &Name,
                   const Members &Members);
  /// Decides what follows a pass that sealed the replicas. Returns whether the
  /// positions are final: two passes in a row found them unchanged.
  bool isSealConfirmed(Group &Group);
  /// Seals replicas that appear while the promotion is on its way.
  void sealLateReplicas(Group &Group, const DatabaseName &Name,
                        const Members &Members, ControlContext &Context);
  void sealReplica(Group &Group, const DatabaseName &Name, Candidate &Sealed,
                   ControlContext &Context);
  /// Lets replicas that were sealed receive again once no attempt needs it.
  void resumeReplicas(Group &Group, const DatabaseName &Name,
                      const Members &Members, ControlContext &Context);
  void postpone(Group &Group, const DatabaseName &Name,
                const std::string &Reason, ControlContext &Context);
  void demote(Group &Group, const DatabaseName &Name, ControlContext &Context);
  void onDemoted(Group &Group, const DatabaseName &Name,
                 const GroupCallAnswered &Event, ControlContext &Context);
  /// Promotes a replica that holds all commits of the demoted primary.
  void awaitCatchUp(Group &Group, const DatabaseName &Name,
                    const Members &Members, ControlContext &Context);
  void startAttempt(Group &Group, const DatabaseName &Name,
                    const Members &Members, const std::string &Reason,
                    ControlContext &Context);
  void readPositions(Group &Group, const DatabaseName &Name,
                     ControlContext &Context);
  void chooseCandidate(Group &Group, const DatabaseName &Name,
                       const Members &Members, ControlContext &Context);
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
  uint64_t m_SealedCount = 0;
  uint64_t m_ResumedCount = 0;
};

} // namespace almondpier
