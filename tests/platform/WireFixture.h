/// \file
/// Callers and database instances that send and receive raw bytes, for tests
/// of the platform's proxies on real sockets. They have a decoder of their own,
/// so that an error in LineCodec cannot hide itself.
#pragma once

#include "almondpier/SessionServer.h"
#include "platform/src/LineCodec.h"
#include "proxy/FakeControl.h"

#include "FreeEndpoint.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <map>
#include <random>
#include <set>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondpier::wiretest {

using std::chrono::milliseconds;

inline constexpr const char *kSecret = "the fleet secret of the test";
/// Largest message of the protocol with its CR LF.
inline constexpr size_t kMaxWireBytes = 1U << 20U;
inline constexpr size_t kLineEndBytes = 2;

/// Returns the text in a form that can be printed, shortened.
inline std::string printable(std::string_view Text) {
  constexpr size_t kMaxPrinted = 60;
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string Result;
  for (char Character : Text.substr(0, kMaxPrinted)) {
    unsigned Code = static_cast<unsigned char>(Character);
    if (Code >= 0x20 && Code < 0x7f)
      Result += Character;
    else
      Result += std::string("\\x") + kDigits[Code >> 4U] + kDigits[Code & 15U];
  }
  if (Text.size() > kMaxPrinted)
    Result += "... (" + std::to_string(Text.size()) + " bytes)";
  return Result;
}

/// Removes the first word and the blank after it.
inline std::string cutWord(std::string &Text) {
  size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text.erase(0, Blank == std::string::npos ? Text.size() : Blank + 1);
  return Word;
}

/// Random bytes, many of them those that end lines or fields, and words of the
/// protocol; never CR LF.
inline std::string randomText(std::mt19937 &Random, size_t MaxBytes,
                              bool HasBlanks = true) {
  constexpr std::array<std::string_view, 10> kWords{
      "READ", "COMPLETE", "QUERY", "READY I -", "ERROR BUSY x",
      "ROW",  "BEGIN",    "-",     "AFTER 9.9", "TERMINATE"};
  constexpr std::array kFrequent{'\n', '\r', ' ', '\0'};
  std::string Text;
  size_t Length = 1 + Random() % MaxBytes;
  while (Text.size() < Length) {
    uint32_t Choice = Random() % 8;
    if (Choice == 0)
      Text += kWords[Random() % kWords.size()];
    else if (Choice < 4)
      Text += kFrequent[Random() % kFrequent.size()];
    else
      Text += static_cast<char>(Random() % 256);
  }
  for (size_t End = Text.find("\r\n"); End != std::string::npos;
       End = Text.find("\r\n"))
    Text[End] = 'x';
  if (!HasBlanks)
    std::replace(Text.begin(), Text.end(), ' ', '_');
  return Text;
}

/// A non-blocking socket. Each pump() sends one piece, so that the receiver
/// sees the pieces apart.
class RawStream {
public:
  RawStream(int Socket, uint32_t Seed) : m_Socket(Socket), m_Random(Seed) {
    int On = 1;
    setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    fcntl(m_Socket, F_SETFL, O_NONBLOCK);
  }
  ~RawStream() { ::close(m_Socket); }
  RawStream(const RawStream &) = delete;
  RawStream &operator=(const RawStream &) = delete;

  static std::unique_ptr<RawStream> connect(const Endpoint &Peer,
                                            uint32_t Seed) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Peer.m_Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0)
      throw std::runtime_error("the test cannot connect");
    return std::make_unique<RawStream>(Socket, Seed);
  }

  void send(std::string_view Bytes) { m_Output += Bytes; }
  void pump() {
    sendPiece();
    receive();
  }
  std::optional<std::string> takeLine() {
    size_t End = m_Input.find("\r\n", m_Searched);
    if (End == std::string::npos) {
      // A CR at the end may be the first half of the end of a line.
      m_Searched = m_Input.empty() ? 0 : m_Input.size() - 1;
      return std::nullopt;
    }
    std::string Line = m_Input.substr(0, End);
    m_Input.erase(0, End + kLineEndBytes);
    m_Searched = 0;
    return Line;
  }
  bool isClosed() const { return m_IsClosed; }
  const std::string &rest() const { return m_Input; }

  /// Sends everything at once instead of in random pieces.
  bool m_IsWhole = false;

