#include "decision/consensus/SnapshotReceiver.h"

namespace almondpier {

uint64_t SnapshotReceiver::receive(MemberId From,
                                   const SnapshotRequest &Chunk) {
  bool Continues = From == m_From && Chunk.m_Term == m_LeaderTerm &&
                   Chunk.m_SnapshotTerm == m_Partial.m_Term &&
                   Chunk.m_SnapshotIndex == m_Partial.m_Index;
  if (!Continues) {
    // Two leaders may encode the same state differently, so chunks of one
    // never continue those of another.
    reset();
    m_From = From;
    m_LeaderTerm = Chunk.m_Term;
    m_Partial = Snapshot{
        Chunk.m_SnapshotTerm, Chunk.m_SnapshotIndex, Chunk.m_Membership, {}};
  }
  if (Chunk.m_Offset == m_Partial.m_Data.size()) {
    m_Partial.m_Data += Chunk.m_Data;
    m_Complete = Chunk.m_Last;
  }
  return m_Partial.m_Data.size();
}

std::optional<Snapshot> SnapshotReceiver::takeComplete() {
  if (!m_Complete)
    return std::nullopt;
  Snapshot Result = std::move(m_Partial);
  reset();
  return Result;
}

} // namespace almondpier
