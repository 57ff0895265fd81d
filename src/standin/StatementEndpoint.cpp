#include "standin/StatementEndpoint.h"

#include "standin/Statement.h"

#include <charconv>

namespace almondpier {

/// Statements that wait for a slot; two owners may each send slots + 1.
constexpr size_t kMaxWaiting = 16;

static HttpResponse responseOf(const StandInAnswer &Answer) {
  HttpResponse Response;
  Response.m_Status = Answer.m_Status;
  Response.m_Body = Answer.m_Body;
  Response.m_Headers = {{"Content-Type", "application/json"},
                        {"Term", std::to_string(Answer.m_Position.m_Term)},
                        {"Index", std::to_string(Answer.m_Position.m_Index)},
                        {"Ran", std::string(nameOf(Answer.m_Ran))}};
  if (Answer.m_IsMismatch)
    Response.m_Headers.push_back({"Idempotency-Mismatch", "1"});
  return Response;
}

static StandInAnswer refuse(int Status, const std::string &Message) {
  return StandInAnswer{Status, errorBody(Message), {}, Ran::No, false};
}

static std::optional<uint64_t> termOf(const HttpServerRequest &Request) {
  std::string_view Text = Request.header("Term");
  uint64_t Term = 0;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Term);
  if (Text.empty() || Result.ec != std::errc() ||
      Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Term;
}

StatementEndpoint::StatementEndpoint(StandInContext &Context,
                                     std::function<void()> OnChange)
    : m_Context(Context), m_OnChange(std::move(OnChange)),
      m_Server(Context, Context.m_Settings.m_Instance.m_StatementEndpoint,
               {[this](const HttpServerRequest &Request) { handle(Request); },
                [this](HttpConnectionId Connection) { forget(Connection); }}) {}

void StatementEndpoint::handle(const HttpServerRequest &Request) {
  Job New{Request.m_Id, Request.m_Connection, {}};
  if (m_Context.isIsolated()) {
    answer(New, {});
    return;
  }
  bool IsNew = !m_Connections.contains(Request.m_Connection);
  if (IsNew && m_Connections.size() >=
                   m_Context.m_Settings.m_Instance.m_ConnectionLimit) {
    HttpResponse Response =
        responseOf(refuse(409, "the connection limit is exhausted"));
    Response.m_Headers.push_back({"Connection", "close"});
    m_Server.answer(New.m_Request, New.m_Connection, Response);
    return;
  }
  New.m_Work = workOf(Request);
  if (!New.m_Work) {
    answer(New, refuse(404, "no such request, or it needs the header Term"));
    return;
  }
  if (!IsNew || m_Context.m_Settings.m_ConnectionDelayMs == 0) {
    m_Connections.insert(Request.m_Connection);
    enqueue(std::move(New));
    return;
  }
  m_Connections.insert(Request.m_Connection);
  uint64_t Number = ++m_LastDelay;
  m_Delays[Number] = std::make_unique<OneShotTimer>(
      m_Context.m_Loop,
      std::chrono::milliseconds(m_Context.m_Settings.m_ConnectionDelayMs),
      [this, Number, New = std::move(New)] {
        std::unique_ptr<OneShotTimer> Own = std::move(m_Delays[Number]);
        m_Delays.erase(Number);
        if (m_Connections.contains(New.m_Connection))
          enqueue(New);
      });
}

StatementEndpoint::Work
StatementEndpoint::workOf(const HttpServerRequest &Request) {
  StandInInstance &Instance = m_Context.m_Instance;
  uint64_t Connection = Request.m_Connection.m_Value;
  std::optional<uint64_t> Term = termOf(Request);
  std::string RequestId(Request.header("Request-Id"));
  std::string Digest(Request.header("Statement-Digest"));
  if (Request.m_Method == HttpMethod::Get)
    return Request.m_Path == "/outcome"
               ? Work([&Instance, Term, RequestId, Digest] {
                   return Instance.outcome(Term, RequestId, Digest);
                 })
               : Work();
  if (Request.m_Path == "/read")
    return [&Instance, Term, Body = Request.m_Body] {
      return Instance.read(Term, Body);
    };
  if (Request.m_Path == "/write" && Term)
    return [&Instance, Term, Body = Request.m_Body, RequestId, Digest] {
      return Instance.write(*Term, Body, RequestId, Digest);
    };
  if (Request.m_Path == "/begin" && Term)
    return [&Instance, Term, Connection] {
      return Instance.begin(Connection, *Term);
    };
  if (Request.m_Path == "/execute")
    return [&Instance, Connection, Body = Request.m_Body] {
      return Instance.execute(Connection, Body);
    };
  if (Request.m_Path == "/commit")
    return [&Instance, Connection, RequestId, Digest] {
      return Instance.commit(Connection, RequestId, Digest);
    };
  if (Request.m_Path == "/rollback")
    return [&Instance, Connection] { return Instance.rollback(Connection); };
  return {};
}

void StatementEndpoint::enqueue(Job Job) {
  if (m_Running < m_Context.m_Settings.m_Instance.m_Slots) {
    start(std::move(Job));
    return;
  }
  if (m_Waiting.size() >= kMaxWaiting) {
    answer(Job, refuse(409, "the slots are exhausted"));
    return;
  }
  m_Waiting.push_back(std::move(Job));
}

void StatementEndpoint::start(Job Job) {
  ++m_Running;
  if (m_Context.m_Settings.m_StatementDelayMs == 0) {
    finish(Job);
    return;
  }
  uint64_t Number = ++m_LastDelay;
  m_Delays[Number] = std::make_unique<OneShotTimer>(
      m_Context.m_Loop,
      std::chrono::milliseconds(m_Context.m_Settings.m_StatementDelayMs),
      [this, Number, Job = std::move(Job)] {
        std::unique_ptr<OneShotTimer> Own = std::move(m_Delays[Number]);
        m_Delays.erase(Number);
        finish(Job);
      });
}

void StatementEndpoint::finish(const Job &Job) {
  StandInAnswer Answer = Job.m_Work();
  --m_Running;
  answer(Job, Answer);
  m_OnChange();
  startWaiting();
}

void StatementEndpoint::startWaiting() {
  while (!m_Waiting.empty() &&
         m_Running < m_Context.m_Settings.m_Instance.m_Slots) {
    Job Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    start(std::move(Next));
  }
}

void StatementEndpoint::answer(const Job &Job, const StandInAnswer &Answer) {
  m_Server.answer(Job.m_Request, Job.m_Connection, responseOf(Answer));
}

void StatementEndpoint::forget(HttpConnectionId Connection) {
  m_Connections.erase(Connection);
  std::erase_if(m_Waiting, [&](const Job &Waiting) {
    return Waiting.m_Connection == Connection;
  });
  m_Context.m_Instance.onConnectionClosed(Connection.m_Value);
}

} // namespace almondpier
