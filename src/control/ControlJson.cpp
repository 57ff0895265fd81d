#include "control/ControlJson.h"

namespace almondpier {

using Json = nlohmann::json;

namespace {

std::string stringField(const Json &Source, const char *Field) {
  return Source.at(Field).get<std::string>();
}

KeyDigest parseDigest(const std::string &Text) {
  KeyDigest Digest;
  if (Text.size() != 2 * Digest.m_Bytes.size() ||
      Text.find_first_not_of("0123456789abcdef") != std::string::npos)
    throw Error(ErrorKind::BadRequest,
                "a digest must have 64 lower-case hexadecimal digits");
  constexpr int kHexadecimalBase = 16;
  for (size_t Index = 0; Index < Digest.m_Bytes.size(); ++Index)
    Digest.m_Bytes[Index] = static_cast<uint8_t>(
        std::stoi(Text.substr(2 * Index, 2), nullptr, kHexadecimalBase));
  return Digest;
}

PresetKind parsePresetKindField(const Json &Source) {
  std::string Text = stringField(Source, "preset");
  std::optional<PresetKind> Kind = parsePresetKind(Text);
  if (!Kind)
    throw Error(ErrorKind::BadRequest,
                "a preset must be ordinary, peak or maintenance");
  return *Kind;
}

Limit parseLimit(const Json &Source) {
  return Limit{Source.at("rate_per_second").get<double>(),
               Source.at("burst").get<double>()};
}

Preset parsePreset(const Json &Source) {
  Preset Result;
  Result.m_DefaultLimit = parseLimit(Source.at("default_limit"));
  Json Limits = Source.value("limits", Json::object());
  for (const auto &[Organisation, Limit] : Limits.items())
    Result.m_Limits.emplace(OrganisationName{Organisation}, parseLimit(Limit));
  Result.m_MaxReadAgeMs =
      Source.value("max_read_age_ms", Result.m_MaxReadAgeMs);
  Result.m_DrainTimeoutMs =
      Source.value("drain_timeout_ms", Result.m_DrainTimeoutMs);
  Result.m_Vote = Source.value("vote", std::string());
  return Result;
}

ChangeBody parseChangeOfType(const std::string &Type, const Json &Source) {
  if (Type == "create_organisation")
    return CreateOrganisation{{stringField(Source, "organisation")}};
  if (Type == "remove_organisation")
    return RemoveOrganisation{{stringField(Source, "organisation")}};
  if (Type == "issue_key")
    return IssueKey{{stringField(Source, "key")},
                    {{stringField(Source, "organisation")},
                     parseDigest(stringField(Source, "digest"))}};
  if (Type == "revoke_key")
    return RevokeKey{{stringField(Source, "key")}};
  if (Type == "define_preset")
    return DefinePreset{parsePresetKindField(Source), parsePreset(Source)};
  if (Type == "activate_preset")
    return ActivatePreset{parsePresetKindField(Source)};
  if (Type == "drain_instance")
    return DrainInstance{{stringField(Source, "database")},
                         {stringField(Source, "instance")},
                         Source.value("draining", true)};
  if (Type == "remove_instance")
    return RemoveInstance{{stringField(Source, "database")},
                          {stringField(Source, "instance")}};
  if (Type == "remove_host")
    return RemoveHost{{stringField(Source, "host")}};
  if (Type == "evacuate_zone")
    return EvacuateZone{{stringField(Source, "zone")},
                        Source.value("evacuated", true)};
  throw Error(ErrorKind::BadRequest, "unknown change type '" + Type + "'");
}

Json toJson(const Limit &Limit) {
  return Json{{"rate_per_second", Limit.m_RatePerSecond},
              {"burst", Limit.m_Burst}};
}

Json toJson(const Preset &Preset) {
  Json Limits = Json::object();
  for (const std::pair<const OrganisationName, Limit> &Entry : Preset.m_Limits)
    Limits[Entry.first.m_Value] = toJson(Entry.second);
  return Json{{"default_limit", toJson(Preset.m_DefaultLimit)},
              {"limits", Limits},
              {"max_read_age_ms", Preset.m_MaxReadAgeMs},
              {"drain_timeout_ms", Preset.m_DrainTimeoutMs},
              {"vote", Preset.m_Vote}};
}

Json toJson(const InstanceRecord &Instance, const DatabaseRecord &Database,
            bool IsSpare) {
  return Json{{"instance", Instance.m_Name.m_Value},
              {"zone", Instance.m_Zone.m_Value},
              {"statements", formatEndpoint(Instance.m_StatementEndpoint)},
              {"platform", formatEndpoint(Instance.m_PlatformEndpoint)},
              {"slots", Instance.m_Slots},
              {"connection_limit", Instance.m_ConnectionLimit},
              {"draining", Database.m_Draining.contains(Instance.m_Name)},
              {"spare", IsSpare},
              {"primary", Database.m_Primary == Instance.m_Name}};
}

Json toJson(const DatabaseName &Name, const DatabaseRecord &Database) {
  Json Instances = Json::array();
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Database.m_Instances)
    Instances.push_back(toJson(Entry.second, Database, false));
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Database.m_Spares)
    Instances.push_back(toJson(Entry.second, Database, true));
  return Json{{"database", Name.m_Value},
              {"group_size", Database.m_GroupSize},
              {"begun_term", Database.m_BegunTerm},
              {"primary_term", Database.m_PrimaryTerm},
              {"primary",
               Database.m_Primary ? Json(Database.m_Primary->m_Value) : Json()},
              {"instances", Instances}};
}

