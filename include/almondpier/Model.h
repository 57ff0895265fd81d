/// \file
/// Value types shared by all libraries: identifiers, log positions, limits,
/// error kinds, and the replicated configuration with its changes. Values are
/// compared by content and replaced as a whole, never edited by readers.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondpier {

using Duration = std::chrono::microseconds;
/// A reading of the monotonic clock of one process. Readings of different
/// processes are not comparable.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A name that does not convert to names of other kinds.
template <typename Tag> struct Name {
  std::string m_Value;

  bool empty() const { return m_Value.empty(); }
  friend auto operator<=>(const Name &, const Name &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Value); }
};

using OrganisationName = Name<struct OrganisationTag>;
using DatabaseName = Name<struct DatabaseTag>;
using InstanceName = Name<struct InstanceTag>;
using HostName = Name<struct HostTag>;
using AvailabilityZone = Name<struct AvailabilityZoneTag>;
using KeyId = Name<struct KeyIdTag>;
/// The name under which callers open sessions; a route maps it to a database
/// group and a read guarantee.
using RouteName = Name<struct RouteTag>;

/// Longest accepted name of any kind, in bytes.
constexpr size_t kMaxNameBytes = 64;

/// Returns whether Text has 1 to kMaxNameBytes characters out of a-z, A-Z, 0-9,
/// '.', '_' and '-'.
bool isValidName(std::string_view Text);

/// IP address and port.
struct Endpoint {
  std::string m_Address;
  uint16_t m_Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Address, m_Port);
  }
};

/// Parses "ADDRESS:PORT" with an IPv4 address. Throws std::invalid_argument
/// whose message names the remedy.
Endpoint parseEndpoint(std::string_view Text);
std::string formatEndpoint(const Endpoint &Value);

/// Term and index of the last entry in the log of a database instance.
struct Position {
  uint64_t m_Term = 0;
  uint64_t m_Index = 0;

  friend auto operator<=>(const Position &, const Position &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Index);
  }
};

/// The last index before the first entry of a term.
struct TermStart {
  uint64_t m_Term = 0;
  uint64_t m_StartIndex = 0;

  friend auto operator<=>(const TermStart &, const TermStart &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_StartIndex);
  }
};

/// Where each term of one database began. Positions of different terms are
/// compared only through it.
class TermHistory {
public:
  /// Adds a term later than all known ones; an older or equal term is ignored.
  void add(TermStart Start);
  /// Returns whether an instance whose log ends at State holds the entry at
  /// Wanted.
  bool covers(Position State, Position Wanted) const;
  const std::vector<TermStart> &starts() const { return m_Starts; }

  friend auto operator<=>(const TermHistory &, const TermHistory &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Starts); }

private:
  std::vector<TermStart> m_Starts;
};

/// A voted limit of one organisation over all hosts together.
struct Limit {
  double m_RatePerSecond = 0;
  /// Requests that may run at once after an idle time.
  double m_Burst = 0;

  friend auto operator<=>(const Limit &, const Limit &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_RatePerSecond, m_Burst);
  }
};

/// BLAKE2b digest of a caller's key.
struct KeyDigest {
  std::array<uint8_t, 32> m_Bytes{};

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Bytes); }
};

/// Digest of a key as the caller presents it.
KeyDigest digestOfKey(std::string_view Key);
/// Keyed BLAKE2b hash of Data (32 bytes); Secret has 16 to 64 bytes.
std::array<uint8_t, 32> keyedHash(std::string_view Secret,
                                  std::string_view Data);
/// Compares two secrets in time that does not depend on their content.
bool equalInConstantTime(std::string_view Left, std::string_view Right);
std::string toHex(std::string_view Bytes);
/// URL-safe base64 without padding.
std::string toBase64(std::string_view Bytes);
/// Returns nothing when Text is not URL-safe base64 without padding.
std::optional<std::string> fromBase64(std::string_view Text);

// Errors.

