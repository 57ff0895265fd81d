#include "almondpier/Load.h"

#include <algorithm>

namespace almondpier {

constexpr uint64_t kMaxListedPerKind = 10;

void LoadChecker::addViolation(const std::string &Text) {
  ++m_ViolationCount;
  // The text before the colon is the kind of the violation.
  if (++m_CountByKind[Text.substr(0, Text.find(':'))] <= kMaxListedPerKind)
    m_Violations.push_back(Text);
}

static std::string describe(const DatabaseName &Database,
                            const std::string &Key, uint64_t Value) {
  return "value " + std::to_string(Value) + " at key '" + Key +
         "' of database " + Database.m_Value;
}

uint64_t LoadChecker::beginWrite(LoadWrite Write) {
  Write.m_Number = ++m_LastNumber;
  m_Keys[{Write.m_Database, Write.m_Key}].m_Writes.push_back(m_LastNumber);
  m_Writes.emplace(m_LastNumber, std::move(Write));
  return m_LastNumber;
}

void LoadChecker::finishWrite(uint64_t Number, LoadWriteState State, Time Now) {
  LoadWrite &Write = m_Writes.at(Number);
  Write.m_State = State;
  if (State == LoadWriteState::Acknowledged)
    Write.m_AcknowledgedAt = Now;
  bool MustBeAbsent =
      State == LoadWriteState::NotRun || State == LoadWriteState::Failed;
  if (MustBeAbsent && Write.m_WasSeen)
    addViolation("refused as not run, but was read: " +
                 describe(Write.m_Database, Write.m_Key, Number));
}

void LoadChecker::checkValues(const KeyName &Key,
                              const std::vector<uint64_t> &Values) {
  std::unordered_set<uint64_t> Seen;
  for (uint64_t Value : Values) {
    auto Found = m_Writes.find(Value);
    if (Found == m_Writes.end() || Found->second.m_Database != Key.first ||
        Found->second.m_Key != Key.second) {
      addViolation("never written there: " +
                   describe(Key.first, Key.second, Value));
      continue;
    }
    LoadWrite &Write = Found->second;
    if (!Seen.insert(Value).second)
      addViolation("applied twice: " + describe(Key.first, Key.second, Value));
    if (Write.m_State == LoadWriteState::NotRun)
      addViolation("refused as not run, but was read: " +
                   describe(Key.first, Key.second, Value));
    if (Write.m_State == LoadWriteState::Failed)
      addViolation("the statement failed, but its value was read: " +
                   describe(Key.first, Key.second, Value));
    Write.m_WasSeen = true;
  }
}

void LoadChecker::checkRequired(
    const KeyName &Key, const std::vector<uint64_t> &Values,
    const std::function<bool(const LoadWrite &)> &IsRequired,
    const std::string &Promise) {
  auto Known = m_Keys.find(Key);
  if (Known == m_Keys.end())
    return;
  std::unordered_set<uint64_t> Found(Values.begin(), Values.end());
  uint64_t Highest = 0;
  for (uint64_t Value : Values)
    Highest = std::max(Highest, Value);
  for (uint64_t Number : Known->second.m_Writes) {
    const LoadWrite &Write = m_Writes.at(Number);
    if (Write.m_State != LoadWriteState::Acknowledged || !IsRequired(Write))
      continue;
    // A later put of the same session replaces the value.
    bool IsReplaced =
        Write.m_Kind == LoadWriteKind::Put && Highest > Write.m_Number;
    if (!IsReplaced && !Found.contains(Number))
      addViolation(Promise + ": " + describe(Key.first, Key.second, Number));
  }
}

void LoadChecker::checkRead(const LoadRead &Read,
                            const std::vector<uint64_t> &Values) {
  KeyName Key{Read.m_Database, Read.m_Key};
  checkValues(Key, Values);
  switch (Read.m_Mode) {
  case LoadReadMode::Session:
    checkRequired(
        Key, Values,
        [&](const LoadWrite &Write) {
          return Write.m_Session == Read.m_Session &&
                 Write.m_AcknowledgedAt <= Read.m_StartedAt;
        },
        "a session did not see its own write");
    break;
  case LoadReadMode::Confirmed:
    checkRequired(
        Key, Values,
        [&](const LoadWrite &Write) {
          return Write.m_AcknowledgedAt < Read.m_StartedAt;
        },
        "a confirmed read missed an acknowledged write");
    break;
  case LoadReadMode::MaxAge:
    checkRequired(
        Key, Values,
        [&](const LoadWrite &Write) {
          return Write.m_AcknowledgedAt + Read.m_MaxAge < Read.m_StartedAt;
        },
        "a read was older than its Max-Age-Ms allows");
    break;
  }
}

void LoadChecker::checkFinalRead(const DatabaseName &Database,
                                 const std::string &Key,
                                 const std::vector<uint64_t> &Values) {
  KeyName Name{Database, Key};
  checkValues(Name, Values);
  checkRequired(
      Name, Values, [](const LoadWrite &) { return true; },
      "an acknowledged write was lost");
  KeyState &State = m_Keys[Name];
  State.m_WasVerified = true;
  State.m_Final.insert(Values.begin(), Values.end());
}

void LoadChecker::checkCompleteness() {
  struct Parts {
    size_t m_Writes = 0;
    size_t m_Found = 0;
  };
  std::map<uint64_t, Parts> Transactions;
  for (const std::pair<const KeyName, KeyState> &Key : m_Keys) {
    if (!Key.second.m_WasVerified)
      addViolation("could not be verified: key '" + Key.first.second +
                   "' of database " + Key.first.first.m_Value);
    for (uint64_t Number : Key.second.m_Writes) {
      const LoadWrite &Write = m_Writes.at(Number);
      if (Write.m_Transaction == 0 || Write.m_Kind != LoadWriteKind::Append)
        continue;
      Parts &Own = Transactions[Write.m_Transaction];
      ++Own.m_Writes;
      Own.m_Found += Key.second.m_Final.count(Number);
    }
  }
  for (const std::pair<const uint64_t, Parts> &Transaction : Transactions)
    if (Transaction.second.m_Found != 0 &&
        Transaction.second.m_Found != Transaction.second.m_Writes)
      addViolation("transaction " + std::to_string(Transaction.first) +
                   " was applied in part");
}

std::vector<std::pair<DatabaseName, std::string>> LoadChecker::keys() const {
  std::vector<KeyName> Result;
  Result.reserve(m_Keys.size());
  for (const std::pair<const KeyName, KeyState> &Key : m_Keys)
    Result.push_back(Key.first);
  return Result;
}

size_t LoadChecker::count(LoadWriteState State) const {
  return static_cast<size_t>(
      std::count_if(m_Writes.begin(), m_Writes.end(),
                    [&](const std::pair<const uint64_t, LoadWrite> &Write) {
                      return Write.second.m_State == State;
                    }));
}

} // namespace almondpier
