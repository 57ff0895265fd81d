/// \file
/// HTTP endpoint for operators, announcements and metrics.
#pragma once

#include "almondpier/ControlHost.h"
#include "decision/control/ControlCore.h"

#include <unordered_map>

namespace almondpier {

/// Translates HTTP requests into events of the core and its answers back.
class OperationsServer {
public:
  using Handler = std::function<void(const ControlEvent &)>;

  OperationsServer(EventLoop &Loop, const ControlHostSettings &Settings,
                   const ControlCore &Core, Handler OnEvent);

  void reply(const ReplyToOperation &Reply);
  void stopAccepting() { m_Server.stopAccepting(); }
  size_t requestsInFlight() const { return m_Server.requestsInFlight(); }

private:
  enum class Kind : uint8_t { Change, Configuration, Audit, Announcement };
  struct Pending {
    HttpRequestId m_Request;
    Kind m_Kind = Kind::Change;
    uint64_t m_AuditAfter = 0;
    size_t m_AuditLimit = 0;
  };

  void handle(const HttpServerRequest &Request);
  void handleOpen(const HttpServerRequest &Request);
  void handleAnnouncement(const HttpServerRequest &Request);
  void handleOperator(const HttpServerRequest &Request);
  void handleChange(const HttpServerRequest &Request, const std::string &Actor);
  void handleMembers(const HttpServerRequest &Request,
                     const std::string &Actor);
  void handleRead(const HttpServerRequest &Request, Kind Kind);
  std::string operatorOf(const HttpServerRequest &Request) const;
  OperationId remember(const Pending &Pending);
  HttpResponse responseTo(const Pending &Pending,
                          const ReplyToOperation &Reply) const;
  std::string auditPage(const Pending &Pending) const;
  std::string metrics() const;
  void answer(HttpRequestId Request, int Status, std::string Body);
  void refuse(HttpRequestId Request, const Error &Error);

  const ControlHostSettings &m_Settings;
  const ControlCore &m_Core;
  Handler m_OnEvent;
  uint64_t m_LastOperation = 0;
  std::unordered_map<uint64_t, Pending> m_Pending;
  uint64_t m_Requests = 0;
  uint64_t m_Refused = 0;
  HttpServer m_Server;
};

} // namespace almondpier
