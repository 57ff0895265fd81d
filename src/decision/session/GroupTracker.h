/// \file
/// What this host knows of the database groups: which instance is primary, how
/// recent its position is, and how the instances respond.
#pragma once

#include "decision/session/SessionEvents.h"

#include <deque>

namespace almondpier {

/// Begins above the share of slots that one of a dozen hosts has, so that a
/// host without competition is not slowed down.
constexpr double kInitialConcurrencyLimit = 4;

/// Health of one instance as this host sees it.
struct InstanceHealth {
  /// No new work before this moment, after a failure.
  Time m_BackoffUntil;
  /// Lacked a required position; not chosen for reads before this moment.
  Time m_LaggingUntil;
  /// Refused to act as primary; not taken for one before this moment.
  Time m_NotPrimaryUntil;
  /// Any input from the instance.
  Time m_LastInputAt;
  /// Since when every attempt to reach it failed.
  std::optional<Time> m_UnreachableSince;
  /// Statements that this host runs there at a time; falls when the instance
  /// refuses for its load and rises with each answer.
  double m_ConcurrencyLimit = kInitialConcurrencyLimit;
  /// Pause after the latest refusal for load; doubles while refusals go on.
  Duration m_OverloadBackoff{};
  /// Moving average of the time for a statement, in milliseconds.
  double m_LatencyMs = 0;
};

/// A position that the primary held at a moment.
struct PrimarySample {
  Position m_Position;
  /// When the statement that proved the leadership of the instance was sent:
  /// the position covers every commit acknowledged before.
  Time m_TakenAt;
};

class GroupTracker {
public:
  explicit GroupTracker(const ProxyBlackboard &Board) : m_Board(Board) {}

  /// The instance to take for the primary of a group; nothing when none is
  /// known. An instance that departs counts until another one leads.
  const InstanceDescription *primaryOf(const DatabaseName &Database,
                                       Time Now) const;
  /// Instances of a group that take new work.
  std::vector<const InstanceDescription *>
  readyInstances(const DatabaseName &Database) const;
  const InstanceDescription *find(const InstanceName &Name) const;
  /// The oldest sample of the group that was taken after NotBefore, or null. It
  /// asks the least of a replica that still satisfies the bound.
  const PrimarySample *oldestSampleSince(const DatabaseName &Database,
                                         Time NotBefore) const;

  /// The instance proved that it led when it answered a statement sent at
  /// SentAt.
  void onLeadershipConfirmed(const InstanceDescription &Instance,
                             const std::optional<Position> &Reported,
                             Time SentAt, Time Now);
  void onNotPrimary(const InstanceName &Name, Time Now);
  void onLagging(const InstanceName &Name, Time Now);
  /// The instance refused for its load.
  void onOverloaded(const InstanceName &Name, Time Now);
  /// The instance ran a statement.
  void onStatementSucceeded(const InstanceName &Name);
  void onInputReceived(const InstanceName &Name, Time Now);
  void onUnreachable(const InstanceName &Name, Time Now);
  void recordLatency(const InstanceName &Name, Duration Latency);
  /// Forgets instances that left the directory, and follows new claims.
  void onDirectoryChanged(Time Now);

  InstanceHealth &healthOf(const InstanceName &Name) {
    return m_Instances[Name];
  }
  const std::map<InstanceName, InstanceHealth> &instances() const {
    return m_Instances;
  }

private:
  struct Group {
    std::optional<InstanceName> m_Primary;
    /// In the order in which they were taken; positions never fall.
    std::deque<PrimarySample> m_Samples;
  };

  const ProxyBlackboard &m_Board;
  std::map<DatabaseName, Group> m_Groups;
  std::map<InstanceName, InstanceHealth> m_Instances;
};

} // namespace almondpier
