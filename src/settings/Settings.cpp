#include "almondpier/Settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <fstream>

#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

namespace almondpier {

namespace {

constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxSecretBytes = 64;
/// Marks secrets of the deployment templates that nobody has replaced.
constexpr std::string_view kPlaceholder = "CHANGE-ME";
constexpr std::string_view kFileSuffix = "_file";

std::optional<int64_t> parseInteger(std::string_view Text) {
  int64_t Value = 0;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

std::string trimmed(std::string Text) {
  while (!Text.empty() &&
         std::isspace(static_cast<unsigned char>(Text.back())) != 0)
    Text.pop_back();
  return Text;
}

} // namespace

/// Collects the values and the errors of all settings.
class SettingsLoader {
public:
  SettingsLoader(const Settings::Lookup &Flag,
                 const Settings::Lookup &Environment)
      : m_Flag(Flag), m_Environment(Environment) {}

  void load(const SettingSpec &Spec) {
    std::optional<Settings::Value> Found =
        Spec.m_Kind == SettingKind::Secret ? findSecret(Spec) : findPlain(Spec);
    if (!Found)
      return;
    std::string Problem = check(Spec, Found->m_Text);
    if (!Problem.empty()) {
      m_Errors.push_back(nameOf(Spec) + ": " + Problem);
      return;
    }
    m_Result.m_Values.emplace(Spec.m_Name, std::move(*Found));
  }

  Settings finish() {
    if (m_Errors.empty())
      return std::move(m_Result);
    std::string Text = "invalid settings:";
    for (const std::string &Problem : m_Errors)
      Text += "\n  " + Problem;
    throw SettingsError(Text);
  }

private:
  static std::string nameOf(const SettingSpec &Spec) {
    std::string Variable = environmentVariableOf(Spec.m_Name);
    if (Spec.m_Kind == SettingKind::Secret)
      return Variable;
    return "--" + Spec.m_Name + " (" + Variable + ")";
  }

  std::optional<Settings::Value> findPlain(const SettingSpec &Spec) {
    std::string Variable = environmentVariableOf(Spec.m_Name);
    if (std::optional<std::string> Text = m_Flag(Spec.m_Name))
      return Settings::Value{Spec.m_Kind, *Text, "flag"};
    if (std::optional<std::string> Text = m_Environment(Variable))
      return Settings::Value{Spec.m_Kind, *Text, "environment"};
    if (Spec.m_Default)
      return Settings::Value{Spec.m_Kind, *Spec.m_Default, "default"};
    m_Errors.push_back(nameOf(Spec) + ": is required; set the flag or the "
                                      "environment variable");
    return std::nullopt;
  }

  std::optional<Settings::Value> findSecret(const SettingSpec &Spec) {
    std::string Variable = environmentVariableOf(Spec.m_Name);
    if (std::optional<std::string> Text = m_Environment(Variable))
      return Settings::Value{Spec.m_Kind, *Text, "environment"};
    std::string FileName = Spec.m_Name + std::string(kFileSuffix);
    std::optional<std::string> File = m_Flag(FileName);
    if (!File)
      File = m_Environment(environmentVariableOf(FileName));
    if (File)
      return readSecret(Spec, *File);
    if (Spec.m_Default)
      return Settings::Value{Spec.m_Kind, *Spec.m_Default, "default"};
    m_Errors.push_back(Variable + ": is required; set it, or name a file in " +
                       environmentVariableOf(FileName));
    return std::nullopt;
  }

  std::optional<Settings::Value> readSecret(const SettingSpec &Spec,
                                            const std::string &File) {
    std::ifstream Input(File);
    std::string Text(std::istreambuf_iterator<char>(Input), {});
    if (Input)
      return Settings::Value{Spec.m_Kind, trimmed(Text), "file " + File};
    m_Errors.push_back(nameOf(Spec) + ": cannot read the file '" + File +
                       "'; check its path and permissions");
    return std::nullopt;
  }

  /// Returns what is wrong with a value, or an empty text.
  static std::string check(const SettingSpec &Spec, const std::string &Text) {
    switch (Spec.m_Kind) {
    case SettingKind::Text:
    case SettingKind::Folder:
      return {};
    case SettingKind::Name:
      return isValidName(Text) || Spec.m_Default == Text
                 ? ""
                 : "'" + Text +
                       "' is not a name; use 1 to 64 letters, digits, '.', "
                       "'_' or '-'";
    case SettingKind::Integer:
      return checkInteger(Spec, Text);
    case SettingKind::Boolean:
      return Text == "true" || Text == "false"
                 ? ""
                 : "'" + Text + "' is neither true nor false";
    case SettingKind::Endpoint:
      return checkEndpoints({Text});
    case SettingKind::EndpointList:
      return checkEndpoints(splitList(Text));
    case SettingKind::Secret:
      return checkSecret(Spec, Text);
    }
    return {};
  }

