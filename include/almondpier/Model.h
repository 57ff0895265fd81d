/// \file
/// Value types shared by all libraries: identifiers, log positions, rate
/// limits, error kinds, and the replicated configuration with its changes.
/// Values are compared by content; readers treat them as immutable.
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
/// Monotonic time of one process. Times of different processes are not
/// comparable.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A strongly typed name: names with different tags do not convert to one
/// another.
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
/// The name that a client gives when it opens a session; the RoutePolicy of
/// that name selects the database group and the read guarantee.
using RouteName = Name<struct RouteTag>;

/// Maximum length of a name of any kind, in bytes.
constexpr size_t kMaxNameBytes = 64;

/// Returns whether Text consists of 1 to kMaxNameBytes characters from a-z,
/// A-Z, 0-9, '.', '_' and '-'.
bool isValidName(std::string_view Text);

struct Endpoint {
  std::string m_Address;
  uint16_t m_Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Address, m_Port);
  }
};

/// Parses "ADDRESS:PORT" with an IPv4 address. Throws std::invalid_argument
/// with a message that states the expected format.
Endpoint parseEndpoint(std::string_view Text);
std::string formatEndpoint(const Endpoint &Value);

/// Position in the replication log of a database, given by the term and index
/// of an entry.
struct Position {
  uint64_t m_Term = 0;
  uint64_t m_Index = 0;

  friend auto operator<=>(const Position &, const Position &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Index);
  }
};

/// The log index at which a term starts: the last index before the first entry
/// of the term.
struct TermStart {
  uint64_t m_Term = 0;
  uint64_t m_StartIndex = 0;

  friend auto operator<=>(const TermStart &, const TermStart &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_StartIndex);
  }
};

/// Start index of each known term of one database. Positions of different terms
/// can be compared only with the help of this history, because a new term may
/// discard entries of an older one.
class TermHistory {
public:
  /// Adds a term that is later than all known terms; any other term is ignored.
  void add(TermStart Start);
  /// Returns whether an instance whose log ends at State contains the entry at
  /// Wanted.
  bool covers(Position State, Position Wanted) const;
  const std::vector<TermStart> &starts() const { return m_Starts; }

  friend auto operator<=>(const TermHistory &, const TermHistory &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Starts); }

private:
  std::vector<TermStart> m_Starts;
};

/// Request rate limit of one organisation, enforced across all hosts together.
struct Limit {
  double m_RatePerSecond = 0;
  /// Capacity of the token bucket: requests that may start at once after an
  /// idle period.
  double m_Burst = 0;

  friend auto operator<=>(const Limit &, const Limit &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_RatePerSecond, m_Burst);
  }
};

/// BLAKE2b digest of a client's API key.
struct KeyDigest {
  std::array<uint8_t, 32> m_Bytes{};

  friend auto operator<=>(const KeyDigest &, const KeyDigest &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Bytes); }
};

/// Computes the digest of an API key from its text as sent by the client.
KeyDigest digestOfKey(std::string_view Key);
/// Keyed BLAKE2b hash of Data (32 bytes); Secret has 16 to 64 bytes.
std::array<uint8_t, 32> keyedHash(std::string_view Secret,
                                  std::string_view Data);
/// Compares two secrets in constant time, so that the duration does not reveal
/// where they differ.
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

/// Whether a database executed the request. Tells the client whether a retry
/// can apply the request twice.
enum class Ran : uint8_t { No, Unknown, Yes };

std::string_view nameOf(ErrorKind Kind);
std::string_view nameOf(Ran Value);
/// Returns advice to the client or operator on how to resolve an error of this
/// kind.
std::string_view remedyOf(ErrorKind Kind);
int httpStatusOf(ErrorKind Kind);

/// An error as reported to a client or an operator.
struct ErrorReport {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;
  Ran m_Ran = Ran::No;
  /// Delay after which a retry can succeed; 0 when unknown.
  uint32_t m_RetryAfterMs = 0;

  friend auto operator<=>(const ErrorReport &, const ErrorReport &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Message, m_Ran, m_RetryAfterMs);
  }
};

/// Exception with an ErrorKind; what() ends with remedyOf() the kind.
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

/// Limits for one kind of day, decided by a vote of the members. Operators
/// activate one preset at a time.
struct Preset {
  Limit m_DefaultLimit{100, 200};
  std::map<OrganisationName, Limit> m_Limits;
  /// Upper bound on the staleness that a read may accept.
  uint32_t m_MaxReadAgeMs = 60'000;
  /// Time limit for a draining instance to finish the work in progress.
  uint32_t m_DrainTimeoutMs = 3'000;
  /// Reference to the vote that decided these limits.
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

/// A proxy host in the replicated configuration.
struct HostRecord {
  HostName m_Name;
  AvailabilityZone m_Zone;
  /// Endpoint to which other hosts forward requests.
  Endpoint m_ForwardEndpoint;

