#include "almondpier/Operations.h"
#include "almondpier/Settings.h"

#include <iostream>

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, control, "",
          "Operations endpoints of the control hosts, ADDRESS:PORT,...");
ABSL_FLAG(std::string, operator_key_file, "",
          "File with the operator key, unless it is in "
          "ALMONDPIER_OPERATOR_KEY");
ABSL_FLAG(bool, json, false, "Print JSON");
ABSL_FLAG(std::string, change_id, "",
          "Identifier of an earlier change to send again");
ABSL_FLAG(std::optional<uint64_t>, expect_version, std::nullopt,
          "Configuration version that the change expects");
ABSL_FLAG(std::optional<double>, default_rate, std::nullopt,
          "Requests per second of organisations without a limit of their own");
ABSL_FLAG(std::optional<double>, default_burst, std::nullopt,
          "Burst of organisations without a limit of their own");
ABSL_FLAG(std::string, limit, "",
          "ORGANISATION=RATE:BURST,...; may be given several times");
ABSL_FLAG(std::optional<uint32_t>, max_read_age_ms, std::nullopt,
          "Largest age that a read may accept");
ABSL_FLAG(std::optional<uint32_t>, drain_timeout_ms, std::nullopt,
          "Time in which a departing database finishes its work");
ABSL_FLAG(std::optional<std::string>, vote, std::nullopt,
          "Reference of the vote");
ABSL_FLAG(uint64_t, after, 0, "Number of the last audit record already seen");
ABSL_FLAG(uint32_t, count, 100, "Audit records to show, at most 1,000");

using namespace almondpier;

/// Abseil keeps only the last of repeated flags, so repeated limits are joined.
static std::vector<std::string> joinLimits(int ArgumentCount,
                                           char **Arguments) {
  constexpr std::string_view kFlag = "--limit=";
  std::vector<std::string> Joined;
  std::string Limits;
  for (int Index = 0; Index < ArgumentCount; ++Index) {
    std::string Argument = Arguments[Index];
    if (Argument == "--limit" && Index + 1 < ArgumentCount) {
      ++Index;
      Limits += "," + std::string(Arguments[Index]);
    } else if (Argument.starts_with(kFlag)) {
      Limits += "," + Argument.substr(kFlag.size());
    } else {
      Joined.push_back(std::move(Argument));
    }
  }
  if (!Limits.empty())
    Joined.insert(Joined.begin() + 1, std::string(kFlag) + Limits);
  return Joined;
}

static OperationsOptions loadOptions() {
  // Drawing an operator key needs neither, so both may be missing here.
  Settings Loaded = Settings::load({
      {"control", SettingKind::EndpointList, ""},
      {"operator_key", SettingKind::Secret, ""},
  });
  OperationsOptions Options;
  Options.m_Control = Loaded.endpoints("control");
  Options.m_OperatorKey = Loaded.text("operator_key");
  Options.m_IsJson = absl::GetFlag(FLAGS_json);
  Options.m_ChangeId = absl::GetFlag(FLAGS_change_id);
  Options.m_ExpectVersion = absl::GetFlag(FLAGS_expect_version);
  Options.m_DefaultRate = absl::GetFlag(FLAGS_default_rate);
  Options.m_DefaultBurst = absl::GetFlag(FLAGS_default_burst);
  Options.m_Limits = splitList(absl::GetFlag(FLAGS_limit));
  Options.m_MaxReadAgeMs = absl::GetFlag(FLAGS_max_read_age_ms);
  Options.m_DrainTimeoutMs = absl::GetFlag(FLAGS_drain_timeout_ms);
  Options.m_Vote = absl::GetFlag(FLAGS_vote);
  Options.m_After = absl::GetFlag(FLAGS_after);
  Options.m_Limit = absl::GetFlag(FLAGS_count);
  return Options;
}

int main(int ArgumentCount, char **Arguments) {
  try {
    std::vector<std::string> Joined = joinLimits(ArgumentCount, Arguments);
    std::vector<char *> Pointers;
    Pointers.reserve(Joined.size());
    for (std::string &Argument : Joined)
      Pointers.push_back(Argument.data());
    std::vector<std::string> Words = parseCommandLine(
        static_cast<int>(Pointers.size()), Pointers.data(), operationsUsage());
    return static_cast<int>(
        runOperation(Words, loadOptions(), std::cout, std::cerr));
  } catch (const std::exception &Failure) {
    std::cerr << "almondpier: " << Failure.what() << '\n';
    return static_cast<int>(OperationsExit::Usage);
  }
}
