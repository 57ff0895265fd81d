#include "almondpier/Proxy.h"
#include "almondpier/StandIn.h"
#include "proxy/FakeControl.h"

#include <algorithm>

#include "FreeEndpoint.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <unistd.h>

using namespace almondpier;
using std::chrono::milliseconds;

namespace {

constexpr const char *kSecret = "the fleet secret of the test";

/// A control host on real sockets that answers polls and lends tokens.
class ControlHost {
public:
  ControlHost(EventLoop &Loop, const Endpoint &Local)
      : m_Listener(Loop, FleetSecret{kSecret}, Local,
                   [this](std::unique_ptr<Link> Accepted) {
                     accept(std::move(Accepted));
                   }),
        m_Datagrams(Loop, FleetSecret{kSecret}, Local,
                    [this](const Endpoint &, const Message &Received) {
                      if (std::holds_alternative<Heartbeat>(Received))
                        ++m_Heartbeats;
                    }) {
    m_Control.m_Members.push_back(ControlMember{
        MemberId{1}, HostName{"control"}, AvailabilityZone{"a"}, Local, {}});
    m_Control.m_Leader = HostName{"control"};
  }

  FakeControl m_Control;
  uint64_t m_Heartbeats = 0;

private:
  void accept(std::unique_ptr<Link> Accepted) {
    Link *Raw = Accepted.get();
    m_Links.push_back(std::move(Accepted));
    Raw->setCallbacks(
        {{},
         [this, Raw](const Message &Received) { answer(*Raw, Received); },
         {}});
  }
  void answer(Link &To, const Message &Received) {
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Received))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        To.send(Reply);
    if (const TokenRequest *Request = std::get_if<TokenRequest>(&Received))
      To.send(m_Control.lend(*Request));
  }

  std::vector<std::unique_ptr<Link>> m_Links;
  LinkListener m_Listener;
  DatagramSocket m_Datagrams;
};

/// One stand-in instance, one control host and two proxies on one loop.
class TestDeployment {
public:
  static constexpr size_t kProxies = 2;

  TestDeployment() {
    InstanceRecord Instance;
    Instance.m_Database = DatabaseName{"races"};
    Instance.m_Name = InstanceName{"races-0"};
    Instance.m_Zone = AvailabilityZone{"a"};
    Instance.m_StatementEndpoint = freeEndpoint();
    Instance.m_PlatformEndpoint = freeEndpoint();
    Instance.m_GroupSize = 1;
    StandInSettings Settings;
    Settings.m_Instance = Instance;
    m_Database = std::make_unique<StandInServer>(m_Loop, Settings);
    post(Instance.m_PlatformEndpoint, "/seal", R"({"term":1})", {});
    post(Instance.m_PlatformEndpoint, "/promote", R"({"term":1})", {});

    FakeControl &Control = m_Control.m_Control;
    Control.accept(CreateOrganisation{{"climbers"}});
    Control.accept(
        IssueKey{KeyId{"key-1"}, KeyRecord{{"climbers"}, digestOfKey("k1")}});
    Control.accept(RegisterInstance{Instance});
    Control.accept(BeginTerm{Instance.m_Database, 1});
    Control.accept(
        ElectPrimary{Instance.m_Database, Instance.m_Name, TermStart{1, 0}});
    std::vector<LiveHost> Live;
    for (size_t Number = 0; Number < kProxies; ++Number) {
      ProxySettings Proxy;
      Proxy.m_Host = HostRecord{HostName{"host-" + std::to_string(Number)},
                                AvailabilityZone{"a"}, freeEndpoint()};
      Proxy.m_Listen = freeEndpoint();
      Proxy.m_Control = {m_ControlEndpoint};
      Proxy.m_FleetSecret = kSecret;
      Control.accept(RegisterHost{Proxy.m_Host});
      Live.push_back(LiveHost{Proxy.m_Host.m_Name, true});
      m_Listen.push_back(Proxy.m_Listen);
      m_Proxies.push_back(std::make_unique<ProxyServer>(m_Loop, Proxy));
    }
    Control.setLive(Live);
    for (const Endpoint &Proxy : m_Listen)
      waitUntil([&] { return get(Proxy, "/readyz").m_Status == 200; });
  }

  void waitUntil(const std::function<bool()> &Condition) {
    constexpr int kMaxRounds = 1'000;
    for (int Round = 0; Round < kMaxRounds && !Condition(); ++Round) {
      OneShotTimer Pause(m_Loop, milliseconds(10), [&] { m_Loop.stop(); });
      m_Loop.run();
    }
  }

  HttpResponse exchange(const Endpoint &Peer,
                        const HttpClientConnection::Request &Request) {
    HttpClientConnection Connection(m_Loop, Peer, std::chrono::seconds(20));
    HttpResponse Result;
    Result.m_Status = 0;
    Connection.send(
        Request,
        [&](const std::variant<HttpResponse, HttpClientConnection::Failure>
                &Answer) {
          if (const HttpResponse *Response = std::get_if<HttpResponse>(&Answer))
            Result = *Response;
          m_Loop.stop();
        });
    m_Loop.run();
    return Result;
  }
  HttpResponse get(const Endpoint &Peer, const std::string &Target) {
    return exchange(Peer, {HttpMethod::Get, Target, {}, {}});
  }
  HttpResponse post(const Endpoint &Peer, const std::string &Target,
                    const std::string &Body, std::vector<HttpHeader> Headers) {
    return exchange(Peer, {HttpMethod::Post, Target, std::move(Headers), Body});
  }
  HttpResponse call(size_t Proxy, const std::string &Route,
                    const std::string &Body,
                    std::vector<HttpHeader> Headers = {}) {
    Headers.push_back({"Authorization", "Bearer k1"});
    return post(m_Listen.at(Proxy), "/v1/databases/races/" + Route, Body,
                std::move(Headers));
  }