  friend auto operator<=>(const HostRecord &, const HostRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Name, m_Zone, m_ForwardEndpoint);
  }
};

/// What a host can carry, from its settings. A member is 0 when the settings do
/// not give it.
struct HostCapacity {
  /// Bandwidth of the host's link in each direction.
  uint32_t m_LinkKbitPerSecond = 0;
  /// Share of a processor core, in thousandths.
  uint32_t m_ProcessorPermille = 0;

  bool isKnown() const {
    return m_LinkKbitPerSecond != 0 || m_ProcessorPermille != 0;
  }
  friend auto operator<=>(const HostCapacity &, const HostCapacity &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_LinkKbitPerSecond, m_ProcessorPermille);
  }
};

/// A database instance as described in its announcement.
struct InstanceRecord {
  DatabaseName m_Database;
  InstanceName m_Name;
  AvailabilityZone m_Zone;
  /// Accepts statements; connections to it count towards m_ConnectionLimit.
  Endpoint m_StatementEndpoint;
  /// Accepts the HTTP requests that manage replication: status, seal (reject
  /// writes of earlier terms), promote and follow.
  Endpoint m_PlatformEndpoint;
  /// Number of statements that the instance executes concurrently.
  uint32_t m_Slots = 3;
  uint32_t m_ConnectionLimit = 25;
  /// Number of instances in the group; determines the size of a majority.
  uint32_t m_GroupSize = 3;

  friend auto operator<=>(const InstanceRecord &,
                          const InstanceRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Name, m_Zone, m_StatementEndpoint, m_PlatformEndpoint,
       m_Slots, m_ConnectionLimit, m_GroupSize);
  }
};

/// A draining instance receives no new work.
enum class InstanceState : uint8_t { Ready, Draining };

/// Self-description that an instance sends with its periodic check-in.
struct InstanceDescription {
  InstanceName m_Name;
  DatabaseName m_Database;
  AvailabilityZone m_Zone;
  Endpoint m_StatementEndpoint;
  uint32_t m_Slots = 1;
  InstanceState m_State = InstanceState::Ready;
  bool m_IsPrimary = false;
  /// Wall-clock start time of the instance in milliseconds since 1970; a later
  /// start time under the same name means that the instance has restarted. 0
  /// when not given.
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
  /// Instances announced when the group was full or had already begun its first
  /// term. They do not count towards majorities and receive no statements until
  /// admitted (AdmitInstance).
  std::map<InstanceName, InstanceRecord> m_Spares;
  std::set<InstanceName> m_Draining;
  /// The latest term that has begun. It is above m_PrimaryTerm while a primary
  /// is being elected. Statements run only in the term of m_Primary.
  uint64_t m_BegunTerm = 0;
  /// Term of the elected primary; 0 before the first election.
  uint64_t m_PrimaryTerm = 0;
  /// Empty before the first election.
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

// Configuration changes made by operators. Each accepted change, except
// RecordMembership, increments the configuration version.

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
/// Starts draining an instance, or ends it when m_Draining is false.
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
/// Permanently removes an instance from its group. A spare takes its place by
/// AdmitInstance once its log has caught up with that of the primary.
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
/// Audit record of a membership change of the control hosts. The change itself
/// is made by LogEntry::m_Membership.
struct RecordMembership {
  std::string m_Description;
  friend auto operator<=>(const RecordMembership &,
                          const RecordMembership &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Description); }
};

// Configuration changes made by the system. They do not increment the
// configuration version, so they do not conflict with changes by operators.

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
/// Begins a new term of a database. Accepted only when m_Term is exactly one
/// above the latest term that has begun.
struct BeginTerm {
  DatabaseName m_Database;
  uint64_t m_Term = 0;
  friend auto operator<=>(const BeginTerm &, const BeginTerm &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Term);
  }
};
/// Records the primary elected for a term. Accepted only while m_Term is the
/// latest term that has begun.
struct ElectPrimary {
  DatabaseName m_Database;
  InstanceName m_Instance;
  TermStart m_Start;
  friend auto operator<=>(const ElectPrimary &, const ElectPrimary &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance, m_Start);
  }
};

/// Promotes a spare to a member of a group that is below its size. Accepted
/// only while m_Term is the latest term that has begun and has a primary, so
/// that membership does not change during a failover.
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

