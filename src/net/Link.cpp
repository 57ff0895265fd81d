#include "net/LibeventHandles.h"

#include <cstring>
#include <utility>

#include <sodium.h>

namespace almondpier {

namespace {

constexpr std::string_view kMagic = "APLK";
constexpr size_t kNonceBytes = 16;
constexpr size_t kHelloBytes = kMagic.size() + sizeof(uint16_t) + kNonceBytes;
constexpr size_t kHashBytes = 16;
constexpr size_t kLengthBytes = sizeof(uint32_t);
/// A peer that does not read is disconnected rather than buffered for without
/// bound.
constexpr size_t kMaxPendingBytes = 16U << 20U;
constexpr std::chrono::seconds kHandshakeTimeout{2};
/// Both sides send pings more often than this.
constexpr uint32_t kSilenceTimeoutMs = 2'000;

enum class Role : uint8_t { Connector, Acceptor };

std::string view(const std::array<uint8_t, 32> &Hash) {
  return std::string(reinterpret_cast<const char *>(Hash.data()), Hash.size());
}

template <typename Value> std::string bytesOf(Value Number) {
  return std::string(reinterpret_cast<const char *>(&Number), sizeof(Number));
}

} // namespace

struct Link::State {
  Role m_Role = Role::Connector;
  std::string m_Secret;
  Callbacks m_Callbacks;
  BuffereventHandle m_Connection;
  std::string m_Hello;
  std::string m_SendKey;
  std::string m_ReceiveKey;
  uint64_t m_SendSequence = 0;
  uint64_t m_ReceiveSequence = 0;
  bool m_IsUp = false;
  bool m_IsDown = false;
  uint64_t m_BytesSent = 0;
  uint64_t m_BytesReceived = 0;
  std::vector<std::string> m_Queue;
  EventHandle m_HandshakeTimer;
  EventHandle m_DownEvent;
  std::string m_DownReason;
  /// Cleared by the destructor, so that callbacks can tell that the link is
  /// gone.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);

  State(EventLoop &Loop, const FleetSecret &Secret, Role Role)
      : m_Role(Role), m_Secret(Secret.m_Value) {
    std::array<char, kNonceBytes> Nonce{};
    randombytes_buf(Nonce.data(), Nonce.size());
    m_Hello = std::string(kMagic) + bytesOf(kProtocolVersion) +
              std::string(Nonce.data(), Nonce.size());
    m_HandshakeTimer.reset(event_new(
        Loop.base(), -1, 0,
        [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
          State *Self = static_cast<State *>(Context);
          if (!Self->m_IsUp)
            Self->fail("no handshake within 2 s");
        },
        this));
    timeval Timeout = toTimeval(kHandshakeTimeout);
    event_add(m_HandshakeTimer.get(), &Timeout);
    m_DownEvent.reset(event_new(
        Loop.base(), -1, 0,
        [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
          State *Self = static_cast<State *>(Context);
          // The callback may destroy the link.
          std::function<void(const std::string &)> OnDown =
              std::move(Self->m_Callbacks.m_OnDown);
          std::string Reason = Self->m_DownReason;
          if (OnDown)
            OnDown(Reason);
        },
        this));
  }
  ~State() { *m_Alive = false; }
  State(const State &) = delete;
  State &operator=(const State &) = delete;

  void adopt(bufferevent *Connection) {
    m_Connection.reset(Connection);
    if (evutil_socket_t Socket = bufferevent_getfd(Connection); Socket >= 0)
      detectSilence(Socket, kSilenceTimeoutMs);
    bufferevent_setcb(
        Connection,
        [](bufferevent * /*Source*/, void *Context) {
          static_cast<State *>(Context)->read();
        },
        nullptr,
        [](bufferevent * /*Source*/, short Events, void *Context) {
          static_cast<State *>(Context)->onEvent(Events);
        },
        this);
    bufferevent_enable(Connection, EV_READ | EV_WRITE);
    write(m_Hello);
  }

