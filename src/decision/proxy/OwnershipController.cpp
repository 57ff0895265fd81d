#include "decision/proxy/OwnershipController.h"

#include <algorithm>

namespace almondpier {

/// FNV-1a. All hosts must agree on the ranking, so std::hash does not do.
static uint64_t hashOf(std::string_view Text) {
  constexpr uint64_t kOffset = 0xcbf29ce484222325;
  constexpr uint64_t kPrime = 0x100000001b3;
  uint64_t Hash = kOffset;
  for (char Character : Text)
    Hash = (Hash ^ static_cast<uint8_t>(Character)) * kPrime;
  return Hash;
}

/// The finalizer of SplitMix64, which spreads every input bit.
static uint64_t mix(uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111eb;
  return Value ^ (Value >> 31U);
}

namespace {

struct Candidate {
  uint64_t m_Score = 0;
  const HostRecord *m_Host = nullptr;
};

} // namespace

static bool sharesZone(const Candidate &Next,
                       const std::vector<Candidate> &Chosen) {
  return std::any_of(Chosen.begin(), Chosen.end(), [&](const Candidate &Other) {
    return Other.m_Host->m_Zone == Next.m_Host->m_Zone;
  });
}

std::vector<HostName> rankObservers(const DatabaseName &Database,
                                    const std::vector<HostRecord> &Ready) {
  uint64_t DatabaseHash = mix(hashOf(Database.m_Value));
  std::vector<Candidate> Candidates;
  for (const HostRecord &Host : Ready)
    Candidates.push_back(
        Candidate{mix(DatabaseHash ^ hashOf(Host.m_Name.m_Value)), &Host});
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::pair(Left.m_Score, Left.m_Host->m_Name) >
                     std::pair(Right.m_Score, Right.m_Host->m_Name);
            });
  std::vector<Candidate> Chosen;
  std::vector<Candidate> SameZone;
  for (const Candidate &Next : Candidates) {
    if (Chosen.size() == kObserverCount)
      break;
    (sharesZone(Next, Chosen) ? SameZone : Chosen).push_back(Next);
  }
  for (const Candidate &Next : SameZone)
    if (Chosen.size() < kObserverCount)
      Chosen.push_back(Next);
  std::vector<HostName> Names;
  for (const Candidate &Next : Chosen)
    Names.push_back(Next.m_Host->m_Name);
  return Names;
}

const HostRecord *OwnershipController::recordOf(const HostName &Host) const {
  if (Host == m_Host.m_Name)
    return &m_Host;
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

std::vector<HostRecord> OwnershipController::readyHosts() const {
  std::vector<HostRecord> Ready;
  for (const LiveHost &Live : m_Board.m_LiveHosts.m_Hosts)
    if (const HostRecord *Record = recordOf(Live.m_Host);
        Record != nullptr && Live.m_Ready)
      Ready.push_back(*Record);
  std::sort(Ready.begin(), Ready.end());
  return Ready;
}

bool OwnershipController::update() {
  std::vector<HostRecord> Ready = readyHosts();
  std::vector<DatabaseName> Databases;
  for (const auto &[Name, Record] : m_Board.m_Configuration.databases())
    Databases.push_back(Name);
  // A new control leader may not have heard from any host yet.
  if (Ready.empty())
    return false;
  if (Ready == m_RankedHosts && Databases == m_RankedDatabases)
    return false;
  std::map<DatabaseName, std::vector<HostName>> Observers;
  for (const DatabaseName &Database : Databases)
    Observers[Database] = rankObservers(Database, Ready);
  m_RankedHosts = std::move(Ready);
  m_RankedDatabases = std::move(Databases);
  if (Observers == m_Board.m_Observers)
    return false;
  m_Board.m_Observers = std::move(Observers);
  return true;
}

bool OwnershipController::isCandidate(const DatabaseName &Database) const {
  auto Found = m_Board.m_Observers.find(Database);
  return Found != m_Board.m_Observers.end() &&
         std::find(Found->second.begin(), Found->second.end(), m_Host.m_Name) !=
             Found->second.end();
}

} // namespace almondpier
