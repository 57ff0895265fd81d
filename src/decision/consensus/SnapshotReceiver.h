/// \file
/// Collects the chunks of a snapshot that a leader sends.
#pragma once

#include "decision/consensus/Consensus.h"

namespace almondpier {

class SnapshotReceiver {
public:
  /// Takes a chunk. Returns the offset that is needed next.
  uint64_t receive(MemberId From, const SnapshotRequest &Chunk);
  /// Returns the snapshot once its last chunk has been taken.
  std::optional<Snapshot> takeComplete();
  void reset() { *this = SnapshotReceiver(); }

private:
  MemberId m_From;
  uint64_t m_LeaderTerm = 0;
  bool m_Complete = false;
  Snapshot m_Partial;
};

} // namespace almondpier
