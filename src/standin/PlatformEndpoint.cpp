#include "standin/PlatformEndpoint.h"

#include "standin/Records.h"
#include "standin/Statement.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

constexpr uint64_t kMaxWaitMs = 5'000;
constexpr uint32_t kMaxFaultMs = 60'000;

static HttpResponse jsonResponse(int Status, std::string Body) {
  return HttpResponse{
      Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

static uint64_t numberOf(const HttpServerRequest &Request,
                         std::string_view Name) {
  std::string Text = Request.queryValue(Name);
  uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

PlatformEndpoint::PlatformEndpoint(StandInContext &Context,
                                   std::function<void()> OnChange)
    : m_Context(Context), m_OnChange(std::move(OnChange)),
      m_Server(
          Context, Context.m_Settings.m_Instance.m_PlatformEndpoint,
          {[this](HttpServerRequest Request) { handle(std::move(Request)); },
           [this](HttpConnectionId Connection) {
             std::erase_if(m_Waiting, [&](const Waiting &Entry) {
               return Entry.m_Request.m_Connection == Connection;
             });
           }}) {}

void PlatformEndpoint::handle(HttpServerRequest Request) {
  if (Request.m_Path == "/fault") {
    m_Server.answerAlways(Request.m_Id, setFaults(Request.m_Body));
    return;
  }
  if (m_Context.isIsolated()) {
    m_Server.answer(Request.m_Id, Request.m_Connection, {});
    return;
  }
  if (Request.m_Method == HttpMethod::Get) {
    handleGet(std::move(Request));
    return;
  }
  HttpResponse Response = handlePost(Request);
  m_Server.answer(Request.m_Id, Request.m_Connection, Response);
  m_OnChange();
}

void PlatformEndpoint::handleGet(HttpServerRequest Request) {
  uint64_t WaitMs = std::min(numberOf(Request, "wait_ms"), kMaxWaitMs);
  std::optional<HttpResponse> Response = answerOf(Request, WaitMs == 0);
  if (Response) {
    m_Server.answer(Request.m_Id, Request.m_Connection, *Response);
    return;
  }
  Time Until = m_Context.m_Loop.now() + std::chrono::milliseconds(WaitMs);
  m_Waiting.push_back(Waiting{std::move(Request), Until});
}

void PlatformEndpoint::answerWaiting() {
  Time Now = m_Context.m_Loop.now();
  std::erase_if(m_Waiting, [&](const Waiting &Entry) {
    std::optional<HttpResponse> Response =
        answerOf(Entry.m_Request, Entry.m_Until <= Now);
    if (!Response)
      return false;
    m_Server.answer(Entry.m_Request.m_Id, Entry.m_Request.m_Connection,
                    *Response);
    return true;
  });
}

std::optional<HttpResponse>
PlatformEndpoint::answerOf(const HttpServerRequest &Request,
                           bool IsLast) const {
  if (Request.m_Path == "/status")
    return statusOf(Request, IsLast);
  if (Request.m_Path == "/log")
    return logOf(Request, IsLast);
  return jsonResponse(404, errorBody("no such request"));
}

std::optional<HttpResponse>
PlatformEndpoint::statusOf(const HttpServerRequest &Request,
                           bool IsLast) const {
  Position Wanted{numberOf(Request, "wait_term"),
                  numberOf(Request, "wait_index")};
  if (!IsLast && m_Context.m_Instance.position() < Wanted)
    return std::nullopt;
  return statusResponse(200);
}

std::optional<HttpResponse>
PlatformEndpoint::logOf(const HttpServerRequest &Request, bool IsLast) const {
  Position After{numberOf(Request, "after_term"),
                 numberOf(Request, "after_index")};
  uint64_t Visible = m_Context.m_AppendTimes.visibleIndex(
      m_Context.m_Loop.now(),
      std::chrono::milliseconds(numberOf(Request, "lag_ms")));
  StandInLogBatch Part = m_Context.m_Instance.entriesAfter(
      After, numberOf(Request, "term"), Visible);
  if (!Part.m_IsPrimary)
    return jsonResponse(409, errorBody("not the primary of this term"));
  if (!IsLast && !Part.m_TruncateTo && Part.m_Entries.empty())
    return std::nullopt;
  return jsonResponse(200, encodeLogPart(Part));
}

HttpResponse PlatformEndpoint::statusResponse(int Code) const {
  StandInStatus Status = m_Context.m_Instance.status();
  Json Body{{"instance", Status.m_Instance.m_Value},
            {"term", Status.m_Position.m_Term},
            {"index", Status.m_Position.m_Index},
            {"sealed_term", Status.m_SealedTerm},
            {"role", std::string(nameOf(Status.m_Role))},
            {"departing", m_Context.m_IsDeparting}};
  return jsonResponse(Code, Body.dump());
}

HttpResponse PlatformEndpoint::handlePost(const HttpServerRequest &Request) {
  StandInInstance &Instance = m_Context.m_Instance;
  try {
    Json Body = Json::parse(Request.m_Body);
    uint64_t Term = Body.at("term").get<uint64_t>();
    if (Request.m_Path == "/seal")
      return statusResponse(Instance.seal(Term) ? 200 : 409);
    if (Request.m_Path == "/promote") {
      std::optional<uint64_t> Start = Instance.promote(Term);
      if (!Start)
        return statusResponse(409);
      return jsonResponse(200, Json{{"start_index", *Start}}.dump());
    }
    if (Request.m_Path == "/follow") {
      StandInSource Source{
          Term, InstanceName{Body.at("primary").get<std::string>()},
          parseEndpoint(Body.at("platform").get<std::string>())};
      return statusResponse(Instance.follow(Source) ? 200 : 409);
    }
  } catch (const Json::exception &Failure) {
    return jsonResponse(400, errorBody(Failure.what()));
  } catch (const std::invalid_argument &Failure) {
    return jsonResponse(400, errorBody(Failure.what()));
  }
  return jsonResponse(404, errorBody("no such request"));
}

HttpResponse PlatformEndpoint::setFaults(const std::string &Body) {
  try {
    Json Faults = Json::parse(Body);
    StandInSettings &Settings = m_Context.m_Settings;
    uint32_t ForMs = std::min(Faults.value("for_ms", kMaxFaultMs), kMaxFaultMs);
    bool IsIsolated = Faults.value("isolate", false);
    uint32_t OldLagMs = Settings.m_ReplicationLagMs;
    uint32_t OldStatementMs = Settings.m_StatementDelayMs;
    Settings.m_ReplicationLagMs =
        std::min(Faults.value("lag_ms", OldLagMs), kMaxFaultMs);
    Settings.m_StatementDelayMs =
        std::min(Faults.value("statement_ms", OldStatementMs), kMaxFaultMs);
    m_Context.m_IsDeparting =
        Faults.value("departing", m_Context.m_IsDeparting);
    std::chrono::milliseconds For(ForMs);
    m_Context.m_IsolatedUntil =
        IsIsolated ? m_Context.m_Loop.now() + For : Time{};
    m_EndOfFault = std::make_unique<OneShotTimer>(
        m_Context.m_Loop, For, [this, OldLagMs, OldStatementMs] {
          m_Context.m_Settings.m_ReplicationLagMs = OldLagMs;
          m_Context.m_Settings.m_StatementDelayMs = OldStatementMs;
          m_OnChange();
        });
  } catch (const Json::exception &Failure) {
    return jsonResponse(400, errorBody(Failure.what()));
  }
  return jsonResponse(200, "{}");
}

} // namespace almondpier
