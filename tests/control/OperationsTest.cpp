#include "almondpier/Operations.h"
#include "almondpier/ControlHost.h"

#include "FreeEndpoint.h"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace almondpier;

namespace {

const std::string kOperatorKey = "0123456789abcdef0123456789abcdef";

/// A control host on a thread of its own.
class RunningControl {
public:
  explicit RunningControl(const ControlHostSettings &Settings)
      : m_Thread([this, Settings] {
          EventLoop Loop;
          ControlHost Host(Loop, Settings);
          Timer Watch(Loop, std::chrono::milliseconds(10), [&] {
            if (m_Stop.exchange(false))
              Host.shutDown();
          });
          Host.run();
        }) {}
  ~RunningControl() {
    m_Stop = true;
    m_Thread.join();
  }
  RunningControl(const RunningControl &) = delete;
  RunningControl &operator=(const RunningControl &) = delete;

private:
  std::atomic<bool> m_Stop{false};
  std::thread m_Thread;
};

struct Fixture {
  std::string m_Folder =
      "/tmp/almondpier-control-" + std::to_string(::getpid());
  ControlHostSettings m_Settings;
  OperationsOptions m_Options;
  std::string m_Output;
  std::string m_Errors;

  Fixture() {
    std::filesystem::remove_all(m_Folder);
    m_Settings.m_Host = {"c1"};
    m_Settings.m_Zone = {"z1"};
    m_Settings.m_Peer = freeEndpoint();
    m_Settings.m_Operations = freeEndpoint();
    m_Settings.m_FleetSecret = {"0123456789abcdef0123456789abcdef"};
    m_Settings.m_AnnouncementSecret = "announce-announce";
    m_Settings.m_Operators = {{digestOfKey(kOperatorKey), "ann"}};
    m_Settings.m_DataFolder = m_Folder;
    m_Settings.m_Bootstrap = true;
    m_Options.m_Control = {freeEndpoint(), m_Settings.m_Operations};
    m_Options.m_OperatorKey = kOperatorKey;
  }
  ~Fixture() { std::filesystem::remove_all(m_Folder); }
  Fixture(const Fixture &) = delete;
  Fixture &operator=(const Fixture &) = delete;

  OperationsExit run(const std::vector<std::string> &Words) {
    std::ostringstream Out;
    std::ostringstream Errors;
    OperationsExit Exit = runOperation(Words, m_Options, Out, Errors);
    m_Output = Out.str();
    m_Errors = Errors.str();
    return Exit;
  }
};

/// Sends one request and returns the status of its response; 0 without one.
int statusOf(const Endpoint &Peer,
             const HttpClientConnection::Request &Request) {
  EventLoop Loop;
  HttpClientConnection Connection(Loop, Peer, std::chrono::seconds(5));
  int Status = 0;
  Connection.send(
      Request, [&](const std::variant<HttpResponse,
                                      HttpClientConnection::Failure> &Result) {
        if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
          Status = Response->m_Status;
        Loop.stop();
      });
  Loop.run();
  return Status;
}

constexpr int kBadRequest = 400;
const std::vector<HttpHeader> kOperatorHeaders{
    {"Authorization", "Bearer " + kOperatorKey}};

} // namespace

// Guards against the end of a control host by a body that is no object.
TEST_CASE("control: requests with another JSON value than an object are "
          "refused") {
  Fixture Test;
  RunningControl Control(Test.m_Settings);
  REQUIRE((Test.run({"keys", "list"}) == OperationsExit::Done));
  for (const std::string Body :
       {"[]", "7", "\"change\"", "null", "true", "{}", "{\"change\":[]}",
        "{\"change\":{\"type\":7}}", "[{\"change\":{}}]"})
    for (const char *Target : {"/v1/changes", "/v1/members"}) {
      CAPTURE(Body);
      CHECK(statusOf(Test.m_Settings.m_Operations,
                     {HttpMethod::Post, Target, kOperatorHeaders, Body}) ==
            kBadRequest);
    }
  CHECK((Test.run({"keys", "list"}) == OperationsExit::Done));
}

// Guards against the end of a control host by a refusal that quotes bytes which
// are not UTF-8.
TEST_CASE("control: requests with any bytes are refused and do not end the "
          "control host") {
  Fixture Test;
  RunningControl Control(Test.m_Settings);
  REQUIRE((Test.run({"keys", "list"}) == OperationsExit::Done));
  const Endpoint &Peer = Test.m_Settings.m_Operations;
  CHECK(statusOf(
            Peer,
            {HttpMethod::Get, "/v1/audit?after=%ff", kOperatorHeaders, {}}) ==
        kBadRequest);
  CHECK(statusOf(Peer, {HttpMethod::Post,
                        "/v1/announcements",
                        {{"Authorization", "Bearer announce-announce"}},
                        "{\"zone\":\"\xff\"}"}) == kBadRequest);
  constexpr uint32_t kSeed = 7;
  constexpr int kRounds = 200;
  constexpr int kChangesPerRound = 3;
  std::mt19937 Random(kSeed);
  std::uniform_int_distribution<int> AnyByte(0, UINT8_MAX);
  const std::string Valid =
      R"({"change_id":"c","expected_version":1,"change":{"type":"x"}})";
  for (int Round = 0; Round < kRounds; ++Round) {
    std::string Body = Valid;
    for (int Count = 0; Count < kChangesPerRound; ++Count)
      Body[Random() % Body.size()] = static_cast<char>(AnyByte(Random));
    CAPTURE(Body);
    CHECK(statusOf(Peer, {HttpMethod::Post, "/v1/changes", kOperatorHeaders,
                          Body}) == kBadRequest);
  }
  CHECK((Test.run({"keys", "list"}) == OperationsExit::Done));
}

