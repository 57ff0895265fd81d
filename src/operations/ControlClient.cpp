#include "operations/ControlClient.h"

namespace almondpier {

using Json = nlohmann::json;

namespace {

/// Longer than a control host waits for the outcome of a change.
constexpr Duration kAnswerTimeout = std::chrono::seconds(4);
constexpr Duration kPause = std::chrono::milliseconds(200);

constexpr int kNotLeader = 421;

bool isFinal(const ControlAnswer &Answer) {
  constexpr int kServerErrors = 500;
  return Answer.m_Status < kServerErrors && Answer.m_Status != kNotLeader;
}

} // namespace

ControlAnswer ControlClient::get(const std::string &Target) {
  return request({HttpMethod::Get, Target, {}, {}});
}

ControlAnswer ControlClient::post(const std::string &Target, const Json &Body) {
  return request({HttpMethod::Post,
                  Target,
                  {{"Content-Type", "application/json"}},
                  Body.dump()});
}

ControlAnswer
ControlClient::request(const HttpClientConnection::Request &Request) {
  HttpClientConnection::Request Authorised = Request;
  Authorised.m_Headers.push_back(
      {"Authorization", "Bearer " + m_Options.m_OperatorKey});
  Time Until = m_Loop.now() + m_Options.m_LeaderTimeout;
  do {
    Endpoint Target =
        m_Leader ? *m_Leader : m_Endpoints[m_Next % m_Endpoints.size()];
    std::optional<ControlAnswer> Answer = tryOnce(Target, Authorised);
    if (Answer && isFinal(*Answer)) {
      m_Leader = Target;
      return *Answer;
    }
    chooseNext(Answer);
  } while (m_Loop.now() < Until);
  throw NoLeaderError("no control host that leads answered: " + m_LastFailure +
                      "; check --control and that a majority of the control "
                      "hosts runs");
}

void ControlClient::chooseNext(const std::optional<ControlAnswer> &Answer) {
  m_Leader.reset();
  ++m_Next;
  if (Answer && Answer->m_Body.contains("leader") &&
      Answer->m_Body["leader"].is_string()) {
    m_Leader = parseEndpoint(Answer->m_Body["leader"].get<std::string>());
    return;
  }
  pause();
}

void ControlClient::pause() {
  OneShotTimer Wake(m_Loop, kPause, [this] { m_Loop.stop(); });
  m_Loop.run();
}

std::optional<ControlAnswer>
ControlClient::tryOnce(const Endpoint &Endpoint,
                       const HttpClientConnection::Request &Request) {
  std::optional<ControlAnswer> Answer;
  HttpClientConnection Connection(m_Loop, Endpoint, kAnswerTimeout);
  Connection.send(
      Request, [&](const std::variant<HttpResponse,
                                      HttpClientConnection::Failure> &Result) {
        if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result))
          Answer = ControlAnswer{Response->m_Status,
                                 Json::parse(Response->m_Body, nullptr, false)};
        else
          m_LastFailure =
              formatEndpoint(Endpoint) + ": " +
              std::get<HttpClientConnection::Failure>(Result).m_Reason;
        m_Loop.stop();
      });
  m_Loop.run();
  if (!Answer)
    return std::nullopt;
  if (!Answer->m_Body.is_object())
    Answer->m_Body = Json::object();
  if (!isFinal(*Answer))
    m_LastFailure =
        formatEndpoint(Endpoint) + ": " +
        Answer->m_Body.value("error", Json::object())
            .value("message", "status " + std::to_string(Answer->m_Status));
  return Answer;
}

} // namespace almondpier
