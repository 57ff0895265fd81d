/// \file
/// HTTP endpoint for operators, instance announcements, health checks and
/// metrics.
#pragma once

#include "almondpier/ControlHost.h"
#include "decision/control/ControlCore.h"

#include <unordered_map>

namespace almondpier {

/// Translates HTTP requests into events of the control core, and the core's
/// replies into HTTP responses.
class OperationsServer {
public:
  using Handler = std::function<void(const ControlEvent &)>;

  OperationsServer(EventLoop &Loop, const ControlHostSettings &Settings,
                   const ControlCore &Core, Handler OnEvent);

  void reply(const ReplyToOperation &Reply);
  std::vector<OperationId> pendingOperations() const;
  void stopAccepting() { m_Server.stopAccepting(); }
  size_t requestsInFlight() const { return m_Server.requestsInFlight(); }

private:
  enum class RequestKind : uint8_t {
    Change,
    Configuration,
    Audit,
    Announcement
  };
  struct PendingRequest {
    HttpRequestId m_Request;
    RequestKind m_Kind = RequestKind::Change;
    uint64_t m_AuditAfter = 0;
    size_t m_AuditLimit = 0;
  };

  void handle(const HttpServerRequest &Request);
  void handleUnauthenticated(const HttpServerRequest &Request);
  void handleAnnouncement(const HttpServerRequest &Request);
  void handleOperator(const HttpServerRequest &Request);
  void handleChange(const HttpServerRequest &Request, const std::string &Actor);
  void handleMembers(const HttpServerRequest &Request,
                     const std::string &Actor);
  void handleRead(const HttpServerRequest &Request, RequestKind Kind);
  std::string authenticateOperator(const HttpServerRequest &Request) const;
  OperationId addPending(const PendingRequest &Pending);
  HttpResponse responseTo(const PendingRequest &Pending,
                          const ReplyToOperation &Reply) const;
  std::string auditPage(const PendingRequest &Pending) const;
  std::string metrics() const;
  void replyWithJson(HttpRequestId Request, int Status, std::string Body);
  void replyWithError(HttpRequestId Request, const Error &Error);

  const ControlHostSettings &m_Settings;
  const ControlCore &m_Core;
  Handler m_OnEvent;
  uint64_t m_LastOperation = 0;
  std::unordered_map<uint64_t, PendingRequest> m_PendingRequests;
  uint64_t m_ReceivedRequests = 0;
  uint64_t m_RefusedRequests = 0;
  HttpServer m_Server;
};

} // namespace almondpier
