#include "almondpier/Storage.h"
#include "consensus/ManualCluster.h"
#include "messages/Codec.h"
#include "storage/Batch.h"
#include "storage/Record.h"
#include "storage/TemporaryFolder.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

constexpr const char *kFirstSegment = "log-00000000000000000001";
constexpr const char *kSecondSegment = "log-00000000000000000002";

ConsensusOutput entryOutput(uint64_t Term, uint64_t Index,
                            const std::string &Data) {
  ConsensusOutput Output;
  Output.m_Entries.push_back({Term, Index, Data, std::nullopt});
  return Output;
}

PersistedLog reload(const std::filesystem::path &Path) {
  return DataFolder(Path).load();
}

/// Initialises a folder and writes outputs; returns the log after each.
std::vector<PersistedLog>
writeOutputs(const std::filesystem::path &Path,
             const std::vector<ConsensusOutput> &Outputs) {
  DataFolder Folder(Path);
  Folder.initialise(MemberId{7}, 9, makeInitialLog(controlMember(7)));
  std::vector<PersistedLog> Logs{Folder.load()};
  for (const ConsensusOutput &Output : Outputs) {
    Folder.persist(Output);
    Logs.push_back(Logs.back());
    persist(Logs.back(), Output);
  }
  return Logs;
}

/// Outputs with growing and replaced entries and changes of the hard state.
std::vector<ConsensusOutput> mixedOutputs() {
  std::vector<ConsensusOutput> Outputs{
      entryOutput(1, 2, "a"), entryOutput(1, 3, std::string(100, 'b')),
      entryOutput(2, 3, "c"), entryOutput(2, 4, "")};
  Outputs[2].m_HardState = HardState{2, MemberId{8}};
  Outputs[3].m_Entries[0].m_Membership = membershipOf({7}, {8});
  return Outputs;
}

/// Message of the StorageError that loading throws; empty when it loads.
std::string loadFailure(const std::filesystem::path &Path) {
  try {
    reload(Path);
    return {};
  } catch (const StorageError &Failure) {
    return Failure.what();
  }
}

} // namespace

TEST_CASE("storage: an empty folder is not initialised by opening it, and an "
          "initialised one is not initialised again") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  {
    DataFolder Folder(Path);
    CHECK(!Folder.isInitialised());
    CHECK_THROWS_AS(Folder.load(), StorageError);
  }
  DataFolder Folder(Path);
  CHECK(!Folder.isInitialised());
  Folder.initialise(MemberId{7}, 9, makeInitialLog(controlMember(7)));
  CHECK(Folder.isInitialised());
  CHECK_THROWS_AS(Folder.initialise(MemberId{8}, 9), StorageError);
  CHECK((Folder.load() == makeInitialLog(controlMember(7))));
  CHECK((Folder.identity() == FolderIdentity{MemberId{7}, 9, 1}));
}

TEST_CASE("storage: two open folders cannot share one path, and starts are "
          "counted") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  writeOutputs(Path, {});
  {
    DataFolder First(Path);
    CHECK_THROWS_AS(DataFolder{Path}, StorageError);
  }
  DataFolder Folder(Path);
  Folder.load();
  CHECK(Folder.identity().m_StartCount == 2);
}

TEST_CASE("storage: an interrupted initialisation leaves an empty folder, and "
          "a lost identity is not taken for one") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  writeOutputs(Path, mixedOutputs());
  std::filesystem::remove(Path / "identity");
  CHECK_THROWS_AS(DataFolder{Path}, StorageError);
  replaceContent(Path / "initialising", "");
  DataFolder Folder(Path);
  CHECK(!Folder.isInitialised());
  Folder.initialise(MemberId{8}, 9);
  CHECK((Folder.load() == PersistedLog{}));
}

TEST_CASE("storage: a log cut off at any byte loads without its torn record "
          "and takes new ones") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  std::vector<PersistedLog> Logs = writeOutputs(Path, mixedOutputs());
  std::string Whole = contentOf(Path / kFirstSegment);
  size_t Loaded = 0;
  for (size_t Length = 0; Length <= Whole.size(); ++Length) {
    replaceContent(Path / kFirstSegment, Whole.substr(0, Length));
    PersistedLog Log = reload(Path);
    while (Loaded < Logs.size() && !(Logs[Loaded] == Log))
      ++Loaded;
    // Logs before the first one are those of an unfinished initialisation.
    bool IsKnown = Loaded < Logs.size();
    if (!IsKnown)
      Loaded = 0;
    CHECK((IsKnown || Log.m_Entries.size() <= 1));
  }
  CHECK(Loaded == Logs.size() - 1);
  replaceContent(Path / kFirstSegment, Whole.substr(0, Whole.size() - 1));
  {
    DataFolder Folder(Path);
    Folder.load();
    Folder.persist(entryOutput(3, 4, "new"));
  }
  CHECK(reload(Path).m_Entries.back().m_Data == "new");
}

