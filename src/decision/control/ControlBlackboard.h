/// \file
/// State shared by the controllers of a control host.
#pragma once

#include "decision/control/ControlEvents.h"
#include "decision/control/ControlState.h"

namespace almondpier {

struct ReceivedReport {
  InstanceReport m_Report;
  Time m_ReceivedAt;
};

/// What the latest heartbeats of a proxy said.
struct HostHealth {
  Time m_HeardAt;
  bool m_Ready = false;
  uint64_t m_AppliedIndex = 0;
  std::vector<ReceivedReport> m_Reports;
};

/// One finished change of primary, with the time each step took.
struct FailoverRecord {
  DatabaseName m_Database;
  uint64_t m_Term = 0;
  InstanceName m_Primary;
  std::string m_Reason;
  /// Wall-clock time of the end in milliseconds since 1970.
  uint64_t m_WallTimeMs = 0;
  /// From the last good answer of the primary to the start, as observed.
  Duration m_Detect{};
  Duration m_Begin{};
  Duration m_Seal{};
  Duration m_Promote{};
  Duration m_Publish{};
  Duration m_Total{};
};

/// Each section is written by the controller named there.
struct ControlBlackboard {
  /// Written by the core.
  ControlMember m_Self;
  /// This host leads and has applied an entry of its own term, and with it
  /// everything committed before.
  bool m_IsLeader = false;
  uint64_t m_Term = 0;
  /// When this host began to lead in m_Term.
  Time m_LeaderSince;
  /// The member believed to lead; 0 when unknown.
  MemberId m_Leader;
  Membership m_Membership;
  uint64_t m_WallTimeMs = 0;
  bool m_IsShuttingDown = false;
  /// False while the data folder cannot be written.
  bool m_IsStorageAvailable = true;
  ControlState m_State;

  /// Written by the liveness controller. The list is empty and not yet known
  /// when m_LiveHosts.m_Version is 0.
  LiveHosts m_LiveHosts;
  std::map<HostName, HostHealth> m_Health;

  /// Written by the directory controller. The list is not yet known when
  /// m_Directory.m_Version is 0.
  InstanceDirectory m_Directory;
  /// When each instance of the directory last checked in with a host that
  /// relayed it to this leader.
  std::map<InstanceName, Time> m_CheckedInAt;

  /// Written by the feed controller: the other members that apply changes of
  /// the ConfigurationExtension, as their requests to this leader show.
  std::set<MemberId> m_ExtensionMembers;

  /// Written by the core: when each member last sent a message to this one.
  std::map<MemberId, Time> m_MemberHeardAt;

  /// Written by the failover controller: the last changes of primary, and the
  /// step of each one in progress.
  std::vector<FailoverRecord> m_Failovers;
  std::map<DatabaseName, std::string> m_FailoverSteps;

  const Configuration &configuration() const { return m_State.configuration(); }
  /// Returns the member with this identifier, or null.
  const ControlMember *findMember(MemberId Id) const;
  /// Whether every member can apply changes of the ConfigurationExtension. A
  /// control host of an earlier version stops at an entry that it cannot
  /// decode.
  bool canExtendConfiguration() const;
  /// Whether every voter keeps the log on a disk. Until then a loss of power
  /// can undo what the voters agreed on.
  bool isDurable() const;
};

/// Why this host refuses operations of callers that no other host can be named
/// to.
std::string describeNoLeader(const ControlBlackboard &Board);

/// Refuses an operation because another host leads, and names that host when
/// it is known.
ReplyToOperation refusalByFollower(const ControlBlackboard &Board,
                                   OperationId Id);

/// What a controller needs to act on an event.
struct ControlContext {
  const ControlBlackboard &m_Board;
  Consensus &m_Log;
  ControlActions &m_Actions;
  Time m_Now;

  /// Appends a change by the system to the log, at the leader. A change that is
  /// too large for the log is reported and dropped.
  void proposeBySystem(const ChangeBody &Body, const std::string &Actor);
  void reportStateChange(std::string Text);
  void refuseAsFollower(OperationId Id);
};

} // namespace almondpier
