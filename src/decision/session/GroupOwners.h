/// \file
/// Chooses the host that executes the statements of each database group.
#pragma once

#include "decision/proxy/LinkTable.h"
#include "decision/session/OwnerPlacement.h"
#include "decision/session/SessionEvents.h"

namespace almondpier {

/// Where a statement is executed.
struct StatementRoute {
  enum class Kind : uint8_t {
    /// At this host.
    Local,
    /// At another host, over m_Link.
    Forward,
    /// Undecided: the link to the preferred host is being opened.
    Wait,
  };
  Kind m_Kind = Kind::Local;
  LinkId m_Link;
  HostName m_Host;
};

/// What the choice of an owner depends on beside the group.
struct OwnerQuery {
  bool m_NeedsPrimary = false;
  /// Zone of the presumed primary; empty when none is known.
  AvailabilityZone m_PrimaryZone;
};

/// Ranks the registered hosts for each group. The first that accepts statements
/// is the owner. Owners hold nearly all connections to the instances of the
/// group, so that few hosts share a small number of connections. Ownership is
/// not exclusive: hosts that cannot reach the owner use another candidate or
/// their own small share of the connections, and no guarantee depends on it.
///
/// Where hosts publish their capacity, a group has one owner in each zone:
/// reads go to the owner in the zone of the caller's host, statements that need
/// the primary to the owner in the zone of the primary. Without capacities a
/// group has a single owner, which is chosen by names alone.
class GroupOwners {
public:
  GroupOwners(const HostName &Host, ProxyBlackboard &Board, LinkTable &Links)
      : m_Host(Host), m_Board(Board), m_Links(Links) {}

  /// Chooses the host for a new statement and opens the link to it. Hosts in
  /// Avoided already failed to execute the statement.
  StatementRoute route(const DatabaseName &Database, const OwnerQuery &Query,
                       const std::set<HostName> &Avoided, Time Now);
  /// A candidate, or this host, cannot reach the primary of the group.
  void onPrimaryUnreachable(const DatabaseName &Database, const HostName &Host,
                            Time Now);
  const HostName &self() const { return m_Host; }
  void onLinkLost(LinkId Link, Time Now);
  void onOwnerStatus(LinkId Link, const OwnerStatus &Status, Time Now);
  /// This host acts as the owner of the group.
  void onStatementServed(const DatabaseName &Database, Time Now);
  /// The configuration or the directory changed.
  void onConfigurationChanged(Time Now);
  /// Updates the groups that this host owns.
  void tick(Time Now);

private:
  struct Owner {
    HostName m_Name;
    Endpoint m_Endpoint;
  };
  struct Group {
    /// Candidates by names alone; unused where the hosts publish capacities.
    std::vector<Owner> m_Candidates;
    std::map<AvailabilityZone, std::vector<Owner>> m_ZoneCandidates;
    /// Zones with an instance that may receive statements.
    std::vector<AvailabilityZone> m_InstanceZones;
    /// Hosts that could not reach the primary. Until the given time they get no
    /// statements that need it.
    std::map<HostName, Time> m_AvoidedUntil;
    std::optional<Time> m_LastServedAt;
  };
  /// State of the link to a candidate.
  struct Peer {
    std::optional<LinkId> m_Link;
    Time m_WaitingSince;
    bool m_AcceptsStatements = false;
    /// A candidate whose link was lost is used again after this time, unless
    /// there is no other.
    Time m_ProbationUntil;
    Duration m_Probation{};
    Time m_LostAt;
  };

  enum class PeerState : uint8_t {
    Connecting,
    Accepting,
    /// Accepts statements, but its link was lost a short time ago.
    OnProbation,
    Unavailable
  };

  StatementRoute forwardTo(const Owner &Candidate) const;
  /// Opens the link to the candidate when there is none.
  PeerState stateOf(const Owner &Candidate, Time Now);
  /// Candidates for a statement, in order of preference.
  std::vector<const Owner *> candidatesOf(const DatabaseName &Database,
                                          const OwnerQuery &Query) const;
  /// Zone whose owner executes the reads of this host's callers.
  AvailabilityZone readZoneOf(const DatabaseName &Database,
                              const Group &Group) const;
  std::vector<Owner> rank(const DatabaseName &Database) const;
  void rankAll();
  /// Ranks again after a change, at most once a second.
  void rankIfDue(Time Now);
  void updateInstanceZones();
  /// Closes the links to hosts that are no candidate of any group.
  void releaseUnusedLinks();
  void markOwned(const DatabaseName &Database, const Group &Group,
                 bool HasServed);

  HostName m_Host;
  ProxyBlackboard &m_Board;
  LinkTable &m_Links;
  /// Input of the last ranking, which is costly for many groups.
  std::map<HostName, HostRecord> m_RankedHosts;
  std::map<HostName, HostCapacity> m_RankedCapacities;
  std::vector<DatabaseName> m_RankedGroups;
  bool m_IsRankingDue = false;
  Time m_RankedAt;
  std::optional<Time> m_ReleaseLinksAt;
  std::map<DatabaseName, Group> m_Groups;
  std::map<Endpoint, Peer> m_Peers;
  Time m_OwnedUpdatedAt;
};

} // namespace almondpier
