#include "decision/session/InstanceConnectionPool.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Connections of an instance that hosts leave free: control hosts ask for
/// positions, and a host that ended holds its connections for a moment.
constexpr size_t kReservedConnections = 1;
/// A connection that this host has no claim to is closed when it was idle for
/// so long; a departing instance can then end.
constexpr Duration kSurplusIdle = std::chrono::milliseconds(300);

} // namespace

size_t InstancePool::shareOf(const DatabaseName &Database) const {
  const std::map<DatabaseName, GroupPolicy> &Groups =
      m_Board.m_Configuration.policy().m_Groups;
  auto Group = Groups.find(Database);
  size_t Limit = Group == Groups.end() ? GroupPolicy().m_ConnectionLimit
                                       : Group->second.m_ConnectionLimit;
  size_t Usable =
      Limit > kReservedConnections ? Limit - kReservedConnections : Limit;
  // A new leader knows few hosts at first; registered ones are in the
  // replicated configuration.
  size_t Hosts = std::max<size_t>({1, m_Board.m_LiveHosts.m_Hosts.size(),
                                   m_Board.m_Configuration.hosts().size()});
  return std::max<size_t>(1, Usable / Hosts);
}

InstanceConnection *InstancePool::find(ConnectionId Id) {
  auto Found = m_Connections.find(Id.m_Value);
  return Found == m_Connections.end() ? nullptr : &Found->second;
}

size_t InstancePool::busyAt(const InstanceName &Instance) const {
  auto Ids = m_ByInstance.find(Instance);
  if (Ids == m_ByInstance.end())
    return 0;
  return static_cast<size_t>(
      std::count_if(Ids->second.begin(), Ids->second.end(), [&](uint64_t Id) {
        ConnectionStep Step = m_Connections.at(Id).m_Step;
        return Step != ConnectionStep::Idle && Step != ConnectionStep::Pinned;
      }));
}

InstancePool::Availability
InstancePool::availability(const InstanceName &Instance,
                           const OrganisationName &Organisation) const {
  auto Ids = m_ByInstance.find(Instance);
  if (Ids == m_ByInstance.end())
    return Availability::New;
  bool HasIdle = false;
  const DatabaseName *Database = nullptr;
  for (uint64_t Id : Ids->second) {
    const InstanceConnection &Connection = m_Connections.at(Id);
    Database = &Connection.m_Database;
    if (Connection.m_Step != ConnectionStep::Idle)
      continue;
    if (Connection.m_Organisation == Organisation)
      return Availability::Idle;
    HasIdle = true;
  }
  if (Database == nullptr || Ids->second.size() < shareOf(*Database))
    return Availability::New;
  return HasIdle ? Availability::Replace : Availability::None;
}

InstanceConnection *InstancePool::acquire(
    const InstanceDescription &Instance, const OrganisationName &Organisation,
    const std::map<std::string, std::string> &Values, Time Now) {
  InstanceConnection *Best = nullptr;
  InstanceConnection *Oldest = nullptr;
  std::vector<uint64_t> &Ids = m_ByInstance[Instance.m_Name];
  for (uint64_t Id : Ids) {
    InstanceConnection &Connection = m_Connections.at(Id);
    if (Connection.m_Step != ConnectionStep::Idle)
      continue;
    if (Oldest == nullptr || Connection.m_IdleSince < Oldest->m_IdleSince)
      Oldest = &Connection;
    if (Connection.m_Organisation != Organisation)
      continue;
    bool Matches = !Connection.m_NeedsReset && Connection.m_Values == Values;
    if (Best == nullptr || Matches)
      Best = &Connection;
  }
  if (Best != nullptr)
    return Best;
  if (Ids.size() >= shareOf(Instance.m_Database)) {
    if (Oldest == nullptr)
      return nullptr;
    close(Oldest->m_Id);
  }
  return &open(Instance, Organisation, Now);
}

InstanceConnection &InstancePool::open(const InstanceDescription &Instance,
                                       const OrganisationName &Organisation,
                                       Time Now) {
  ConnectionId Id{++m_LastId};
  InstanceConnection &Connection = m_Connections[Id.m_Value];
  Connection.m_Id = Id;
  Connection.m_Instance = Instance.m_Name;
  Connection.m_Database = Instance.m_Database;
  Connection.m_Organisation = Organisation;
  Connection.m_SentAt = Now;
  m_ByInstance[Instance.m_Name].push_back(Id.m_Value);
  m_Actions.push_back(OpenInstance{Id, Instance.m_Statements,
                                   Instance.m_Database, Organisation,
                                   Instance.m_Name});
  return Connection;
}

void InstancePool::send(InstanceConnection &Connection, ConnectionStep Step,
                        Statement Sent,
                        const std::optional<Position> &NotBefore, Time Now) {
  Connection.m_Step = Step;
  Connection.m_SentAt = Now;
  Connection.m_Sent = Sent;
  m_Actions.push_back(
      SendToInstance{Connection.m_Id, std::move(Sent), NotBefore});
}

void InstancePool::release(InstanceConnection &Connection, Time Now) {
  Connection.m_Step = ConnectionStep::Idle;
  Connection.m_Session.reset();
  Connection.m_InTransaction = false;
  Connection.m_ChecksLeadership = false;
  Connection.m_IdleSince = Now;
}

void InstancePool::close(ConnectionId Id) {
  m_Actions.push_back(CloseConnection{Id});
  forget(Id);
}

void InstancePool::forget(ConnectionId Id) {
  auto Found = m_Connections.find(Id.m_Value);
  if (Found == m_Connections.end())
    return;
  auto Ids = m_ByInstance.find(Found->second.m_Instance);
  std::erase(Ids->second, Id.m_Value);
  if (Ids->second.empty())
    m_ByInstance.erase(Ids);
  m_Connections.erase(Found);
}

size_t InstancePool::surplusOf(const InstanceName &Name, size_t Open) const {
  auto Entry = std::find_if(
      m_Board.m_Directory.m_Instances.begin(),
      m_Board.m_Directory.m_Instances.end(),
      [&](const InstanceDescription &Known) { return Known.m_Name == Name; });
  if (Entry == m_Board.m_Directory.m_Instances.end() ||
      Entry->m_State == InstanceState::Draining)
    return Open;
  size_t Share = shareOf(Entry->m_Database);
  return Open > Share ? Open - Share : 0;
}

void InstancePool::trim(Time Now) {
  std::vector<ConnectionId> Closing;
  for (const std::pair<const InstanceName, std::vector<uint64_t>> &Used :
       m_ByInstance) {
    size_t Surplus = surplusOf(Used.first, Used.second.size());
    for (uint64_t Id : Used.second) {
      const InstanceConnection &Connection = m_Connections.at(Id);
      bool IsUnused = Connection.m_Step == ConnectionStep::Idle &&
                      Now - Connection.m_IdleSince >= kSurplusIdle;
      if (!IsUnused || Surplus == 0)
        continue;
      --Surplus;
      Closing.push_back(Connection.m_Id);
    }
  }
  for (ConnectionId Id : Closing)
    close(Id);
}

} // namespace almondpier
