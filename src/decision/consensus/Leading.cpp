#include "decision/consensus/ConsensusState.h"

namespace almondpier {

void Consensus::State::becomeLeader(Time Now) {
  m_Phase = Phase::Leader;
  m_Leader = m_Self;
  m_VotesFor.clear();
  m_Receiver.reset();
  m_Rounds = Rounds();
  m_Progress.clear();
  m_TransferDeadline.reset();
  m_TermStartIndex = m_Log.lastIndex() + 1;
  m_Rounds.begin(Now, Now);
  syncProgressWithMembership(Now);
  // An entry of the new term lets the entries of older terms commit.
  appendAsLeader({}, std::nullopt, Now);
}

void Consensus::State::syncProgressWithMembership(Time Now) {
  const Membership &Members = m_Log.membership();
  std::erase_if(m_Progress, [&](const auto &Element) {
    return !isMember(Members, Element.first);
  });
  for (const std::vector<ControlMember> *List :
       {&Members.m_Voters, &Members.m_Learners})
    for (const ControlMember &Member : *List)
      if (Member.m_Id != m_Self)
        m_Progress.try_emplace(Member.m_Id, m_Log.lastIndex() + 1, Now);
}

void Consensus::State::appendAsLeader(std::string &&Data,
                                      std::optional<Membership> Target,
                                      Time Now) {
  bool ChangesMembership = Target.has_value();
  LogEntry Entry{m_HardState.m_Term, m_Log.lastIndex() + 1, std::move(Data),
                 std::move(Target)};
  m_Log.append(Entry);
  m_Output.m_Entries.push_back(std::move(Entry));
  if (ChangesMembership)
    syncProgressWithMembership(Now);
  replicateToAll(Now);
  advanceCommit(Now);
}

void Consensus::State::tickLeader(Time Now) {
  if (!hearsMajority(Now) ||
      (m_TransferDeadline && !isSelfVoter() && Now >= *m_TransferDeadline)) {
    becomeFollower(m_HardState.m_Term, {}, Now);
    return;
  }
  if (m_TransferDeadline && Now >= *m_TransferDeadline)
    m_TransferDeadline.reset();
  if (Now - m_Rounds.lastSentAt() >= m_Options.m_HeartbeatInterval)
    startRound(Now);
}

bool Consensus::State::hearsMajority(Time Now) const {
  Time Heard =
      reachedByMajority(m_Log.membership(), Time::min(), [&](MemberId Voter) {
        auto Found = m_Progress.find(Voter);
        return Found == m_Progress.end() ? Now : Found->second.m_LastContact;
      });
  return Heard + m_Options.m_ElectionTimeout > Now;
}

void Consensus::State::startRound(Time Now) {
  m_Rounds.begin(Now, Now - m_Options.m_LeaseDuration);
  for (auto &[Member, Target] : m_Progress)
    sendHeartbeat(Member, Target, Now);
}

uint64_t Consensus::State::confirmedRound() const {
  return reachedByMajority(
      m_Log.membership(), uint64_t{0}, [&](MemberId Voter) {
        auto Found = m_Progress.find(Voter);
        return Found == m_Progress.end() ? m_Rounds.current()
                                         : Found->second.m_AckedRound;
      });
}

Time Consensus::State::leaseStart(Time Now) const {
  return reachedByMajority(
      m_Log.membership(), Time::min(), [&](MemberId Voter) {
        auto Found = m_Progress.find(Voter);
        return Found == m_Progress.end() ? Now
                                         : Found->second.m_AckedRoundSentAt;
      });
}

void Consensus::State::confirmReads() {
  for (const ConsensusOutput::ConfirmedRead &Read :
       m_Rounds.takeConfirmed(confirmedRound()))
    m_Output.m_ConfirmedReads.push_back(Read);
}

bool Consensus::State::hasCommittedInTerm() const {
  return m_Commit >= m_TermStartIndex;
}

void Consensus::State::advanceCommit(Time Now) {
  uint64_t Reached =
      reachedByMajority(m_Log.membership(), uint64_t{0}, [&](MemberId Voter) {
        auto Found = m_Progress.find(Voter);
        return Found == m_Progress.end() ? m_Log.lastIndex()
                                         : Found->second.m_Match;
      });
  // Entries of older terms commit only together with one of this term: a
  // majority that holds an entry of an older term can still lose it.
  if (Reached <= m_Commit || m_Log.termAt(Reached) != m_HardState.m_Term)
    return;
  commitUpTo(Reached);
  for (auto &[Member, Target] : m_Progress)
    if (Target.m_Mode == ReplicationMode::Replicate)
      sendAppend(Member, Target.m_Next, 0);
  bool IsRemoved = !isSelfVoter() && m_Log.membershipIndex() <= m_Commit;
  if (IsRemoved && !m_TransferDeadline)
    m_TransferDeadline = Now + m_Options.m_ElectionTimeout;
  continueTransfer(Now);
}

std::optional<MemberId> Consensus::State::mostAdvancedVoter() const {
  std::optional<MemberId> Best;
  // Of equals, one that keeps its log is the better leader.
  std::pair<uint64_t, bool> BestRank;
  for (const ControlMember &Voter : m_Log.membership().m_Voters) {
    auto Found = m_Progress.find(Voter.m_Id);
    if (Found == m_Progress.end())
      continue;
    std::pair<uint64_t, bool> Rank(Found->second.m_Match, Voter.m_IsDurable);
    if (Best && Rank <= BestRank)
      continue;
    Best = Voter.m_Id;
    BestRank = Rank;
  }
  return Best;
}

void Consensus::State::continueTransfer(Time Now) {
  if (!m_TransferDeadline)
    return;
  std::optional<MemberId> Target = mostAdvancedVoter();
  if (Target && m_Progress.at(*Target).m_Match == m_Log.lastIndex())
    handOver(*Target, Now);
}

void Consensus::State::handOver(MemberId Target, Time Now) {
  // The successor's election does not wait for this member's lease, so it
  // stops leading before the request can arrive.
  send(Target, TransferLeadership{m_HardState.m_Term});
  becomeFollower(m_HardState.m_Term, {}, Now);
}

void Consensus::State::receive(MemberId From, const AppendReply &Reply,
                               Time Now) {
  auto Found = m_Progress.find(From);
  if (Reply.m_Term > m_HardState.m_Term && isMember(m_Log.membership(), From)) {
    becomeFollower(Reply.m_Term, {}, Now);
    return;
  }
  if (!isLeader() || Reply.m_Term != m_HardState.m_Term ||
      Found == m_Progress.end() || Reply.m_MatchIndex > m_Log.lastIndex())
    return;
  Progress &Target = Found->second;
  Target.m_LastContact = Now;
  if (Reply.m_Round > Target.m_AckedRound) {
    Target.m_AckedRound = Reply.m_Round;
    Target.m_AckedRoundSentAt =
        std::max(Target.m_AckedRoundSentAt, m_Rounds.sentAt(Reply.m_Round));
    confirmReads();
  }
  if (Reply.m_Success) {
    Target.advanceMatch(Reply.m_MatchIndex);
    if (Target.m_Mode == ReplicationMode::Probe ||
        (Target.m_Mode == ReplicationMode::Snapshot &&
         Target.m_Match >= Target.m_Snapshot->m_Index))
      Target.startReplication();
  } else {
    Target.handleMismatch(Reply.m_MatchIndex);
  }
  replicateTo(From, Target, Now);
  advanceCommit(Now);
  if (isLeader())
    continueTransfer(Now);
}

void Consensus::State::receive(MemberId From, const SnapshotReply &Reply,
                               Time Now) {
  if (Reply.m_Term > m_HardState.m_Term && isMember(m_Log.membership(), From)) {
    becomeFollower(Reply.m_Term, {}, Now);
    return;
  }
  auto Found = m_Progress.find(From);
  if (!isLeader() || Reply.m_Term != m_HardState.m_Term ||
      Found == m_Progress.end())
    return;
  Progress &Target = Found->second;
  Target.m_LastContact = Now;
  if (Target.m_Mode != ReplicationMode::Snapshot ||
      Reply.m_SnapshotIndex != Target.m_Snapshot->m_Index)
    return;
  if (Reply.m_Installed) {
    Target.advanceMatch(Reply.m_SnapshotIndex);
    Target.startReplication();
    replicateTo(From, Target, Now);
    advanceCommit(Now);
    return;
  }
  // A reply without progress belongs to a repeated chunk; answering it would
  // double all chunks that follow.
  if (Reply.m_NextOffset == Target.m_SnapshotOffset ||
      Reply.m_NextOffset > Target.m_Snapshot->m_Data.size())
    return;
  Target.m_SnapshotOffset = Reply.m_NextOffset;
  sendSnapshotChunk(From, Target, Now);
}

} // namespace almondpier
