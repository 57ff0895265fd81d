/// \file
/// Settings of the programs, from command-line flags and environment variables.
/// All are validated together at start.
///
/// The main file of a program defines one Abseil string flag with an empty
/// default for each setting. The setting "listen" is taken from --listen or,
/// when that flag is not given, from the environment variable
/// ALMONDPIER_LISTEN.
#pragma once

#include "almondpier/Model.h"

#include <limits>

namespace almondpier {

enum class SettingKind : uint8_t {
  Text,
  /// Text accepted by isValidName.
  Name,
  Integer,
  Boolean,
  Endpoint,
  /// Comma-separated endpoints.
  EndpointList,
  Folder,
  /// 16 to 64 bytes. Not accepted on the command line, which other users of
  /// the host can read. It is taken from the environment variable or from the
  /// file named by the setting with the suffix "_file".
  Secret,
};

/// Describes one setting.
struct SettingSpec {
  /// Flag name, such as "listen".
  std::string m_Name;
  SettingKind m_Kind = SettingKind::Text;
  /// Value when the setting is not given. A setting without a default is
  /// required.
  std::optional<std::string> m_Default;
  int64_t m_Min = 0;
  int64_t m_Max = std::numeric_limits<int64_t>::max();
  /// Unit of an integer for error messages, such as "ms".
  std::string m_Unit;
};

/// Thrown when settings are invalid. what() lists every error and how to
/// correct it.
class SettingsError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/// The validated settings of a program.
class Settings {
public:
  using Lookup =
      std::function<std::optional<std::string>(const std::string &Name)>;

  /// Reads flags and environment variables. Throws SettingsError.
  static Settings load(const std::vector<SettingSpec> &Specs);
  /// As above, with injected sources for tests. Flag and Environment return
  /// std::nullopt for a value that is not given. Environment is called with
  /// the name of the variable.
  static Settings load(const std::vector<SettingSpec> &Specs,
                       const Lookup &Flag, const Lookup &Environment);

  /// The accessors throw std::logic_error when the setting does not exist or
  /// has another kind.
  const std::string &text(const std::string &Name) const;
  int64_t integer(const std::string &Name) const;
  bool boolean(const std::string &Name) const;
  Endpoint endpoint(const std::string &Name) const;
  std::vector<Endpoint> endpoints(const std::string &Name) const;

  /// Returns one "name=value" entry per setting, with its source. Secrets are
  /// masked.
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

/// Returns the environment variable of a setting, such as "ALMONDPIER_LISTEN"
/// for "listen".
std::string environmentVariableOf(const std::string &Name);

/// Parses the command line with Abseil flags and returns the positional
/// arguments. --help prints Usage and the flags and exits.
std::vector<std::string> parseCommandLine(int ArgumentCount, char **Arguments,
                                          std::string_view Usage);

/// Splits a comma-separated list and drops empty items.
std::vector<std::string> splitList(std::string_view Text);

} // namespace almondpier
