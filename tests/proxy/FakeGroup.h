/// \file
/// A database group for tests of the proxy core: statements, lagging replicas,
/// status.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// One group in term 1. A statement is any text; a read returns the latest
/// text written that the instance holds.
class FakeGroup {
public:
  FakeGroup(std::string Name, uint16_t FirstPort, size_t Size)
      : m_Name{std::move(Name)}, m_ReplicationLags(Size) {
    for (size_t Number = 0; Number < Size; ++Number) {
      InstanceRecord Record;
      Record.m_Database = m_Name;
      Record.m_Name.m_Value = m_Name.m_Value + "-" + std::to_string(Number);
      Record.m_Zone.m_Value = "zone-" + std::to_string(Number);
      uint16_t Port = static_cast<uint16_t>(FirstPort + 2 * Number);
      Record.m_StatementEndpoint = Endpoint{"10.0.1.1", Port};
      Record.m_PlatformEndpoint =
          Endpoint{"10.0.1.1", static_cast<uint16_t>(Port + 1)};
      Record.m_GroupSize = static_cast<uint32_t>(Size);
      m_Instances.push_back(Record);
    }
  }

  std::vector<ChangeBody> registrationChanges() const {
    std::vector<ChangeBody> Bodies;
    for (const InstanceRecord &Record : m_Instances)
      Bodies.emplace_back(RegisterInstance{Record});
    Bodies.emplace_back(BeginTerm{m_Name, 1});
    Bodies.emplace_back(
        ElectPrimary{m_Name, m_Instances[0].m_Name, TermStart{1, 0}});
    return Bodies;
  }

  /// Number of the instance at an endpoint, if it is of this group.
  std::optional<size_t> find(const Endpoint &Address) const {
    for (size_t Number = 0; Number < m_Instances.size(); ++Number)
      if (m_Instances[Number].m_StatementEndpoint == Address ||
          m_Instances[Number].m_PlatformEndpoint == Address)
        return Number;
    return std::nullopt;
  }

  Position positionOf(size_t Number, Time Now) const {
    Position Result{1, 1};
    for (const Entry &Entry : m_Log)
      if (Entry.m_At + m_ReplicationLags[Number] <= Now)
        ++Result.m_Index;
    return Result;
  }

  InstanceStatus statusOf(size_t Number, Time Now) const {
    return InstanceStatus{m_Instances[Number].m_Name, positionOf(Number, Now),
                          1, Number == 0};
  }

  InstanceAnswer execute(size_t Number, const SendStatement &Sent, Time Now) {
    ++m_Statements;
    InstanceAnswer Answer;
    if (m_Failure && Sent.m_Kind != RequestKind::Outcome) {
      Answer = *m_Failure;
      Answer.m_Position = positionOf(Number, Now);
      return Answer;
    }
    Answer.m_HttpStatus = 200;
    switch (Sent.m_Kind) {
    case RequestKind::Write:
      append(Sent.m_Statement, Sent.m_RequestId, Now);
      break;
    case RequestKind::Execute:
      m_Transactions[Sent.m_Connection].push_back(Sent.m_Statement);
      break;
    case RequestKind::Commit:
      for (const std::string &Text : m_Transactions[Sent.m_Connection])
        append(Text, Sent.m_RequestId, Now);
      m_Transactions.erase(Sent.m_Connection);
      break;
    case RequestKind::Rollback:
      m_Transactions.erase(Sent.m_Connection);
      break;
    case RequestKind::Outcome:
      if (!m_Outcomes.contains(Sent.m_RequestId))
        Answer.m_HttpStatus = 404;
      break;
    default:
      break;
    }
    Answer.m_Position = positionOf(Number, Now);
    uint64_t Entries = Answer.m_Position.m_Index - 1;
    if (Sent.m_Kind == RequestKind::Read)
      Answer.m_Body = Entries == 0 ? "\"\"" : m_Log[Entries - 1].m_Text;
    return Answer;
  }

  void onConnectionClosed(ConnectionId Connection) {
    m_Transactions.erase(Connection);
  }

  size_t countOf(const std::string &Text) const {
    size_t Count = 0;
    for (const Entry &Entry : m_Log)
      Count += Entry.m_Text == Text ? 1 : 0;
    return Count;
  }

  DatabaseName m_Name;
  std::vector<InstanceRecord> m_Instances;
  /// Replication lag of each instance; zero for the primary.
  std::vector<Duration> m_ReplicationLags;
  uint64_t m_Statements = 0;
  /// Instances do not answer statements while set.
  bool m_IsUnresponsive = false;
  /// Answer of the instances to statements while set.
  std::optional<InstanceAnswer> m_Failure;

private:
  struct Entry {
    std::string m_Text;
    Time m_At;
  };

  void append(const std::string &Text, const std::string &RequestId, Time Now) {
    if (!RequestId.empty() && !m_Outcomes.insert(RequestId).second)
      return;
    m_Log.push_back(Entry{Text, Now});
  }

  std::vector<Entry> m_Log;
  std::set<std::string> m_Outcomes;
  std::map<ConnectionId, std::vector<std::string>> m_Transactions;
};

} // namespace almondpier
