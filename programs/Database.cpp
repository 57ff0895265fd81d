#include "almondpier/Net.h"
#include "almondpier/StandIn.h"

#include <cstdio>
#include <cstdlib>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

ABSL_FLAG(std::string, database, "", "Name of the database (group)");
ABSL_FLAG(std::string, instance, "", "Name of this instance");
ABSL_FLAG(std::string, zone, "", "Availability zone of this instance");
ABSL_FLAG(std::string, statements, "",
          "ADDRESS:PORT of the statement endpoint");
ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the platform endpoint");
ABSL_FLAG(std::string, control, "",
          "HTTP endpoints of the control hosts, ADDRESS:PORT,...");
ABSL_FLAG(std::string, data_folder, "", "Folder that holds the log");
ABSL_FLAG(uint32_t, group_size, 3, "Instances in the group");
ABSL_FLAG(uint32_t, slots, 3, "Statements executed at a time");
ABSL_FLAG(uint32_t, connection_limit, 25, "Connections for statements");
ABSL_FLAG(uint32_t, connection_ms, 10, "Time to open a connection, in ms");
ABSL_FLAG(uint32_t, statement_ms, 0, "Time a statement takes, in ms");
ABSL_FLAG(uint32_t, lag_ms, 0, "Replication lag of this instance, in ms");
ABSL_FLAG(bool, sync, false, "Sync each record to the disk");

using namespace almondpier;

static std::string fromEnvironment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

static void requireName(const std::string &Value, const char *Flag) {
  if (!isValidName(Value))
    throw std::invalid_argument(std::string("--") + Flag +
                                " needs 1 to 64 of "
                                "the characters a-z, A-Z, 0-9, '.', '_', '-'");
}

static StandInSettings settingsFromFlags() {
  StandInSettings Settings;
  InstanceRecord &Instance = Settings.m_Instance;
  Instance.m_Database.m_Value = absl::GetFlag(FLAGS_database);
  Instance.m_Name.m_Value = absl::GetFlag(FLAGS_instance);
  Instance.m_Zone.m_Value = absl::GetFlag(FLAGS_zone);
  requireName(Instance.m_Database.m_Value, "database");
  requireName(Instance.m_Name.m_Value, "instance");
  requireName(Instance.m_Zone.m_Value, "zone");
  Instance.m_Statements = parseEndpoint(absl::GetFlag(FLAGS_statements));
  Instance.m_Platform = parseEndpoint(absl::GetFlag(FLAGS_platform));
  Instance.m_Slots = absl::GetFlag(FLAGS_slots);
  Instance.m_ConnectionLimit = absl::GetFlag(FLAGS_connection_limit);
  Instance.m_GroupSize = absl::GetFlag(FLAGS_group_size);
  std::vector<std::string> Control =
      absl::StrSplit(absl::GetFlag(FLAGS_control), ',', absl::SkipEmpty());
  for (const std::string &Host : Control)
    Settings.m_Control.push_back(parseEndpoint(Host));
  Settings.m_AnnouncementSecret =
      fromEnvironment("ALMONDPIER_ANNOUNCEMENT_SECRET");
  Settings.m_DataFolder = absl::GetFlag(FLAGS_data_folder);
  Settings.m_SyncEachRecord = absl::GetFlag(FLAGS_sync);
  Settings.m_ConnectionMs = absl::GetFlag(FLAGS_connection_ms);
  Settings.m_StatementMs = absl::GetFlag(FLAGS_statement_ms);
  Settings.m_LagMs = absl::GetFlag(FLAGS_lag_ms);
  return Settings;
}

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage("Runs one instance of the stand-in database.");
  absl::ParseCommandLine(Count, Arguments);
  try {
    EventLoop Loop;
    StandInServer Server(Loop, settingsFromFlags());
    ShutdownSignal Signal(Loop, [&] { Loop.stop(); });
    Loop.run();
    return EXIT_SUCCESS;
  } catch (const std::exception &Failure) {
    std::fprintf(stderr, "almondpier-database: %s\n", Failure.what());
    return EXIT_FAILURE;
  }
}
