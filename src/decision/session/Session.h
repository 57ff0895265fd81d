/// \file
/// State of a caller's session and of its pending statement.
#pragma once

#include "decision/session/GroupOwners.h"
#include "decision/session/InstanceConnectionPool.h"

#include <deque>

namespace almondpier {

/// A statement together with the time of its arrival.
struct ReceivedStatement {
  Statement m_Statement;
  Time m_ReceivedAt;
};

/// Which instances may run a statement.
enum class StatementTarget : uint8_t {
  /// The primary. A former primary rejects such a statement itself.
  Primary,
  /// The primary, which must confirm its leadership before the read runs.
  ConfirmedPrimary,
  /// Any instance whose log has reached the required position.
  CaughtUp,
};

/// A statement that was forwarded to the owner of its group.
struct ForwardTarget {
  LinkId m_Link;
  HostName m_Host;
  uint64_t m_Sequence = 0;
};

/// The host that forwards the statements of a session to this one.
struct ForwardOrigin {
  LinkId m_Link;
  /// Identifies the session on the link.
  uint64_t m_Session = 0;
  /// Identifies the pending statement on the link.
  uint64_t m_Sequence = 0;
};

/// The statement of a session that has not been answered yet.
struct PendingStatement {
  ReceivedStatement m_Received;
  Time m_Deadline;
  StatementTarget m_Target = StatementTarget::Primary;
  /// m_Target was CaughtUp and is ConfirmedPrimary for this attempt, to learn
  /// the position of the primary.
  bool m_RefreshesSample = false;
  /// The statement runs outside a transaction.
  bool m_IsAutocommit = false;
  bool m_IsWaitingForToken = false;
  /// Queued until a connection is available; nothing was sent yet.
  bool m_IsWaitingForInstance = false;
  Time m_WaitingSince;
  /// The caller's statement was sent, not only the statements that prepare the
  /// connection for it.
  bool m_IsSent = false;
  std::optional<ConnectionId> m_Connection;
  /// Set while the statement is executed by the owner of its group.
  std::optional<ForwardTarget> m_Forward;
  /// Owners that could not execute the statement.
  std::set<HostName> m_TriedOwners;
  uint32_t m_Attempts = 0;
  /// Earliest time of the next attempt.
  Time m_RetryNotBefore;
  std::set<InstanceName> m_TriedInstances;
  /// Reason for the failure of the last attempt, for the log.
  std::string m_LastFailure;
};

struct CallerSession {
  SessionId m_Id;
  RouteName m_Route;
  std::optional<KeyDigest> m_Key;
  OrganisationName m_Organisation;
  /// The last transaction or autocommit statement was admitted by the key, and
  /// not because its route admits callers without one.
  bool m_IsAdmittedByKey = false;
  /// Policy of the route, refreshed at the start of each transaction or
  /// autocommit statement.
  RoutePolicy m_Policy;

  std::deque<ReceivedStatement> m_Queue;
  std::optional<PendingStatement> m_Pending;
  Time m_LastActivityAt;
  /// Identifier of the request that was started last, for the log.
  std::string m_LastRequestId;

  TransactionState m_State = TransactionState::None;
  bool m_IsReadOnly = false;
  /// Number of statements of the transaction that an instance answered. While
  /// it is 0, the transaction can be restarted at another instance.
  uint32_t m_StatementsRun = 0;
  /// A statement of the transaction that may write was sent.
  bool m_HasWritten = false;
  Time m_TransactionStartedAt;
  Statement m_BeginStatement;
  /// Connection on which the transaction is open; empty before its first
  /// statement.
  std::optional<ConnectionId> m_PinnedConnection;
  /// The owner at which the transaction is open; empty when it is open at this
  /// host.
  std::optional<ForwardTarget> m_TransactionOwner;
  /// Set for a session of another host whose statements this host executes.
  std::optional<ForwardOrigin> m_Origin;

  std::map<std::string, std::string> m_Variables;
  std::map<std::string, PreparedStatement> m_Prepared;
  /// Log position of the session's last commit.
  Position m_LastCommit;
};

/// Returns whether the pending statement changes the group at once when it
/// runs: a single write, or the commit of a transaction that wrote.
bool takesEffectWhenRun(const CallerSession &Session);

using SessionTable = std::unordered_map<uint64_t, CallerSession>;

} // namespace almondpier
