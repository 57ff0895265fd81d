#include "load/Session.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

constexpr std::chrono::seconds kResolveLimit{20};
constexpr std::chrono::milliseconds kResolveInterval{100};
constexpr uint64_t kOwnRows = 4;
constexpr uint64_t kSplitLists = 40;
constexpr uint64_t kSlotsPerGroup = 50;
/// Sessions compete for the last slots with this probability.
constexpr double kContention = 0.3;
constexpr uint64_t kContendedSlots = 5;
constexpr double kRollbackFraction = 0.2;
constexpr size_t kTransactionSteps = 2;

static std::string statementOf(LoadWriteKind Kind, const std::string &Key,
                               uint64_t Value) {
  constexpr std::array<const char *, 3> kNames{"put", "append", "insert"};
  return Json{{"op", kNames.at(static_cast<size_t>(Kind))},
              {"key", Key},
              {"value", Value}}
      .dump();
}

uint64_t LoadSession::beginWrite(const DatabaseName &Database,
                                 const std::string &Key, LoadWriteKind Kind,
                                 uint64_t Transaction) {
  LoadWrite Write;
  Write.m_Database = Database;
  Write.m_Key = Key;
  Write.m_Kind = Kind;
  Write.m_Session = m_Number;
  Write.m_Transaction = Transaction;
  m_Run.m_Keys[Database].push_back(Key);
  return m_Run.m_Checker.beginWrite(std::move(Write));
}

void LoadSession::put() {
  const DatabaseName &Database = chooseDatabase();
  size_t Row = m_Random() % kOwnRows;
  uint64_t &Generation = m_Generations[{Database, Row}];
  std::string Key = m_Run.m_Settings.m_RunPrefix + "/p" +
                    std::to_string(m_Number) + "/" + std::to_string(Row) + "." +
                    std::to_string(Generation);
  startWrite(LoadRequestKind::Write, Database, Key, LoadWriteKind::Put,
             [&Generation](LoadWriteState State) {
               // It may still be applied after later writes.
               if (State == LoadWriteState::Unknown)
                 ++Generation;
             });
}

void LoadSession::split() {
  const DatabaseName &Database = chooseDatabase();
  std::string Key = m_Run.m_Settings.m_RunPrefix + "/s" +
                    std::to_string(m_Random() % kSplitLists) + "/list";
  startWrite(LoadRequestKind::Split, Database, Key, LoadWriteKind::Append, {});
}

void LoadSession::book() {
  const DatabaseName &Database = chooseDatabase();
  uint64_t &Last = m_Run.m_LastSlot[Database];
  uint64_t Slot = Last;
  if (chance() < kContention)
    Slot -= std::min(Last, m_Random() % kContendedSlots);
  else
    Slot = ++Last;
  std::string Key = m_Run.m_Settings.m_RunPrefix + "/b" +
                    std::to_string(Slot / kSlotsPerGroup) + "/" +
                    std::to_string(Slot);
  startWrite(LoadRequestKind::Booking, Database, Key, LoadWriteKind::Insert,
             {});
}

void LoadSession::startWrite(LoadRequestKind Kind, const DatabaseName &Database,
                             const std::string &Key, LoadWriteKind WriteKind,
                             std::function<void(LoadWriteState)> OnSettled) {
  std::shared_ptr<Pending> Write = std::make_shared<Pending>();
  uint64_t Number = beginWrite(Database, Key, WriteKind);
  Write->m_Numbers = {Number};
  Write->m_IdempotencyKey =
      m_Run.m_Settings.m_RunPrefix + "-" + std::to_string(Number);
  Write->m_OnSettled = std::move(OnSettled);
  Call &Call = Write->m_Call;
  Call.m_Kind = Kind;
  Call.m_Database = Database;
  Call.m_Path = "write";
  Call.m_Headers = {{"Idempotency-Key", Write->m_IdempotencyKey}};
  Call.m_Body = statementOf(WriteKind, Key, Number);
  Call.m_Acknowledges = true;
  sendPending(Write);
}

void LoadSession::sendPending(const std::shared_ptr<Pending> &Write) {
  if (Write->m_IsFirst)
    Write->m_GiveUpAt = m_Run.m_Loop.now() + kResolveLimit;
  send(Write->m_Call,
       [this, Write](const ProxyAnswer &Answer) { takeAnswer(Write, Answer); });
}

void LoadSession::takeAnswer(const std::shared_ptr<Pending> &Write,
                             const ProxyAnswer &Answer) {
  bool WasFirst = Write->m_IsFirst;
  Write->m_IsFirst = false;
  if (Answer.isServed()) {
    settle(*Write, LoadWriteState::Acknowledged);
    finish(Answer);
    return;
  }
  if (Answer.m_ErrorKind == "idempotency_mismatch")
    m_Run.m_Checker.addViolation("the idempotency key " +
                                 Write->m_IdempotencyKey +
                                 " was refused for its own statement");
  // A refusal of a repetition says nothing about the request before it.
  bool IsRefused =
      WasFirst && (Answer.m_ErrorKind == "statement_failed" ||
                   Answer.m_Ran == "no" || Answer.m_WasNothingSent);
  if (IsRefused) {
    settle(*Write, Answer.m_ErrorKind == "statement_failed"
                       ? LoadWriteState::Failed
                       : LoadWriteState::NotRun);
    finish(Answer);
    return;
  }
  resolve(Write);
}

