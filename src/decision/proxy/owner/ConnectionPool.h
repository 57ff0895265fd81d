/// \file
/// Connections of this host to one instance.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <memory>
#include <unordered_map>

namespace almondpier {

struct PendingRequest;
struct Transaction;
struct Instance;
class DatabaseExecutor;

/// A connection to an instance. Carries one request at a time.
struct Connection {
  ConnectionId m_Id;
  DatabaseExecutor *m_Executor = nullptr;
  Instance *m_Instance = nullptr;
  /// Pool generation in which it was opened; older ones are closed on return.
  uint32_t m_Generation = 0;
  /// The first request has not been answered yet.
  bool m_IsWarmingUp = true;
  PendingRequest *m_Request = nullptr;
  /// Set while the connection is pinned.
  Transaction *m_Transaction = nullptr;
  /// A statement whose answer is outstanding, also when m_Request is gone.
  bool m_IsBusy = false;
  Time m_SentAt{};
};

/// All connections of this host, found by identifier.
using ConnectionTable =
    std::unordered_map<uint64_t, std::unique_ptr<Connection>>;

/// Request identifier of the lookup that a new connection begins with. No
/// organisation has an empty name, so no write has this identifier.
constexpr const char *kWarmUpRequestId = "/warm-up";

/// Keeps connections ready, because opening one takes 10 ms, and bounds their
/// number and the requests outstanding on them.
class ConnectionPool {
public:
  void configure(const InstanceRecord &Record);
  /// Whether connections may be opened; false closes the idle ones.
  void setOpen(bool IsOpen, ConnectionTable &Table, ProxyActions &Actions);
  /// Closes idle connections, and the others when they return.
  void invalidateAll(ConnectionTable &Table, ProxyActions &Actions);

  /// Opens connections ahead of need and warms them with a lookup.
  void replenish(DatabaseExecutor &Executor, Instance &Instance,
                 ConnectionTable &Table, uint64_t &NextId,
                 ProxyActions &Actions, Time Now);

  /// Whether a statement can be sent at once.
  bool hasCapacity() const { return hasSlot() && !m_IdleConnections.empty(); }
  /// Whether fewer than slots + 1 requests are outstanding.
  bool hasSlot() const { return m_Outstanding < m_Slots + 1; }
  /// Whether one more connection may be pinned by a transaction.
  bool canPin() const { return m_Pinned < m_MaxPinned; }
  size_t outstandingCount() const { return m_Outstanding; }
  size_t slotCount() const { return m_Slots; }
  size_t openCount() const { return m_Connections.size(); }
  size_t idleCount() const { return m_IdleConnections.size(); }
  size_t pinnedCount() const { return m_Pinned; }
  size_t maxConnections() const { return m_MaxConnections; }
  /// All connections, in no order.
  const std::vector<Connection *> &connections() const { return m_Connections; }

  /// Takes an idle connection; hasCapacity() holds.
  Connection &acquire();
  void onStatementSent(Connection &Connection, Time Now);
  /// The answer to the outstanding statement arrived.
  void onStatementAnswered(Connection &Connection);
  void pin(Connection &Connection, Transaction &Transaction);
  /// Takes back a connection whose state is known to be clean.
  void release(Connection &Connection, ConnectionTable &Table,
               ProxyActions &Actions);
  /// Forgets a connection, and closes it when the instance has not done so.
  void discard(Connection &Connection, ConnectionTable &Table,
               ProxyActions &Actions, bool AlreadyClosed);
  /// Opening failed or was refused; waits before the next attempt.
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
