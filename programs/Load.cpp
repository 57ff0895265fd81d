#include "almondpier/Load.h"
#include "almondpier/Net.h"
#include "almondpier/Settings.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, proxies, "",
          "HTTP endpoints of the proxies, ADDRESS:PORT,...");
ABSL_FLAG(std::string, databases, "", "Names of the databases, NAME,...");
ABSL_FLAG(std::string, keys, "", "Callers' keys, ORGANISATION=KEY,...");
ABSL_FLAG(std::string, keys_file, "", "File with one ORGANISATION=KEY a line");
ABSL_FLAG(std::string, concurrency, "",
          "Sessions that send one request after the other (32)");
ABSL_FLAG(std::string, rate, "",
          "Operations a second of an open loop; 0 for a closed loop (0)");
ABSL_FLAG(std::string, rates, "",
          "Rates of single organisations, ORGANISATION=RATE,...");
ABSL_FLAG(std::string, limits, "",
          "Voted limits, ORGANISATION=RATE:BURST,..., for the measures");
ABSL_FLAG(std::string, mix, "",
          "Weights of reads, writes, bookings, splits and transactions "
          "(70,12,6,8,4)");
ABSL_FLAG(std::string, max_age_percent, "",
          "Part of the reads with Max-Age-Ms (50)");
ABSL_FLAG(std::string, max_age_ms, "", "Max-Age-Ms of these reads (2000)");
ABSL_FLAG(std::string, confirmed_percent, "",
          "Part of the reads without a session token (5)");
ABSL_FLAG(std::string, roam_percent, "",
          "Requests for which a session moves to another proxy (50)");
ABSL_FLAG(std::string, duration_s, "", "Duration of the load (10)");
ABSL_FLAG(std::string, seed, "", "Seed of all random choices (1)");
ABSL_FLAG(std::string, run, "",
          "Prefix of the keys written; random when empty");
ABSL_FLAG(std::string, direct, "",
          "Statement endpoint of an instance: sends reads straight to it");
ABSL_FLAG(std::string, json, "", "Prints JSON instead of text (false)");

using namespace almondpier;

static std::vector<SettingSpec> specs() {
  constexpr int64_t kMaxCount = 1'000'000;
  constexpr int64_t kMaxSeconds = 3'600;
  constexpr int64_t kMaxMs = 60'000;
  return {
      {"proxies", SettingKind::EndpointList, ""},
      {"databases", SettingKind::Text, ""},
      {"keys", SettingKind::Text, ""},
      {"keys_file", SettingKind::Text, ""},
      {"concurrency", SettingKind::Integer, "32", 1, kMaxCount},
      {"rate", SettingKind::Integer, "0", 0, kMaxCount, "operations/s"},
      {"rates", SettingKind::Text, ""},
      {"limits", SettingKind::Text, ""},
      {"mix", SettingKind::Text, "70,12,6,8,4"},
      {"max_age_percent", SettingKind::Integer, "50", 0, 100, "%"},
      {"max_age_ms", SettingKind::Integer, "2000", 1, kMaxMs, "ms"},
      {"confirmed_percent", SettingKind::Integer, "5", 0, 100, "%"},
      {"roam_percent", SettingKind::Integer, "50", 0, 100, "%"},
      {"duration_s", SettingKind::Integer, "10", 1, kMaxSeconds, "s"},
      {"seed", SettingKind::Integer, "1", 0},
      {"run", SettingKind::Text, ""},
      {"direct", SettingKind::EndpointList, ""},
      {"json", SettingKind::Boolean, "false"},
  };
}

/// Splits "NAME=VALUE".
static std::pair<std::string, std::string> splitPair(const std::string &Text) {
  size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    throw std::invalid_argument("'" + Text + "' is not of the form NAME=VALUE");
  return {Text.substr(0, Equals), Text.substr(Equals + 1)};
}

static LoadKey keyOf(const std::string &Text) {
  std::pair<std::string, std::string> Pair = splitPair(Text);
  return LoadKey{OrganisationName{Pair.first}, Pair.second};
}