void LoadSession::resolve(const std::shared_ptr<Pending> &Write) {
  if (m_Run.m_Loop.now() >= Write->m_GiveUpAt) {
    settle(*Write, LoadWriteState::Unknown);
    finish(kResolveInterval);
    return;
  }
  after(kResolveInterval, [this, Write] { lookUp(Write); });
}

void LoadSession::lookUp(const std::shared_ptr<Pending> &Write) {
  Call Call;
  Call.m_Kind = LoadRequestKind::Lookup;
  Call.m_Method = HttpMethod::Get;
  Call.m_Database = Write->m_Call.m_Database;
  Call.m_Path = "requests/" + Write->m_IdempotencyKey;
  send(Call, [this, Write](const ProxyAnswer &Answer) {
    if (Answer.isServed()) {
      settle(*Write, LoadWriteState::Acknowledged);
      finish(Answer);
      return;
    }
    if (Answer.m_ErrorKind == "not_found" && Write->m_MayResend) {
      sendPending(Write);
      return;
    }
    resolve(Write);
  });
}

void LoadSession::settle(const Pending &Write, LoadWriteState State) {
  for (uint64_t Number : Write.m_Numbers)
    m_Run.m_Checker.finishWrite(Number, State, m_Run.m_Loop.now());
  if (Write.m_OnSettled)
    Write.m_OnSettled(State);
}

// Transactions.

void LoadSession::transact() {
  std::shared_ptr<OpenTransaction> Open = std::make_shared<OpenTransaction>();
  Open->m_Database = chooseDatabase();
  Open->m_Number = ++m_Run.m_LastTransaction;
  Call Begin;
  Begin.m_Kind = LoadRequestKind::Transaction;
  Begin.m_Database = Open->m_Database;
  Begin.m_Path = "transactions";
  send(Begin, [this, Open](const ProxyAnswer &Answer) {
    Json Body = Json::parse(Answer.m_Response.m_Body, nullptr, false);
    if (!Answer.isServed() || !Body.is_object() ||
        !Body.contains("transaction")) {
      finish(Answer);
      return;
    }
    Open->m_Path =
        "transactions/" + Body["transaction"].get<std::string>() + "/";
    execute(Open, 0);
  });
}

void LoadSession::execute(const std::shared_ptr<OpenTransaction> &Open,
                          size_t Step) {
  if (Step == kTransactionSteps) {
    if (chance() < kRollbackFraction)
      rollBack(Open);
    else
      commit(Open);
    return;
  }
  std::string Key = m_Run.m_Settings.m_RunPrefix + "/t" +
                    std::to_string(m_Number) + "/" + std::to_string(Step);
  uint64_t Number =
      beginWrite(Open->m_Database, Key, LoadWriteKind::Append, Open->m_Number);
  Open->m_Writes.push_back(Number);
  Call Statement;
  Statement.m_Kind = LoadRequestKind::Transaction;
  Statement.m_Database = Open->m_Database;
  Statement.m_Path = Open->m_Path + "statements";
  Statement.m_Body = statementOf(LoadWriteKind::Append, Key, Number);
  send(Statement, [this, Open, Step](const ProxyAnswer &Answer) {
    if (Answer.isServed())
      execute(Open, Step + 1);
    else
      rollBack(Open);
  });
}

void LoadSession::commit(const std::shared_ptr<OpenTransaction> &Open) {
  std::shared_ptr<Pending> Write = std::make_shared<Pending>();
  Write->m_Numbers = Open->m_Writes;
  Write->m_MayResend = false;
  Write->m_IdempotencyKey =
      m_Run.m_Settings.m_RunPrefix + "-t" + std::to_string(Open->m_Number);
  Call &Call = Write->m_Call;
  Call.m_Kind = LoadRequestKind::Transaction;
  Call.m_Database = Open->m_Database;
  Call.m_Path = Open->m_Path + "commit";
  Call.m_Headers = {{"Idempotency-Key", Write->m_IdempotencyKey}};
  Call.m_Acknowledges = true;
  sendPending(Write);
}

void LoadSession::rollBack(const std::shared_ptr<OpenTransaction> &Open) {
  // No commit was sent, so nothing of the transaction may ever be seen.
  for (uint64_t Number : Open->m_Writes)
    m_Run.m_Checker.finishWrite(Number, LoadWriteState::NotRun,
                                m_Run.m_Loop.now());
  Call Call;
  Call.m_Kind = LoadRequestKind::Transaction;
  Call.m_Database = Open->m_Database;
  Call.m_Path = Open->m_Path + "rollback";
  send(Call, [this](const ProxyAnswer &Answer) { finish(Answer); });
}

} // namespace almondpier
