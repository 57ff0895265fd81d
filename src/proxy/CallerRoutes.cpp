#include "proxy/CallerRoutes.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace almondpier {

static constexpr uint32_t kMaxTimeoutMs = 30'000;
static constexpr std::string_view kPrefix = "/v1/databases/";

static std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Parts;
  while (true) {
    size_t Slash = Path.find('/');
    Parts.push_back(decodePathSegment(Path.substr(0, Slash)));
    if (Slash == std::string_view::npos)
      return Parts;
    Path.remove_prefix(Slash + 1);
  }
}

[[noreturn]] static void throwUnknownRoute() {
  throw Error(ErrorKind::UnknownRoute, "there is no such route");
}

/// Parts follow "/v1/databases/". Sets kind, database, and the names in the
/// route.
static void parseRoute(const std::vector<std::string> &Parts, HttpMethod Method,
                       CallerRequest &Result) {
  bool IsPost = Method == HttpMethod::Post;
  Result.m_Database = DatabaseName{Parts[0]};
  if (Parts.size() == 2 && IsPost) {
    if (Parts[1] == "read")
      Result.m_Kind = RequestKind::Read;
    else if (Parts[1] == "write")
      Result.m_Kind = RequestKind::Write;
    else if (Parts[1] == "transactions")
      Result.m_Kind = RequestKind::Begin;
    else
      throwUnknownRoute();
    return;
  }
  if (Parts.size() == 3 && Method == HttpMethod::Get &&
      Parts[1] == "requests") {
    Result.m_Kind = RequestKind::Outcome;
    Result.m_IdempotencyKey = Parts[2];
    return;
  }
  if (Parts.size() != 4 || !IsPost || Parts[1] != "transactions")
    throwUnknownRoute();
  Result.m_Transaction = Parts[2];
  if (Parts[3] == "statements")
    Result.m_Kind = RequestKind::Execute;
  else if (Parts[3] == "commit")
    Result.m_Kind = RequestKind::Commit;
  else if (Parts[3] == "rollback")
    Result.m_Kind = RequestKind::Rollback;
  else
    throwUnknownRoute();
}

static std::optional<uint32_t> parseHeader(const HttpServerRequest &Request,
                                           const std::string &Name,
                                           uint32_t Min, uint32_t Max) {
  std::string_view Text = Request.header(Name);
  if (Text.empty())
    return std::nullopt;
  uint32_t Value = 0;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size() ||
      Value < Min || Value > Max)
    throw Error(ErrorKind::BadRequest, Name + " is not a number from " +
                                           std::to_string(Min) + " to " +
                                           std::to_string(Max));
  return Value;
}

static std::optional<KeyDigest> parseKey(const HttpServerRequest &Request) {
  constexpr std::string_view kScheme = "Bearer ";
  std::string_view Text = Request.header("Authorization");
  if (!Text.starts_with(kScheme) || Text.size() == kScheme.size())
    return std::nullopt;
  return digestOfKey(Text.substr(kScheme.size()));
}

static bool hasStatement(RequestKind Kind) {
  return Kind == RequestKind::Read || Kind == RequestKind::Write ||
         Kind == RequestKind::Execute;
}

CallerRequest parseCallerRequest(const HttpServerRequest &Request) {
  if (!Request.m_Path.starts_with(kPrefix))
    throwUnknownRoute();
  CallerRequest Result;
  Result.m_Id = CallerRequestId{Request.m_Id.m_Value};
  // The route of an outcome names its Idempotency-Key.
  parseRoute(splitPath(Request.m_Path.substr(kPrefix.size())), Request.m_Method,
             Result);
  if (Request.m_Body.size() > kMaxCallerBodyBytes)
    throw Error(ErrorKind::BodyTooLarge,
                "the body has more than " +
                    std::to_string(kMaxCallerBodyBytes) + " bytes");
  if (hasStatement(Result.m_Kind) && !nlohmann::json::accept(Request.m_Body))
    throw Error(ErrorKind::BadRequest, "the body is not JSON");
  Result.m_Key = parseKey(Request);
  Result.m_SessionToken = Request.header("Session-Token");
  if (Result.m_Kind != RequestKind::Outcome)
    Result.m_IdempotencyKey = Request.header("Idempotency-Key");
  if (Result.m_Kind == RequestKind::Read)
    Result.m_MaxAgeMs = parseHeader(Request, "Max-Age-Ms", 0, UINT32_MAX);
  if (std::optional<uint32_t> TimeoutMs =
          parseHeader(Request, "Timeout-Ms", 1, kMaxTimeoutMs))
    Result.m_TimeoutMs = *TimeoutMs;
  if (hasStatement(Result.m_Kind))
    Result.m_Statement = Request.m_Body;
  return Result;
}

static std::string dump(const nlohmann::json &Json) {
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse errorResponse(const ErrorReport &Report) {
  HttpResponse Response;
  Response.m_Status = httpStatusOf(Report.m_Kind);
  Response.m_Headers = {{"Content-Type", "application/json"}};
  nlohmann::json Body{{"kind", nameOf(Report.m_Kind)},
                      {"message", Report.m_Message},
                      {"remedy", remedyOf(Report.m_Kind)},
                      {"ran", nameOf(Report.m_Ran)},
                      {"retry_after_ms", Report.m_RetryAfterMs}};
  Response.m_Body = dump(nlohmann::json{{"error", Body}});
  return Response;
}

HttpResponse callerResponse(const ReplyToCaller &Reply) {
  HttpResponse Response;
  if (Reply.m_Error) {
    Response = errorResponse(*Reply.m_Error);
  } else {
    Response.m_Headers = {{"Content-Type", "application/json"}};
    Response.m_Body = Reply.m_Body.empty() ? "{}" : Reply.m_Body;
    if (!Reply.m_Transaction.empty())
      Response.m_Body = dump({{"transaction", Reply.m_Transaction}});
  }
  if (!Reply.m_SessionToken.empty())
    Response.m_Headers.push_back({"Session-Token", Reply.m_SessionToken});
  if (!Reply.m_Instance.empty())
    Response.m_Headers.push_back({"Served-By", Reply.m_Instance.m_Value});
  if (Reply.m_ServedByReplica)
    Response.m_Headers.push_back({"Served-By-Replica", "1"});
  return Response;
}

} // namespace almondpier
