/// \file
/// Runs a cluster with random faults, replayed exactly by its seed: lost,
/// late, repeated and reordered messages, partitions, pauses, crashes before
/// and after a sync, lost disks and changes of the membership.
#pragma once

#include "consensus/ClusterChecks.h"
#include "consensus/ManualCluster.h"

#include <random>

namespace almondpier {

/// Mechanisms that a test turns off to show that a check can fail.
struct Sabotage {
  /// A crash loses entries that the member has acknowledged.
  bool m_LoseSyncedEntries = false;
  /// Reads are answered without a round.
  bool m_ReadWithoutRound = false;
  /// The lease outlasts the election timeout.
  bool m_LongLease = false;
  /// A member that lost its disk keeps its identifier.
  bool m_KeepIdentifier = false;
};

enum class FaultKind : uint8_t {
  Loss,
  Delay,
  Repetition,
  Partition,
  LinkCut,
  Crash,
  LeaderCrash,
  QuickRestart,
  CrashAtSync,
  Pause,
  LostDisk,
  Removal,
  Transfer
};
constexpr size_t kFaultKinds = 13;

struct RandomStatistics {
  uint64_t m_Committed = 0;
  uint64_t m_Terms = 0;
  uint64_t m_Crashes = 0;
  uint64_t m_LostDisks = 0;
  uint64_t m_Installs = 0;
  uint64_t m_Reads = 0;
  uint64_t m_LeaseSteps = 0;
  uint64_t m_Promotions = 0;
};

class RandomCluster {
public:
  explicit RandomCluster(uint64_t Seed, Sabotage Broken = {})
      : m_Random(Seed), m_Broken(Broken) {
    m_Options.m_ClusterId = 1;
    m_IdleSteps = pick(2) == 0 ? 100 : 10'000;
    if (Broken.m_LongLease)
      m_Options.m_LeaseDuration = m_Options.m_ElectionTimeout * 5;
    // Each run leaves out some kinds of faults: many kinds at once hide those
    // that need a quiet cluster around them.
    for (uint64_t &Weight : m_Weights)
      Weight = std::array<uint64_t, 4>{0, 0, 1, 4}.at(pick(4));
    // Slow networks have frequent elections with votes that cross.
    m_MaxDelayUs =
        std::array<uint64_t, 4>{3'000, 3'000, 30'000, 150'000}.at(pick(4));
    size_t Hosts = 3 + pick(3);
    bool Grows = pick(2) == 0;
    PersistedLog Log = makeInitialLog(controlMember(1));
    if (!Grows)
      for (uint64_t Id = 2; Id <= Hosts; ++Id)
        Log.m_Entries[0].m_Membership->m_Voters.push_back(controlMember(Id));
    for (uint64_t Id = 1; Id <= Hosts; ++Id)
      addHost(Id == 1 || !Grows ? Log : PersistedLog{});
  }

  /// Runs Steps with faults and then without, until the cluster must work.
  /// Throws CheckFailure or InvariantViolation.
  RandomStatistics run(uint64_t Steps) {
    for (uint64_t Step = 0; Step < Steps; ++Step) {
      injectFaults();
      step();
    }
    requireRecovery();
    m_Statistics.m_Committed = m_Checks.committed();
    m_Statistics.m_Terms = m_Checks.terms();
    return m_Statistics;
  }

private:
  struct Host {
    MemberId m_Id;
    PersistedLog m_Disk;
    std::unique_ptr<Consensus> m_Consensus;
    AppliedState m_Applied;
    /// Required index of each read under way.
    std::map<uint64_t, uint64_t> m_Reads;
    /// The clocks of two hosts are not comparable.
    Duration m_ClockOffset{};
    Time m_PausedUntil = Time::min();
    Time m_RestartAt = Time::min();
    bool m_IsRemoved = false;
  };
  using Iterator = std::map<uint64_t, Host>::iterator;

  uint64_t pick(uint64_t Bound) { return m_Random() % Bound; }
  /// True once in Bound times on average, or more or less often in this run.
  bool happens(FaultKind Kind, uint64_t Bound) {
    return m_Faulty && pick(Bound) < m_Weights.at(static_cast<size_t>(Kind));
  }
  Time nowAt(const Host &Host) const { return m_Now + Host.m_ClockOffset; }
  bool isRunning(const Host &Host) const {
    return Host.m_Consensus && Host.m_PausedUntil <= m_Now;
  }