TEST_CASE("storage: a flipped byte before the last record is reported with "
          "file and offset, and never drops records silently") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  std::vector<PersistedLog> Logs = writeOutputs(Path, mixedOutputs());
  std::string Whole = contentOf(Path / kFirstSegment);
  size_t LastRecord = 0;
  for (uint64_t Offset = 0; Offset < Whole.size();) {
    LastRecord = Offset;
    Offset = readRecord({MemberId{7}, 1}, Whole, Offset).m_Next;
  }
  for (size_t Index = 0; Index < Whole.size(); ++Index) {
    std::string Damaged = Whole;
    Damaged[Index] = static_cast<char>(Damaged[Index] ^ 0x10);
    replaceContent(Path / kFirstSegment, Damaged);
    if (Index < LastRecord) {
      std::string Failure = loadFailure(Path);
      CHECK(Failure.find(kFirstSegment) != std::string::npos);
      CHECK(Failure.find("at offset ") != std::string::npos);
      CHECK(Failure.find("replace this member") != std::string::npos);
      // A refused folder is left as it was.
      CHECK(contentOf(Path / kFirstSegment) == Damaged);
    } else {
      CHECK((reload(Path) == Logs[Logs.size() - 2]));
    }
  }
}

TEST_CASE("storage: damage of the snapshot or identity is reported") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  writeOutputs(Path, mixedOutputs());
  for (const char *Name : {"snapshot", "identity"}) {
    std::string Whole = contentOf(Path / Name);
    for (size_t Index = 0; Index < Whole.size(); ++Index) {
      std::string Damaged = Whole;
      Damaged[Index] = static_cast<char>(Damaged[Index] ^ 0x10);
      replaceContent(Path / Name, Damaged);
      CHECK(loadFailure(Path).find(Name) != std::string::npos);
      replaceContent(Path / Name, Whole.substr(0, Index));
      CHECK(loadFailure(Path).find(Name) != std::string::npos);
    }
    replaceContent(Path / Name, Whole);
  }
  std::filesystem::remove(Path / "snapshot");
  CHECK(loadFailure(Path).find("missing") != std::string::npos);
}

