#include "almondpier/Model.h"

#include <algorithm>

namespace almondpier {

const std::pair<const KeyId, KeyRecord> *
Configuration::findKey(const KeyDigest &Digest) const {
  auto Id = m_KeyByDigest.find(Digest);
  if (Id == m_KeyByDigest.end())
    return nullptr;
  auto Found = m_Keys.find(Id->second);
  return Found == m_Keys.end() ? nullptr : &*Found;
}

const DatabaseRecord *
Configuration::findDatabase(const DatabaseName &Database) const {
  auto Found = m_Databases.find(Database);
  return Found == m_Databases.end() ? nullptr : &Found->second;
}

Limit bucketLimitFor(const Limit &WindowLimit, Duration Window) {
  // A third of the burst covers the uneven arrival at many hosts.
  constexpr double kShareAtOnce = 1.0 / 3;
  // With many hosts, each request of a small organisation comes to another one,
  // and several hold tokens at the same time.
  constexpr double kLeastAtOnce = 8;
  constexpr double kMicrosecondsPerSecond = 1e6;
  double Seconds = static_cast<double>(Window.count()) / kMicrosecondsPerSecond;
  if (Seconds <= 0)
    return WindowLimit;
  double AtOnce = std::max(
      1.0,
      std::min(WindowLimit.m_Burst,
               std::max(kLeastAtOnce, WindowLimit.m_Burst * kShareAtOnce)));
  double Rest = std::max(0.0, WindowLimit.m_Burst - AtOnce);
  double Rate = WindowLimit.m_RatePerSecond + Rest / Seconds;
  // The allocator keeps back what may be in use at hosts.
  double InUse = Rate * static_cast<double>(kMaxLoanValidity.count()) /
                 kMicrosecondsPerSecond;
  return Limit{Rate, AtOnce + InUse};
}

/// Applies one change body to a configuration; throws Error and changes nothing
/// when the change is refused.
class ChangeApplier {
public:
  explicit ChangeApplier(Configuration &Target) : m_Target(Target) {}

  void operator()(const CreateOrganisation &Body) {
    checkName(Body.m_Organisation.m_Value);
    if (!m_Target.m_Organisations.insert(Body.m_Organisation).second)
      throw Error(ErrorKind::AlreadyExists,
                  "organisation '" + Body.m_Organisation.m_Value + "' exists");
  }

  void operator()(const RemoveOrganisation &Body) {
    if (m_Target.m_Organisations.erase(Body.m_Organisation) == 0)
      throw Error(ErrorKind::NotFound,
                  "no organisation '" + Body.m_Organisation.m_Value + "'");
    for (auto It = m_Target.m_Keys.begin(); It != m_Target.m_Keys.end();) {
      if (It->second.m_Organisation != Body.m_Organisation) {
        ++It;
        continue;
      }
      m_Target.m_KeyByDigest.erase(It->second.m_Digest);
      It = m_Target.m_Keys.erase(It);
    }
    for (Preset &Preset : m_Target.m_Presets)
      Preset.m_Limits.erase(Body.m_Organisation);
  }

  void operator()(const IssueKey &Body) {
    checkName(Body.m_Key.m_Value);
    if (!m_Target.m_Organisations.contains(Body.m_Record.m_Organisation))
      throw Error(ErrorKind::NotFound,
                  "no organisation '" + Body.m_Record.m_Organisation.m_Value +
                      "'");
    if (m_Target.m_Keys.contains(Body.m_Key) ||
        m_Target.m_KeyByDigest.contains(Body.m_Record.m_Digest))
      throw Error(ErrorKind::AlreadyExists,
                  "key '" + Body.m_Key.m_Value + "' exists");
    m_Target.m_Keys.emplace(Body.m_Key, Body.m_Record);
    m_Target.m_KeyByDigest.emplace(Body.m_Record.m_Digest, Body.m_Key);
  }

  void operator()(const RevokeKey &Body) {
    auto Found = m_Target.m_Keys.find(Body.m_Key);
    if (Found == m_Target.m_Keys.end())
      throw Error(ErrorKind::NotFound, "no key '" + Body.m_Key.m_Value + "'");
    m_Target.m_KeyByDigest.erase(Found->second.m_Digest);
    m_Target.m_Keys.erase(Found);
  }

