// Measures the slopes that docs/CAPACITY.md is built on. Each experiment runs
// at three or more sizes and prints one line a size. Traffic stays on loopback.
// Usage: capacity configuration|ranking|connections|links|datagrams|control
#include "almondpier/Decision.h"
#include "almondpier/Net.h"
#include "almondpier/Telemetry.h"
#include "decision/HostRanking.h"

#include <cstdio>
#include <cstring>

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondpier {

namespace {

constexpr uint16_t kPort = 19'431;
const FleetSecret kSecret{"capacity-measurement-secret"};

double processorSeconds() { return processCounters()[0].m_Value; }
double residentBytes() { return processCounters()[1].m_Value; }
/// Bytes that the program has allocated and not freed.
double allocatedBytes() { return static_cast<double>(mallinfo2().uordblks); }

HostRecord hostNumber(size_t Number) {
  std::string Text = std::to_string(Number);
  return HostRecord{HostName{"host-" + Text},
                    AvailabilityZone{"zone-" + std::to_string(Number % 5)},
                    Endpoint{"192.0.2.1", 7'000}};
}

void addDatabases(Configuration &Target, size_t Databases) {
  constexpr size_t kInstances = 3;
  for (size_t Database = 0; Database < Databases; ++Database)
    for (size_t Index = 0; Index < kInstances; ++Index) {
      InstanceRecord Instance;
      Instance.m_Database.m_Value = "database-" + std::to_string(Database);
      Instance.m_Name.m_Value =
          Instance.m_Database.m_Value + "-" + std::to_string(Index);
      Instance.m_Zone.m_Value = "zone-" + std::to_string(Index);
      Instance.m_StatementEndpoint = Endpoint{"192.0.2.1", 8'000};
      Instance.m_PlatformEndpoint = Endpoint{"192.0.2.1", 8'001};
      Target.apply({"", 0, "", 0, RegisterInstance{Instance}});
    }
}

void addOrganisations(Configuration &Target, size_t Organisations) {
  for (size_t Number = 0; Number < Organisations; ++Number) {
    OrganisationName Name{"organisation-" + std::to_string(Number)};
    Target.apply({"", Target.version(), "", 0, CreateOrganisation{Name}});
    std::string Key = "key-" + std::to_string(Number);
    Target.apply({"", Target.version(), "", 0,
                  IssueKey{{Key}, {Name, digestOfKey(Key)}}});
  }
}

void measureConfiguration() {
  constexpr size_t kHosts = 540;
  constexpr int kChanges = 1'000;
  for (size_t Databases : {300, 600, 900, 1'200}) {
    double Before = allocatedBytes();
    Configuration State;
    addDatabases(State, Databases);
    addOrganisations(State, Databases);
    for (size_t Number = 0; Number < kHosts; ++Number)
      State.apply({"", 0, "", 0, RegisterHost{hostNumber(Number)}});
    double Memory = allocatedBytes() - Before;
    double Start = processorSeconds();
    std::string Bytes = encode(State);
    Configuration Decoded = decodeConfiguration(Bytes);
    double CodecSeconds = processorSeconds() - Start;
    Start = processorSeconds();
    for (int Index = 0; Index < kChanges; ++Index)
      Decoded.apply(
          {"", Decoded.version(), "", 0, ActivatePreset{PresetKind::Peak}});
    double ApplySeconds = (processorSeconds() - Start) / kChanges;
    std::printf("configuration databases=%zu organisations=%zu hosts=%zu "
                "encoded_bytes=%zu allocated_bytes=%.0f codec_ms=%.2f "
                "apply_us=%.2f\n",
                Databases, Databases, kHosts, Bytes.size(), Memory,
                CodecSeconds * 1e3, ApplySeconds * 1e6);
  }
}

void measureRanking() {
  for (size_t Hosts : {11, 135, 270, 540}) {
    constexpr size_t kDatabases = 1'200;
    std::vector<RankedHost> Candidates;
    for (size_t Number = 0; Number < Hosts; ++Number)
      Candidates.push_back(
          {hostNumber(Number).m_Name, hostNumber(Number).m_Zone});
    double Start = processorSeconds();
    for (size_t Database = 0; Database < kDatabases; ++Database)
      rankHosts(DatabaseName{"database-" + std::to_string(Database)},
                Candidates, kObserverCount);
    std::printf("ranking hosts=%zu databases=%zu ms=%.2f\n", Hosts, kDatabases,
                (processorSeconds() - Start) * 1e3);
  }
}

int connectTo(uint16_t Port) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) != 0)
    std::perror("connect");
  return Socket;
}

void runLoop(EventLoop &Loop, std::chrono::milliseconds Limit) {
  OneShotTimer Stop(Loop, Limit, [&] { Loop.stop(); });
  Loop.run();
}

/// Idle caller connections that each sent one request.
void measureConnections() {
  rlimit Files{65'536, 65'536};
  ::setrlimit(RLIMIT_NOFILE, &Files);
  const std::string Request = "GET /livez HTTP/1.1\r\nHost: x\r\n"
                              "Authorization: Bearer 0123456789\r\n\r\n";
  EventLoop Loop;
  HttpServer *Target = nullptr;
  HttpServer Server(Loop, Endpoint{"127.0.0.1", kPort}, {},
                    {[&](const HttpServerRequest &Received) {
                       Target->reply(Received.m_Id, {200, {}, "{}"});
                     },
                     {}});
  Target = &Server;
  std::vector<int> Sockets;
  double Before = residentBytes();
  for (size_t Wanted : {1'000, 2'000, 4'000, 8'000}) {
    while (Sockets.size() < Wanted) {
      for (int Batch = 0; Batch < 50; ++Batch) {
        Sockets.push_back(connectTo(kPort));
        if (::send(Sockets.back(), Request.data(), Request.size(), 0) < 0)
          std::perror("send");
      }
      runLoop(Loop, std::chrono::milliseconds(5));
    }
    runLoop(Loop, std::chrono::milliseconds(100));
    std::printf("connections count=%zu resident_bytes=%.0f each=%.0f\n",
                Server.connections(), residentBytes() - Before,
                (residentBytes() - Before) / static_cast<double>(Wanted));
  }
  for (int Socket : Sockets)
    ::close(Socket);
}

/// Links to other hosts: memory, and the cost of a Ping each 100 ms both ways.
void measureLinks() {
  for (size_t Wanted : {50, 200, 540}) {
    EventLoop Loop;
    std::vector<std::unique_ptr<Link>> Accepted;
    std::vector<std::unique_ptr<Link>> Opened;
    double Before = residentBytes();
    LinkListener Listener(
        Loop, kSecret, Endpoint{"127.0.0.1", kPort},
        [&](std::unique_ptr<Link> New) { Accepted.push_back(std::move(New)); });
    for (size_t Number = 0; Number < Wanted; ++Number)
      Opened.push_back(
          Link::connect(Loop, kSecret, Endpoint{"127.0.0.1", kPort}, {}));
    runLoop(Loop, std::chrono::milliseconds(500));
    double Memory = residentBytes() - Before;
    double Start = processorSeconds();
    constexpr int kRounds = 20;
    Timer Pings(Loop, std::chrono::milliseconds(100), [&] {
      for (const std::unique_ptr<Link> &Each : Opened)
        Each->send(Message(Ping()));
      for (const std::unique_ptr<Link> &Each : Accepted)
        Each->send(Message(Ping()));
    });
    runLoop(Loop, std::chrono::milliseconds(100 * kRounds));
    double Load = (processorSeconds() - Start) / (0.1 * kRounds);
    std::printf("links count=%zu resident_bytes_both_ends=%.0f "
                "core_percent_both_ends=%.3f bytes_per_s_each=%.0f\n",
                Wanted, Memory, Load * 100,
                static_cast<double>(Opened[0]->bytesSent()) / (0.1 * kRounds));
  }
}

/// Heartbeats that a control host receives from all proxies each 250 ms.
void measureDatagrams() {
  for (size_t Hosts : {135, 270, 540}) {
    EventLoop Loop;
    size_t Received = 0;
    Endpoint Target{"127.0.0.1", kPort};
    DatagramSocket Receiver(Loop, kSecret, Target,
                            [&](const Endpoint & /*Peer*/,
                                const Message & /*Message*/) { ++Received; });
    std::vector<std::unique_ptr<DatagramSocket>> Senders;
    for (size_t Number = 0; Number < Hosts; ++Number)
      Senders.push_back(std::make_unique<DatagramSocket>(
          Loop, kSecret,
          Endpoint{"127.0.0.1", static_cast<uint16_t>(kPort + 1 + Number)},
          [](const Endpoint & /*Peer*/, const Message & /*Message*/) {}));
    Message Beat(Heartbeat{HostName{"host-100"}, true, 1, {}});
    constexpr int kRounds = 12;
    double Start = processorSeconds();
    Timer Beats(Loop, std::chrono::milliseconds(250), [&] {
      for (const std::unique_ptr<DatagramSocket> &Each : Senders)
        Each->send(Target, Beat);
    });
    runLoop(Loop, std::chrono::milliseconds(250 * kRounds));
    double Seconds = processorSeconds() - Start;
    std::printf("datagrams hosts=%zu received=%zu "
                "us_send_and_receive=%.2f sender_bytes=%.0f\n",
                Hosts, Received, Seconds * 1e6 / static_cast<double>(Received),
                static_cast<double>(Senders[0]->bytesSent()) / kRounds);
  }
}

/// A control leader with proxies that poll and send heartbeats every 250 ms,
/// and that ask for tokens; no sockets, so the figures are those of the
/// decisions and the encoding of the answers.
class ControlLoad {
public:
  explicit ControlLoad(size_t Hosts) : m_Hosts(Hosts) {
    ControlOptions Options;
    Options.m_Self = ControlMember{
        MemberId{1}, HostName{"control"}, AvailabilityZone{"zone"},
        Endpoint{"192.0.2.1", 1}, Endpoint{"192.0.2.1", 2}};
    Options.m_ClusterId = 1;
    Options.m_Log = makeInitialLog(Options.m_Self);
    m_Core = std::make_unique<ControlCore>(Options, m_Now);
    advance(std::chrono::seconds(3));
  }

  void announceDatabases(size_t Databases) {
    for (size_t Database = 0; Database < Databases; ++Database)
      for (size_t Index = 0; Index < 3; ++Index) {
        InstanceRecord Instance;
        Instance.m_Database.m_Value = "database-" + std::to_string(Database);
        Instance.m_Name.m_Value = "instance-" + std::to_string(Index);
        Instance.m_PlatformEndpoint =
            Endpoint{"192.0.2.9", static_cast<uint16_t>(1'000 + Database)};
        Instance.m_StatementEndpoint = Instance.m_PlatformEndpoint;
        handle(InstanceAnnounced{OperationId{++m_Operation}, Instance, false});
      }
    advance(std::chrono::milliseconds(500));
  }

  void advance(Duration Time) {
    for (Duration Passed{0}; Passed < Time; Passed += kTick) {
      m_Now += kTick;
      handle(ClockTick{1});
    }
  }

  /// One interval of polls and heartbeats of all proxies.
  void runInterval() {
    for (size_t Host = 0; Host < m_Hosts; ++Host) {
      PollRequest Poll;
      Poll.m_Host = hostNumber(Host);
      Poll.m_Incarnation = 1;
      Poll.m_Sequence = ++m_Sequence;
      Poll.m_AppliedIndex = m_Core->appliedIndex();
      Poll.m_LiveHostsTerm = m_Core->blackboard().m_LiveHosts.m_Term;
      Poll.m_LiveHostsVersion = m_Core->blackboard().m_LiveHosts.m_Version;
      m_PollBytes += encode(Message(Poll)).size();
      handle(MessageReceived{LinkId{2 * Host + 2}, Poll});
      Heartbeat Beat{Poll.m_Host.m_Name, true, Poll.m_AppliedIndex, {}};
      handle(DatagramReceived{Endpoint{"192.0.2.1", 7'000}, Beat});
    }
    advance(std::chrono::milliseconds(250));
  }

  void handle(const ControlEvent &Event) {
    m_Actions.clear();
    m_Core->handle(Event, m_Now, m_Actions);
    // Actions can grow while instances answer, so the index is used.
    for (size_t Index = 0; Index < m_Actions.size(); ++Index)
      if (const SendMessage *Send = std::get_if<SendMessage>(&m_Actions[Index]))
        m_ReplyBytes += encode(Send->m_Message).size();
      else if (const CallInstance *Call =
                   std::get_if<CallInstance>(&m_Actions[Index]))
        m_Calls.push_back(*Call);
    answerCalls();
  }

  uint64_t m_PollBytes = 0;
  uint64_t m_ReplyBytes = 0;

private:
  static constexpr Duration kTick = std::chrono::milliseconds(10);

  /// Instances seal, become primary and follow as they are told.
  void answerCalls() {
    while (!m_Calls.empty()) {
      CallInstance Call = m_Calls.back();
      m_Calls.pop_back();
      InstanceCallAnswered Answer{Call.m_Call, 200, std::nullopt, 0};
      std::string Name = "instance-" + std::to_string(Call.m_Call.m_Value % 3);
      Answer.m_Status =
          InstanceStatus{InstanceName{Name}, {}, Call.m_Term, false};
      handle(Answer);
    }
  }

  size_t m_Hosts;
  Time m_Now{};
  uint64_t m_Sequence = 0;
  uint64_t m_Operation = 0;
  std::unique_ptr<ControlCore> m_Core;
  ControlActions m_Actions;
  std::vector<CallInstance> m_Calls;
};

void measureControl() {
  constexpr int kIntervals = 40;
  for (size_t Hosts : {11, 135, 270, 540}) {
    size_t Databases = Hosts * 1'200 / 540;
    double Before = allocatedBytes();
    ControlLoad Load(Hosts);
    Load.announceDatabases(Databases);
    for (int Interval = 0; Interval < 8; ++Interval)
      Load.runInterval();
    double Memory = allocatedBytes() - Before;
    Load.m_PollBytes = 0;
    Load.m_ReplyBytes = 0;
    double Start = processorSeconds();
    for (int Interval = 0; Interval < kIntervals; ++Interval)
      Load.runInterval();
    double Seconds = processorSeconds() - Start;
    double Polls = static_cast<double>(Hosts) * kIntervals;
    std::printf("control hosts=%zu databases=%zu core_percent=%.2f "
                "us_per_poll_and_heartbeat=%.2f poll_bytes=%.0f "
                "reply_bytes=%.0f allocated_bytes=%.0f\n",
                Hosts, Databases, Seconds * 100 / (kIntervals * 0.25),
                Seconds * 1e6 / Polls,
                static_cast<double>(Load.m_PollBytes) / Polls,
                static_cast<double>(Load.m_ReplyBytes) / Polls, Memory);
  }
}

int run(std::string_view Experiment) {
  if (Experiment == "configuration")
    measureConfiguration();
  else if (Experiment == "ranking")
    measureRanking();
  else if (Experiment == "connections")
    measureConnections();
  else if (Experiment == "links")
    measureLinks();
  else if (Experiment == "datagrams")
    measureDatagrams();
  else if (Experiment == "control")
    measureControl();
  else
    return 2;
  return 0;
}

} // namespace

} // namespace almondpier

int main(int ArgumentCount, char **Arguments) {
  int Result = ArgumentCount == 2 ? almondpier::run(Arguments[1]) : 2;
  if (Result == 2)
    std::fputs("usage: capacity "
               "configuration|ranking|connections|links|datagrams|control\n",
               stderr);
  return Result;
}
