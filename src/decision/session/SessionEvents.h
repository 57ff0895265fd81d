/// \file
/// Events and actions of the session core: callers' sessions on one side,
/// connections to database instances on the other. Control hosts are reached as
/// by every proxy.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// Names a caller's connection; chosen by the driver, never reused.
struct SessionId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const SessionId &, const SessionId &) = default;
};

enum class StatementKind : uint8_t {
  Begin,
  BeginReadOnly,
  Commit,
  Rollback,
  Read,
  Write,
  SetVariable,
  Prepare,
  Execute,
  Deallocate,
  /// Drops values and prepared names of a connection; proxies send it only.
  Reset,
  /// Not a statement of the protocol.
  Invalid,
};

struct Statement {
  /// Empty for a statement that the proxy itself issues.
  std::string m_RequestId;
  StatementKind m_Kind = StatementKind::Invalid;
  /// Name of a session value or of a prepared statement.
  std::string m_Name;
  /// Value to set, shape to prepare, or item and data to execute with.
  std::string m_Argument;
  /// The prepared statement writes.
  bool m_IsWrite = false;
  /// The statement as the caller sent it; empty when it is composed from the
  /// fields above.
  std::string m_Text;

  friend bool operator==(const Statement &, const Statement &) = default;
};

/// Whether the statement may write; m_IsWrite of an Execute says what was
/// prepared.
bool isWrite(const Statement &Statement);

/// Transaction state of a session or connection.
enum class TransactionState : uint8_t { None, Open, Failed };

enum class SessionError : uint8_t {
  UnknownKey,
  UnknownDatabase,
  Malformed,
  UnknownStatement,
  TooLarge,
  /// Nothing of the caller's attempt is kept.
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  Misrouted,
  TooManyConnections,
  /// The statement ran and failed.
  Failed,
  TimedOut,
  /// A write or commit may or may not have taken effect.
  OutcomeUnknown,
  /// Any other code of an instance.
  Other,
};
std::string_view nameOf(SessionError Error);
/// Whether an answer with this error says that the statement did not run.
bool provesNotExecuted(SessionError Error);

/// An answer to one statement.
struct StatementReply {
  std::vector<std::string> m_Rows;
  /// The instance's proof that it ran the statement; empty when the proxy
  /// itself answers.
  std::string m_Receipt;
  std::optional<SessionError> m_Error;
  std::string m_ErrorText;
  TransactionState m_State = TransactionState::None;
  std::optional<Position> m_Position;
};

// Events.

struct SessionOpened {
  SessionId m_Session;
  RouteName m_Route;
  /// Nothing when the caller sent no key.
  std::optional<KeyDigest> m_Key;
};
struct StatementReceived {
  SessionId m_Session;
  Statement m_Statement;
};
/// The caller ended the session or its connection is gone.
struct SessionEnded {
  SessionId m_Session;
};
struct InstanceConnected {
  ConnectionId m_Connection;
  std::optional<Position> m_Position;
};
/// The instance refused the connection and closes it.
struct InstanceRefused {
  ConnectionId m_Connection;
  SessionError m_Error = SessionError::Other;
};
struct InstanceReplied {
  ConnectionId m_Connection;
  StatementReply m_Reply;
};

using SessionEvent =
    std::variant<SessionOpened, StatementReceived, SessionEnded,
                 InstanceConnected, InstanceRefused, InstanceReplied,
                 ConnectionClosed, LinkOpened, LinkClosed, MessageReceived,
                 Tick, ShutdownRequested>;

// Actions.

struct AcceptSession {
  SessionId m_Session;
};
/// Refuses a session that was not accepted yet, and closes it.
struct RefuseSession {
  SessionId m_Session;
  SessionError m_Error = SessionError::Busy;
};
struct ReplyToStatement {
  SessionId m_Session;
  StatementReply m_Reply;
};
/// Closes a session after everything sent to it has been written.
struct CloseSession {
  SessionId m_Session;
};
/// Opens a connection on behalf of one organisation; the instance refuses it
/// when it is not the named one.
struct OpenInstanceConnection {
  ConnectionId m_Connection;
  Endpoint m_Endpoint;
  DatabaseName m_Database;
  OrganisationName m_Organisation;
  InstanceName m_Instance;
};
struct SendToInstance {
  ConnectionId m_Connection;
  Statement m_Statement;
  /// The log of the instance must hold this position.
  std::optional<Position> m_MinPosition;
};
/// A decision about a request, for the log.
struct ReportDecision {
  std::string m_Text;
  /// A failure is logged even when the budget for routine lines is spent.
  bool m_IsFailure = false;
};

using SessionAction =
    std::variant<AcceptSession, RefuseSession, ReplyToStatement, CloseSession,
                 OpenInstanceConnection, SendToInstance, CloseConnection,
                 ReportDecision>;
using SessionActions = std::vector<SessionAction>;

} // namespace almondpier
