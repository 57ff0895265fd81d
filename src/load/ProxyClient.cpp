#include "load/ProxyClient.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondpier {

/// Above the longest deadline that the load tool asks for.
constexpr std::chrono::seconds kAnswerTimeout{12};
constexpr std::chrono::seconds kAvoidAfterFailure{1};

static ProxyAnswer answerOf(const HttpResponse &Response) {
  ProxyAnswer Answer;
  Answer.m_HasArrived = true;
  Answer.m_Response = Response;
  if (Response.m_Status == 200)
    return Answer;
  nlohmann::json Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  Answer.m_ErrorKind = "status_" + std::to_string(Response.m_Status);
  if (!Body.is_object() || !Body.contains("error") ||
      !Body["error"].is_object())
    return Answer;
  const nlohmann::json &Error = Body["error"];
  Answer.m_ErrorKind = Error.value("kind", Answer.m_ErrorKind);
  Answer.m_Ran = Error.value("ran", "");
  Answer.m_RetryAfterMs = Error.value("retry_after_ms", 0U);
  return Answer;
}

ProxyClient::ProxyClient(EventLoop &Loop, std::vector<Endpoint> Proxies)
    : m_Loop(Loop) {
  for (Endpoint &Proxy : Proxies)
    m_Proxies.push_back(ProxyState{std::move(Proxy), {}, {}});
}

bool ProxyClient::isUsable(size_t Proxy) const {
  return m_Proxies.at(Proxy).m_FailedUntil <= m_Loop.now();
}

size_t ProxyClient::pick(std::mt19937_64 &Random) const {
  constexpr int kTries = 20;
  size_t Proxy = Random() % m_Proxies.size();
  for (int Try = 0; Try < kTries && !isUsable(Proxy); ++Try)
    Proxy = Random() % m_Proxies.size();
  return Proxy;
}

ProxyClient::Connection ProxyClient::take(size_t Proxy) {
  std::vector<Connection> &Idle = m_Proxies.at(Proxy).m_Idle;
  if (Idle.empty())
    return std::make_shared<HttpClientConnection>(
        m_Loop, m_Proxies[Proxy].m_Endpoint, kAnswerTimeout);
  Connection Taken = std::move(Idle.back());
  Idle.pop_back();
  Taken->setOnClose({});
  return Taken;
}

void ProxyClient::giveBack(size_t Proxy, const Connection &Used) {
  Used->setOnClose([this, Proxy, Raw = Used.get()] {
    std::erase_if(m_Proxies.at(Proxy).m_Idle,
                  [&](const Connection &Idle) { return Idle.get() == Raw; });
  });
  m_Proxies.at(Proxy).m_Idle.push_back(Used);
}

void ProxyClient::fail(size_t Proxy) {
  m_Proxies.at(Proxy).m_FailedUntil = m_Loop.now() + kAvoidAfterFailure;
}

void ProxyClient::send(size_t Proxy,
                       const HttpClientConnection::Request &Request,
                       Callback Callback) {
  Connection Used = take(Proxy);
  // The callback holds the connection until the answer arrived.
  Used->send(
      Request,
      [this, Proxy, Used, Callback = std::move(Callback)](
          const std::variant<HttpResponse, HttpClientConnection::Failure>
              &Result) {
        if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result)) {
          if (Response->header("Connection") != "close")
            giveBack(Proxy, Used);
          Callback(answerOf(*Response));
          return;
        }
        fail(Proxy);
        ProxyAnswer Answer;
        Answer.m_ErrorKind = "connection_failed";
        Answer.m_WasNothingSent =
            std::get<HttpClientConnection::Failure>(Result).m_NothingSent;
        Callback(Answer);
      });
}

} // namespace almondpier
