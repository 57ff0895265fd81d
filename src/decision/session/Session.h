/// \file
/// One caller's session and the statement that it waits for.
#pragma once

#include "decision/session/InstanceConnectionPool.h"

#include <deque>

namespace almondpier {

/// A statement as it arrived.
struct ReceivedStatement {
  Statement m_Statement;
  Time m_ReceivedAt;
};

struct PreparedStatement {
  bool m_IsWrite = false;
  std::string m_Template;
};

/// Which instances may run a statement.
enum class StatementTarget : uint8_t {
  /// The primary, which refuses by itself when it no longer leads.
  Primary,
  /// The primary, made to prove at the read that it leads.
  ConfirmedPrimary,
  /// Any instance that holds a position recent enough.
  CaughtUp,
};

/// The statement that a session waits for.
struct PendingStatement {
  ReceivedStatement m_Received;
  Time m_Deadline;
  StatementTarget m_Target = StatementTarget::Primary;
  /// The only statement of its operation, outside a transaction.
  bool m_IsAutocommit = false;
  bool m_IsWaitingForToken = false;
  /// Waits for a connection; nothing was sent for it.
  bool m_IsWaitingForInstance = false;
  Time m_WaitingSince;
  /// The statement itself was sent.
  bool m_IsSent = false;
  std::optional<ConnectionId> m_Connection;
  uint32_t m_Attempts = 0;
  /// Not dispatched again before this moment.
  Time m_RetryNotBefore;
  std::set<InstanceName> m_TriedInstances;
  /// Why the last attempt ended, for the log.
  std::string m_LastFailure;
};

struct CallerSession {
  SessionId m_Id;
  RouteName m_Route;
  std::optional<KeyDigest> m_Key;
  OrganisationName m_Organisation;
  /// Policy of the route, read at the start of each operation.
  RoutePolicy m_Policy;

  std::deque<ReceivedStatement> m_Queue;
  std::optional<PendingStatement> m_Pending;
  Time m_LastActivityAt;
  /// Request that was started last, for the log.
  std::string m_LastRequestId;

  TransactionState m_State = TransactionState::None;
  bool m_IsReadOnly = false;
  /// Statements of the transaction that an instance answered; while there is
  /// none, the transaction can begin anew elsewhere.
  uint32_t m_StatementsRun = 0;
  /// A statement of the transaction may have written.
  bool m_HasWritten = false;
  Time m_TransactionStartedAt;
  Statement m_BeginStatement;
  /// Connection that holds the transaction; none before its first statement.
  std::optional<ConnectionId> m_PinnedConnection;

  std::map<std::string, std::string> m_Variables;
  std::map<std::string, PreparedStatement> m_Prepared;
  /// Position of the session's last commit.
  Position m_LastCommit;
};

using SessionTable = std::unordered_map<uint64_t, CallerSession>;

} // namespace almondpier
