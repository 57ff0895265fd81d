/// \file
/// Decides which statement the reply of an instance belongs to.
#pragma once

#include "decision/session/SessionEvents.h"

#include <deque>

namespace almondpier {

/// State of a connection. All states but Idle and Pinned wait for input from
/// the instance.
enum class ConnectionState : uint8_t {
  Connecting,
  Idle,
  /// Held by an open transaction, between two statements.
  Pinned,
  Resetting,
  SettingVariable,
  Preparing,
  Beginning,
  /// Executes a statement of the caller.
  Executing,
  /// Rolls back a transaction whose session no longer waits for the reply.
  RollingBack,
  /// A rejection may answer an earlier statement. Statements were sent whose
  /// replies follow the true one.
  Confirming,
};

/// Remembers the replies of a connection. Replies carry no identifier of the
/// statement that they answer, but no two replies have the same receipt.
class ReplyHistory {
public:
  bool hasReceipt(std::string_view Receipt) const;
  /// Returns whether the connection had a rejection that this one may be a copy
  /// of.
  bool hasRejection(const StatementReply &Reply) const;
  void add(const StatementReply &Reply);

private:
  /// Hashes of the last values added.
  class Recent {
  public:
    bool contains(uint64_t Hash) const;
    /// Adds a value, or makes it the newest one.
    void add(uint64_t Hash, size_t Capacity);

  private:
    std::deque<uint64_t> m_Hashes;
  };

  Recent m_Receipts;
  Recent m_Rejections;
};

enum class ReplyVerdict : uint8_t {
  /// Answers the statement that is outstanding.
  Own,
  /// A copy of an earlier reply; the true one is still to come.
  Repeated,
  /// Cannot answer the statement that is outstanding, whose reply is still to
  /// come. It is not known what this one answers.
  Foreign,
  /// A rejection that may answer an earlier statement.
  Ambiguous,
};

/// What a connection expects.
struct ExpectedReply {
  ConnectionState m_State = ConnectionState::Idle;
  /// Kind of the statement that is outstanding.
  StatementKind m_Kind = StatementKind::Invalid;
  /// A transaction was open when the statement was sent.
  bool m_InTransaction = false;
  /// The last reply could only answer its own statement, so all replies before
  /// have arrived.
  bool m_IsInSync = true;
};

/// Returns whether an instance confirms the statement with a receipt.
bool hasReceipt(StatementKind Kind);

ReplyVerdict checkReply(const ExpectedReply &Expected,
                        const ReplyHistory &History,
                        const StatementReply &Reply);

} // namespace almondpier
