#include "operations/Tables.h"

#include <algorithm>
#include <ctime>
#include <map>
#include <string>
#include <vector>

namespace almondpier {

using Json = nlohmann::json;

namespace {

/// Control characters would add lines to a table or control the terminal.
std::string withoutControls(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](unsigned char Character) {
        constexpr unsigned char kDelete = 0x7f;
        return Character < ' ' || Character == kDelete;
      },
      ' ');
  return Text;
}

std::string textOf(const Json &Value) {
  if (Value.is_null())
    return "-";
  if (Value.is_boolean())
    return Value.get<bool>() ? "yes" : "no";
  return Value.is_string() ? withoutControls(Value.get<std::string>())
                           : Value.dump();
}

std::string timeOf(const Json &Milliseconds) {
  constexpr int64_t kMsPerSecond = 1'000;
  std::time_t Seconds = Milliseconds.get<int64_t>() / kMsPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  constexpr size_t kMaxText = 32;
  std::string Text(kMaxText, '\0');
  Text.resize(
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts));
  return Text;
}

using Row = std::vector<std::string>;

/// The first row is the heading.
void printTable(const std::vector<Row> &Rows, std::ostream &Out) {
  std::vector<size_t> Widths(Rows.front().size(), 0);
  for (const Row &Row : Rows)
    for (size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  for (const Row &Row : Rows) {
    for (size_t Column = 0; Column < Row.size(); ++Column) {
      bool IsLast = Column + 1 == Row.size();
      size_t Padding = IsLast ? 0 : Widths[Column] - Row[Column].size() + 2;
      Out << Row[Column] << std::string(Padding, ' ');
    }
    Out << '\n';
  }
}

/// Prints the named fields of each object.
void printFields(const Json &Objects, const Row &Fields, std::ostream &Out) {
  std::vector<Row> Rows{Fields};
  for (const Json &Object : Objects) {
    Row Cells;
    for (const std::string &Field : Fields)
      Cells.push_back(textOf(Object.value(Field, Json())));
    Rows.push_back(std::move(Cells));
  }
  printTable(Rows, Out);
}

Row limitRow(const std::string &Preset, const std::string &Organisation,
             const Json &Limit) {
  return {Preset, Organisation, textOf(Limit.at("rate_per_second")),
          textOf(Limit.at("burst"))};
}

} // namespace

void printOrganisations(const Json &Configuration, std::ostream &Out) {
  for (const Json &Name : Configuration.at("organisations"))
    Out << textOf(Name) << '\n';
}

void printKeys(const Json &Configuration, std::ostream &Out) {
  printFields(Configuration.at("keys"), {"key", "organisation"}, Out);
}

void printPresets(const Json &Configuration, std::ostream &Out) {
  std::vector<Row> Rows{{"preset", "organisation", "rate/s", "burst"}};
  std::string InForce = textOf(Configuration.at("preset_in_force"));
  for (const auto &[Name, Preset] : Configuration.at("presets").items()) {
    Rows.push_back(limitRow(Name, "(default)", Preset.at("default_limit")));
    for (const auto &[Organisation, Limit] : Preset.at("limits").items())
      Rows.push_back(limitRow(Name, Organisation, Limit));
  }
  printTable(Rows, Out);
  for (const auto &[Name, Preset] : Configuration.at("presets").items())
    Out << Name << ": max_read_age_ms " << textOf(Preset.at("max_read_age_ms"))
        << ", drain_timeout_ms " << textOf(Preset.at("drain_timeout_ms"))
        << ", vote '" << textOf(Preset.at("vote")) << "'"
        << (Name == InForce ? ", in force" : "") << '\n';
}

void printDatabases(const Json &Status, std::ostream &Out) {
  std::vector<Row> Rows{{"database", "instance", "zone", "role", "draining",
                         "statements", "term"}};
  for (const Json &Database : Status.at("databases"))
    for (const Json &Instance : Database.at("instances")) {
      bool IsPrimary = Instance.at("primary").get<bool>();
      bool IsSpare = Instance.at("spare").get<bool>();
      Rows.push_back(
          {textOf(Database.at("database")), textOf(Instance.at("instance")),
           textOf(Instance.at("zone")),
           IsPrimary ? "primary" : (IsSpare ? "spare" : "replica"),
           textOf(Instance.at("draining")), textOf(Instance.at("statements")),
           textOf(Database.at("primary_term"))});
    }
  printTable(Rows, Out);
}

void printHosts(const Json &Status, std::ostream &Out) {
  printFields(Status.at("hosts"), {"host", "zone", "live", "ready"}, Out);
}

void printZones(const Json &Configuration, std::ostream &Out) {
  struct Counts {
    size_t m_Hosts = 0;
    size_t m_Instances = 0;
  };
  std::map<std::string, Counts> Zones;
  for (const Json &Host : Configuration.at("hosts"))
    ++Zones[Host.at("zone").get<std::string>()].m_Hosts;
  for (const Json &Database : Configuration.at("databases"))
    for (const Json &Instance : Database.at("instances"))
      ++Zones[Instance.at("zone").get<std::string>()].m_Instances;
  const Json Evacuated = Configuration.value("evacuated_zones", Json::array());
  std::vector<Row> Rows{{"zone", "hosts", "instances", "evacuated"}};
  for (const auto &[Zone, Count] : Zones) {
    bool IsEvacuated =
        std::find(Evacuated.begin(), Evacuated.end(), Zone) != Evacuated.end();
    Rows.push_back({withoutControls(Zone), std::to_string(Count.m_Hosts),
                    std::to_string(Count.m_Instances),
                    IsEvacuated ? "yes" : "no"});
  }
  printTable(Rows, Out);
}

void printMembers(const Json &Status, std::ostream &Out) {
  printFields(
      Status.at("members"),
      {"member", "host", "zone", "voter", "leader", "peer", "operations"}, Out);
}

void printStatus(const Json &Status, std::ostream &Out) {
  Out << "leader " << textOf(Status.at("leader")) << ", term "
      << textOf(Status.at("term")) << ", index " << textOf(Status.at("index"))
      << ", version " << textOf(Status.at("version")) << ", preset "
      << textOf(Status.at("preset_in_force")) << "\n\n";
  printMembers(Status, Out);
  Out << '\n';
  printHosts(Status, Out);
  Out << '\n';
  printDatabases(Status, Out);
  if (Status.at("failovers").empty())
    return;
  Out << '\n';
  printFields(Status.at("failovers"),
              {"database", "term", "primary", "reason", "detect_ms", "begin_ms",
               "seal_ms", "promote_ms", "publish_ms", "total_ms"},
              Out);
}

void printAudit(const Json &Page, std::ostream &Out) {
  std::vector<Row> Rows{
      {"number", "time", "actor", "version", "result", "change"}};
  for (const Json &Record : Page.at("records")) {
    bool IsAccepted = Record.at("accepted").get<bool>();
    Rows.push_back(
        {textOf(Record.at("number")), timeOf(Record.at("time_ms")),
         textOf(Record.at("actor")), textOf(Record.at("version")),
         IsAccepted ? "accepted" : textOf(Record.at("error").at("kind")),
         textOf(Record.at("change"))});
  }
  printTable(Rows, Out);
  if (Page.at("next_after") != Page.at("last_number"))
    Out << "continue with --after=" << textOf(Page.at("next_after")) << '\n';
}

} // namespace almondpier
