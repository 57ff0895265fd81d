#include "platform/src/ControlFrontend.h"

#include "FreeEndpoint.h"
#include "storage/TemporaryFolder.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace almondpier;
using namespace almondpier::platform;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// A control host that forms a cluster of its own, with the platform's
/// interface, on one loop.
class Fixture {
public:
  Fixture() {
    for (const char *Zone : {"north wing", "caf\xc3\xa9/2", "south"})
      REQUIRE(checkIn(Zone) == kOk);
  }

  int post(const std::string &Target, const std::string &Body = "{}") {
    constexpr int kUnavailable = 503;
    constexpr int kMaxTries = 100;
    int Status = kUnavailable;
    for (int Try = 0; Try < kMaxTries && Status == kUnavailable; ++Try) {
      Status = tryPost(Target, Body);
      OneShotTimer Pause(m_Loop, std::chrono::milliseconds(50),
                         [&] { m_Loop.stop(); });
      m_Loop.run();
    }
    return Status;
  }
  int checkIn(const std::string &Zone) {
    ++m_Instances;
    nlohmann::json Body{
        {"service", "races"},
        {"zone", Zone},
        {"address", "10.0.0.1:" + std::to_string(7'000 + m_Instances)},
        {"slots", 2},
        {"state", "ready"},
        {"dbRole", "replica"},
        {"seq", 1}};
    return post("/-/Instances.Heartbeat/i-" + std::to_string(m_Instances),
                Body.dump());
  }
  const std::set<AvailabilityZone> &evacuatedZones() const {
    return m_Host.core().blackboard().configuration().evacuatedZones();
  }
  uint64_t lastChange() const {
    return m_Host.core().blackboard().m_State.audit().lastNumber();
  }

private:
  ControlHostSettings settings() const {
    ControlHostSettings Settings;
    Settings.m_Host = {"c1"};
    Settings.m_Zone = {"south"};
    Settings.m_Peer = freeEndpoint();
    Settings.m_Operations = freeEndpoint();
    Settings.m_FleetSecret = {"0123456789abcdef0123456789abcdef"};
    Settings.m_DataFolder = (m_Folder / "control").string();
    Settings.m_Bootstrap = true;
    return Settings;
  }

  int tryPost(const std::string &Target, const std::string &Body) {
    HttpClientConnection Connection(m_Loop, m_Local, std::chrono::seconds(5));
    int Status = 0;
    Connection.send(
        {HttpMethod::Post, Target, {}, Body},
        [&](const std::variant<HttpResponse, HttpClientConnection::Failure>
                &Result) {
          if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
            Status = Response->m_Status;
          m_Loop.stop();
        });
    m_Loop.run();
    return Status;
  }

  TemporaryFolder m_Folder;
  EventLoop m_Loop;
  Endpoint m_Local = freeEndpoint();
  ControlHost m_Host{m_Loop, settings()};
  ControlFrontend m_Frontend{m_Loop, m_Local, Duration(), m_Host};
  int m_Instances = 0;
};

} // namespace

// Guards against a zone that cannot be evacuated because its name is encoded in
// the path.
TEST_CASE("control frontend: a zone of any name is evacuated and restored") {
  Fixture Test;
  for (const std::pair<const std::string, std::string> &Case :
       std::map<std::string, std::string>{{"north%20wing", "north wing"},
                                          {"caf%C3%A9%2F2", "caf\xc3\xa9/2"},
                                          {"sout%68", "south"}}) {
    INFO(Case.first);
    CHECK(Test.post("/-/Evacuations.Start/" + Case.first) == kOk);
    CHECK(Test.evacuatedZones() ==
          std::set<AvailabilityZone>{AvailabilityZone{Case.second}});
    CHECK(Test.post("/-/Evacuations.End/" + Case.first) == kOk);
    CHECK(Test.evacuatedZones().empty());
  }
  CHECK(Test.post("/-/Evacuations.Start/north") == kNotFound);
}

// Guards against bytes in the audit trail that JSON cannot carry, and against a
// record of a restored zone that nothing can be in.
TEST_CASE("control frontend: a zone whose name is not UTF-8 is refused") {
  Fixture Test;
  uint64_t Before = Test.lastChange();
  for (const char *Zone : {"%ff", "\xff", "south%C3", "%C3%28", "%ED%A0%80"})
    for (const char *Path : {"/-/Evacuations.Start/", "/-/Evacuations.End/"}) {
      CAPTURE(std::string(Zone));
      CHECK(Test.post(std::string(Path) + Zone) == kBadRequest);
    }
  CHECK(Test.lastChange() == Before);
}
