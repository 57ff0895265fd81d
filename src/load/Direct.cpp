#include "almondpier/Load.h"
#include "almondpier/Net.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

namespace {

class DirectLoad {
public:
  DirectLoad(EventLoop &Loop, const DirectLoadSettings &Settings)
      : m_Loop(Loop), m_EndsAt(Loop.now() + Settings.m_Duration) {
    for (uint32_t Index = 0; Index < Settings.m_Concurrency; ++Index)
      m_Connections.push_back(std::make_unique<HttpClientConnection>(
          Loop, Settings.m_Instance, std::chrono::seconds(5)));
  }

  void run() {
    for (const std::unique_ptr<HttpClientConnection> &Connection :
         m_Connections)
      send(*Connection, true);
    m_Loop.run();
  }

  LoadOutcome report() const {
    auto ToMs = [](Duration Value) {
      return std::chrono::duration<double, std::milli>(Value).count();
    };
    Json Summary{{"served", m_Latency.count()},
                 {"failed", m_Failed},
                 {"p50_ms", ToMs(m_Latency.quantile(0.5))},
                 {"p99_ms", ToMs(m_Latency.quantile(0.99))},
                 {"max_ms", ToMs(m_Latency.max())}};
    return LoadOutcome{"direct reads: " + Summary.dump() + "\n",
                       Summary.dump(2) + "\n",
                       m_Failed == 0 && m_Latency.count() != 0};
  }

private:
  /// The first request on a connection includes the connection time and is not
  /// measured.
  void send(HttpClientConnection &Connection, bool IsFirst) {
    HttpClientConnection::Request Request;
    Request.m_Method = HttpMethod::Post;
    Request.m_Target = "/read";
    Request.m_Body = R"({"op":"get","key":"direct"})";
    Time SentAt = m_Loop.now();
    Connection.send(
        Request,
        [this, &Connection, IsFirst,
         SentAt](const std::variant<HttpResponse, HttpClientConnection::Failure>
                     &Result) {
          const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
          if (Response == nullptr || Response->m_Status != 200) {
            ++m_Failed;
            m_Loop.stop();
            return;
          }
          if (!IsFirst)
            m_Latency.record(m_Loop.now() - SentAt);
          if (m_Loop.now() >= m_EndsAt)
            m_Loop.stop();
          else
            send(Connection, false);
        });
  }

  EventLoop &m_Loop;
  Time m_EndsAt;
  std::vector<std::unique_ptr<HttpClientConnection>> m_Connections;
  LatencyHistogram m_Latency;
  uint64_t m_Failed = 0;
};

} // namespace

LoadOutcome runDirectLoad(EventLoop &Loop, const DirectLoadSettings &Settings) {
  DirectLoad Load(Loop, Settings);
  Load.run();
  return Load.report();
}

} // namespace almondpier
