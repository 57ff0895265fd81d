/// \file
/// What this host knows of the instances of one database from their answers to
/// probes.
#pragma once

#include "decision/proxy/owner/Instance.h"
#include "decision/proxy/owner/StalenessTracker.h"

#include <unordered_map>

namespace almondpier {

/// Sends probes, and keeps positions, sealed terms, health and the proofs that
/// a majority is still in a term.
class GroupMonitor {
public:
  explicit GroupMonitor(DatabaseName Database)
      : m_Database(std::move(Database)) {}

  /// Takes effect with the next configure().
  void setProbeInterval(Duration Interval) { m_ProbeInterval = Interval; }
  /// Takes over members and terms. Instances that left are handed to Removed.
  void configure(const DatabaseRecord &Record, Time Now,
                 std::vector<std::unique_ptr<Instance>> &Removed);
  const DatabaseRecord &record() const { return m_Record; }

  /// Sends the periodic probes that are due.
  void sendDueProbes(uint64_t &NextId, ProxyActions &Actions, Time Now);
  /// Wants a majority to answer a probe of identifier FirstProbe or later.
  /// Requests for this are batched into rounds, one at a time; a round that
  /// cannot be sent now is sent by a later call.
  void requestProbeRound(uint64_t FirstProbe, uint64_t &NextId,
                         ProxyActions &Actions, Time Now);
  /// Sends a probe that waits until the instance holds Wanted, unless one is
  /// outstanding.
  void waitForPosition(Instance &Instance, Position Wanted, uint64_t &NextId,
                       ProxyActions &Actions, Time Now);
  /// Takes an answer; returns the instance that gave it, or null.
  Instance *onProbeAnswered(const ProbeAnswered &Event, Time Now);
  /// The primary of m_PrimaryTerm answered a statement with this position.
  void onPositionReported(Instance &Instance, Position Position, uint64_t Term);

  /// Highest identifier such that a majority answered probes of it or later
  /// without being sealed for a later term than that of the primary.
  uint64_t latestConfirmedProbe() const;
  const StalenessTracker &staleness() const { return m_Staleness; }
  /// Whether the position proves that nothing acknowledged before NotBefore is
  /// missing.
  bool isFresh(Position Position, Time NotBefore) const {
    return m_Staleness.freshAsOf(Position, NotBefore).has_value();
  }

  std::vector<std::unique_ptr<Instance>> &instances() { return m_Instances; }
  const std::vector<std::unique_ptr<Instance>> &instances() const {
    return m_Instances;
  }
  /// The primary in the term of the configuration; null while there is none.
  Instance *primary() const { return m_Primary; }
  /// Whether the primary can take new work: its term is the last one begun, no
  /// drain, healthy, and not known to be sealed for a later term.
  bool isPrimaryUsable(Time Now) const;

  /// Adds reports on instances that are unhealthy or in another term or role
  /// than the configuration says.
  void appendReports(std::vector<InstanceReport> &Reports, Time Now) const;
  /// Forgets probes that the driver never answered.
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
  /// First identifier of the latest round on demand, and when it was sent.
  uint64_t m_RoundFirstProbe = 0;
  Time m_RoundSentAt{};
  /// Latest FirstProbe that a round was wanted for.
  uint64_t m_RequestedProbe = 0;
};

} // namespace almondpier
