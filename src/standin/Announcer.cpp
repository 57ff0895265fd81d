#include "standin/Announcer.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kAnnouncementInterval{1'000};
constexpr std::chrono::milliseconds kAnswerTimeout{800};

static std::string announcementOf(const StandInContext &Context) {
  const InstanceRecord &Instance = Context.m_Settings.m_Instance;
  return Json{{"database", Instance.m_Database.m_Value},
              {"instance", Instance.m_Name.m_Value},
              {"zone", Instance.m_Zone.m_Value},
              {"statements", formatEndpoint(Instance.m_StatementEndpoint)},
              {"platform", formatEndpoint(Instance.m_PlatformEndpoint)},
              {"slots", Instance.m_Slots},
              {"connection_limit", Instance.m_ConnectionLimit},
              {"group_size", Instance.m_GroupSize},
              {"departing", Context.m_IsDeparting}}
      .dump();
}

Announcer::Announcer(StandInContext &Context)
    : m_Context(Context),
      m_Timer(Context.m_Loop, kAnnouncementInterval, [this] { announce(); }) {
  announce();
}

void Announcer::announce() {
  const std::vector<Endpoint> &Control = m_Context.m_Settings.m_Control;
  if (Control.empty() || m_Context.isIsolated())
    return;
  // One connection for each announcement, because control hosts are replaced
  // and restarted.
  m_Connection = std::make_unique<HttpClientConnection>(
      m_Context.m_Loop, Control[m_Control % Control.size()], kAnswerTimeout);
  HttpClientConnection::Request Request;
  Request.m_Method = HttpMethod::Post;
  Request.m_Target = "/v1/announcements";
  Request.m_Headers = {
      {"Authorization", "Bearer " + m_Context.m_Settings.m_AnnouncementSecret},
      {"Content-Type", "application/json"}};
  Request.m_Body = announcementOf(m_Context);
  m_Connection->send(
      Request,
      [this](const std::variant<HttpResponse, HttpClientConnection::Failure>
                 &Result) {
        const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->m_Status >= 300)
          ++m_Control;
      });
}

} // namespace almondpier
