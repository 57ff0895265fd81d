/// \file
/// Chooses the hosts that own and observe each database.
#pragma once

#include "decision/HostRanking.h"
#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

class OwnershipController {
public:
  OwnershipController(const HostName &Host, ProxyBlackboard &Board)
      : m_Host(Host), m_Board(Board) {}

  /// The configuration or the live hosts changed.
  void update();
  bool isCandidate(const DatabaseName &Database) const;
  /// Returns the record of a registered host, or null.
  const HostRecord *findHost(const HostName &Host) const;
  bool isLive(const HostName &Host) const;

private:
  HostName m_Host;
  ProxyBlackboard &m_Board;
  /// Input of the last ranking, which is costly for many databases.
  std::vector<RankedHost> m_RankedHosts;
  std::vector<DatabaseName> m_RankedDatabases;
};

} // namespace almondpier
