#include "proxy/StatusProber.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using std::chrono::milliseconds;

// Each probe has its own shorter timer.
static constexpr std::chrono::seconds kConnectionTimeout{60};
// Extra time for an answer that the instance delayed as long as allowed.
static constexpr uint32_t kWaitMarginMs = 100;
static constexpr size_t kMaxIdlePerInstance = 4;

static std::string targetOf(const ProbeInstance &Action) {
  if (!Action.m_WaitFor)
    return "/status";
  return "/status?wait_term=" + std::to_string(Action.m_WaitFor->m_Term) +
         "&wait_index=" + std::to_string(Action.m_WaitFor->m_Index) +
         "&wait_ms=" + std::to_string(Action.m_TimeoutMs);
}

static std::optional<InstanceStatus> parseStatus(const std::string &Body) {
  nlohmann::json Json = nlohmann::json::parse(Body, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  try {
    InstanceStatus Status;
    Status.m_Instance = InstanceName{Json.at("instance").get<std::string>()};
    Status.m_Position = Position{Json.at("term").get<uint64_t>(),
                                 Json.at("index").get<uint64_t>()};
    Status.m_SealedTerm = Json.at("sealed_term").get<uint64_t>();
    Status.m_IsPrimary = Json.at("role").get<std::string>() == "primary";
    return Status;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

StatusProber::Connection StatusProber::takeIdle(const Endpoint &Platform) {
  std::vector<Connection> &Idle = m_Idle[Platform];
  if (Idle.empty())
    return nullptr;
  Connection Taken = std::move(Idle.back());
  Idle.pop_back();
  return Taken;
}

void StatusProber::keepIdle(const Endpoint &Platform, Connection Idle) {
  std::vector<Connection> &Kept = m_Idle[Platform];
  if (Kept.size() >= kMaxIdlePerInstance)
    return;
  HttpClientConnection *Raw = Idle.get();
  Idle->setOnClose([this, Platform, Raw] {
    std::erase_if(m_Idle[Platform],
                  [&](const Connection &Other) { return Other.get() == Raw; });
  });
  Kept.push_back(std::move(Idle));
}

void StatusProber::start(const ProbeInstance &Action) {
  ++m_ProbeCount;
  ProbeId Id = Action.m_Probe;
  Probe &Added = m_Probes[Id.m_Value];
  Added.m_Action = Action;
  Added.m_Connection = takeIdle(Action.m_Platform);
  Added.m_IsReused = Added.m_Connection != nullptr;
  if (!Added.m_IsReused)
    Added.m_Connection = std::make_unique<HttpClientConnection>(
        m_Loop, Action.m_Platform, kConnectionTimeout);
  uint32_t LimitMs =
      Action.m_TimeoutMs + (Action.m_WaitFor ? kWaitMarginMs : 0);
  Added.m_Timeout = std::make_unique<OneShotTimer>(
      m_Loop, milliseconds(LimitMs), [this, Id] { finish(Id, std::nullopt); });
  send(Id);
}

void StatusProber::send(ProbeId Id) {
  Probe &Sent = m_Probes.at(Id.m_Value);
  HttpClientConnection::Request Request;
  Request.m_Target = targetOf(Sent.m_Action);
  Sent.m_Connection->setOnClose({});
  Sent.m_Connection->send(
      Request,
      [this, Id](const std::variant<HttpResponse, HttpClientConnection::Failure>
                     &Result) { onResult(Id, Result); });
}

void StatusProber::onResult(
    ProbeId Id,
    const std::variant<HttpResponse, HttpClientConnection::Failure> &Result) {
  auto Found = m_Probes.find(Id.m_Value);
  if (Found == m_Probes.end())
    return;
  Probe &Answered = Found->second;
  if (const HttpResponse *Response = std::get_if<HttpResponse>(&Result)) {
    constexpr int kOk = 200;
    keepIdle(Answered.m_Action.m_Platform, std::move(Answered.m_Connection));
    finish(Id, Response->m_Status == kOk ? parseStatus(Response->m_Body)
                                         : std::nullopt);
    return;
  }
  if (!Answered.m_IsReused) {
    finish(Id, std::nullopt);
    return;
  }
  Answered.m_IsReused = false;
  Answered.m_Connection = std::make_unique<HttpClientConnection>(
      m_Loop, Answered.m_Action.m_Platform, kConnectionTimeout);
  send(Id);
}

void StatusProber::finish(ProbeId Id, std::optional<InstanceStatus> Status) {
  auto Found = m_Probes.find(Id.m_Value);
  if (Found == m_Probes.end())
    return;
  // Kept until the end of this call, which may run inside its timer.
  Probe Ended = std::move(Found->second);
  m_Probes.erase(Found);
  m_FailureCount += Status ? 0 : 1;
  m_Events.dispatch(ProbeAnswered{Id, std::move(Status)});
}

CounterList StatusProber::counters() const {
  return {{"almondpier_probes_total", "Status requests to instances",
           static_cast<double>(m_ProbeCount)},
          {"almondpier_probe_failures_total",
           "Status requests without a valid answer",
           static_cast<double>(m_FailureCount)}};
}

} // namespace almondpier