  static std::string checkInteger(const SettingSpec &Spec,
                                  const std::string &Text) {
    std::optional<int64_t> Value = parseInteger(Text);
    if (Value && *Value >= Spec.m_Min && *Value <= Spec.m_Max)
      return {};
    std::string Unit = Spec.m_Unit.empty() ? "" : " " + Spec.m_Unit;
    return "'" + Text + "' is out of range; use a whole number from " +
           std::to_string(Spec.m_Min) + " to " + std::to_string(Spec.m_Max) +
           Unit;
  }

  static std::string checkEndpoints(const std::vector<std::string> &Texts) {
    try {
      for (const std::string &Text : Texts)
        parseEndpoint(Text);
    } catch (const std::invalid_argument &Problem) {
      return Problem.what();
    }
    return {};
  }

  static std::string checkSecret(const SettingSpec &Spec,
                                 const std::string &Text) {
    if (Spec.m_Default == Text)
      return {};
    if (Text.find(kPlaceholder) != std::string::npos)
      return "still has the placeholder of the template; draw a random secret";
    if (Text.size() < kMinSecretBytes || Text.size() > kMaxSecretBytes)
      return "has " + std::to_string(Text.size()) +
             " bytes; use 16 to 64 random characters";
    return {};
  }

  const Settings::Lookup &m_Flag;
  const Settings::Lookup &m_Environment;
  Settings m_Result;
  std::vector<std::string> m_Errors;
};

Settings Settings::load(const std::vector<SettingSpec> &Specs,
                        const Lookup &Flag, const Lookup &Environment) {
  SettingsLoader Loader(Flag, Environment);
  for (const SettingSpec &Spec : Specs)
    Loader.load(Spec);
  return Loader.finish();
}

Settings Settings::load(const std::vector<SettingSpec> &Specs) {
  Lookup Flag = [](const std::string &Name) -> std::optional<std::string> {
    const absl::CommandLineFlag *Found = absl::FindCommandLineFlag(Name);
    if (Found == nullptr || Found->CurrentValue().empty())
      return std::nullopt;
    return Found->CurrentValue();
  };
  Lookup Environment =
      [](const std::string &Name) -> std::optional<std::string> {
    const char *Found = std::getenv(Name.c_str());
    if (Found == nullptr)
      return std::nullopt;
    return Found;
  };
  return load(Specs, Flag, Environment);
}

const Settings::Value &Settings::find(const std::string &Name) const {
  auto Found = m_Values.find(Name);
  if (Found == m_Values.end())
    throw std::logic_error("no setting '" + Name + "'");
  return Found->second;
}

const std::string &Settings::text(const std::string &Name) const {
  return find(Name).m_Text;
}

int64_t Settings::integer(const std::string &Name) const {
  std::optional<int64_t> Value = parseInteger(find(Name).m_Text);
  if (!Value)
    throw std::logic_error("setting '" + Name + "' is no integer");
  return *Value;
}

bool Settings::boolean(const std::string &Name) const {
  return find(Name).m_Text == "true";
}

Endpoint Settings::endpoint(const std::string &Name) const {
  return parseEndpoint(find(Name).m_Text);
}

std::vector<Endpoint> Settings::endpoints(const std::string &Name) const {
  std::vector<Endpoint> Result;
  for (const std::string &Text : splitList(find(Name).m_Text))
    Result.push_back(parseEndpoint(Text));
  return Result;
}

std::string Settings::toText() const {
  std::string Text;
  for (const std::pair<const std::string, Value> &Entry : m_Values) {
    bool IsSecret = Entry.second.m_Kind == SettingKind::Secret;
    Text += Entry.first + "=" + (IsSecret ? "******" : Entry.second.m_Text) +
            " (" + Entry.second.m_Source + ")\n";
  }
  return Text;
}

std::string environmentVariableOf(const std::string &Name) {
  std::string Variable = "ALMONDPIER_" + Name;
  std::transform(Variable.begin(), Variable.end(), Variable.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::toupper(Character));
                 });
  return Variable;
}

std::vector<std::string> parseCommandLine(int ArgumentCount, char **Arguments,
                                          std::string_view Usage) {
  absl::SetProgramUsageMessage(std::string(Usage));
  absl::FlagsUsageConfig Config;
  // Shows the program's own flags, and not those of Abseil.
  Config.contains_help_flags = [](absl::string_view File) {
    return File.find("programs/") != absl::string_view::npos;
  };
  Config.contains_helpshort_flags = Config.contains_help_flags;
  absl::SetFlagsUsageConfig(Config);
  std::vector<char *> Positional =
      absl::ParseCommandLine(ArgumentCount, Arguments);
  return std::vector<std::string>(Positional.begin() + 1, Positional.end());
}

std::vector<std::string> splitList(std::string_view Text) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    size_t Comma = Text.find(',');
    std::string_view Part = Text.substr(0, Comma);
    if (!Part.empty())
      Parts.emplace_back(Part);
    if (Comma == std::string_view::npos)
      break;
    Text.remove_prefix(Comma + 1);
  }
  return Parts;
}

} // namespace almondpier
