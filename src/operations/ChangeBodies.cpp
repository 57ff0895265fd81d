#include "operations/ChangeBodies.h"

#include <charconv>
#include <sodium.h>

namespace almondpier {

using Json = nlohmann::json;

namespace {

constexpr size_t kKeyBytes = 32;
constexpr size_t kIdentifierBytes = 16;
constexpr size_t kKeyIdSuffixBytes = 4;

std::string drawBytes(size_t Count) {
  // Computing a digest initialises the library that draws.
  digestOfKey({});
  std::string Bytes(Count, '\0');
  randombytes_buf(Bytes.data(), Bytes.size());
  return Bytes;
}

double parseNumber(const std::string &Text, const std::string &Whole) {
  double Value = 0;
  std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Text.empty() || Result.ec != std::errc() ||
      Result.ptr != Text.data() + Text.size())
    throw UsageError("'" + Whole +
                     "' is not a limit; write ORGANISATION=RATE:BURST, such as "
                     "prairie=500:1000, or ORGANISATION=none");
  return Value;
}

void applyLimit(const std::string &Text, Json &Limits) {
  size_t Equals = Text.find('=');
  std::string Organisation = Text.substr(0, Equals);
  std::string Value =
      Equals == std::string::npos ? "" : Text.substr(Equals + 1);
  if (Value == "none") {
    Limits.erase(Organisation);
    return;
  }
  size_t Colon = Value.find(':');
  std::string Burst = Colon == std::string::npos ? "" : Value.substr(Colon + 1);
  Limits[Organisation] =
      Json{{"rate_per_second", parseNumber(Value.substr(0, Colon), Text)},
           {"burst", parseNumber(Burst, Text)}};
}

Json definePreset(const std::string &Preset, const OperationsOptions &Options,
                  const Json &Configuration) {
  Json Body = Configuration.at("presets").at(Preset);
  Body["type"] = "define_preset";
  Body["preset"] = Preset;
  if (Options.m_DefaultRate)
    Body["default_limit"]["rate_per_second"] = *Options.m_DefaultRate;
  if (Options.m_DefaultBurst)
    Body["default_limit"]["burst"] = *Options.m_DefaultBurst;
  for (const std::string &Limit : Options.m_Limits)
    applyLimit(Limit, Body["limits"]);
  if (Options.m_MaxReadAgeMs)
    Body["max_read_age_ms"] = *Options.m_MaxReadAgeMs;
  if (Options.m_DrainTimeoutMs)
    Body["drain_timeout_ms"] = *Options.m_DrainTimeoutMs;
  if (Options.m_Vote)
    Body["vote"] = *Options.m_Vote;
  return Body;
}

ChangeDraft issueKey(const std::vector<std::string> &Words) {
  const std::string &Organisation = Words[2];
  ChangeDraft Draft;
  std::string Suffix = "-" + toHex(drawBytes(kKeyIdSuffixBytes));
  Draft.m_KeyId =
      Words.size() > 3
          ? Words[3]
          : Organisation.substr(0, kMaxNameBytes - Suffix.size()) + Suffix;
  Draft.m_Key = drawKey();
  Draft.m_Body = Json{{"type", "issue_key"},
                      {"key", Draft.m_KeyId},
                      {"organisation", Organisation},
                      {"digest", hexDigestOf(Draft.m_Key)}};
  return Draft;
}

Json instanceChange(const std::vector<std::string> &Words, const char *Type) {
  return Json{{"type", Type}, {"database", Words[2]}, {"instance", Words[3]}};
}

std::string verbOf(const std::vector<std::string> &Words) {
  return Words.size() < 2 ? "" : Words[0] + " " + Words[1];
}

} // namespace

std::string drawKey() { return toBase64(drawBytes(kKeyBytes)); }
std::string drawChangeId() { return toHex(drawBytes(kIdentifierBytes)); }

std::string hexDigestOf(const std::string &Key) {
  KeyDigest Digest = digestOfKey(Key);
  return toHex(std::string(Digest.m_Bytes.begin(), Digest.m_Bytes.end()));
}

void checkWords(const std::vector<std::string> &Words,
                const OperationsOptions &Options) {
  const std::map<std::string, size_t> WordsOfVerb{
      {"organisations create", 3},
      {"organisations remove", 3},
      {"keys issue", 3},
      {"keys revoke", 3},
      {"presets define", 3},
      {"presets activate", 3},
      {"databases drain", 4},
      {"databases undrain", 4},
      {"databases remove-instance", 4},
      {"zones evacuate", 3},
      {"zones restore", 3},
      {"hosts remove", 3}};
  std::string Verb = verbOf(Words);
  auto Found = WordsOfVerb.find(Verb);
  if (Found == WordsOfVerb.end())
    throw UsageError(Verb.empty() ? "a command is missing"
                                  : "'" + Verb + "' is not a command");
  bool HasKeyId = Verb == "keys issue" && Words.size() == 4;
  if (Words.size() != Found->second && !HasKeyId)
    throw UsageError("'" + Verb + "' needs " +
                     std::to_string(Found->second - 2) + " name(s)");
  if (Words[0] == "presets" && !parsePresetKind(Words[2]))
    throw UsageError("a preset is ordinary, peak or maintenance");
  Json Ignored = Json::object();
  for (const std::string &Limit : Options.m_Limits)
    applyLimit(Limit, Ignored);
}

bool needsCurrentPreset(const std::vector<std::string> &Words) {
  return verbOf(Words) == "presets define";
}

ChangeDraft draftChange(const std::vector<std::string> &Words,
                        const OperationsOptions &Options,
                        const Json &Configuration) {
  std::string Verb = verbOf(Words);
  if (Verb == "keys issue")
    return issueKey(Words);
  ChangeDraft Draft;
  if (Verb == "organisations create")
    Draft.m_Body =
        Json{{"type", "create_organisation"}, {"organisation", Words[2]}};
  else if (Verb == "organisations remove")
    Draft.m_Body =
        Json{{"type", "remove_organisation"}, {"organisation", Words[2]}};
  else if (Verb == "keys revoke")
    Draft.m_Body = Json{{"type", "revoke_key"}, {"key", Words[2]}};
  else if (Verb == "presets define")
    Draft.m_Body = definePreset(Words[2], Options, Configuration);
  else if (Verb == "presets activate")
    Draft.m_Body = Json{{"type", "activate_preset"}, {"preset", Words[2]}};
  else if (Verb == "databases remove-instance")
    Draft.m_Body = instanceChange(Words, "remove_instance");
  else if (Words[0] == "zones")
    Draft.m_Body = Json{{"type", "evacuate_zone"},
                        {"zone", Words[2]},
                        {"evacuated", Verb == "zones evacuate"}};
  else if (Verb == "hosts remove")
    Draft.m_Body = Json{{"type", "remove_host"}, {"host", Words[2]}};
  else {
    Draft.m_Body = instanceChange(Words, "drain_instance");
    Draft.m_Body["draining"] = Verb == "databases drain";
  }
  return Draft;
}

} // namespace almondpier
