// Measures the slopes that docs/CAPACITY.md is built on. Each experiment runs
// at three or more sizes and prints one line a size. Traffic stays on loopback.
// Usage: capacity configuration|ranking|connections|links|datagrams
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
      Instance.m_Statements = Endpoint{"192.0.2.1", 8'000};
      Instance.m_Platform = Endpoint{"192.0.2.1", 8'001};
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
  Delay Stop(Loop, Limit, [&] { Loop.stop(); });
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
               "configuration|ranking|connections|links|datagrams\n",
               stderr);
  return Result;
}
