/// \file
/// The data folder of a control host: its identity, the replicated log and the
/// last snapshot. Everything is synced before the call that writes it returns.
///
/// Files: `lock` (held while the folder is open), `identity`, `snapshot`, and
/// `log-NUMBER`, segments of checksummed records with consecutive numbers.
#pragma once

#include "decision/consensus/Consensus.h"

#include <filesystem>
#include <memory>

namespace almondpier {

/// Thrown when a data folder cannot be used. The message names the file, the
/// offset where there is one, and the remedy.
class StorageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct FolderIdentity {
  MemberId m_Member;
  uint64_t m_ClusterId = 0;
  /// How often the folder has been loaded, the present time included.
  uint64_t m_StartCount = 0;

  friend auto operator<=>(const FolderIdentity &,
                          const FolderIdentity &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Member, m_ClusterId, m_StartCount);
  }
};

/// An open data folder. After a write has thrown, the folder refuses all
/// further calls, because it is not known what reached the disk: the process
/// must end and load the folder again.
class DataFolder {
public:
  /// Opens and locks a folder, which is created when it is missing. Throws
  /// StorageError when another process holds it.
  explicit DataFolder(const std::filesystem::path &Folder);
  ~DataFolder();
  DataFolder(const DataFolder &) = delete;
  DataFolder &operator=(const DataFolder &) = delete;

  /// Whether initialise has completed at any time.
  bool isInitialised() const;
  /// Writes a new identity and log. Member is drawn at random by the caller.
  /// Throws StorageError when the folder is initialised already.
  void initialise(MemberId Member, uint64_t ClusterId,
                  const PersistedLog &Log = {});
  /// Reads the log, removes a torn tail and counts the start. Call it once,
  /// before any write. Throws StorageError on damage before the tail.
  PersistedLog load();
  /// The identity that load read.
  const FolderIdentity &identity() const;

  /// Writes what Output wants persisted; one fdatasync unless it installs a
  /// snapshot.
  void persist(const ConsensusOutput &Output);
  /// Replaces the log up to Snapshot.m_Index by a snapshot of the own state
  /// machine, taken after Consensus::compact.
  void writeSnapshot(const Snapshot &Snapshot);

  /// Bytes in log segments, for metrics and for deciding when to compact.
  uint64_t logBytes() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
