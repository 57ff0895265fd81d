/// \file
/// Event loop, authenticated message connections over TCP, authenticated
/// datagrams over UDP, text line connections, and HTTP. All run on one thread.
/// An object belongs to the loop it was created with and must be destroyed
/// before it.
#pragma once

#include "almondpier/Messages.h"

#include <functional>
#include <memory>

struct event_base;

namespace almondpier {

/// Wraps a libevent loop. Callbacks run inside run().
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Runs until stop() is called.
  void run();
  void stop();
  Time now() const;
  event_base *base() const { return m_Base; }

private:
  event_base *m_Base;
};

/// Calls back once per interval until it is destroyed.
class Timer {
public:
  Timer(EventLoop &Loop, Duration Interval, std::function<void()> Callback);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// Calls back once after a delay. Destroying the timer cancels the call.
class OneShotTimer {
public:
  OneShotTimer(EventLoop &Loop, Duration After, std::function<void()> Callback);
  ~OneShotTimer();
  OneShotTimer(const OneShotTimer &) = delete;
  OneShotTimer &operator=(const OneShotTimer &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// Calls back for SIGTERM and SIGINT.
class ShutdownSignal {
public:
  ShutdownSignal(EventLoop &Loop, std::function<void()> Callback);
  ~ShutdownSignal();
  ShutdownSignal(const ShutdownSignal &) = delete;
  ShutdownSignal &operator=(const ShutdownSignal &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// Calls back for SIGHUP, which would otherwise end the process.
class ReloadSignal {
public:
  ReloadSignal(EventLoop &Loop, std::function<void()> Callback);
  ~ReloadSignal();
  ReloadSignal(const ReloadSignal &) = delete;
  ReloadSignal &operator=(const ReloadSignal &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

// Authenticated messages.

/// Secret shared by all hosts of the system, 16 to 64 bytes.
struct FleetSecret {
  std::string m_Value;
};

/// A TCP connection that carries authenticated messages both ways. Messages
/// sent before the handshake ends are queued.
class Link {
public:
  struct Callbacks {
    /// The handshake is complete: the peer has proved that it knows the fleet
    /// secret.
    std::function<void()> m_OnUp;
    std::function<void(Message)> m_OnMessage;
    /// The connection ended or could not be established. Called once, with
    /// the reason; the callback may destroy the link. Not called after
    /// destruction.
    std::function<void(const std::string &)> m_OnDown;
  };

  /// Connects to Peer; a failure is reported through m_OnDown.
  static std::unique_ptr<Link> connect(EventLoop &Loop,
                                       const FleetSecret &Secret,
                                       const Endpoint &Peer,
                                       Callbacks Callbacks);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  void send(const Message &Message);
  /// Bytes buffered for sending.
  size_t pendingBytes() const;
  uint64_t bytesSent() const;
  uint64_t bytesReceived() const;
  void setCallbacks(Callbacks Callbacks);

  struct State;
  explicit Link(std::unique_ptr<State> State);

private:
  std::unique_ptr<State> m_State;
};

/// Accepts links. Throws Error when the endpoint cannot be bound.
class LinkListener {
public:
  /// OnAccept must call Link::setCallbacks on the accepted link before it
  /// returns.
  LinkListener(EventLoop &Loop, const FleetSecret &Secret,
               const Endpoint &Local,
               std::function<void(std::unique_ptr<Link>)> OnAccept);
  ~LinkListener();
  LinkListener(const LinkListener &) = delete;
  LinkListener &operator=(const LinkListener &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// UDP socket for authenticated datagrams with replay protection. A datagram is
/// accepted only when it carries the nonce of its receiver and a sequence
/// number above the last one of its sender. A datagram with another nonce is
/// answered with the current nonce.
class DatagramSocket {
public:
  /// OnMessage receives the sender's endpoint and the message.
  DatagramSocket(EventLoop &Loop, const FleetSecret &Secret,
                 const Endpoint &Local,
                 std::function<void(const Endpoint &, Message)> OnMessage);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /// Sends the message when the nonce of Peer is known. Otherwise drops the
  /// message and requests the nonce. Throws Error when the message exceeds
  /// kMaxDatagramBytes.
  void send(const Endpoint &Peer, const Message &Message);
  uint64_t bytesSent() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

// Text lines.

/// A TCP connection that carries text lines, terminated by CR LF, both ways.
class LineStream {
public:
  struct Callbacks {
    std::function<void()> m_OnOpen;
    /// Called with each line, without its terminator. The callback may close
    /// the stream, but must not destroy it.
    std::function<void(std::string_view)> m_OnLine;
    /// The peer closed the connection, the connection failed, or a limit was
    /// exceeded. Called at most once, and never after closeAfterWriting() or
    /// reset().
    std::function<void(const std::string &Reason)> m_OnClose;
  };
  struct Limits {
    /// Longest line in bytes.
    size_t m_MaxLineBytes = 1U << 20U;
    /// The connection is closed when the peer acknowledges nothing on the TCP
    /// level for this long, also while the connection is idle.
    uint32_t m_TcpUserTimeoutMs = 5'000;
    /// Most bytes buffered for a peer that does not read.
    size_t m_MaxPendingBytes = 4U << 20U;
  };

  static std::unique_ptr<LineStream> connect(EventLoop &Loop,
                                             const Endpoint &Peer,
                                             const Limits &Limits,
                                             Callbacks Callbacks);
  ~LineStream();
  LineStream(const LineStream &) = delete;
  LineStream &operator=(const LineStream &) = delete;

  /// Sends one or more complete lines, including their terminators.
  void write(std::string_view Lines);
  void setCallbacks(Callbacks Callbacks);
  /// Closes the connection once everything written has been sent. The owner
  /// may destroy the stream when isFinished() returns true.
  void closeAfterWriting();
  /// Closes the connection at once; data that the peer has not read may be
  /// lost.
  void reset();
  bool isFinished() const;

  struct State;
  explicit LineStream(std::unique_ptr<State> State);

private:
  std::unique_ptr<State> m_State;
};

/// Accepts line streams. Throws Error when the endpoint cannot be bound.
class LineListener {
public:
  LineListener(EventLoop &Loop, const Endpoint &Local,
               const LineStream::Limits &Limits,
               std::function<void(std::unique_ptr<LineStream>)> OnAccept);
  ~LineListener();
  LineListener(const LineListener &) = delete;
  LineListener &operator=(const LineListener &) = delete;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

// HTTP.

enum class HttpMethod : uint8_t { Get, Post, Other };

/// Identifies one request of an HttpServer; never reused.
struct HttpRequestId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const HttpRequestId &,
                          const HttpRequestId &) = default;
};
/// Identifies one connection of an HttpServer; never reused.
struct HttpConnectionId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const HttpConnectionId &,
                          const HttpConnectionId &) = default;
};

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
  friend auto operator<=>(const HttpHeader &, const HttpHeader &) = default;
};

/// Decodes the percent-encoding of a segment of a path. An invalid sequence
/// stands for itself.
std::string decodePathSegment(std::string_view Encoded);

struct HttpServerRequest {
  HttpRequestId m_Id;
  HttpConnectionId m_Connection;
  HttpMethod m_Method = HttpMethod::Get;
  /// Path without the query, as received. Its segments are percent-encoded.
  std::string m_Path;
  /// Query as received, without '?'.
  std::string m_Query;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;

  /// Returns the value of the first header of this name, compared without
  /// regard to case; empty when there is none.
  std::string_view header(std::string_view Name) const;
  /// Returns the value of a query parameter; empty when there is none.
  std::string queryValue(std::string_view Name) const;
};

struct HttpResponse {
  int m_Status = 200;
  std::vector<HttpHeader> m_Headers;
  std::string m_Body;

  /// Returns the value of the first header of this name, compared without
  /// regard to case; empty when there is none.
  std::string_view header(std::string_view Name) const;
};

struct HttpServerLimits {
  size_t m_MaxBodyBytes = 64U << 10U;
  size_t m_MaxHeaderBytes = 8U << 10U;
  /// A connection that sends nothing for this long, also in the middle of a
  /// request, is closed.
  uint32_t m_IdleTimeoutMs = 60'000;
  /// Connections beyond this number are closed on arrival; 0 for no limit.
  uint32_t m_MaxConnections = 0;
};

/// HTTP server based on evhttp, with persistent connections. Requests may be
/// answered later and in any order.
class HttpServer {
public:
  struct Callbacks {
    std::function<void(HttpServerRequest)> m_OnRequest;
    /// The peer closed a connection. Its unanswered requests have been
    /// discarded.
    std::function<void(HttpConnectionId)> m_OnClose;
  };

  HttpServer(EventLoop &Loop, const Endpoint &Local, HttpServerLimits Limits,
             Callbacks Callbacks);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Answers a request; does nothing when its connection has been closed.
  void reply(HttpRequestId Request, const HttpResponse &Response);
  /// Closes a connection without answering its requests.
  void close(HttpConnectionId Connection);
  /// Stops accepting connections; existing ones stay open.
  void stopAccepting();
  size_t requestsInFlight() const;
  size_t connections() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// A client connection that carries one request at a time, so that an answer
/// always belongs to the request in flight.
class HttpClientConnection {
public:
  struct Request {
    HttpMethod m_Method = HttpMethod::Get;
    /// Path with query, encoded.
    std::string m_Target;
    std::vector<HttpHeader> m_Headers;
    std::string m_Body;
  };
  /// Why a request got no answer.
  struct Failure {
    std::string m_Reason;
    /// Whether no byte of the request was sent, so that it cannot have been
    /// run.
    bool m_NothingSent = false;
  };
  using Callback =
      std::function<void(const std::variant<HttpResponse, Failure> &)>;

  HttpClientConnection(EventLoop &Loop, const Endpoint &Peer, Duration Timeout);
  /// Closes the connection; a pending callback is not called.
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection &) = delete;
  HttpClientConnection &operator=(const HttpClientConnection &) = delete;

  /// Sends a request; throws Error when one is in flight. The callback may
  /// destroy the connection.
  void send(const Request &Request, Callback Callback);
  bool isBusy() const;
  /// Sets the callback for when the peer closes an idle connection.
  void setOnClose(std::function<void()> Callback);

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