enum class ErrorKind : uint8_t {
  BadRequest,
  UnknownKey,
  UnknownRoute,
  UnknownDatabase,
  UnknownTransaction,
  ForeignTransaction,
  TransactionLost,
  BodyTooLarge,
  RateLimited,
  Overloaded,
  DeadlineExceeded,
  ConfigurationStale,
  NoPrimary,
  OutcomeUnknown,
  IdempotencyMismatch,
  StatementFailed,
  ShuttingDown,
  NotLeader,
  VersionConflict,
  NotFound,
  AlreadyExists,
  Internal,
};

/// Whether the request that an answer belongs to ran at a database.
enum class Ran : uint8_t { No, Unknown, Yes };

std::string_view nameOf(ErrorKind Kind);
std::string_view nameOf(Ran Value);
/// What the caller or operator can do about an error of this kind.
std::string_view remedyOf(ErrorKind Kind);
int httpStatusOf(ErrorKind Kind);

/// An error that is reported to a caller or an operator.
struct ErrorReport {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;
  Ran m_Ran = Ran::No;
  /// When a retry can succeed; 0 when unknown.
  uint32_t m_RetryAfterMs = 0;

  friend auto operator<=>(const ErrorReport &, const ErrorReport &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Message, m_Ran, m_RetryAfterMs);
  }
};

/// Thrown for errors with a kind; what() names the remedy.
class Error : public std::runtime_error {
public:
  Error(ErrorKind Kind, const std::string &Message)
      : std::runtime_error(Message + "; " + std::string(remedyOf(Kind))),
        m_Kind(Kind) {}
  ErrorKind kind() const { return m_Kind; }

private:
  ErrorKind m_Kind;
};

// Configuration.

enum class PresetKind : uint8_t { Ordinary, Peak, Maintenance };
constexpr size_t kPresetCount = 3;
std::string_view nameOf(PresetKind Kind);
std::optional<PresetKind> parsePresetKind(std::string_view Text);

/// The limits that members voted for one kind of day.
struct Preset {
  Limit m_DefaultLimit{100, 200};
  std::map<OrganisationName, Limit> m_Limits;
  /// Upper bound for the age that a read may accept.
  uint32_t m_MaxReadAgeMs = 60'000;
  /// Time in which a departing database finishes the work it has.
  uint32_t m_DrainTimeoutMs = 3'000;
  /// Reference of the vote that fixed these limits.
  std::string m_Vote;

  Limit limitOf(const OrganisationName &Organisation) const;
  friend auto operator<=>(const Preset &, const Preset &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_DefaultLimit, m_Limits, m_MaxReadAgeMs, m_DrainTimeoutMs, m_Vote);
  }
};

struct KeyRecord {
  OrganisationName m_Organisation;
  KeyDigest m_Digest;

  friend auto operator<=>(const KeyRecord &, const KeyRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Digest);
  }
};

/// A proxy host.
struct HostRecord {
  HostName m_Name;
  AvailabilityZone m_Zone;
  /// Where other hosts forward requests to.
  Endpoint m_ForwardEndpoint;

  friend auto operator<=>(const HostRecord &, const HostRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Name, m_Zone, m_ForwardEndpoint);
  }
};

/// A database instance as it announces itself.
struct InstanceRecord {
  DatabaseName m_Database;
  InstanceName m_Name;
  AvailabilityZone m_Zone;
  /// Takes statements; connections to it count against m_ConnectionLimit.
  Endpoint m_StatementEndpoint;
  /// Takes status, seal, promote and follow requests.
  Endpoint m_PlatformEndpoint;
  /// Statements the instance executes at a time.
  uint32_t m_Slots = 3;
  uint32_t m_ConnectionLimit = 25;
  /// Number of instances in the group; majorities are of this number.
  uint32_t m_GroupSize = 3;

  friend auto operator<=>(const InstanceRecord &,
                          const InstanceRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Name, m_Zone, m_StatementEndpoint, m_PlatformEndpoint,
       m_Slots, m_ConnectionLimit, m_GroupSize);
  }
};

/// Whether new work may go to an instance.
enum class InstanceState : uint8_t { Ready, Draining };

/// What an instance says of itself in a check-in.
struct InstanceDescription {
  InstanceName m_Name;
  DatabaseName m_Database;
  AvailabilityZone m_Zone;
  Endpoint m_StatementEndpoint;
  uint32_t m_Slots = 1;
  InstanceState m_State = InstanceState::Ready;
  bool m_IsPrimary = false;
  /// Wall-clock start of the instance in milliseconds since 1970; a later start
  /// under the same name is another boot. 0 when not stated.
  uint64_t m_StartedAtMs = 0;