  void addHost(const PersistedLog &Disk) {
    Host &Added = m_Hosts[m_NextHost++];
    Added.m_Id = MemberId{++m_LastMember};
    Added.m_Disk = Disk;
    Added.m_ClockOffset = ms(static_cast<int64_t>(pick(10'000'000)));
    start(Added);
  }

  void start(Host &Started) {
    ConsensusOptions Options = m_Options;
    Options.m_Self = Started.m_Id;
    Options.m_Seed = m_Random();
    Started.m_Applied = {};
    if (!Started.m_Disk.m_Snapshot.m_Data.empty())
      Started.m_Applied = decode(Started.m_Disk.m_Snapshot.m_Data);
    Started.m_Reads.clear();
    Started.m_Consensus =
        std::make_unique<Consensus>(Options, Started.m_Disk, nowAt(Started));
  }

  void crash(Host &Host) {
    ++m_Statistics.m_Crashes;
    Host.m_Consensus.reset();
    Host.m_RestartAt =
        m_Now + ms(static_cast<int64_t>(pick(3) == 0 ? 0 : pick(1'500)));
    std::vector<LogEntry> &Entries = Host.m_Disk.m_Entries;
    if (m_Broken.m_LoseSyncedEntries && !Entries.empty())
      Entries.resize(Entries.size() - 1 -
                     pick(std::min<size_t>(Entries.size(), 3)));
  }

  static std::string encode(const AppliedState &State, size_t Padding) {
    return std::to_string(State.m_Index) + " " + std::to_string(State.m_Hash) +
           std::string(Padding, ' ');
  }
  static AppliedState decode(const std::string &Data) {
    size_t Space = Data.find(' ');
    return {std::stoull(Data), std::stoull(Data.substr(Space + 1))};
  }

  /// Carries out the output of a member, unless it crashes at some point.
  void settle(Host &Host) {
    ConsensusOutput Output = Host.m_Consensus->takeOutput();
    if (Output.empty())
      return;
    if (happens(FaultKind::CrashAtSync, 4'000)) {
      // Before the sync: any part of the batch may have reached the disk.
      if (pick(2) == 0)
        Output.m_InstalledSnapshot.reset();
      if (Output.m_InstalledSnapshot || pick(2) == 0)
        Output.m_Entries.clear();
      Output.m_Entries.resize(
          Output.m_Entries.empty() ? 0 : pick(Output.m_Entries.size() + 1));
      if (pick(3) > 0)
        persist(Host.m_Disk, Output);
      crash(Host);
      return;
    }
    persist(Host.m_Disk, Output);
    bool CrashesNow = happens(FaultKind::CrashAtSync, 4'000);
    for (const ConsensusMessage &Message : Output.m_Messages)
      if (!CrashesNow || pick(2) == 0)
        send(Message);
    if (CrashesNow) {
      crash(Host);
      return;
    }
    apply(Host, Output);
  }

  void apply(Host &Host, const ConsensusOutput &Output) {
    if (Output.m_InstalledSnapshot) {
      ++m_Statistics.m_Installs;
      Host.m_Applied = decode(Output.m_InstalledSnapshot->m_Data);
      m_Checks.installs(Host.m_Applied);
    }
    for (const LogEntry &Entry : Output.m_Committed)
      m_Checks.applies(Host.m_Applied, Entry);
    for (const ConsensusOutput::ConfirmedRead &Read : Output.m_ConfirmedReads) {
      ++m_Statistics.m_Reads;
      ClusterChecks::reads(Host.m_Reads.at(Read.m_Read), Read.m_Index);
      Host.m_Reads.erase(Read.m_Read);
    }
    for (uint64_t Read : Output.m_FailedReads)
      check(Host.m_Reads.erase(Read) == 1, "an unknown read failed");
  }

  void send(const ConsensusMessage &Message) {
    uint64_t From = Message.m_From.m_Value;
    uint64_t To = Message.m_To.m_Value;
    bool IsCut =
        m_Sides[From % m_Sides.size()] != m_Sides[To % m_Sides.size()] ||
        m_CutLinks.contains({Message.m_From, Message.m_To});
    if (m_Faulty && IsCut)
      return;
    if (happens(FaultKind::Loss, 40))
      return;
    int Copies = happens(FaultKind::Repetition, 60) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      Duration Delay(500 + pick(m_Faulty ? m_MaxDelayUs : 3'000));
      if (happens(FaultKind::Delay, 50))
        Delay = ms(static_cast<int64_t>(pick(pick(20) == 0 ? 3'000 : 200)));
      m_Network.emplace(m_Now + Delay, Message);
    }
  }

  Host *find(MemberId Member) {
    for (auto &[Number, Host] : m_Hosts)
      if (Host.m_Id == Member)
        return &Host;
    return nullptr;
  }

  void step() {
    m_Now += Duration(500 + pick(4'000));
    while (!m_Network.empty() && m_Network.begin()->first <= m_Now) {
      ConsensusMessage Message = std::move(m_Network.begin()->second);
      m_Network.erase(m_Network.begin());
      Host *To = find(Message.m_To);
      if (!To || !To->m_Consensus)
        continue;
      if (!isRunning(*To)) {
        m_Network.emplace(To->m_PausedUntil, std::move(Message));
        continue;
      }
      To->m_Consensus->receive(Message, nowAt(*To));
      // A driver may carry out the output of several calls together.
      if (pick(4) > 0)
        settle(*To);
    }
    for (auto &[Number, Host] : m_Hosts)
      if (isRunning(Host)) {
        // Timers can be late, so that requests come first after a pause.
        if (pick(3) > 0)
          Host.m_Consensus->tick(nowAt(Host));
        settle(Host);
      } else if (!Host.m_Consensus && Host.m_RestartAt <= m_Now) {
        start(Host);
      }
    for (auto &[Number, Host] : m_Hosts)
      if (isRunning(Host))
        work(Host);
    checkLeases();
  }

  void checkLeases() {
    std::vector<const Consensus *> Holders;
    // A paused member counts too: it may act at once when it resumes.
    for (const auto &[Number, Host] : m_Hosts) {
      if (Host.m_Consensus && Host.m_Consensus->isLeader())
        m_Checks.leads(Host.m_Id, Host.m_Consensus->term());
      if (Host.m_Consensus && Host.m_Consensus->holdsLease(nowAt(Host)))
        Holders.push_back(Host.m_Consensus.get());
    }
    m_Checks.lease(Holders);
    m_Statistics.m_LeaseSteps += Holders.size();
  }

  /// What the program around a member does.
  void work(Host &Host) {
    if (Host.m_Consensus->isLeader()) {
      if ((m_Proposes || !m_Faulty) && pick(10) == 0)
        Host.m_Consensus->propose("entry " + std::to_string(++m_LastEntry),
                                  nowAt(Host));
      settleIfRunning(Host);
      if (Host.m_Consensus && pick(20) == 0)
        changeMembership(Host);
      settleIfRunning(Host);
      if (Host.m_Consensus && happens(FaultKind::Transfer, 1'000))
        Host.m_Consensus->transferLeadership(nowAt(Host));
      settleIfRunning(Host);
    }
    if (Host.m_Consensus && pick(20) == 0)
      read(Host);
    settleIfRunning(Host);
    if (Host.m_Consensus && pick(400) == 0)
      compact(Host);
  }
  void settleIfRunning(Host &Host) {
    if (Host.m_Consensus)
      settle(Host);
  }

  void read(Host &Host) {
    if (m_Broken.m_ReadWithoutRound && Host.m_Consensus->isLeader())
      ClusterChecks::reads(m_Checks.committed(),
                           Host.m_Consensus->commitIndex());
    std::optional<uint64_t> Read =
        Host.m_Consensus->requestReadIndex(nowAt(Host));
    if (Read)
      Host.m_Reads[*Read] = m_Checks.committed();
  }

  void compact(Host &Host) {
    if (Host.m_Applied.m_Index <= Host.m_Consensus->snapshotIndex())
      return;
    size_t Padding = pick(20) == 0 ? kMaxSnapshotPartBytes * 16 : 0;
    Host.m_Consensus->compact(Host.m_Applied.m_Index,
                              encode(Host.m_Applied, Padding));
    if (!happens(FaultKind::CrashAtSync, 20))
      persistSnapshot(Host.m_Disk, Host.m_Consensus->snapshot());
    else
      crash(Host);
  }

  bool isCurrent(MemberId Member) {
    Host *Found = find(Member);
    return Found && !Found->m_IsRemoved;
  }

  void changeMembership(Host &Leader) {
    Membership Next = Leader.m_Consensus->membership();
    if (!pickChange(Next))
      return;
    size_t VotersBefore = Leader.m_Consensus->membership().m_Voters.size();
    if (Leader.m_Consensus->proposeMembership(Next, "m", nowAt(Leader)) &&
        Next.m_Voters.size() > VotersBefore)
      ++m_Statistics.m_Promotions;
  }

  /// Makes one step towards the hosts that exist; sometimes removes a voter.
  bool pickChange(Membership &Next) {
    for (size_t Number = 0; Number < Next.m_Learners.size(); ++Number) {
      ControlMember Learner = Next.m_Learners[Number];
      Next.m_Learners.erase(Next.m_Learners.begin() +
                            static_cast<std::ptrdiff_t>(Number));
      if (isCurrent(Learner.m_Id))
        Next.m_Voters.push_back(Learner);
      return true;
    }
    for (auto &[Number, Host] : m_Hosts)
      if (!Host.m_IsRemoved && !isMember(Next, Host.m_Id)) {
        Next.m_Learners.push_back(controlMember(Host.m_Id.m_Value));
        return true;
      }
    for (size_t Number = 0; Number < Next.m_Voters.size(); ++Number) {
      Host *Found = find(Next.m_Voters[Number].m_Id);
      bool IsUnwanted =
          Next.m_Voters.size() > 2 && happens(FaultKind::Removal, 400);
      if (Found && !IsUnwanted)
        continue;
      if (Found)
        Found->m_IsRemoved = true;
      Next.m_Voters.erase(Next.m_Voters.begin() +
                          static_cast<std::ptrdiff_t>(Number));
      return true;
    }
    return false;
  }
  static bool isMember(const Membership &Members, MemberId Member) {
    for (const std::vector<ControlMember> *List :
         {&Members.m_Voters, &Members.m_Learners})
      for (const ControlMember &Other : *List)
        if (Other.m_Id == Member)
          return true;
    return false;
  }
  static bool isVoter(const Membership &Members, MemberId Member) {
    return isMember(Membership{Members.m_Voters, {}}, Member);
  }

  void injectFaults() {
    if (happens(FaultKind::Partition, 1'000))
      for (int &Side : m_Sides)
        Side = static_cast<int>(pick(2));
    if (pick(300) == 0)
      m_Sides.fill(0);
    // Links fail in one direction: a member that no longer hears the leader
    // still asks the others for their votes.
    if (happens(FaultKind::LinkCut, 400)) {
      std::pair<MemberId, MemberId> Link{pickMember(), pickMember()};
      for (auto &[Number, Host] : m_Hosts)
        if (isRunning(Host) && Host.m_Consensus->isLeader())
          Link.first = Host.m_Id;
      // One link at a time; with many the whole cluster stands still.
      m_CutLinks = {Link};
      if (pick(2) == 0)
        m_CutLinks.insert({Link.second, Link.first});
    }
    // Entries that a member missed keep it from being elected, so faults of
    // elections show only while nothing is proposed.
    if (pick(m_Proposes ? 300 : m_IdleSteps) == 0)
      m_Proposes = !m_Proposes;
    if (pick(800) == 0)
      m_CutLinks.clear();
    for (auto &[Number, Host] : m_Hosts) {
      bool Leads = isRunning(Host) && Host.m_Consensus->isLeader();
      if (isRunning(Host) && (Leads ? happens(FaultKind::LeaderCrash, 1'000)
                                    : happens(FaultKind::Crash, 4'000)))
        crash(Host);
      // A quick restart, after which a member has forgotten that it heard a
      // leader a moment ago.
      if (isRunning(Host) && happens(FaultKind::QuickRestart, 2'000)) {
        crash(Host);
        Host.m_RestartAt = m_Now;
      }
      if (isRunning(Host) && happens(FaultKind::Pause, 4'000))
        Host.m_PausedUntil = m_Now + ms(static_cast<int64_t>(pick(2'000)));
      if (happens(FaultKind::LostDisk, 4'000) && canLoseDisk(Host))
        loseDisk(Host);
    }
  }

  MemberId pickMember() {
    return std::next(m_Hosts.begin(),
                     static_cast<std::ptrdiff_t>(pick(m_Hosts.size())))
        ->second.m_Id;
  }

  /// Whether the cluster survives the loss of this disk: every voter has its
  /// disk and no change of the membership is under way.
  bool canLoseDisk(const Host &Lost) {
    const Membership &Committed = m_Checks.membership();
    if (Lost.m_IsRemoved && !isMember(Committed, Lost.m_Id))
      return isSettled();
    if (!isVoter(Committed, Lost.m_Id) || Committed.m_Voters.size() < 3)
      return false;
    for (const ControlMember &Voter : Committed.m_Voters)
      if (!find(Voter.m_Id))
        return false;
    return isSettled();
  }
  bool isSettled() const {
    for (const auto &[Number, Host] : m_Hosts)
      for (const LogEntry &Entry : Host.m_Disk.m_Entries)
        if (Entry.m_Membership && Entry.m_Index > m_Checks.committed())
          return false;
    return true;
  }
  void loseDisk(Host &Lost) {
    ++m_Statistics.m_LostDisks;
    Lost.m_Consensus.reset();
    Lost.m_Disk = {};
    Lost.m_IsRemoved = false;
    Lost.m_RestartAt = m_Now + ms(static_cast<int64_t>(pick(500)));
    if (!m_Broken.m_KeepIdentifier)
      Lost.m_Id = MemberId{++m_LastMember};
  }

  /// Without faults, the cluster must elect one leader, keep it, and apply
  /// the same everywhere.
  void requireRecovery() {
    m_Faulty = false;
    for (auto &[Number, Host] : m_Hosts) {
      Host.m_PausedUntil = Time::min();
      Host.m_RestartAt = Time::min();
    }
    constexpr int kRecoverySteps = 6'000;
    for (int Step = 0; Step < kRecoverySteps; ++Step)
      step();
    uint64_t Before = m_Checks.committed();
    size_t Terms = m_Checks.terms();
    for (int Step = 0; Step < kRecoverySteps / 4; ++Step)
      step();
    check(m_Checks.committed() > Before,
          "nothing commits without faults after index " +
              std::to_string(Before));
    check(m_Checks.terms() == Terms, "the leader changes without faults");
    for (auto &[Number, Host] : m_Hosts)
      if (isMember(m_Checks.membership(), Host.m_Id))
        check(Host.m_Applied.m_Index + 20 >= m_Checks.committed(),
              "member " + std::to_string(Host.m_Id.m_Value) +
                  " stays behind without faults");
  }

  std::mt19937_64 m_Random;
  Sabotage m_Broken;
  ConsensusOptions m_Options;
  std::array<uint64_t, kFaultKinds> m_Weights{};
  uint64_t m_MaxDelayUs = 0;
  bool m_Faulty = true;
  bool m_Proposes = true;
  uint64_t m_IdleSteps = 0;
  Time m_Now{std::chrono::hours(1)};
  std::map<uint64_t, Host> m_Hosts;
  uint64_t m_NextHost = 0;
  uint64_t m_LastMember = 0;
  uint64_t m_LastEntry = 0;
  std::multimap<Time, ConsensusMessage> m_Network;
  /// Which side of a partition a member is on.
  std::array<int, 16> m_Sides{};
  /// Links that lose everything, by sender and receiver.
  std::set<std::pair<MemberId, MemberId>> m_CutLinks;
  ClusterChecks m_Checks;
  RandomStatistics m_Statistics;
};

} // namespace almondpier
