// Blocking sockets, lines that end with CR LF, and a small HTTP client and
// server for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using Clock = std::chrono::steady_clock;

inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

inline int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Writes record.txt: milliseconds since the start, who, what.
class Record {
public:
  explicit Record(const std::string &Path) : m_File(Path) {}
  void line(const std::string &Who, std::string What) {
    constexpr size_t kMaxShown = 200;
    if (What.size() > kMaxShown)
      What = What.substr(0, kMaxShown) + "... (" + std::to_string(What.size()) +
             " bytes)";
    std::string Shown;
    for (char Character : What) {
      if (Character == '\n')
        Shown += "\\n";
      else if (Character == '\r')
        Shown += "\\r";
      else
        Shown += Character;
    }
    std::lock_guard<std::mutex> Lock(m_Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%7lld ms  ",
                  static_cast<long long>(nowMs()));
    m_File << Time << Who << ": " << Shown << std::endl;
  }
  int64_t nowMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                 m_Start)
        .count();
  }

private:
  std::mutex m_Mutex;
  std::ofstream m_File;
  Clock::time_point m_Start = Clock::now();
};

struct Address {
  std::string m_Ip;
  int m_Port = 0;
  std::string text() const { return m_Ip + ":" + std::to_string(m_Port); }
};

inline sockaddr_in toSocketAddress(const Address &Of) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(Of.m_Port));
  inet_pton(AF_INET, Of.m_Ip.c_str(), &Result.sin_addr);
  return Result;
}

inline Address parseAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  return {Text.substr(0, Colon), std::atoi(Text.c_str() + Colon + 1)};
}

inline int listenOn(const Address &Local) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int Enabled = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  sockaddr_in Bound = toSocketAddress(Local);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Bound), sizeof(Bound)) !=
          0 ||
      ::listen(Socket, 1024) != 0) {
    ::close(Socket);
    return -1;
  }
  return Socket;
}

inline int connectTo(const Address &Peer, int TimeoutMs) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Target = toSocketAddress(Peer);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target)) != 0) {
    pollfd Waiting{Socket, POLLOUT, 0};
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    if (errno != EINPROGRESS || ::poll(&Waiting, 1, TimeoutMs) != 1 ||
        ::getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0 ||
        Failure != 0) {
      ::close(Socket);
      return -1;
    }
  }
  int Enabled = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  return Socket;
}

// A connection that is read by lines or by bytes.
class Stream {
public:
  explicit Stream(int Socket) : m_Socket(Socket) {}
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  bool isOpen() const { return m_Socket >= 0; }
  void close() {
    if (m_Socket >= 0)
      ::close(m_Socket);
    m_Socket = -1;
  }
  bool send(const std::string &Bytes) {
    size_t Sent = 0;
    while (m_Socket >= 0 && Sent < Bytes.size()) {
      ssize_t Count = ::send(m_Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                             MSG_NOSIGNAL);
      if (Count > 0) {
        Sent += static_cast<size_t>(Count);
        continue;
      }
      pollfd Waiting{m_Socket, POLLOUT, 0};
      constexpr int kSendTimeoutMs = 5'000;
      if ((errno != EAGAIN && errno != EINTR) ||
          ::poll(&Waiting, 1, kSendTimeoutMs) != 1)
        return false;
    }
    return m_Socket >= 0;
  }
  // Reads a line that ends with CR LF; nothing after the timeout or when the
  // connection ends (isOpen() tells which).
  std::optional<std::string> readLine(int TimeoutMs) {
    Clock::time_point Until =
        Clock::now() + std::chrono::milliseconds(TimeoutMs);
    size_t SearchFrom = 0;
    while (true) {
      size_t End = m_Buffer.find("\r\n", SearchFrom);
      if (End != std::string::npos) {
        std::string Line = m_Buffer.substr(0, End);
        m_Buffer.erase(0, End + 2);
        return Line;
      }
      SearchFrom = m_Buffer.empty() ? 0 : m_Buffer.size() - 1;
      if (!fill(Until))
        return std::nullopt;
    }
  }
  std::optional<std::string> readBytes(size_t Count, int TimeoutMs) {
    Clock::time_point Until =
        Clock::now() + std::chrono::milliseconds(TimeoutMs);
    while (m_Buffer.size() < Count)
      if (!fill(Until))
        return std::nullopt;
    std::string Bytes = m_Buffer.substr(0, Count);
    m_Buffer.erase(0, Count);
    return Bytes;
  }

private:
  bool fill(Clock::time_point Until) {
    if (m_Socket < 0)
      return false;
    int64_t LeftMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                         Until - Clock::now())
                         .count();
    pollfd Waiting{m_Socket, POLLIN, 0};
    if (LeftMs < 0 || ::poll(&Waiting, 1, static_cast<int>(LeftMs)) != 1)
      return false;
    char Block[65536];
    ssize_t Count = ::recv(m_Socket, Block, sizeof(Block), 0);
    if (Count <= 0) {
      if (Count < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      close();
      return false;
    }
    m_Buffer.append(Block, static_cast<size_t>(Count));
    return true;
  }

