/// \file
/// The stand-in database, a small replicated key-value store that takes the
/// place of a real database in tests and load runs. StandInInstance is the
/// state machine of one instance, without sockets, clock or files.
/// StandInServer adds the HTTP endpoints of docs/design.md, section 12.
#pragma once

#include "almondpier/Model.h"

#include <memory>

namespace almondpier {

/// One write to one key.
struct StandInEffect {
  std::string m_Key;
  /// Appends to the list at the key instead of replacing the value.
  bool m_IsAppend = false;
  /// JSON text.
  std::string m_Value;

  friend auto operator<=>(const StandInEffect &,
                          const StandInEffect &) = default;
};

/// One entry of the replicated log: all effects of one write or transaction.
/// The entry that begins a term has no effects and no request identifier.
struct StandInEntry {
  Position m_Position;
  /// Empty when the request had none.
  std::string m_RequestId;
  std::string m_StatementDigest;
  /// Body of the answer, kept to answer a repeated request with the same
  /// identifier.
  std::string m_Result;
  std::vector<StandInEffect> m_Effects;

  friend auto operator<=>(const StandInEntry &, const StandInEntry &) = default;
};

struct StandInRow {
  bool m_IsList = false;
  /// JSON texts; exactly one unless the row is a list.
  std::vector<std::string> m_Values;

  friend auto operator<=>(const StandInRow &, const StandInRow &) = default;
};
using StandInRows = std::map<std::string, StandInRow>;

/// Answer to a request to the statement endpoint.
struct StandInAnswer {
  int m_Status = 200;
  std::string m_Body;
  Position m_Position;
  Ran m_Ran = Ran::No;
  /// The request identifier was already used for another statement.
  bool m_IsMismatch = false;

  friend auto operator<=>(const StandInAnswer &,
                          const StandInAnswer &) = default;
};

enum class StandInRole : uint8_t { Idle, Primary, Replica };
std::string_view nameOf(StandInRole Role);

/// The primary whose log a replica copies.
struct StandInSource {
  uint64_t m_Term = 0;
  InstanceName m_Primary;
  Endpoint m_Platform;

  friend auto operator<=>(const StandInSource &,
                          const StandInSource &) = default;
};

struct StandInStatus {
  InstanceName m_Instance;
  Position m_Position;
  uint64_t m_SealedTerm = 0;
  StandInRole m_Role = StandInRole::Idle;

  friend auto operator<=>(const StandInStatus &,
                          const StandInStatus &) = default;
};

/// Answer of a primary to a replica that requests log entries.
struct StandInLogBatch {
  /// False when the instance is not the primary of the requested term.
  bool m_IsPrimary = false;
  /// Set when the logs differ: the replica discards its entries above this
  /// index and requests again.
  std::optional<uint64_t> m_TruncateTo;
  std::vector<StandInEntry> m_Entries;

  friend auto operator<=>(const StandInLogBatch &,
                          const StandInLogBatch &) = default;
};

/// State machine of one instance. Passes every change of durable state to the
/// recorder before applying it (write-ahead logging).
class StandInInstance {
public:
  /// Stores one record durably; throws on failure.
  using Recorder = std::function<void(std::string_view)>;

  StandInInstance(InstanceName Name, Recorder Record);

  /// Applies a record that the recorder received before a restart. Throws
  /// Error when the record is invalid.
  void restore(std::string_view Record);

  // Statement endpoint. The caller of these functions assigns the connection
  // numbers.

  /// When Term is given, refuses unless this instance is the primary of that
  /// term.
  StandInAnswer read(std::optional<uint64_t> Term,
                     std::string_view Statement) const;
  StandInAnswer write(uint64_t Term, std::string_view Statement,
                      const std::string &RequestId, const std::string &Digest);
  StandInAnswer begin(uint64_t Connection, uint64_t Term);
  StandInAnswer execute(uint64_t Connection, std::string_view Statement);
  StandInAnswer commit(uint64_t Connection, const std::string &RequestId,
                       const std::string &Digest);
  StandInAnswer rollback(uint64_t Connection);
  /// Rolls back the transaction of a closed connection.
  void onConnectionClosed(uint64_t Connection);
  /// Returns the recorded outcome of a request. When Term is given, refuses
  /// unless this instance is the primary of that term. When Digest is given,
  /// refuses an outcome recorded for another statement.
  StandInAnswer outcome(std::optional<uint64_t> Term,
                        const std::string &RequestId,
                        const std::string &Digest = {}) const;

