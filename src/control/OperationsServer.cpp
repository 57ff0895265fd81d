#include "control/OperationsServer.h"

#include "almondpier/Telemetry.h"
#include "control/ControlJson.h"

#include <charconv>

namespace almondpier {

using Json = nlohmann::json;

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;
constexpr size_t kMaxAuditPage = 1'000;
constexpr size_t kDefaultAuditPage = 100;
/// Large enough for presets that set limits for thousands of organisations.
constexpr size_t kMaxBodyBytes = 512U << 10U;

uint64_t wallTimeMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Json parseBody(const HttpServerRequest &Request) {
  Json Body;
  try {
    Body = Json::parse(Request.m_Body);
  } catch (const Json::exception &Failure) {
    throw Error(ErrorKind::BadRequest, Failure.what());
  }
  // The library throws on access to a field of any other value, and an
  // exception must not pass through libevent.
  if (!Body.is_object())
    throw Error(ErrorKind::BadRequest, "the body is not a JSON object");
  return Body;
}

std::string requireStringField(const Json &Body, const char *Field) {
  auto Found = Body.is_object() ? Body.find(Field) : Body.end();
  if (Found == Body.end() || !Found->is_string())
    throw Error(ErrorKind::BadRequest,
                std::string("the body requires the string field '") + Field +
                    "'");
  return Found->get<std::string>();
}

template <typename Number>
Number parseNumber(std::string_view Text, Number Default) {
  Number Value = Default;
  if (Text.empty())
    return Default;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    throw Error(ErrorKind::BadRequest,
                "'" + std::string(Text) + "' is not a number");
  return Value;
}

/// Texts of operators, instances and the platform may hold bytes that are not
/// UTF-8, on which the library throws by default. They are replaced.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string_view bearerToken(const HttpServerRequest &Request) {
  constexpr std::string_view kPrefix = "Bearer ";
  std::string_view Header = Request.header("Authorization");
  return Header.starts_with(kPrefix) ? Header.substr(kPrefix.size())
                                     : std::string_view();
}

} // namespace

OperationsServer::OperationsServer(EventLoop &Loop,
                                   const ControlHostSettings &Settings,
                                   const ControlCore &Core, Handler OnEvent)
    : m_Settings(Settings), m_Core(Core), m_OnEvent(std::move(OnEvent)),
      m_Server(Loop, Settings.m_Operations,
               HttpServerLimits{.m_MaxBodyBytes = kMaxBodyBytes},
               {[this](const HttpServerRequest &Request) { handle(Request); },
                {}}) {}

void OperationsServer::handle(const HttpServerRequest &Request) {
  ++m_ReceivedRequests;
  try {
    if (Request.m_Path == "/livez" || Request.m_Path == "/readyz" ||
        Request.m_Path == "/metrics")
      handleUnauthenticated(Request);
    else if (Request.m_Path == "/v1/announcements")
      handleAnnouncement(Request);
    else
      handleOperator(Request);
  } catch (const Error &Refusal) {
    replyWithError(Request.m_Id, Refusal);
  }
}

void OperationsServer::handleUnauthenticated(const HttpServerRequest &Request) {
  if (Request.m_Path == "/metrics") {
    m_Server.reply(Request.m_Id,
                   HttpResponse{kHttpOk,
                                {{"Content-Type", "text/plain; version=0.0.4"}},
                                metrics()});
    return;
  }
  bool IsHealthy = Request.m_Path == "/livez" || m_Core.isReady();
  replyWithJson(Request.m_Id, IsHealthy ? kHttpOk : kHttpServiceUnavailable,
                IsHealthy ? "{}" : R"({"ready":false})");
}

void OperationsServer::handleAnnouncement(const HttpServerRequest &Request) {
  if (!equalInConstantTime(bearerToken(Request),
                           m_Settings.m_AnnouncementSecret))
    throw Error(ErrorKind::UnknownKey, "invalid announcement secret");
  if (Request.m_Method != HttpMethod::Post)
    throw Error(ErrorKind::UnknownRoute, "announcements require POST");
  Json Body = parseBody(Request);
  InstanceAnnounced Event;
  Event.m_Instance = parseAnnouncement(Body);
  auto Departing = Body.find("departing");
  Event.m_Departing = Departing != Body.end() && Departing->is_boolean() &&
                      Departing->get<bool>();
  Event.m_Id =
      addPending(PendingRequest{Request.m_Id, RequestKind::Announcement});
  m_OnEvent(Event);
}