  void operator()(const DefinePreset &Body) {
    checkLimit(Body.m_Preset.m_DefaultLimit);
    for (const std::pair<const OrganisationName, Limit> &Entry :
         Body.m_Preset.m_Limits) {
      if (!m_Target.m_Organisations.contains(Entry.first))
        throw Error(ErrorKind::NotFound,
                    "no organisation '" + Entry.first.m_Value + "'");
      checkLimit(Entry.second);
    }
    m_Target.m_Presets.at(static_cast<size_t>(Body.m_Kind)) = Body.m_Preset;
  }

  void operator()(const ActivatePreset &Body) {
    m_Target.m_ActivePresetKind = Body.m_Kind;
  }

  void operator()(const DrainInstance &Body) {
    DatabaseRecord &Database = databaseOf(Body.m_Database);
    checkMember(Database, Body.m_Instance);
    if (Body.m_Draining)
      Database.m_Draining.insert(Body.m_Instance);
    else
      Database.m_Draining.erase(Body.m_Instance);
  }

  void operator()(const RemoveInstance &Body) {
    DatabaseRecord &Database = databaseOf(Body.m_Database);
    if (Database.m_Spares.erase(Body.m_Instance) > 0)
      return;
    checkMember(Database, Body.m_Instance);
    if (Database.m_Primary == Body.m_Instance)
      throw Error(ErrorKind::BadRequest,
                  "'" + Body.m_Instance.m_Value +
                      "' is the primary; drain it first");
    Database.m_Instances.erase(Body.m_Instance);
    Database.m_Draining.erase(Body.m_Instance);
  }

  void operator()(const RemoveHost &Body) {
    if (m_Target.m_Hosts.erase(Body.m_Host) == 0)
      throw Error(ErrorKind::NotFound, "no host '" + Body.m_Host.m_Value + "'");
    m_Target.m_Extension.m_HostCapacities.erase(Body.m_Host);
  }

  void operator()(const RecordMembership & /*Body*/) {}

  void operator()(const RegisterHost &Body) {
    checkName(Body.m_Host.m_Name.m_Value);
    m_Target.m_Hosts.insert_or_assign(Body.m_Host.m_Name, Body.m_Host);
  }

  void operator()(const RegisterInstance &Body) {
    const InstanceRecord &Instance = Body.m_Instance;
    checkName(Instance.m_Database.m_Value);
    checkName(Instance.m_Name.m_Value);
    if (Instance.m_GroupSize == 0)
      throw Error(ErrorKind::BadRequest,
                  "the group size of an instance is at least 1");
    DatabaseRecord &Database = m_Target.m_Databases[Instance.m_Database];
    if (Database.m_GroupSize == 0)
      Database.m_GroupSize = Instance.m_GroupSize;
    bool IsMember = Database.m_Instances.contains(Instance.m_Name);
    if (IsMember || (Database.m_Instances.size() < Database.m_GroupSize &&
                     Database.m_BegunTerm == 0))
      Database.m_Instances.insert_or_assign(Instance.m_Name, Instance);
    else
      Database.m_Spares.insert_or_assign(Instance.m_Name, Instance);
    if (m_Target.isEvacuated(Instance.m_Zone))
      Database.m_Draining.insert(Instance.m_Name);
  }

  void operator()(const BeginTerm &Body) {
    DatabaseRecord &Database = databaseOf(Body.m_Database);
    if (Body.m_Term != Database.m_BegunTerm + 1)
      throw Error(ErrorKind::VersionConflict,
                  "term " + std::to_string(Body.m_Term) +
                      " does not follow term " +
                      std::to_string(Database.m_BegunTerm));
    Database.m_BegunTerm = Body.m_Term;
  }

