#include "decision/consensus/ConsensusState.h"

namespace almondpier {

/// The factor (2^64 divided by the golden ratio) keeps members apart whose
/// seeds and identifiers are related, such as when the identifier is the seed.
static uint64_t seedOf(const ConsensusOptions &Options) {
  return Options.m_Seed + Options.m_Self.m_Value * 0x9E3779B97F4A7C15U;
}

Consensus::State::State(const ConsensusOptions &Options, PersistedLog &&Log,
                        Time Now)
    : m_Options(Options), m_Self(Options.m_Self), m_Random(seedOf(Options)),
      m_HardState(Log.m_HardState), m_Log(std::move(Log)),
      m_Commit(m_Log.snapshot()->m_Index), m_LastHeardLeader(Now) {
  resetElectionDeadline(Now);
}

void Consensus::State::resetElectionDeadline(Time Now) {
  Duration Minimum = m_Options.m_ElectionTimeout;
  // A sole voter competes with nobody, so it need not spread its elections.
  bool IsSole = isSelfVoter() && m_Log.membership().m_Voters.size() == 1;
  Duration Spread(
      IsSole ? 0 : m_Random() % static_cast<uint64_t>(Minimum.count() + 1));
  m_ElectionDeadline = Now + Minimum + Spread;
}

bool Consensus::State::mustIgnoreCandidates(Time Now) const {
  return isLeader() || Now < m_LastHeardLeader + m_Options.m_ElectionTimeout;
}

void Consensus::State::becomeFollower(uint64_t Term, MemberId Leader,
                                      Time Now) {
  if (isLeader()) {
    for (uint64_t Read : m_Rounds.takeWaiting())
      m_Output.m_FailedReads.push_back(Read);
    m_Progress.clear();
    m_TransferDeadline.reset();
    resetElectionDeadline(Now);
  }
  if (Term > m_HardState.m_Term) {
    m_HardState = HardState{Term, {}};
    persistHardState();
  }
  m_Phase = Phase::Follower;
  m_Leader = Leader;
  m_VotesFor.clear();
}

void Consensus::State::tickElection(Time Now) {
  if (!mayCampaign()) {
    if (m_Phase != Phase::Follower)
      becomeFollower(m_HardState.m_Term, {}, Now);
    return;
  }
  if (Now >= m_ElectionDeadline) {
    startPreVote(Now);
    return;
  }
  // Requests are repeated, so that a voter that refused because it heard the
  // former leader a moment later than this member grants the next one.
  if (m_Phase != Phase::Follower &&
      Now - m_LastVoteRequest >= m_Options.m_HeartbeatInterval)
    requestVotes(Now);
}

void Consensus::State::startPreVote(Time Now) {
  m_Phase = Phase::PreCandidate;
  m_Leader = {};
  m_TransferElection = false;
  resetElectionDeadline(Now);
  m_VotesFor = {m_Self};
  requestVotes(Now);
  countVotes(Now);
}

void Consensus::State::startElection(bool LeadershipTransfer, Time Now) {
  m_HardState = HardState{m_HardState.m_Term + 1, m_Self};
  persistHardState();
  m_Phase = Phase::Candidate;
  m_Leader = {};
  m_TransferElection = LeadershipTransfer;
  // A failed election is repeated sooner than the first one starts: voters'
  // waiting times, not the candidate's, protect a former leader's lease.
  uint64_t HalfUs =
      static_cast<uint64_t>(m_Options.m_ElectionTimeout.count()) / 2;
  m_ElectionDeadline = Now + Duration(HalfUs + m_Random() % (HalfUs + 1));
  m_VotesFor = {m_Self};
  requestVotes(Now);
  countVotes(Now);
}

void Consensus::State::requestVotes(Time Now) {
  m_LastVoteRequest = Now;
  bool IsPreVote = m_Phase == Phase::PreCandidate;
  uint64_t Term = m_HardState.m_Term + (IsPreVote ? 1 : 0);
  for (const ControlMember &Voter : m_Log.membership().m_Voters)
    if (Voter.m_Id != m_Self && !m_VotesFor.contains(Voter.m_Id))
      send(Voter.m_Id, VoteRequest{Term, IsPreVote, m_Log.lastTerm(),
                                   m_Log.lastIndex(), m_TransferElection});
}

void Consensus::State::countVotes(Time Now) {
  uint64_t Won =
      reachedByMajority(m_Log.membership(), uint64_t{0}, [&](MemberId Voter) {
        return uint64_t{m_VotesFor.count(Voter)};
      });
  if (Won == 0)
    return;
  if (m_Phase == Phase::PreCandidate)
    startElection(false, Now);
  else
    becomeLeader(Now);
}

void Consensus::State::receive(MemberId From, const VoteRequest &Request,
                               Time Now) {
  bool IsIgnored = mustIgnoreCandidates(Now) && !Request.m_LeadershipTransfer;
  bool IsLogEnough =
      m_Log.isNoNewerThan(Request.m_LastLogTerm, Request.m_LastLogIndex);
  if (Request.m_PreVote) {
    bool Granted =
        !IsIgnored && IsLogEnough && Request.m_Term > m_HardState.m_Term;
    send(From, VoteReply{Granted ? Request.m_Term : m_HardState.m_Term, true,
                         Granted});
    return;
  }
  if (IsIgnored)
    return;
  if (Request.m_Term > m_HardState.m_Term)
    becomeFollower(Request.m_Term, {}, Now);
  bool IsFree =
      m_HardState.m_VotedFor == MemberId{} || m_HardState.m_VotedFor == From;
  bool Granted = Request.m_Term == m_HardState.m_Term && IsFree && IsLogEnough;
  if (Granted) {
    m_HardState.m_VotedFor = From;
    persistHardState();
    resetElectionDeadline(Now);
  }
  send(From, VoteReply{m_HardState.m_Term, false, Granted});
}

void Consensus::State::receive(MemberId From, const VoteReply &Reply,
                               Time Now) {
  if (!isMember(m_Log.membership(), From))
    return;
  bool IsGrantedPreVote = Reply.m_PreVote && Reply.m_Granted;
  if (!IsGrantedPreVote && Reply.m_Term > m_HardState.m_Term) {
    // A pre-candidate asks again at once in the term that it has learnt.
    if (m_Phase == Phase::PreCandidate)
      m_ElectionDeadline = Now;
    becomeFollower(Reply.m_Term, {}, Now);
    return;
  }
  bool IsExpected = Reply.m_PreVote ? m_Phase == Phase::PreCandidate &&
                                          Reply.m_Term == m_HardState.m_Term + 1
                                    : m_Phase == Phase::Candidate &&
                                          Reply.m_Term == m_HardState.m_Term;
  if (!IsExpected || !Reply.m_Granted)
    return;
  m_VotesFor.insert(From);
  countVotes(Now);
}

void Consensus::State::receive(MemberId /*From*/,
                               const TransferLeadership &Request, Time Now) {
  if (Request.m_Term != m_HardState.m_Term || isLeader() || !mayCampaign())
    return;
  startElection(true, Now);
}

} // namespace almondpier