Json toJson(const ControlMember &Member, bool IsVoter,
            const ControlBlackboard &Board) {
  return Json{{"member", std::to_string(Member.m_Id.m_Value)},
              {"host", Member.m_Host.m_Value},
              {"zone", Member.m_Zone.m_Value},
              {"peer", formatEndpoint(Member.m_Peer)},
              {"operations", formatEndpoint(Member.m_Operations)},
              {"voter", IsVoter},
              {"leader", Member.m_Id == Board.m_Leader}};
}

double millisecondsOf(Duration Value) {
  constexpr double kMicrosPerMs = 1e3;
  return static_cast<double>(Value.count()) / kMicrosPerMs;
}

Json toJson(const FailoverRecord &Record) {
  return Json{{"database", Record.m_Database.m_Value},
              {"term", Record.m_Term},
              {"primary", Record.m_Primary.m_Value},
              {"reason", Record.m_Reason},
              {"time_ms", Record.m_WallTimeMs},
              {"detect_ms", millisecondsOf(Record.m_Detect)},
              {"begin_ms", millisecondsOf(Record.m_Begin)},
              {"seal_ms", millisecondsOf(Record.m_Seal)},
              {"promote_ms", millisecondsOf(Record.m_Promote)},
              {"publish_ms", millisecondsOf(Record.m_Publish)},
              {"total_ms", millisecondsOf(Record.m_Total)}};
}

template <typename Parse> auto rethrowAsBadRequest(Parse Parser) {
  try {
    return Parser();
  } catch (const Json::exception &Failure) {
    throw Error(ErrorKind::BadRequest, Failure.what());
  } catch (const std::invalid_argument &Failure) {
    throw Error(ErrorKind::BadRequest, Failure.what());
  }
}

} // namespace

ChangeBody parseChangeBody(const Json &Source) {
  return rethrowAsBadRequest(
      [&] { return parseChangeOfType(stringField(Source, "type"), Source); });
}

InstanceRecord parseAnnouncement(const Json &Source) {
  return rethrowAsBadRequest([&] {
    InstanceRecord Record;
    Record.m_Database = {stringField(Source, "database")};
    Record.m_Name = {stringField(Source, "instance")};
    Record.m_Zone = {stringField(Source, "zone")};
    Record.m_StatementEndpoint =
        parseEndpoint(stringField(Source, "statements"));
    Record.m_PlatformEndpoint = parseEndpoint(stringField(Source, "platform"));
    Record.m_Slots = Source.value("slots", Record.m_Slots);
    Record.m_ConnectionLimit =
        Source.value("connection_limit", Record.m_ConnectionLimit);
    Record.m_GroupSize = Source.value("group_size", Record.m_GroupSize);
    if (!isValidName(Record.m_Database.m_Value) ||
        !isValidName(Record.m_Name.m_Value))
      throw Error(ErrorKind::BadRequest,
                  "a name must have 1 to 64 letters, digits, "
                  "'.', '_' or '-'");
    return Record;
  });
}

Json toJson(const ErrorReport &Error) {
  Json Body{{"kind", std::string(nameOf(Error.m_Kind))},
            {"message", Error.m_Message},
            {"remedy", std::string(remedyOf(Error.m_Kind))},
            {"ran", std::string(nameOf(Error.m_Ran))}};
  if (Error.m_RetryAfterMs != 0)
    Body["retry_after_ms"] = Error.m_RetryAfterMs;
  return Body;
}