/// Consistency level of reads through a route: the commits that a read must
/// observe.
enum class ReadGuarantee : uint8_t {
  /// Every commit acknowledged before the read.
  Primary,
  /// Every commit acknowledged longer ago than the staleness limit of the
  /// route.
  BoundedAge,
  /// As BoundedAge, and every commit of the same session.
  ReadYourWrites,
};

/// Settings for the sessions of one route.
struct RoutePolicy {
  DatabaseName m_Database;
  ReadGuarantee m_Guarantee = ReadGuarantee::Primary;
  /// Time limit for one statement.
  uint32_t m_StatementTimeoutMs = 1'000;
  /// Latency objective of the clients; 0 when none is given.
  uint32_t m_TargetLatencyMs = 0;
  uint32_t m_MaxReadAgeMs = 0;
  /// 0 is the highest priority.
  uint32_t m_Priority = 0;
  bool m_AllowsAnonymous = false;

  friend auto operator<=>(const RoutePolicy &, const RoutePolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Guarantee, m_StatementTimeoutMs, m_TargetLatencyMs,
       m_MaxReadAgeMs, m_Priority, m_AllowsAnonymous);
  }
};

/// Settings of a database group.
struct GroupPolicy {
  /// Maximum number of connections to one instance from all hosts together.
  uint32_t m_ConnectionLimit = 25;
  /// Number of replicas that must store a commit before the primary
  /// acknowledges it; with 0, the loss of the primary can lose acknowledged
  /// commits.
  uint32_t m_SyncReplicas = 0;

  friend auto operator<=>(const GroupPolicy &, const GroupPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_ConnectionLimit, m_SyncReplicas);
  }
};

/// Maximum time for which a rate-limit token lent to a host is valid.
constexpr Duration kMaxLoanValidity = std::chrono::milliseconds(300);

/// Returns the parameters of a token bucket that lends at most rate x Window +
/// burst of WindowLimit in any interval of length Window. Tokens lent just
/// before the interval and used within it come on top: at most rate x
/// kMaxLoanValidity. Only a part of the burst can be used at once; the rest is
/// spread over Window, which raises the sustained rate.
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

/// Policy document with the settings of all organisations, routes and groups;
/// always replaced as a whole.
struct FleetPolicy {
  /// Chosen by the operator; must increase, by any step.
  uint64_t m_Version = 0;
  std::map<OrganisationName, OrganisationPolicy> m_Organisations;
  std::map<RouteName, RoutePolicy> m_Routes;
  std::map<DatabaseName, GroupPolicy> m_Groups;
  /// Idle time after which a transaction is rolled back.
  uint32_t m_TransactionIdleMs = 10'000;

  friend auto operator<=>(const FleetPolicy &, const FleetPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Version, m_Organisations, m_Routes, m_Groups, m_TransactionIdleMs);
  }
};

/// Replaces the policy document if the version of m_Policy is above the current
/// one; otherwise it is accepted and has no effect. The version of the document
/// makes it idempotent, so it needs neither an expected configuration version
/// nor a change identifier.
struct InstallPolicy {
  FleetPolicy m_Policy;
  /// Source text of the document as sent by the operator; stored only by
  /// control hosts.
  std::string m_Source;

  friend auto operator<=>(const InstallPolicy &,
                          const InstallPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Policy, m_Source);
  }
};

/// Changes the policy document from one version to the next. Control hosts send
/// it to proxies in place of the whole document, which is hundreds of times as
/// large; it is never in the log. Refused where the policy is at another
/// version.
struct AmendPolicy {
  uint64_t m_BaseVersion = 0;
  uint64_t m_Version = 0;
  std::map<OrganisationName, OrganisationPolicy> m_Organisations;
  std::vector<OrganisationName> m_RemovedOrganisations;
  std::map<RouteName, RoutePolicy> m_Routes;
  std::vector<RouteName> m_RemovedRoutes;
  std::map<DatabaseName, GroupPolicy> m_Groups;
  std::vector<DatabaseName> m_RemovedGroups;
  uint32_t m_TransactionIdleMs = 10'000;

  friend auto operator<=>(const AmendPolicy &, const AmendPolicy &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_BaseVersion, m_Version, m_Organisations, m_RemovedOrganisations,
       m_Routes, m_RemovedRoutes, m_Groups, m_RemovedGroups,
       m_TransactionIdleMs);
  }
};
/// Returns the amendment that turns From into To.
AmendPolicy makeAmendment(const FleetPolicy &From, const FleetPolicy &To);
/// Returns the amended policy. Throws Error when the policy is not at the
/// amendment's base version.
FleetPolicy applyAmendment(FleetPolicy Policy, const AmendPolicy &Amendment);

