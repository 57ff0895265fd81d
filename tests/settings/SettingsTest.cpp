#include "almondpier/Settings.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

Settings::Lookup lookupIn(const std::map<std::string, std::string> &Values) {
  return [Values](const std::string &Name) -> std::optional<std::string> {
    auto Found = Values.find(Name);
    if (Found == Values.end())
      return std::nullopt;
    return Found->second;
  };
}

const std::vector<SettingSpec> kSpecs = {
    {"host", SettingKind::Name, std::nullopt, 0, 0, ""},
    {"listen", SettingKind::Endpoint, std::nullopt, 0, 0, ""},
    {"control_peers", SettingKind::EndpointList, std::nullopt, 0, 0, ""},
    {"timeout_ms", SettingKind::Integer, "5000", 1, 30'000, "ms"},
    {"fleet_secret", SettingKind::Secret, std::nullopt, 0, 0, ""}};

} // namespace

TEST_CASE("a flag goes before the environment, and secrets are masked") {
  Settings Loaded = Settings::load(
      kSpecs, lookupIn({{"host", "h1"}, {"listen", "127.0.0.1:80"}}),
      lookupIn({{"ALMONDPIER_HOST", "h2"},
                {"ALMONDPIER_CONTROL_PEERS", "127.0.0.1:1,127.0.0.1:2"},
                {"ALMONDPIER_FLEET_SECRET", "0123456789abcdef"}}));
  CHECK(Loaded.text("host") == "h1");
  CHECK(Loaded.endpoints("control_peers").size() == 2);
  CHECK(Loaded.integer("timeout_ms") == 5'000);
  CHECK(Loaded.toText().find("0123456789abcdef") == std::string::npos);
  CHECK_THROWS_AS(Loaded.text("unknown"), std::logic_error);
}

TEST_CASE("all invalid settings are reported at once, each with its remedy") {
  std::string Report;
  try {
    Settings::load(
        kSpecs, lookupIn({{"listen", "nowhere"}, {"timeout_ms", "0"}}),
        lookupIn({{"ALMONDPIER_CONTROL_PEERS", "127.0.0.1:1,x"},
                  {"ALMONDPIER_FLEET_SECRET", "CHANGE-ME-0123456789"}}));
  } catch (const SettingsError &Problem) {
    Report = Problem.what();
  }
  for (std::string_view Part :
       {"--host (ALMONDPIER_HOST): is required", "'nowhere'",
        "from 1 to 30000 ms", "'x'", "placeholder"})
    CHECK_MESSAGE(Report.find(Part) != std::string::npos, Report);
}
