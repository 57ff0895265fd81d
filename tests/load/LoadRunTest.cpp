#include "almondpier/Load.h"
#include "almondpier/Net.h"
#include "almondpier/StandIn.h"

#include "FreeEndpoint.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <unistd.h>

using namespace almondpier;

namespace {

enum class Planted : uint8_t { Nothing, LostWrite, DoubleWrite, StaleRead };

/// A proxy in front of one stand-in instance. One append in ten meets the
/// planted fault.
class FakeProxy {
public:
  FakeProxy(EventLoop &Loop, const Endpoint &Local, Planted Fault)
      : m_Fault(Fault),
        m_Instance(InstanceName{"fake"}, [](std::string_view) {}),
        m_Empty(m_Instance),
        m_Server(Loop, Local, {},
                 {[this](const HttpServerRequest &Request) { handle(Request); },
                  {}}) {
    m_Instance.seal(1);
    m_Instance.promote(1);
  }

private:
  void handle(const HttpServerRequest &Request) {
    StandInAnswer Answer = run(Request);
    HttpResponse Response{
        Answer.m_Status, {{"Session-Token", "token"}}, Answer.m_Body};
    if (Answer.m_Status != 200)
      Response.m_Body =
          std::string(R"({"error":{"ran":"no","kind":")") +
          (Answer.m_Status == 422 ? "statement_failed" : "not_found") +
          R"("}})";
    m_Server.reply(Request.m_Id, Response);
  }

  StandInAnswer run(const HttpServerRequest &Request) {
    const std::string &Path = Request.m_Path;
    std::string RequestId(Request.header("Idempotency-Key"));
    if (Path.ends_with("/read")) {
      bool IsStale = m_Fault == Planted::StaleRead &&
                     !Request.header("Session-Token").empty();
      return (IsStale ? m_Empty : m_Instance).read({}, Request.m_Body);
    }
    if (Path.ends_with("/write"))
      return write(Request.m_Body, RequestId);
    if (Path.ends_with("/transactions")) {
      StandInAnswer Answer = m_Instance.begin(++m_LastTransaction, 1);
      Answer.m_Body =
          R"({"transaction":")" + std::to_string(m_LastTransaction) + R"("})";
      return Answer;
    }
    size_t NameAt = Path.find("/transactions/") + 14;
    uint64_t Transaction = std::strtoull(Path.c_str() + NameAt, nullptr, 10);
    if (Path.ends_with("/statements"))
      return m_Instance.execute(Transaction, Request.m_Body);
    if (Path.ends_with("/commit"))
      return m_Instance.commit(Transaction, RequestId, "digest");
    return m_Instance.rollback(Transaction);
  }

  StandInAnswer write(const std::string &Body, const std::string &RequestId) {
    bool IsHit =
        Body.find("append") != std::string::npos && ++m_Appends % 10 == 0;
    if (IsHit && m_Fault == Planted::LostWrite)
      return StandInAnswer{200, "{}", {}, Ran::Yes, false};
    if (IsHit && m_Fault == Planted::DoubleWrite)
      m_Instance.write(1, Body, "", "");
    return m_Instance.write(1, Body, RequestId, "digest");
  }

  Planted m_Fault;
  StandInInstance m_Instance;
  StandInInstance m_Empty;
  uint64_t m_LastTransaction = 0;
  uint64_t m_Appends = 0;
  HttpServer m_Server;
};

LoadOutcome runAgainst(Planted Fault, double Rate = 0) {
  EventLoop Loop;
  LoadSettings Settings;
  Settings.m_Proxies = {freeEndpoint(), freeEndpoint()};
  Settings.m_Databases = {DatabaseName{"races"}};
  Settings.m_Keys = {{OrganisationName{"a"}, "key-a"},
                     {OrganisationName{"b"}, "key-b"}};
  Settings.m_Concurrency = 4;
  Settings.m_Mix.m_Splits = 40;
  Settings.m_RatePerSecond = Rate;
  Settings.m_Duration = std::chrono::milliseconds(400);
  // The second proxy does not exist, so that sessions also meet a refused
  // connection.
  FakeProxy Proxy(Loop, Settings.m_Proxies[0], Fault);
  return runLoad(Loop, Settings);
}

} // namespace

TEST_CASE("load: a run against a correct proxy finds no violation") {
  LoadOutcome Outcome;
  SUBCASE("closed loop") { Outcome = runAgainst(Planted::Nothing); }
  SUBCASE("open loop") { Outcome = runAgainst(Planted::Nothing, 500); }
  CHECK_MESSAGE(Outcome.m_IsCorrect, Outcome.m_Text);
  CHECK(Outcome.m_Json.find("\"acknowledged\": 0") == std::string::npos);
}

TEST_CASE("load: a run finds a lost write, a double write and stale reads that "
          "the proxy causes") {
  Planted Fault = Planted::LostWrite;
  std::string Expected = "an acknowledged write was lost";
  SUBCASE("lost write") {}
  SUBCASE("double write") {
    Fault = Planted::DoubleWrite;
    Expected = "applied twice";
  }
  SUBCASE("stale read") {
    Fault = Planted::StaleRead;
    Expected = "a session did not see its own write";
  }
  LoadOutcome Outcome = runAgainst(Fault);
  CHECK(!Outcome.m_IsCorrect);
  CHECK(Outcome.m_Text.find(Expected) != std::string::npos);
}