TEST_CASE("storage: a snapshot deletes the segments it covers, and entries "
          "that were replaced do not return") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  writeOutputs(Path, {});
  PersistedLog Log = makeInitialLog(controlMember(7));
  {
    DataFolder Folder(Path);
    Folder.load();
    std::vector<ConsensusOutput> Outputs;
    for (uint64_t Index = 2; Index <= 20; ++Index)
      Outputs.push_back(entryOutput(1, Index, std::string(300'000, 'x')));
    // Replaces entries 10 to 20 by one in the second segment.
    Outputs.push_back(entryOutput(2, 10, "y"));
    Outputs[5].m_HardState = HardState{5, MemberId{3}};
    for (const ConsensusOutput &Output : Outputs) {
      Folder.persist(Output);
      persist(Log, Output);
    }
    CHECK(std::filesystem::exists(Path / kSecondSegment));
    Snapshot Early{1, 9, membershipOf({7}), "state"};
    CHECK(Folder.writeSnapshot(Early));
    persistSnapshot(Log, Early);
    CHECK(std::filesystem::exists(Path / kFirstSegment));
  }
  CHECK((reload(Path) == Log));
  {
    DataFolder Folder(Path);
    Folder.load();
    uint64_t Before = Folder.logBytes();
    Snapshot Late{2, 20, membershipOf({7}), "state"};
    Folder.persist(entryOutput(2, 11, ""));
    CHECK(Folder.writeSnapshot(Late));
    CHECK(!std::filesystem::exists(Path / kFirstSegment));
    CHECK(Folder.logBytes() < Before / 2);
    Log = PersistedLog{Log.m_HardState, Late, {}};
  }
  CHECK((reload(Path) == Log));
}

TEST_CASE("storage: a missing segment and damage at the end of a segment that "
          "is not the last are reported") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  std::vector<ConsensusOutput> Outputs;
  for (uint64_t Index = 2; Index <= 20; ++Index)
    Outputs.push_back(entryOutput(1, Index, std::string(600'000, 'x')));
  writeOutputs(Path, Outputs);
  REQUIRE(std::filesystem::exists(Path / "log-00000000000000000003"));
  std::string First = contentOf(Path / kFirstSegment);
  replaceContent(Path / kFirstSegment, First.substr(0, First.size() - 1));
  CHECK(loadFailure(Path).find(kFirstSegment) != std::string::npos);
  std::filesystem::remove(Path / kFirstSegment);
  CHECK(loadFailure(Path).find("missing") != std::string::npos);
  replaceContent(Path / kFirstSegment, First);
  std::filesystem::remove(Path / kSecondSegment);
  CHECK(loadFailure(Path).find(kSecondSegment) != std::string::npos);
}

TEST_CASE("storage: a process that ends between the steps of writing a "
          "snapshot leaves the old or the new one") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  PersistedLog Log = writeOutputs(Path, mixedOutputs()).back();
  // The temporary file was written, in part or as a whole, but not renamed.
  replaceContent(Path / "snapshot.tmp", "incomplete");
  CHECK((reload(Path) == Log));
  CHECK(!std::filesystem::exists(Path / "snapshot.tmp"));
  // An install that ends after it was announced in the log: a folder in the
  // place of the temporary file makes the next step fail.
  ConsensusOutput Install;
  Install.m_InstalledSnapshot = Snapshot{2, 3, membershipOf({7}), "leader's"};
  {
    DataFolder Folder(Path);
    Folder.load();
    std::filesystem::create_directory(Path / "snapshot.tmp");
    CHECK_THROWS_AS(Folder.persist(Install), StorageError);
    // What reached the disk is unknown after a failed write.
    CHECK_THROWS_AS(Folder.persist(entryOutput(2, 5, "")), StorageError);
    std::filesystem::remove(Path / "snapshot.tmp");
  }
  CHECK((reload(Path) == Log));
  // An own snapshot later does not complete that install.
  Snapshot Own{2, 3, membershipOf({7}), "own"};
  {
    DataFolder Folder(Path);
    Folder.load();
    CHECK(Folder.writeSnapshot(Own));
  }
  persistSnapshot(Log, Own);
  CHECK((reload(Path) == Log));
  // The renamed snapshot completes it: no entry of the old log remains.
  SnapshotFile Installed{1, *Install.m_InstalledSnapshot};
  replaceContent(Path / "snapshot",
                 encodeRecord({MemberId{7}, 0}, 0, encodeValue(Installed)));
  CHECK((reload(Path) ==
         PersistedLog{Log.m_HardState, *Install.m_InstalledSnapshot, {}}));
}

TEST_CASE("storage: an installed snapshot replaces the log, with entries that "
          "follow it") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  std::vector<ConsensusOutput> Outputs = mixedOutputs();
  Outputs.push_back(entryOutput(3, 51, "after"));
  Outputs.back().m_HardState = HardState{3, {}};
  Outputs.back().m_InstalledSnapshot =
      Snapshot{3, 50, membershipOf({7, 8}), std::string(3'000'000, 's')};
  PersistedLog Expected = writeOutputs(Path, Outputs).back();
  CHECK((reload(Path) == Expected));
  CHECK(!std::filesystem::exists(Path / kFirstSegment));
}

TEST_CASE("storage: a restart after 1,000 changes takes less than a second") {
  TemporaryFolder Temporary;
  std::filesystem::path Path = Temporary / "data";
  std::vector<ConsensusOutput> Outputs;
  for (uint64_t Index = 2; Index <= 1'001; ++Index)
    Outputs.push_back(entryOutput(1, Index, std::string(300, 'x')));
  PersistedLog Expected = writeOutputs(Path, Outputs).back();
  std::chrono::steady_clock::time_point Begin =
      std::chrono::steady_clock::now();
  PersistedLog Log = reload(Path);
  Duration Took = std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now() - Begin);
  MESSAGE("load took " << Took.count() << " us");
  CHECK((Log == Expected));
  CHECK(Took < std::chrono::seconds(1));
}