/// Stores the leader's instance directory in the log, so that a restarted
/// cluster can serve requests before every instance has checked in again.
struct RecordDirectory {
  std::vector<InstanceDescription> m_Instances;

  friend auto operator<=>(const RecordDirectory &,
                          const RecordDirectory &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Instances); }
};

/// Records what a registered host can carry.
struct SetHostCapacity {
  HostName m_Host;
  HostCapacity m_Capacity;

  friend auto operator<=>(const SetHostCapacity &,
                          const SetHostCapacity &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Capacity);
  }
};

/// Takes all instances of an availability zone out of use, or, when
/// m_IsEvacuated is false, returns them to use. Repeating it has no effect, so
/// it needs neither an expected configuration version nor a change identifier;
/// of two opposite orders the later one in the log counts.
struct EvacuateZone {
  AvailabilityZone m_Zone;
  bool m_IsEvacuated = true;

  friend auto operator<=>(const EvacuateZone &, const EvacuateZone &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Zone, m_IsEvacuated);
  }
};

using ChangeBody =
    std::variant<CreateOrganisation, RemoveOrganisation, IssueKey, RevokeKey,
                 DefinePreset, ActivatePreset, DrainInstance, RemoveInstance,
                 RemoveHost, RecordMembership, RegisterHost, RegisterInstance,
                 BeginTerm, ElectPrimary, AdmitInstance, InstallPolicy,
                 RecordDirectory, AmendPolicy, SetHostCapacity, EvacuateZone>;

/// Returns whether changes of this type are made by operators rather than by
/// the system.
bool isOperatorChange(const ChangeBody &Body);
/// Returns a one-line description for the audit trail and logs; it never
/// contains an API key.
std::string describe(const ChangeBody &Body);

/// A configuration change as stored in the replicated log.
struct Change {
  /// Chosen by the sender and repeated on retries, so that a change is applied
  /// only once.
  std::string m_ChangeId;
  /// Configuration version on which the operator based the change (optimistic
  /// concurrency control); ignored for changes by the system.
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

/// Result of applying a change. m_Version is the resulting configuration
/// version.
struct ChangeOutcome {
  bool m_Accepted = false;
  uint64_t m_Version = 0;
  /// Set when the change was rejected.
  std::optional<ErrorReport> m_Error;

  friend auto operator<=>(const ChangeOutcome &,
                          const ChangeOutcome &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Accepted, m_Version, m_Error);
  }
};

/// The part of the configuration that builds before it do not know. An encoded
/// configuration ends with it, unless it is empty, so that earlier builds read
/// the configurations of deployments that do not use it.
struct ConfigurationExtension {
  std::map<HostName, HostCapacity> m_HostCapacities;
  std::set<AvailabilityZone> m_EvacuatedZones;

  bool empty() const {
    return m_HostCapacities.empty() && m_EvacuatedZones.empty();
  }
  friend auto operator<=>(const ConfigurationExtension &,
                          const ConfigurationExtension &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_HostCapacities, m_EvacuatedZones);
  }
};

/// The replicated configuration, of which every proxy holds a copy.
class Configuration {
public:
  /// Applies a change. The result is deterministic, so that all copies stay
  /// equal. A rejected change does not modify the configuration.
  ChangeOutcome apply(const Change &Change);

  /// Number of operator changes accepted so far.
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
  /// The current policy document; its version is 0 before the first one is
  /// installed.
  const FleetPolicy &policy() const { return m_Policy; }
  /// Capacities of the registered hosts that published one.
  const std::map<HostName, HostCapacity> &hostCapacities() const {
    return m_Extension.m_HostCapacities;
  }
  /// Zones whose instances must receive no statements.
  const std::set<AvailabilityZone> &evacuatedZones() const {
    return m_Extension.m_EvacuatedZones;
  }
  bool isEvacuated(const AvailabilityZone &Zone) const {
    return m_Extension.m_EvacuatedZones.contains(Zone);
  }
  /// Not part of serialize(); the caller encodes it after everything else.
  const ConfigurationExtension &extension() const { return m_Extension; }
  void setExtension(ConfigurationExtension Extension) {
    m_Extension = std::move(Extension);
  }
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
  ConfigurationExtension m_Extension;
};

} // namespace almondpier

template <typename Tag> struct std::hash<almondpier::Name<Tag>> {
  size_t operator()(const almondpier::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.m_Value);
  }
};
