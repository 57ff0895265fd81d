#include "decision/consensus/ConsensusState.h"

#include "decision/Invariant.h"

namespace almondpier {

void Consensus::State::followLeader(MemberId Leader, uint64_t Term, Time Now) {
  requireInvariant(!isLeader() || Term > m_HardState.m_Term, "R13",
                   "two members lead in one term");
  if (Term > m_HardState.m_Term || m_Phase != Phase::Follower ||
      m_Leader != Leader)
    becomeFollower(Term, Leader, Now);
  m_LastHeardLeader = Now;
  resetElectionDeadline(Now);
}

void Consensus::State::receive(MemberId From, const AppendRequest &Request,
                               Time Now) {
  if (Request.m_Term < m_HardState.m_Term) {
    send(From, AppendReply{m_HardState.m_Term, false, 0, Request.m_Round});
    return;
  }
  followLeader(From, Request.m_Term, Now);
  uint64_t Previous = Request.m_PreviousIndex;
  if (!m_Log.matches(Request.m_PreviousTerm, Previous)) {
    uint64_t Hint = Previous > m_Log.lastIndex()
                        ? m_Log.lastIndex()
                        : m_Log.indexBeforeTermOf(Previous);
    send(From, AppendReply{m_HardState.m_Term, false, std::max(Hint, m_Commit),
                           Request.m_Round});
    return;
  }
  appendFromLeader(Request.m_Entries);
  uint64_t Match = Previous + Request.m_Entries.size();
  commitUpTo(std::min(Request.m_CommitIndex, Match));
  send(From, AppendReply{m_HardState.m_Term, true, Match, Request.m_Round});
}

void Consensus::State::appendFromLeader(const std::vector<LogEntry> &Entries) {
  for (const LogEntry &Entry : Entries) {
    if (m_Log.matches(Entry.m_Term, Entry.m_Index))
      continue;
    requireInvariant(Entry.m_Index > m_Commit, "R13",
                     "the leader replaces a committed entry");
    m_Log.append(Entry);
    m_Output.m_Entries.push_back(Entry);
  }
}

void Consensus::State::commitUpTo(uint64_t Index) {
  for (; m_Commit < Index; ++m_Commit)
    m_Output.m_Committed.push_back(m_Log.at(m_Commit + 1));
}

void Consensus::State::receive(MemberId From, const SnapshotRequest &Request,
                               Time Now) {
  if (Request.m_Term < m_HardState.m_Term) {
    send(From,
         SnapshotReply{m_HardState.m_Term, Request.m_SnapshotIndex, 0, false});
    return;
  }
  followLeader(From, Request.m_Term, Now);
  SnapshotReply Reply{m_HardState.m_Term, Request.m_SnapshotIndex, 0, true};
  if (Request.m_SnapshotIndex <= m_Commit) {
    send(From, Reply);
    return;
  }
  if (m_Log.matches(Request.m_SnapshotTerm, Request.m_SnapshotIndex)) {
    // The entries up to the snapshot are here. Those after it may count
    // towards a majority already, so nothing is replaced.
    m_Receiver.reset();
    commitUpTo(Request.m_SnapshotIndex);
    send(From, Reply);
    return;
  }
  Reply.m_NextOffset = m_Receiver.receive(From, Request);
  std::optional<Snapshot> Complete = m_Receiver.takeComplete();
  Reply.m_Installed = Complete.has_value();
  if (Complete)
    installSnapshot(std::move(*Complete));
  send(From, Reply);
}

void Consensus::State::installSnapshot(Snapshot &&Snapshot) {
  m_Output.m_Entries.clear();
  m_Output.m_Committed.clear();
  m_Commit = Snapshot.m_Index;
  m_Output.m_InstalledSnapshot = Snapshot;
  m_Log.install(std::move(Snapshot));
}

} // namespace almondpier
