/// \file
/// Control hosts of a simulated fleet, with disks in memory. The fleet delivers
/// their messages.
#pragma once

#include "decision/control/ControlCore.h"

#include <functional>

namespace almondpier::sessiontest {

class ControlCluster {
public:
  static constexpr uint16_t kFirstPort = 7'000;

  explicit ControlCluster(size_t Count) {
    std::vector<ControlMember> Members;
    for (size_t Index = 0; Index < Count; ++Index)
      Members.push_back(ControlMember{
          MemberId{100 + Index},
          HostName{"c" + std::to_string(Index)},
          {"z" + std::to_string(Index)},
          {"127.0.0.1", static_cast<uint16_t>(kFirstPort + Index)},
          {"127.0.0.2", static_cast<uint16_t>(kFirstPort + Index)}});
    for (const ControlMember &Member : Members)
      m_Hosts.push_back(Host{Member, makeInitialLog(Members), nullptr});
  }

  size_t size() const { return m_Hosts.size(); }
  const ControlMember &member(size_t Index) const {
    return m_Hosts[Index].m_Member;
  }
  bool isRunning(size_t Index) const {
    return m_Hosts[Index].m_Core != nullptr;
  }
  void start(size_t Index, Time Now) {
    ControlOptions Options;
    Options.m_Self = m_Hosts[Index].m_Member;
    Options.m_ClusterId = 77;
    Options.m_Log = m_Hosts[Index].m_Disk;
    Options.m_Seed = ++m_LastSeed;
    Options.m_LostDisksBorne = 2;
    m_Hosts[Index].m_Core = std::make_unique<ControlCore>(Options, Now);
  }
  void stop(size_t Index) { m_Hosts[Index].m_Core.reset(); }

  std::optional<size_t> leader() const {
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      if (m_Hosts[Index].m_Core &&
          m_Hosts[Index].m_Core->blackboard().m_IsLeader)
        return Index;
    return std::nullopt;
  }
  const ControlBlackboard &board(size_t Index) const {
    return m_Hosts[Index].m_Core->blackboard();
  }

  /// Handles an event, writes to the disk of the host, and returns the actions
  /// that concern other hosts.
  ControlActions handle(size_t Index, const ControlEvent &Event, Time Now) {
    ControlActions Actions;
    if (!m_Hosts[Index].m_Core)
      return Actions;
    bool WasLeader = m_Hosts[Index].m_Core->blackboard().m_IsLeader;
    m_Hosts[Index].m_Core->handle(Event, Now, Actions);
    bool IsLeader = m_Hosts[Index].m_Core->blackboard().m_IsLeader;
    m_Elections += IsLeader && !WasLeader ? 1 : 0;
    for (const ControlAction &Action : Actions) {
      if (const PersistLog *Log = std::get_if<PersistLog>(&Action))
        persist(m_Hosts[Index].m_Disk, *Log);
      if (const PersistSnapshot *Written =
              std::get_if<PersistSnapshot>(&Action))
        persist(m_Hosts[Index].m_Disk, *Written);
    }
    return Actions;
  }
  size_t elections() const { return m_Elections; }

private:
  struct Host {
    ControlMember m_Member;
    PersistedLog m_Disk;
    std::unique_ptr<ControlCore> m_Core;
  };

  static void persist(PersistedLog &Disk, const PersistLog &Action) {
    if (Action.m_HardState)
      Disk.m_HardState = *Action.m_HardState;
    if (Action.m_InstalledSnapshot) {
      Disk.m_Snapshot = *Action.m_InstalledSnapshot;
      Disk.m_Entries.clear();
    }
    for (const LogEntry &Entry : Action.m_Entries) {
      while (!Disk.m_Entries.empty() &&
             Disk.m_Entries.back().m_Index >= Entry.m_Index)
        Disk.m_Entries.pop_back();
      Disk.m_Entries.push_back(Entry);
    }
  }
  static void persist(PersistedLog &Disk, const PersistSnapshot &Action) {
    Disk.m_Snapshot = Action.m_Snapshot;
    std::erase_if(Disk.m_Entries, [&](const LogEntry &Entry) {
      return Entry.m_Index <= Action.m_Snapshot.m_Index;
    });
  }

  std::vector<Host> m_Hosts;
  uint64_t m_LastSeed = 0;
  size_t m_Elections = 0;
};

} // namespace almondpier::sessiontest
