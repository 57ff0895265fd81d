/// \file
/// What the parts of a stand-in server share.
#pragma once

#include "almondpier/Net.h"
#include "almondpier/StandIn.h"

#include <deque>

namespace almondpier {

/// When the entries of the log arrived here, so that a primary can hide recent
/// ones from a lagging replica.
class AppendTimes {
public:
  /// Notes the last index at a time; an index that fell is a truncation.
  void note(Time Now, uint64_t LastIndex);
  /// The last index that is at least Lag old.
  uint64_t visibleIndex(Time Now, Duration Lag) const;

private:
  struct Mark {
    Time m_At;
    uint64_t m_LastIndex = 0;
  };
  std::deque<Mark> m_Marks;
};

struct StandInContext {
  EventLoop &m_Loop;
  StandInSettings m_Settings;
  StandInInstance m_Instance;
  AppendTimes m_AppendTimes;
  bool m_IsDeparting = false;
  /// The instance answers nothing and sends nothing until then.
  Time m_IsolatedUntil{};

  bool isIsolated() const { return m_Loop.now() < m_IsolatedUntil; }
};

/// HTTP server of one endpoint. While the instance is isolated, requests get no
/// answer; their connections are closed when the isolation ends, because a
/// later answer on them could not be matched.
class EndpointServer {
public:
  EndpointServer(StandInContext &Context, const Endpoint &Local,
                 HttpServer::Callbacks Callbacks);

  /// Answers unless the instance is isolated.
  void answer(HttpRequestId Request, HttpConnectionId Connection,
              const HttpResponse &Response);
  /// Answers also while the instance is isolated.
  void answerAlways(HttpRequestId Request, const HttpResponse &Response);
  /// Closes connections whose requests were left without an answer.
  void closeHeld();

private:
  StandInContext &m_Context;
  std::set<HttpConnectionId> m_Held;
  HttpServer m_Server;
};

} // namespace almondpier
