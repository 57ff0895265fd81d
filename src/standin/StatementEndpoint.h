/// \file
/// Statement endpoint of a stand-in instance: connection limit, connection
/// time, slots and statement time.
#pragma once

#include "standin/Context.h"

namespace almondpier {

class StatementEndpoint {
public:
  /// OnChange is called after requests that may have changed the log.
  StatementEndpoint(StandInContext &Context, std::function<void()> OnChange);

  void closeHeld() { m_Server.closeHeld(); }

private:
  using Work = std::function<StandInAnswer()>;
  struct Job {
    HttpRequestId m_Request;
    HttpConnectionId m_Connection;
    Work m_Work;
  };

  void handle(const HttpServerRequest &Request);
  /// Throws Error when a header is invalid.
  Work workOf(const HttpServerRequest &Request);
  void enqueue(Job Job);
  void start(Job Job);
  void finish(const Job &Job);
  void startWaiting();
  void answer(const Job &Job, const StandInAnswer &Answer);
  void forget(HttpConnectionId Connection);

  StandInContext &m_Context;
  std::function<void()> m_OnChange;
  std::set<HttpConnectionId> m_Connections;
  std::deque<Job> m_Waiting;
  size_t m_Running = 0;
  uint64_t m_LastDelay = 0;
  std::map<uint64_t, std::unique_ptr<OneShotTimer>> m_Delays;
  EndpointServer m_Server;
};

} // namespace almondpier
