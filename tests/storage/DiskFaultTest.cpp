#include "almondpier/Storage.h"
#include "consensus/ManualCluster.h"
#include "storage/File.h"
#include "storage/PowerLoss.h"

#include <doctest/doctest.h>

#include <cerrno>

using namespace almondpier;

namespace {

/// How the disk fails, from one operation on.
struct DiskFault {
  int m_Code = 0;
  /// The write that fails first puts half of its bytes on disk.
  bool m_IsShort = false;
  /// Number of operations that fail.
  size_t m_Length = 1;
};

const std::vector<DiskFault> kDiskFaults{
    {ENOSPC},
    {ENOSPC, true},
    {EIO},
    {EIO, true},
    {EDQUOT, false, 3},
    // Longer than any act: the disk stays full.
    {ENOSPC, true, 1'000}};

/// Fails the operations of a folder from the First one on, and follows what a
/// loss of power would leave.
class FaultyDisk {
public:
  FaultyDisk(const std::filesystem::path &Folder, size_t First,
             const DiskFault &Fault)
      : m_Model(Folder), m_First(First), m_Fault(Fault) {
    injectFileFaults([this, Folder](FileOperation Operation,
                                    const std::filesystem::path &Path,
                                    size_t &Bytes) {
      if (Path != Folder && Path.parent_path() != Folder)
        return 0;
      int Code = nextFailure(Operation, Bytes);
      m_Model.observe(Operation, Path, Code == 0);
      return Code;
    });
  }
  ~FaultyDisk() { injectFileFaults({}); }
  FaultyDisk(const FaultyDisk &) = delete;
  FaultyDisk &operator=(const FaultyDisk &) = delete;

  bool hasFailed() const { return m_HasFailed; }
  void repair() { m_IsRepaired = true; }
  PowerLossModel &model() { return m_Model; }

private:
  int nextFailure(FileOperation Operation, size_t &Bytes) {
    size_t Number = m_Count++;
    if (m_IsRepaired || Number < m_First ||
        Number >= m_First + m_Fault.m_Length + (m_Fault.m_IsShort ? 1 : 0))
      return 0;
    m_HasFailed = true;
    bool IsWrite = Operation == FileOperation::Append ||
                   Operation == FileOperation::Rewrite;
    if (Number == m_First && m_Fault.m_IsShort && IsWrite && Bytes > 1) {
      Bytes /= 2;
      return 0;
    }
    return m_Fault.m_Code;
  }

  PowerLossModel m_Model;
  size_t m_First;
  DiskFault m_Fault;
  size_t m_Count = 0;
  bool m_HasFailed = false;
  bool m_IsRepaired = false;
};

ConsensusOutput outputOf(uint64_t Term, uint64_t Index, size_t Bytes) {
  ConsensusOutput Output;
  Output.m_Entries.push_back(
      {Term, Index, std::string(Bytes, 'x'), std::nullopt});
  return Output;
}

constexpr size_t kSmallEntryBytes = 1'000;
/// Seven of these fill a segment, so that the next append begins another one.
constexpr size_t kLargeEntryBytes = 600'000;

/// A folder whose only segment has seven entries of the given size.
PersistedLog prepareFolder(const std::filesystem::path &Path,
                           size_t EntryBytes) {
  DataFolder Folder(Path);
  Folder.initialise(MemberId{7}, 9, makeInitialLog(controlMember(7)));
  PersistedLog Log = Folder.load();
  for (uint64_t Index = 2; Index <= 8; ++Index) {
    ConsensusOutput Output = outputOf(1, Index, EntryBytes);
    Folder.persist(Output);
    persist(Log, Output);
  }
  return Log;
}

/// Something that is done with a loaded folder. Returns the states of the disk
/// that are right when it fails, in the order of its steps; the last one is the
/// state that it acknowledges.
struct Act {
  std::function<void(DataFolder &)> m_Run;
  std::vector<PersistedLog> m_States;
};

bool isOneOf(const PersistedLog &Log, const std::vector<PersistedLog> &States) {
  return std::find(States.begin(), States.end(), Log) != States.end();
}

/// Opens and loads until it succeeds, as a host does.
PersistedLog loadWithRetries(const std::filesystem::path &Path,
                             FaultyDisk &Disk) {
  constexpr size_t kRetries = 4;
  for (size_t Try = 0; Try < kRetries; ++Try)
    try {
      return DataFolder(Path).load();
    } catch (const StorageUnavailable &) {
      continue;
    }
  Disk.repair();
  return DataFolder(Path).load();
}

PersistedLog loadImage(PowerLossModel &Model, PowerLossModel::Unsynced Share,
                       const std::filesystem::path &Target) {
  Model.writeImage(Target, Share);
  return DataFolder(Target).load();
}

/// Loads a folder and runs an act on it, once for each operation and fault.
void checkEachFault(const std::function<Act(PersistedLog)> &MakeAct,
                    size_t EntryBytes = kSmallEntryBytes,
                    const std::vector<DiskFault> &Faults = kDiskFaults) {
  using Unsynced = PowerLossModel::Unsynced;
  TemporaryFolder Temporary(memoryFolder());
  std::filesystem::path Original = Temporary / "original";
  std::filesystem::path Path = Temporary / "data";
  std::filesystem::path Image = Temporary / "image";
  Act Tested = MakeAct(prepareFolder(Original, EntryBytes));
  for (const DiskFault &Fault : Faults)
    for (size_t First = 0;; ++First) {
      CAPTURE(First);
      CAPTURE(Fault.m_Code);
      CAPTURE(Fault.m_IsShort);
      CAPTURE(Fault.m_Length);
      std::filesystem::remove_all(Path);
      std::filesystem::copy(Original, Path);
      FaultyDisk Disk(Path, First, Fault);
      std::vector<PersistedLog> Allowed{Tested.m_States.back()};
      try {
        DataFolder Folder(Path);
        Folder.load();
        Tested.m_Run(Folder);
      } catch (const StorageUnavailable &) {
        Allowed = Tested.m_States;
      }
      bool HasFailed = Disk.hasFailed();
      for (Unsynced Share : {Unsynced::None, Unsynced::Half, Unsynced::All})
        CHECK(isOneOf(loadImage(Disk.model(), Share, Image), Allowed));
      PersistedLog Loaded = loadWithRetries(Path, Disk);
      CHECK(isOneOf(Loaded, Allowed));
      // What has been loaded is used, so power must not take it away.
      for (Unsynced Share : {Unsynced::None, Unsynced::Half, Unsynced::All})
        CHECK((loadImage(Disk.model(), Share, Image) == Loaded));
      if (!HasFailed)
        break;
    }
}

} // namespace

// Guards against entries that are lost, or trusted although they are not on
// disk, when a write or sync of the log fails.
TEST_CASE("storage: a failed write or sync of entries leaves what was "
          "acknowledged, with or without the entries") {
  auto MakeAct = [](const PersistedLog &Before) {
    ConsensusOutput First = outputOf(2, 9, 100);
    First.m_HardState = HardState{2, MemberId{8}};
    First.m_Entries.push_back({2, 10, "y", std::nullopt});
    ConsensusOutput Second = outputOf(2, 10, 50);
    PersistedLog Middle = Before;
    persist(Middle, First);
    PersistedLog After = Middle;
    persist(After, Second);
    return Act{[=](DataFolder &Folder) {
                 Folder.persist(First);
                 Folder.persist(Second);
               },
               {Before, Middle, After}};
  };
  checkEachFault(MakeAct);
  checkEachFault(MakeAct, kLargeEntryBytes, {{EIO}});
}

// Guards against a snapshot that replaces the log before it is on disk, and
// against segments that are deleted too early.
TEST_CASE("storage: a failed write or sync of a snapshot leaves the log or the "
          "snapshot") {
  checkEachFault([](const PersistedLog &Before) {
    Snapshot Own{1, 7, membershipOf({7}), std::string(100'000, 's')};
    ConsensusOutput Entry = outputOf(2, 9, 100);
    PersistedLog Compacted = Before;
    persistSnapshot(Compacted, Own);
    PersistedLog Skipped = Before;
    persist(Skipped, Entry);
    PersistedLog After = Compacted;
    persist(After, Entry);
    return Act{[=](DataFolder &Folder) {
                 bool IsWritten = Folder.writeSnapshot(Own);
                 Folder.persist(Entry);
                 // Only what was acknowledged as a whole ends without a throw.
                 if (!IsWritten)
                   throw StorageUnavailable("no snapshot");
               },
               {Before, Compacted, Skipped, After}};
  });
}

// Guards against old entries that return after a leader's snapshot, or a
// snapshot without the entries that it replaces.
TEST_CASE("storage: a failed write or sync of a leader's snapshot leaves the "
          "old log or the snapshot") {
  checkEachFault([](const PersistedLog &Before) {
    ConsensusOutput Install = outputOf(3, 51, 10);
    Install.m_HardState = HardState{3, {}};
    Install.m_InstalledSnapshot =
        Snapshot{3, 50, membershipOf({7, 8}), std::string(100'000, 's')};
    PersistedLog Voted = Before;
    Voted.m_HardState = *Install.m_HardState;
    PersistedLog Installed{
        *Install.m_HardState, *Install.m_InstalledSnapshot, {}};
    PersistedLog After = Installed;
    persist(After, Install);
    return Act{[=](DataFolder &Folder) { Folder.persist(Install); },
               {Before, Voted, Installed, After}};
  });
}

// Guards against a snapshot for which there is no room and that makes a log
// unusable that has room.
TEST_CASE("storage: a snapshot that cannot be written leaves the log usable") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  PersistedLog Log = prepareFolder(Path, kSmallEntryBytes);
  Snapshot Own{1, 7, membershipOf({7}), std::string(100'000, 's')};
  {
    DataFolder Folder(Path);
    Folder.load();
    FaultyDisk Disk(Path, 1, {ENOSPC, true});
    CHECK(!Folder.writeSnapshot(Own));
    CHECK(!std::filesystem::exists(Path / "snapshot.tmp"));
    Folder.persist(outputOf(1, 9, 10));
    CHECK(Folder.writeSnapshot(Own));
  }
  persist(Log, outputOf(1, 9, 10));
  persistSnapshot(Log, Own);
  CHECK((DataFolder(Path).load() == Log));
}

// Guards against a log that grows with each attempt to load it on a full disk,
// and against covered segments that keep the disk full.
TEST_CASE("storage: loading on a full disk writes nothing more and frees what "
          "a snapshot covers") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  prepareFolder(Path, kLargeEntryBytes);
  {
    DataFolder Folder(Path);
    Folder.load();
    Folder.persist(outputOf(1, 9, 10));
    Folder.persist(outputOf(1, 10, 10));
    CHECK(std::filesystem::exists(Path / "log-00000000000000000002"));
    // The snapshot replaces the old one, then the segments stay.
    injectFileFaults([](FileOperation Operation,
                        const std::filesystem::path & /*Path*/,
                        size_t & /*Bytes*/) {
      return Operation == FileOperation::Remove ? EIO : 0;
    });
    Snapshot Own{1, 9, membershipOf({7}), "state"};
    CHECK_THROWS_AS(static_cast<void>(Folder.writeSnapshot(Own)),
                    StorageUnavailable);
  }
  auto FolderBytes = [&] {
    uintmax_t Bytes = 0;
    for (const std::filesystem::directory_entry &Entry :
         std::filesystem::directory_iterator(Path))
      Bytes += Entry.file_size();
    return Bytes;
  };
  uintmax_t Before = FolderBytes();
  injectFileFaults([](FileOperation Operation,
                      const std::filesystem::path & /*Path*/,
                      size_t & /*Bytes*/) {
    return Operation == FileOperation::Append ? ENOSPC : 0;
  });
  for (size_t Try = 0; Try < 5; ++Try)
    CHECK_THROWS_AS(DataFolder(Path).load(), StorageUnavailable);
  CHECK(FolderBytes() < Before / 2);
  // Room for small files only.
  Before = FolderBytes();
  injectFileFaults([](FileOperation Operation,
                      const std::filesystem::path & /*Path*/, size_t &Bytes) {
    return Operation == FileOperation::Append && Bytes > 1'000 ? ENOSPC : 0;
  });
  for (size_t Try = 0; Try < 5; ++Try)
    CHECK_THROWS_AS(DataFolder(Path).load(1'001), StorageUnavailable);
  CHECK(DataFolder(Path).isInitialised());
  CHECK(FolderBytes() == Before);
  injectFileFaults({});
  CHECK(DataFolder(Path).load(1'001).m_Entries.size() == 1);
  CHECK(DataFolder(Path).isInitialised());
  CHECK(!std::filesystem::exists(Path / "room.tmp"));
}
