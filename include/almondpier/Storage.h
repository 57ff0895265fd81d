/// \file
/// The data folder of a control host: its identity, the replicated log and the
/// last snapshot. A call that writes returns only after the data has been
/// synced to disk.
///
/// Files: `lock` (locked while the folder is open), `identity`, `snapshot`, and
/// the log segments `log-NUMBER`, which hold checksummed records with
/// consecutive numbers.
#pragma once

#include "decision/consensus/Consensus.h"

#include <filesystem>
#include <memory>

namespace almondpier {

/// Thrown when a data folder cannot be used. The message names the file, the
/// offset where applicable, and what the operator should do.
class StorageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Thrown when the disk is full or has an I/O error. Nothing is known to be
/// damaged: the folder can be opened and loaded again, which fails in the same
/// way until the disk accepts writes.
class StorageUnavailable : public StorageError {
public:
  using StorageError::StorageError;
};

struct FolderIdentity {
  MemberId m_Member;
  uint64_t m_ClusterId = 0;
  /// Number of times the folder has been loaded, including this one.
  uint64_t m_StartCount = 0;

  friend auto operator<=>(const FolderIdentity &,
                          const FolderIdentity &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Member, m_ClusterId, m_StartCount);
  }
};

/// An open data folder. After a write has thrown, all further calls are
/// refused, because it is unknown what reached the disk. The folder must be
/// closed, opened and loaded again; after StorageUnavailable this process can
/// do so.
class DataFolder {
public:
  /// Opens and locks a folder, and creates it when it does not exist. Throws
  /// StorageError when another process has locked it.
  explicit DataFolder(const std::filesystem::path &Folder);
  ~DataFolder();
  DataFolder(const DataFolder &) = delete;
  DataFolder &operator=(const DataFolder &) = delete;

  /// Whether initialise has ever completed for this folder.
  bool isInitialised() const;
  /// Writes a new identity and log. The caller chooses Member at random. Throws
  /// StorageError when the folder is already initialised.
  void initialise(MemberId Member, uint64_t ClusterId,
                  const PersistedLog &Log = {});
  /// Reads the log, truncates an incompletely written record at its end, makes
  /// the rest durable, and increments the start count. Call it once, before any
  /// write. Throws StorageError when the log is damaged anywhere else.
  /// Throws StorageUnavailable when the disk has no room for another RoomBytes.
  PersistedLog load(size_t RoomBytes = 0);
  /// The identity read by load.
  const FolderIdentity &identity() const;

  /// Writes the changes that Output requires to be durable, with a single
  /// fdatasync unless Output installs a snapshot.
  void persist(const ConsensusOutput &Output);
  /// Replaces the log up to Snapshot.m_Index with a snapshot of the local state
  /// machine, taken after Consensus::compact. Returns false when there is no
  /// room for it or the disk has an I/O error; the folder then keeps its old
  /// snapshot and log, and stays usable.
  [[nodiscard]] bool writeSnapshot(const Snapshot &Snapshot);

  /// Size of the log segments in bytes, for metrics and for deciding when to
  /// compact.
  uint64_t logBytes() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
