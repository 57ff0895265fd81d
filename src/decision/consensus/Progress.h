/// \file
/// What the leader knows of one other member.
#pragma once

#include "decision/consensus/Consensus.h"

#include <deque>

namespace almondpier {

enum class ReplicationMode : uint8_t {
  /// Searches for the last matching entry, one message at a time.
  Probe,
  /// Sends entries without waiting for replies.
  Replicate,
  /// Sends a snapshot, chunk by chunk.
  Snapshot
};

struct Progress {
  explicit Progress(uint64_t Next, Time Now)
      : m_Next(Next), m_LastContact(Now) {}

  void startProbe(uint64_t Next) {
    m_Mode = ReplicationMode::Probe;
    m_Next = Next;
    m_ProbeSent = false;
    m_InFlight.clear();
    m_Snapshot.reset();
  }
  void startReplication() {
    m_Mode = ReplicationMode::Replicate;
    m_Next = m_Match + 1;
    m_InFlight.clear();
    m_Snapshot.reset();
  }
  void startSnapshot(const std::shared_ptr<const Snapshot> &Snapshot) {
    m_Mode = ReplicationMode::Snapshot;
    m_Snapshot = Snapshot;
    m_SnapshotOffset = 0;
    m_InFlight.clear();
  }
  /// Takes a refusal whose sender may match up to Hint.
  void handleMismatch(uint64_t Hint) {
    // The first refusal of several messages under way starts the probe; the
    // others repeat its hint, and a hint below the match is out of date.
    bool IsRepeated =
        m_Mode == ReplicationMode::Probe && m_ProbeSent && m_Next == Hint + 1;
    if (m_Mode != ReplicationMode::Snapshot && !IsRepeated && Hint >= m_Match)
      startProbe(Hint + 1);
  }
  /// Raises the last index known to match.
  void advanceMatch(uint64_t Match) {
    m_Match = std::max(m_Match, Match);
    m_Next = std::max(m_Next, m_Match + 1);
    while (!m_InFlight.empty() && m_InFlight.front() <= m_Match)
      m_InFlight.pop_front();
  }

  ReplicationMode m_Mode = ReplicationMode::Probe;
  uint64_t m_Match = 0;
  uint64_t m_Next = 1;
  bool m_ProbeSent = false;
  /// Last index of each message without a reply.
  std::deque<uint64_t> m_InFlight;
  /// The last round that the member acknowledged.
  uint64_t m_AckedRound = 0;
  /// Send time of the last acknowledged round, while it matters for the lease.
  Time m_AckedRoundSentAt = Time::min();
  Time m_LastContact;
  /// The snapshot being sent; kept when the leader takes a newer one.
  std::shared_ptr<const Snapshot> m_Snapshot;
  size_t m_SnapshotOffset = 0;
  Time m_SnapshotSentAt;
};

} // namespace almondpier
