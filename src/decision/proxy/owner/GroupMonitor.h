/// \file
/// Monitors the instances of one database with probes.
#pragma once

#include "decision/proxy/owner/Instance.h"
#include "decision/proxy/owner/StalenessTracker.h"

#include <unordered_map>

namespace almondpier {

/// Sends probes to the instances of a group. Tracks their positions, sealed
/// terms and health, and whether a majority is still in the term of the
/// primary.
class GroupMonitor {
public:
  explicit GroupMonitor(DatabaseName Database)
      : m_Database(std::move(Database)) {}

  /// Sets the interval of the periodic probes. Takes effect at the next
  /// configure().
  void setProbeInterval(Duration Interval) { m_ProbeInterval = Interval; }
  /// Applies the members and terms of the record. Instances that left the group
  /// are moved to Removed.
  void configure(const DatabaseRecord &Record, Time Now,
                 std::vector<std::unique_ptr<Instance>> &Removed);
  const DatabaseRecord &record() const { return m_Record; }

  /// Sends the periodic probes that are due.
  void sendDueProbes(uint64_t &NextId, ProxyActions &Actions, Time Now);
  /// Requests that a majority answer probes with identifier FirstProbe or
  /// later. Requests are batched into rounds of probes to all instances, with
  /// one round outstanding at a time. A round that cannot be sent yet is sent
  /// by a later call. With FirstProbe 0, only a round that was requested before
  /// is sent.
  void requestProbeRound(uint64_t FirstProbe, uint64_t &NextId,
                         ProxyActions &Actions, Time Now);
  /// Sends a probe that the instance answers once it holds Wanted, unless such
  /// a probe is outstanding.
  void waitForPosition(Instance &Instance, Position Wanted, uint64_t &NextId,
                       ProxyActions &Actions, Time Now);
  /// Processes the answer to a probe. Returns the instance that was probed, or
  /// null if the probe is unknown.
  Instance *onProbeAnswered(const ProbeAnswered &Event, Time Now);
  /// Records the position that the primary of the term Term returned with the
  /// answer to a statement.
  void onPositionReported(Instance &Instance, Position Position, uint64_t Term);

  /// Returns the highest probe identifier such that a majority answered probes
  /// with this identifier or later ones while not sealed for a term later than
  /// that of the primary.
  uint64_t latestConfirmedProbe() const;
  const StalenessTracker &staleness() const { return m_Staleness; }
  /// Returns whether data at Position is known to contain every write
  /// acknowledged before NotBefore.
  bool isFresh(Position Position, Time NotBefore) const {
    return m_Staleness.freshAsOf(Position, NotBefore).has_value();
  }

  std::vector<std::unique_ptr<Instance>> &instances() { return m_Instances; }
  const std::vector<std::unique_ptr<Instance>> &instances() const {
    return m_Instances;
  }
  /// The primary according to the configuration, or null.
  Instance *primary() const { return m_Primary; }
  /// Returns whether the primary can accept new work: its term is the latest
  /// one begun, and it is healthy, not draining, and not known to be sealed for
  /// a later term.
  bool isPrimaryUsable(Time Now) const;

  /// Appends a report for each instance that is unhealthy or whose term or role
  /// differs from the configuration.
  void appendReports(std::vector<InstanceReport> &Reports, Time Now) const;
  /// Removes probes for which the I/O layer never delivered a result.
  void expireProbes(Time Now);

private:
  struct Probe {
    Instance *m_Instance = nullptr;
    Time m_SentAt{};
    bool m_IsPositionWait = false;
  };

  void sendProbe(Instance &Instance, uint64_t &NextId, ProxyActions &Actions,
                 Time Now);
  void applyStatus(Instance &Instance, const InstanceStatus &Status,
                   uint64_t Probe, const struct Probe &Sent, Time Now);

  DatabaseName m_Database;
  DatabaseRecord m_Record;
  std::vector<std::unique_ptr<Instance>> m_Instances;
  Instance *m_Primary = nullptr;
  StalenessTracker m_Staleness;
  Duration m_ProbeInterval = kProbeInterval;
  std::map<uint64_t, Probe> m_Probes;
  /// First probe identifier of the latest requested round, and when the round
  /// was sent.
  uint64_t m_RoundFirstProbe = 0;
  Time m_RoundSentAt{};
  /// Highest FirstProbe passed to requestProbeRound().
  uint64_t m_RequestedProbe = 0;
};

} // namespace almondpier
