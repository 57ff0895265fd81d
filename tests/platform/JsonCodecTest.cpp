#include "platform/src/JsonCodec.h"
#include "platform/src/SettingsFile.h"

#include <doctest/doctest.h>

#include <random>

using namespace almondpier;
using namespace almondpier::platform;

namespace {

constexpr std::chrono::seconds kWindow{5};

const std::string kConfiguration =
    R"({"version":7,"routes":[)"
    R"({"name":"r1","host":"xapu","pathPrefix":"/","type":"bounded_staleness",)"
    R"("timeoutMs":2000,"sloMs":500,"priority":2,"service":"huvo",)"
    R"("maxAttempts":2,"maxStalenessMs":1500,"allowAnonymous":false},)"
    R"({"name":"r2","host":"lepu","pathPrefix":"/","type":"primary",)"
    R"("timeoutMs":800,"sloMs":150,"priority":1,"service":"huvo",)"
    R"("maxAttempts":2,"allowAnonymous":true}],)"
    R"("services":[{"name":"huvo","maxConns":50,"syncReplicas":1}],)"
    R"("limits":{"txIdleMs":3000},)"
    R"("tenants":[{"name":"nypu","apiKeys":["k1","k2"],"priority":1,)"
    R"("ratePerS":130,"burst":130}]})";

std::string replaced(const std::string &From, const std::string &To) {
  std::string Text = kConfiguration;
  size_t Place = Text.find(From);
  REQUIRE(Place != std::string::npos);
  return Text.replace(Place, From.size(), To);
}

const std::string kHeartbeat =
    R"({"service":"huvo","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":3,"state":"ready","warmupLeftMs":0,"dbRole":"primary",)"
    R"("seq":4,"born":1700000000000})";

/// The heartbeat with another value of a field, given as JSON text.
std::string heartbeatWith(const std::string &Field, const std::string &Value) {
  std::string Text = kHeartbeat;
  size_t Start = Text.find("\"" + Field + "\":");
  REQUIRE(Start != std::string::npos);
  Start += Field.size() + 3;
  return Text.replace(Start, Text.find_first_of(",}", Start) - Start, Value);
}

} // namespace

