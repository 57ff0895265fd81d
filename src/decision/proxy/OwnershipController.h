/// \file
/// Chooses the hosts that own and observe each database.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

constexpr size_t kObserverCount = 3;

/// Ranks candidates by rendezvous hashing of (database, host) and takes the
/// first kObserverCount, in different availability zones where possible.
std::vector<HostName> rankObservers(const DatabaseName &Database,
                                    const std::vector<HostRecord> &Ready);

class OwnershipController {
public:
  OwnershipController(const HostRecord &Host, ProxyBlackboard &Board)
      : m_Host(Host), m_Board(Board) {}

  /// The configuration or the live hosts changed. Returns whether the
  /// observers of a database changed.
  bool update();
  bool isCandidate(const DatabaseName &Database) const;
  /// Where a host takes forwarded requests; null when it is not known.
  const HostRecord *recordOf(const HostName &Host) const;
  bool isLive(const HostName &Host) const;

private:
  std::vector<HostRecord> readyHosts() const;

  HostRecord m_Host;
  ProxyBlackboard &m_Board;
  /// Input of the last ranking, which is costly for many databases.
  std::vector<HostRecord> m_RankedHosts;
  std::vector<DatabaseName> m_RankedDatabases;
};

} // namespace almondpier
