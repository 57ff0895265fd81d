#include "decision/session/InstanceConnectionPool.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Connections of an instance that hosts leave unused: control hosts need one
/// to query positions, and connections of a terminated host linger briefly.
constexpr size_t kReservedConnections = 1;
/// The owner of a group leaves this part of the connections to its successor.
/// An instance keeps the connections of a host that froze or lost power for
/// seconds.
constexpr size_t kSuccessorConnectionsDivisor = 2;
/// Part of the connections that an owner may hold to an instance that another
/// owner uses most. Owners are at most as many as zones.
constexpr size_t kOtherOwnersDivisor = 8;
/// While an instance rejects connections as too many, this host opens none for
/// this time. Hosts that no longer need theirs close them sooner.
constexpr Duration kOverLimitPause = std::chrono::milliseconds(500);
/// Excess connections are closed after this idle time, so that a draining
/// instance can terminate.
constexpr Duration kExcessIdleTimeout = std::chrono::milliseconds(300);

} // namespace

size_t InstanceConnectionPool::connectionLimit(
    const InstanceDescription &Instance) const {
  const std::map<DatabaseName, GroupPolicy> &Groups =
      m_Board.m_Configuration.policy().m_Groups;
  auto Group = Groups.find(Instance.m_Database);
  size_t Limit = Group == Groups.end() ? GroupPolicy().m_ConnectionLimit
                                       : Group->second.m_ConnectionLimit;
  size_t Usable =
      Limit > kReservedConnections ? Limit - kReservedConnections : Limit;
  if (m_Board.isMainUserOf(Instance))
    return std::max<size_t>(1, Usable - Usable / kSuccessorConnectionsDivisor);
  if (m_Board.m_OwnedGroups.contains(Instance.m_Database))
    return std::max<size_t>(1, Usable / kOtherOwnersDivisor);
  // A new control leader knows few live hosts at first, whereas the registered
  // hosts are part of the replicated configuration. The larger number prevents
  // a host from exceeding its share.
  size_t Hosts = std::max<size_t>({1, m_Board.m_LiveHosts.m_Hosts.size(),
                                   m_Board.m_Configuration.hosts().size()});
  return std::max<size_t>(1, Usable / Hosts);
}

