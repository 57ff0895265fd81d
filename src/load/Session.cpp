#include "load/Session.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

/// A pause after a refusal without a hint, so that a closed loop does not spin.
constexpr std::chrono::milliseconds kPauseAfterError{50};
constexpr std::chrono::milliseconds kMaxPause{500};
constexpr int kMaxUnreachableTries = 100;
constexpr double kOwnKeyFraction = 0.4;

std::optional<std::vector<uint64_t>> valuesOf(std::string_view JsonText) {
  Json Value = Json::parse(JsonText, nullptr, false);
  if (Value.is_null())
    return std::vector<uint64_t>{};
  if (Value.is_number_unsigned())
    return std::vector<uint64_t>{Value.get<uint64_t>()};
  if (!Value.is_array())
    return std::nullopt;
  std::vector<uint64_t> Values;
  for (const Json &Element : Value) {
    if (!Element.is_number_unsigned())
      return std::nullopt;
    Values.push_back(Element.get<uint64_t>());
  }
  return Values;
}

LoadSession::LoadSession(LoadRun &Run, uint64_t Number, LoadKey Key)
    : m_Run(Run), m_Number(Number), m_Key(std::move(Key)),
      m_Random(Run.m_Settings.m_Seed * 1'000'003 + Number),
      m_Proxy(Run.m_Client.pick(m_Random)) {}

LoadRequestKind LoadSession::chooseKind() {
  const LoadMix &Mix = m_Run.m_Settings.m_Mix;
  std::array<double, 5> Weights{Mix.m_Reads, Mix.m_Writes, Mix.m_Bookings,
                                Mix.m_Splits, Mix.m_Transactions};
  std::discrete_distribution<int> Choice(Weights.begin(), Weights.end());
  return static_cast<LoadRequestKind>(Choice(m_Random));
}

const DatabaseName &LoadSession::chooseDatabase() {
  const std::vector<DatabaseName> &Databases = m_Run.m_Settings.m_Databases;
  return Databases[m_Random() % Databases.size()];
}

void LoadSession::run(std::function<void(Duration)> Done) {
  m_Done = std::move(Done);
  switch (chooseKind()) {
  case LoadRequestKind::Write:
    put();
    return;
  case LoadRequestKind::Booking:
    book();
    return;
  case LoadRequestKind::Split:
    split();
    return;
  case LoadRequestKind::Transaction:
    transact();
    return;
  default:
    read();
  }
}

void LoadSession::after(Duration Wait, std::function<void()> Callback) {
  m_Delay =
      std::make_unique<OneShotTimer>(m_Run.m_Loop, Wait, std::move(Callback));
}

void LoadSession::finish(Duration Wait) {
  std::function<void(Duration)> Done = std::move(m_Done);
  m_Done = nullptr;
  Done(Wait);
}

void LoadSession::finish(const ProxyAnswer &Answer) {
  if (Answer.m_ErrorKind.empty() || Answer.m_ErrorKind == "statement_failed") {
    finish(Duration::zero());
    return;
  }
  Duration Hint = std::chrono::milliseconds(Answer.m_RetryAfterMs);
  finish(std::clamp<Duration>(Hint, kPauseAfterError, kMaxPause));
}

// Requests.

static LoadResult resultOf(const ProxyAnswer &Answer) {
  if (!Answer.m_HasArrived)
    return Answer.m_WasNothingSent ? LoadResult::Unreachable
                                   : LoadResult::Unknown;
  if (Answer.m_Response.m_Status == 200 ||
      Answer.m_ErrorKind == "statement_failed" ||
      Answer.m_ErrorKind == "not_found")
    return LoadResult::Served;
  return Answer.m_Ran == "no" ? LoadResult::Refused : LoadResult::Unknown;
}

LoadSample LoadSession::sampleOf(const Call &Call, const ProxyAnswer &Answer,
                                 Time SentAt, bool WasInsideRate) const {
  LoadSample Sample;
  Sample.m_Kind = Call.m_Kind;
  Sample.m_Organisation = m_Key.m_Organisation;
  Sample.m_Database = Call.m_Database;
  Sample.m_Result = resultOf(Answer);
  Sample.m_ErrorKind = Answer.m_ErrorKind;
  Sample.m_SentAt = SentAt;
  Sample.m_DoneAt = m_Run.m_Loop.now();
  Sample.m_WasInsideRate = WasInsideRate;
  Sample.m_MayUseReplica = Call.m_MayUseReplica;
  Sample.m_WasServedByReplica =
      Answer.m_Response.header("Served-By-Replica") == "1";
  Sample.m_IsAcknowledgedWrite = Call.m_Acknowledges && Answer.isServed();
  return Sample;
}

