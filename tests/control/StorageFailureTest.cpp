#include "almondpier/ControlHost.h"
#include "almondpier/Storage.h"
#include "storage/File.h"

#include "FreeEndpoint.h"
#include "storage/TemporaryFolder.h"

#include <doctest/doctest.h>

#include <cerrno>

using namespace almondpier;
using std::chrono::milliseconds;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr size_t kLargeBytes = 100'000;

/// Control hosts on one loop, with disks that can be made full.
class Hosts {
public:
  explicit Hosts(size_t Count) {
    std::vector<Endpoint> Peers;
    for (size_t Index = 0; Index < Count; ++Index)
      Peers.push_back(freeEndpoint());
    for (size_t Index = 0; Index < Count; ++Index) {
      ControlHostSettings Settings;
      Settings.m_Host = {"c" + std::to_string(Index)};
      Settings.m_Zone = {"z1"};
      Settings.m_Peer = Peers[Index];
      Settings.m_Operations = freeEndpoint();
      Settings.m_FleetSecret = {"0123456789abcdef0123456789abcdef"};
      Settings.m_DataFolder = m_Folder / std::to_string(Index);
      Settings.m_Founders = Peers;
      m_Settings.push_back(Settings);
    }
    m_Hosts.resize(Count);
    injectFileFaults([this](FileOperation Operation,
                            const std::filesystem::path &Path, size_t &Bytes) {
      if (Operation == FileOperation::Append && Bytes > m_RoomBytes)
        return ENOSPC;
      // An existing file can be opened on a full disk.
      if (Operation == FileOperation::Create && std::filesystem::exists(Path))
        return 0;
      for (const std::pair<const size_t, std::set<FileOperation>> &Entry :
           m_Failing)
        if (Entry.second.contains(Operation) &&
            Path.string().starts_with(m_Settings[Entry.first].m_DataFolder))
          return Operation == FileOperation::Sync ? EIO : ENOSPC;
      return 0;
    });
  }
  ~Hosts() { injectFileFaults({}); }
  Hosts(const Hosts &) = delete;
  Hosts &operator=(const Hosts &) = delete;

  void start(size_t Index) {
    m_Hosts[Index].reset();
    m_Hosts[Index] = std::make_unique<ControlHost>(m_Loop, m_Settings[Index]);
  }
  void startAll() {
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      start(Index);
  }
  void fill(size_t Index) {
    m_Failing[Index] = {FileOperation::Create, FileOperation::Append};
  }
  void breakSync(size_t Index) { m_Failing[Index] = {FileOperation::Sync}; }
  void repair(size_t Index) { m_Failing.erase(Index); }

  /// Rethrows what ends a host.
  void run(Duration Time) {
    for (const std::unique_ptr<ControlHost> &Host : m_Hosts) {
      if (!Host)
        continue;
      OneShotTimer Pause(m_Loop, Time / m_Hosts.size(), [&] { m_Loop.stop(); });
      Host->run();
    }
  }
  bool runUntil(const std::function<bool()> &Condition, Duration Limit) {
    for (Time Until = m_Loop.now() + Limit; m_Loop.now() < Until;) {
      if (Condition())
        return true;
      run(milliseconds(15));
    }
    return Condition();
  }

  HttpResponse get(size_t Index, const std::string &Target) {
    HttpClientConnection Connection(m_Loop, m_Settings[Index].m_Operations,
                                    std::chrono::seconds(5));
    std::optional<HttpResponse> Result;
    Connection.send(
        {HttpMethod::Get, Target, {}, {}},
        [&](const std::variant<HttpResponse, HttpClientConnection::Failure>
                &Answer) {
          const HttpResponse *Response = std::get_if<HttpResponse>(&Answer);
          Result = Response != nullptr ? *Response : HttpResponse{0, {}, {}};
        });
    REQUIRE(
        runUntil([&] { return Result.has_value(); }, std::chrono::seconds(6)));
    return *Result;
  }
  bool isReady(size_t Index) { return get(Index, "/readyz").m_Status == kOk; }
  bool areAllReady() {
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      if (!isReady(Index))
        return false;
    return true;
  }
  bool reportsFailure(size_t Index) {
    return get(Index, "/metrics")
               .m_Body.find("\nalmondpier_control_storage_failed 1") !=
           std::string::npos;
  }
  const ControlBlackboard &board(size_t Index) const {
    return m_Hosts[Index]->core().blackboard();
  }
  std::optional<size_t> leader() const {
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      if (m_Hosts[Index] && board(Index).m_IsLeader)
        return Index;
    return std::nullopt;
  }

