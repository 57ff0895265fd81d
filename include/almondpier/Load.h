/// \file
/// Load generator for proxies. Checks every answer and reports the four
/// measures of docs/design.md, section 1.3.
#pragma once

#include "almondpier/Model.h"
#include "almondpier/Telemetry.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace almondpier {

// Consistency checks.

enum class LoadWriteKind : uint8_t { Put, Append, Insert };

/// Outcome of a write as far as the client knows it.
enum class LoadWriteState : uint8_t {
  /// No final answer yet.
  Open,
  Acknowledged,
  /// Refused without being run.
  NotRun,
  /// The database ran the statement and reported an error.
  Failed,
  /// The write may or may not have been applied.
  Unknown
};

/// A write of one value to one key. The value written is m_Number.
struct LoadWrite {
  uint64_t m_Number = 0;
  DatabaseName m_Database;
  std::string m_Key;
  LoadWriteKind m_Kind = LoadWriteKind::Put;
  uint64_t m_Session = 0;
  /// Identifies the transaction, whose writes must be applied together or not
  /// at all; 0 for a write outside a transaction.
  uint64_t m_Transaction = 0;
  LoadWriteState m_State = LoadWriteState::Open;
  Time m_AcknowledgedAt{};
  /// Whether a read has returned the value.
  bool m_WasSeen = false;

  friend auto operator<=>(const LoadWrite &, const LoadWrite &) = default;
};

/// Writes that a read must return.
enum class LoadReadMode : uint8_t {
  /// The acknowledged writes of the same session.
  Session,
  /// Every write acknowledged before the read began.
  Confirmed,
  /// Every write acknowledged more than m_MaxAge before the read began.
  MaxAge
};

struct LoadRead {
  DatabaseName m_Database;
  std::string m_Key;
  LoadReadMode m_Mode = LoadReadMode::Session;
  uint64_t m_Session = 0;
  Time m_StartedAt{};
  Duration m_MaxAge{};
};

/// Checks the values read against the outcomes reported for the writes. Each
/// key is written in only one of three ways: sequential puts of one session,
/// appends, or inserts.
class LoadChecker {
public:
  /// Registers a write before it is sent and returns its number, which is the
  /// value to write. Numbers increase.
  uint64_t beginWrite(LoadWrite Write);
  void finishWrite(uint64_t Number, LoadWriteState State, Time Now);
  /// Checks the values that a read returned.
  void checkRead(const LoadRead &Read, const std::vector<uint64_t> &Values);
  /// Checks the values that a confirmed read returned after the load ended.
  void checkFinalRead(const DatabaseName &Database, const std::string &Key,
                      const std::vector<uint64_t> &Values);
  /// Checks that checkFinalRead was called for every key written and that no
  /// transaction was applied in part. Call it after all calls of
  /// checkFinalRead.
  void checkCompleteness();
  void addViolation(const std::string &Text);

  /// All keys written, for the final reads.
  std::vector<std::pair<DatabaseName, std::string>> keys() const;
  size_t count(LoadWriteState State) const;
  uint64_t violationCount() const { return m_ViolationCount; }
  /// Texts of the first violations of each kind; later ones are only counted.
  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  struct KeyState {
    std::vector<uint64_t> m_Writes;
    bool m_WasVerified = false;
    std::set<uint64_t> m_Final;
  };
  using KeyName = std::pair<DatabaseName, std::string>;

  void checkValues(const KeyName &Key, const std::vector<uint64_t> &Values);
  void checkRequired(const KeyName &Key, const std::vector<uint64_t> &Values,
                     const std::function<bool(const LoadWrite &)> &IsRequired,
                     const std::string &Promise);

  std::unordered_map<uint64_t, LoadWrite> m_Writes;
  std::map<KeyName, KeyState> m_Keys;
  uint64_t m_LastNumber = 0;
  uint64_t m_ViolationCount = 0;
  std::map<std::string, uint64_t> m_CountByKind;
  std::vector<std::string> m_Violations;
};

// Measurements.

enum class LoadRequestKind : uint8_t {
  Read,
  /// A put to a key of the session.
  Write,
  /// An insert; several sessions may try to insert at the same key.
  Booking,
  /// An append to a list that sessions share.
  Split,
  Transaction,
  Lookup
};
constexpr size_t kLoadRequestKindCount = 6;
std::string_view nameOf(LoadRequestKind Kind);

enum class LoadResult : uint8_t {
  Served,
  /// The request was refused without being run.
  Refused,
  /// The request may or may not have been run.
  Unknown,
  /// No proxy could be reached.
  Unreachable
};

/// One request to a proxy with its result.
struct LoadSample {
  LoadRequestKind m_Kind = LoadRequestKind::Read;
  OrganisationName m_Organisation;
  DatabaseName m_Database;
  LoadResult m_Result = LoadResult::Served;
  /// Error kind from the answer; empty when there was no error.
  std::string m_ErrorKind;
  Time m_SentAt{};
  Time m_DoneAt{};
  /// Whether the request was within the rate and burst of its organisation.
  bool m_WasInsideRate = false;
  /// Whether the request is a read that a replica may serve.
  bool m_MayUseReplica = false;
  bool m_WasServedByReplica = false;
  bool m_IsAcknowledgedWrite = false;
};

