#include "net/LibeventHandles.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sodium.h>

namespace almondpier {

timeval toTimeval(Duration Value) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  timeval Result{};
  Result.tv_sec = Value.count() / kMicrosecondsPerSecond;
  Result.tv_usec = Value.count() % kMicrosecondsPerSecond;
  return Result;
}

std::optional<sockaddr_in> parseSocketAddress(const Endpoint &Value) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Value.m_Port);
  if (inet_pton(AF_INET, Value.m_Address.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

sockaddr_in toSocketAddress(const Endpoint &Value) {
  std::optional<sockaddr_in> Address = parseSocketAddress(Value);
  if (!Address)
    throw Error(ErrorKind::BadRequest,
                "'" + Value.m_Address + "' is not an IPv4 address");
  return *Address;
}

Endpoint fromSocketAddress(const sockaddr_in &Value) {
  std::array<char, INET_ADDRSTRLEN> Text{};
  inet_ntop(AF_INET, &Value.sin_addr, Text.data(), Text.size());
  return Endpoint{Text.data(), ntohs(Value.sin_port)};
}

void disableNagle(evutil_socket_t Socket) {
  int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
}

void detectSilence(evutil_socket_t Socket, uint32_t TimeoutMs) {
  constexpr uint32_t kMillisecondsPerSecond = 1'000;
  int Enabled = 1;
  int IdleSeconds =
      std::max(1, static_cast<int>(TimeoutMs / kMillisecondsPerSecond));
  int IntervalSeconds = 1;
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &Enabled, sizeof(Enabled));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPIDLE, &IdleSeconds,
             sizeof(IdleSeconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPINTVL, &IntervalSeconds,
             sizeof(IntervalSeconds));
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &TimeoutMs,
             sizeof(TimeoutMs));
}

ListenerHandle listenOn(EventLoop &Loop, const Endpoint &Local,
                        evconnlistener_cb OnAccept, void *Context) {
  constexpr int kBacklog = 1'024;
  sockaddr_in Address = toSocketAddress(Local);
  ListenerHandle Listener(evconnlistener_new_bind(
      Loop.base(), OnAccept, Context, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kBacklog, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)));
  if (!Listener)
    throw Error(ErrorKind::BadRequest,
                "cannot listen on " + formatEndpoint(Local) + " (" +
                    std::strerror(errno) +
                    "); choose a free port of this host");
  return Listener;
}

bool startConnecting(bufferevent *Connection, const Endpoint &Peer) {
  std::optional<sockaddr_in> Address = parseSocketAddress(Peer);
  return Address && bufferevent_socket_connect(
                        Connection, reinterpret_cast<sockaddr *>(&*Address),
                        sizeof(*Address)) == 0;
}

uint64_t randomNumber() {
  uint64_t Value = 0;
  randombytes_buf(&Value, sizeof(Value));
  return Value;
}

/// Without precise timers libevent reads a coarse clock, which makes every
/// timer up to 4 ms late.
static event_base *newPreciseBase() {
  std::unique_ptr<event_config, LibeventDeleter<event_config_free>> Config(
      event_config_new());
  if (!Config)
    return nullptr;
  event_config_set_flag(Config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  return event_base_new_with_config(Config.get());
}

EventLoop::EventLoop() : m_Base(newPreciseBase()) {
  if (m_Base == nullptr)
    throw Error(ErrorKind::Internal, "libevent could not create an event loop");
  // A write to a closed connection is reported as an error, not by a signal
  // that ends the process.
  std::signal(SIGPIPE, SIG_IGN);
  if (sodium_init() < 0)
    throw Error(ErrorKind::Internal, "libsodium could not be initialised");
}

EventLoop::~EventLoop() {
  // Closed connections stay allocated until their deferred callbacks have run.
  event_base_loop(m_Base, EVLOOP_NONBLOCK);
  event_base_free(m_Base);
}

void EventLoop::run() { event_base_loop(m_Base, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(m_Base); }

Time EventLoop::now() const {
  // The steady clock stops while the machine is suspended; leases, loans and
  // proofs of freshness must not outlive a suspension.
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  constexpr int64_t kNanosecondsPerMicrosecond = 1'000;
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return Time(Duration(Now.tv_sec * kMicrosecondsPerSecond +
                       Now.tv_nsec / kNanosecondsPerMicrosecond));
}

struct Timer::State {
  std::function<void()> m_Callback;
  EventHandle m_Event;
};

Timer::Timer(EventLoop &Loop, Duration Interval, std::function<void()> Callback)
    : m_State(std::make_unique<State>()) {
  m_State->m_Callback = std::move(Callback);
  m_State->m_Event.reset(event_new(
      Loop.base(), -1, EV_PERSIST,
      [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
        static_cast<State *>(Context)->m_Callback();
      },
      m_State.get()));
  timeval Period = toTimeval(Interval);
  event_add(m_State->m_Event.get(), &Period);
}

Timer::~Timer() = default;

struct OneShotTimer::State {
  std::function<void()> m_Callback;
  EventHandle m_Event;
};

OneShotTimer::OneShotTimer(EventLoop &Loop, Duration After,
                           std::function<void()> Callback)
    : m_State(std::make_unique<State>()) {
  m_State->m_Callback = std::move(Callback);
  m_State->m_Event.reset(event_new(
      Loop.base(), -1, 0,
      [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
        // The callback may destroy this object.
        std::function<void()> Callback =
            std::move(static_cast<State *>(Context)->m_Callback);
        Callback();
      },
      m_State.get()));
  timeval Period = toTimeval(After);
  event_add(m_State->m_Event.get(), &Period);
}

OneShotTimer::~OneShotTimer() = default;

struct ShutdownSignal::State {
  std::function<void()> m_Callback;
  EventHandle m_Terminate;
  EventHandle m_Interrupt;
};

ShutdownSignal::ShutdownSignal(EventLoop &Loop, std::function<void()> Callback)
    : m_State(std::make_unique<State>()) {
  m_State->m_Callback = std::move(Callback);
  event_callback_fn Handler = [](evutil_socket_t /*Signal*/, short /*Events*/,
                                 void *Context) {
    static_cast<State *>(Context)->m_Callback();
  };
  m_State->m_Terminate.reset(
      evsignal_new(Loop.base(), SIGTERM, Handler, m_State.get()));
  m_State->m_Interrupt.reset(
      evsignal_new(Loop.base(), SIGINT, Handler, m_State.get()));
  event_add(m_State->m_Terminate.get(), nullptr);
  event_add(m_State->m_Interrupt.get(), nullptr);
}

ShutdownSignal::~ShutdownSignal() = default;

struct ReloadSignal::State {
  std::function<void()> m_Callback;
  EventHandle m_Event;
};

ReloadSignal::ReloadSignal(EventLoop &Loop, std::function<void()> Callback)
    : m_State(std::make_unique<State>()) {
  m_State->m_Callback = std::move(Callback);
  m_State->m_Event.reset(evsignal_new(
      Loop.base(), SIGHUP,
      [](evutil_socket_t /*Signal*/, short /*Events*/, void *Context) {
        static_cast<State *>(Context)->m_Callback();
      },
      m_State.get()));
  event_add(m_State->m_Event.get(), nullptr);
}

ReloadSignal::~ReloadSignal() = default;

} // namespace almondpier
