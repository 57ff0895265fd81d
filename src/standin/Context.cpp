#include "standin/Context.h"

#include <limits>

namespace almondpier {

/// Marks older than the longest lag that the fault request accepts.
constexpr std::chrono::seconds kKeepMarks{120};
constexpr uint32_t kIdleConnectionMs = 600'000;
constexpr size_t kMaxBodyBytes = 256U << 10U;

void AppendTimes::note(Time Now, uint64_t LastIndex) {
  while (!m_Marks.empty() && m_Marks.back().m_LastIndex > LastIndex)
    m_Marks.pop_back();
  if (m_Marks.empty() || m_Marks.back().m_LastIndex < LastIndex)
    m_Marks.push_back(Mark{Now, LastIndex});
  while (m_Marks.size() > 1 && m_Marks[1].m_At < Now - kKeepMarks)
    m_Marks.pop_front();
}

uint64_t AppendTimes::visibleIndex(Time Now, Duration Lag) const {
  if (Lag == Duration::zero())
    return std::numeric_limits<uint64_t>::max();
  uint64_t Visible = 0;
  for (const Mark &Mark : m_Marks) {
    if (Mark.m_At > Now - Lag)
      break;
    Visible = Mark.m_LastIndex;
  }
  return Visible;
}

static HttpServerLimits limits() {
  HttpServerLimits Limits;
  Limits.m_MaxBodyBytes = kMaxBodyBytes;
  Limits.m_IdleTimeoutMs = kIdleConnectionMs;
  return Limits;
}

EndpointServer::EndpointServer(StandInContext &Context, const Endpoint &Local,
                               HttpServer::Callbacks Callbacks)
    : m_Context(Context),
      m_Server(Context.m_Loop, Local, limits(),
               {std::move(Callbacks.m_OnRequest),
                [this, OnClose = std::move(Callbacks.m_OnClose)](
                    HttpConnectionId Connection) {
                  m_Held.erase(Connection);
                  if (OnClose)
                    OnClose(Connection);
                }}) {}

void EndpointServer::answer(HttpRequestId Request, HttpConnectionId Connection,
                            const HttpResponse &Response) {
  if (m_Context.isIsolated()) {
    m_Held.insert(Connection);
    return;
  }
  m_Server.reply(Request, Response);
}

void EndpointServer::answerAlways(HttpRequestId Request,
                                  const HttpResponse &Response) {
  m_Server.reply(Request, Response);
}

void EndpointServer::closeHeld() {
  std::set<HttpConnectionId> Held = std::move(m_Held);
  m_Held.clear();
  for (const HttpConnectionId &Connection : Held)
    m_Server.close(Connection);
}

} // namespace almondpier