TEST_CASE("JSON codec: a configuration is decoded into the types of this "
          "project") {
  InstallPolicy Install = decodeConfiguration(kConfiguration, kWindow);
  const FleetPolicy &Policy = Install.m_Policy;
  CHECK(Policy.m_Version == 7);
  CHECK(Install.m_Source == kConfiguration);
  CHECK(Policy.m_TransactionIdleMs == 3'000);
  const RoutePolicy &Aged = Policy.m_Routes.at(RouteName{"xapu"});
  CHECK(Aged.m_Guarantee == ReadGuarantee::BoundedAge);
  CHECK(Aged.m_MaxReadAgeMs == 1'500);
  CHECK(Aged.m_Database == DatabaseName{"huvo"});
  CHECK(Policy.m_Routes.at(RouteName{"lepu"}).m_AllowsAnonymous);
  CHECK(Policy.m_Groups.at(DatabaseName{"huvo"}).m_ConnectionLimit == 50);
  CHECK(Policy.m_Groups.at(DatabaseName{"huvo"}).m_SyncReplicas == 1);
  const OrganisationPolicy &Organisation =
      Policy.m_Organisations.at(OrganisationName{"nypu"});
  CHECK(Organisation.m_Keys.size() == 2);
  CHECK(Organisation.m_Limit.m_RatePerSecond > 130);
}

TEST_CASE("JSON codec: an invalid configuration is rejected") {
  std::vector<std::string> Invalid{
      "",
      "{",
      "[]",
      "null",
      kConfiguration.substr(0, kConfiguration.size() - 1),
      replaced(R"("service":"huvo")", R"("service":"none")"),
      replaced(R"("timeoutMs":800)", R"("timeoutMs":0)"),
      replaced(R"("timeoutMs":800)", R"("timeoutMs":"800")"),
      replaced(R"("timeoutMs":800)", R"("timeoutMs":-1)"),
      replaced(R"("host":"lepu")", R"("host":"xapu")"),
      replaced(R"(["k1","k2"])", R"(["k1","k1"])"),
      replaced(R"(["k1","k2"])", R"(["k1",2])"),
      replaced(R"("type":"primary")", R"("type":"other")"),
      replaced(R"("version":7)", R"("version":"7")"),
      replaced(R"("version":7)", R"("version":7.5)"),
      replaced(R"("version":7,)", ""),
      replaced(R"("tenants")", R"("others")"),
      replaced(R"("limits":{"txIdleMs":3000})", R"("limits":3)")};
  for (const std::string &Text : Invalid) {
    CAPTURE(Text);
    CHECK_THROWS_AS(decodeConfiguration(Text, kWindow), Error);
  }
}

// UNASKED: a name with a separator shifts the fields of the line that opens a
// connection to an instance.
TEST_CASE("JSON codec: a configuration with a name that cannot be a field of a "
          "line is rejected") {
  for (std::string Known : {"\"nypu\"", "\"huvo\""}) {
    for (std::string Name :
         {"", "-", " ", "a b", "a\\nb", "a\\r\\nQUERY", "\\t", "a\\u0000"}) {
      INFO("name '" << Name << "' for " << Known);
      std::string Text = kConfiguration;
      for (size_t At = Text.find(Known); At != std::string::npos;
           At = Text.find(Known))
        Text.replace(At, Known.size(), "\"" + Name + "\"");
      CHECK_THROWS_AS(decodeConfiguration(Text, kWindow), Error);
    }
  }
}

TEST_CASE("JSON codec: unknown fields are ignored") {
  CHECK_NOTHROW(decodeConfiguration(
      replaced(R"("version":7)", R"("version":7,"later":{"x":[1]})"), kWindow));
}

TEST_CASE("JSON codec: a heartbeat is decoded, and one with a missing or "
          "invalid field is rejected") {
  InstanceCheckIn CheckIn = decodeCheckIn("i-1", kHeartbeat);
  CHECK(CheckIn.m_Instance.m_IsPrimary);
  CHECK(CheckIn.m_Instance.m_StartedAtMs == 1'700'000'000'000);
  CHECK(CheckIn.m_Sequence == 4);
  for (const char *Field :
       {"service", "address", "zone", "slots", "state", "dbRole", "seq"}) {
    std::string Missing = kHeartbeat;
    Missing.replace(Missing.find(std::string("\"") + Field + "\"") + 1, 1, "X");
    CAPTURE(Missing);
    CHECK_THROWS_AS(decodeCheckIn("i-1", Missing), Error);
  }
  CHECK_THROWS_AS(decodeCheckIn("i 1", kHeartbeat), Error);
  CHECK_THROWS_AS(decodeCheckIn("i-1", "\xff\xfe"), Error);
}

TEST_CASE("JSON codec: a heartbeat with an address that sockets do not accept "
          "is rejected") {
  // Guards against an entry that ends each process that connects to it.
  for (std::string Address :
       {R"("127.1.101.02:7000")", R"("10.0.0.9:65536")", R"("10.0.0.9:-1")",
        R"("10.0.0.9:0")", R"("10.0.0.9:99999999999999999999")",
        R"("10.0.0.9")", R"("10.0.0.9\u0000:7000")"}) {
    CAPTURE(Address);
    CHECK_THROWS_AS(decodeCheckIn("i-1", heartbeatWith("address", Address)),
                    Error);
  }
}

TEST_CASE("JSON codec: a heartbeat with an oversized field is rejected") {
  // Guards against one odd entry that ends the control hosts, because the
  // directory no longer fits a log entry.
  const std::pair<std::string, size_t> Oversized[] = {
      {"zone", 65}, {"zone", 500'000}, {"version", 500'000}, {"service", 65}};
  for (const std::pair<std::string, size_t> &Field : Oversized) {
    CAPTURE(Field.first);
    CAPTURE(Field.second);
    std::string Value = "\"" + std::string(Field.second, 'z') + "\"";
    CHECK_THROWS_AS(decodeCheckIn("i-1", heartbeatWith(Field.first, Value)),
                    Error);
  }
  std::string Longest = "\"" + std::string(64, 'z') + "\"";
  CHECK_NOTHROW(decodeCheckIn("i-1", heartbeatWith("zone", Longest)));
  CHECK_THROWS_AS(decodeInstanceName(std::string(65, 'i')), Error);
  CHECK_THROWS_AS(decodeInstanceName(""), Error);
}

TEST_CASE("JSON codec: a heartbeat with a number out of range is rejected") {
  // Guards against one odd entry after which the true heartbeats of an instance
  // are ignored, because their numbers are lower.
  const std::pair<std::string, std::string> Invalid[] = {
      {"seq", "18446744073709551615"},
      {"seq", "18446744073709551616"},
      {"seq", "9007199254740993"},
      {"seq", "1e400"},
      {"seq", "-1"},
      {"born", "18446744073709551615"},
      {"born", "1e18"},
      {"slots", "4294967296"},
      {"slots", "1e999"}};
  for (const std::pair<std::string, std::string> &Entry : Invalid) {
    CAPTURE(Entry.first);
    CAPTURE(Entry.second);
    CHECK_THROWS_AS(
        decodeCheckIn("i-1", heartbeatWith(Entry.first, Entry.second)), Error);
  }
  CHECK(decodeCheckIn("i-1", heartbeatWith("seq", "9007199254740992"))
            .m_Sequence == 9'007'199'254'740'992);
}

TEST_CASE("JSON codec: deeply nested documents are decoded or rejected with "
          "Error") {
  // Guards against a decoder that recurses: its stack would end the process.
  auto Nested = [](size_t Depth, bool IsClosed) {
    return std::string(Depth, '[') + (IsClosed ? std::string(Depth, ']') : "");
  };
  CHECK_THROWS_AS(
      decodeCheckIn("i-1", heartbeatWith("slots", Nested(1'000, true))), Error);
  CHECK_NOTHROW(
      decodeCheckIn("i-1", heartbeatWith("version", Nested(7'000, true))));
  for (bool IsClosed : {false, true}) {
    CHECK_THROWS_AS(decodeCheckIn("i-1", Nested(8'000, IsClosed)), Error);
    CHECK_THROWS_AS(decodeCheckIn("i-1", Nested(500'000, IsClosed)), Error);
    CHECK_THROWS_AS(decodeConfiguration(Nested(500'000, IsClosed), kWindow),
                    Error);
  }
  CHECK_NOTHROW(
      decodeConfiguration(replaced(R"("version":7)", R"("version":7,"later":)" +
                                                         Nested(200'000, true)),
                          kWindow));
}

TEST_CASE("JSON codec: mutated and truncated documents are decoded or "
          "rejected with Error") {
  std::mt19937 Random(11);
  for (int Round = 0; Round < 3'000; ++Round) {
    std::string Text = kConfiguration;
    for (uint32_t Count = Random() % 5; Count > 0; --Count)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    if (Random() % 3 == 0)
      Text.resize(Random() % Text.size());
    try {
      decodeConfiguration(Text, kWindow);
    } catch (const Error &) {
      continue;
    }
  }
}

TEST_CASE("settings file: fields are decoded, unknown ones ignored and "
          "invalid ones rejected") {
  HostSettings Host = parseSettings(
      "node=front-1\nip=10.1.0.26\nzone=z\r\nlisten.front=10.1.0.26:8465\n"
      "listen.readiness=10.1.0.26:8460\nlisten.control=10.1.0.26:8462\n"
      "internalPorts=7560,7575\nseeds=10.1.0.26:8462,10.2.0.23:8462\n"
      "bootstrap=true\ndataDir=/data/x\ncloud.address=10.200.0.2:8466\n"
      "bounds.graceS=6\nbounds.revokeMs=5000\nbounds.quotaWindowS=2.5\n"
      "later.field=1\n\nnonsense\n");
  CHECK(Host.m_HostName == "front-1");
  CHECK(Host.m_IsBootstrap);
  CHECK(Host.m_Seeds.size() == 2);
  CHECK((Host.seedPeers()[1] == Endpoint{"10.2.0.23", 7'560}));
  CHECK((Host.proxyPeer() == Endpoint{"10.1.0.26", 7'561}));
  CHECK(Host.m_ShutdownGraceMs == 6'000);
  CHECK(Host.m_RateWindowMs == 2'500);
  CHECK_THROWS_AS(parseSettings("node=x\n"), Error);
  CHECK_THROWS_AS(parseSettings("node=x\nip=1.2.3.4\nzone=z\n"
                                "internalPorts=7560\n"),
                  Error);
  CHECK_THROWS_AS(parseSettings("node=x\nip=1.2.3.4\nzone=z\n"
                                "internalPorts=1,2\nlisten.front=nowhere\n"),
                  Error);
}

// A leave without its start time removed the next boot under the same name.
TEST_CASE("JSON codec: a leave names the boot that ends") {
  InstanceCheckIn Leave = decodeLeave("i-1", R"({"born":1767225600123})");
  CHECK(Leave.m_IsLeaving);
  CHECK(Leave.m_Instance.m_Name == InstanceName{"i-1"});
  CHECK(Leave.m_Instance.m_StartedAtMs == 1'767'225'600'123);
  CHECK(decodeLeave("i-1", "").m_Instance.m_StartedAtMs == 0);
  CHECK(decodeLeave("i-1", "{}").m_Instance.m_StartedAtMs == 0);
  for (const char *Invalid : {R"({"born":"x"})", R"({"born":1.5})", "[", "[]"})
    CHECK_THROWS_AS(decodeLeave("i-1", Invalid), Error);
}
