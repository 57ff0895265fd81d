/// \file
/// Members under a manual clock with a network that a test controls.
#pragma once

#include "decision/consensus/Consensus.h"

#include <deque>

namespace almondpier {

inline Duration ms(int64_t Count) { return std::chrono::milliseconds(Count); }

inline ControlMember controlMember(uint64_t Id) {
  std::string Number = std::to_string(Id);
  return {MemberId{Id}, {"control" + Number}, {"a"}, {"127.0.0.1", 1}, {}};
}

/// Membership of the given voters and learners.
inline Membership membershipOf(const std::vector<uint64_t> &Voters,
                               const std::vector<uint64_t> &Learners = {}) {
  Membership Result;
  for (uint64_t Id : Voters)
    Result.m_Voters.push_back(controlMember(Id));
  for (uint64_t Id : Learners)
    Result.m_Learners.push_back(controlMember(Id));
  return Result;
}

/// Carries out the persistent part of an output.
inline void persist(PersistedLog &Disk, const ConsensusOutput &Output) {
  if (Output.m_HardState)
    Disk.m_HardState = *Output.m_HardState;
  if (Output.m_InstalledSnapshot) {
    Disk.m_Snapshot = *Output.m_InstalledSnapshot;
    Disk.m_Entries.clear();
  }
  for (const LogEntry &Entry : Output.m_Entries) {
    Disk.m_Entries.resize(Entry.m_Index - Disk.m_Snapshot.m_Index - 1);
    Disk.m_Entries.push_back(Entry);
  }
}

/// Replaces the covered entries by the snapshot, as after Consensus::compact.
inline void persistSnapshot(PersistedLog &Disk, const Snapshot &Snapshot) {
  auto Kept = std::find_if(
      Disk.m_Entries.begin(), Disk.m_Entries.end(),
      [&](const LogEntry &Entry) { return Entry.m_Index > Snapshot.m_Index; });
  Disk.m_Entries.erase(Disk.m_Entries.begin(), Kept);
  Disk.m_Snapshot = Snapshot;
}

class ManualCluster {
public:
  struct Node {
    PersistedLog m_Disk;
    std::unique_ptr<Consensus> m_Consensus;
    std::vector<std::string> m_Applied;
    std::vector<ConsensusOutput::ConfirmedRead> m_Reads;
    std::vector<uint64_t> m_FailedReads;
  };

  explicit ManualCluster(const std::vector<uint64_t> &Voters,
                         ConsensusOptions Options = {})
      : m_Options(Options) {
    PersistedLog Log;
    Log.m_HardState.m_Term = 1;
    Log.m_Entries = {{1, 1, {}, membershipOf(Voters)}};
    for (uint64_t Id : Voters) {
      m_Nodes[Id].m_Disk = Log;
      start(Id);
    }
  }

  void start(uint64_t Id) {
    ConsensusOptions Options = m_Options;
    Options.m_Self = MemberId{Id};
    Options.m_Seed = Id;
    Node &Started = m_Nodes[Id];
    Started.m_Applied.clear();
    Started.m_Consensus =
        std::make_unique<Consensus>(Options, Started.m_Disk, m_Now);
  }
  void stop(uint64_t Id) { m_Nodes.at(Id).m_Consensus.reset(); }

  Node &node(uint64_t Id) { return m_Nodes.at(Id); }
  Consensus &operator[](uint64_t Id) { return *m_Nodes.at(Id).m_Consensus; }

  /// Carries out what a member wants done.
  void settle(uint64_t Id) {
    Node &Node = m_Nodes.at(Id);
    ConsensusOutput Output = Node.m_Consensus->takeOutput();
    persist(Node.m_Disk, Output);
    for (const ConsensusMessage &Message : Output.m_Messages)
      m_Messages.push_back(Message);
    if (Output.m_InstalledSnapshot)
      Node.m_Applied = {Output.m_InstalledSnapshot->m_Data};
    for (const LogEntry &Entry : Output.m_Committed)
      Node.m_Applied.push_back(Entry.m_Data);
    for (const ConsensusOutput::ConfirmedRead &Read : Output.m_ConfirmedReads)
      Node.m_Reads.push_back(Read);
    for (uint64_t Read : Output.m_FailedReads)
      Node.m_FailedReads.push_back(Read);
  }

  /// Delivers all messages, and those they cause, without time passing.
  void deliver() {
    for (auto &[Id, Node] : m_Nodes)
      if (Node.m_Consensus)
        settle(Id);
    while (!m_Messages.empty()) {
      ConsensusMessage Message = m_Messages.front();
      m_Messages.pop_front();
      uint64_t To = Message.m_To.m_Value;
      if (isCut(Message) || !m_Nodes.contains(To) ||
          !m_Nodes.at(To).m_Consensus)
        continue;
      ++m_Delivered;
      m_Nodes.at(To).m_Consensus->receive(Message, m_Now);
      settle(To);
    }
  }

  /// Lets time pass in small steps.
  void run(Duration Span) {
    constexpr Duration kStep = std::chrono::milliseconds(5);
    for (Duration Passed{}; Passed < Span; Passed += kStep) {
      m_Now += kStep;
      for (auto &[Id, Node] : m_Nodes)
        if (Node.m_Consensus && !m_Paused.contains(Id))
          Node.m_Consensus->tick(m_Now);
      deliver();
    }
  }

  /// The leader of the highest term; 0 when none leads.
  uint64_t leader() const {
    uint64_t Best = 0;
    for (const auto &[Id, Node] : m_Nodes)
      if (Node.m_Consensus && Node.m_Consensus->isLeader() &&
          (Best == 0 ||
           Node.m_Consensus->term() > m_Nodes.at(Best).m_Consensus->term()))
        Best = Id;
    return Best;
  }
  /// Lets time pass until a member leads; returns it.
  uint64_t elect() {
    for (int Round = 0; Round < 1000 && leader() == 0; ++Round)
      run(ms(5));
    return leader();
  }

  /// Proposes at the leader; returns the index, or 0 when refused.
  uint64_t propose(const std::string &Data) {
    uint64_t Index = (*this)[leader()].propose(Data, m_Now).value_or(0);
    deliver();
    return Index;
  }
  /// Proposes a membership at the leader; returns the index, or 0.
  uint64_t change(const Membership &Target) {
    uint64_t Index =
        (*this)[leader()].proposeMembership(Target, "", m_Now).value_or(0);
    deliver();
    return Index;
  }

  bool isCut(const ConsensusMessage &Message) const {
    return m_Cut.contains(Message.m_From.m_Value) ||
           m_Cut.contains(Message.m_To.m_Value);
  }

  ConsensusOptions m_Options;
  Time m_Now{std::chrono::hours(1)};
  std::map<uint64_t, Node> m_Nodes;
  std::deque<ConsensusMessage> m_Messages;
  /// Members without network, and members that no tick reaches.
  std::set<uint64_t> m_Cut;
  std::set<uint64_t> m_Paused;
  uint64_t m_Delivered = 0;
};

} // namespace almondpier
