/// \file
/// Persistent state of a control host.
#pragma once

#include "almondpier/Storage.h"
#include "decision/control/ControlCore.h"

namespace almondpier {

/// Identity, log and snapshots of one control host. Without a data folder the
/// state is lost when the process ends. All functions throw StorageError if the
/// folder cannot be used.
class ControlStore {
public:
  /// Opens the folder unless its name is empty. An empty folder is not
  /// initialised until the host belongs to a cluster; until then each start
  /// generates a new member identifier.
  /// Throws StorageUnavailable when a folder with a log has no room for another
  /// RoomBytes.
  explicit ControlStore(const std::string &Folder, size_t RoomBytes = 0);

  MemberId memberId() const { return m_MemberId; }
  /// 0 until the host belongs to a cluster.
  uint64_t clusterId() const { return m_ClusterId; }
  /// Takes the log as it was when the folder was opened or initialised.
  PersistedLog takeLog() { return std::move(m_Log); }

  /// Initialises an empty folder for a member of a cluster.
  void initialise(uint64_t ClusterId, const PersistedLog &Log);
  /// Initialises an empty folder for the only member of a new cluster.
  void bootstrap(const ControlMember &Self);
  /// Initialises an empty folder for a founder of a new cluster.
  void initialiseAsFounder(MemberId Self, uint64_t ClusterId,
                           const std::vector<ControlMember> &Founders);
  /// Returns once the change is synced to disk.
  void persist(PersistLog Change);
  /// Returns false when the snapshot cannot be written; the log then stays as
  /// it is.
  bool persistSnapshot(const Snapshot &Snapshot) {
    return !m_Folder || m_Folder->writeSnapshot(Snapshot);
  }

private:
  std::optional<DataFolder> m_Folder;
  MemberId m_MemberId;
  uint64_t m_ClusterId = 0;
  PersistedLog m_Log;
};

} // namespace almondpier
