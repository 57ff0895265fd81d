/// \file
/// The zones whose instances this host must leave, and since when.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// From the moment at which an evacuation is known, no read and no transaction
/// starts in the zone, except at a primary: it serves until another instance is
/// promoted, for the grace time at most. Then the zone is closed: no statement
/// goes there, open transactions included.
class EvacuatedZones {
public:
  EvacuatedZones(const ProxyBlackboard &Board, Duration Grace)
      : m_Board(Board), m_Grace(Grace) {}

  /// Call whenever the configuration or the proof of its freshness has changed.
  /// An order that is seen now was accepted after the configuration was last
  /// proved current without it.
  void update(Time Now) {
    if (m_Board.m_AppliedIndex == 0)
      return;
    const std::set<AvailabilityZone> &Zones =
        m_Board.m_Configuration.evacuatedZones();
    std::erase_if(m_Since, [&](const auto &Entry) {
      return !Zones.contains(Entry.first);
    });
    // A host that has just started does not know how old the order is.
    Time Since = m_ProvedAt ? std::min(Now, *m_ProvedAt) : Now - m_Grace;
    for (const AvailabilityZone &Zone : Zones)
      m_Since.try_emplace(Zone, Since);
    m_ProvedAt = m_Board.m_FreshAt;
  }
  bool empty() const { return m_Since.empty(); }
  bool isClosed(const AvailabilityZone &Zone, Time Now) const {
    auto Found = m_Since.find(Zone);
    return Found != m_Since.end() && Now - Found->second >= m_Grace;
  }

private:
  const ProxyBlackboard &m_Board;
  Duration m_Grace;
  /// When the configuration was last proved current.
  std::optional<Time> m_ProvedAt;
  std::map<AvailabilityZone, Time> m_Since;
};

} // namespace almondpier
