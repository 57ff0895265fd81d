/// \file
/// Platform endpoint of a stand-in instance: status, terms, log and faults.
#pragma once

#include "standin/Context.h"

namespace almondpier {

class PlatformEndpoint {
public:
  /// OnChange is called after requests that change term, role or faults.
  PlatformEndpoint(StandInContext &Context, std::function<void()> OnChange);

  /// Answers the requests that wait for a position or for entries.
  void answerWaiting();
  void closeHeld() { m_Server.closeHeld(); }

private:
  struct Waiting {
    HttpServerRequest m_Request;
    Time m_Until;
  };

  void handle(HttpServerRequest Request);
  void handleGet(HttpServerRequest Request);
  HttpResponse handlePost(const HttpServerRequest &Request);
  HttpResponse setFaults(const std::string &Body);
  /// Returns nothing while the request is to wait.
  std::optional<HttpResponse> answerOf(const HttpServerRequest &Request,
                                       bool IsLast) const;
  std::optional<HttpResponse> statusOf(const HttpServerRequest &Request,
                                       bool IsLast) const;
  std::optional<HttpResponse> logOf(const HttpServerRequest &Request,
                                    bool IsLast) const;
  HttpResponse statusResponse(int Code) const;

  StandInContext &m_Context;
  std::function<void()> m_OnChange;
  std::vector<Waiting> m_Waiting;
  std::unique_ptr<OneShotTimer> m_EndOfFault;
  EndpointServer m_Server;
};

} // namespace almondpier
