/// \file
/// Events and actions of the proxy core, and the blackboard that its
/// controllers share.
#pragma once

#include "almondpier/Messages.h"
#include "decision/Counter.h"

namespace almondpier {

/// Identifies a caller's request inside one proxy; chosen by the driver.
struct CallerRequestId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const CallerRequestId &,
                          const CallerRequestId &) = default;
};
/// Identifies a link to another process. The core chooses odd numbers for links
/// it opens, the driver even numbers for links it accepts.
struct LinkId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const LinkId &, const LinkId &) = default;
};
/// Identifies a connection to a database instance; chosen by the core, never
/// reused.
struct ConnectionId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const ConnectionId &, const ConnectionId &) = default;
};
/// Identifies a status request to a database instance; chosen by the core,
/// never reused.
struct ProbeId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const ProbeId &, const ProbeId &) = default;
};

// Events.

/// A request as it came from a caller. The driver has parsed the route and
/// hashed the key.
struct CallerRequest {
  CallerRequestId m_Id;
  RequestKind m_Kind = RequestKind::Read;
  std::optional<KeyDigest> m_Key;
  DatabaseName m_Database;
  std::string m_Statement;
  /// As the caller sent it; empty when there was none.
  std::string m_SessionToken;
  std::string m_IdempotencyKey;
  std::optional<uint32_t> m_MaxAgeMs;
  uint32_t m_TimeoutMs = 5'000;
  /// Transaction token of the route.
  std::string m_Transaction;
};
/// The caller closed its connection before the reply.
struct CallerDisconnected {
  CallerRequestId m_Id;
};
struct LinkOpened {
  LinkId m_Link;
};
struct LinkClosed {
  LinkId m_Link;
  std::string m_Reason;
};
struct MessageReceived {
  LinkId m_Link;
  Message m_Message;
};
/// What an instance answered to a statement.
struct InstanceAnswer {
  int m_HttpStatus = 0;
  Position m_Position;
  std::string m_Body;
  /// From the Ran header of a refusal.
  bool m_Ran = false;
  bool m_IdempotencyMismatch = false;
};
/// Why there is no answer.
struct InstanceFailure {
  std::string m_Reason;
  bool m_NothingSent = false;
};
struct InstanceAnswered {
  ConnectionId m_Connection;
  std::variant<InstanceAnswer, InstanceFailure> m_Result;
};
/// An idle connection was closed by the instance.
struct ConnectionClosed {
  ConnectionId m_Connection;
};
struct InstanceStatus {
  InstanceName m_Instance;
  Position m_Position;
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;
};
/// m_Status is empty if the instance did not answer.
struct ProbeAnswered {
  ProbeId m_Probe;
  std::optional<InstanceStatus> m_Status;
};
/// Sent every 5 ms.
struct Tick {};
struct ShutdownRequested {};

using ProxyEvent =
    std::variant<CallerRequest, CallerDisconnected, LinkOpened, LinkClosed,
                 MessageReceived, InstanceAnswered, ConnectionClosed,
                 ProbeAnswered, Tick, ShutdownRequested>;

// Actions.

struct ReplyToCaller {
  CallerRequestId m_Id;
  std::optional<ErrorReport> m_Error;
  std::string m_Body;
  /// Token for the Session-Token header.
  std::string m_SessionToken;
  /// Token of a transaction that was begun.
  std::string m_Transaction;
  bool m_ServedByReplica = false;
  InstanceName m_Instance;
};
struct OpenLink {
  LinkId m_Link;
  Endpoint m_Peer;
};
struct CloseLink {
  LinkId m_Link;
};
struct SendMessage {
  LinkId m_Link;
  Message m_Message;
};
struct SendDatagram {
  Endpoint m_Peer;
  Message m_Message;
};
struct OpenConnection {
  ConnectionId m_Connection;
  Endpoint m_Instance;
};
struct SendStatement {
  ConnectionId m_Connection;
  RequestKind m_Kind = RequestKind::Read;
  /// Term in which the instance must be primary; 0 when any instance may
  /// answer.
  uint64_t m_Term = 0;
  std::string m_RequestId;
  /// Digest of the statement, set with m_RequestId.
  std::string m_StatementDigest;
  std::string m_Statement;
};
struct CloseConnection {
  ConnectionId m_Connection;
};
/// Requests the status of an instance. With m_WaitFor, the instance may delay
/// its answer until it has reached that position.
struct ProbeInstance {
  ProbeId m_Probe;
  Endpoint m_Platform;
  std::optional<Position> m_WaitFor;
  uint32_t m_TimeoutMs = 300;
};
/// A change of state worth a log line.
struct ReportStateChange {
  std::string m_Text;
};
/// All work is done; the process can end.
struct ShutdownComplete {};

using ProxyAction =
    std::variant<ReplyToCaller, OpenLink, CloseLink, SendMessage, SendDatagram,
                 OpenConnection, SendStatement, CloseConnection, ProbeInstance,
                 ReportStateChange, ShutdownComplete>;
using ProxyActions = std::vector<ProxyAction>;

/// State shared by the controllers of a proxy. Each section is written by the
/// controller named there.
struct ProxyBlackboard {
  /// Written by the core: where this host is.
  AvailabilityZone m_Zone;

  /// Written by the configuration controller.
  Configuration m_Configuration;
  uint64_t m_AppliedIndex = 0;
  /// The configuration held everything accepted before this moment; nothing
  /// when never proved.
  std::optional<Time> m_FreshAt;
  LiveHosts m_LiveHosts;
  InstanceDirectory m_Directory;

  /// Written by the ownership controller: the first three ranked hosts of each
  /// database, the owner first.
  std::map<DatabaseName, std::vector<HostName>> m_Observers;

  /// Written by GroupOwners: the groups whose statements other hosts forward to
  /// this one.
  std::set<DatabaseName> m_OwnedGroups;
  /// Written by GroupOwners: the zones whose instances of a group are used
  /// mostly by this host. An empty zone stands for all zones.
  std::set<std::pair<DatabaseName, AvailabilityZone>> m_OwnedZones;

  /// Returns whether this host uses the instance more than any other host does.
  bool isMainUserOf(const InstanceDescription &Instance) const {
    return m_OwnedZones.contains({Instance.m_Database, Instance.m_Zone}) ||
           m_OwnedZones.contains({Instance.m_Database, AvailabilityZone()});
  }

  /// Written by the group controllers: reports for the next heartbeat.
  std::vector<InstanceReport> m_Reports;

  /// Written by the shutdown controller.
  bool m_IsShuttingDown = false;
};

/// How long a configuration is used after the moment at which it was proved
/// fresh.
constexpr Duration kFreshnessLimit = std::chrono::milliseconds(1'500);

inline bool isFresh(const ProxyBlackboard &Board, Time Now) {
  return Board.m_FreshAt && Now - *Board.m_FreshAt <= kFreshnessLimit;
}

} // namespace almondpier