static std::vector<LoadKey> keysOf(const Settings &Values) {
  std::vector<LoadKey> Keys;
  for (const std::string &Key : splitList(Values.text("keys")))
    Keys.push_back(keyOf(Key));
  if (Values.text("keys_file").empty())
    return Keys;
  std::ifstream File(Values.text("keys_file"));
  if (!File)
    throw std::invalid_argument("cannot read the file of --keys_file");
  for (std::string Line; std::getline(File, Line);)
    if (!Line.empty())
      Keys.push_back(keyOf(Line));
  return Keys;
}

static Limit limitOf(const std::string &Text) {
  size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    throw std::invalid_argument("'" + Text + "' is not of the form RATE:BURST");
  return Limit{std::stod(Text.substr(0, Colon)),
               std::stod(Text.substr(Colon + 1))};
}

static LoadMix mixOf(const std::string &Text) {
  std::vector<double> Weights;
  for (const std::string &Part : splitList(Text))
    Weights.push_back(std::stod(Part));
  if (Weights.size() != 5)
    throw std::invalid_argument("--mix needs five weights");
  return LoadMix{Weights[0], Weights[1], Weights[2], Weights[3], Weights[4]};
}

static std::string randomRun() {
  std::random_device Device;
  return "run" + std::to_string(Device());
}

static LoadSettings loadSettingsOf(const Settings &Values) {
  constexpr double kPercent = 100;
  auto Fraction = [&](const std::string &Name) {
    return static_cast<double>(Values.integer(Name)) / kPercent;
  };
  LoadSettings Result;
  Result.m_Proxies = Values.endpoints("proxies");
  for (const std::string &Name : splitList(Values.text("databases")))
    Result.m_Databases.push_back(DatabaseName{Name});
  Result.m_Keys = keysOf(Values);
  if (Result.m_Proxies.empty() || Result.m_Databases.empty() ||
      Result.m_Keys.empty())
    throw std::invalid_argument(
        "--proxies, --databases and --keys (or --keys_file) are required");
  Result.m_Concurrency = static_cast<uint32_t>(Values.integer("concurrency"));
  Result.m_RatePerSecond = static_cast<double>(Values.integer("rate"));
  for (const std::string &Part : splitList(Values.text("rates"))) {
    std::pair<std::string, std::string> Pair = splitPair(Part);
    Result.m_Rates[OrganisationName{Pair.first}] = std::stod(Pair.second);
  }
  for (const std::string &Part : splitList(Values.text("limits"))) {
    std::pair<std::string, std::string> Pair = splitPair(Part);
    Result.m_Limits[OrganisationName{Pair.first}] = limitOf(Pair.second);
  }
  Result.m_Mix = mixOf(Values.text("mix"));
  Result.m_MaxAgeFraction = Fraction("max_age_percent");
  Result.m_MaxAgeMs = static_cast<uint32_t>(Values.integer("max_age_ms"));
  Result.m_ConfirmedFraction = Fraction("confirmed_percent");
  Result.m_ProxySwitchFraction = Fraction("roam_percent");
  Result.m_Duration = std::chrono::seconds(Values.integer("duration_s"));
  Result.m_Seed = static_cast<uint64_t>(Values.integer("seed"));
  Result.m_RunPrefix =
      Values.text("run").empty() ? randomRun() : Values.text("run");
  return Result;
}

static LoadOutcome runWith(const Settings &Values) {
  EventLoop Loop;
  std::vector<Endpoint> Direct = Values.endpoints("direct");
  if (Direct.empty())
    return runLoad(Loop, loadSettingsOf(Values));
  DirectLoadSettings Settings;
  Settings.m_Instance = Direct.front();
  Settings.m_Concurrency = static_cast<uint32_t>(Values.integer("concurrency"));
  Settings.m_Duration = std::chrono::seconds(Values.integer("duration_s"));
  return runDirectLoad(Loop, Settings);
}

int main(int Count, char **Arguments) {
  try {
    parseCommandLine(Count, Arguments,
                     "Sends load to proxies, checks every answer and prints "
                     "the measures. Exits with 1 on any violation.");
    Settings Values = Settings::load(specs());
    LoadOutcome Outcome = runWith(Values);
    std::fputs(Values.boolean("json") ? Outcome.m_Json.c_str()
                                      : Outcome.m_Text.c_str(),
               stdout);
    return Outcome.m_IsCorrect ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "almondpier-load: %s\n", Failure.what());
    return EXIT_FAILURE;
  }
}
