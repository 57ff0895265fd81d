/// \file
/// What a control host keeps in its data folder.
#pragma once

#include "almondpier/Storage.h"
#include "decision/control/ControlCore.h"

namespace almondpier {

/// Identity, log and snapshots of one control host; without a folder, nothing
/// outlives the process. All functions throw StorageError when the folder
/// cannot be used.
class ControlStore {
public:
  /// Opens the folder, unless its name is empty. An empty folder stays so until
  /// the host belongs to a cluster; its member identifier is drawn anew at each
  /// start until then.
  explicit ControlStore(const std::string &Folder);

  MemberId memberId() const { return m_MemberId; }
  /// 0 until the host belongs to a cluster.
  uint64_t clusterId() const { return m_ClusterId; }
  /// What the folder held when it was opened or initialised.
  PersistedLog takeLog() { return std::move(m_Log); }

  /// Makes an empty folder that of a member of a cluster.
  void initialise(uint64_t ClusterId, const PersistedLog &Log);
  /// Forms a new cluster of one in an empty folder.
  void bootstrap(const ControlMember &Self);
  /// Makes an empty folder that of a founder of a new cluster.
  void initialiseAsFounder(MemberId Self, uint64_t ClusterId,
                           const std::vector<ControlMember> &Founders);
  /// Returns once everything is synced.
  void persist(PersistLog Change);
  void persistSnapshot(const Snapshot &Snapshot) {
    if (m_Folder)
      m_Folder->writeSnapshot(Snapshot);
  }

private:
  std::optional<DataFolder> m_Folder;
  MemberId m_MemberId;
  uint64_t m_ClusterId = 0;
  PersistedLog m_Log;
};

} // namespace almondpier
