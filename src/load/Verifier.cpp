#include "load/Verifier.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

constexpr size_t kLanes = 16;
constexpr std::chrono::seconds kVerificationLimit{60};
constexpr std::chrono::milliseconds kRetryInterval{100};

LoadVerifier::LoadVerifier(LoadRun &Run, std::function<void()> Done)
    : m_Run(Run), m_Done(std::move(Done)), m_Random(Run.m_Settings.m_Seed),
      m_GiveUpAt(Run.m_Loop.now() + kVerificationLimit), m_Delays(kLanes) {
  for (std::pair<DatabaseName, std::string> &Key : Run.m_Checker.keys()) {
    std::string Prefix = Key.second.substr(0, Key.second.rfind('/') + 1);
    if (m_Groups.empty() || m_Groups.back().m_Database != Key.first ||
        m_Groups.back().m_Prefix != Prefix)
      m_Groups.push_back(Group{Key.first, Prefix, {}});
    m_Groups.back().m_Keys.push_back(Key.second);
  }
  m_Running = kLanes;
  for (size_t Lane = 0; Lane < kLanes; ++Lane)
    m_Delays[Lane] = std::make_unique<OneShotTimer>(
        m_Run.m_Loop, Duration::zero(), [this, Lane] { next(Lane); });
}

void LoadVerifier::next(Lane Lane) {
  if (m_Groups.empty() || m_Run.m_Loop.now() >= m_GiveUpAt) {
    if (--m_Running == 0)
      m_Done();
    return;
  }
  Group Taken = std::move(m_Groups.back());
  m_Groups.pop_back();
  read(Lane, Taken);
}

void LoadVerifier::read(Lane Lane, const Group &Group) {
  const std::vector<LoadKey> &Keys = m_Run.m_Settings.m_Keys;
  const LoadKey &Key = Keys[++m_LastKey % Keys.size()];
  HttpClientConnection::Request Request;
  Request.m_Method = HttpMethod::Post;
  Request.m_Target = "/v1/databases/" + Group.m_Database.m_Value + "/read";
  Request.m_Headers = {{"Authorization", "Bearer " + Key.m_Key}};
  Request.m_Body = Json{{"op", "list"}, {"prefix", Group.m_Prefix}}.dump();
  m_Run.m_Client.send(m_Run.m_Client.pick(m_Random), Request,
                      [this, Lane, Group](const ProxyAnswer &Answer) {
                        if (Answer.isServed()) {
                          check(Group, Answer);
                          next(Lane);
                          return;
                        }
                        if (m_Run.m_Loop.now() >= m_GiveUpAt) {
                          next(Lane);
                          return;
                        }
                        m_Delays[Lane] = std::make_unique<OneShotTimer>(
                            m_Run.m_Loop, kRetryInterval,
                            [this, Lane, Group] { read(Lane, Group); });
                      });
}

void LoadVerifier::check(const Group &Group, const ProxyAnswer &Answer) {
  Json Body = Json::parse(Answer.m_Response.m_Body, nullptr, false);
  if (!Body.is_object() || Body.value("prefix", "") != Group.m_Prefix ||
      !Body.contains("rows")) {
    m_Run.m_Checker.addViolation("the answer to a list of '" + Group.m_Prefix +
                                 "' belongs to another request");
    return;
  }
  Json Rows = Body["rows"];
  for (const std::string &Key : Group.m_Keys)
    if (!Rows.contains(Key))
      m_Run.m_Checker.checkFinalRead(Group.m_Database, Key, {});
  for (auto Row = Rows.begin(); Row != Rows.end(); ++Row) {
    std::optional<std::vector<uint64_t>> Values = valuesOf(Row.value().dump());
    if (Values)
      m_Run.m_Checker.checkFinalRead(Group.m_Database, Row.key(), *Values);
    else
      m_Run.m_Checker.addViolation("unexpected content at key '" + Row.key() +
                                   "'");
  }
}

} // namespace almondpier
