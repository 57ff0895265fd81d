#include "control/InstanceClient.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

namespace {

constexpr int kHttpOk = 200;

HttpClientConnection::Request makeRequest(const CallInstance &Call) {
  HttpClientConnection::Request Request;
  Request.m_Method = HttpMethod::Post;
  Request.m_Headers = {{"Content-Type", "application/json"}};
  Json Body{{"term", Call.m_Term}};
  switch (Call.m_Kind) {
  case InstanceCallKind::Status:
    Request.m_Method = HttpMethod::Get;
    Request.m_Target = "/status";
    return Request;
  case InstanceCallKind::Seal:
    Request.m_Target = "/seal";
    break;
  case InstanceCallKind::Promote:
    Request.m_Target = "/promote";
    break;
  case InstanceCallKind::Follow:
    Request.m_Target = "/follow";
    Body["primary"] = Call.m_Primary.m_Value;
    Body["platform"] = formatEndpoint(Call.m_PrimaryPlatform);
    break;
  }
  Request.m_Body = Body.dump();
  return Request;
}

InstanceCallAnswered parseAnswer(const CallInstance &Call,
                                 const HttpResponse &Response) {
  InstanceCallAnswered Answer{Call.m_Call, Response.m_Status, {}, {}};
  if (Response.m_Status != kHttpOk)
    return Answer;
  try {
    Json Body = Json::parse(Response.m_Body);
    if (Call.m_Kind == InstanceCallKind::Promote) {
      Answer.m_StartIndex = Body.at("start_index").get<uint64_t>();
      return Answer;
    }
    InstanceStatus Status;
    Status.m_Instance = {Body.at("instance").get<std::string>()};
    Status.m_Position = {Body.at("term").get<uint64_t>(),
                         Body.at("index").get<uint64_t>()};
    Status.m_SealedTerm = Body.at("sealed_term").get<uint64_t>();
    Status.m_IsPrimary = Body.at("role").get<std::string>() == "primary";
    Answer.m_Status = Status;
  } catch (const Json::exception &) {
    // A malformed answer is treated like a missing one.
    Answer.m_HttpStatus = 0;
  }
  return Answer;
}

} // namespace

void InstanceClient::call(const CallInstance &Call) {
  std::unique_ptr<HttpClientConnection> &Connection = m_Calls[Call.m_Call];
  Connection = std::make_unique<HttpClientConnection>(
      m_Loop, Call.m_Platform, std::chrono::milliseconds(Call.m_TimeoutMs));
  Connection->send(
      makeRequest(Call),
      [this, Call](const std::variant<HttpResponse,
                                      HttpClientConnection::Failure> &Result) {
        const HttpResponse *Response = std::get_if<HttpResponse>(&Result);
        InstanceCallAnswered Answer{Call.m_Call, 0, {}, {}};
        if (Response != nullptr)
          Answer = parseAnswer(Call, *Response);
        m_Calls.erase(Answer.m_Call);
        m_OnEvent(Answer);
      });
}

} // namespace almondpier