TEST_CASE("control: the command line creates, issues and resends once, and its "
          "changes survive a restart of the control host") {
  Fixture Test;
  Test.m_Options.m_ChangeId = "id-1";
  {
    RunningControl Control(Test.m_Settings);
    CHECK((Test.run({"organisations", "create", "prairie"}) ==
           OperationsExit::Done));
    // Sent again by hand: no second effect, no refusal.
    CHECK((Test.run({"organisations", "create", "prairie"}) ==
           OperationsExit::Done));
    Test.m_Options.m_ChangeId.clear();
    CHECK((Test.run({"organisations", "create", "prairie"}) ==
           OperationsExit::Refused));
    Test.m_Options.m_ExpectVersion = 7;
    CHECK((Test.run({"organisations", "create", "paip"}) ==
           OperationsExit::VersionConflict));
    Test.m_Options.m_ExpectVersion.reset();
    CHECK(
        (Test.run({"keys", "issue", "prairie", "k1"}) == OperationsExit::Done));
    CHECK(Test.m_Output.find("key (shown once)") != std::string::npos);
    CHECK((Test.run({"organisations", "invent"}) == OperationsExit::Usage));
  }
  RunningControl Control(Test.m_Settings);
  CHECK((Test.run({"keys", "list"}) == OperationsExit::Done));
  CHECK(Test.m_Output.find("k1") != std::string::npos);
  CHECK((Test.run({"audit"}) == OperationsExit::Done));
  CHECK(Test.m_Output.find("version_conflict") != std::string::npos);
}

TEST_CASE("control: an unknown operator key is refused, and without a leader "
          "the command line says so") {
  Fixture Test;
  Test.m_Options.m_LeaderTimeout = std::chrono::milliseconds(300);
  CHECK((Test.run({"keys", "list"}) == OperationsExit::NoLeader));
  Test.m_Options.m_LeaderTimeout = std::chrono::seconds(20);
  RunningControl Control(Test.m_Settings);
  CHECK((Test.run({"keys", "list"}) == OperationsExit::Done));
  Test.m_Options.m_OperatorKey = "another-key-another-key";
  CHECK((Test.run({"keys", "list"}) == OperationsExit::Refused));
  CHECK(Test.m_Errors.find("operator key") != std::string::npos);
}

TEST_CASE("control: the command line evacuates, restores and lists zones, and "
          "the audit trail shows who did it") {
  Fixture Test;
  RunningControl Control(Test.m_Settings);
  CHECK(
      (Test.run({"zones", "evacuate", "nowhere"}) == OperationsExit::Refused));
  CHECK(Test.m_Errors.find("no host or instance is in the zone") !=
        std::string::npos);
  CHECK((Test.run({"zones", "evacuate"}) == OperationsExit::Usage));
  CHECK((Test.run({"zones", "restore", "nowhere"}) == OperationsExit::Done));
  CHECK((Test.run({"zones", "list"}) == OperationsExit::Done));
  CHECK(Test.m_Output.find("evacuated") != std::string::npos);
  CHECK((Test.run({"audit"}) == OperationsExit::Done));
  CHECK(Test.m_Output.find("restore zone nowhere") != std::string::npos);
  CHECK(Test.m_Output.find("ann") != std::string::npos);
}

// Guards against a message that blames the control host for text of the command
// line that JSON cannot carry.
TEST_CASE("control: the command line refuses text that is not UTF-8 itself") {
  Fixture Test;
  RunningControl Control(Test.m_Settings);
  REQUIRE((Test.run({"keys", "list"}) == OperationsExit::Done));
  const std::string Invalid = "caf\xe9";
  CHECK((Test.run({"organisations", "create", Invalid}) ==
         OperationsExit::Usage));
  CHECK(Test.m_Errors.find("UTF-8") != std::string::npos);
  CHECK((Test.run({"members", "remove", Invalid}) == OperationsExit::Usage));
  CHECK((Test.run({"zones", "restore", Invalid}) == OperationsExit::Usage));
  Test.m_Options.m_Vote = Invalid;
  CHECK((Test.run({"presets", "define", "ordinary"}) == OperationsExit::Usage));
  Test.m_Options.m_Vote.reset();
  Test.m_Options.m_ChangeId = Invalid;
  CHECK((Test.run({"organisations", "create", "prairie"}) ==
         OperationsExit::Usage));
}

// Guards against a text of an operator that adds lines to a table.
TEST_CASE("control: a vote with a line feed stays on its line of the table") {
  Fixture Test;
  RunningControl Control(Test.m_Settings);
  Test.m_Options.m_Vote = "2026-12\npeak: max_read_age_ms 0\tx\x1b[2J";
  REQUIRE(
      (Test.run({"presets", "define", "ordinary"}) == OperationsExit::Done));
  Test.m_Options.m_Vote.reset();
  REQUIRE((Test.run({"presets", "list"}) == OperationsExit::Done));
  CHECK(Test.m_Output.find("\npeak: max_read_age_ms 0") == std::string::npos);
  CHECK(Test.m_Output.find('\x1b') == std::string::npos);
  CHECK(Test.m_Output.find("vote '2026-12 peak: max_read_age_ms 0 x [2J'") !=
        std::string::npos);
}
