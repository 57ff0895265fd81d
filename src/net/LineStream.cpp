#include "net/LibeventHandles.h"

#include <cstring>

namespace almondpier {

static constexpr std::string_view kLineEnd = "\r\n";

struct LineStream::State {
  BuffereventHandle m_Connection;
  Callbacks m_Callbacks;
  Limits m_Limits;
  bool m_IsClosing = false;
  bool m_IsFinished = false;
  /// Bytes at the start of the input that hold no end of a line, so that a line
  /// that arrives in many pieces is searched only once.
  size_t m_SearchedBytes = 0;

  void adopt(bufferevent *Connection) {
    m_Connection.reset(Connection);
    if (evutil_socket_t Socket = bufferevent_getfd(Connection); Socket >= 0)
      prepare(Socket);
    bufferevent_setcb(
        Connection,
        [](bufferevent * /*Source*/, void *Context) {
          static_cast<State *>(Context)->read();
        },
        [](bufferevent * /*Source*/, void *Context) {
          static_cast<State *>(Context)->onWritten();
        },
        [](bufferevent * /*Source*/, short Events, void *Context) {
          static_cast<State *>(Context)->onEvent(Events);
        },
        this);
    bufferevent_enable(Connection, EV_READ | EV_WRITE);
  }

  void prepare(evutil_socket_t Socket) const {
    disableNagle(Socket);
    detectSilence(Socket, m_Limits.m_TcpUserTimeoutMs);
  }

  /// Returns the length of the first line if its end has arrived. A line feed
  /// or a carriage return alone is part of the text.
  std::optional<size_t> findLineEnd(evbuffer *Input) {
    evbuffer_ptr From;
    if (evbuffer_ptr_set(Input, &From, m_SearchedBytes, EVBUFFER_PTR_SET) != 0)
      return std::nullopt;
    evbuffer_ptr End =
        evbuffer_search(Input, kLineEnd.data(), kLineEnd.size(), &From);
    if (End.pos >= 0)
      return static_cast<size_t>(End.pos);
    size_t Arrived = evbuffer_get_length(Input);
    char Last = '\0';
    evbuffer_ptr LastAt;
    bool EndsInPart =
        Arrived > 0 &&
        evbuffer_ptr_set(Input, &LastAt, Arrived - 1, EVBUFFER_PTR_SET) == 0 &&
        evbuffer_copyout_from(Input, &LastAt, &Last, 1) == 1 &&
        Last == kLineEnd.front();
    m_SearchedBytes = EndsInPart ? Arrived - 1 : Arrived;
    return std::nullopt;
  }

  void read() {
    evbuffer *Input = bufferevent_get_input(m_Connection.get());
    while (!m_IsClosing && !m_IsFinished) {
      std::optional<size_t> End = findLineEnd(Input);
      size_t Bytes = End ? *End : m_SearchedBytes;
      if (Bytes > m_Limits.m_MaxLineBytes)
        return fail("a line exceeds the size limit");
      if (!End)
        return;
      std::string Line(Bytes, '\0');
      evbuffer_remove(Input, Line.data(), Bytes);
      evbuffer_drain(Input, kLineEnd.size());
      m_SearchedBytes = 0;
      if (m_Callbacks.m_OnLine)
        m_Callbacks.m_OnLine(Line);
    }
  }

  void onEvent(short Events) {
    if ((Events & BEV_EVENT_CONNECTED) != 0) {
      prepare(bufferevent_getfd(m_Connection.get()));
      if (m_Callbacks.m_OnOpen)
        m_Callbacks.m_OnOpen();
      return;
    }
    int Code = EVUTIL_SOCKET_ERROR();
    fail((Events & BEV_EVENT_EOF) != 0
             ? "closed by the peer"
             : std::string("connection failed: ") +
                   evutil_socket_error_to_string(Code));
  }