void LoadSession::send(const Call &Call, ProxyClient::Callback Callback,
                       int Try) {
  if (chance() < m_Run.m_Settings.m_ProxySwitchFraction ||
      !m_Run.m_Client.isUsable(m_Proxy))
    m_Proxy = m_Run.m_Client.pick(m_Random);
  HttpClientConnection::Request Request;
  Request.m_Method = Call.m_Method;
  Request.m_Target =
      "/v1/databases/" + Call.m_Database.m_Value + "/" + Call.m_Path;
  Request.m_Headers = Call.m_Headers;
  Request.m_Headers.push_back({"Authorization", "Bearer " + m_Key.m_Key});
  if (Call.m_SendsToken && !m_Token.empty())
    Request.m_Headers.push_back({"Session-Token", m_Token});
  Request.m_Body = Call.m_Body;
  Time SentAt = m_Run.m_Loop.now();
  bool WasInsideRate =
      m_Run.m_Measures.recordOffered(m_Key.m_Organisation, SentAt);
  m_Run.m_Client.send(
      m_Proxy, Request,
      [this, Call, SentAt, WasInsideRate, Try,
       Callback = std::move(Callback)](const ProxyAnswer &Answer) {
        m_Run.m_Measures.record(sampleOf(Call, Answer, SentAt, WasInsideRate));
        std::string_view Token = Answer.m_Response.header("Session-Token");
        if (!Token.empty())
          m_Token = Token;
        bool IsRetried = !Answer.m_HasArrived && Answer.m_WasNothingSent &&
                         Try < kMaxUnreachableTries;
        if (!IsRetried) {
          Callback(Answer);
          return;
        }
        after(kPauseAfterError,
              [this, Call, Callback, Try] { send(Call, Callback, Try + 1); });
      });
}

// Reads.

std::string LoadSession::chooseReadKey(const DatabaseName &Database) {
  const std::vector<std::string> &Keys = m_Run.m_Keys[Database];
  if (Keys.empty() || chance() < kOwnKeyFraction)
    return m_Run.m_Settings.m_RunPrefix + "/p" + std::to_string(m_Number) +
           "/0." + std::to_string(m_Generations[{Database, 0}]);
  return Keys[m_Random() % Keys.size()];
}

void LoadSession::read() {
  const LoadSettings &Settings = m_Run.m_Settings;
  LoadRead Read;
  Read.m_Database = chooseDatabase();
  Read.m_Key = chooseReadKey(Read.m_Database);
  Read.m_Session = m_Number;
  Call Call;
  Call.m_Kind = LoadRequestKind::Read;
  Call.m_Database = Read.m_Database;
  Call.m_Path = "read";
  Call.m_Body = Json{{"op", "get"}, {"key", Read.m_Key}}.dump();
  if (chance() < Settings.m_MaxAgeFraction) {
    Read.m_Mode = LoadReadMode::MaxAge;
    Read.m_MaxAge = std::chrono::milliseconds(Settings.m_MaxAgeMs);
    Call.m_Headers.push_back(
        {"Max-Age-Ms", std::to_string(Settings.m_MaxAgeMs)});
    Call.m_MayUseReplica = true;
  } else if (m_Token.empty() || chance() < Settings.m_ConfirmedFraction) {
    Read.m_Mode = LoadReadMode::Confirmed;
    Call.m_SendsToken = false;
  } else {
    Call.m_MayUseReplica = true;
  }
  Read.m_StartedAt = m_Run.m_Loop.now();
  send(Call, [this, Read](const ProxyAnswer &Answer) {
    if (Answer.isServed())
      checkRead(Read, Answer);
    finish(Answer);
  });
}

void LoadSession::checkRead(const LoadRead &Read, const ProxyAnswer &Answer) {
  Json Body = Json::parse(Answer.m_Response.m_Body, nullptr, false);
  if (!Body.is_object() || Body.value("key", "") != Read.m_Key) {
    m_Run.m_Checker.addViolation("the answer to a read of key '" + Read.m_Key +
                                 "' belongs to another request: " +
                                 Answer.m_Response.m_Body.substr(0, 100));
    return;
  }
  std::optional<std::vector<uint64_t>> Values = valuesOf(Body["value"].dump());
  if (!Values) {
    m_Run.m_Checker.addViolation("unexpected content at key '" + Read.m_Key +
                                 "'");
    return;
  }
  m_Run.m_Checker.checkRead(Read, *Values);
}

} // namespace almondpier
