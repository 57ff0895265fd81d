/// \file
/// Tracks the state of the database groups as observed by this host: the
/// primary of each group, recent log positions of the primary, and the health
/// of the instances.
#pragma once

#include "decision/session/InstancePace.h"
#include "decision/session/SessionEvents.h"

#include <deque>
#include <utility>

namespace almondpier {

/// Initial value of InstanceHealth::m_ConcurrencyLimit. It exceeds the share of
/// an instance's slots that one of a dozen hosts has, so that a host without
/// competing load is not throttled.
constexpr double kInitialConcurrencyLimit = 4;

/// Health of one instance as observed by this host.
struct InstanceHealth {
  /// End of the backoff after a failure; until then the instance gets no new
  /// statements.
  Time m_BackoffUntil;
  /// The instance rejected a read because it had not reached the required
  /// position; until this time it is not selected for reads.
  Time m_LaggingUntil;
  /// The instance rejected a statement because it is not the primary; until
  /// this time it is not considered to be the primary.
  Time m_NotPrimaryUntil;
  /// Time of the last message from the instance.
  Time m_LastInputAt;
  /// Time of the first of the consecutive failures to reach the instance.
  std::optional<Time> m_UnreachableSince;
  /// Since when the instance has sent nothing although a statement is in
  /// flight; updated at each report interval.
  std::optional<Time> m_SilentSince;
  /// Limit of the statements that this host runs at the instance concurrently.
  /// It is reduced when the instance rejects a statement as overloaded, and
  /// raised with each success (additive increase, multiplicative decrease).
  double m_ConcurrencyLimit = kInitialConcurrencyLimit;
  /// Backoff after the latest overload rejection; doubled with each further one
  /// and halved with each success.
  Duration m_OverloadBackoff{};
  /// Exponential moving average of the statement latency, in milliseconds; 0
  /// when no statement has completed.
  double m_LatencyMs = 0;
  /// Limits the load while the instance is new, back or promoted.
  InstancePace m_Pace;
  /// Start time and role that the directory gave last.
  uint64_t m_StartedAtMs = 0;
  bool m_IsPrimary = false;
};

/// A log position of the primary at a point in time.
struct PrimarySample {
  Position m_Position;
  /// When the statement that confirmed the leadership of the instance was sent.
  /// The position covers every commit acknowledged before this time.
  Time m_TakenAt;
};

class GroupTracker {
public:
  explicit GroupTracker(const ProxyBlackboard &Board) : m_Board(Board) {}

  /// Returns the presumed primary of a group, or null when none is known. A
  /// draining instance stays the primary until another one takes over.
  const InstanceDescription *primaryOf(const DatabaseName &Database,
                                       Time Now) const;
  /// Returns the instances of a group that accept new work.
  std::vector<const InstanceDescription *>
  readyInstances(const DatabaseName &Database) const;
  const InstanceDescription *find(const InstanceName &Name) const;
  /// Returns the oldest sample of the group taken at or after NotBefore, or
  /// null. Its position is the lowest that satisfies the staleness bound, so
  /// the most replicas qualify.
  const PrimarySample *oldestSampleSince(const DatabaseName &Database,
                                         Time NotBefore) const;

  /// Returns whether the newest sample of the group has reached MaxAge and
  /// none was requested a short time ago.
  bool isSampleDue(const DatabaseName &Database, Duration MaxAge,
                   Time Now) const;
  /// A statement that yields a sample is about to be sent.
  void onSampleRequested(const DatabaseName &Database, Time Now) {
    m_Groups[Database].m_SampleRequestedAt = Now;
  }

  /// The reply to a statement sent at SentAt confirmed that the instance is the
  /// primary.
  void onLeadershipConfirmed(const InstanceDescription &Instance,
                             const std::optional<Position> &Reported,
                             Time SentAt, Time Now);
  void onNotPrimary(const InstanceName &Name, Time Now);
  void onLagging(const InstanceName &Name, Time Now);
  /// The instance rejected a statement or connection as overloaded.
  void onOverloaded(const InstanceName &Name, Time Now);
  /// The instance executed a statement.
  void onStatementSucceeded(const InstanceName &Name);
  void onInputReceived(const InstanceName &Name, Time Now);
  /// The instance could not be reached or has not answered since Since.
  void onUnreachable(const InstanceName &Name, Time Since, Time Now);
  /// Returns whether the instance has been unreachable or silent for so long
  /// that new statements must not be sent to it.
  bool isLost(const InstanceName &Name, Time Now) const;
  /// An instance answered a statement after Latency.
  void recordLatency(const InstanceName &Name, Duration Latency, Time Now);
  /// The instance executed a statement and reported a failure.
  void onStatementFailed(const InstanceName &Name, Time Now) {
    m_Instances[Name].m_Pace.onFailed(Now);
  }
  /// Descriptions of the ramps that began since the last call, for the log.
  std::vector<std::string> takePaceReports() {
    return std::exchange(m_PaceReports, {});
  }
  size_t rampingCount() const;
  /// Removes instances that left the directory, and switches to an instance
  /// that newly claims to be primary.
  void onDirectoryChanged(Time Now);

  InstanceHealth &healthOf(const InstanceName &Name) {
    return m_Instances[Name];
  }
  std::map<InstanceName, InstanceHealth> &instances() { return m_Instances; }

private:
  std::vector<const InstanceDescription *>
  membersOf(const DatabaseName &Database) const;
  void beginRamp(const InstanceName &Name, const char *Reason, Time Now);
  /// Begins a ramp for each instance that the directory shows as new, restarted
  /// or promoted.
  void detectStarts(Time Now);
  /// Highest latency of the other instances of the group, in milliseconds; 0
  /// when none is known.
  double referenceLatencyMs(const InstanceDescription &Instance) const;

  struct Group {
    std::optional<InstanceName> m_Primary;
    /// In the order of their time; positions never decrease.
    std::deque<PrimarySample> m_Samples;
    Time m_SampleRequestedAt;
  };

  const ProxyBlackboard &m_Board;
  /// Positions of each group's instances in the directory; avoids a scan of the
  /// whole directory for every statement.
  std::map<DatabaseName, std::vector<size_t>> m_Members;
  std::map<DatabaseName, Group> m_Groups;
  std::map<InstanceName, InstanceHealth> m_Instances;
  std::vector<std::string> m_PaceReports;
  bool m_HasDirectory = false;
};

} // namespace almondpier
