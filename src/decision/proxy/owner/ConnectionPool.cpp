#include "decision/proxy/owner/ConnectionPool.h"

#include "decision/Invariant.h"
#include "decision/proxy/owner/Instance.h"

#include <algorithm>

namespace almondpier {

void ConnectionPool::configure(const InstanceRecord &Record) {
  // Two hosts may act as owner at the same time, so each uses at most 40% of
  // the connection limit.
  constexpr size_t kSharePercent = 40;
  constexpr size_t kPercent = 100;
  m_Slots = std::max<size_t>(1, Record.m_Slots);
  m_MaxConnections =
      std::max<size_t>(1, Record.m_ConnectionLimit * kSharePercent / kPercent);
  size_t Reserved = std::min(m_Slots + 1, m_MaxConnections / 2);
  m_MaxPinned = std::max<size_t>(1, m_MaxConnections - Reserved);
}

void ConnectionPool::setOpen(bool IsOpen, ConnectionTable &Table,
                             ProxyActions &Actions) {
  if (m_IsOpen && !IsOpen)
    invalidateAll(Table, Actions);
  m_IsOpen = IsOpen;
}

void ConnectionPool::invalidateAll(ConnectionTable &Table,
                                   ProxyActions &Actions) {
  ++m_Generation;
  std::vector<Connection *> Idle;
  Idle.swap(m_IdleConnections);
  for (Connection *Connection : Idle)
    discard(*Connection, Table, Actions, false);
}

void ConnectionPool::replenish(DatabaseExecutor &Executor, Instance &Instance,
                               ConnectionTable &Table, uint64_t &NextId,
                               ProxyActions &Actions, Time Now) {
  if (!m_IsOpen || Now < m_NextOpenAt)
    return;
  size_t Wanted = std::min(m_MaxConnections, m_Pinned + m_Slots + 1);
  while (m_Connections.size() < Wanted) {
    std::unique_ptr<Connection> New = std::make_unique<Connection>();
    New->m_Id = ConnectionId{NextId++};
    New->m_Executor = &Executor;
    New->m_Instance = &Instance;
    New->m_Generation = m_Generation;
    New->m_SentAt = Now;
    Actions.emplace_back(
        OpenConnection{New->m_Id, Instance.m_Record.m_StatementEndpoint});
    SendStatement WarmUp;
    WarmUp.m_Connection = New->m_Id;
    WarmUp.m_Kind = RequestKind::Outcome;
    WarmUp.m_RequestId = kWarmUpRequestId;
    Actions.emplace_back(std::move(WarmUp));
    m_Connections.push_back(New.get());
    uint64_t Id = New->m_Id.m_Value;
    Table.emplace(Id, std::move(New));
  }
}

Connection &ConnectionPool::acquire() {
  Connection &Taken = *m_IdleConnections.back();
  m_IdleConnections.pop_back();
  requireInvariant(
      !Taken.m_IsBusy && Taken.m_Request == nullptr &&
          Taken.m_Transaction == nullptr,
      "R8", "an idle connection is assigned to a request or a transaction");
  return Taken;
}

void ConnectionPool::onStatementSent(Connection &Connection, Time Now) {
  requireInvariant(!Connection.m_IsBusy, "R8",
                   "a second statement is sent on a busy connection");
  Connection.m_IsBusy = true;
  Connection.m_SentAt = Now;
  ++m_Outstanding;
}

void ConnectionPool::onStatementAnswered(Connection &Connection) {
  if (!Connection.m_IsBusy)
    return;
  Connection.m_IsBusy = false;
  --m_Outstanding;
}

void ConnectionPool::pin(Connection &Connection, Transaction &Transaction) {
  Connection.m_Transaction = &Transaction;
  ++m_Pinned;
}

void ConnectionPool::release(Connection &Connection, ConnectionTable &Table,
                             ProxyActions &Actions) {
  requireInvariant(!Connection.m_IsBusy, "R8",
                   "a connection is released before its statement is answered");
  if (Connection.m_Generation != m_Generation || !m_IsOpen) {
    discard(Connection, Table, Actions, false);
    return;
  }
  if (Connection.m_Transaction != nullptr) {
    Connection.m_Transaction = nullptr;
    --m_Pinned;
  }
  Connection.m_Request = nullptr;
  m_IdleConnections.push_back(&Connection);
}

void ConnectionPool::discard(Connection &Connection, ConnectionTable &Table,
                             ProxyActions &Actions, bool AlreadyClosed) {
  onStatementAnswered(Connection);
  if (Connection.m_Transaction != nullptr)
    --m_Pinned;
  std::erase(m_IdleConnections, &Connection);
  std::erase(m_Connections, &Connection);
  if (!AlreadyClosed)
    Actions.emplace_back(CloseConnection{Connection.m_Id});
  Table.erase(Connection.m_Id.m_Value);
}

void ConnectionPool::onWarmUpFailed(Time Now) {
  constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
  m_NextOpenAt = Now + kRetryDelay;
}

} // namespace almondpier