  friend auto operator<=>(const InstanceDescription &,
                          const InstanceDescription &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Name, m_Database, m_Zone, m_StatementEndpoint, m_Slots, m_State,
       m_IsPrimary, m_StartedAtMs);
  }
};
/// A database group in the replicated configuration.
struct DatabaseRecord {
  uint32_t m_GroupSize = 0;
  /// Members of the group, at most m_GroupSize.
  std::map<InstanceName, InstanceRecord> m_Instances;
  /// Announced beyond the group size; not counted and not used.
  std::map<InstanceName, InstanceRecord> m_Spares;
  std::set<InstanceName> m_Draining;
  /// The last term begun; statements run only in the term of m_Primary.
  uint64_t m_BegunTerm = 0;
  /// Term and name of the elected primary; none before the first election.
  uint64_t m_PrimaryTerm = 0;
  std::optional<InstanceName> m_Primary;
  TermHistory m_History;

  size_t majority() const { return m_GroupSize / 2 + 1; }
  friend auto operator<=>(const DatabaseRecord &,
                          const DatabaseRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_GroupSize, m_Instances, m_Spares, m_Draining, m_BegunTerm,
       m_PrimaryTerm, m_Primary, m_History);
  }
};

// Bodies of changes by operators. Each counts towards the configuration
// version.

struct CreateOrganisation {
  OrganisationName m_Organisation;
  friend auto operator<=>(const CreateOrganisation &,
                          const CreateOrganisation &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation);
  }
};
/// Also revokes all keys of the organisation.
struct RemoveOrganisation {
  OrganisationName m_Organisation;
  friend auto operator<=>(const RemoveOrganisation &,
                          const RemoveOrganisation &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation);
  }
};
struct IssueKey {
  KeyId m_Key;
  KeyRecord m_Record;
  friend auto operator<=>(const IssueKey &, const IssueKey &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Key, m_Record);
  }
};
struct RevokeKey {
  KeyId m_Key;
  friend auto operator<=>(const RevokeKey &, const RevokeKey &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Key); }
};
struct DefinePreset {
  PresetKind m_Kind = PresetKind::Ordinary;
  Preset m_Preset;
  friend auto operator<=>(const DefinePreset &, const DefinePreset &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Preset);
  }
};
struct ActivatePreset {
  PresetKind m_Kind = PresetKind::Ordinary;
  friend auto operator<=>(const ActivatePreset &,
                          const ActivatePreset &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Kind); }
};
/// Starts (or ends) the drain of an instance.
struct DrainInstance {
  DatabaseName m_Database;
  InstanceName m_Instance;
  bool m_Draining = true;
  friend auto operator<=>(const DrainInstance &,
                          const DrainInstance &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance, m_Draining);
  }
};
/// Removes an instance that will not return. A spare takes its place once it
/// holds the log of the primary, by AdmitInstance.
struct RemoveInstance {
  DatabaseName m_Database;
  InstanceName m_Instance;
  friend auto operator<=>(const RemoveInstance &,
                          const RemoveInstance &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance);
  }
};
struct RemoveHost {
  HostName m_Host;
  friend auto operator<=>(const RemoveHost &, const RemoveHost &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Host); }
};
/// Audit record of a change of the control membership, which consensus itself
/// carries.
struct RecordMembership {
  std::string m_Description;
  friend auto operator<=>(const RecordMembership &,
                          const RecordMembership &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Description); }
};

// Bodies of changes by the system. They do not count towards the version that
// operators expect.

struct RegisterHost {
  HostRecord m_Host;
  friend auto operator<=>(const RegisterHost &, const RegisterHost &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Host); }
};
struct RegisterInstance {
  InstanceRecord m_Instance;
  friend auto operator<=>(const RegisterInstance &,
                          const RegisterInstance &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Instance); }
};
/// Fixes a new term of a database. Accepted only when m_Term is exactly one
/// above the last begun term.
struct BeginTerm {
  DatabaseName m_Database;
  uint64_t m_Term = 0;
  friend auto operator<=>(const BeginTerm &, const BeginTerm &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Term);
  }
};
/// Publishes the primary of a term. Accepted only while m_Term is the last
/// begun term.
struct ElectPrimary {
  DatabaseName m_Database;
  InstanceName m_Instance;
  TermStart m_Start;
  friend auto operator<=>(const ElectPrimary &, const ElectPrimary &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance, m_Start);
  }
};