  void fail(const std::string &Reason) {
    if (m_IsFinished)
      return;
    m_IsFinished = true;
    bufferevent_disable(m_Connection.get(), EV_READ | EV_WRITE);
    std::function<void(const std::string &)> OnClose =
        std::move(m_Callbacks.m_OnClose);
    if (OnClose && !m_IsClosing)
      OnClose(Reason);
  }

  void onWritten() {
    if (m_IsClosing)
      m_IsFinished = true;
  }
};

LineStream::LineStream(std::unique_ptr<State> State)
    : m_State(std::move(State)) {}
LineStream::~LineStream() = default;

std::unique_ptr<LineStream> LineStream::connect(EventLoop &Loop,
                                                const Endpoint &Peer,
                                                const Limits &Limits,
                                                Callbacks Callbacks) {
  std::unique_ptr<State> Opened = std::make_unique<State>();
  Opened->m_Limits = Limits;
  Opened->m_Callbacks = std::move(Callbacks);
  bufferevent *Connection = bufferevent_socket_new(
      Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  Opened->adopt(Connection);
  // Reported from the loop, because the caller does not hold the stream yet.
  if (!startConnecting(Connection, Peer))
    bufferevent_trigger_event(Connection, BEV_EVENT_ERROR, 0);
  return std::make_unique<LineStream>(std::move(Opened));
}

void LineStream::write(std::string_view Lines) {
  if (m_State->m_IsFinished || m_State->m_IsClosing)
    return;
  bufferevent *Connection = m_State->m_Connection.get();
  bufferevent_write(Connection, Lines.data(), Lines.size());
  if (evbuffer_get_length(bufferevent_get_output(Connection)) >
      m_State->m_Limits.m_MaxPendingBytes)
    m_State->fail("the peer does not read");
}

void LineStream::setCallbacks(Callbacks Callbacks) {
  m_State->m_Callbacks = std::move(Callbacks);
}

void LineStream::closeAfterWriting() {
  m_State->m_IsClosing = true;
  evbuffer *Output = bufferevent_get_output(m_State->m_Connection.get());
  if (evbuffer_get_length(Output) == 0)
    m_State->m_IsFinished = true;
}

void LineStream::reset() {
  if (m_State->m_IsFinished)
    return;
  // Without lingering the close is a reset, which also drops what a partition
  // holds back.
  linger Now{1, 0};
  setsockopt(bufferevent_getfd(m_State->m_Connection.get()), SOL_SOCKET,
             SO_LINGER, &Now, sizeof(Now));
  m_State->m_IsClosing = true;
  m_State->m_IsFinished = true;
}

bool LineStream::isFinished() const { return m_State->m_IsFinished; }

struct LineListener::State {
  EventLoop &m_Loop;
  LineStream::Limits m_Limits;
  std::function<void(std::unique_ptr<LineStream>)> m_OnAccept;
  ListenerHandle m_Listener;

  void accept(evutil_socket_t Socket) {
    std::unique_ptr<LineStream::State> Accepted =
        std::make_unique<LineStream::State>();
    Accepted->m_Limits = m_Limits;
    Accepted->adopt(bufferevent_socket_new(m_Loop.base(), Socket,
                                           BEV_OPT_CLOSE_ON_FREE |
                                               BEV_OPT_DEFER_CALLBACKS));
    m_OnAccept(std::make_unique<LineStream>(std::move(Accepted)));
  }
};

LineListener::LineListener(
    EventLoop &Loop, const Endpoint &Local, const LineStream::Limits &Limits,
    std::function<void(std::unique_ptr<LineStream>)> OnAccept)
    : m_State(new State{Loop, Limits, std::move(OnAccept), nullptr}) {
  m_State->m_Listener = listenOn(
      Loop, Local,
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Length*/,
         void *Context) { static_cast<State *>(Context)->accept(Socket); },
      m_State.get());
}

LineListener::~LineListener() = default;

} // namespace almondpier