private:
  size_t pieceBytes() {
    if (m_IsWhole || below(3) == 0)
      return m_Output.size();
    size_t End = m_Output.find("\r\n");
    if (End != std::string::npos && below(2) == 0)
      return End + 1;
    return 1 + below(m_Output.size());
  }
  size_t below(size_t Count) { return m_Random() % Count; }
  void sendPiece() {
    if (m_Output.empty() || m_IsClosed)
      return;
    ssize_t Sent =
        ::send(m_Socket, m_Output.data(), pieceBytes(), MSG_NOSIGNAL);
    if (Sent > 0)
      m_Output.erase(0, static_cast<size_t>(Sent));
  }
  void receive() {
    constexpr size_t kBufferBytes = 256U << 10U;
    // Shared by all streams: filling one for each would take most of the time
    // of a sanitized test.
    static std::array<char, kBufferBytes> Buffer;
    size_t Size = m_IsWhole ? kBufferBytes : 1 + below(kBufferBytes);
    ssize_t Received = 0;
    while ((Received = ::recv(m_Socket, Buffer.data(), Size, 0)) > 0)
      m_Input.append(Buffer.data(), static_cast<size_t>(Received));
    if (Received == 0 || (errno != EAGAIN && errno != EINTR))
      m_IsClosed = true;
  }

  int m_Socket;
  std::mt19937 m_Random;
  std::string m_Output;
  std::string m_Input;
  size_t m_Searched = 0;
  bool m_IsClosed = false;
};

/// A statement as an instance executed or rejected it.
struct Execution {
  size_t m_Instance = 0;
  /// Number of the connection on which it arrived; never reused.
  uint64_t m_Connection = 0;
  std::string m_Organisation;
  /// Without the AFTER prefix; the name in EXECUTE is replaced by the shape.
  std::string m_Text;
  std::map<std::string, std::string> m_Variables;
  std::vector<std::string> m_Rows;
  std::string m_Receipt;
  /// Empty for a success.
  std::string m_Code;
  std::string m_ErrorText;
  /// It had the AFTER prefix, which only reads have.
  bool m_HasPosition = false;
  /// The transaction had written, or the statement is a single write.
  bool m_HasEffect = false;
};

/// How the instances deviate from the protocol.
struct Faults {
  /// Every reply is sent once more, at once or within 100 ms.
  bool m_Repeats = false;
  uint32_t m_BusyPercent = 0;
  /// Texts of BUSY differ.
  bool m_HasUniqueTexts = false;
  uint32_t m_FailedPercent = 0;
  uint32_t m_SurplusReadyPercent = 0;
  /// A defect in the reply to a statement of a caller.
  uint32_t m_BrokenPercent = 0;
};

/// A primary and a replica, which execute statements by recording them.
class FakeDatabase {
public:
  static constexpr size_t kInstances = 2;
  static constexpr size_t kPrimary = 0;

  FakeDatabase(EventLoop &Loop, uint32_t Seed) : m_Loop(Loop), m_Random(Seed) {
    for (size_t Index = 0; Index < kInstances; ++Index) {
      m_Endpoints[Index] = freeEndpoint();
      m_Listeners[Index] = listenAt(m_Endpoints[Index]);
    }
  }
  ~FakeDatabase() {
    for (int Socket : m_Listeners)
      ::close(Socket);
  }
  FakeDatabase(const FakeDatabase &) = delete;
  FakeDatabase &operator=(const FakeDatabase &) = delete;

  void pump() {
    for (size_t Index = 0; Index < kInstances; ++Index)
      acceptAt(Index);
    while (!m_Due.empty() && m_Due.begin()->first <= m_Loop.now()) {
      auto Peer = m_Peers.find(m_Due.begin()->second.first);
      if (Peer != m_Peers.end())
        Peer->second.m_Stream->send(m_Due.begin()->second.second);
      m_Due.erase(m_Due.begin());
    }
    for (auto Entry = m_Peers.begin(); Entry != m_Peers.end();) {
      Peer &Current = Entry->second;
      Current.m_Stream->pump();
      while (std::optional<std::string> Line = Current.m_Stream->takeLine())
        onLine(Entry->first, Current, std::move(*Line));
      Entry = Current.m_Stream->isClosed() ? m_Peers.erase(Entry)
                                           : std::next(Entry);
    }
  }

