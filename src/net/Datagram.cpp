#include "net/LibeventHandles.h"

#include <cstring>
#include <unordered_map>

#include <unistd.h>

namespace almondpier {

namespace {

constexpr size_t kHashBytes = 16;

/// Precedes the payload of every datagram.
struct DatagramHeader {
  uint64_t m_Version = kProtocolVersion;
  /// Nonce of the process the datagram is meant for; 0 when not known.
  uint64_t m_ReceiverNonce = 0;
  uint64_t m_SenderNonce = 0;
  uint64_t m_Sequence = 0;
};

constexpr size_t kHeaderBytes = sizeof(DatagramHeader);
/// Room for the heartbeats of 540 hosts that arrive at once; the default of the
/// system holds about 256 of them, and the rest would be lost.
constexpr int kReceiveBufferBytes = 4 << 20;
/// Senders remembered before the own nonce is renewed, which forgets them all
/// without admitting replays.
constexpr size_t kMaxSenders = 16'384;

} // namespace

struct DatagramSocket::State {
  std::string m_Key;
  std::function<void(const Endpoint &, Message)> m_OnMessage;
  evutil_socket_t m_Socket = -1;
  EventHandle m_Event;
  uint64_t m_Nonce = randomNumber() | 1U;
  uint64_t m_Sequence = 0;
  uint64_t m_BytesSent = 0;
  std::map<Endpoint, uint64_t> m_PeerNonces;
  std::unordered_map<uint64_t, uint64_t> m_LastSequences;

  State() = default;
  ~State() {
    m_Event.reset();
    if (m_Socket >= 0)
      ::close(m_Socket);
  }
  State(const State &) = delete;
  State &operator=(const State &) = delete;

  std::string hashOf(std::string_view Bytes) const {
    std::array<uint8_t, 32> Hash = keyedHash(m_Key, Bytes);
    return std::string(reinterpret_cast<const char *>(Hash.data()), kHashBytes);
  }

  void sendTo(const Endpoint &Peer, uint64_t ReceiverNonce,
              const Message &Message) {
    DatagramHeader Header;
    Header.m_ReceiverNonce = ReceiverNonce;
    Header.m_SenderNonce = m_Nonce;
    Header.m_Sequence = ++m_Sequence;
    std::string Bytes(reinterpret_cast<const char *>(&Header), kHeaderBytes);
    Bytes += encode(Message);
    Bytes += hashOf(Bytes);
    if (Bytes.size() > kMaxDatagramBytes)
      throw Error(ErrorKind::Internal, "a datagram of " +
                                           std::to_string(Bytes.size()) +
                                           " bytes is too large");
    // A lost datagram is like one dropped by the network, so neither the
    // address nor the result is checked.
    std::optional<sockaddr_in> Address = parseSocketAddress(Peer);
    if (!Address)
      return;
    ssize_t Sent =
        ::sendto(m_Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr *>(&*Address), sizeof(*Address));
    if (Sent > 0)
      m_BytesSent += static_cast<uint64_t>(Sent);
  }

  void receiveAll() {
    constexpr int kMaxDatagramsPerCall = 256;
    std::array<char, kMaxDatagramBytes + 1> Buffer{};
    for (int Count = 0; Count < kMaxDatagramsPerCall; ++Count) {
      sockaddr_in Address{};
      socklen_t AddressBytes = sizeof(Address);
      ssize_t Received =
          ::recvfrom(m_Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT,
                     reinterpret_cast<sockaddr *>(&Address), &AddressBytes);
      if (Received < 0)
        return;
      receive(fromSocketAddress(Address),
              std::string_view(Buffer.data(), static_cast<size_t>(Received)));
    }
  }

  void receive(const Endpoint &Peer, std::string_view Bytes) {
    if (Bytes.size() < kHeaderBytes + kHashBytes ||
        Bytes.size() > kMaxDatagramBytes)
      return;
    std::string_view Signed = Bytes.substr(0, Bytes.size() - kHashBytes);
    if (!equalInConstantTime(Bytes.substr(Signed.size()), hashOf(Signed)))
      return;
    DatagramHeader Header;
    std::memcpy(&Header, Signed.data(), kHeaderBytes);
    if (Header.m_Version != kProtocolVersion)
      return;
    if (Header.m_ReceiverNonce != m_Nonce) {
      sendTo(Peer, Header.m_SenderNonce, Message(HeartbeatNonce{m_Nonce}));
      return;
    }
    if (m_LastSequences.size() >= kMaxSenders) {
      m_LastSequences.clear();
      m_Nonce = randomNumber() | 1U;
      return;
    }
    uint64_t &Last = m_LastSequences[Header.m_SenderNonce];
    if (Header.m_Sequence <= Last)
      return;
    Last = Header.m_Sequence;
    deliver(Peer, Signed.substr(kHeaderBytes));
  }

  void deliver(const Endpoint &Peer, std::string_view Payload) {
    try {
      Message Received = decodeMessage(Payload);
      if (const HeartbeatNonce *Nonce = std::get_if<HeartbeatNonce>(&Received))
        m_PeerNonces[Peer] = Nonce->m_Nonce;
      else
        m_OnMessage(Peer, std::move(Received));
    } catch (const DecodeError &) {
      // An authentic but invalid datagram comes from another version; it is
      // dropped like a lost one.
      return;
    }
  }
};

DatagramSocket::DatagramSocket(
    EventLoop &Loop, const FleetSecret &Secret, const Endpoint &Local,
    std::function<void(const Endpoint &, Message)> OnMessage)
    : m_State(std::make_unique<State>()) {
  std::array<uint8_t, 32> Key = keyedHash(Secret.m_Value, "datagram");
  m_State->m_Key.assign(reinterpret_cast<const char *>(Key.data()), Key.size());
  m_State->m_OnMessage = std::move(OnMessage);
  m_State->m_Socket =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ::setsockopt(m_State->m_Socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
  sockaddr_in Address = toSocketAddress(Local);
  if (m_State->m_Socket < 0 ||
      ::bind(m_State->m_Socket, reinterpret_cast<sockaddr *>(&Address),
             sizeof(Address)) != 0)
    throw Error(ErrorKind::BadRequest,
                "cannot bind UDP " + formatEndpoint(Local) + " (" +
                    std::strerror(errno) +
                    "); choose a free port of this host");
  m_State->m_Event.reset(event_new(
      Loop.base(), m_State->m_Socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t /*Socket*/, short /*Events*/, void *Context) {
        static_cast<State *>(Context)->receiveAll();
      },
      m_State.get()));
  event_add(m_State->m_Event.get(), nullptr);
}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::send(const Endpoint &Peer, const Message &Message) {
  auto Nonce = m_State->m_PeerNonces.find(Peer);
  // With nonce 0 the peer answers with its current nonce and ignores the rest.
  m_State->sendTo(
      Peer, Nonce == m_State->m_PeerNonces.end() ? 0 : Nonce->second, Message);
}

uint64_t DatagramSocket::bytesSent() const { return m_State->m_BytesSent; }

} // namespace almondpier
