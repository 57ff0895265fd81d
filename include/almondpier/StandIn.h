/// \file
/// The stand-in database: one instance of a replicated group. The state
/// machine StandInInstance has no socket, clock or file; StandInServer gives it
/// the HTTP endpoints of docs/design.md, section 12.
#pragma once

#include "almondpier/Model.h"

#include <memory>

namespace almondpier {

/// One write to one key.
struct StandInEffect {
  std::string m_Key;
  /// Adds to the list at the key instead of replacing the value.
  bool m_IsAppend = false;
  /// JSON text.
  std::string m_Value;

  friend auto operator<=>(const StandInEffect &,
                          const StandInEffect &) = default;
};

/// One entry of the log: all effects of one write or transaction. The entry
/// that begins a term has no effects and no request identifier.
struct StandInEntry {
  Position m_Position;
  /// Empty when the caller named none.
  std::string m_RequestId;
  std::string m_StatementDigest;
  /// Body of the answer, kept as the outcome of the request identifier.
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

/// Answer to a request at the statement endpoint.
struct StandInAnswer {
  int m_Status = 200;
  std::string m_Body;
  Position m_Position;
  Ran m_Ran = Ran::No;
  /// The request identifier was used with another statement.
  bool m_IsMismatch = false;

  friend auto operator<=>(const StandInAnswer &,
                          const StandInAnswer &) = default;
};

enum class StandInRole : uint8_t { Idle, Primary, Replica };
std::string_view nameOf(StandInRole Role);

/// The primary from which a replica copies the log.
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

/// Answer of a primary to a replica that asks for entries.
struct StandInLogBatch {
  /// False when the instance is not the primary of the term asked for.
  bool m_IsPrimary = false;
  /// Set when the logs differ: the replica keeps entries up to this index and
  /// asks again.
  std::optional<uint64_t> m_TruncateTo;
  std::vector<StandInEntry> m_Entries;

  friend auto operator<=>(const StandInLogBatch &,
                          const StandInLogBatch &) = default;
};

/// State machine of one instance. Every change of durable state is handed to
/// the recorder before it takes effect.
class StandInInstance {
public:
  /// Stores one record durably; throws when it cannot.
  using Recorder = std::function<void(std::string_view)>;

  StandInInstance(InstanceName Name, Recorder Record);

  /// Applies a record that the recorder received before a restart. Throws
  /// Error when the record is invalid.
  void restore(std::string_view Record);

  // Statement endpoint. Connections are named by the caller of these functions.

  /// With Term, refuses unless this is the primary of that term.
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
  /// With Term, refuses unless this is the primary of that term. With Digest,
  /// refuses an outcome recorded for another statement.
  StandInAnswer outcome(std::optional<uint64_t> Term,
                        const std::string &RequestId,
                        const std::string &Digest = {}) const;

  // Platform endpoint.

  StandInStatus status() const;
  /// Returns false when sealed at a higher term.
  bool seal(uint64_t Term);
  /// Returns the last index before the term, or nothing unless sealed at
  /// exactly Term and not following another primary in it.
  std::optional<uint64_t> promote(uint64_t Term);
  /// Returns false when sealed at a higher term, or when this is the primary of
  /// Term.
  bool follow(const StandInSource &Source);

  // Replication.

  /// Entries after a position, up to and including MaxIndex.
  StandInLogBatch entriesAfter(Position After, uint64_t Term,
                               uint64_t MaxIndex) const;
  /// Takes the answer of the primary of Term; ignored unless this instance
  /// still follows in that term.
  void replicate(uint64_t Term, const StandInLogBatch &Part);
  /// The primary to copy from, while this is a replica.
  const std::optional<StandInSource> &source() const { return m_Source; }

  Position position() const;
  const StandInRows &rows() const { return m_Rows; }
  size_t openTransactions() const { return m_Transactions.size(); }

private:
  struct Transaction {
    std::vector<StandInEffect> m_Effects;
    /// Committed rows as seen with m_Effects, for the keys they touch.
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
  /// Index of the entry with this request identifier.
  std::map<std::string, uint64_t> m_Outcomes;
  uint64_t m_SealedTerm = 0;
  /// Term in which this instance is or was promoted.
  uint64_t m_PrimaryTerm = 0;
  std::optional<StandInSource> m_Source;
  std::map<uint64_t, Transaction> m_Transactions;
};

struct StandInSettings {
  InstanceRecord m_Instance;
  /// HTTP endpoints of the control hosts; announcements go to one of them.
  std::vector<Endpoint> m_Control;
  std::string m_AnnouncementSecret;
  /// Empty for an instance that keeps nothing.
  std::string m_DataFolder;
  /// Also survives a crash of the machine, not only of the process.
  bool m_SyncEachRecord = false;
  uint32_t m_ConnectionDelayMs = 10;
  uint32_t m_StatementDelayMs = 0;
  /// Entries reach this instance as a replica no earlier than this.
  uint32_t m_ReplicationLagMs = 0;
};

class EventLoop;

/// An instance with its endpoints, replication and announcements.
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