  void operator()(const ElectPrimary &Body) {
    DatabaseRecord &Database = databaseOf(Body.m_Database);
    checkMember(Database, Body.m_Instance);
    if (Body.m_Start.m_Term != Database.m_BegunTerm ||
        Database.m_PrimaryTerm >= Body.m_Start.m_Term)
      throw Error(ErrorKind::VersionConflict,
                  "term " + std::to_string(Body.m_Start.m_Term) + " is over");
    Database.m_Primary = Body.m_Instance;
    Database.m_PrimaryTerm = Body.m_Start.m_Term;
    Database.m_History.add(Body.m_Start);
  }

  void operator()(const AdmitInstance &Body) {
    DatabaseRecord &Database = databaseOf(Body.m_Database);
    auto Spare = Database.m_Spares.find(Body.m_Instance);
    if (Spare == Database.m_Spares.end())
      throw Error(ErrorKind::NotFound,
                  "no spare '" + Body.m_Instance.m_Value + "' in the group");
    if (Database.m_Instances.size() >= Database.m_GroupSize)
      throw Error(ErrorKind::BadRequest,
                  "the group is complete; remove a lost instance first");
    if (Body.m_Term != Database.m_BegunTerm ||
        Body.m_Term != Database.m_PrimaryTerm)
      throw Error(ErrorKind::VersionConflict,
                  "term " + std::to_string(Body.m_Term) + " is over");
    Database.m_Instances.insert(*Spare);
    Database.m_Spares.erase(Spare);
  }

  /// Kept beside the configuration.
  void operator()(const RecordDirectory & /*Body*/) {}

  void operator()(const InstallPolicy &Body) {
    if (Body.m_Policy.m_Version <= m_Target.m_Policy.m_Version)
      return;
    m_Target.m_Policy = Body.m_Policy;
    m_Target.m_Organisations.clear();
    m_Target.m_Keys.clear();
    m_Target.m_KeyByDigest.clear();
    for (Preset &Preset : m_Target.m_Presets)
      Preset.m_Limits.clear();
    for (const auto &[Name, Organisation] : Body.m_Policy.m_Organisations)
      installOrganisation(Name, Organisation);
  }

  void operator()(const AmendPolicy &Body) {
    (*this)(InstallPolicy{applyAmendment(m_Target.m_Policy, Body), ""});
  }

  void operator()(const SetHostCapacity &Body) {
    if (!m_Target.m_Hosts.contains(Body.m_Host))
      throw Error(ErrorKind::NotFound, "no host '" + Body.m_Host.m_Value + "'");
    if (Body.m_Capacity.isKnown())
      m_Target.m_Extension.m_HostCapacities[Body.m_Host] = Body.m_Capacity;
    else
      m_Target.m_Extension.m_HostCapacities.erase(Body.m_Host);
  }

  void operator()(const EvacuateZone &Body) {
    if (Body.m_Zone.empty() || Body.m_Zone.m_Value.size() > kMaxNameBytes)
      throw Error(ErrorKind::BadRequest,
                  "the name of a zone has 1 to 64 characters");
    std::set<AvailabilityZone> &Zones = m_Target.m_Extension.m_EvacuatedZones;
    // Two orders that were accepted for proposal at the same time may leave no
    // zone.
    if (Body.m_IsEvacuated && isLastZone(Body.m_Zone))
      throw Error(ErrorKind::BadRequest,
                  "'" + Body.m_Zone.m_Value +
                      "' is the last zone in use; restore another one first");
    bool HasChanged = Body.m_IsEvacuated ? Zones.insert(Body.m_Zone).second
                                         : Zones.erase(Body.m_Zone) > 0;
    if (HasChanged)
      setDraining(Body.m_Zone, Body.m_IsEvacuated);
  }

private:
  /// The limit of the document holds in every preset.
  void installOrganisation(const OrganisationName &Name,
                           const OrganisationPolicy &Organisation) {
    m_Target.m_Organisations.insert(Name);
    for (Preset &Preset : m_Target.m_Presets)
      Preset.m_Limits[Name] = Organisation.m_Limit;
    for (const KeyDigest &Digest : Organisation.m_Keys) {
      KeyId Id{toHex(std::string_view(
          reinterpret_cast<const char *>(Digest.m_Bytes.data()),
          Digest.m_Bytes.size()))};
      m_Target.m_KeyByDigest[Digest] = Id;
      m_Target.m_Keys[Id] = KeyRecord{Name, Digest};
    }
  }