  std::array<Endpoint, kInstances> m_Endpoints;
  Faults m_Faults;
  /// The streams of new connections are not cut into pieces.
  bool m_IsWhole = false;
  /// Replaces the bytes of a reply.
  std::function<std::string(const Execution &, const std::string &)> m_OnReply;
  /// Returns the error for a statement of a caller that is not executed.
  std::function<std::string(const Execution &)> m_OnStatement;
  /// Rows of the next statements, by the identifier; random ones otherwise.
  std::map<std::string, std::vector<std::string>> m_ChosenRows;
  /// By identifier, in the order of arrival.
  std::map<std::string, std::vector<Execution>> m_Executions;
  /// Statements that the proxies issued themselves.
  std::vector<std::string> m_OwnTexts;
  /// Lines that the protocol does not allow.
  std::vector<std::string> m_Problems;

private:
  struct Peer {
    std::unique_ptr<RawStream> m_Stream;
    size_t m_Instance = 0;
    std::string m_Organisation;
    char m_State = 'I';
    bool m_IsReadOnly = false;
    bool m_HasWritten = false;
    std::map<std::string, std::string> m_Variables;
    /// Access and shape, by name.
    std::map<std::string, std::pair<std::string, std::string>> m_Prepared;
  };

  static int listenAt(const Endpoint &Local) {
    int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    int On = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Local.m_Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    constexpr int kBacklog = 64;
    if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address),
               sizeof(Address)) != 0 ||
        ::listen(Socket, kBacklog) != 0)
      throw std::runtime_error("the test cannot listen");
    fcntl(Socket, F_SETFL, O_NONBLOCK);
    return Socket;
  }
  void acceptAt(size_t Index) {
    int Socket = ::accept(m_Listeners[Index], nullptr, nullptr);
    if (Socket < 0)
      return;
    Peer &Added = m_Peers[++m_LastPeer];
    Added.m_Stream = std::make_unique<RawStream>(Socket, m_Random());
    Added.m_Stream->m_IsWhole = m_IsWhole;
    Added.m_Instance = Index;
  }

  void onLine(uint64_t Id, Peer &From, std::string Line) {
    if (Line.size() + kLineEndBytes > kMaxWireBytes)
      m_Problems.push_back("a message of " +
                           std::to_string(Line.size() + kLineEndBytes) +
                           " bytes");
    std::string Whole = printable(Line);
    std::string Word = cutWord(Line);
    if (Word == "STARTUP" && From.m_Organisation.empty()) {
      bool IsKnown = cutWord(Line) == "races";
      From.m_Organisation = cutWord(Line);
      if (!IsKnown || From.m_Organisation.empty() ||
          Line != "i-" + std::to_string(From.m_Instance))
        m_Problems.push_back("startup: " + Whole);
      return From.m_Stream->send(ready(From));
    }
    std::string Request = cutWord(Line);
    if (Word != "QUERY" || Request.empty() || From.m_Organisation.empty()) {
      m_Problems.push_back("line: " + Whole);
      return;
    }
    if (Request == "-")
      m_OwnTexts.push_back(Line);
    Execution Run;
    Run.m_Connection = Id;
    Run = execute(From, Run, Request, Line);
    if (Request != "-")
      m_Executions[Request].push_back(Run);
    reply(Id, From, Run, Request != "-");
  }

  Execution execute(Peer &At, Execution Run, const std::string &Request,
                    std::string Text) {
    Run.m_Instance = At.m_Instance;
    Run.m_Organisation = At.m_Organisation;
    Run.m_Variables = At.m_Variables;
    if (Text.starts_with("AFTER ")) {
      cutWord(Text);
      cutWord(Text);
      Run.m_HasPosition = true;
      if (!Text.starts_with("READ ") && !Text.starts_with("EXECUTE ") &&
          Text != "BEGIN READ")
        m_Problems.push_back("AFTER before " + printable(Text));
    }
    Run.m_Text = Text;
    std::string Word = cutWord(Text);
    bool IsWrite = Word == "WRITE";
    if (Word == "EXECUTE") {
      auto Prepared = At.m_Prepared.find(cutWord(Text));
      if (Prepared == At.m_Prepared.end())
        return rejected(At, Run, "NOSTMT", "no such name");
      IsWrite = Prepared->second.first == "WRITE";
      if (IsWrite && Run.m_HasPosition)
        m_Problems.push_back("AFTER before a write " + printable(Text));
      Run.m_Text = "EXECUTE " + Prepared->second.second + "\r\n" + Text;
    }
    if (At.m_Instance != kPrimary && (Run.m_Text == "BEGIN" || IsWrite))
      return rejected(At, Run, "READONLY", "a replica");
    std::string Chosen =
        Request != "-" && m_OnStatement ? m_OnStatement(Run) : "";
    if (!Chosen.empty())
      return rejected(At, Run, Chosen, "chosen by the test");
    if (Request != "-" && percent(m_Faults.m_BusyPercent))
      return rejected(At, Run, "BUSY",
                      m_Faults.m_HasUniqueTexts
                          ? "overloaded " + std::to_string(++m_LastNumber)
                          : "overloaded");
    if (Request != "-" && IsWrite && At.m_State == 'I' &&
        percent(m_Faults.m_FailedPercent))
      return rejected(At, Run, "FAILED", randomText(m_Random, 40));
    if (Word == "READ" || IsWrite || Word == "EXECUTE" || Word == "COMMIT")
      executeForCaller(At, Run, Request, Word, IsWrite);
    else
      executeOther(At, Word, Text, Run.m_Text);
    return Run;
  }
  void executeForCaller(Peer &At, Execution &Run, const std::string &Request,
                        const std::string &Word, bool IsWrite) {
    Run.m_Receipt =
        std::to_string(++m_LastNumber) + " " + randomText(m_Random, 20);
    auto Chosen = m_ChosenRows.find(Request);
    if (Chosen != m_ChosenRows.end())
      Run.m_Rows = Chosen->second;
    else if (Word != "COMMIT")
      for (uint32_t Count = m_Random() % 4; Count > 0; --Count)
        Run.m_Rows.push_back(m_Random() % 8 == 0 ? ""
                                                 : randomText(m_Random, 60));
    if (IsWrite && At.m_State == 'I')
      ++m_Position;
    Run.m_HasEffect = IsWrite && At.m_State == 'I';
    if (IsWrite && At.m_State == 'T')
      At.m_HasWritten = true;
    if (Word != "COMMIT")
      return;
    Run.m_HasEffect = At.m_HasWritten;
    if (At.m_HasWritten)
      ++m_Position;
    At.m_State = 'I';
    At.m_HasWritten = false;
  }
  void executeOther(Peer &At, const std::string &Word, std::string Rest,
                    const std::string &Text) {
    if (Text == "BEGIN" || Text == "BEGIN READ") {
      At.m_State = 'T';
      At.m_HasWritten = false;
    } else if (Text == "ROLLBACK") {
      At.m_State = 'I';
      At.m_HasWritten = false;
    } else if (Text == "RESET") {
      At.m_Variables.clear();
      At.m_Prepared.clear();
    } else if (Word == "SET") {
      std::string Name = cutWord(Rest);
      At.m_Variables[Name] = Rest;
    } else if (Word == "PREPARE") {
      std::string Name = cutWord(Rest);
      std::string Access = cutWord(Rest);
      At.m_Prepared[Name] = {Access, Rest};
    } else {
      m_Problems.push_back("statement: " + printable(Text));
    }
  }
  static Execution rejected(Peer &At, Execution Run, const std::string &Code,
                            const std::string &Text) {
    Run.m_Code = Code;
    Run.m_ErrorText = Text;
    // An overloaded instance leaves the transaction open.
    if (At.m_State == 'T' && Code != "BUSY")
      At.m_State = 'E';
    return Run;
  }

  void reply(uint64_t Id, const Peer &To, const Execution &Run,
             bool IsOfCaller) {
    std::string Bytes;
    for (const std::string &Row : Run.m_Rows)
      Bytes += "ROW " + Row + "\r\n";
    std::string Result =
        Run.m_Code.empty()
            ? "COMPLETE " + (Run.m_Receipt.empty() ? "-" : Run.m_Receipt)
            : "ERROR " + Run.m_Code + " " + Run.m_ErrorText;
    Result += "\r\n";
    Bytes += Result + ready(To);
    if (m_OnReply)
      Bytes = m_OnReply(Run, Bytes);
    if (IsOfCaller && percent(m_Faults.m_BrokenPercent))
      Bytes = broken(Bytes, Result, ready(To));
    send(Id, Bytes, Duration());
    if (m_Faults.m_Repeats)
      send(Id, Bytes, m_Random() % 2 == 0 ? Duration() : randomDelay());
    if (percent(m_Faults.m_SurplusReadyPercent))
      send(Id, ready(To), m_Random() % 2 == 0 ? Duration() : randomDelay());
  }
  std::string broken(const std::string &Bytes, const std::string &Result,
                     const std::string &Ready) {
    std::string Front = Bytes.substr(0, Bytes.size() - Ready.size());
    switch (m_Random() % 5) {
    case 0:
      return "FOO " + randomText(m_Random, 20) + "\r\n" + Bytes;
    case 1:
      return Front + "ROW surplus\r\n" + Ready;
    case 2:
      return Front + Result + Ready;
    case 3:
      return Front + "COMPLETE surplus\r\n" + Ready;
    default:
      return Front.substr(0, Front.size() - Result.size()) + Ready;
    }
  }
  Duration randomDelay() { return milliseconds(m_Random() % 101); }
  bool percent(uint32_t Share) { return m_Random() % 100 < Share; }
  std::string ready(const Peer &To) const {
    return std::string("READY ") + To.m_State + " 3." +
           std::to_string(m_Position) + "\r\n";
  }
  void send(uint64_t Id, const std::string &Bytes, Duration After) {
    m_Due.emplace(m_Loop.now() + After, std::pair(Id, Bytes));
  }

  EventLoop &m_Loop;
  std::mt19937 m_Random;
  std::array<int, kInstances> m_Listeners{};
  std::map<uint64_t, Peer> m_Peers;
  std::multimap<Time, std::pair<uint64_t, std::string>> m_Due;
  uint64_t m_LastPeer = 0;
  uint64_t m_LastNumber = 0;
  uint64_t m_Position = 100;
};

