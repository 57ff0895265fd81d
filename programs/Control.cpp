#include "almondpier/ControlHost.h"
#include "almondpier/Settings.h"
#include "almondpier/Telemetry.h"

#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, host, "", "Name of this host, unique in the system");
ABSL_FLAG(std::string, zone, "", "Availability zone of this host");
ABSL_FLAG(std::string, peer, "",
          "ADDRESS:PORT (TCP and UDP) for proxies and other control hosts");
ABSL_FLAG(std::string, operations, "",
          "ADDRESS:PORT (HTTP) for operators, announcements and metrics");
ABSL_FLAG(std::string, data_folder, "",
          "Folder that holds the log; empty at the first start");
ABSL_FLAG(std::string, operator_keys, "",
          "Operators and the digests of their keys, NAME:DIGEST,...");
ABSL_FLAG(std::string, join, "",
          "Peer endpoints of control hosts that an empty data folder joins, "
          "ADDRESS:PORT,...");
ABSL_FLAG(std::string, bootstrap, "",
          "true forms a new cluster when the data folder is empty; only for "
          "the very first control host");
ABSL_FLAG(std::string, fleet_secret_file, "",
          "File with the secret shared by all hosts, unless it is in "
          "ALMONDPIER_FLEET_SECRET");
ABSL_FLAG(std::string, announcement_secret_file, "",
          "File with the secret of announcing instances, unless it is in "
          "ALMONDPIER_ANNOUNCEMENT_SECRET");

using namespace almondpier;

static Settings loadSettings() {
  return Settings::load({
      {"host", SettingKind::Name},
      {"zone", SettingKind::Name},
      {"peer", SettingKind::Endpoint},
      {"operations", SettingKind::Endpoint},
      {"data_folder", SettingKind::Folder},
      {"operator_keys", SettingKind::Text},
      {"join", SettingKind::EndpointList, ""},
      {"bootstrap", SettingKind::Boolean, "false"},
      {"fleet_secret", SettingKind::Secret},
      {"announcement_secret", SettingKind::Secret},
  });
}

static ControlHostSettings hostSettings(const Settings &Loaded) {
  ControlHostSettings Host;
  Host.m_Host = {Loaded.text("host")};
  Host.m_Zone = {Loaded.text("zone")};
  Host.m_Peer = Loaded.endpoint("peer");
  Host.m_Operations = Loaded.endpoint("operations");
  Host.m_DataFolder = Loaded.text("data_folder");
  Host.m_Operators = parseOperatorKeys(Loaded.text("operator_keys"));
  Host.m_Join = Loaded.endpoints("join");
  Host.m_Bootstrap = Loaded.boolean("bootstrap");
  Host.m_FleetSecret = {Loaded.text("fleet_secret")};
  Host.m_AnnouncementSecret = Loaded.text("announcement_secret");
  return Host;
}

int main(int ArgumentCount, char **Arguments) {
  try {
    parseCommandLine(
        ArgumentCount, Arguments,
        "Control host of almondpier: holds the configuration log, lends rate "
        "tokens and changes primaries. Every flag can be an environment "
        "variable: --peer is ALMONDPIER_PEER.");
    Settings Loaded = loadSettings();
    ControlHostSettings Settings = hostSettings(Loaded);
    initializeLogging("almondpier-control", Settings.m_Host.m_Value);
    EventLoop Loop;
    ControlHost Host(Loop, Settings);
    ShutdownSignal Signal(Loop, [&] { Host.shutDown(); });
    writeLog(LogLevel::Info, "started with " + Loaded.toText());
    Host.run();
    writeLog(LogLevel::Info, "stopped");
    return EXIT_SUCCESS;
  } catch (const std::exception &Failure) {
    std::cerr << "almondpier-control: " << Failure.what() << '\n';
    return EXIT_FAILURE;
  }
}