  static void checkName(const std::string &Name) {
    if (!isValidName(Name))
      throw Error(ErrorKind::BadRequest,
                  "a name has 1 to 64 letters, digits, '.', '_' or '-'");
  }

  static void checkLimit(const Limit &Limit) {
    constexpr double kMaxRatePerSecond = 10'000'000;
    bool IsRateValid =
        Limit.m_RatePerSecond > 0 && Limit.m_RatePerSecond <= kMaxRatePerSecond;
    if (!IsRateValid || Limit.m_Burst < 1 || Limit.m_Burst > kMaxRatePerSecond)
      throw Error(
          ErrorKind::BadRequest,
          "a rate is above 0 and a burst at least 1, both at most 10,000,000");
    // Rate tokens of a smaller burst would be valid for less than 50 ms and
    // could expire on the way to a proxy.
    constexpr double kMinValiditySeconds = 0.05;
    double MinBurst = 1 + Limit.m_RatePerSecond * kMinValiditySeconds;
    if (Limit.m_Burst < MinBurst)
      throw Error(ErrorKind::BadRequest,
                  "a burst is at least 1 + rate x 0.05 s; for a rate of " +
                      std::to_string(Limit.m_RatePerSecond) +
                      " requests a second choose a burst of at least " +
                      std::to_string(MinBurst));
  }

  /// Returns whether all hosts that are not in evacuated zones are in Zone.
  bool isLastZone(const AvailabilityZone &Zone) const {
    return !m_Target.m_Hosts.empty() &&
           std::all_of(m_Target.m_Hosts.begin(), m_Target.m_Hosts.end(),
                       [&](const auto &Entry) {
                         const AvailabilityZone &Other = Entry.second.m_Zone;
                         return Other == Zone || m_Target.isEvacuated(Other);
                       });
  }

  /// Registered instances of an evacuated zone are drained, and ready again
  /// when it is restored.
  void setDraining(const AvailabilityZone &Zone, bool IsDraining) {
    for (auto &[Name, Database] : m_Target.m_Databases)
      for (const auto &[Member, Instance] : Database.m_Instances) {
        if (Instance.m_Zone != Zone)
          continue;
        if (IsDraining)
          Database.m_Draining.insert(Member);
        else
          Database.m_Draining.erase(Member);
      }
  }

  DatabaseRecord &databaseOf(const DatabaseName &Database) {
    auto Found = m_Target.m_Databases.find(Database);
    if (Found == m_Target.m_Databases.end())
      throw Error(ErrorKind::NotFound,
                  "no database '" + Database.m_Value + "'");
    return Found->second;
  }

  static void checkMember(const DatabaseRecord &Database,
                          const InstanceName &Instance) {
    if (!Database.m_Instances.contains(Instance))
      throw Error(ErrorKind::NotFound,
                  "no instance '" + Instance.m_Value + "' in the group");
  }

