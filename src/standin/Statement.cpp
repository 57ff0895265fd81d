#include "standin/Statement.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

static std::optional<StandInOperation> operationOf(const std::string &Name) {
  if (Name == "get")
    return StandInOperation::Get;
  if (Name == "put")
    return StandInOperation::Put;
  if (Name == "insert")
    return StandInOperation::Insert;
  if (Name == "append")
    return StandInOperation::Append;
  if (Name == "list")
    return StandInOperation::List;
  return std::nullopt;
}

std::optional<StandInStatement> parseStatement(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("op") ||
      !Parsed["op"].is_string())
    return std::nullopt;
  std::optional<StandInOperation> Operation =
      operationOf(Parsed["op"].get<std::string>());
  if (!Operation)
    return std::nullopt;
  StandInStatement Statement;
  Statement.m_Operation = *Operation;
  const char *KeyField =
      *Operation == StandInOperation::List ? "prefix" : "key";
  if (!Parsed.contains(KeyField) || !Parsed[KeyField].is_string())
    return std::nullopt;
  Statement.m_Key = Parsed[KeyField].get<std::string>();
  if (Statement.writes()) {
    if (!Parsed.contains("value"))
      return std::nullopt;
    Statement.m_Value = Parsed["value"].dump();
  }
  return Statement;
}

static Json valueOf(const StandInRow &Row) {
  if (!Row.m_IsList)
    return Json::parse(Row.m_Values.front());
  Json List = Json::array();
  for (const std::string &Value : Row.m_Values)
    List.push_back(Json::parse(Value));
  return List;
}

static const StandInRow *findRow(const std::string &Key,
                                 const StandInRows &Rows,
                                 const StandInRows &Written) {
  auto Own = Written.find(Key);
  if (Own != Written.end())
    return &Own->second;
  auto Committed = Rows.find(Key);
  return Committed == Rows.end() ? nullptr : &Committed->second;
}

static StandInEvaluation evaluateList(const std::string &Prefix,
                                      const StandInRows &Rows,
                                      const StandInRows &Written) {
  Json Found = Json::object();
  auto Collect = [&](const StandInRows &Source) {
    for (auto Row = Source.lower_bound(Prefix);
         Row != Source.end() && Row->first.starts_with(Prefix); ++Row)
      Found[Row->first] = valueOf(Row->second);
  };
  Collect(Rows);
  Collect(Written);
  return {{}, Json{{"prefix", Prefix}, {"rows", Found}}.dump(), {}};
}

StandInEvaluation evaluate(const StandInStatement &Statement,
                           const StandInRows &Rows,
                           const StandInRows &Written) {
  const std::string &Key = Statement.m_Key;
  if (Statement.m_Operation == StandInOperation::List)
    return evaluateList(Key, Rows, Written);
  const StandInRow *Row = findRow(Key, Rows, Written);
  switch (Statement.m_Operation) {
  case StandInOperation::Get: {
    Json Value = Row == nullptr ? Json() : valueOf(*Row);
    return {{}, Json{{"key", Key}, {"value", Value}}.dump(), {}};
  }
  case StandInOperation::Insert:
    if (Row != nullptr)
      return {"the key '" + Key + "' exists already", {}, {}};
    break;
  case StandInOperation::Append: {
    if (Row != nullptr && !Row->m_IsList)
      return {"the value of '" + Key + "' is not a list", {}, {}};
    size_t Length = Row == nullptr ? 1 : Row->m_Values.size() + 1;
    return {{},
            Json{{"key", Key}, {"length", Length}}.dump(),
            StandInEffect{Key, true, Statement.m_Value}};
  }
  default:
    break;
  }
  return {{},
          Json{{"key", Key}, {"stored", true}}.dump(),
          StandInEffect{Key, false, Statement.m_Value}};
}

void applyEffect(const StandInEffect &Effect, StandInRows &Rows) {
  StandInRow &Row = Rows[Effect.m_Key];
  if (!Effect.m_IsAppend)
    Row.m_Values.clear();
  Row.m_IsList = Effect.m_IsAppend;
  Row.m_Values.push_back(Effect.m_Value);
}

std::string errorBody(const std::string &Message) {
  return Json{{"error", Message}}.dump(-1, ' ', false,
                                       Json::error_handler_t::replace);
}

} // namespace almondpier
