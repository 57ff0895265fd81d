#include "decision/session/GroupOwners.h"

#include "decision/HostRanking.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// A candidate whose link is not up after this time is skipped. Opening a link
/// takes two round trips, so a candidate that runs is seldom skipped, and the
/// statement still has most of its time.
constexpr Duration kLinkWait = milliseconds(60);
/// A candidate that could not reach the primary of a group gets no statements
/// that need it for this time.
constexpr Duration kUnreachableAvoidance = milliseconds(1'000);
/// A host that is not the first candidate keeps the connections of an owner for
/// this time after the last statement that was forwarded to it.
constexpr Duration kServedRetention = milliseconds(1'000);
/// A host that freezes and wakes repeatedly costs its callers a timeout each
/// time, so the wait before it is used again doubles with each loss.
constexpr Duration kMinProbation = milliseconds(1'000);
constexpr Duration kMaxProbation = milliseconds(16'000);
/// A loss this long after the one before counts as the first.
constexpr Duration kProbationMemory = 2 * kMaxProbation;
constexpr Duration kOwnedUpdateInterval = milliseconds(100);
/// Capacities are recorded one by one when a fleet starts.
constexpr Duration kRankInterval = milliseconds(1'000);
/// Links to former candidates are kept for this time, which exceeds that of a
/// statement and of most transactions.
constexpr Duration kUnusedLinkRetention = milliseconds(30'000);
/// With fewer connections to an instance, owners in several zones would exceed
/// the limit, so the group has a single owner.
constexpr uint32_t kMinConnectionsForZoneOwners = 16;

} // namespace

std::vector<GroupOwners::Owner>
GroupOwners::rank(const DatabaseName &Database) const {
  std::vector<RankedHost> Hosts;
  Hosts.reserve(m_RankedHosts.size());
  for (const auto &[Name, Record] : m_RankedHosts)
    Hosts.push_back(RankedHost{Name, Record.m_Zone});
  std::vector<Owner> Result;
  for (const HostName &Name : rankHosts(Database, Hosts, kOwnerCandidates))
    Result.push_back(Owner{Name, m_RankedHosts.at(Name).m_ForwardEndpoint});
  return Result;
}

void GroupOwners::rankAll() {
  std::vector<PlacementHost> Hosts;
  for (const auto &[Name, Record] : m_RankedHosts) {
    auto Capacity = m_RankedCapacities.find(Name);
    Hosts.push_back(PlacementHost{Name, Record.m_Zone,
                                  Capacity == m_RankedCapacities.end()
                                      ? HostCapacity()
                                      : Capacity->second});
  }
  std::map<DatabaseName, ZoneCandidates> Placed;
  if (!m_RankedCapacities.empty())
    Placed = placeOwners(m_RankedGroups, Hosts);
  for (auto &[Database, Group] : m_Groups) {
    Group.m_Candidates.clear();
    Group.m_ZoneCandidates.clear();
    auto Found = Placed.find(Database);
    bool HasZoneOwners =
        Found != Placed.end() &&
        m_Board.m_Configuration.policy()
                .m_Groups.at(Database)
                .m_ConnectionLimit >= kMinConnectionsForZoneOwners;
    if (!HasZoneOwners) {
      Group.m_Candidates = rank(Database);
      continue;
    }
    for (const auto &[Zone, Names] : Found->second)
      for (const HostName &Name : Names)
        Group.m_ZoneCandidates[Zone].push_back(
            Owner{Name, m_RankedHosts.at(Name).m_ForwardEndpoint});
  }
}

void GroupOwners::updateInstanceZones() {
  for (auto &[Database, Group] : m_Groups)
    Group.m_InstanceZones.clear();
  for (const InstanceDescription &Instance : m_Board.m_Directory.m_Instances) {
    auto Group = m_Groups.find(Instance.m_Database);
    if (Group == m_Groups.end() || Instance.m_State != InstanceState::Ready ||
        m_Board.m_Configuration.isEvacuated(Instance.m_Zone))
      continue;
    std::vector<AvailabilityZone> &Zones = Group->second.m_InstanceZones;
    auto Position =
        std::lower_bound(Zones.begin(), Zones.end(), Instance.m_Zone);
    if (Position == Zones.end() || *Position != Instance.m_Zone)
      Zones.insert(Position, Instance.m_Zone);
  }
}

void GroupOwners::onConfigurationChanged(Time Now) {
  const Configuration &InForce = m_Board.m_Configuration;
  const FleetPolicy &Policy = InForce.policy();
  std::vector<DatabaseName> Groups;
  for (const auto &[Database, GroupPolicy] : Policy.m_Groups)
    Groups.push_back(Database);
  std::erase_if(m_Groups, [&](const auto &Entry) {
    return !Policy.m_Groups.contains(Entry.first);
  });
  for (const DatabaseName &Database : Groups)
    m_Groups.try_emplace(Database);
  bool HasNewGroups = Groups != m_RankedGroups;
  m_RankedGroups = std::move(Groups);
  m_IsRankingDue = m_IsRankingDue || HasNewGroups ||
                   InForce.hosts() != m_RankedHosts ||
                   InForce.hostCapacities() != m_RankedCapacities;
  if (HasNewGroups)
    m_RankedAt = Time();
  updateInstanceZones();
  m_OwnedUpdatedAt = Time();
  tick(Now);
}

void GroupOwners::releaseUnusedLinks() {
  std::set<Endpoint> Used;
  for (const auto &[Database, Group] : m_Groups) {
    for (const Owner &Candidate : Group.m_Candidates)
      Used.insert(Candidate.m_Endpoint);
    for (const auto &[Zone, Candidates] : Group.m_ZoneCandidates)
      for (const Owner &Candidate : Candidates)
        Used.insert(Candidate.m_Endpoint);
  }
  m_Links.retainOnly(Used, LinkUse::Forward);
  std::erase_if(m_Peers,
                [&](const auto &Entry) { return !Used.contains(Entry.first); });
}

AvailabilityZone GroupOwners::readZoneOf(const DatabaseName &Database,
                                         const Group &Group) const {
  const std::vector<AvailabilityZone> &Zones = Group.m_InstanceZones;
  if (Zones.empty() ||
      std::binary_search(Zones.begin(), Zones.end(), m_Board.m_Zone))
    return m_Board.m_Zone;
  // The hosts of a zone without an instance of the group use one owner.
  uint64_t Hash = rendezvousHash(hashOfName(Database.m_Value),
                                 hashOfName(m_Board.m_Zone.m_Value));
  return Zones[Hash % Zones.size()];
}

std::vector<const GroupOwners::Owner *>
GroupOwners::candidatesOf(const DatabaseName &Database,
                          const OwnerQuery &Query) const {
  std::vector<const Owner *> Result;
  auto Found = m_Groups.find(Database);
  if (Found == m_Groups.end())
    return Result;
  const Group &Group = Found->second;
  for (const Owner &Candidate : Group.m_Candidates)
    Result.push_back(&Candidate);
  if (Group.m_ZoneCandidates.empty())
    return Result;
  AvailabilityZone Preferred =
      Query.m_NeedsPrimary ? Query.m_PrimaryZone : readZoneOf(Database, Group);
  auto Add = [&](const AvailabilityZone &Zone, size_t Count) {
    auto Candidates = Group.m_ZoneCandidates.find(Zone);
    if (Candidates == Group.m_ZoneCandidates.end())
      return;
    for (const Owner &Candidate : Candidates->second)
      if (Count-- > 0)
        Result.push_back(&Candidate);
  };
  Add(Preferred, kOwnerCandidates);
  if (Preferred != m_Board.m_Zone)
    Add(m_Board.m_Zone, kOwnerCandidates);
  for (const AvailabilityZone &Zone : Group.m_InstanceZones)
    if (Zone != Preferred && Zone != m_Board.m_Zone)
      Add(Zone, 1);
  return Result;
}

StatementRoute GroupOwners::route(const DatabaseName &Database,
                                  const OwnerQuery &Query,
                                  const std::set<HostName> &Avoided, Time Now) {
  const std::map<HostName, Time> &AvoidedUntil =
      m_Groups[Database].m_AvoidedUntil;
  const Owner *OnProbation = nullptr;
  for (const Owner *Candidate : candidatesOf(Database, Query)) {
    auto Until = AvoidedUntil.find(Candidate->m_Name);
    bool IsCutOff = Query.m_NeedsPrimary && Until != AvoidedUntil.end() &&
                    Now < Until->second;
    if (IsCutOff || Avoided.contains(Candidate->m_Name))
      continue;
    if (Candidate->m_Name == m_Host) {
      onStatementServed(Database, Now);
      return StatementRoute{};
    }
    switch (stateOf(*Candidate, Now)) {
    case PeerState::Accepting:
      return forwardTo(*Candidate);
    case PeerState::Connecting:
      return StatementRoute{StatementRoute::Kind::Wait, {}, Candidate->m_Name};
    case PeerState::OnProbation:
      if (OnProbation == nullptr)
        OnProbation = Candidate;
      break;
    case PeerState::Unavailable:
      break;
    }
  }
  return OnProbation != nullptr ? forwardTo(*OnProbation) : StatementRoute{};
}

StatementRoute GroupOwners::forwardTo(const Owner &Candidate) const {
  return StatementRoute{StatementRoute::Kind::Forward,
                        *m_Peers.at(Candidate.m_Endpoint).m_Link,
                        Candidate.m_Name};
}

GroupOwners::PeerState GroupOwners::stateOf(const Owner &Candidate, Time Now) {
  auto [Entry, IsNew] = m_Peers.try_emplace(Candidate.m_Endpoint);
  Peer &Peer = Entry->second;
  if (IsNew) {
    Peer.m_WaitingSince = Now;
    m_Links.acquire(Candidate.m_Endpoint, LinkUse::Forward, Now);
  }
  std::optional<LinkId> Link = m_Links.linkTo(Candidate.m_Endpoint);
  if (Link && Peer.m_Link == Link) {
    if (!Peer.m_AcceptsStatements)
      return PeerState::Unavailable;
    return Now < Peer.m_ProbationUntil ? PeerState::OnProbation
                                       : PeerState::Accepting;
  }
  bool IsWaiting = m_Links.stateOf(Candidate.m_Endpoint) != LinkState::Down &&
                   Now - Peer.m_WaitingSince < kLinkWait;
  return IsWaiting ? PeerState::Connecting : PeerState::Unavailable;
}

void GroupOwners::onPrimaryUnreachable(const DatabaseName &Database,
                                       const HostName &Host, Time Now) {
  m_Groups[Database].m_AvoidedUntil[Host] = Now + kUnreachableAvoidance;
}

void GroupOwners::onLinkLost(LinkId Link, Time Now) {
  for (auto &[Endpoint, Peer] : m_Peers) {
    if (Peer.m_Link != Link)
      continue;
    Peer.m_Link.reset();
    if (Now - Peer.m_LostAt >= kProbationMemory)
      Peer.m_Probation = Duration::zero();
    Peer.m_LostAt = Now;
    Peer.m_Probation =
        std::clamp(2 * Peer.m_Probation, kMinProbation, kMaxProbation);
  }
}

void GroupOwners::onOwnerStatus(LinkId Link, const OwnerStatus &Status,
                                Time Now) {
  for (auto &[Endpoint, Peer] : m_Peers) {
    if (m_Links.linkTo(Endpoint) != Link)
      continue;
    if (Peer.m_Link != Link)
      Peer.m_ProbationUntil = Now + Peer.m_Probation;
    Peer.m_Link = Link;
    Peer.m_AcceptsStatements = Status.m_AcceptsStatements;
  }
}

void GroupOwners::onStatementServed(const DatabaseName &Database, Time Now) {
  Group &Served = m_Groups[Database];
  Served.m_LastServedAt = Now;
  markOwned(Database, Served, true);
}

void GroupOwners::markOwned(const DatabaseName &Database, const Group &Group,
                            bool HasServed) {
  auto IsChosen = [&](const std::vector<Owner> &Candidates) {
    auto Found = std::find_if(
        Candidates.begin(), Candidates.end(),
        [&](const Owner &Candidate) { return Candidate.m_Name == m_Host; });
    return Found != Candidates.end() &&
           (HasServed || Found == Candidates.begin());
  };
  bool IsOwner = HasServed || IsChosen(Group.m_Candidates);
  if (IsOwner && Group.m_ZoneCandidates.empty())
    m_Board.m_OwnedZones.emplace(Database, AvailabilityZone());
  for (const auto &[Zone, Candidates] : Group.m_ZoneCandidates) {
    if (!IsChosen(Candidates))
      continue;
    IsOwner = true;
    m_Board.m_OwnedZones.emplace(Database, Zone);
  }
  if (IsOwner)
    m_Board.m_OwnedGroups.insert(Database);
}

void GroupOwners::rankIfDue(Time Now) {
  if (m_ReleaseLinksAt && Now >= *m_ReleaseLinksAt) {
    m_ReleaseLinksAt.reset();
    releaseUnusedLinks();
  }
  if (!m_IsRankingDue || Now - m_RankedAt < kRankInterval)
    return;
  m_IsRankingDue = false;
  m_RankedAt = Now;
  m_RankedHosts = m_Board.m_Configuration.hosts();
  m_RankedCapacities = m_Board.m_Configuration.hostCapacities();
  rankAll();
  m_ReleaseLinksAt = Now + kUnusedLinkRetention;
}

void GroupOwners::tick(Time Now) {
  rankIfDue(Now);
  if (Now - m_OwnedUpdatedAt < kOwnedUpdateInterval)
    return;
  m_OwnedUpdatedAt = Now;
  m_Board.m_OwnedGroups.clear();
  m_Board.m_OwnedZones.clear();
  for (const auto &[Database, Group] : m_Groups)
    markOwned(Database, Group,
              Group.m_LastServedAt &&
                  Now - *Group.m_LastServedAt < kServedRetention);
}

} // namespace almondpier
