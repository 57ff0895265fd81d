/// \file
/// Connections of this host to database instances.
#pragma once

#include "decision/session/GroupTracker.h"

#include <unordered_map>

namespace almondpier {

/// What a connection waits for.
enum class ConnectionState : uint8_t {
  Connecting,
  Idle,
  /// Inside a transaction, between two statements.
  Pinned,
  Resetting,
  SettingVariable,
  Preparing,
  Beginning,
  /// A statement of the caller.
  Executing,
  /// Ends a transaction that nobody waits for.
  RollingBack,
};

struct InstanceConnection {
  ConnectionId m_Id;
  InstanceName m_Instance;
  DatabaseName m_Database;
  /// The connection was opened for this organisation and serves no other.
  OrganisationName m_Organisation;
  ConnectionState m_State = ConnectionState::Connecting;
  /// The session whose statement runs, if it still waits.
  std::optional<SessionId> m_Session;
  /// The statement whose answer is awaited.
  Statement m_Sent;
  Time m_SentAt;
  Time m_IdleSince;
  /// A transaction is open at the instance.
  bool m_InTransaction = false;
  /// The open transaction may write, so that the instance checks at each
  /// statement whether it leads.
  bool m_ChecksLeadership = false;
  /// Values may differ from m_Variables and are reset before the next
  /// transaction.
  bool m_NeedsReset = false;
  std::map<std::string, std::string> m_Variables;
  std::set<std::string> m_Prepared;
};

class InstanceConnectionPool {
public:
  InstanceConnectionPool(const ProxyBlackboard &Board, SessionActions &Actions)
      : m_Board(Board), m_Actions(Actions) {}

  /// Returns an idle connection, or one that it opens (step Connecting), or
  /// null when this host has no connection left for the instance. A connection
  /// whose session values are already Values is preferred.
  InstanceConnection *
  acquire(const InstanceDescription &Instance,
          const OrganisationName &Organisation,
          const std::map<std::string, std::string> &Variables, Time Now);
  /// What acquire() would do now: nothing, close a connection of another
  /// organisation and open one, open one, or return an idle one.
  enum class Availability : uint8_t { None, ReplaceIdle, OpenNew, ReuseIdle };
  Availability availability(const InstanceName &Instance,
                            const OrganisationName &Organisation) const;
  InstanceConnection *find(ConnectionId Id);
  /// Sends a statement; the connection waits for its answer as Step.
  void send(InstanceConnection &Connection, ConnectionState State,
            Statement Sent, const std::optional<Position> &MinPosition,
            Time Now);
  void release(InstanceConnection &Connection, Time Now);
  /// Closes and forgets a connection; an open transaction rolls back.
  void close(ConnectionId Id);
  void erase(ConnectionId Id);
  /// Closes idle connections to instances that left the directory or drain, and
  /// those that are above this host's share.
  void closeExcess(Time Now);
  /// Connections to one instance that this host may hold.
  size_t connectionLimit(const DatabaseName &Database) const;
  size_t busyCount(const InstanceName &Instance) const;
  size_t count() const { return m_Connections.size(); }
  uint64_t openedCount() const { return m_LastId; }
  std::unordered_map<uint64_t, InstanceConnection> &connections() {
    return m_Connections;
  }

private:
  /// Connections to the instance beyond those that this host may keep.
  size_t excessConnections(const InstanceName &Name, size_t Open) const;
  InstanceConnection &open(const InstanceDescription &Instance,
                           const OrganisationName &Organisation, Time Now);

  const ProxyBlackboard &m_Board;
  SessionActions &m_Actions;
  std::unordered_map<uint64_t, InstanceConnection> m_Connections;
  std::map<InstanceName, std::vector<uint64_t>> m_ConnectionsByInstance;
  uint64_t m_LastId = 0;
};

} // namespace almondpier