/// What a caller was told about a statement.
struct Outcome {
  std::vector<std::string> m_Rows;
  std::string m_Receipt;
  /// Empty for a success.
  std::string m_Code;
  std::string m_ErrorText;
  char m_State = ' ';
};

/// A statement of a caller.
struct Request {
  std::string m_Text;
  /// As Execution::m_Text.
  std::string m_Expected;
  std::string m_Organisation;
  std::map<std::string, std::string> m_Variables;
  bool m_HasReceipt = false;
  /// Error that the proxy must answer itself; empty for none.
  std::string m_ExpectedCode;
  std::optional<Outcome> m_Outcome;
};

/// A caller that has at most one statement outstanding, unless it is told to
/// send bytes.
class RawCaller {
public:
  RawCaller(const Endpoint &Proxy, uint32_t Seed)
      : m_Stream(RawStream::connect(Proxy, Seed)) {}

  void pump() {
    m_Stream->pump();
    while (std::optional<std::string> Line = m_Stream->takeLine())
      onLine(std::move(*Line));
  }
  void ask(const std::string &Id, Request Sent) {
    m_Stream->send("QUERY " + Id + " " + Sent.m_Text + "\r\n");
    m_Outstanding = Id;
    m_Requests[Id] = std::move(Sent);
    m_Arriving = Outcome();
  }
  bool isWaiting() const {
    return !m_Stream->isClosed() && (!m_IsOpen || m_Outstanding.has_value());
  }

