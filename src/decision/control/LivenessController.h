/// \file
/// Which proxies are alive, from their heartbeats.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Every control host keeps the heartbeats, so that a new leader knows the live
/// hosts at once; only the leader publishes the list.
class LivenessController {
public:
  static constexpr Duration kLiveLimit = std::chrono::milliseconds(1'000);

  LivenessController(ControlBlackboard &Board, Time Start)
      : m_Board(Board), m_CompleteAfter(Start + kLiveLimit), m_TickedAt(Start) {
  }

  void onHeartbeat(const Heartbeat &Heartbeat, Time Now);
  /// Records the capacity of a registered host when it is new. Reports repeat,
  /// so one that cannot be recorded yet costs an interval.
  void onCapacityReport(const HostCapacityReport &Report,
                        ControlContext &Context);
  /// A proxy sent its record with a poll; registers it when it is new.
  void onHostRecord(const HostRecord &Host, ControlContext &Context);
  /// The leader's list, as a follower receives it.
  void onLeaderList(const LiveHosts &List);
  void tick(ControlContext &Context);
  /// Records of unknown or changed hosts that a follower relays to the leader.
  std::vector<HostRecord> takeRelays() { return std::move(m_Relays); }

private:
  /// Drops reports that a partial heartbeat renews and those that are too old.
  static void keepOtherReports(HostHealth &Health, const Heartbeat &Heartbeat,
                               Time Now);
  void publish(ControlContext &Context);

  ControlBlackboard &m_Board;
  /// From then on every live host has had the time to send a heartbeat.
  Time m_CompleteAfter;
  Time m_TickedAt;
  std::map<HostName, Time> m_RegisteredAt;
  /// When the capacity of a host was last proposed to the log.
  std::map<HostName, Time> m_CapacityProposedAt;
  std::vector<HostRecord> m_Relays;
};

} // namespace almondpier
