#include "proxy/InstanceConnections.h"

#include <charconv>

namespace almondpier {

// The core ends statements at their deadlines, which are at most 30 s.
static constexpr std::chrono::seconds kConnectionTimeout{40};

static std::string targetOf(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Read:
    return "/read";
  case RequestKind::Write:
    return "/write";
  case RequestKind::Begin:
    return "/begin";
  case RequestKind::Execute:
    return "/execute";
  case RequestKind::Commit:
    return "/commit";
  case RequestKind::Rollback:
    return "/rollback";
  case RequestKind::Outcome:
    return "/outcome";
  }
  return "/";
}

static HttpClientConnection::Request makeRequest(const SendStatement &Action) {
  HttpClientConnection::Request Request;
  Request.m_Method = Action.m_Kind == RequestKind::Outcome ? HttpMethod::Get
                                                           : HttpMethod::Post;
  Request.m_Target = targetOf(Action.m_Kind);
  Request.m_Body = Action.m_Statement;
  if (Action.m_Term != 0)
    Request.m_Headers.push_back({"Term", std::to_string(Action.m_Term)});
  if (!Action.m_RequestId.empty())
    Request.m_Headers.push_back({"Request-Id", Action.m_RequestId});
  if (!Action.m_StatementDigest.empty())
    Request.m_Headers.push_back({"Statement-Digest", Action.m_StatementDigest});
  return Request;
}

static uint64_t parseNumber(std::string_view Text) {
  uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

static InstanceAnswer parseAnswer(const HttpResponse &Response) {
  InstanceAnswer Answer;
  Answer.m_HttpStatus = Response.m_Status;
  Answer.m_Position = Position{parseNumber(Response.header("Term")),
                               parseNumber(Response.header("Index"))};
  Answer.m_Body = Response.m_Body;
  // Without the header, a refused statement may have run.
  Answer.m_Ran = Response.header("Ran") != "no";
  Answer.m_IdempotencyMismatch = Response.header("Idempotency-Mismatch") == "1";
  return Answer;
}

void InstanceConnections::open(const OpenConnection &Action) {
  ConnectionId Id = Action.m_Connection;
  std::unique_ptr<HttpClientConnection> Opened =
      std::make_unique<HttpClientConnection>(m_Loop, Action.m_Instance,
                                             kConnectionTimeout);
  Opened->setOnClose([this, Id] {
    m_Connections.erase(Id.m_Value);
    m_Events.dispatch(ConnectionClosed{Id});
  });
  m_Connections[Id.m_Value] = std::move(Opened);
  ++m_OpenedCount;
}

void InstanceConnections::close(const CloseConnection &Action) {
  m_Connections.erase(Action.m_Connection.m_Value);
}

void InstanceConnections::send(const SendStatement &Action) {
  ConnectionId Id = Action.m_Connection;
  auto Found = m_Connections.find(Id.m_Value);
  if (Found == m_Connections.end()) {
    m_Events.dispatch(InstanceAnswered{
        Id, InstanceFailure{"the connection is closed", true}});
    return;
  }
  ++m_StatementCount;
  Found->second->send(
      makeRequest(Action),
      [this, Id](const std::variant<HttpResponse, HttpClientConnection::Failure>
                     &Result) {
        if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result)) {
          m_Events.dispatch(InstanceAnswered{Id, parseAnswer(*Response)});
          return;
        }
        const HttpClientConnection::Failure &Failure =
            std::get<HttpClientConnection::Failure>(Result);
        m_Events.dispatch(InstanceAnswered{
            Id, InstanceFailure{Failure.m_Reason, Failure.m_NothingSent}});
      });
}

CounterList InstanceConnections::counters() const {
  return {{"almondpier_instance_connections", "Connections to instances",
           static_cast<double>(m_Connections.size())},
          {"almondpier_instance_connections_opened_total",
           "Connections opened to instances",
           static_cast<double>(m_OpenedCount)},
          {"almondpier_statements_total", "Statements sent to instances",
           static_cast<double>(m_StatementCount)}};
}

} // namespace almondpier
