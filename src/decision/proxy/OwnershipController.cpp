#include "decision/proxy/OwnershipController.h"

#include <algorithm>

namespace almondpier {

const HostRecord *OwnershipController::findHost(const HostName &Host) const {
  const std::map<HostName, HostRecord> &Hosts = m_Board.m_Configuration.hosts();
  auto Found = Hosts.find(Host);
  return Found == Hosts.end() ? nullptr : &Found->second;
}

bool OwnershipController::isLive(const HostName &Host) const {
  const std::vector<LiveHost> &Live = m_Board.m_LiveHosts.m_Hosts;
  return std::any_of(Live.begin(), Live.end(), [&](const LiveHost &Known) {
    return Known.m_Host == Host;
  });
}

void OwnershipController::update() {
  std::vector<RankedHost> Hosts =
      candidateHosts(m_Board.m_Configuration, m_Board.m_LiveHosts);
  // A new control leader may not have heard from any host yet.
  if (Hosts.empty())
    return;
  std::vector<DatabaseName> Databases;
  for (const auto &[Name, Record] : m_Board.m_Configuration.databases())
    Databases.push_back(Name);
  if (Hosts == m_RankedHosts && Databases == m_RankedDatabases)
    return;
  std::map<DatabaseName, std::vector<HostName>> Observers;
  for (const DatabaseName &Database : Databases)
    Observers[Database] = rankHosts(Database, Hosts, kObserverCount);
  m_RankedHosts = std::move(Hosts);
  m_RankedDatabases = std::move(Databases);
  m_Board.m_Observers = std::move(Observers);
}

bool OwnershipController::isCandidate(const DatabaseName &Database) const {
  auto Found = m_Board.m_Observers.find(Database);
  return Found != m_Board.m_Observers.end() &&
         std::find(Found->second.begin(), Found->second.end(), m_Host) !=
             Found->second.end();
}

} // namespace almondpier
