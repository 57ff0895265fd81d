#include "almondpier/Storage.h"

#include "messages/Codec.h"
#include "storage/Batch.h"
#include "storage/LogSegments.h"

#include <fcntl.h>

namespace almondpier {

namespace {

constexpr const char *kIdentityName = "identity";
constexpr const char *kSnapshotName = "snapshot";
constexpr const char *kLockName = "lock";
constexpr const char *kRoomName = "room";
/// Present while initialise runs, so that a folder whose initialisation was
/// interrupted is told from one that lost its identity.
constexpr const char *kInitialisingName = "initialising";

[[noreturn]] void throwDamagedFile(const std::filesystem::path &Path,
                                   const std::string &Problem) {
  throw StorageError(
      Path.string() + ": " + Problem +
      " at offset 0; replace this member: move the folder away, start the host "
      "with an empty folder so that it joins with a new identity, and remove "
      "the old member");
}

/// Reads a file that holds exactly one record.
template <typename Value>
Value readRecordFile(const std::filesystem::path &Path, MemberId Member) {
  if (!std::filesystem::exists(Path))
    throwDamagedFile(Path, "the file is missing");
  std::string Content = readFile(Path);
  RecordView Record = readRecord({Member, 0}, Content, 0);
  if (Record.m_State != RecordState::Valid || Record.m_Next != Content.size())
    throwDamagedFile(Path, "the content is damaged");
  try {
    return decodeValue<Value>(Record.m_Payload);
  } catch (const DecodeError &Failure) {
    throwDamagedFile(Path, Failure.what());
  }
}

template <typename Value>
void writeRecordFile(const std::filesystem::path &Path, MemberId Member,
                     const Value &Content) {
  replaceFile(Path, encodeRecord({Member, 0}, 0, encodeValue(Content)));
}

} // namespace

struct DataFolder::State {
  explicit State(const std::filesystem::path &Folder);

  std::filesystem::path pathOf(const char *Name) const {
    return m_Folder / Name;
  }
  bool isInitialised() const {
    return std::filesystem::exists(pathOf(kIdentityName));
  }
  void removeLeftovers();
  void requireNoLog() const;
  void requireUsable() const;
  void requireRoom(size_t Bytes) const;
  /// Runs a write; refuses all later ones when it throws.
  template <typename Function> void write(const Function &Write);
  PersistedLog replay(std::vector<Batch> &&Batches);
  void install(const Snapshot &Installed);
  std::string encodedSnapshot(const Snapshot &Saved) const;

  std::filesystem::path m_Folder;
  File m_Lock;
  FolderIdentity m_Identity;
  std::optional<LogSegments> m_Segments;
  HardState m_HardState;
  /// Number of the last install that the snapshot file knows, and the highest
  /// that the log has seen.
  uint64_t m_LastInstall = 0;
  uint64_t m_HighestInstall = 0;
  bool m_Failed = false;
};

DataFolder::State::State(const std::filesystem::path &Folder)
    : m_Folder(Folder) {
  if (createFolders(Folder))
    syncFolder(std::filesystem::absolute(Folder).parent_path());
  m_Lock = File(pathOf(kLockName), O_RDWR | O_CREAT);
  if (!m_Lock.tryLock())
    throw StorageError(m_Lock.path().string() +
                       ": another process holds the data folder; end that "
                       "process or use another folder");
  removeLeftovers();
  if (!isInitialised())
    requireNoLog();
}

void DataFolder::State::removeLeftovers() {
  for (const char *Name : {kIdentityName, kSnapshotName, kRoomName})
    removeFile(temporaryOf(pathOf(Name)));
  if (!std::filesystem::exists(pathOf(kInitialisingName)))
    return;
  if (!isInitialised()) {
    std::vector<std::filesystem::path> Stale;
    for (const std::filesystem::directory_entry &Entry :
         std::filesystem::directory_iterator(m_Folder))
      if (Entry.path().filename().string().starts_with("log-") ||
          Entry.path().filename() == kSnapshotName)
        Stale.push_back(Entry.path());
    for (const std::filesystem::path &Path : Stale)
      removeFile(Path);
    syncFolder(m_Folder);
  }
  removeFile(pathOf(kInitialisingName));
  syncFolder(m_Folder);
}

void DataFolder::State::requireNoLog() const {
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(m_Folder))
    if (Entry.path().filename() != kLockName)
      throw StorageError(Entry.path().string() +
                         ": the folder is not empty but has no identity file; "
                         "restore that file or use an empty folder");
}

