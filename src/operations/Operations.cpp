#include "almondpier/Operations.h"

#include "operations/ChangeBodies.h"
#include "operations/ControlClient.h"
#include "operations/Tables.h"

#include <ostream>

namespace almondpier {

using Json = nlohmann::json;

std::string_view operationsUsage() {
  return R"usage(Changes and shows the configuration of almondpier.

  almondpier organisations list
  almondpier organisations create ORGANISATION
  almondpier organisations remove ORGANISATION     also revokes its keys
  almondpier keys list
  almondpier keys issue ORGANISATION [KEY_ID]      prints the key once
  almondpier keys revoke KEY_ID
  almondpier presets list
  almondpier presets define ordinary|peak|maintenance [limits]
  almondpier presets activate ordinary|peak|maintenance
  almondpier databases list
  almondpier databases drain|undrain|remove-instance DATABASE INSTANCE
  almondpier zones list
  almondpier zones evacuate|restore ZONE           leaves all instances there
  almondpier hosts list
  almondpier hosts remove HOST
  almondpier members list
  almondpier members remove MEMBER
  almondpier operators draw NAME    draws an operator key, for --operator_keys
  almondpier status
  almondpier audit [--after=NUMBER] [--count=NUMBER]

Name the control hosts with --control or ALMONDPIER_CONTROL. The operator key
comes from ALMONDPIER_OPERATOR_KEY or from the file --operator_key_file.

Examples:
  export ALMONDPIER_CONTROL=10.0.0.1:7100,10.0.0.2:7100,10.0.0.3:7100
  export ALMONDPIER_OPERATOR_KEY="$(cat operator.key)"
  almondpier organisations create prairie-crossing
  almondpier keys issue prairie-crossing
  almondpier presets define peak --default_rate=100 --default_burst=200 \
      --limit=prairie-crossing=500:1000 --vote=2026-12
  almondpier presets activate peak
  almondpier databases drain races races-2
  almondpier audit --json

"presets define" keeps what is not given; --limit=ORGANISATION=none removes a
limit. A burst is at least 1 + rate x 0.05 s.

A change is sent again with the same identifier until its answer arrives, so it
never has two effects. To send a change of an earlier command again, give its
identifier with --change_id. With --expect_version the change is refused when
the configuration has another version.

Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no leader reachable, 4 the
configuration changed meanwhile (read it and decide again).
)usage";
}

namespace {

/// Requests are JSON, which carries UTF-8 only.
void requireUtf8(const std::vector<std::string> &Texts) {
  try {
    Json(Texts).dump();
  } catch (const Json::type_error &) {
    throw UsageError("a name or an option is not UTF-8");
  }
}

class Operation {
public:
  Operation(const std::vector<std::string> &Words,
            const OperationsOptions &Options, std::ostream &Out,
            std::ostream &Errors)
      : m_Words(Words), m_Options(Options), m_Out(Out), m_Errors(Errors),
        m_Client(Options) {}

  OperationsExit run() {
    requireUtf8(m_Words);
    requireUtf8(m_Options.m_Limits);
    requireUtf8({m_Options.m_ChangeId, m_Options.m_Vote.value_or("")});
    if (m_Words.size() == 3 && m_Words[0] == "operators" &&
        m_Words[1] == "draw")
      return drawOperatorKey();
    if (m_Options.m_Control.empty() || m_Options.m_OperatorKey.empty())
      throw UsageError("name the control hosts with --control or "
                       "ALMONDPIER_CONTROL, and give the operator key in "
                       "ALMONDPIER_OPERATOR_KEY");
    if (std::optional<OperationsExit> Shown = show())
      return *Shown;
    if (m_Words.size() == 3 && m_Words[0] == "members" &&
        m_Words[1] == "remove")
      return removeMember();
    return change();
  }

private:
  using Printer = void (*)(const Json &, std::ostream &);
  struct View {
    std::vector<std::string> m_Words;
    std::string m_Target;
    Printer m_Print;
  };

  std::optional<OperationsExit> show() {
    const std::string Configuration = "/v1/configuration";
    const std::string Status = "/v1/status";
    std::string Audit = "/v1/audit?after=" + std::to_string(m_Options.m_After) +
                        "&limit=" + std::to_string(m_Options.m_Limit);
    for (const View &View :
         {View{{"organisations", "list"}, Configuration, printOrganisations},
          View{{"keys", "list"}, Configuration, printKeys},
          View{{"presets", "list"}, Configuration, printPresets},
          View{{"databases", "list"}, Status, printDatabases},
          View{{"hosts", "list"}, Status, printHosts},
          View{{"zones", "list"}, Configuration, printZones},
          View{{"members", "list"}, Status, printMembers},
          View{{"status"}, Status, printStatus},
          View{{"audit"}, Audit, printAudit}})
      if (View.m_Words == m_Words)
        return print(View);
    return std::nullopt;
  }

  OperationsExit print(const View &View) {
    // The status of the leader is the current one; reading the audit trail
    // finds it.
    OperationsExit Exit = OperationsExit::Done;
    if (View.m_Target == "/v1/status")
      Exit = findLeader();
    ControlAnswer Answer = m_Client.get(View.m_Target);
    if (!Answer.isGood())
      return refuse(Answer);
    if (m_Options.m_IsJson)
      m_Out << Answer.m_Body.dump(2) << '\n';
    else
      View.m_Print(Answer.m_Body, m_Out);
    return Exit;
  }