class LoadMeasures {
public:
  explicit LoadMeasures(std::map<OrganisationName, Limit> Limits);

  void start(Time Now) { m_StartedAt = Now; }
  void stop(Time Now) { m_StoppedAt = Now; }
  /// Counts a request when it is sent. Returns whether it is within the rate
  /// and burst of its organisation; true when the organisation has no limit.
  bool recordOffered(const OrganisationName &Organisation, Time Now);
  void record(const LoadSample &Sample);

  /// Fraction served by replicas of the reads that replicas may serve.
  double replicaShare() const;
  /// Longest time without an acknowledged write, per database.
  std::map<DatabaseName, Duration> longestWriteGaps() const;
  /// The organisation with the lowest ratio of requests served to the smaller
  /// of requests offered and requests that its rate and burst allow, and that
  /// ratio.
  std::pair<OrganisationName, double> lowestServedShare() const;
  uint64_t offeredInsideRate() const { return m_OfferedInsideRate; }
  uint64_t refusedInsideRate() const { return m_RefusedInsideRate; }

  std::string toText() const;
  std::string toJson() const;

private:
  struct OrganisationState {
    uint64_t m_Offered = 0;
    uint64_t m_Served = 0;
    uint64_t m_Refused = 0;
    double m_Tokens = 0;
    Time m_RefilledAt{};
  };
  struct DatabaseState {
    Time m_LastWriteAt{};
    Duration m_LongestWriteGap{};
    uint64_t m_Writes = 0;
  };

  double fairShareOf(const OrganisationName &Organisation,
                     const OrganisationState &State) const;

  std::map<OrganisationName, Limit> m_Limits;
  std::map<OrganisationName, OrganisationState> m_Organisations;
  std::map<DatabaseName, DatabaseState> m_Databases;
  std::map<std::string, uint64_t> m_Errors;
  std::array<LatencyHistogram, kLoadRequestKindCount> m_Latencies;
  std::array<uint64_t, 4> m_Results{};
  Time m_StartedAt{};
  Time m_StoppedAt{};
  uint64_t m_Reads = 0;
  uint64_t m_EligibleReads = 0;
  uint64_t m_ReplicaReads = 0;
  uint64_t m_OfferedInsideRate = 0;
  uint64_t m_RefusedInsideRate = 0;
};

// Runs.

/// Relative frequency of each kind of operation.
struct LoadMix {
  double m_Reads = 70;
  double m_Writes = 12;
  double m_Bookings = 6;
  double m_Splits = 8;
  double m_Transactions = 4;
};

struct LoadKey {
  OrganisationName m_Organisation;
  std::string m_Key;
};

struct LoadSettings {
  std::vector<Endpoint> m_Proxies;
  std::vector<DatabaseName> m_Databases;
  std::vector<LoadKey> m_Keys;
  /// Number of sessions, each of which sends one request at a time. With a
  /// rate, the initial number of sessions.
  uint32_t m_Concurrency = 32;
  /// Total operations per second; 0 for a closed loop, in which each session
  /// sends its next request after the previous answer.
  double m_RatePerSecond = 0;
  /// Operations per second of single organisations, instead of an equal part
  /// of m_RatePerSecond.
  std::map<OrganisationName, double> m_Rates;
  /// Limits in force, for the measurements.
  std::map<OrganisationName, Limit> m_Limits;
  LoadMix m_Mix;
  /// Fraction of the reads that carry the header Max-Age-Ms.
  double m_MaxAgeFraction = 0.5;
  uint32_t m_MaxAgeMs = 2'000;
  /// Fraction of the reads without a session token.
  double m_ConfirmedFraction = 0.05;
  /// Probability that a session picks a proxy at random for a request instead
  /// of using the previous one.
  double m_ProxySwitchFraction = 0.5;
  std::chrono::milliseconds m_Duration{10'000};
  uint64_t m_Seed = 1;
  /// Prefix of all keys and request identifiers, which keeps runs with
  /// different prefixes apart.
  std::string m_RunPrefix = "run";
};

struct LoadOutcome {
  std::string m_Text;
  std::string m_Json;
  bool m_IsCorrect = false;
};

class EventLoop;

/// Runs the load, reads back all keys written to verify the acknowledged
/// writes, and returns the report.
LoadOutcome runLoad(EventLoop &Loop, const LoadSettings &Settings);

struct DirectLoadSettings {
  /// Statement endpoint of an instance.
  Endpoint m_Instance;
  uint32_t m_Concurrency = 1;
  std::chrono::milliseconds m_Duration{5'000};
};

/// Sends reads directly to an instance, as the baseline for the latency that
/// the proxy adds.
LoadOutcome runDirectLoad(EventLoop &Loop, const DirectLoadSettings &Settings);

} // namespace almondpier
