#include "standin/Replicator.h"

#include "standin/Records.h"

namespace almondpier {

constexpr std::chrono::milliseconds kAnswerTimeout{1'000};
constexpr std::chrono::milliseconds kWait{200};
constexpr std::chrono::milliseconds kRetryInterval{50};

Replicator::Replicator(StandInContext &Context, std::function<void()> OnChange)
    : m_Context(Context), m_OnChange(std::move(OnChange)) {}

void Replicator::run() {
  if (m_Context.isIsolated()) {
    m_Connection.reset();
    return;
  }
  if (m_Source != m_Context.m_Instance.source()) {
    m_Source = m_Context.m_Instance.source();
    m_Connection.reset();
    m_RetryAt = Time{};
  }
  if (!m_Source || m_Context.m_Loop.now() < m_RetryAt ||
      (m_Connection && m_Connection->isBusy()))
    return;
  if (!m_Connection)
    m_Connection = std::make_unique<HttpClientConnection>(
        m_Context.m_Loop, m_Source->m_Platform, kAnswerTimeout);
  ask();
}

void Replicator::ask() {
  Position After = m_Context.m_Instance.position();
  HttpClientConnection::Request Request;
  Request.m_Target = "/log?after_term=" + std::to_string(After.m_Term) +
                     "&after_index=" + std::to_string(After.m_Index) +
                     "&term=" + std::to_string(m_Source->m_Term) +
                     "&wait_ms=" + std::to_string(kWait.count()) + "&lag_ms=" +
                     std::to_string(m_Context.m_Settings.m_ReplicationLagMs);
  uint64_t Term = m_Source->m_Term;
  m_Connection->send(
      Request,
      [this,
       Term](const std::variant<HttpResponse, HttpClientConnection::Failure>
                 &Result) { take(Term, Result); });
}

void Replicator::take(
    uint64_t Term,
    const std::variant<HttpResponse, HttpClientConnection::Failure> &Result) {
  const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->m_Status != 200) {
    m_RetryAt = m_Context.m_Loop.now() + kRetryInterval;
    m_Connection.reset();
    return;
  }
  if (m_Context.isIsolated())
    return;
  m_Context.m_Instance.replicate(Term, decodeLogPart(Response->m_Body));
  m_OnChange();
  run();
}

} // namespace almondpier
