/// \file
/// Events and actions of the session core for callers' sessions and for
/// connections to database instances. Communication with control hosts uses the
/// events and actions of the proxy core.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// Identifies a caller's connection; assigned by the driver, never reused.
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
  /// Clears session variables and prepared statements of a connection. Only
  /// proxies send it.
  Reset,
  /// Text that is no statement of the protocol.
  Invalid,
};

struct Statement {
  /// Empty for a statement that the proxy issues itself.
  std::string m_RequestId;
  StatementKind m_Kind = StatementKind::Invalid;
  /// Name of a session variable or of a prepared statement.
  std::string m_Name;
  /// Value of the variable, template of the prepared statement, or arguments of
  /// its execution.
  std::string m_Argument;
  /// The prepared statement is a write.
  bool m_IsWrite = false;
  /// The statement as the caller sent it; empty when the text is generated from
  /// the fields above.
  std::string m_Text;

  friend bool operator==(const Statement &, const Statement &) = default;
};

/// Returns whether the statement may write. For an Execute this is m_IsWrite,
/// which the session copies from the prepared statement.
bool isWrite(const Statement &Statement);

/// Returns whether the statement is a commit or a rollback.
bool endsTransaction(const Statement &Statement);

/// Returns a statement that the proxy issues itself.
Statement makeProxyStatement(StatementKind Kind);

/// Transaction state of a session or connection.
enum class TransactionState : uint8_t { None, Open, Failed };

enum class SessionError : uint8_t {
  UnknownKey,
  UnknownDatabase,
  Malformed,
  UnknownStatement,
  TooLarge,
  /// Rejected without any effect; the caller may retry.
  Busy,
  Aborted,
  Lagging,
  ReadOnly,
  Misrouted,
  TooManyConnections,
  /// The statement was executed and failed.
  Failed,
  TimedOut,
  /// A write or commit may or may not have taken effect.
  OutcomeUnknown,
  /// An error code of an instance that is not listed here.
  Other,
};
std::string_view nameOf(SessionError Error);
/// Returns whether a reply with this error guarantees that the statement was
/// not executed.
bool provesNotExecuted(SessionError Error);

/// Why a reply of an instance cannot be the reply to the statement that is
/// outstanding on its connection.
enum class ReplyDefect : uint8_t {
  /// A line is none of the protocol, or not one that may follow the line
  /// before.
  InvalidLine,
  /// The instance is ready again without a result.
  NoResult,
  /// The connection had this reply before.
  Repeated,
  /// It does not fit the statement that was outstanding, if there was one.
  Unrequested,
};
std::string_view nameOf(ReplyDefect Defect);

/// Reply to one statement.
struct StatementReply {
  std::vector<std::string> m_Rows;
  /// Receipt of the instance that executed the statement; empty when the proxy
  /// itself replies.
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
  /// Empty when the caller sent no key.
  std::optional<KeyDigest> m_Key;
};
struct StatementReceived {
  SessionId m_Session;
  Statement m_Statement;
};
/// The caller ended the session, or its connection was closed.
struct SessionEnded {
  SessionId m_Session;
};
struct InstanceConnected {
  ConnectionId m_Connection;
  std::optional<Position> m_Position;
};
/// The instance rejected the connection and closes it.
struct InstanceRefused {
  ConnectionId m_Connection;
  SessionError m_Error = SessionError::Other;
};
struct InstanceReplied {
  ConnectionId m_Connection;
  StatementReply m_Reply;
};
/// The lines that the instance sent are not a reply.
struct InstanceReplyInvalid {
  ConnectionId m_Connection;
  ReplyDefect m_Defect = ReplyDefect::InvalidLine;
};
/// The settings of this host name other control hosts to contact.
struct ControlSeedsChanged {
  std::vector<Endpoint> m_Seeds;
};

using SessionEvent =
    std::variant<SessionOpened, StatementReceived, SessionEnded,
                 InstanceConnected, InstanceRefused, InstanceReplied,
                 InstanceReplyInvalid, ConnectionClosed, LinkOpened, LinkClosed,
                 MessageReceived, ControlSeedsChanged, Tick, ShutdownRequested>;

// Actions.

struct AcceptSession {
  SessionId m_Session;
};
/// Rejects a session that was not accepted yet, and closes it.
struct RefuseSession {
  SessionId m_Session;
  SessionError m_Error = SessionError::Busy;
};
struct ReplyToStatement {
  SessionId m_Session;
  StatementReply m_Reply;
};
/// Closes a session after all its pending output has been written.
struct CloseSession {
  SessionId m_Session;
};
/// Opens a connection on behalf of one organisation. An instance with a name
/// other than m_Instance rejects it.
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
  /// Minimum log position of the instance; an instance that has not reached it
  /// rejects the statement.
  std::optional<Position> m_MinPosition;
};
/// Logs a decision about a request.
struct ReportDecision {
  std::string m_Text;
  /// Failures are logged even when the rate limit of routine messages is
  /// exhausted.
  bool m_IsFailure = false;
};

using SessionAction =
    std::variant<AcceptSession, RefuseSession, ReplyToStatement, CloseSession,
                 OpenInstanceConnection, SendToInstance, CloseConnection,
                 ReportDecision>;
using SessionActions = std::vector<SessionAction>;

} // namespace almondpier
