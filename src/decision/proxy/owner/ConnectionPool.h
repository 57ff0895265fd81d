/// \file
/// Pool of the connections from this host to one database instance.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <memory>
#include <unordered_map>

namespace almondpier {

struct PendingRequest;
struct Transaction;
struct Instance;
class DatabaseExecutor;

/// A connection to an instance. It carries one request at a time.
struct Connection {
  ConnectionId m_Id;
  DatabaseExecutor *m_Executor = nullptr;
  Instance *m_Instance = nullptr;
  /// Pool generation in which the connection was opened. A connection of an
  /// older generation is closed when it is released.
  uint32_t m_Generation = 0;
  /// The warm-up request has not been answered yet.
  bool m_IsWarmingUp = true;
  PendingRequest *m_Request = nullptr;
  /// Set while the connection is pinned by a transaction.
  Transaction *m_Transaction = nullptr;
  /// A statement is outstanding. Stays set after its request was detached, when
  /// m_Request is null.
  bool m_IsBusy = false;
  Time m_SentAt{};
};

/// All connections of this host by identifier.
using ConnectionTable =
    std::unordered_map<uint64_t, std::unique_ptr<Connection>>;

/// Request identifier of the outcome lookup that warms up a new connection.
/// Request identifiers of writes begin with the name of the organisation, which
/// is never empty, so no write has this identifier.
constexpr const char *kWarmUpRequestId = "/warm-up";

/// Opens connections before they are needed, because opening one takes 10 ms.
/// Limits the number of connections and of outstanding requests.
class ConnectionPool {
public:
  void configure(const InstanceRecord &Record);
  /// Sets whether connections may be opened. Passing false closes the idle
  /// connections, and busy ones when they are released.
  void setOpen(bool IsOpen, ConnectionTable &Table, ProxyActions &Actions);
  /// Closes idle connections now, and busy ones when they are released.
  void invalidateAll(ConnectionTable &Table, ProxyActions &Actions);

  /// Opens connections up to the target size and sends a warm-up lookup on
  /// each.
  void replenish(DatabaseExecutor &Executor, Instance &Instance,
                 ConnectionTable &Table, uint64_t &NextId,
                 ProxyActions &Actions, Time Now);

  /// Returns whether a statement can be sent immediately.
  bool hasCapacity() const { return hasSlot() && !m_IdleConnections.empty(); }
  /// Returns whether fewer than slots + 1 requests are outstanding.
  bool hasSlot() const { return m_Outstanding < m_Slots + 1; }
  /// Returns whether a transaction may pin one more connection.
  bool canPin() const { return m_Pinned < m_MaxPinned; }
  size_t outstandingCount() const { return m_Outstanding; }
  size_t slotCount() const { return m_Slots; }
  size_t openCount() const { return m_Connections.size(); }
  size_t idleCount() const { return m_IdleConnections.size(); }
  size_t pinnedCount() const { return m_Pinned; }
  size_t maxConnections() const { return m_MaxConnections; }
  /// All open connections, in no particular order.
  const std::vector<Connection *> &connections() const { return m_Connections; }

  /// Takes an idle connection. Requires hasCapacity().
  Connection &acquire();
  void onStatementSent(Connection &Connection, Time Now);
  /// Called when the outstanding statement is answered.
  void onStatementAnswered(Connection &Connection);
  void pin(Connection &Connection, Transaction &Transaction);
  /// Returns a connection to the pool. Its session state must be clean.
  void release(Connection &Connection, ConnectionTable &Table,
               ProxyActions &Actions);
  /// Removes a connection from the pool, and closes it unless AlreadyClosed is
  /// set.
  void discard(Connection &Connection, ConnectionTable &Table,
               ProxyActions &Actions, bool AlreadyClosed);
  /// Called when a connection could not be opened or was refused. Delays the
  /// next attempt.
  void onWarmUpFailed(Time Now);

private:
  size_t m_MaxConnections = 1;
  size_t m_MaxPinned = 1;
  size_t m_Slots = 1;
  bool m_IsOpen = false;
  uint32_t m_Generation = 0;
  size_t m_Pinned = 0;
  size_t m_Outstanding = 0;
  Time m_NextOpenAt{};
  std::vector<Connection *> m_IdleConnections;
  std::vector<Connection *> m_Connections;
};

} // namespace almondpier
