/// \file
/// Settings of the programs: command-line flags and environment variables,
/// checked together at start.
///
/// A program defines one string flag with Abseil for each setting, with an
/// empty default, in its main file. The setting "listen" comes from --listen
/// or, when that is not given, from the environment variable
/// ALMONDPIER_LISTEN.
#pragma once

#include "almondpier/Model.h"

#include <limits>

namespace almondpier {

enum class SettingKind : uint8_t {
  Text,
  /// Accepted by isValidName.
  Name,
  Integer,
  Boolean,
  Endpoint,
  /// Comma-separated endpoints.
  EndpointList,
  Folder,
  /// At least 16 and at most 64 bytes. Never on the command line, where other
  /// users of the host could read it: it comes from the environment variable,
  /// or from the file named by the setting with the suffix "_file".
  Secret,
};

/// Describes one setting.
struct SettingSpec {
  /// Flag name, such as "listen".
  std::string m_Name;
  SettingKind m_Kind = SettingKind::Text;
  /// Used when the setting is not given; without one it is required.
  std::optional<std::string> m_Default;
  int64_t m_Min = 0;
  int64_t m_Max = std::numeric_limits<int64_t>::max();
  /// Unit of an integer, for messages, such as "ms".
  std::string m_Unit;
};

/// Thrown when settings are invalid; what() lists every error with its remedy.
class SettingsError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// Values of all settings of a program after the check.
class Settings {
public:
  using Lookup =
      std::function<std::optional<std::string>(const std::string &Name)>;

  /// Reads flags and environment. Throws SettingsError.
  static Settings load(const std::vector<SettingSpec> &Specs);
  /// The same with injected sources, for tests. Flag and Environment return
  /// nothing for what is not given; Environment gets the variable's name.
  static Settings load(const std::vector<SettingSpec> &Specs,
                       const Lookup &Flag, const Lookup &Environment);

  /// The accessors throw std::logic_error when the setting does not exist or
  /// has another kind.
  const std::string &text(const std::string &Name) const;
  int64_t integer(const std::string &Name) const;
  bool boolean(const std::string &Name) const;
  Endpoint endpoint(const std::string &Name) const;
  std::vector<Endpoint> endpoints(const std::string &Name) const;

  /// One "name=value" a line, with its source; secrets are masked.
  std::string toText() const;

private:
  struct Value {
    SettingKind m_Kind = SettingKind::Text;
    std::string m_Text;
    std::string m_Source;
  };
  friend class SettingsLoader;

  const Value &find(const std::string &Name) const;

  std::map<std::string, Value> m_Values;
};

/// Environment variable of a setting: "listen" becomes "ALMONDPIER_LISTEN".
std::string environmentVariableOf(const std::string &Name);

/// Parses the command line with Abseil flags and returns the positional
/// arguments. --help prints Usage and the flags and ends the program.
std::vector<std::string> parseCommandLine(int ArgumentCount, char **Arguments,
                                          std::string_view Usage);

/// Splits at commas; leaves out empty parts.
std::vector<std::string> splitList(std::string_view Text);

} // namespace almondpier
