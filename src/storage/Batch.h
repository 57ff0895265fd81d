/// \file
/// What one record of a log segment and the snapshot file hold. A batch is
/// written with one sync, so it is on disk as a whole or not at all.
#pragma once

#include "almondpier/Storage.h"

namespace almondpier {

struct Batch {
  std::optional<HardState> m_HardState;
  /// When not 0, the number of an installed snapshot that replaces all entries
  /// before this batch. Ignored when the snapshot did not reach the disk.
  uint64_t m_InstallNumber = 0;
  std::vector<LogEntry> m_Entries;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_HardState, m_InstallNumber, m_Entries);
  }
};

struct SnapshotFile {
  /// Number of the last installed snapshot; 0 for none. Own snapshots keep it.
  uint64_t m_LastInstall = 0;
  Snapshot m_Snapshot;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_LastInstall, m_Snapshot);
  }
};

} // namespace almondpier