  // Platform endpoint.

  StandInStatus status() const;
  /// Stops accepting writes of terms below Term. Returns false when already
  /// sealed for a higher term.
  bool seal(uint64_t Term);
  /// Makes this instance the primary of Term. Returns the last log index before
  /// the term, or std::nullopt unless the instance is sealed for exactly Term
  /// and follows no other primary in it.
  std::optional<uint64_t> promote(uint64_t Term);
  /// Makes this instance a replica of Source. Returns false when it is sealed
  /// for a higher term or is itself the primary of the term of Source.
  bool follow(const StandInSource &Source);

  // Replication.

  /// Returns the entries after a position, up to and including MaxIndex; one
  /// call returns a limited number.
  StandInLogBatch entriesAfter(Position After, uint64_t Term,
                               uint64_t MaxIndex) const;
  /// Applies the answer of the primary of Term. Ignored unless this instance
  /// still follows a primary in that term.
  void replicate(uint64_t Term, const StandInLogBatch &Batch);
  /// The primary to copy from; set while this instance is a replica.
  const std::optional<StandInSource> &source() const { return m_Source; }

  Position position() const;
  const StandInRows &rows() const { return m_Rows; }
  size_t openTransactions() const { return m_Transactions.size(); }

private:
  struct Transaction {
    std::vector<StandInEffect> m_Effects;
    /// Rows with m_Effects applied, for the keys that the effects touch.
    StandInRows m_Written;
  };

  std::optional<StandInAnswer> refusalUnlessPrimary(uint64_t Term) const;
  std::optional<StandInAnswer> recordedOutcome(const std::string &RequestId,
                                               const std::string &Digest) const;
  bool isLockedForOthers(const std::string &Key, const Transaction *Own) const;
  StandInAnswer appendEntry(StandInEntry Entry);
  void stepDown(uint64_t Term);
  void truncateTo(uint64_t Index);
  void applyEntry(StandInEntry Entry);

  InstanceName m_Name;
  Recorder m_Record;
  std::vector<StandInEntry> m_Log;
  StandInRows m_Rows;
  /// Log index of the entry with each request identifier.
  std::map<std::string, uint64_t> m_Outcomes;
  uint64_t m_SealedTerm = 0;
  /// Term of which this instance is the primary; 0 when it is not a primary.
  uint64_t m_PrimaryTerm = 0;
  std::optional<StandInSource> m_Source;
  std::map<uint64_t, Transaction> m_Transactions;
};

struct StandInSettings {
  InstanceRecord m_Instance;
  /// HTTP endpoints of the control hosts. The instance announces itself to one
  /// of them.
  std::vector<Endpoint> m_Control;
  std::string m_AnnouncementSecret;
  /// Empty for an instance without durable state.
  std::string m_DataFolder;
  /// Syncs each record to disk, so that it survives a crash of the machine and
  /// not only of the process.
  bool m_SyncEachRecord = false;
  /// Delay of the first request on a new connection, which simulates the cost
  /// of connecting.
  uint32_t m_ConnectionDelayMs = 10;
  /// Added execution time of each statement.
  uint32_t m_StatementDelayMs = 0;
  /// Minimum age of an entry when this instance, as a replica, receives it.
  uint32_t m_ReplicationLagMs = 0;
};

class EventLoop;

/// Runs an instance with its HTTP endpoints, replication and announcements to
/// the control hosts.
class StandInServer {
public:
  /// Throws Error when an endpoint cannot be bound or the data folder cannot be
  /// used.
  StandInServer(EventLoop &Loop, const StandInSettings &Settings);
  ~StandInServer();
  StandInServer(const StandInServer &) = delete;
  StandInServer &operator=(const StandInServer &) = delete;

  const StandInInstance &instance() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