  std::unique_ptr<RawStream> m_Stream;
  bool m_IsOpen = false;
  std::optional<std::string> m_Outstanding;
  std::map<std::string, Request> m_Requests;
  /// All lines, as received.
  std::vector<std::string> m_Lines;
  bool m_KeepsLines = false;
  std::vector<std::string> m_Problems;

private:
  void onLine(std::string Line) {
    if (Line.size() + kLineEndBytes > kMaxWireBytes)
      m_Problems.push_back("a reply line of " + std::to_string(Line.size()));
    if (m_KeepsLines)
      m_Lines.push_back(Line);
    std::string Whole = printable(Line);
    std::string Word = cutWord(Line);
    if (Word == "READY" && !m_IsOpen) {
      m_IsOpen = true;
      return;
    }
    if (!m_Outstanding) {
      if (!m_KeepsLines)
        m_Problems.push_back("nothing is outstanding: " + Whole);
      return;
    }
    bool HasResult =
        !m_Arriving.m_Receipt.empty() || !m_Arriving.m_Code.empty();
    if (Word == "ROW" && !HasResult) {
      m_Arriving.m_Rows.push_back(Line);
    } else if (Word == "COMPLETE" && !HasResult) {
      m_Arriving.m_Receipt = Line;
    } else if (Word == "ERROR" && !HasResult) {
      m_Arriving.m_Code = cutWord(Line);
      m_Arriving.m_ErrorText = Line;
    } else if (Word == "READY" && HasResult) {
      m_Arriving.m_State = Line.empty() ? ' ' : Line[0];
      m_Requests[*m_Outstanding].m_Outcome = std::move(m_Arriving);
      m_Arriving = Outcome();
      m_Outstanding.reset();
    } else {
      m_Problems.push_back("unexpected: " + Whole);
    }
  }