/// Makes a spare a member of a group with a free place. Accepted only while
/// m_Term is the last begun term and has a primary, so that no change of
/// primary is in progress.
struct AdmitInstance {
  DatabaseName m_Database;
  InstanceName m_Instance;
  uint64_t m_Term = 0;
  friend auto operator<=>(const AdmitInstance &,
                          const AdmitInstance &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance, m_Term);
  }
};

/// What a read through a route must observe.
enum class ReadGuarantee : uint8_t {
  /// Every commit acknowledged before the read.
  Primary,
  /// Every commit acknowledged longer ago than the age limit of the route.
  BoundedAge,
  /// As BoundedAge, and every commit of the same session.
  ReadYourWrites,
};

/// How sessions of one route are served.
struct RoutePolicy {
  DatabaseName m_Database;
  ReadGuarantee m_Guarantee = ReadGuarantee::Primary;
  /// Longest time for one statement.
  uint32_t m_StatementTimeoutMs = 1'000;
  /// Latency that callers aim for; 0 when none is stated.
  uint32_t m_TargetLatencyMs = 0;
  uint32_t m_MaxReadAgeMs = 0;
  /// 0 is the most urgent.
  uint32_t m_Priority = 0;
  bool m_AllowsAnonymous = false;

  friend auto operator<=>(const RoutePolicy &, const RoutePolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Guarantee, m_StatementTimeoutMs, m_TargetLatencyMs,
       m_MaxReadAgeMs, m_Priority, m_AllowsAnonymous);
  }
};

/// What is declared about a database group.
struct GroupPolicy {
  /// Connections of all hosts together to one instance.
  uint32_t m_ConnectionLimit = 25;
  /// Replicas that hold a commit before the primary acknowledges it; with 0 an
  /// acknowledged commit can be lost with the primary.
  uint32_t m_SyncReplicas = 0;

  friend auto operator<=>(const GroupPolicy &, const GroupPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_ConnectionLimit, m_SyncReplicas);
  }
};

/// How long a lent rate token can be used at most.
constexpr Duration kMaxLoanValidity = std::chrono::milliseconds(300);

/// Returns a limit for a token bucket that lends, in any span of Window, no
/// more than rate x Window + burst of Counted. Tokens lent just before the span
/// and used in it come on top: at most rate x kMaxLoanValidity. A smaller part
/// of the burst at once leaves a higher sustained rate.
Limit bucketLimitFor(const Limit &WindowLimit, Duration Window);

struct OrganisationPolicy {
  std::vector<KeyDigest> m_Keys;
  Limit m_Limit;

  friend auto operator<=>(const OrganisationPolicy &,
                          const OrganisationPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Keys, m_Limit);
  }
};

/// Organisations, routes and groups as one document, replaced as a whole.
struct FleetPolicy {
  /// Chosen by the operator; rises in steps of any size.
  uint64_t m_Version = 0;
  std::map<OrganisationName, OrganisationPolicy> m_Organisations;
  std::map<RouteName, RoutePolicy> m_Routes;
  std::map<DatabaseName, GroupPolicy> m_Groups;
  /// A transaction that is idle for so long is rolled back.
  uint32_t m_TransactionIdleMs = 10'000;

  friend auto operator<=>(const FleetPolicy &, const FleetPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_Organisations, m_Routes, m_Groups, m_TransactionIdleMs);
  }
};

/// Replaces the policy document when its version is above the one in force;
/// otherwise it is accepted and changes nothing. It carries its own version, so
/// it needs neither an expected version nor a change identifier.
struct InstallPolicy {
  FleetPolicy m_Policy;
  /// The document as the operator sent it; only control hosts keep it.
  std::string m_Source;

  friend auto operator<=>(const InstallPolicy &,
                          const InstallPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Policy, m_Source);
  }
};