InstanceConnection *InstanceConnectionPool::find(ConnectionId Id) {
  auto Found = m_Connections.find(Id.m_Value);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

size_t InstanceConnectionPool::busyCount(const InstanceName &Instance) const {
  auto Ids = m_ConnectionsByInstance.find(Instance);
  if (Ids == m_ConnectionsByInstance.end())
    return 0;
  return static_cast<size_t>(
      std::count_if(Ids->second.begin(), Ids->second.end(), [&](uint64_t Id) {
        ConnectionState State = m_Connections.at(Id).m_State;
        return State != ConnectionState::Idle &&
               State != ConnectionState::Pinned;
      }));
}

void InstanceConnectionPool::onOverLimit(const InstanceName &Instance,
                                         Time Now) {
  auto Ids = m_ConnectionsByInstance.find(Instance);
  m_LearnedLimits[Instance] = LearnedLimit{
      Ids == m_ConnectionsByInstance.end() ? 0 : Ids->second.size(),
      Now + kOverLimitPause};
}

size_t InstanceConnectionPool::openLimit(const InstanceDescription &Instance,
                                         Time Now) const {
  size_t Limit = connectionLimit(Instance);
  auto Learned = m_LearnedLimits.find(Instance.m_Name);
  if (Learned == m_LearnedLimits.end() || Now >= Learned->second.m_Until)
    return Limit;
  return std::min(Limit, Learned->second.m_Connections);
}

InstanceConnectionPool::Availability
InstanceConnectionPool::availability(const InstanceDescription &Instance,
                                     const OrganisationName &Organisation,
                                     Time Now) const {
  bool HasIdle = false;
  size_t Open = 0;
  auto Ids = m_ConnectionsByInstance.find(Instance.m_Name);
  if (Ids != m_ConnectionsByInstance.end())
    Open = Ids->second.size();
  for (size_t Index = 0; Index < Open; ++Index) {
    const InstanceConnection &Connection = m_Connections.at(Ids->second[Index]);
    if (Connection.m_State != ConnectionState::Idle)
      continue;
    if (Connection.m_Organisation == Organisation)
      return Availability::ReuseIdle;
    HasIdle = true;
  }
  if (Open < openLimit(Instance, Now))
    return Availability::OpenNew;
  return HasIdle ? Availability::ReplaceIdle : Availability::None;
}

InstanceConnection *InstanceConnectionPool::acquire(
    const InstanceDescription &Instance, const OrganisationName &Organisation,
    const std::map<std::string, std::string> &Variables, Time Now) {
  InstanceConnection *Best = nullptr;
  InstanceConnection *LongestIdle = nullptr;
  std::vector<uint64_t> &Ids = m_ConnectionsByInstance[Instance.m_Name];
  for (uint64_t Id : Ids) {
    InstanceConnection &Connection = m_Connections.at(Id);
    if (Connection.m_State != ConnectionState::Idle)
      continue;
    if (LongestIdle == nullptr ||
        Connection.m_IdleSince < LongestIdle->m_IdleSince)
      LongestIdle = &Connection;
    if (Connection.m_Organisation != Organisation)
      continue;
    bool Matches =
        !Connection.m_NeedsReset && Connection.m_Variables == Variables;
    if (Best == nullptr || Matches)
      Best = &Connection;
  }
  if (Best != nullptr)
    return Best;
  if (Ids.size() >= openLimit(Instance, Now)) {
    if (LongestIdle == nullptr)
      return nullptr;
    close(LongestIdle->m_Id);
  }
  return &open(Instance, Organisation, Now);
}

InstanceConnection &
InstanceConnectionPool::open(const InstanceDescription &Instance,
                             const OrganisationName &Organisation, Time Now) {
  ConnectionId Id{++m_LastId};
  InstanceConnection &Connection = m_Connections[Id.m_Value];
  Connection.m_Id = Id;
  Connection.m_Instance = Instance.m_Name;
  Connection.m_Database = Instance.m_Database;
  Connection.m_Organisation = Organisation;
  Connection.m_SentAt = Now;
  m_ConnectionsByInstance[Instance.m_Name].push_back(Id.m_Value);
  m_Actions.push_back(OpenInstanceConnection{Id, Instance.m_StatementEndpoint,
                                             Instance.m_Database, Organisation,
                                             Instance.m_Name});
  return Connection;
}

void InstanceConnectionPool::send(InstanceConnection &Connection,
                                  ConnectionState State, Statement Sent,
                                  const std::optional<Position> &MinPosition,
                                  Time Now) {
  Connection.m_State = State;
  Connection.m_SentAt = Now;
  Connection.m_Sent = Sent;
  Connection.m_HasForeignReply = false;
  m_Actions.push_back(
      SendToInstance{Connection.m_Id, std::move(Sent), MinPosition});
}

void InstanceConnectionPool::release(InstanceConnection &Connection, Time Now) {
  if (Connection.m_IsRetiring)
    return close(Connection.m_Id);
  Connection.m_State = ConnectionState::Idle;
  Connection.m_Session.reset();
  Connection.m_InTransaction = false;
  Connection.m_ChecksLeadership = false;
  Connection.m_IdleSince = Now;
}

void InstanceConnectionPool::close(ConnectionId Id) {
  m_Actions.push_back(CloseConnection{Id});
  erase(Id);
}

void InstanceConnectionPool::erase(ConnectionId Id) {
  auto Found = m_Connections.find(Id.m_Value);
  if (Found == m_Connections.end())
    return;
  auto Ids = m_ConnectionsByInstance.find(Found->second.m_Instance);
  std::erase(Ids->second, Id.m_Value);
  if (Ids->second.empty())
    m_ConnectionsByInstance.erase(Ids);
  m_Connections.erase(Found);
}

size_t InstanceConnectionPool::excessConnections(const InstanceName &Name,
                                                 size_t Open) const {
  auto Entry = std::find_if(
      m_Board.m_Directory.m_Instances.begin(),
      m_Board.m_Directory.m_Instances.end(),
      [&](const InstanceDescription &Known) { return Known.m_Name == Name; });
  if (Entry == m_Board.m_Directory.m_Instances.end() ||
      Entry->m_State == InstanceState::Draining ||
      m_Board.m_Configuration.isEvacuated(Entry->m_Zone))
    return Open;
  // Statements travel to the owner, so connections of another host are left
  // from a time in which it reached none.
  if (!m_Board.m_OwnedGroups.contains(Entry->m_Database))
    return Open;
  size_t Share = connectionLimit(*Entry);
  return Open > Share ? Open - Share : 0;
}

void InstanceConnectionPool::closeExcess(Time Now) {
  std::vector<ConnectionId> Closing;
  for (const std::pair<const InstanceName, std::vector<uint64_t>> &Used :
       m_ConnectionsByInstance) {
    size_t Excess = excessConnections(Used.first, Used.second.size());
    for (uint64_t Id : Used.second) {
      const InstanceConnection &Connection = m_Connections.at(Id);
      bool IsUnused = Connection.m_State == ConnectionState::Idle &&
                      Now - Connection.m_IdleSince >= kExcessIdleTimeout;
      if (!IsUnused || Excess == 0)
        continue;
      --Excess;
      Closing.push_back(Connection.m_Id);
    }
  }
  for (ConnectionId Id : Closing)
    close(Id);
  std::erase_if(m_LearnedLimits,
                [&](const auto &Entry) { return Now >= Entry.second.m_Until; });
}

} // namespace almondpier