  EventLoop m_Loop;
  Endpoint m_ControlEndpoint = freeEndpoint();
  ControlHost m_Control{m_Loop, m_ControlEndpoint};
  std::unique_ptr<StandInServer> m_Database;
  std::vector<Endpoint> m_Listen;
  std::vector<std::unique_ptr<ProxyServer>> m_Proxies;
};

std::string kindOf(const HttpResponse &Response) {
  return nlohmann::json::parse(Response.m_Body).at("error").at("kind");
}

} // namespace

TEST_CASE("a write through one proxy is read through each proxy over HTTP; "
          "guards against messages or headers that are lost on the way") {
  TestDeployment Deployment;
  HttpResponse Written = Deployment.call(
      0, "write", R"({"op":"put","key":"bib-7","value":"Ana"})");
  REQUIRE(Written.m_Status == 200);
  std::string Token(Written.header("Session-Token"));
  CHECK(!Token.empty());
  for (size_t Proxy = 0; Proxy < TestDeployment::kProxies; ++Proxy) {
    HttpResponse Read =
        Deployment.call(Proxy, "read", R"({"op":"get","key":"bib-7"})",
                        {{"Session-Token", Token}});
    CHECK(Read.m_Status == 200);
    CHECK(Read.m_Body.find("Ana") != std::string::npos);
  }
  Deployment.waitUntil([&] { return Deployment.m_Control.m_Heartbeats >= 4; });
  CHECK(Deployment.m_Control.m_Heartbeats >= 4);
}

TEST_CASE("invalid requests get the fixed error shape; guards against requests "
          "that reach a database unchecked") {
  TestDeployment Deployment;
  const Endpoint &Proxy = Deployment.m_Listen[0];
  CHECK(kindOf(Deployment.get(Proxy, "/v1/databases/races/read")) ==
        "unknown_route");
  CHECK(kindOf(Deployment.get(Proxy, "/metric")) == "unknown_route");
  CHECK(kindOf(Deployment.call(0, "read", "{not json")) == "bad_request");
  CHECK(kindOf(Deployment.call(0, "read", "")) == "bad_request");
  CHECK(kindOf(Deployment.call(0, "read",
                               "\"" + std::string(70'000, 'x') + "\"")) ==
        "body_too_large");
  CHECK(kindOf(Deployment.call(0, "read", "{}", {{"Timeout-Ms", "30001"}})) ==
        "bad_request");
  CHECK(kindOf(Deployment.call(0, "write", "{}",
                               {{"Idempotency-Key", "a b"}})) == "bad_request");
  HttpResponse Refused =
      Deployment.post(Proxy, "/v1/databases/races/read", "{}", {});
  CHECK(Refused.m_Status == 401);
  nlohmann::json Error = nlohmann::json::parse(Refused.m_Body).at("error");
  CHECK(Error.at("ran") == "no");
  CHECK(Error.contains("message"));
  CHECK(Error.contains("remedy"));
  CHECK(Error.contains("retry_after_ms"));
}

// Guards against a path whose segments are compared in their encoded form.
TEST_CASE("an outcome is found by the encoded form of its Idempotency-Key") {
  TestDeployment Deployment;
  CHECK(Deployment
            .call(0, "write", R"({"op":"put","key":"a","value":"b"})",
                  {{"Idempotency-Key", "run-7"}})
            .m_Status == 200);
  for (const char *Id : {"run-7", "run%2D7", "%72%75%6e%2d%37"}) {
    CAPTURE(Id);
    CHECK(Deployment
              .exchange(Deployment.m_Listen[0],
                        {HttpMethod::Get,
                         std::string("/v1/databases/races/requests/") + Id,
                         {{"Authorization", "Bearer k1"}},
                         {}})
              .m_Status == 200);
  }
}

TEST_CASE("the open routes answer without a key, and metrics name no key") {
  TestDeployment Deployment;
  const Endpoint &Proxy = Deployment.m_Listen[0];
  CHECK(Deployment.get(Proxy, "/livez").m_Status == 200);
  Deployment.call(0, "read", R"({"op":"get","key":"a"})");
  HttpResponse Metrics = Deployment.get(Proxy, "/metrics");
  CHECK(Metrics.m_Body.find("almondpier_requests_total 1") !=
        std::string::npos);
  CHECK(Metrics.m_Body.find("k1") == std::string::npos);
}

TEST_CASE("a transaction runs over HTTP through the proxy that does not own "
          "it; guards against steps that reach another connection") {
  TestDeployment Deployment;
  HttpResponse Begun = Deployment.call(0, "transactions", "");
  REQUIRE(Begun.m_Status == 200);
  std::string Token = nlohmann::json::parse(Begun.m_Body).at("transaction");
  std::string Route = "transactions/" + Token;
  CHECK(Deployment
            .call(1, Route + "/statements",
                  R"({"op":"put","key":"slot","value":"taken"})")
            .m_Status == 200);
  CHECK(Deployment.call(1, Route + "/commit", "").m_Status == 200);
  HttpResponse Read =
      Deployment.call(0, "read", R"({"op":"get","key":"slot"})");
  CHECK(Read.m_Body.find("taken") != std::string::npos);
}
