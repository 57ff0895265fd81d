/// \file
/// The state of one member. Its methods are implemented in Elections.cpp,
/// Replication.cpp, Following.cpp and Leading.cpp.
#pragma once

#include "decision/consensus/MembershipRules.h"
#include "decision/consensus/Progress.h"
#include "decision/consensus/ReplicatedLog.h"
#include "decision/consensus/Rounds.h"
#include "decision/consensus/SnapshotReceiver.h"

#include <random>

namespace almondpier {

struct Consensus::State {
  enum class Phase : uint8_t { Follower, PreCandidate, Candidate, Leader };

  State(const ConsensusOptions &Options, PersistedLog &&Log, Time Now);

  bool isSelfVoter() const { return isVoter(m_Log.membership(), m_Self); }
  /// A member whose removal is not known to be committed still stands for
  /// election: it may be the only one whose log is new enough.
  bool mayCampaign() const {
    return isSelfVoter() || (m_Log.membershipIndex() > m_Commit &&
                             isVoter(m_Log.previousMembership(), m_Self));
  }
  bool isLeader() const { return m_Phase == Phase::Leader; }
  void send(MemberId To, ConsensusBody Body);
  void persistHardState() { m_Output.m_HardState = m_HardState; }

  // Elections.
  void resetElectionDeadline(Time Now);
  /// Whether another leader may hold a lease that relies on this member.
  bool mustIgnoreCandidates(Time Now) const;
  void startPreVote(Time Now);
  void startElection(bool LeadershipTransfer, Time Now);
  void requestVotes(Time Now);
  void countVotes(Time Now);
  void becomeFollower(uint64_t Term, MemberId Leader, Time Now);
  void tickElection(Time Now);
  void receive(MemberId From, const VoteRequest &Request, Time Now);
  void receive(MemberId From, const VoteReply &Reply, Time Now);
  void receive(MemberId From, const TransferLeadership &Request, Time Now);

  // Following.
  void followLeader(MemberId Leader, uint64_t Term, Time Now);
  void receive(MemberId From, const AppendRequest &Request, Time Now);
  void receive(MemberId From, const SnapshotRequest &Request, Time Now);
  void appendFromLeader(const std::vector<LogEntry> &Entries);
  void commitUpTo(uint64_t Index);
  void installSnapshot(Snapshot &&Snapshot);

  // Leading.
  void becomeLeader(Time Now);
  void appendAsLeader(std::string &&Data, std::optional<Membership> Target,
                      Time Now);
  void syncProgressWithMembership(Time Now);
  void tickLeader(Time Now);
  bool hearsMajority(Time Now) const;
  void startRound(Time Now);
  uint64_t confirmedRound() const;
  Time leaseStart(Time Now) const;
  void confirmReads();
  void advanceCommit(Time Now);
  bool hasCommittedInTerm() const;
  void continueTransfer(Time Now);
  std::optional<MemberId> mostAdvancedVoter() const;
  void handOver(MemberId Target, Time Now);
  void receive(MemberId From, const AppendReply &Reply, Time Now);
  void receive(MemberId From, const SnapshotReply &Reply, Time Now);

  // Replication.
  void replicateToAll(Time Now);
  void replicateTo(MemberId Member, Progress &Target, Time Now);
  void sendHeartbeat(MemberId Member, Progress &Target, Time Now);
  /// Sends an append with entries from First on; returns its last index.
  uint64_t sendAppend(MemberId Member, uint64_t First, size_t MaxBytes);
  void sendSnapshotChunk(MemberId Member, Progress &Target, Time Now);

  const ConsensusOptions m_Options;
  const MemberId m_Self;
  std::mt19937_64 m_Random;
  HardState m_HardState;
  ReplicatedLog m_Log;
  uint64_t m_Commit = 0;
  ConsensusOutput m_Output;

  Phase m_Phase = Phase::Follower;
  MemberId m_Leader;
  /// When this member last heard a leader; its own start at first, since it
  /// does not remember what it heard before.
  Time m_LastHeardLeader;
  Time m_ElectionDeadline;

  // Candidates.
  bool m_TransferElection = false;
  Time m_LastVoteRequest;
  std::set<MemberId> m_VotesFor;

  SnapshotReceiver m_Receiver;

  // Leader; reset at the beginning of a term.
  std::map<MemberId, Progress> m_Progress;
  Rounds m_Rounds;
  uint64_t m_TermStartIndex = 0;
  uint64_t m_LastRead = 0;
  /// Set while proposals are refused until the successor holds the whole log.
  std::optional<Time> m_TransferDeadline;
};

} // namespace almondpier
