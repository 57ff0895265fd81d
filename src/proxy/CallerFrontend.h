/// \file
/// HTTP server for callers.
#pragma once

#include "almondpier/Telemetry.h"
#include "proxy/ProxyDispatcher.h"

#include <unordered_map>

namespace almondpier {

class CallerFrontend {
public:
  struct Callbacks {
    std::function<bool()> m_IsReady;
    /// Text of /metrics.
    std::function<std::string()> m_Metrics;
  };

  /// Throws Error when the endpoint cannot be bound.
  CallerFrontend(EventLoop &Loop, const Endpoint &Local,
                 uint32_t MaxConnections, ProxyDispatcher &Events,
                 Callbacks Callbacks);

  void reply(const ReplyToCaller &Action);
  /// Answers from now on ask callers to close their connections.
  void beginShutdown() { m_IsShuttingDown = true; }
  void stopAccepting() { m_Server.stopAccepting(); }
  CounterList counters() const;
  const LatencyHistogram &latency() const { return m_Latency; }

private:
  struct OpenRequest {
    HttpConnectionId m_Connection;
    Time m_ArrivedAt;
  };

  void handle(const HttpServerRequest &Request);
  void replyWithText(const HttpServerRequest &Request, int Status,
                     const std::string &Body);
  void onClose(HttpConnectionId Connection);
  void send(HttpRequestId Id, HttpResponse Response);

  EventLoop &m_Loop;
  ProxyDispatcher &m_Events;
  Callbacks m_Callbacks;
  std::unordered_map<uint64_t, OpenRequest> m_Requests;
  std::unordered_map<uint64_t, std::vector<HttpRequestId>> m_ByConnection;
  bool m_IsShuttingDown = false;
  uint64_t m_InvalidRequestCount = 0;
  LatencyHistogram m_Latency;
  HttpServer m_Server;
};

} // namespace almondpier