  /// Installs a policy; returns the answer.
  ReplyToOperation install(size_t Index, uint64_t Version,
                           size_t SourceBytes = 0) {
    InstallPolicy Install;
    Install.m_Policy.m_Version = Version;
    Install.m_Source = "version " + std::to_string(Version);
    Install.m_Source.resize(std::max(SourceBytes, Install.m_Source.size()));
    std::optional<ReplyToOperation> Answer;
    m_Hosts[Index]->installPolicy(
        Install, [&](const ReplyToOperation &Reply) { Answer = Reply; });
    REQUIRE(
        runUntil([&] { return Answer.has_value(); }, std::chrono::seconds(6)));
    return *Answer;
  }
  bool isInstalled(size_t Index, uint64_t Version) {
    ReplyToOperation Answer = install(Index, Version);
    return Answer.m_Outcome && Answer.m_Outcome->m_Accepted;
  }
  std::string installedAt(size_t Index) const {
    return board(Index).m_State.policySource();
  }
  /// Answers of a host to a change and to an instance, when they come at once.
  std::vector<ReplyToOperation> immediateAnswers(size_t Index) {
    std::vector<ReplyToOperation> Answers;
    ControlHost::OnReply Keep = [&](const ReplyToOperation &Reply) {
      Answers.push_back(Reply);
    };
    m_Hosts[Index]->installPolicy({}, Keep);
    m_Hosts[Index]->readBarrier(Keep);
    m_Hosts[Index]->checkIn({}, Keep);
    return Answers;
  }

  TemporaryFolder m_Folder{memoryFolder()};
  EventLoop m_Loop;
  std::vector<ControlHostSettings> m_Settings;
  std::vector<std::unique_ptr<ControlHost>> m_Hosts;
  std::map<size_t, std::set<FileOperation>> m_Failing;
  /// Size of the largest write that any disk takes.
  size_t m_RoomBytes = SIZE_MAX;
};

constexpr Duration kElectionLimit = std::chrono::seconds(10);
/// Room is noticed within 500 ms; an election and the proof of leadership
/// follow.
constexpr Duration kRecoveryLimit = std::chrono::seconds(2);

void checkRefusals(Hosts &Test, size_t Index) {
  CHECK(Test.get(Index, "/livez").m_Status == kOk);
  CHECK(Test.get(Index, "/readyz").m_Status == kUnavailable);
  CHECK(Test.reportsFailure(Index));
  std::vector<ReplyToOperation> Answers = Test.immediateAnswers(Index);
  REQUIRE(Answers.size() == 3);
  for (const ReplyToOperation &Answer : Answers) {
    REQUIRE(Answer.m_Error);
    CHECK(Answer.m_Error->m_Kind == ErrorKind::NotLeader);
    CHECK(Answer.m_Error->m_Message.starts_with("not ready"));
  }
}

} // namespace

