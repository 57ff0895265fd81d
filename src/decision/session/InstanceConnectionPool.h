/// \file
/// Pool of the connections of this host to database instances.
#pragma once

#include "decision/session/GroupTracker.h"
#include "decision/session/ReplyCheck.h"

#include <deque>
#include <unordered_map>

namespace almondpier {

/// Content of a prepared statement, without its name.
struct PreparedStatement {
  bool m_IsWrite = false;
  std::string m_Template;

  friend auto operator<=>(const PreparedStatement &,
                          const PreparedStatement &) = default;
};

/// A rejection that may answer an earlier statement, until it is confirmed.
struct UnconfirmedRejection {
  StatementReply m_Reply;
  /// State of the connection when it arrived.
  ConnectionState m_State = ConnectionState::Executing;
  /// The statement that it seems to answer.
  Statement m_Statement;
  Time m_SentAt;
  bool m_InTransaction = false;
  /// Statements whose replies confirm it, without the one that was sent last.
  std::deque<StatementKind> m_Left;
};

struct InstanceConnection {
  ConnectionId m_Id;
  InstanceName m_Instance;
  DatabaseName m_Database;
  /// The connection was opened for this organisation and is not used for any
  /// other.
  OrganisationName m_Organisation;
  ConnectionState m_State = ConnectionState::Connecting;
  /// The session that uses the connection; empty when none does, or when it no
  /// longer waits for the reply.
  std::optional<SessionId> m_Session;
  /// The last statement that was sent.
  Statement m_Sent;
  Time m_SentAt;
  Time m_IdleSince;
  /// A transaction is open on the connection.
  bool m_InTransaction = false;
  /// The open transaction may write, so the instance checks at each statement
  /// that it is the primary.
  bool m_ChecksLeadership = false;
  /// The variables at the instance may differ from m_Variables and must be
  /// reset before the next transaction.
  bool m_NeedsReset = false;
  std::map<std::string, std::string> m_Variables;
  /// Names of the statements that are prepared on the connection. Sessions that
  /// use different names for one statement, or one name for different
  /// statements, can share connections.
  std::map<PreparedStatement, std::string> m_Prepared;
  /// Number of names given on the connection. No name is used twice.
  uint64_t m_PreparedNames = 0;
  ReplyHistory m_Replies;
  /// The last reply could only answer its own statement.
  bool m_IsInSync = true;
  std::optional<UnconfirmedRejection> m_Unconfirmed;
  /// The instance sent a reply that no statement explains. The connection is
  /// closed instead of being used again.
  bool m_IsRetiring = false;
  /// A reply arrived that cannot answer the proxy's own statement that was sent
  /// last. If the instance meant it as the answer, no other one comes.
  bool m_HasForeignReply = false;
};

class InstanceConnectionPool {
public:
  InstanceConnectionPool(const ProxyBlackboard &Board, SessionActions &Actions)
      : m_Board(Board), m_Actions(Actions) {}

  /// Returns an idle connection, a newly opened one (state Connecting), or null
  /// when the connection limit of the instance is reached and none is idle. An
  /// idle connection whose session variables equal Variables is preferred.
  InstanceConnection *
  acquire(const InstanceDescription &Instance,
          const OrganisationName &Organisation,
          const std::map<std::string, std::string> &Variables, Time Now);
  /// What acquire() would do: fail, replace an idle connection of another
  /// organisation, open a new connection, or reuse an idle one.
  enum class Availability : uint8_t { None, ReplaceIdle, OpenNew, ReuseIdle };
  Availability availability(const InstanceDescription &Instance,
                            const OrganisationName &Organisation,
                            Time Now) const;
  /// The instance rejected a connection, now closed, as too many. Until it has
  /// been given some time, idle connections are replaced instead of adding to
  /// them.
  void onOverLimit(const InstanceName &Instance, Time Now);
  InstanceConnection *find(ConnectionId Id);
  /// Sends a statement; the connection is in State until the reply arrives.
  void send(InstanceConnection &Connection, ConnectionState State,
            Statement Sent, const std::optional<Position> &MinPosition,
            Time Now);
  /// Makes the connection available to other statements, or closes it when it
  /// is retiring.
  void release(InstanceConnection &Connection, Time Now);
  /// Closes and removes a connection; the instance rolls back its open
  /// transaction.
  void close(ConnectionId Id);
  void erase(ConnectionId Id);
  /// Closes idle connections to instances that left the directory or are
  /// draining, those of groups that another host owns, and those above the
  /// connection limit of this host.
  void closeExcess(Time Now);
  /// Returns how many connections this host may hold to the instance. With more
  /// hosts than connections, instances reject some of those that hosts open
  /// while they reach no owner.
  size_t connectionLimit(const InstanceDescription &Instance) const;
  size_t busyCount(const InstanceName &Instance) const;
  size_t count() const { return m_Connections.size(); }
  uint64_t openedCount() const { return m_LastId; }
  std::unordered_map<uint64_t, InstanceConnection> &connections() {
    return m_Connections;
  }

private:
  /// Returns how many connections this host may hold to the instance now.
  size_t openLimit(const InstanceDescription &Instance, Time Now) const;
  /// Returns how many of the Open connections to an instance exceed the number
  /// that this host may keep.
  size_t excessConnections(const InstanceName &Name, size_t Open) const;
  InstanceConnection &open(const InstanceDescription &Instance,
                           const OrganisationName &Organisation, Time Now);

  /// Connections that an instance admitted when it rejected another one.
  struct LearnedLimit {
    size_t m_Connections = 0;
    Time m_Until;
  };

  const ProxyBlackboard &m_Board;
  SessionActions &m_Actions;
  std::map<InstanceName, LearnedLimit> m_LearnedLimits;
  std::unordered_map<uint64_t, InstanceConnection> m_Connections;
  std::map<InstanceName, std::vector<uint64_t>> m_ConnectionsByInstance;
  uint64_t m_LastId = 0;
};

} // namespace almondpier
