#include "decision/consensus/ConsensusState.h"

namespace almondpier {

namespace {

/// Bound for the entries of one message, well below kMaxMessageBytes.
constexpr size_t kMaxBatchBytes = 256U << 10U;
/// Messages with entries on the way to one member without a reply.
constexpr size_t kMaxInFlight = 16;

} // namespace

uint64_t Consensus::State::sendAppend(MemberId Member, uint64_t First,
                                      size_t MaxBytes) {
  AppendRequest Request;
  Request.m_Term = m_HardState.m_Term;
  Request.m_PreviousIndex = First - 1;
  Request.m_PreviousTerm = m_Log.termAt(First - 1).value_or(0);
  Request.m_CommitIndex = m_Commit;
  Request.m_Round = m_Rounds.current();
  if (MaxBytes > 0)
    Request.m_Entries = m_Log.entriesFrom(First, MaxBytes);
  uint64_t Last = First - 1 + Request.m_Entries.size();
  send(Member, std::move(Request));
  return Last;
}

void Consensus::State::replicateToAll(Time Now) {
  for (auto &[Member, Target] : m_Progress)
    replicateTo(Member, Target, Now);
}

void Consensus::State::replicateTo(MemberId Member, Progress &Target,
                                   Time Now) {
  if (Target.m_Mode == ReplicationMode::Snapshot)
    return;
  if (!m_Log.termAt(Target.m_Next - 1)) {
    Target.startSnapshot(m_Log.snapshot());
    sendSnapshotChunk(Member, Target, Now);
    return;
  }
  if (Target.m_Mode == ReplicationMode::Probe) {
    if (!Target.m_ProbeSent)
      sendAppend(Member, Target.m_Next, kMaxBatchBytes);
    Target.m_ProbeSent = true;
    return;
  }
  while (Target.m_Next <= m_Log.lastIndex() &&
         Target.m_InFlight.size() < kMaxInFlight) {
    uint64_t Last = sendAppend(Member, Target.m_Next, kMaxBatchBytes);
    Target.m_InFlight.push_back(Last);
    Target.m_Next = Last + 1;
  }
}

void Consensus::State::sendHeartbeat(MemberId Member, Progress &Target,
                                     Time Now) {
  // Without the entry before, the heartbeat names the beginning of the log,
  // which always matches.
  bool IsHeld = Target.m_Mode != ReplicationMode::Snapshot &&
                m_Log.termAt(Target.m_Next - 1).has_value();
  sendAppend(Member, IsHeld ? Target.m_Next : 1, 0);
  // A lost chunk is sent again after the time in which its reply should have
  // come; the factor leaves time for a slow disk.
  constexpr int kRepeatHeartbeats = 4;
  if (Target.m_Mode == ReplicationMode::Snapshot &&
      Now - Target.m_SnapshotSentAt >=
          m_Options.m_HeartbeatInterval * kRepeatHeartbeats)
    sendSnapshotChunk(Member, Target, Now);
}

void Consensus::State::sendSnapshotChunk(MemberId Member, Progress &Target,
                                         Time Now) {
  const Snapshot &Source = *Target.m_Snapshot;
  SnapshotRequest Request;
  Request.m_Term = m_HardState.m_Term;
  Request.m_SnapshotTerm = Source.m_Term;
  Request.m_SnapshotIndex = Source.m_Index;
  Request.m_Membership = Source.m_Membership;
  Request.m_Offset = Target.m_SnapshotOffset;
  Request.m_Data =
      Source.m_Data.substr(Target.m_SnapshotOffset, kMaxSnapshotPartBytes);
  Request.m_Last =
      Request.m_Offset + Request.m_Data.size() == Source.m_Data.size();
  Target.m_SnapshotSentAt = Now;
  send(Member, std::move(Request));
}

} // namespace almondpier