  Outcome m_Arriving;
};

/// A control host on real sockets that answers polls and lends tokens.
class WireControl {
public:
  WireControl(EventLoop &Loop, const Endpoint &Local)
      : m_Listener(Loop, FleetSecret{kSecret}, Local,
                   [this](std::unique_ptr<Link> Accepted) {
                     accept(std::move(Accepted));
                   }),
        m_Datagrams(Loop, FleetSecret{kSecret}, Local,
                    [](const Endpoint &, const Message &) {}) {
    m_Control.m_Members.push_back(ControlMember{
        MemberId{1}, HostName{"control"}, AvailabilityZone{"a"}, Local, {}});
    m_Control.m_Leader = HostName{"control"};
  }

  FakeControl m_Control;

private:
  void accept(std::unique_ptr<Link> Accepted) {
    Link *Raw = Accepted.get();
    m_Links.push_back(std::move(Accepted));
    Raw->setCallbacks(
        {{},
         [this, Raw](const Message &Received) { answer(*Raw, Received); },
         {}});
  }
  void answer(Link &To, const Message &Received) {
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Received))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        To.send(Reply);
    if (const TokenRequest *Asked = std::get_if<TokenRequest>(&Received))
      To.send(m_Control.lend(*Asked));
  }

  std::vector<std::unique_ptr<Link>> m_Links;
  LinkListener m_Listener;
  DatagramSocket m_Datagrams;
};

/// Three proxies, a control host, a primary and a replica on one loop.
class WireFleet {
public:
  static constexpr size_t kHosts = 3;
  using Server = SessionServer<platform::LineCodec>;