  void onEvent(short Events) {
    if ((Events & BEV_EVENT_CONNECTED) != 0) {
      disableNagle(bufferevent_getfd(m_Connection.get()));
      detectSilence(bufferevent_getfd(m_Connection.get()), kSilenceTimeoutMs);
      return;
    }
    int Code = EVUTIL_SOCKET_ERROR();
    if ((Events & BEV_EVENT_EOF) != 0)
      fail("closed by the peer");
    else
      fail(std::string("connection failed: ") +
           evutil_socket_error_to_string(Code));
  }

  /// Reports the end of the link from the loop, never from inside a call of the
  /// owner.
  void fail(const std::string &Reason) {
    if (m_IsDown)
      return;
    m_IsDown = true;
    m_DownReason = Reason;
    m_Connection.reset();
    event_active(m_DownEvent.get(), 0, 0);
  }

  void write(std::string_view Bytes) {
    if (m_IsDown)
      return;
    m_BytesSent += Bytes.size();
    bufferevent_write(m_Connection.get(), Bytes.data(), Bytes.size());
    if (evbuffer_get_length(bufferevent_get_output(m_Connection.get())) >
        kMaxPendingBytes)
      fail("the peer does not read");
  }

  static std::string hashOf(const std::string &Key, uint64_t Sequence,
                            std::string_view Payload) {
    std::string Data = bytesOf(Sequence);
    Data.append(Payload);
    return view(keyedHash(Key, Data)).substr(0, kHashBytes);
  }

  void writeFrame(const std::string &Payload) {
    std::string Frame =
        bytesOf(static_cast<uint32_t>(Payload.size())) + Payload;
    Frame += hashOf(m_SendKey, m_SendSequence++, Payload);
    write(Frame);
  }

  void read() {
    evbuffer *Input = bufferevent_get_input(m_Connection.get());
    if (m_ReceiveKey.empty() && !readHello(Input))
      return;
    std::shared_ptr<bool> Alive = m_Alive;
    while (*Alive && !m_IsDown && readFrame(Input)) {
    }
  }

  bool readHello(evbuffer *Input) {
    if (evbuffer_get_length(Input) < kHelloBytes)
      return false;
    std::string Hello(kHelloBytes, '\0');
    evbuffer_remove(Input, Hello.data(), Hello.size());
    m_BytesReceived += Hello.size();
    if (Hello.compare(0, kMagic.size(), kMagic) != 0) {
      fail("the peer does not speak this protocol");
      return false;
    }
    if (Hello.substr(kMagic.size(), sizeof(uint16_t)) !=
        bytesOf(kProtocolVersion)) {
      fail("the peer has another protocol version");
      return false;
    }
    std::string Nonces =
        m_Role == Role::Connector ? m_Hello + Hello : Hello + m_Hello;
    std::string ConnectorKey = view(keyedHash(m_Secret, "connector" + Nonces));
    std::string AcceptorKey = view(keyedHash(m_Secret, "acceptor" + Nonces));
    m_SendKey = m_Role == Role::Connector ? ConnectorKey : AcceptorKey;
    m_ReceiveKey = m_Role == Role::Connector ? AcceptorKey : ConnectorKey;
    // The first frame proves to the peer that this side knows the secret.
    writeFrame(encode(Message(Ping())));
    for (const std::string &Payload : std::exchange(m_Queue, {}))
      writeFrame(Payload);
    return true;
  }

  bool readFrame(evbuffer *Input) {
    uint32_t Length = 0;
    if (evbuffer_copyout(Input, &Length, kLengthBytes) <
        static_cast<ev_ssize_t>(kLengthBytes))
      return false;
    if (Length > kMaxMessageBytes) {
      fail("a frame exceeds the size limit");
      return false;
    }
    size_t FrameBytes = kLengthBytes + Length + kHashBytes;
    if (evbuffer_get_length(Input) < FrameBytes)
      return false;
    evbuffer_drain(Input, kLengthBytes);
    std::string Payload(Length, '\0');
    evbuffer_remove(Input, Payload.data(), Payload.size());
    std::string Hash(kHashBytes, '\0');
    evbuffer_remove(Input, Hash.data(), Hash.size());
    m_BytesReceived += FrameBytes;
    if (!equalInConstantTime(
            Hash, hashOf(m_ReceiveKey, m_ReceiveSequence++, Payload))) {
      fail("a frame is not authentic; check that both hosts have the same "
           "fleet secret");
      return false;
    }
    deliver(Payload);
    return true;
  }