Json toJson(const Configuration &Configuration) {
  Json Presets = Json::object();
  for (PresetKind Kind :
       {PresetKind::Ordinary, PresetKind::Peak, PresetKind::Maintenance})
    Presets[std::string(nameOf(Kind))] = toJson(Configuration.preset(Kind));
  Json Organisations = Json::array();
  for (const OrganisationName &Name : Configuration.organisations())
    Organisations.push_back(Name.m_Value);
  Json Keys = Json::array();
  for (const std::pair<const KeyId, KeyRecord> &Entry : Configuration.keys())
    Keys.push_back(Json{{"key", Entry.first.m_Value},
                        {"organisation", Entry.second.m_Organisation.m_Value}});
  Json Databases = Json::array();
  for (const std::pair<const DatabaseName, DatabaseRecord> &Entry :
       Configuration.databases())
    Databases.push_back(toJson(Entry.first, Entry.second));
  Json Hosts = Json::array();
  for (const std::pair<const HostName, HostRecord> &Entry :
       Configuration.hosts())
    Hosts.push_back(
        Json{{"host", Entry.first.m_Value},
             {"zone", Entry.second.m_Zone.m_Value},
             {"forward", formatEndpoint(Entry.second.m_ForwardEndpoint)}});
  Json EvacuatedZones = Json::array();
  for (const AvailabilityZone &Zone : Configuration.evacuatedZones())
    EvacuatedZones.push_back(Zone.m_Value);
  return Json{{"version", Configuration.version()},
              {"preset_in_force",
               std::string(nameOf(Configuration.activePresetKind()))},
              {"presets", Presets},
              {"organisations", Organisations},
              {"keys", Keys},
              {"databases", Databases},
              {"hosts", Hosts},
              {"evacuated_zones", EvacuatedZones}};
}

Json toJson(const AuditRecord &Record) {
  Json Body{{"number", Record.m_Number},
            {"index", Record.m_LogIndex},
            {"time_ms", Record.m_WallTimeMs},
            {"actor", Record.m_Actor},
            {"change_id", Record.m_ChangeId},
            {"change", Record.m_Description},
            {"accepted", Record.m_Outcome.m_Accepted},
            {"version", Record.m_Outcome.m_Version}};
  if (Record.m_Outcome.m_Error)
    Body["error"] = toJson(*Record.m_Outcome.m_Error);
  return Body;
}

Json statusToJson(const ControlBlackboard &Board) {
  Json Members = Json::array();
  for (const ControlMember &Member : Board.m_Membership.m_Voters)
    Members.push_back(toJson(Member, true, Board));
  for (const ControlMember &Member : Board.m_Membership.m_Learners)
    Members.push_back(toJson(Member, false, Board));
  std::map<HostName, bool> Ready;
  for (const LiveHost &Host : Board.m_LiveHosts.m_Hosts)
    Ready[Host.m_Host] = Host.m_Ready;
  Json Hosts = Json::array();
  for (const std::pair<const HostName, HostRecord> &Entry :
       Board.configuration().hosts())
    Hosts.push_back(
        Json{{"host", Entry.first.m_Value},
             {"zone", Entry.second.m_Zone.m_Value},
             {"live", Ready.contains(Entry.first)},
             {"ready", Ready.contains(Entry.first) && Ready[Entry.first]}});
  Json Databases = Json::array();
  for (const std::pair<const DatabaseName, DatabaseRecord> &Entry :
       Board.configuration().databases()) {
    Json Database = toJson(Entry.first, Entry.second);
    auto Step = Board.m_FailoverSteps.find(Entry.first);
    if (Step != Board.m_FailoverSteps.end())
      Database["change_of_primary"] = Step->second;
    Databases.push_back(std::move(Database));
  }
  Json Failovers = Json::array();
  for (const FailoverRecord &Record : Board.m_Failovers)
    Failovers.push_back(toJson(Record));
  const ControlMember *Leader = Board.findMember(Board.m_Leader);
  return Json{
      {"host", Board.m_Self.m_Host.m_Value},
      {"is_leader", Board.m_IsLeader},
      {"leader", Leader != nullptr ? Json(Leader->m_Host.m_Value) : Json()},
      {"term", Board.m_Term},
      {"index", Board.m_State.appliedIndex()},
      {"version", Board.configuration().version()},
      {"preset_in_force",
       std::string(nameOf(Board.configuration().activePresetKind()))},
      {"members", Members},
      {"hosts", Hosts},
      {"databases", Databases},
      {"failovers", Failovers}};
}

} // namespace almondpier