  explicit WireFleet(uint32_t Seed, uint32_t StatementTimeoutMs = 1'000)
      : m_Seed(Seed), m_Random(Seed), m_Database(m_Loop, Seed) {
    FakeControl &Control = m_Control.m_Control;
    std::vector<LiveHost> Live;
    std::vector<SessionServerSettings> Settings(kHosts);
    for (size_t Index = 0; Index < kHosts; ++Index) {
      SessionServerSettings &Host = Settings[Index];
      Host.m_Host = HostRecord{HostName{"h" + std::to_string(Index)},
                               AvailabilityZone{"a"}, freeEndpoint()};
      Host.m_Listen = freeEndpoint();
      Host.m_Health = freeEndpoint();
      Host.m_Control = {m_ControlEndpoint};
      Host.m_FleetSecret = kSecret;
      Host.m_Limits =
          SessionLimits::fromBounds(milliseconds(5'000), milliseconds(6'000));
      Control.accept(RegisterHost{Host.m_Host});
      Live.push_back(LiveHost{Host.m_Host.m_Name, true});
      m_Listen.push_back(Host.m_Listen);
      m_Health.push_back(Host.m_Health);
    }
    installPolicy(StatementTimeoutMs);
    publishDirectory();
    Control.setLive(Live);
    for (const SessionServerSettings &Host : Settings)
      m_Servers.push_back(std::make_unique<Server>(m_Loop, Host));
    for (const Endpoint &Health : m_Health)
      runUntil([&] { return get(Health, "/readyz").m_Status == 200; });
    findOwner();
  }

  /// Runs the loop until the condition is true; returns whether it became so.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(10)) {
    Time End = m_Loop.now() + Limit;
    while (!Condition()) {
      if (m_Loop.now() >= End)
        return false;
      runFor(milliseconds(1));
    }
    return true;
  }
  /// As runUntil(), but the limit is a number of turns of 1 ms, which a pause
  /// of the whole process does not use up.
  bool runTurnsUntil(const std::function<bool()> &Condition,
                     size_t MaxTurns = 500) {
    for (size_t Turn = 0; Turn < MaxTurns && !Condition(); ++Turn)
      runFor(milliseconds(1));
    return Condition();
  }
  void runFor(Duration Limit) {
    OneShotTimer Pause(m_Loop, Limit, [&] { m_Loop.stop(); });
    m_Loop.run();
  }

