#include "decision/consensus/Consensus.h"

#include "decision/consensus/ConsensusState.h"

#include <utility>

namespace almondpier {

namespace {

/// Largest data of one entry in bytes, so that it fits one message together
/// with a membership.
constexpr size_t kMaxEntryBytes = kMaxMessageBytes / 2;

void requireEntrySize(const std::string &Data) {
  if (Data.size() > kMaxEntryBytes)
    throw Error(ErrorKind::BodyTooLarge, "a change of " +
                                             std::to_string(Data.size()) +
                                             " bytes exceeds the limit of " +
                                             std::to_string(kMaxEntryBytes));
}

} // namespace

PersistedLog makeInitialLog(const ControlMember &Self) {
  return makeInitialLog(std::vector<ControlMember>{Self});
}

PersistedLog makeInitialLog(const std::vector<ControlMember> &Founders) {
  PersistedLog Log;
  Log.m_HardState.m_Term = 1;
  Log.m_Entries.push_back({1, 1, {}, Membership{Founders, {}}});
  return Log;
}

Consensus::Consensus(const ConsensusOptions &Options, PersistedLog Log,
                     Time Now)
    : m_State(std::make_unique<State>(Options, std::move(Log), Now)) {}

Consensus::~Consensus() = default;

void Consensus::State::send(MemberId To, ConsensusBody Body) {
  m_Output.m_Messages.push_back(
      {m_Self, To, m_Options.m_ClusterId, std::move(Body)});
}

void Consensus::tick(Time Now) {
  if (m_State->isLeader())
    m_State->tickLeader(Now);
  else
    m_State->tickElection(Now);
}

void Consensus::receive(const ConsensusMessage &Message, Time Now) {
  if (Message.m_ClusterId != m_State->m_Options.m_ClusterId ||
      Message.m_To != m_State->m_Self || Message.m_From == m_State->m_Self)
    return;
  std::visit(
      [&](const auto &Body) { m_State->receive(Message.m_From, Body, Now); },
      Message.m_Body);
}

std::optional<uint64_t> Consensus::propose(std::string Data, Time Now) {
  requireEntrySize(Data);
  if (!m_State->isLeader() || m_State->m_TransferDeadline)
    return std::nullopt;
  uint64_t Index = m_State->m_Log.lastIndex() + 1;
  m_State->appendAsLeader(std::move(Data), std::nullopt, Now);
  return Index;
}

std::optional<uint64_t> Consensus::proposeMembership(const Membership &Target,
                                                     std::string Data,
                                                     Time Now) {
  requireEntrySize(Data);
  State &S = *m_State;
  if (!S.isLeader() || S.m_TransferDeadline || !S.hasCommittedInTerm() ||
      S.m_Log.membershipIndex() > S.m_Commit ||
      !isSingleStep(S.m_Log.membership(), Target))
    return std::nullopt;
  std::optional<MemberId> Promoted =
      promotedLearner(S.m_Log.membership(), Target);
  if (Promoted && matchIndex(*Promoted) < S.m_Commit)
    return std::nullopt;
  uint64_t Index = S.m_Log.lastIndex() + 1;
  S.appendAsLeader(std::move(Data), Target, Now);
  return Index;
}

std::optional<uint64_t> Consensus::requestReadIndex(Time Now) {
  if (!m_State->isLeader() || !m_State->hasCommittedInTerm())
    return std::nullopt;
  m_State->startRound(Now);
  uint64_t Read = ++m_State->m_LastRead;
  m_State->m_Rounds.addRead(Read, m_State->m_Commit,
                            m_State->m_Rounds.current());
  m_State->confirmReads();
  return Read;
}

void Consensus::transferLeadership(Time Now) {
  if (!m_State->isLeader() || !m_State->mostAdvancedVoter())
    return;
  m_State->m_TransferDeadline = Now + m_State->m_Options.m_ElectionTimeout;
  m_State->continueTransfer(Now);
}

void Consensus::compact(uint64_t Index, std::string Data) {
  if (Index <= snapshotIndex() || Index > m_State->m_Commit)
    return;
  m_State->m_Log.compact(Index, std::move(Data));
}

ConsensusOutput Consensus::takeOutput() {
  return std::exchange(m_State->m_Output, {});
}

ConsensusRole Consensus::role() const {
  if (m_State->isLeader())
    return ConsensusRole::Leader;
  if (!m_State->isSelfVoter())
    return ConsensusRole::Learner;
  return m_State->m_Phase == State::Phase::Follower ? ConsensusRole::Follower
                                                    : ConsensusRole::Candidate;
}

bool Consensus::holdsLease(Time Now) const {
  return m_State->isLeader() &&
         m_State->leaseStart(Now) + m_State->m_Options.m_LeaseDuration > Now;
}

MemberId Consensus::leader() const { return m_State->m_Leader; }

uint64_t Consensus::term() const { return m_State->m_HardState.m_Term; }

uint64_t Consensus::commitIndex() const { return m_State->m_Commit; }

uint64_t Consensus::lastIndex() const { return m_State->m_Log.lastIndex(); }

uint64_t Consensus::snapshotIndex() const {
  return m_State->m_Log.snapshot()->m_Index;
}

const Snapshot &Consensus::snapshot() const {
  return *m_State->m_Log.snapshot();
}

const Membership &Consensus::membership() const {
  return m_State->m_Log.membership();
}

uint64_t Consensus::matchIndex(MemberId Member) const {
  if (!m_State->isLeader())
    return 0;
  if (Member == m_State->m_Self)
    return lastIndex();
  auto Found = m_State->m_Progress.find(Member);
  return Found == m_State->m_Progress.end() ? 0 : Found->second.m_Match;
}

} // namespace almondpier
