#include "proxy/CallerFrontend.h"

#include "proxy/CallerRoutes.h"

namespace almondpier {

static HttpServerLimits limitsOf(uint32_t MaxConnections) {
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = kMaxCallerBodyBytes;
  Limits.m_MaxConnections = MaxConnections;
  return Limits;
}

CallerFrontend::CallerFrontend(EventLoop &Loop, const Endpoint &Local,
                               uint32_t MaxConnections, ProxyDispatcher &Events,
                               Callbacks Callbacks)
    : m_Loop(Loop), m_Events(Events), m_Callbacks(std::move(Callbacks)),
      m_Server(
          Loop, Local, limitsOf(MaxConnections),
          HttpServer::Callbacks{
              [this](const HttpServerRequest &Request) { handle(Request); },
              [this](HttpConnectionId Connection) { onClose(Connection); }}) {}

void CallerFrontend::send(HttpRequestId Id, HttpResponse Response) {
  if (m_IsShuttingDown)
    Response.m_Headers.push_back({"Connection", "close"});
  m_Server.reply(Id, Response);
}

void CallerFrontend::replyWithText(const HttpServerRequest &Request, int Status,
                                   const std::string &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers = {{"Content-Type", "text/plain; charset=utf-8"}};
  Response.m_Body = Body;
  send(Request.m_Id, std::move(Response));
}

void CallerFrontend::handle(const HttpServerRequest &Request) {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  if (Request.m_Method == HttpMethod::Get) {
    if (Request.m_Path == "/livez") {
      replyWithText(Request, kOk, "ok\n");
      return;
    }
    if (Request.m_Path == "/readyz") {
      bool IsReady = m_Callbacks.m_IsReady();
      replyWithText(Request, IsReady ? kOk : kUnavailable,
                    IsReady ? "ready\n" : "not ready\n");
      return;
    }
    if (Request.m_Path == "/metrics") {
      replyWithText(Request, kOk, m_Callbacks.m_Metrics());
      return;
    }
  }
  try {
    CallerRequest Parsed = parseCallerRequest(Request);
    m_Requests[Request.m_Id.m_Value] =
        OpenRequest{Request.m_Connection, m_Loop.now()};
    m_ByConnection[Request.m_Connection.m_Value].push_back(Request.m_Id);
    m_Events.dispatch(std::move(Parsed));
  } catch (const Error &Failure) {
    ++m_InvalidRequestCount;
    send(Request.m_Id, errorResponse(ErrorReport{Failure.kind(), Failure.what(),
                                                 Ran::No, 0}));
  }
}

void CallerFrontend::reply(const ReplyToCaller &Action) {
  auto Found = m_Requests.find(Action.m_Id.m_Value);
  if (Found == m_Requests.end())
    return;
  m_Latency.record(m_Loop.now() - Found->second.m_ArrivedAt);
  HttpRequestId Id{Action.m_Id.m_Value};
  auto Connection = m_ByConnection.find(Found->second.m_Connection.m_Value);
  std::erase(Connection->second, Id);
  if (Connection->second.empty())
    m_ByConnection.erase(Connection);
  m_Requests.erase(Found);
  send(Id, callerResponse(Action));
}

void CallerFrontend::onClose(HttpConnectionId Connection) {
  auto Found = m_ByConnection.find(Connection.m_Value);
  if (Found == m_ByConnection.end())
    return;
  std::vector<HttpRequestId> Abandoned = std::move(Found->second);
  m_ByConnection.erase(Found);
  for (HttpRequestId Id : Abandoned) {
    m_Requests.erase(Id.m_Value);
    m_Events.dispatch(CallerDisconnected{CallerRequestId{Id.m_Value}});
  }
}

CounterList CallerFrontend::counters() const {
  return {{"almondpier_caller_connections", "Open connections of callers",
           static_cast<double>(m_Server.connections())},
          {"almondpier_invalid_requests_total",
           "Requests with an invalid route, header or body",
           static_cast<double>(m_InvalidRequestCount)}};
}

} // namespace almondpier
