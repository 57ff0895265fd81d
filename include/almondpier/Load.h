/// \file
/// Load generation against proxies, with checks of every answer and the four
/// measures of docs/design.md, section 1.3.
#pragma once

#include "almondpier/Model.h"
#include "almondpier/Telemetry.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace almondpier {

// Checks.

enum class LoadWriteKind : uint8_t { Put, Append, Insert };

/// What the caller knows about a write. Failed: the statement itself failed.
enum class LoadWriteState : uint8_t {
  Open,
  Acknowledged,
  NotRun,
  Failed,
  Unknown
};

/// A write of one value to one key; the value is its number.
struct LoadWrite {
  uint64_t m_Number = 0;
  DatabaseName m_Database;
  std::string m_Key;
  LoadWriteKind m_Kind = LoadWriteKind::Put;
  uint64_t m_Session = 0;
  /// Writes of one transaction are seen together or not at all; 0 for none.
  uint64_t m_Transaction = 0;
  LoadWriteState m_State = LoadWriteState::Open;
  Time m_AcknowledgedAt{};
  /// A read returned the value.
  bool m_WasSeen = false;

  friend auto operator<=>(const LoadWrite &, const LoadWrite &) = default;
};

/// What a read promises to see.
enum class LoadReadMode : uint8_t {
  /// The writes of its session.
  Session,
  /// Every write acknowledged before it began.
  Confirmed,
  /// Every write acknowledged m_MaxAge before it began.
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

/// Compares answers with what the caller was told. A key is written by puts of
/// one session in sequence, by appends, or by inserts.
class LoadChecker {
public:
  /// Notes a write about to be sent and returns its number, which is the value
  /// to write. Numbers rise.
  uint64_t beginWrite(LoadWrite Write);
  void finishWrite(uint64_t Number, LoadWriteState State, Time Now);
  /// Checks the values found at a key.
  void checkRead(const LoadRead &Read, const std::vector<uint64_t> &Values);
  /// Checks the values found by a confirmed read after the load.
  void checkFinalRead(const DatabaseName &Database, const std::string &Key,
                      const std::vector<uint64_t> &Values);
  /// Checks, after all calls of checkFinalRead, that every key was read and
  /// that transactions were kept whole.
  void checkCompleteness();
  void addViolation(const std::string &Text);

  /// Keys written, for the final reads.
  std::vector<std::pair<DatabaseName, std::string>> keys() const;
  size_t count(LoadWriteState State) const;
  uint64_t violationCount() const { return m_ViolationCount; }
  /// The first violations of each kind; more are only counted.
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

// Measures.

enum class LoadRequestKind : uint8_t {
  Read,
  Write,
  Booking,
  Split,
  Transaction,
  Lookup
};
constexpr size_t kLoadRequestKindCount = 6;
std::string_view nameOf(LoadRequestKind Kind);

enum class LoadResult : uint8_t {
  Served,
  /// The system refused the request without running it.
  Refused,
  /// The outcome is unknown.
  Unknown,
  /// No proxy was reached.
  Unreachable
};

/// One request to a proxy with its result.
struct LoadSample {
  LoadRequestKind m_Kind = LoadRequestKind::Read;
  OrganisationName m_Organisation;
  DatabaseName m_Database;
  LoadResult m_Result = LoadResult::Served;
  /// Kind of the error; empty when there was none.
  std::string m_ErrorKind;
  Time m_SentAt{};
  Time m_DoneAt{};
  /// The request was inside the rate and burst of its organisation.
  bool m_WasInsideRate = false;
  /// A read that a replica may serve.
  bool m_MayUseReplica = false;
  bool m_WasServedByReplica = false;
  bool m_IsAcknowledgedWrite = false;
};

class LoadMeasures {
public:
  explicit LoadMeasures(std::map<OrganisationName, Limit> Limits);

  void start(Time Now) { m_StartedAt = Now; }
  void stop(Time Now) { m_StoppedAt = Now; }
  /// Counts a request as it is sent; returns whether it is inside the rate and
  /// burst of its organisation. True without a known limit.
  bool recordOffered(const OrganisationName &Organisation, Time Now);
  void record(const LoadSample &Sample);

  /// Share of the reads that replicas may serve that they served.
  double replicaShare() const;
  /// Longest time without an acknowledged write, by database.
  std::map<DatabaseName, Duration> longestWriteGaps() const;
  /// Smallest share served / min(offered, rate and burst) of an organisation.
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

/// Weights of the kinds of operations.
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
  /// Sessions that each send one request after the other; with a rate, the
  /// number of sessions to begin with.
  uint32_t m_Concurrency = 32;
  /// Operations a second in all; 0 for a closed loop.
  double m_RatePerSecond = 0;
  /// Rates of single organisations instead of an equal part of the rate.
  std::map<OrganisationName, double> m_Rates;
  /// Voted limits, for the measures.
  std::map<OrganisationName, Limit> m_Limits;
  LoadMix m_Mix;
  /// Part of the reads that carry Max-Age-Ms.
  double m_MaxAgeFraction = 0.5;
  uint32_t m_MaxAgeMs = 2'000;
  /// Part of the reads without a session token.
  double m_ConfirmedFraction = 0.05;
  /// Probability that a session moves to another proxy for a request.
  double m_ProxySwitchFraction = 0.5;
  std::chrono::milliseconds m_Duration{10'000};
  uint64_t m_Seed = 1;
  /// Prefix of all keys written; runs with different prefixes do not meet.
  std::string m_RunPrefix = "run";
};

struct LoadOutcome {
  std::string m_Text;
  std::string m_Json;
  bool m_IsCorrect = false;
};

class EventLoop;

/// Runs the load, verifies all acknowledged writes and reports.
LoadOutcome runLoad(EventLoop &Loop, const LoadSettings &Settings);

struct DirectLoadSettings {
  /// Statement endpoint of an instance.
  Endpoint m_Instance;
  uint32_t m_Concurrency = 1;
  std::chrono::milliseconds m_Duration{5'000};
};

/// Sends reads straight to an instance, for the baseline of the latency.
LoadOutcome runDirectLoad(EventLoop &Loop, const DirectLoadSettings &Settings);

} // namespace almondpier