void DataFolder::State::requireUsable() const {
  if (m_Failed || !m_Segments)
    throw StorageError(m_Folder.string() +
                       ": the folder is not loaded or an earlier write failed; "
                       "open and load it again");
}

void DataFolder::State::requireRoom(size_t Bytes) const {
  if (Bytes == 0)
    return;
  std::filesystem::path Path = pathOf(kRoomName);
  writeTemporary(Path, std::string(Bytes, '\0'));
  removeFile(temporaryOf(Path));
}

template <typename Function>
void DataFolder::State::write(const Function &Write) {
  requireUsable();
  m_Failed = true;
  Write();
  m_Failed = false;
}

PersistedLog DataFolder::State::replay(std::vector<Batch> &&Batches) {
  SnapshotFile File =
      readRecordFile<SnapshotFile>(pathOf(kSnapshotName), m_Identity.m_Member);
  m_LastInstall = File.m_LastInstall;
  m_HighestInstall = m_LastInstall;
  PersistedLog Log;
  Log.m_Snapshot = std::move(File.m_Snapshot);
  size_t First = 0;
  for (size_t Position = 0; Position < Batches.size(); ++Position) {
    const Batch &Batch = Batches[Position];
    if (Batch.m_HardState)
      Log.m_HardState = *Batch.m_HardState;
    m_HighestInstall = std::max(m_HighestInstall, Batch.m_InstallNumber);
    if (Batch.m_InstallNumber > 0 && Batch.m_InstallNumber <= m_LastInstall)
      First = Position;
  }
  for (size_t Position = First; Position < Batches.size(); ++Position)
    for (LogEntry &Entry : Batches[Position].m_Entries) {
      uint64_t Base = Log.m_Snapshot.m_Index;
      if (Entry.m_Index > Base + Log.m_Entries.size() + 1)
        throwDamagedFile(m_Folder, "entries before index " +
                                       std::to_string(Entry.m_Index) +
                                       " are missing from the log");
      // An entry replaces all that follow its index, also below the snapshot.
      Log.m_Entries.resize(Entry.m_Index > Base ? Entry.m_Index - Base - 1 : 0);
      if (Entry.m_Index > Base)
        Log.m_Entries.push_back(std::move(Entry));
    }
  m_HardState = Log.m_HardState;
  return Log;
}

std::string DataFolder::State::encodedSnapshot(const Snapshot &Saved) const {
  return encodeRecord({m_Identity.m_Member, 0}, 0,
                      encodeValue(SnapshotFile{m_LastInstall, Saved}));
}

void DataFolder::State::install(const Snapshot &Installed) {
  // The log first names the install and the snapshot file then completes it:
  // at no moment are old entries read on top of the new snapshot.
  m_Segments->append(Batch{m_HardState, ++m_HighestInstall, {}}, m_HardState);
  m_LastInstall = m_HighestInstall;
  replaceFile(pathOf(kSnapshotName), encodedSnapshot(Installed));
  m_Segments->deleteCovered(Installed.m_Index, m_HardState);
}

DataFolder::DataFolder(const std::filesystem::path &Folder)
    : m_State(std::make_unique<State>(Folder)) {}

DataFolder::~DataFolder() = default;

bool DataFolder::isInitialised() const { return m_State->isInitialised(); }