std::string
OperationsServer::authenticateOperator(const HttpServerRequest &Request) const {
  std::string_view Key = bearerToken(Request);
  auto Found = m_Settings.m_Operators.find(digestOfKey(Key));
  if (Key.empty() || Found == m_Settings.m_Operators.end())
    throw Error(ErrorKind::UnknownKey, "unknown operator key");
  return Found->second;
}

void OperationsServer::handleOperator(const HttpServerRequest &Request) {
  std::string Actor = authenticateOperator(Request);
  bool IsPost = Request.m_Method == HttpMethod::Post;
  bool IsGet = Request.m_Method == HttpMethod::Get;
  if (IsPost && Request.m_Path == "/v1/changes")
    return handleChange(Request, Actor);
  if (IsPost && Request.m_Path == "/v1/members")
    return handleMembers(Request, Actor);
  if (IsGet && Request.m_Path == "/v1/configuration")
    return handleRead(Request, RequestKind::Configuration);
  if (IsGet && Request.m_Path == "/v1/audit")
    return handleRead(Request, RequestKind::Audit);
  // Without storage the state is empty, which a status would present as that of
  // the cluster.
  if (!m_Core.blackboard().m_IsStorageAvailable)
    throw Error(ErrorKind::NotLeader, describeNoLeader(m_Core.blackboard()));
  if (IsGet && Request.m_Path == "/v1/status")
    return replyWithJson(Request.m_Id, kHttpOk,
                         dump(statusToJson(m_Core.blackboard())));
  throw Error(ErrorKind::UnknownRoute, "no such route");
}

void OperationsServer::handleChange(const HttpServerRequest &Request,
                                    const std::string &Actor) {
  Json Body = parseBody(Request);
  ChangeBody Requested = parseChangeBody(Body.value("change", Json::object()));
  if (const EvacuateZone *Order = std::get_if<EvacuateZone>(&Requested)) {
    // Such an order is idempotent, so it needs no identifier and no version.
    OperationId Id =
        addPending(PendingRequest{Request.m_Id, RequestKind::Change});
    return m_OnEvent(ZoneEvacuationRequested{Id, *Order, Actor});
  }
  OperatorChange Event;
  Event.m_Change.m_ChangeId = requireStringField(Body, "change_id");
  auto Version = Body.find("expected_version");
  if (Version == Body.end() || !Version->is_number_unsigned())
    throw Error(ErrorKind::BadRequest,
                "the body requires the number 'expected_version'");
  Event.m_Change.m_ExpectedVersion = Version->get<uint64_t>();
  Event.m_Change.m_Actor = Actor;
  Event.m_Change.m_WallTimeMs = wallTimeMs();
  Event.m_Change.m_Body = std::move(Requested);
  Event.m_Id = addPending(PendingRequest{Request.m_Id, RequestKind::Change});
  m_OnEvent(Event);
}

void OperationsServer::handleMembers(const HttpServerRequest &Request,
                                     const std::string &Actor) {
  Json Body = parseBody(Request);
  OperatorRemoveMember Event;
  Event.m_Member.m_Value =
      parseNumber<uint64_t>(requireStringField(Body, "remove"), uint64_t{0});
  Event.m_ChangeId = requireStringField(Body, "change_id");
  if (!isValidName(Event.m_ChangeId))
    throw Error(ErrorKind::BadRequest, "a change identifier must have 1 to 64 "
                                       "letters, digits, '.', '_' or '-'");
  Event.m_Actor = Actor;
  Event.m_Id = addPending(PendingRequest{Request.m_Id, RequestKind::Change});
  m_OnEvent(Event);
}

void OperationsServer::handleRead(const HttpServerRequest &Request,
                                  RequestKind Kind) {
  PendingRequest Entry{Request.m_Id, Kind};
  Entry.m_AuditAfter =
      parseNumber<uint64_t>(Request.queryValue("after"), uint64_t{0});
  Entry.m_AuditLimit =
      std::min(kMaxAuditPage, parseNumber<size_t>(Request.queryValue("limit"),
                                                  kDefaultAuditPage));
  m_OnEvent(OperatorRead{addPending(Entry)});
}

