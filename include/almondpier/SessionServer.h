/// \file
/// The proxy for stateful sessions: accepts connections from callers, connects
/// to instances and control hosts, and executes the actions of SessionCore. The
/// line-based wire format towards callers and instances is a template
/// parameter.
#pragma once

#include "almondpier/Net.h"
#include "almondpier/Telemetry.h"
#include "decision/session/SessionCore.h"
#include "proxy/ProxyLinks.h"

#include <concepts>
#include <deque>
#include <unordered_map>
#include <variant>

namespace almondpier {

// Decoded lines of the wire format.

/// A caller opens a session.
struct OpenLine {
  RouteName m_Route;
  std::optional<KeyDigest> m_Key;
};
/// A caller ends its session.
struct EndLine {};
/// A line that is malformed or not allowed from its sender.
struct InvalidLine {};
using CallerLine = std::variant<OpenLine, Statement, EndLine, InvalidLine>;

struct RowLine {
  std::string m_Row;
};
struct CompleteLine {
  /// Empty when the instance confirms the statement without a receipt.
  std::string m_Receipt;
};
struct ErrorLine {
  SessionError m_Error = SessionError::Other;
  std::string m_Text;
};
/// The instance is ready for the next statement.
struct ReadyLine {
  TransactionState m_State = TransactionState::None;
  std::optional<Position> m_Position;
};
using InstanceLine =
    std::variant<RowLine, CompleteLine, ErrorLine, ReadyLine, InvalidLine>;

/// Encodes and decodes lines. The format functions return complete lines,
/// including their terminators.
template <typename T>
concept LineFormat = requires(std::string_view Line, const Statement &Sent,
                              const StatementReply &Reply,
                              const std::optional<Position> &NotBefore,
                              const OpenInstanceConnection &Opened,
                              SessionError Error) {
  { T::parseCallerLine(Line) } -> std::same_as<CallerLine>;
  { T::parseInstanceLine(Line) } -> std::same_as<InstanceLine>;
  { T::formatAccepted() } -> std::same_as<std::string>;
  { T::formatRefused(Error) } -> std::same_as<std::string>;
  { T::formatReply(Reply) } -> std::same_as<std::string>;
  { T::formatOpen(Opened) } -> std::same_as<std::string>;
  { T::formatStatement(Sent, NotBefore) } -> std::same_as<std::string>;
};

struct SessionServerSettings {
  /// Record of this host. m_ForwardEndpoint is the endpoint from which it sends
  /// datagrams and on which it accepts links.
  HostRecord m_Host;
  /// Published to the other hosts, which choose the owners of groups by it.
  HostCapacity m_Capacity;
  /// TCP endpoint for callers.
  Endpoint m_Listen;
  /// HTTP endpoint for readiness probes and metrics.
  Endpoint m_Health;
  std::string m_ReadyPath = "/readyz";
  /// TCP and UDP endpoints of the control hosts to contact at start.
  std::vector<Endpoint> m_Control;
  /// Secret shared by all hosts, 16 to 64 bytes.
  std::string m_FleetSecret;
  SessionLimits m_Limits;
  LineStream::Limits m_CallerLimits;
  LineStream::Limits m_InstanceLimits;
  /// Time within which a new connection must send its first line.
  Duration m_OpenTimeout = std::chrono::milliseconds(3'000);
};

/// Serves callers and executes the actions of SessionCore. Stops the loop when
/// a shutdown is complete.
template <LineFormat Format> class SessionServer {
public:
  /// Throws Error when an endpoint cannot be bound.
  SessionServer(EventLoop &Loop, const SessionServerSettings &Settings);
  SessionServer(const SessionServer &) = delete;
  SessionServer &operator=(const SessionServer &) = delete;

  /// Completes the work in progress and then stops the loop.
  void shutDown() { dispatch(ShutdownRequested()); }
  /// Replaces SessionServerSettings::m_Control, after a change of the settings.
  void setControlSeeds(std::vector<Endpoint> Seeds) {
    dispatch(ControlSeedsChanged{std::move(Seeds)});
  }

private:
  static constexpr std::chrono::milliseconds kTickInterval{5};
  /// Time between the end of the shutdown and the stop of the loop, in which
  /// the last answers and returned rate-limit tokens are sent.
  static constexpr std::chrono::milliseconds kFlushTime{200};
  static constexpr std::chrono::seconds kCloseTimeout{3};
  /// Largest result that is passed on; half of what is buffered for a caller
  /// that does not read.
  static constexpr size_t kMaxReplyBytes = 2U << 20U;
  /// Memory of a row besides its text.
  static constexpr size_t kRowOverheadBytes = 32;

  static ProxyOptions makeOptions(const SessionServerSettings &Settings);

  struct Caller {
    std::unique_ptr<LineStream> m_Stream;
    Time m_ConnectedAt;
    bool m_HasOpened = false;
    Time m_LastLineAt;
    /// Number of statements that have not been answered.
    size_t m_Outstanding = 0;
    /// Set once the stream is closing: it ends when all buffered data has been
    /// sent.
    std::optional<Time> m_ClosingSince;
  };
  struct Instance {
    std::unique_ptr<LineStream> m_Stream;
    bool m_IsConnected = false;
    /// The result of the reply that is arriving; the state is still to come.
    bool m_HasResult = false;
    /// Size of the rows that have arrived.
    size_t m_ReplyBytes = 0;
    StatementReply m_Reply;
  };

  void accept(std::unique_ptr<LineStream> Stream);
  void onCallerLine(SessionId Id, std::string_view Line);
  void onInstanceLine(ConnectionId Id, std::string_view Line);
  void onInstanceReady(ConnectionId Id, Instance &Peer, const ReadyLine &Ready);
  void closeCaller(SessionId Id);
  void tick();
  void dispatch(SessionEvent Event);
  void dispatchLinkEvent(ProxyEvent Event);
  void handle(const HttpServerRequest &Request);
  std::string metrics() const;

  void execute(const AcceptSession &Action);
  void execute(const RefuseSession &Action);
  void execute(const ReplyToStatement &Action);
  void execute(const CloseSession &Action) { closeCaller(Action.m_Session); }
  void execute(const OpenInstanceConnection &Action);
  void execute(const SendToInstance &Action);
  void execute(const CloseConnection &Action);
  void execute(const ReportDecision &Action);
  void execute(const OpenLink &Action) { m_Links.open(Action); }
  void execute(const CloseLink &Action) { m_Links.close(Action); }
  void execute(const SendMessage &Action) { m_Links.send(Action); }
  void execute(const SendDatagram &Action) { m_Links.send(Action); }
  void execute(const ReportStateChange &Action) {
    writeLog(LogLevel::Info, Action.m_Text);
  }
  void execute(const ShutdownComplete & /*Action*/) {
    m_StopTimer = std::make_unique<OneShotTimer>(m_Loop, kFlushTime,
                                                 [this] { m_Loop.stop(); });
  }
  /// Ignores actions that only other kinds of proxy execute.
  template <typename Other> void execute(const Other & /*Action*/) {}

  EventLoop &m_Loop;
  SessionServerSettings m_Settings;
  SessionCore m_Core;
  LogRateLimiter m_LogRateLimiter;
  std::deque<SessionEvent> m_Events;
  bool m_IsDispatching = false;
  std::unordered_map<uint64_t, Caller> m_Callers;
  std::unordered_map<uint64_t, Instance> m_Instances;
  /// Closed streams, destroyed later because a stream may be closed inside one
  /// of its own callbacks.
  std::vector<std::unique_ptr<LineStream>> m_ClosedStreams;
  uint64_t m_LastSession = 0;
  ProxyLinks m_Links;
  LineListener m_Listener;
  HttpServer m_Health;
  Timer m_Tick;
  std::unique_ptr<OneShotTimer> m_StopTimer;
  LatencyHistogram m_StatementLatency;
};

} // namespace almondpier

#include "session/SessionServerImpl.h"