  int m_Socket = -1;
  std::string m_Buffer;
};

struct HttpMessage {
  std::string m_Start;
  std::vector<std::string> m_Headers;
  std::string m_Body;
  std::string header(const std::string &Name) const {
    for (const std::string &Line : m_Headers)
      if (Line.size() > Name.size() + 1 && Line[Name.size()] == ':' &&
          ::strncasecmp(Line.c_str(), Name.c_str(), Name.size()) == 0) {
        size_t First = Line.find_first_not_of(' ', Name.size() + 1);
        return First == std::string::npos ? "" : Line.substr(First);
      }
    return "";
  }
  int status() const {
    size_t Blank = m_Start.find(' ');
    return Blank == std::string::npos ? 0
                                      : std::atoi(m_Start.c_str() + Blank + 1);
  }
};

inline std::optional<HttpMessage> readHttp(Stream &From, int TimeoutMs) {
  HttpMessage Result;
  std::optional<std::string> Line = From.readLine(TimeoutMs);
  if (!Line)
    return std::nullopt;
  Result.m_Start = *Line;
  while ((Line = From.readLine(TimeoutMs)) && !Line->empty())
    Result.m_Headers.push_back(*Line);
  if (!Line)
    return std::nullopt;
  std::string Length = Result.header("Content-Length");
  std::optional<std::string> Body =
      From.readBytes(Length.empty() ? 0 : std::stoul(Length), TimeoutMs);
  if (!Body)
    return std::nullopt;
  Result.m_Body = *Body;
  return Result;
}

// Sends one request on a connection of its own.
inline std::optional<HttpMessage>
callHttp(const Address &Peer, const std::string &Method,
         const std::string &Path, const std::string &Body, int TimeoutMs) {
  Stream To(connectTo(Peer, TimeoutMs));
  std::string Request = Method + " " + Path +
                        " HTTP/1.1\r\nHost: " + Peer.text() +
                        "\r\nConnection: close\r\n";
  if (Method == "POST")
    Request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n";
  if (!To.isOpen() || !To.send(Request + "\r\n" + Body))
    return std::nullopt;
  return readHttp(To, TimeoutMs);
}

// Follows a redirection twice.
inline std::optional<HttpMessage>
callControl(Address Peer, const std::string &Method, const std::string &Path,
            const std::string &Body, int TimeoutMs) {
  std::optional<HttpMessage> Answer;
  constexpr int kMaxRedirections = 2;
  constexpr int kRedirected = 307;
  for (int Count = 0; Count <= kMaxRedirections; ++Count) {
    Answer = callHttp(Peer, Method, Path, Body, TimeoutMs);
    if (!Answer || Answer->status() != kRedirected)
      return Answer;
    std::string Location = Answer->header("Location");
    constexpr size_t kSchemeBytes = 7;
    Location = Location.substr(std::min(kSchemeBytes, Location.size()));
    Peer = parseAddress(Location.substr(0, Location.find('/')));
  }
  return Answer;
}