/// The instance directory as the leader last knew it, so that a restarted
/// cluster serves before every instance has checked in again.
struct RecordDirectory {
  std::vector<InstanceDescription> m_Instances;

  friend auto operator<=>(const RecordDirectory &,
                          const RecordDirectory &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Instances); }
};

using ChangeBody =
    std::variant<CreateOrganisation, RemoveOrganisation, IssueKey, RevokeKey,
                 DefinePreset, ActivatePreset, DrainInstance, RemoveInstance,
                 RemoveHost, RecordMembership, RegisterHost, RegisterInstance,
                 BeginTerm, ElectPrimary, AdmitInstance, InstallPolicy,
                 RecordDirectory>;

/// Returns whether an operator (not the system) makes such a change.
bool isOperatorChange(const ChangeBody &Body);
/// One line about a change for the audit trail and logs; never contains a key.
std::string describe(const ChangeBody &Body);

/// A change as it stands in the replicated log.
struct Change {
  /// Chosen by the sender; a change sent again bears the same identifier.
  std::string m_ChangeId;
  /// The configuration version the operator saw; ignored for changes by the
  /// system.
  uint64_t m_ExpectedVersion = 0;
  std::string m_Actor;
  /// Wall-clock time at the leader in milliseconds since 1970, for the audit
  /// trail only.
  uint64_t m_WallTimeMs = 0;
  ChangeBody m_Body;

  friend auto operator<=>(const Change &, const Change &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_ChangeId, m_ExpectedVersion, m_Actor, m_WallTimeMs, m_Body);
  }
};

/// What became of a change. m_Version is the configuration version after it.
struct ChangeOutcome {
  bool m_Accepted = false;
  uint64_t m_Version = 0;
  /// Set when refused.
  std::optional<ErrorReport> m_Error;

  friend auto operator<=>(const ChangeOutcome &,
                          const ChangeOutcome &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Accepted, m_Version, m_Error);
  }
};

/// The replicated configuration that every proxy holds.
class Configuration {
public:
  /// Applies a change; deterministic. A refused change leaves the configuration
  /// as it was.
  ChangeOutcome apply(const Change &Change);

  /// Number of accepted changes by operators.
  uint64_t version() const { return m_Version; }
  PresetKind activePresetKind() const { return m_ActivePresetKind; }
  const Preset &preset(PresetKind Kind) const {
    return m_Presets.at(static_cast<size_t>(Kind));
  }
  const Preset &activePreset() const { return preset(m_ActivePresetKind); }
  const std::set<OrganisationName> &organisations() const {
    return m_Organisations;
  }
  const std::map<KeyId, KeyRecord> &keys() const { return m_Keys; }
  const std::map<DatabaseName, DatabaseRecord> &databases() const {
    return m_Databases;
  }
  const std::map<HostName, HostRecord> &hosts() const { return m_Hosts; }
  /// Returns the key with this digest, or null.
  const std::pair<const KeyId, KeyRecord> *
  findKey(const KeyDigest &Digest) const;
  /// The policy document in force; of version 0 before the first.
  const FleetPolicy &policy() const { return m_Policy; }
  /// Returns the group of this name, or null.
  const DatabaseRecord *findDatabase(const DatabaseName &Database) const;

  friend bool operator==(const Configuration &,
                         const Configuration &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_ActivePresetKind, m_Presets, m_Organisations, m_Keys,
       m_KeyByDigest, m_Databases, m_Hosts, m_Policy);
  }

private:
  friend class ChangeApplier;

  uint64_t m_Version = 0;
  PresetKind m_ActivePresetKind = PresetKind::Ordinary;
  std::array<Preset, kPresetCount> m_Presets;
  std::set<OrganisationName> m_Organisations;
  std::map<KeyId, KeyRecord> m_Keys;
  std::map<KeyDigest, KeyId> m_KeyByDigest;
  std::map<DatabaseName, DatabaseRecord> m_Databases;
  std::map<HostName, HostRecord> m_Hosts;
  FleetPolicy m_Policy;
};

} // namespace almondpier

template <typename Tag> struct std::hash<almondpier::Name<Tag>> {
  size_t operator()(const almondpier::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.m_Value);
  }
};