  void deliver(const std::string &Payload) {
    std::shared_ptr<bool> Alive = m_Alive;
    if (!m_IsUp) {
      m_IsUp = true;
      event_del(m_HandshakeTimer.get());
      if (m_Callbacks.m_OnUp) {
        std::function<void()> OnUp = m_Callbacks.m_OnUp;
        OnUp();
      }
      if (!*Alive || m_IsDown)
        return;
    }
    try {
      Message Received = decodeMessage(Payload);
      std::function<void(Message)> OnMessage = m_Callbacks.m_OnMessage;
      if (OnMessage)
        OnMessage(std::move(Received));
    } catch (const DecodeError &Failure) {
      if (*Alive)
        fail(std::string("a message is invalid: ") + Failure.what());
    }
  }
};

std::unique_ptr<Link> Link::connect(EventLoop &Loop, const FleetSecret &Secret,
                                    const Endpoint &Peer, Callbacks Callbacks) {
  std::unique_ptr<State> Opened =
      std::make_unique<State>(Loop, Secret, Role::Connector);
  Opened->m_Callbacks = std::move(Callbacks);
  bufferevent *Connection = bufferevent_socket_new(
      Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  Opened->adopt(Connection);
  if (!startConnecting(Connection, Peer))
    Opened->fail("the connection could not be started");
  return std::make_unique<Link>(std::move(Opened));
}

Link::Link(std::unique_ptr<State> State) : m_State(std::move(State)) {}
Link::~Link() = default;

void Link::send(const Message &Message) {
  std::string Payload = encode(Message);
  if (m_State->m_SendKey.empty())
    m_State->m_Queue.push_back(std::move(Payload));
  else
    m_State->writeFrame(Payload);
}

size_t Link::pendingBytes() const {
  if (m_State->m_IsDown)
    return 0;
  return evbuffer_get_length(
      bufferevent_get_output(m_State->m_Connection.get()));
}

uint64_t Link::bytesSent() const { return m_State->m_BytesSent; }
uint64_t Link::bytesReceived() const { return m_State->m_BytesReceived; }
void Link::setCallbacks(Callbacks Callbacks) {
  m_State->m_Callbacks = std::move(Callbacks);
}

struct LinkListener::State {
  EventLoop &m_Loop;
  FleetSecret m_Secret;
  std::function<void(std::unique_ptr<Link>)> m_OnAccept;
  ListenerHandle m_Listener;

  void accept(evutil_socket_t Socket) {
    disableNagle(Socket);
    std::unique_ptr<Link::State> Accepted =
        std::make_unique<Link::State>(m_Loop, m_Secret, Role::Acceptor);
    Accepted->adopt(bufferevent_socket_new(m_Loop.base(), Socket,
                                           BEV_OPT_CLOSE_ON_FREE |
                                               BEV_OPT_DEFER_CALLBACKS));
    m_OnAccept(std::make_unique<Link>(std::move(Accepted)));
  }
};

LinkListener::LinkListener(EventLoop &Loop, const FleetSecret &Secret,
                           const Endpoint &Local,
                           std::function<void(std::unique_ptr<Link>)> OnAccept)
    : m_State(new State{Loop, Secret, std::move(OnAccept), nullptr}) {
  m_State->m_Listener = listenOn(
      Loop, Local,
      [](evconnlistener * /*Listener*/, evutil_socket_t Socket,
         sockaddr * /*Peer*/, int /*Length*/,
         void *Context) { static_cast<State *>(Context)->accept(Socket); },
      m_State.get());
}

LinkListener::~LinkListener() = default;

} // namespace almondpier