  RawCaller &addCaller(size_t Host, const std::string &Organisation,
                       const std::string &Route) {
    m_Callers.push_back(
        std::make_unique<RawCaller>(m_Listen.at(Host), m_Random()));
    RawCaller &Added = *m_Callers.back();
    Added.m_Stream->send("STARTUP " + Route + " " +
                         m_Keys.at(OrganisationName{Organisation}) + "\r\n");
    return Added;
  }
  /// Opens a caller whose streams are not cut into pieces.
  RawCaller &addWholeCaller(size_t Host, const std::string &Route = "primary") {
    RawCaller &Added = addCaller(Host, "ann", Route);
    Added.m_Stream->m_IsWhole = true;
    runUntil([&] { return !Added.isWaiting(); });
    return Added;
  }
  /// Sends a statement and returns what the caller was told; nothing when the
  /// connection was closed or the time limit passed.
  std::optional<Outcome> ask(RawCaller &From, const std::string &Id,
                             const std::string &Text) {
    Request Sent;
    Sent.m_Text = Text;
    From.ask(Id, Sent);
    runUntil([&] { return !From.isWaiting(); }, milliseconds(70'000));
    return From.m_Requests[Id].m_Outcome;
  }
  std::string newId() {
    return std::to_string(++m_LastRequest) +
           randomText(m_Random, 6, /*HasBlanks=*/false);
  }

  double metric(size_t Host, const std::string &Name) {
    std::string Body = get(m_Health.at(Host), "/metrics").m_Body;
    size_t At = Body.find("\n" + Name + " ");
    return At == std::string::npos
               ? 0
               : std::stod(Body.substr(At + Name.size() + 2));
  }
  double metricOfAll(const std::string &Name) {
    double Sum = 0;
    for (size_t Host = 0; Host < kHosts; ++Host)
      Sum += metric(Host, Name);
    return Sum;
  }
  size_t otherHost() const { return (m_Owner + 1) % kHosts; }
  /// The process did not run for so long that hosts may have taken instances or
  /// each other for lost.
  bool wasPaused() const { return m_LongestPause >= milliseconds(200); }

  EventLoop m_Loop;
  /// Runs the callbacks that closed streams have deferred. Without it they
  /// would leak with the loop.
  struct DeferredCallbacks {
    EventLoop &m_Loop;
    ~DeferredCallbacks() {
      OneShotTimer Stop(m_Loop, milliseconds(1), [this] { m_Loop.stop(); });
      m_Loop.run();
    }
  } m_Deferred{m_Loop};
  uint32_t m_Seed;
  std::mt19937 m_Random;
  FakeDatabase m_Database;
  std::vector<std::unique_ptr<RawCaller>> m_Callers;
  /// The host that executes the statements of the others.
  size_t m_Owner = 0;
  /// Keys hold all that a last field may hold.
  std::map<OrganisationName, std::string> m_Keys{
      {OrganisationName{"ann"}, std::string("a key\nwith \r and \0.", 18)},
      {OrganisationName{"bob"}, "QUERY 1 READ x"}};

private:
  void installPolicy(uint32_t StatementTimeoutMs) {
    FleetPolicy Policy;
    Policy.m_Version = 1;
    constexpr uint32_t kRate = 100'000;
    for (const auto &[Name, Key] : m_Keys)
      Policy.m_Organisations[Name] =
          OrganisationPolicy{{digestOfKey(Key)}, Limit{kRate, kRate}};
    DatabaseName Group{"races"};
    Policy.m_Groups[Group] = GroupPolicy{12, 0};
    RoutePolicy Route;
    Route.m_Database = Group;
    Route.m_TargetLatencyMs = 400;
    Route.m_StatementTimeoutMs = StatementTimeoutMs;
    Policy.m_Routes[RouteName{"primary"}] = Route;
    Route.m_MaxReadAgeMs = 1'500;
    Route.m_Guarantee = ReadGuarantee::BoundedAge;
    Policy.m_Routes[RouteName{"bounded-staleness"}] = Route;
    Route.m_Guarantee = ReadGuarantee::ReadYourWrites;
    Policy.m_Routes[RouteName{"read-your-writes"}] = Route;
    Policy.m_TransactionIdleMs = 3'000;
    m_Control.m_Control.accept(InstallPolicy{Policy, ""});
  }
  void publishDirectory() {
    InstanceDirectory &Directory = m_Control.m_Control.m_Directory;
    Directory.m_Term = 1;
    Directory.m_Version = 1;
    Directory.m_IsComplete = true;
    for (size_t Index = 0; Index < FakeDatabase::kInstances; ++Index) {
      InstanceDescription Instance;
      Instance.m_Name = InstanceName{"i-" + std::to_string(Index)};
      Instance.m_Database = DatabaseName{"races"};
      Instance.m_StatementEndpoint = m_Database.m_Endpoints[Index];
      Instance.m_Slots = 4;
      Instance.m_IsPrimary = Index == FakeDatabase::kPrimary;
      Directory.m_Instances.push_back(Instance);
    }
  }
  HttpResponse get(const Endpoint &Peer, const std::string &Target) {
    HttpClientConnection Connection(m_Loop, Peer, std::chrono::seconds(10));
    HttpResponse Result;
    Result.m_Status = 0;
    Connection.send(
        {HttpMethod::Get, Target, {}, {}},
        [&](const std::variant<HttpResponse, HttpClientConnection::Failure>
                &Answer) {
          if (const HttpResponse *Response = std::get_if<HttpResponse>(&Answer))
            Result = *Response;
          m_Loop.stop();
        });
    m_Loop.run();
    return Result;
  }
  void findOwner() {
    std::vector<RawCaller *> Opened;
    for (size_t Host = 0; Host < kHosts; ++Host)
      Opened.push_back(&addWholeCaller(Host));
    for (RawCaller *Caller : Opened)
      for (int Count = 0; Count < 2; ++Count)
        ask(*Caller, newId(), "READ warm");
    for (size_t Host = 0; Host < kHosts; ++Host)
      if (metric(Host, "almondpier_statements_served_total") > 0)
        m_Owner = Host;
    m_Callers.clear();
  }
  void pump() {
    Time Now = m_Loop.now();
    m_LongestPause = std::max(m_LongestPause, Now - m_LastPump);
    m_LastPump = Now;
    m_Database.pump();
    for (const std::unique_ptr<RawCaller> &Caller : m_Callers)
      Caller->pump();
  }

  uint64_t m_LastRequest = 0;
  Time m_LastPump = m_Loop.now();
  Duration m_LongestPause{};
  Endpoint m_ControlEndpoint = freeEndpoint();
  WireControl m_Control{m_Loop, m_ControlEndpoint};
  std::vector<Endpoint> m_Listen;
  std::vector<Endpoint> m_Health;
  std::vector<std::unique_ptr<Server>> m_Servers;
  Timer m_Pump{m_Loop, milliseconds(1), [this] { pump(); }};
};

} // namespace almondpier::wiretest
