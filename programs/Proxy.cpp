#include "almondpier/Proxy.h"
#include "almondpier/Settings.h"
#include "almondpier/Telemetry.h"

#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, host, "", "Name of this host");
ABSL_FLAG(std::string, zone, "", "Availability zone of this host");
ABSL_FLAG(std::string, listen, "", "ADDRESS:PORT for callers (HTTP)");
ABSL_FLAG(std::string, peer, "",
          "ADDRESS:PORT for other hosts (TCP and UDP); they connect to it");
ABSL_FLAG(std::string, control, "",
          "Peer endpoints of the control hosts, ADDRESS:PORT,...");
ABSL_FLAG(std::string, fleet_secret_file, "",
          "File that holds the fleet secret");
ABSL_FLAG(std::string, max_connections, "",
          "Connections of callers served at a time");

using namespace almondpier;

static Settings loadSettings() {
  return Settings::load({
      {"host", SettingKind::Name, std::nullopt},
      {"zone", SettingKind::Name, std::nullopt},
      {"listen", SettingKind::Endpoint, std::nullopt},
      {"peer", SettingKind::Endpoint, std::nullopt},
      {"control", SettingKind::EndpointList, std::nullopt},
      {"fleet_secret", SettingKind::Secret, std::nullopt},
      {"max_connections", SettingKind::Integer, "20000", 1, 1'000'000},
  });
}

static ProxySettings proxySettingsOf(const Settings &Loaded) {
  ProxySettings Result;
  Result.m_Host = HostRecord{HostName{Loaded.text("host")},
                             AvailabilityZone{Loaded.text("zone")},
                             Loaded.endpoint("peer")};
  Result.m_Listen = Loaded.endpoint("listen");
  Result.m_Control = Loaded.endpoints("control");
  Result.m_FleetSecret = Loaded.text("fleet_secret");
  Result.m_MaxConnections =
      static_cast<uint32_t>(Loaded.integer("max_connections"));
  return Result;
}

int main(int Count, char **Arguments) {
  parseCommandLine(Count, Arguments,
                   "Runs the proxy of an entry host. SIGTERM finishes the work "
                   "in progress and ends the process.");
  try {
    ProxySettings Settings = proxySettingsOf(loadSettings());
    initializeLogging("almondpier-proxy", Settings.m_Host.m_Name.m_Value);
    EventLoop Loop;
    ProxyServer Server(Loop, Settings);
    ShutdownSignal Signal(Loop, [&] { Server.shutDown(); });
    Loop.run();
  } catch (const std::exception &Failure) {
    std::cerr << "almondpier-proxy: " << Failure.what() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
