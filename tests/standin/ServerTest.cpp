#include "almondpier/Net.h"
#include "almondpier/StandIn.h"

#include "FreeEndpoint.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <unistd.h>

using namespace almondpier;

namespace {

/// One instance and a client that waits for each answer.
struct Server {
  EventLoop &m_Loop;
  StandInSettings m_Settings;
  StandInServer m_Server;

  Server(EventLoop &Loop, const std::string &Name, StandInSettings Settings)
      : m_Loop(Loop), m_Settings(named(Name, std::move(Settings))),
        m_Server(Loop, m_Settings) {}

  static StandInSettings named(const std::string &Name,
                               StandInSettings Settings) {
    Settings.m_Instance.m_Name.m_Value = Name;
    Settings.m_Instance.m_StatementEndpoint = freeEndpoint();
    Settings.m_Instance.m_PlatformEndpoint = freeEndpoint();
    return Settings;
  }
  std::unique_ptr<HttpClientConnection>
  connect(std::chrono::milliseconds Limit = std::chrono::seconds(10)) {
    return std::make_unique<HttpClientConnection>(
        m_Loop, m_Settings.m_Instance.m_StatementEndpoint, Limit);
  }
  /// Status 0 stands for no answer.
  HttpResponse ask(HttpClientConnection &Connection, HttpMethod Method,
                   const std::string &Target, const std::string &Body,
                   const std::vector<HttpHeader> &Headers = {}) const {
    HttpResponse Answer;
    Answer.m_Status = 0;
    Connection.send(
        {Method, Target, Headers, Body},
        [&](const std::variant<HttpResponse, HttpClientConnection::Failure>
                &Result) {
          if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
            Answer = *Response;
          m_Loop.stop();
        });
    m_Loop.run();
    return Answer;
  }
  HttpResponse platform(const std::string &Target,
                        const std::string &Body) const {
    HttpClientConnection Connection(m_Loop,
                                    m_Settings.m_Instance.m_PlatformEndpoint,
                                    std::chrono::seconds(10));
    return ask(Connection, Body.empty() ? HttpMethod::Get : HttpMethod::Post,
               Target, Body);
  }
  HttpResponse write(HttpClientConnection &Connection, const std::string &Body,
                     const std::string &RequestId = "") const {
    return ask(Connection, HttpMethod::Post, "/write", Body,
               {{"Term", "1"},
                {"Request-Id", RequestId},
                {"Statement-Digest", "digest"}});
  }
  void promote() const {
    REQUIRE(platform("/seal", R"({"term":1})").m_Status == 200);
    REQUIRE(platform("/promote", R"({"term":1})").m_Status == 200);
  }
};

const std::string kPut = R"({"op":"put","key":"k","value":1})";
const std::string kGet = R"({"op":"get","key":"k"})";

} // namespace

TEST_CASE("stand-in server: a replica copies the log of its primary and a "
          "waiting status answers at the position, no earlier than the lag") {
  EventLoop Loop;
  StandInSettings Settings;
  Server Primary(Loop, "one", Settings);
  Settings.m_ReplicationLagMs = 150;
  Server Replica(Loop, "two", Settings);
  Primary.promote();
  REQUIRE(
      Replica
          .platform("/follow",
                    R"({"term":1,"primary":"one","platform":")" +
                        formatEndpoint(
                            Primary.m_Settings.m_Instance.m_PlatformEndpoint) +
                        R"("})")
          .m_Status == 200);
  std::unique_ptr<HttpClientConnection> Connection = Primary.connect();
  Time Before = Loop.now();
  HttpResponse Written = Primary.write(*Connection, kPut);
  REQUIRE(Written.m_Status == 200);
  CHECK(Written.header("Term") == "1");
  CHECK(Written.header("Index") == "2");
  HttpResponse Status =
      Replica.platform("/status?wait_term=1&wait_index=2&wait_ms=5000", "");
  CHECK(Loop.now() - Before >= std::chrono::milliseconds(150));
  CHECK(Status.m_Body.find(R"("index":2)") != std::string::npos);
  std::unique_ptr<HttpClientConnection> Reader = Replica.connect();
  HttpResponse Read = Replica.ask(*Reader, HttpMethod::Post, "/read", kGet);
  CHECK(Read.m_Body == R"({"key":"k","value":1})");
  CHECK(Read.header("Index") == "2");
  CHECK(Replica.write(*Reader, kPut).header("Ran") == "no");
  CHECK(Replica.ask(*Reader, HttpMethod::Post, "/read", kPut).m_Status == 400);
}

TEST_CASE("stand-in server: a closed connection rolls its transaction back and "
          "frees its place below the connection limit") {
  EventLoop Loop;
  StandInSettings Settings;
  Settings.m_Instance.m_ConnectionLimit = 1;
  Server Primary(Loop, "one", Settings);
  Primary.promote();
  std::unique_ptr<HttpClientConnection> First = Primary.connect();
  REQUIRE(Primary.ask(*First, HttpMethod::Post, "/begin", "", {{"Term", "1"}})
              .m_Status == 200);
  REQUIRE(Primary.ask(*First, HttpMethod::Post, "/execute", kPut).m_Status ==
          200);
  std::unique_ptr<HttpClientConnection> Second = Primary.connect();
  HttpResponse Refused = Primary.write(*Second, kPut);
  CHECK(Refused.m_Status == 409);
  CHECK(Refused.header("Ran") == "no");
  First.reset();
  HttpResponse Read;
  for (int Try = 0; Try < 100 && Read.m_Body.empty(); ++Try) {
    std::unique_ptr<HttpClientConnection> Third = Primary.connect();
    HttpResponse Answer = Primary.ask(*Third, HttpMethod::Post, "/read", kGet);
    if (Answer.m_Status == 200)
      Read = Answer;
  }
  CHECK(Read.m_Body == R"({"key":"k","value":null})");
  CHECK(Primary.m_Server.instance().openTransactions() == 0);
}

TEST_CASE("stand-in server: an isolated instance answers nothing, and what it "
          "received has no answer afterwards either") {
  EventLoop Loop;
  Server Primary(Loop, "one", StandInSettings{});
  Primary.promote();
  std::unique_ptr<HttpClientConnection> Connection = Primary.connect();
  REQUIRE(Primary.write(*Connection, kPut).m_Status == 200);
  REQUIRE(
      Primary.platform("/fault", R"({"isolate":true,"for_ms":300})").m_Status ==
      200);
  CHECK(Primary.write(*Connection, kPut).m_Status == 0);
  Connection = Primary.connect();
  CHECK(Primary.write(*Connection, kPut).header("Index") == "3");
}