void DataFolder::initialise(MemberId Member, uint64_t ClusterId,
                            const PersistedLog &Log) {
  if (isInitialised())
    throw StorageError(m_State->m_Folder.string() +
                       ": the folder is initialised already; start without "
                       "--bootstrap or use an empty folder");
  std::filesystem::path Marker = m_State->pathOf(kInitialisingName);
  File(Marker, O_WRONLY | O_CREAT).sync();
  syncFolder(m_State->m_Folder);
  writeRecordFile(m_State->pathOf(kSnapshotName), Member,
                  SnapshotFile{0, Log.m_Snapshot});
  LogSegments Segments(m_State->m_Folder, Member);
  Segments.create(Log.m_HardState);
  if (!Log.m_Entries.empty())
    Segments.append(Batch{std::nullopt, 0, Log.m_Entries}, Log.m_HardState);
  writeRecordFile(m_State->pathOf(kIdentityName), MemberId{},
                  FolderIdentity{Member, ClusterId, 0});
  removeFile(Marker);
  syncFolder(m_State->m_Folder);
}

PersistedLog DataFolder::load(size_t RoomBytes) {
  if (!isInitialised())
    throw StorageError(m_State->m_Folder.string() +
                       ": the folder is not initialised; bootstrap a cluster "
                       "or join one");
  std::filesystem::path Path = m_State->pathOf(kIdentityName);
  m_State->m_Identity = readRecordFile<FolderIdentity>(Path, MemberId{});
  ++m_State->m_Identity.m_StartCount;
  LogSegments Segments(m_State->m_Folder, m_State->m_Identity.m_Member);
  PersistedLog Log = m_State->replay(Segments.load());
  if (Segments.isOldestCovered(Log.m_Snapshot.m_Index)) {
    // On a full disk this makes room. The sync after the rename of the snapshot
    // may have failed.
    Segments.makeDurable();
    syncFolder(m_State->m_Folder);
    Segments.deleteOldest(Log.m_Snapshot.m_Index);
  }
  m_State->requireRoom(RoomBytes);
  // Written before the log, so that repeated attempts on a full disk neither
  // make the log grow nor write it again.
  writeRecordFile(Path, MemberId{}, m_State->m_Identity);
  Segments.makeDurable();
  // The first record of the last segment may have been torn; older segments are
  // deleted only because a later one holds the hard state.
  Segments.append(Batch{Log.m_HardState, 0, {}}, Log.m_HardState);
  m_State->m_Segments.emplace(std::move(Segments));
  return Log;
}

const FolderIdentity &DataFolder::identity() const {
  return m_State->m_Identity;
}

void DataFolder::persist(const ConsensusOutput &Output) {
  if (!Output.m_HardState && !Output.m_InstalledSnapshot &&
      Output.m_Entries.empty())
    return;
  m_State->write([&] {
    if (Output.m_HardState)
      m_State->m_HardState = *Output.m_HardState;
    if (Output.m_InstalledSnapshot)
      m_State->install(*Output.m_InstalledSnapshot);
    if (Output.m_InstalledSnapshot && Output.m_Entries.empty())
      return;
    m_State->m_Segments->append(Batch{Output.m_HardState, 0, Output.m_Entries},
                                m_State->m_HardState);
  });
}

bool DataFolder::writeSnapshot(const Snapshot &Snapshot) {
  m_State->requireUsable();
  std::filesystem::path Path = m_State->pathOf(kSnapshotName);
  try {
    writeTemporary(Path, m_State->encodedSnapshot(Snapshot));
  } catch (const StorageUnavailable &) {
    removeFile(temporaryOf(Path));
    return false;
  }
  m_State->write([&] {
    commitTemporary(Path);
    m_State->m_Segments->deleteCovered(Snapshot.m_Index, m_State->m_HardState);
  });
  return true;
}

uint64_t DataFolder::logBytes() const {
  return m_State->m_Segments ? m_State->m_Segments->bytes() : 0;
}

} // namespace almondpier