OperationId OperationsServer::addPending(const PendingRequest &Pending) {
  OperationId Id{++m_LastOperation};
  m_PendingRequests.emplace(Id.m_Value, Pending);
  return Id;
}

std::vector<OperationId> OperationsServer::pendingOperations() const {
  std::vector<OperationId> Pending;
  for (const std::pair<const uint64_t, PendingRequest> &Entry :
       m_PendingRequests)
    Pending.push_back(OperationId{Entry.first});
  return Pending;
}

void OperationsServer::reply(const ReplyToOperation &Reply) {
  auto Found = m_PendingRequests.find(Reply.m_Id.m_Value);
  if (Found == m_PendingRequests.end())
    return;
  PendingRequest Entry = Found->second;
  m_PendingRequests.erase(Found);
  m_Server.reply(Entry.m_Request, responseTo(Entry, Reply));
}

HttpResponse OperationsServer::responseTo(const PendingRequest &Pending,
                                          const ReplyToOperation &Reply) const {
  HttpResponse Response;
  Response.m_Headers = {{"Content-Type", "application/json"}};
  const std::optional<ErrorReport> &Refusal =
      Reply.m_Outcome ? Reply.m_Outcome->m_Error : Reply.m_Error;
  Json Body = Json::object();
  if (Reply.m_Outcome)
    Body = Json{{"accepted", Reply.m_Outcome->m_Accepted},
                {"version", Reply.m_Outcome->m_Version}};
  if (Refusal) {
    Response.m_Status = httpStatusOf(Refusal->m_Kind);
    Body["error"] = toJson(*Refusal);
    if (Reply.m_Leader)
      Body["leader"] = formatEndpoint(*Reply.m_Leader);
    Response.m_Body = dump(Body);
    return Response;
  }
  if (Pending.m_Kind == RequestKind::Configuration)
    Body = toJson(m_Core.blackboard().configuration());
  Response.m_Body =
      Pending.m_Kind == RequestKind::Audit ? auditPage(Pending) : dump(Body);
  return Response;
}

std::string OperationsServer::auditPage(const PendingRequest &Pending) const {
  const AuditTrail &Trail = m_Core.blackboard().m_State.audit();
  Json Records = Json::array();
  uint64_t Next = Pending.m_AuditAfter;
  for (const AuditRecord &Record :
       Trail.after(Pending.m_AuditAfter, Pending.m_AuditLimit)) {
    Records.push_back(toJson(Record));
    Next = Record.m_Number;
  }
  return dump(Json{{"records", Records},
                   {"first_number", Trail.firstNumber()},
                   {"last_number", Trail.lastNumber()},
                   {"next_after", Next}});
}

std::string OperationsServer::metrics() const {
  CounterList Counters = m_Core.counters();
  Counters.push_back({"almondpier_operations_requests_total",
                      "Requests to this endpoint.",
                      static_cast<double>(m_ReceivedRequests)});
  Counters.push_back({"almondpier_operations_refused_total",
                      "Requests to this endpoint refused before a decision.",
                      static_cast<double>(m_RefusedRequests)});
  LatencyHistogram Failovers;
  for (const FailoverRecord &Record : m_Core.blackboard().m_Failovers)
    Failovers.record(Record.m_Total);
  return formatCounters(Counters) + formatCounters(processCounters()) +
         formatHistogram("almondpier_failover_seconds",
                         "Duration of the last changes of primary.", Failovers);
}

void OperationsServer::replyWithJson(HttpRequestId Request, int Status,
                                     std::string Body) {
  m_Server.reply(Request, HttpResponse{Status,
                                       {{"Content-Type", "application/json"}},
                                       std::move(Body)});
}

void OperationsServer::replyWithError(HttpRequestId Request,
                                      const Error &Error) {
  ++m_RefusedRequests;
  ErrorReport Report{Error.kind(), Error.what(), Ran::No, 0};
  replyWithJson(Request, httpStatusOf(Error.kind()),
                dump(Json{{"error", toJson(Report)}}));
}

} // namespace almondpier
