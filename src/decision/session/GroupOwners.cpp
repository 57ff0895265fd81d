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

void GroupOwners::onConfigurationChanged(Time Now) {
  const std::map<HostName, HostRecord> &Hosts = m_Board.m_Configuration.hosts();
  if (Hosts != m_RankedHosts) {
    m_RankedHosts = Hosts;
    for (auto &[Database, Group] : m_Groups)
      Group.m_Candidates.clear();
  }
  const FleetPolicy &Policy = m_Board.m_Configuration.policy();
  std::erase_if(m_Groups, [&](const auto &Entry) {
    return !Policy.m_Groups.contains(Entry.first);
  });
  for (const auto &[Database, GroupPolicy] : Policy.m_Groups)
    m_Groups.try_emplace(Database);
  std::set<Endpoint> Used;
  for (const auto &[Database, Group] : m_Groups)
    for (const Owner &Candidate : candidatesOf(Database))
      Used.insert(Candidate.m_Endpoint);
  m_Links.retainOnly(Used, LinkUse::Forward);
  std::erase_if(m_Peers,
                [&](const auto &Entry) { return !Used.contains(Entry.first); });
  m_OwnedUpdatedAt = Time();
  tick(Now);
}

const std::vector<GroupOwners::Owner> &
GroupOwners::candidatesOf(const DatabaseName &Database) {
  Group &Group = m_Groups[Database];
  if (Group.m_Candidates.empty())
    Group.m_Candidates = rank(Database);
  return Group.m_Candidates;
}

StatementRoute GroupOwners::route(const DatabaseName &Database,
                                  bool NeedsPrimary,
                                  const std::set<HostName> &Avoided, Time Now) {
  const std::vector<Owner> &Candidates = candidatesOf(Database);
  const std::map<HostName, Time> &AvoidedUntil =
      m_Groups.at(Database).m_AvoidedUntil;
  const Owner *OnProbation = nullptr;
  for (const Owner &Candidate : Candidates) {
    auto Until = AvoidedUntil.find(Candidate.m_Name);
    bool IsCutOff =
        NeedsPrimary && Until != AvoidedUntil.end() && Now < Until->second;
    if (IsCutOff || Avoided.contains(Candidate.m_Name))
      continue;
    if (Candidate.m_Name == m_Host) {
      onStatementServed(Database, Now);
      return StatementRoute{};
    }
    switch (stateOf(Candidate, Now)) {
    case PeerState::Accepting:
      return forwardTo(Candidate);
    case PeerState::Connecting:
      return StatementRoute{StatementRoute::Kind::Wait, {}, Candidate.m_Name};
    case PeerState::OnProbation:
      if (OnProbation == nullptr)
        OnProbation = &Candidate;
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
  m_Groups[Database].m_LastServedAt = Now;
  m_Board.m_OwnedGroups.insert(Database);
}

void GroupOwners::tick(Time Now) {
  if (Now - m_OwnedUpdatedAt < kOwnedUpdateInterval)
    return;
  m_OwnedUpdatedAt = Now;
  m_Board.m_OwnedGroups.clear();
  for (const auto &[Database, Group] : m_Groups) {
    bool IsFirst = !Group.m_Candidates.empty() &&
                   Group.m_Candidates.front().m_Name == m_Host;
    bool HasServed =
        Group.m_LastServedAt && Now - *Group.m_LastServedAt < kServedRetention;
    if (IsFirst || HasServed)
      m_Board.m_OwnedGroups.insert(Database);
  }
}

} // namespace almondpier