  Configuration &m_Target;
};

ChangeOutcome Configuration::apply(const Change &Change) {
  bool IsOperatorChange = isOperatorChange(Change.m_Body);
  try {
    if (IsOperatorChange && Change.m_ExpectedVersion != m_Version)
      throw Error(ErrorKind::VersionConflict,
                  "expected version " +
                      std::to_string(Change.m_ExpectedVersion) +
                      ", but the configuration is at version " +
                      std::to_string(m_Version));
    std::visit(ChangeApplier(*this), Change.m_Body);
  } catch (const Error &Refusal) {
    return ChangeOutcome{
        false, m_Version,
        ErrorReport{Refusal.kind(), Refusal.what(), Ran::No, 0}};
  }
  if (IsOperatorChange)
    ++m_Version;
  return ChangeOutcome{true, m_Version, std::nullopt};
}

bool isOperatorChange(const ChangeBody &Body) {
  return !std::holds_alternative<RegisterHost>(Body) &&
         !std::holds_alternative<RegisterInstance>(Body) &&
         !std::holds_alternative<BeginTerm>(Body) &&
         !std::holds_alternative<ElectPrimary>(Body) &&
         !std::holds_alternative<AdmitInstance>(Body) &&
         !std::holds_alternative<InstallPolicy>(Body) &&
         !std::holds_alternative<AmendPolicy>(Body) &&
         !std::holds_alternative<RecordDirectory>(Body) &&
         !std::holds_alternative<SetHostCapacity>(Body) &&
         !std::holds_alternative<EvacuateZone>(Body) &&
         !std::holds_alternative<RecordMembership>(Body);
}

namespace {

struct Describer {
  std::string operator()(const CreateOrganisation &Body) const {
    return "create organisation " + Body.m_Organisation.m_Value;
  }
  std::string operator()(const RemoveOrganisation &Body) const {
    return "remove organisation " + Body.m_Organisation.m_Value;
  }
  std::string operator()(const IssueKey &Body) const {
    return "issue key " + Body.m_Key.m_Value + " to organisation " +
           Body.m_Record.m_Organisation.m_Value;
  }
  std::string operator()(const RevokeKey &Body) const {
    return "revoke key " + Body.m_Key.m_Value;
  }
  std::string operator()(const DefinePreset &Body) const {
    return "define preset " + std::string(nameOf(Body.m_Kind)) + " by vote '" +
           Body.m_Preset.m_Vote + "'";
  }
  std::string operator()(const ActivatePreset &Body) const {
    return "activate preset " + std::string(nameOf(Body.m_Kind));
  }
  std::string operator()(const DrainInstance &Body) const {
    return std::string(Body.m_Draining ? "drain" : "undrain") + " instance " +
           Body.m_Instance.m_Value + " of database " + Body.m_Database.m_Value;
  }
  std::string operator()(const RemoveInstance &Body) const {
    return "remove instance " + Body.m_Instance.m_Value + " of database " +
           Body.m_Database.m_Value;
  }
  std::string operator()(const RemoveHost &Body) const {
    return "remove host " + Body.m_Host.m_Value;
  }
  std::string operator()(const RecordMembership &Body) const {
    return Body.m_Description;
  }
  std::string operator()(const RegisterHost &Body) const {
    return "register host " + Body.m_Host.m_Name.m_Value + " at " +
           formatEndpoint(Body.m_Host.m_ForwardEndpoint);
  }
  std::string operator()(const RegisterInstance &Body) const {
    return "register instance " + Body.m_Instance.m_Name.m_Value +
           " of database " + Body.m_Instance.m_Database.m_Value;
  }
  std::string operator()(const BeginTerm &Body) const {
    return "begin term " + std::to_string(Body.m_Term) + " of database " +
           Body.m_Database.m_Value;
  }
  std::string operator()(const ElectPrimary &Body) const {
    return "elect instance " + Body.m_Instance.m_Value +
           " primary of database " + Body.m_Database.m_Value + " in term " +
           std::to_string(Body.m_Start.m_Term);
  }
  std::string operator()(const AdmitInstance &Body) const {
    return "admit instance " + Body.m_Instance.m_Value + " to database " +
           Body.m_Database.m_Value;
  }
  std::string operator()(const InstallPolicy &Body) const {
    return "install policy version " + std::to_string(Body.m_Policy.m_Version);
  }
  std::string operator()(const AmendPolicy &Body) const {
    return "amend policy version " + std::to_string(Body.m_BaseVersion) +
           " to " + std::to_string(Body.m_Version);
  }
  std::string operator()(const RecordDirectory &Body) const {
    return "record " + std::to_string(Body.m_Instances.size()) + " instances";
  }
  std::string operator()(const SetHostCapacity &Body) const {
    return "set the capacity of host " + Body.m_Host.m_Value + " to " +
           std::to_string(Body.m_Capacity.m_LinkKbitPerSecond) +
           " kbit/s and " +
           std::to_string(Body.m_Capacity.m_ProcessorPermille) +
           " thousandths of a core";
  }
  std::string operator()(const EvacuateZone &Body) const {
    return std::string(Body.m_IsEvacuated ? "evacuate" : "restore") + " zone " +
           Body.m_Zone.m_Value;
  }
};

} // namespace

std::string describe(const ChangeBody &Body) {
  return std::visit(Describer(), Body);
}

} // namespace almondpier