// Guards against a host that ends, or that acknowledges a change although it
// was not written.
TEST_CASE("control storage: a host with a full disk stays up, acknowledges "
          "nothing, and recovers") {
  Hosts Test(1);
  Test.startAll();
  REQUIRE(Test.runUntil([&] { return Test.isReady(0); }, kElectionLimit));
  REQUIRE(Test.isInstalled(0, 1));
  CHECK(!Test.reportsFailure(0));
  SUBCASE("no space") { Test.fill(0); }
  SUBCASE("sync fails") { Test.breakSync(0); }
  // A disk with room for a vote must not be taken for one that has room again.
  SUBCASE("room for small writes") { Test.m_RoomBytes = kLargeBytes / 2; }
  ReplyToOperation Answer = Test.install(0, 2, kLargeBytes);
  CHECK(!Answer.m_Outcome);
  REQUIRE(Answer.m_Error);
  CHECK(Answer.m_Error->m_Kind == ErrorKind::OutcomeUnknown);
  checkRefusals(Test, 0);
  // Several attempts to open the folder.
  Test.run(milliseconds(1'300));
  checkRefusals(Test, 0);
  Test.repair(0);
  Test.m_RoomBytes = SIZE_MAX;
  CHECK(Test.runUntil([&] { return Test.isReady(0); }, kRecoveryLimit));
  CHECK(!Test.reportsFailure(0));
  REQUIRE(Test.isInstalled(0, 3));
  CHECK(Test.installedAt(0) == "version 3");
  // The accepted changes outlast a restart.
  Test.start(0);
  REQUIRE(Test.runUntil([&] { return Test.isReady(0); }, kElectionLimit));
  CHECK(Test.installedAt(0) == "version 3");
}

// Guards against a leader without a disk that keeps the others from electing
// one, and against a fleet that does not recover when all disks were full.
TEST_CASE("control storage: the others elect a leader, and three full disks at "
          "once lose nothing") {
  Hosts Test(3);
  Test.startAll();
  REQUIRE(Test.runUntil([&] { return Test.areAllReady(); }, kElectionLimit));
  // The founders accept changes once they know that all of them have a disk.
  REQUIRE(Test.runUntil(
      [&] { return Test.leader() && Test.isInstalled(*Test.leader(), 1); },
      kElectionLimit));
  size_t First = Test.leader().value();
  Test.fill(First);
  CHECK(!Test.install(First, 2).m_Outcome);
  checkRefusals(Test, First);
  REQUIRE(
      Test.runUntil([&] { return Test.leader().has_value(); }, kElectionLimit));
  CHECK(*Test.leader() != First);
  REQUIRE(Test.isInstalled(*Test.leader(), 3));
  CHECK(!Test.isReady(First));
  Test.repair(First);
  CHECK(Test.runUntil([&] { return Test.isReady(First); }, kRecoveryLimit));
  CHECK(Test.runUntil([&] { return Test.installedAt(First) == "version 3"; },
                      kRecoveryLimit));

  for (size_t Index = 0; Index < 3; ++Index)
    Test.fill(Index);
  CHECK(!Test.install(Test.leader().value(), 4).m_Outcome);
  // Those that write fail; one that is left finds no majority.
  CHECK(Test.runUntil(
      [&] { return !Test.isReady(0) && !Test.isReady(1) && !Test.isReady(2); },
      kElectionLimit));
  Test.run(std::chrono::seconds(1));
  for (size_t Index = 0; Index < 3; ++Index)
    Test.repair(Index);
  CHECK(Test.runUntil([&] { return Test.areAllReady(); }, kElectionLimit));
  CHECK(
      Test.runUntil([&] { return Test.leader().has_value(); }, kElectionLimit));
  CHECK(Test.installedAt(*Test.leader()) >= "version 3");
  CHECK(Test.isInstalled(*Test.leader(), 5));
}

// Guards against a host that ends at its start because the disk is full.
TEST_CASE("control storage: a host that starts on a full disk waits for room") {
  Hosts Test(1);
  Test.fill(0);
  // With an empty folder, and with one that holds a log.
  for (uint64_t Version : {1, 2}) {
    Test.startAll();
    Test.run(std::chrono::seconds(1));
    checkRefusals(Test, 0);
    Test.repair(0);
    REQUIRE(Test.runUntil([&] { return Test.isReady(0); }, kRecoveryLimit));
    REQUIRE(Test.isInstalled(0, Version));
    Test.fill(0);
  }
}

// Guards against a shutdown that waits for a disk.
TEST_CASE("control storage: a host with a full disk shuts down when asked") {
  Hosts Test(1);
  Test.fill(0);
  Test.startAll();
  Test.m_Hosts[0]->shutDown();
  Time Begin = Test.m_Loop.now();
  Test.m_Hosts[0]->run();
  CHECK(Test.m_Loop.now() - Begin < std::chrono::seconds(1));
}

// Guards against damage that is taken for a lack of space and retried forever.
TEST_CASE("control storage: a log that is damaged ends a host that waits for "
          "room") {
  Hosts Test(1);
  Test.startAll();
  REQUIRE(Test.runUntil([&] { return Test.isReady(0); }, kElectionLimit));
  REQUIRE(Test.isInstalled(0, 1));
  Test.fill(0);
  Test.install(0, 2);
  std::filesystem::path Log =
      std::filesystem::path(Test.m_Settings[0].m_DataFolder) /
      "log-00000000000000000001";
  std::string Content = contentOf(Log);
  Content[20] = static_cast<char>(Content[20] ^ 0x10);
  replaceContent(Log, Content);
  try {
    Test.run(std::chrono::seconds(2));
    FAIL("the host did not end");
  } catch (const StorageError &Failure) {
    CHECK(dynamic_cast<const StorageUnavailable *>(&Failure) == nullptr);
    CHECK(std::string(Failure.what()).find("at offset") != std::string::npos);
  }
}

// Guards against votes, acknowledgements and answers of a member whose data
// folder cannot be written.
TEST_CASE("control storage: a core without storage sends nothing and refuses") {
  ControlOptions Options;
  Options.m_Self.m_Id = MemberId{7};
  Options.m_Self.m_IsDurable = true;
  Options.m_ClusterId = 9;
  Options.m_Log = makeInitialLog(Options.m_Self);
  ControlOptions Unavailable;
  Unavailable.m_Self = Options.m_Self;
  Unavailable.m_IsStorageAvailable = false;
  Unavailable.m_JoinPeers = {Endpoint{"127.0.0.1", 1}};
  Time Now{std::chrono::hours(1)};
  ControlCore Core(Options, Now);
  auto Tick = [&] {
    ControlActions Actions;
    for (int Round = 0; Round < 200; ++Round) {
      Now += milliseconds(10);
      Core.handle(ClockTick{1}, Now, Actions);
    }
    return Actions;
  };
  Tick();
  CHECK(Core.blackboard().m_IsLeader);
  Core.restart(Unavailable, Now);
  CHECK(Tick().empty());
  CHECK(!Core.isReady());
  CHECK(!Core.blackboard().m_IsLeader);
  ControlActions Actions;
  ConsensusMessage Message{MemberId{8}, MemberId{7}, 9, {}};
  Core.handle(MessageReceived{LinkId{2}, Message}, Now, Actions);
  Core.handle(MessageReceived{LinkId{2}, PollRequest{}}, Now, Actions);
  CHECK(Actions.empty());
  Core.handle(OperatorRead{OperationId{3}}, Now, Actions);
  REQUIRE(Actions.size() == 1);
  CHECK(std::get<ReplyToOperation>(Actions[0]).m_Error.has_value());
  Core.restart(Options, Now);
  Tick();
  CHECK(Core.blackboard().m_IsLeader);
}