  /// Without a leader, the state of any control host is shown.
  OperationsExit findLeader() {
    try {
      m_Client.get("/v1/audit?limit=1");
      return OperationsExit::Done;
    } catch (const NoLeaderError &Failure) {
      m_Errors << "almondpier: " << Failure.what()
               << ". What follows is the state of one host and may be old\n";
      return OperationsExit::NoLeader;
    }
  }

  OperationsExit drawOperatorKey() {
    if (!isValidName(m_Words[2]))
      throw UsageError("a name has 1 to 64 letters, digits, '.', '_' or '-'");
    std::string Key = drawKey();
    std::string Setting = m_Words[2] + ":" + hexDigestOf(Key);
    if (m_Options.m_IsJson)
      m_Out << Json{{"key", Key}, {"operator_keys", Setting}}.dump(2) << '\n';
    else
      m_Out << "key (shown once): " << Key << "\noperator_keys: " << Setting
            << '\n';
    return OperationsExit::Done;
  }

  OperationsExit removeMember() {
    Json Body{{"change_id", changeId()}, {"remove", m_Words[2]}};
    return send("/v1/members", Body, {});
  }

  OperationsExit change() {
    checkWords(m_Words, m_Options);
    Json Configuration = Json::object();
    bool NeedsCurrent = needsCurrentPreset(m_Words);
    if (!m_Options.m_ExpectVersion || NeedsCurrent) {
      ControlAnswer Current = m_Client.get("/v1/configuration");
      if (!Current.isGood())
        return refuse(Current);
      Configuration = Current.m_Body;
    }
    ChangeDraft Draft = draftChange(m_Words, m_Options, Configuration);
    uint64_t Version = m_Options.m_ExpectVersion
                           ? *m_Options.m_ExpectVersion
                           : Configuration.at("version").get<uint64_t>();
    Json Body{{"change_id", changeId()},
              {"expected_version", Version},
              {"change", Draft.m_Body}};
    return send("/v1/changes", Body, Draft);
  }

  std::string changeId() const {
    return m_Options.m_ChangeId.empty() ? drawChangeId() : m_Options.m_ChangeId;
  }

  OperationsExit send(const std::string &Target, const Json &Body,
                      const ChangeDraft &Draft) {
    std::string Id = Body.at("change_id").get<std::string>();
    ControlAnswer Answer;
    try {
      Answer = m_Client.post(Target, Body);
    } catch (const NoLeaderError &Failure) {
      m_Errors << "almondpier: " << Failure.what()
               << ". The change may have been accepted; to learn it, repeat "
                  "the command with --change_id="
               << Id << '\n';
      if (!Draft.m_Key.empty())
        m_Errors << "The key is lost in any case: revoke " << Draft.m_KeyId
                 << " if 'almondpier keys list' shows it, and issue another\n";
      return OperationsExit::NoLeader;
    }
    if (!Answer.isGood())
      return refuse(Answer);
    printAccepted(Id, Answer, Draft);
    return OperationsExit::Done;
  }

  void printAccepted(const std::string &Id, const ControlAnswer &Answer,
                     const ChangeDraft &Draft) {
    Json Result = Answer.m_Body;
    Result["change_id"] = Id;
    if (!Draft.m_Key.empty()) {
      Result["key_id"] = Draft.m_KeyId;
      Result["key"] = Draft.m_Key;
    }
    if (m_Options.m_IsJson) {
      m_Out << Result.dump(2) << '\n';
      return;
    }
    m_Out << "accepted, version " << Result.value("version", uint64_t{0})
          << '\n';
    if (!Draft.m_Key.empty())
      m_Out << "key id: " << Draft.m_KeyId
            << "\nkey (shown once): " << Draft.m_Key << '\n';
  }

  OperationsExit refuse(const ControlAnswer &Answer) {
    Json Error = Answer.m_Body.value("error", Json::object());
    if (m_Options.m_IsJson)
      m_Out << Answer.m_Body.dump(2) << '\n';
    m_Errors << "almondpier: "
             << Error.value("message",
                            "status " + std::to_string(Answer.m_Status))
             << '\n';
    return Error.value("kind", "") == nameOf(ErrorKind::VersionConflict)
               ? OperationsExit::VersionConflict
               : OperationsExit::Refused;
  }

  const std::vector<std::string> &m_Words;
  const OperationsOptions &m_Options;
  std::ostream &m_Out;
  std::ostream &m_Errors;
  ControlClient m_Client;
};

} // namespace

OperationsExit runOperation(const std::vector<std::string> &Words,
                            const OperationsOptions &Options, std::ostream &Out,
                            std::ostream &Errors) {
  try {
    return Operation(Words, Options, Out, Errors).run();
  } catch (const UsageError &Failure) {
    Errors << "almondpier: " << Failure.what()
           << "; 'almondpier --help' shows the commands\n";
    return OperationsExit::Usage;
  } catch (const NoLeaderError &Failure) {
    Errors << "almondpier: " << Failure.what() << '\n';
    return OperationsExit::NoLeader;
  } catch (const Json::exception &Failure) {
    Errors << "almondpier: a control host sent an answer that this version "
              "does not understand: "
           << Failure.what() << "; use the same version on all hosts\n";
    return OperationsExit::Refused;
  }
}

} // namespace almondpier
