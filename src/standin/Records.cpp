#include "standin/Records.h"

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

static Json toJson(const StandInEntry &Entry) {
  Json Effects = Json::array();
  for (const StandInEffect &Effect : Entry.m_Effects)
    Effects.push_back({Effect.m_Key, Effect.m_IsAppend, Effect.m_Value});
  return Json{
      {"term", Entry.m_Position.m_Term}, {"index", Entry.m_Position.m_Index},
      {"request", Entry.m_RequestId},    {"digest", Entry.m_StatementDigest},
      {"result", Entry.m_Result},        {"effects", Effects}};
}

static StandInEntry entryOf(const Json &Value) {
  StandInEntry Entry;
  Entry.m_Position.m_Term = Value.at("term").get<uint64_t>();
  Entry.m_Position.m_Index = Value.at("index").get<uint64_t>();
  Entry.m_RequestId = Value.at("request").get<std::string>();
  Entry.m_StatementDigest = Value.at("digest").get<std::string>();
  Entry.m_Result = Value.at("result").get<std::string>();
  for (const Json &Effect : Value.at("effects"))
    Entry.m_Effects.push_back({Effect.at(0).get<std::string>(),
                               Effect.at(1).get<bool>(),
                               Effect.at(2).get<std::string>()});
  return Entry;
}

namespace {

struct RecordEncoder {
  Json operator()(const StandInEntry &Entry) const {
    return Json{{"entry", toJson(Entry)}};
  }
  Json operator()(const StandInSealRecord &Record) const {
    return Json{{"seal", Record.m_Term}};
  }
  Json operator()(const StandInPromoteRecord &Record) const {
    return Json{{"promote", Record.m_Term}};
  }
  Json operator()(const StandInSource &Source) const {
    return Json{{"follow",
                 {{"term", Source.m_Term},
                  {"primary", Source.m_Primary.m_Value},
                  {"platform", formatEndpoint(Source.m_Platform)}}}};
  }
  Json operator()(const StandInTruncateRecord &Record) const {
    return Json{{"truncate", Record.m_Index}};
  }
};

} // namespace

std::string encodeRecord(const StandInRecord &Record) {
  return std::visit(RecordEncoder{}, Record).dump();
}

static StandInRecord recordOf(const Json &Value) {
  if (Value.contains("entry"))
    return entryOf(Value["entry"]);
  if (Value.contains("seal"))
    return StandInSealRecord{Value["seal"].get<uint64_t>()};
  if (Value.contains("promote"))
    return StandInPromoteRecord{Value["promote"].get<uint64_t>()};
  if (Value.contains("truncate"))
    return StandInTruncateRecord{Value["truncate"].get<uint64_t>()};
  const Json &Follow = Value.at("follow");
  return StandInSource{Follow.at("term").get<uint64_t>(),
                       InstanceName{Follow.at("primary").get<std::string>()},
                       parseEndpoint(Follow.at("platform").get<std::string>())};
}

StandInRecord decodeRecord(std::string_view Text) {
  try {
    return recordOf(Json::parse(Text));
  } catch (const std::exception &Failure) {
    throw Error(ErrorKind::Internal,
                std::string("a record of the data folder is invalid (") +
                    Failure.what() + "); start with an empty data folder");
  }
}

std::string encodeLogPart(const StandInLogBatch &Part) {
  Json Entries = Json::array();
  for (const StandInEntry &Entry : Part.m_Entries)
    Entries.push_back(toJson(Entry));
  Json Value{{"entries", Entries}};
  if (Part.m_TruncateTo)
    Value["truncate_to"] = *Part.m_TruncateTo;
  return Value.dump();
}

StandInLogBatch decodeLogPart(std::string_view Text) {
  try {
    Json Value = Json::parse(Text);
    StandInLogBatch Part;
    Part.m_IsPrimary = true;
    if (Value.contains("truncate_to"))
      Part.m_TruncateTo = Value["truncate_to"].get<uint64_t>();
    for (const Json &Entry : Value.at("entries"))
      Part.m_Entries.push_back(entryOf(Entry));
    return Part;
  } catch (const Json::exception &Failure) {
    throw Error(ErrorKind::BadRequest,
                std::string("not a part of a log: ") + Failure.what());
  }
}

} // namespace almondpier
