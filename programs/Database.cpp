#include "almondpier/Net.h"
#include "almondpier/Settings.h"
#include "almondpier/StandIn.h"
#include "almondpier/Telemetry.h"

#include <cstdio>
#include <cstdlib>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, database, "", "Name of the database (group)");
ABSL_FLAG(std::string, instance, "", "Name of this instance");
ABSL_FLAG(std::string, zone, "", "Availability zone of this instance");
ABSL_FLAG(std::string, statements, "",
          "ADDRESS:PORT of the statement endpoint");
ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the platform endpoint");
ABSL_FLAG(std::string, control, "",
          "HTTP endpoints of the control hosts, ADDRESS:PORT,...");
ABSL_FLAG(std::string, data_folder, "", "Folder that holds the log");
ABSL_FLAG(std::string, group_size, "", "Instances in the group (3)");
ABSL_FLAG(std::string, slots, "", "Statements executed at a time (3)");
ABSL_FLAG(std::string, connection_limit, "", "Connections for statements (25)");
ABSL_FLAG(std::string, connection_ms, "",
          "Time to open a connection, in ms (10)");
ABSL_FLAG(std::string, statement_ms, "", "Time a statement takes, in ms (0)");
ABSL_FLAG(std::string, lag_ms, "",
          "Replication lag of this instance, in ms (0)");
ABSL_FLAG(std::string, sync, "", "Sync each record to the disk (false)");

using namespace almondpier;

static std::vector<SettingSpec> specs() {
  constexpr int64_t kMaxCount = 100'000;
  constexpr int64_t kMaxMs = 60'000;
  return {
      {"database", SettingKind::Name},
      {"instance", SettingKind::Name},
      {"zone", SettingKind::Name},
      {"statements", SettingKind::Endpoint},
      {"platform", SettingKind::Endpoint},
      {"control", SettingKind::EndpointList, ""},
      {"announcement_secret", SettingKind::Secret, ""},
      {"data_folder", SettingKind::Folder, ""},
      {"group_size", SettingKind::Integer, "3", 1, kMaxCount},
      {"slots", SettingKind::Integer, "3", 1, kMaxCount},
      {"connection_limit", SettingKind::Integer, "25", 1, kMaxCount},
      {"connection_ms", SettingKind::Integer, "10", 0, kMaxMs, "ms"},
      {"statement_ms", SettingKind::Integer, "0", 0, kMaxMs, "ms"},
      {"lag_ms", SettingKind::Integer, "0", 0, kMaxMs, "ms"},
      {"sync", SettingKind::Boolean, "false"},
  };
}

static StandInSettings settingsOf(const Settings &Values) {
  auto Amount = [&](const std::string &Name) {
    return static_cast<uint32_t>(Values.integer(Name));
  };
  StandInSettings Result;
  InstanceRecord &Instance = Result.m_Instance;
  Instance.m_Database.m_Value = Values.text("database");
  Instance.m_Name.m_Value = Values.text("instance");
  Instance.m_Zone.m_Value = Values.text("zone");
  Instance.m_StatementEndpoint = Values.endpoint("statements");
  Instance.m_PlatformEndpoint = Values.endpoint("platform");
  Instance.m_Slots = Amount("slots");
  Instance.m_ConnectionLimit = Amount("connection_limit");
  Instance.m_GroupSize = Amount("group_size");
  Result.m_Control = Values.endpoints("control");
  Result.m_AnnouncementSecret = Values.text("announcement_secret");
  Result.m_DataFolder = Values.text("data_folder");
  Result.m_SyncEachRecord = Values.boolean("sync");
  Result.m_ConnectionDelayMs = Amount("connection_ms");
  Result.m_StatementDelayMs = Amount("statement_ms");
  Result.m_ReplicationLagMs = Amount("lag_ms");
  return Result;
}

int main(int Count, char **Arguments) {
  try {
    parseCommandLine(Count, Arguments,
                     "Runs one instance of the stand-in database.");
    Settings Values = Settings::load(specs());
    initializeLogging("almondpier-database", Values.text("instance"));
    EventLoop Loop;
    StandInServer Server(Loop, settingsOf(Values));
    ShutdownSignal Signal(Loop, [&] { Loop.stop(); });
    writeLog(LogLevel::Info, "serving database " + Values.text("database"));
    Loop.run();
    return EXIT_SUCCESS;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "almondpier-database: %s\n", Failure.what());
    return EXIT_FAILURE;
  }
}
