// Stand-ins for the platform, the database instances, the operator and the
// consumers, which start the project's own programs and run one case.
//
// Usage: fleet CASE RECORD TROUBLE
//   CASE     name of a case (see kCases at the end)
//   RECORD   the file to write, record.txt in the folder of the case
//   TROUBLE  1 with the disruption, 0 without it
// Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
namespace fs = std::filesystem;

// Record.

static const Clock::time_point kStart = Clock::now();
static std::mutex gRecordMutex;
static FILE *gRecord = nullptr;
static std::atomic<bool> gStop{false};

static double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
      .count();
}

__attribute__((format(printf, 1, 2))) static void note(const char *Format,
                                                       ...) {
  std::lock_guard Lock(gRecordMutex);
  if (!gRecord)
    return;
  std::fprintf(gRecord, "%9.1f ms  ", nowMs());
  va_list Args;
  va_start(Args, Format);
  std::vfprintf(gRecord, Format, Args);
  va_end(Args);
  std::fputc('\n', gRecord);
  std::fflush(gRecord);
}

static void pauseMs(int Milliseconds) {
  auto Until = Clock::now() + Ms(Milliseconds);
  while (!gStop && Clock::now() < Until)
    std::this_thread::sleep_for(
        std::min<Clock::duration>(Ms(20), Until - Clock::now()));
}

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Sockets.

static sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

static int listenOn(const std::string &Ip, int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Address = addressOf(Ip, Port);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) ||
      listen(Socket, 256)) {
    close(Socket);
    return -1;
  }
  return Socket;
}

static int connectTo(const std::string &Ip, int Port, int TimeoutMs) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Address = addressOf(Ip, Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    pollfd Wait{Socket, POLLOUT, 0};
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    if (errno != EINPROGRESS || poll(&Wait, 1, TimeoutMs) != 1 ||
        getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0 ||
        Failure != 0) {
      close(Socket);
      return -1;
    }
  }
  fcntl(Socket, F_SETFL, fcntl(Socket, F_GETFL) & ~O_NONBLOCK);
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  return Socket;
}

static bool sendAll(int Socket, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

// Reads lines that end with CR LF.
struct LineReader {
  int Socket = -1;
  std::string Buffer;

  // Returns nothing at the end of the stream or of the time.
  std::optional<std::string> line(int TimeoutMs, bool *TimedOut = nullptr) {
    auto Until = Clock::now() + Ms(TimeoutMs);
    while (true) {
      size_t End = Buffer.find("\r\n");
      if (End != std::string::npos) {
        std::string Line = Buffer.substr(0, End);
        Buffer.erase(0, End + 2);
        return Line;
      }
      auto Left =
          std::chrono::duration_cast<Ms>(Until - Clock::now()).count();
      if (gStop || Left <= 0) {
        if (TimedOut)
          *TimedOut = !gStop;
        return std::nullopt;
      }
      pollfd Wait{Socket, POLLIN, 0};
      if (poll(&Wait, 1, static_cast<int>(std::min<int64_t>(Left, 100))) <= 0)
        continue;
      char Bytes[65536];
      ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Count <= 0)
        return std::nullopt;
      Buffer.append(Bytes, static_cast<size_t>(Count));
    }
  }
};

struct HttpReply {
  int Status = 0; // 0: no response
  std::string Location;
  std::string Body;
};

static std::optional<std::string> headerOf(const std::string &Head,
                                           const std::string &Name) {
  std::istringstream Lines(Head);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos ||
        strcasecmp(Line.substr(0, Colon).c_str(), Name.c_str()) != 0)
      continue;
    size_t First = Line.find_first_not_of(' ', Colon + 1);
    return First == std::string::npos ? "" : Line.substr(First);
  }
  return std::nullopt;
}

static HttpReply httpCall(const std::string &Ip, int Port,
                          const std::string &Method, const std::string &Path,
                          const std::string &Body, int TimeoutMs) {
  HttpReply Reply;
  int Socket = connectTo(Ip, Port, TimeoutMs);
  if (Socket < 0)
    return Reply;
  std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: " + Ip + ":" +
                        std::to_string(Port) +
                        "\r\nContent-Type: application/json\r\nConnection: "
                        "close\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::string Received;
  auto Until = Clock::now() + Ms(TimeoutMs);
  if (sendAll(Socket, Request))
    while (Clock::now() < Until) {
      pollfd Wait{Socket, POLLIN, 0};
      if (poll(&Wait, 1, 50) <= 0)
        continue;
      char Bytes[65536];
      ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Count <= 0)
        break;
      Received.append(Bytes, static_cast<size_t>(Count));
      size_t End = Received.find("\r\n\r\n");
      if (End == std::string::npos)
        continue;
      auto Length = headerOf(Received.substr(0, End + 2), "Content-Length");
      if (Length && Received.size() >= End + 4 + std::stoul(*Length))
        break;
    }
  close(Socket);
  size_t End = Received.find("\r\n\r\n");
  if (End == std::string::npos || Received.compare(0, 5, "HTTP/") != 0)
    return Reply;
  Reply.Status = std::atoi(Received.c_str() + 9);
  Reply.Location =
      headerOf(Received.substr(0, End + 2), "Location").value_or("");
  Reply.Body = Received.substr(End + 4);
  return Reply;
}

static std::optional<std::string> jsonText(const std::string &Body,
                                           const std::string &Name) {
  size_t At = Body.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return std::nullopt;
  At = Body.find('"', Body.find(':', At));
  size_t End = Body.find('"', At + 1);
  return At == std::string::npos || End == std::string::npos
             ? std::nullopt
             : std::optional(Body.substr(At + 1, End - At - 1));
}

// Machines of the system.

struct Machine {
  std::string Name, Ip, Zone;
  bool HasDisk = false;
  bool ServesControl = false;
};
struct Ports {
  int Front = 0, Readiness = 0, Control = 0, First = 0, Database = 0,
      Cloud = 0;
};
static std::vector<Machine> gMachines;
static Ports gPorts;
static std::vector<std::string> gSeeds; // addresses of the machines
static fs::path gFolder; // temporary folder of the run
static std::mutex gChildrenMutex;
static std::map<std::string, pid_t> gChildren; // by "role machine"

static const char *kPlatformIp = "127.71.9.1";
static const char *kZones[] = {"reservoir-hall", "civic-annex", "pumpworks"};

// The machines of the site pcmu-stairclimb: 3 with a disk and 8 without.
static void layOutMachines() {
  for (int Zone = 0; Zone < 3; ++Zone)
    for (int Number = 1; Number <= (Zone == 2 ? 3 : 4); ++Number) {
      Machine Added;
      Added.Zone = kZones[Zone];
      Added.Name = "front-" + Added.Zone + "-" + std::to_string(Number);
      Added.Ip =
          "127.71." + std::to_string(Zone + 1) + "." + std::to_string(Number);
      Added.HasDisk = Number == 1;
      Added.ServesControl = Number <= 2; // count = 2 in each zone
      if (Added.HasDisk) // at first, one seed in each zone
        gSeeds.push_back(Added.Ip);
      gMachines.push_back(Added);
    }
}

static bool isFree(int Port) {
  std::vector<std::string> Ips{kPlatformIp};
  for (const Machine &Each : gMachines)
    Ips.push_back(Each.Ip);
  for (const std::string &Ip : Ips) {
    int Socket = listenOn(Ip, Port);
    if (Socket < 0)
      return false;
    close(Socket);
    int Datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = addressOf(Ip, Port);
    bool Bound = bind(Datagrams, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0;
    close(Datagrams);
    if (!Bound)
      return false;
  }
  return true;
}

static void choosePorts() {
  std::mt19937 Random(std::random_device{}());
  auto Range = [&](int Count) {
    for (int Try = 0; Try < 200; ++Try) {
      int First = 12000 + static_cast<int>(Random() % 18000);
      bool Free = true;
      for (int Port = First; Free && Port < First + Count; ++Port)
        Free = isFree(Port);
      if (Free)
        return First;
    }
    throw CannotRun("no free ports");
  };
  gPorts.First = Range(16);
  int Others = Range(5);
  gPorts.Front = Others;
  gPorts.Readiness = Others + 1;
  gPorts.Control = Others + 2;
  gPorts.Database = Others + 3;
  gPorts.Cloud = Others + 4;
}

static fs::path writeSettings(const Machine &On, const std::string &Role,
                              bool IsFirstStart) {
  fs::path Data = gFolder / "data" / On.Name / Role;
  fs::create_directories(Data);
  std::ostringstream Text;
  auto At = [&](int Port) { return On.Ip + ":" + std::to_string(Port); };
  Text << "node=" << On.Name << "\nrole=" << Role
       << "\nmachineClass=front\nserves="
       << (Role == "control" ? "control" : "front") << "\nip=" << On.Ip
       << "\nzone=" << On.Zone << "\nregion=prairie-west\n";
  for (const char *Zone : kZones)
    Text << "zones." << Zone << "=prairie-west\n";
  if (Role == "control")
    Text << "listen.control=" << At(gPorts.Control) << "\n";
  else
    Text << "listen.front=" << At(gPorts.Front)
         << "\nlisten.readiness=" << At(gPorts.Readiness) << "\n";
  Text << "internalPorts=" << gPorts.First << "," << gPorts.First + 15
       << "\nseeds=";
  for (size_t Index = 0; Index < gSeeds.size(); ++Index)
    Text << (Index == 0 ? "" : ",") << gSeeds[Index] << ":" << gPorts.Control;
  Text << "\nbootstrap=" << (IsFirstStart ? "true" : "false")
       << "\ninFailureBudget=" << (On.HasDisk ? "true" : "false")
       << "\nlimits.cpuShare=" << (On.HasDisk ? "0.45" : "0.25")
       << "\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4200\n"
          "limits.linkMbps=1000.0\n";
  if (On.HasDisk)
    Text << "limits.diskMb=64\ndataDir=" << Data.string() << "\n";
  Text << "discovery=registry\nentry=vip\nheartbeatMs=1200\n"
          "contracts=base,drain,config,cost,recover,sql,tenants,quota\n"
          "faultTolerance.machines=1\nfaultTolerance.zones=0\n"
          "faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
          "bounds.contactMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=4\n"
          "bounds.drainMs=7000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
          "bounds.configMs=3000\nbounds.downgradeMs=250\n"
          "bounds.maxSkewMs=12000\nbounds.strictRevoke=true\n"
          "bounds.revokeMs=5000\nbounds.quotaWindowS=5\n"
          "bounds.quotaOverage=0.1\nbounds.quotaSlack=20\nbounds.recoverS=12\n"
          "bounds.requireFence=true\nbounds.thawMs=300\nconfig_mode=highest\n"
       << "cloud.address=" << kPlatformIp << ":" << gPorts.Cloud
       << "\ncloud.ratePerS=50.0\ncloud.duties=promotion\n"
          "cloud.dutyPerS=50.0\n";
  fs::path Path = gFolder / (On.Name + "." + Role + ".conf");
  std::ofstream(Path) << Text.str();
  return Path;
}

// Starts a role with its command and environment of deploy/system.toml.
static void startRole(const Machine &On, const std::string &Role,
                      bool IsFirstStart) {
  fs::path Settings = writeSettings(On, Role, IsFirstStart);
  std::string Program = "target/almondpier-platform-" + Role;
  fs::path Log = gFolder / (On.Name + "." + Role + ".log");
  std::string NodeFile = "ALMONDPIER_NODE_FILE=" + Settings.string();
  pid_t Child = fork();
  if (Child < 0)
    throw CannotRun("fork failed");
  if (Child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(Output, 1);
    dup2(Output, 2);
    const char *Words[] = {Program.c_str(), nullptr};
    const char *Environment[] = {
        "PATH=/usr/bin:/bin", "LANG=C.UTF-8",
        "ALMONDPIER_FLEET_SECRET=example-fleet-secret-0001", NodeFile.c_str(),
        nullptr};
    execve(Program.c_str(), const_cast<char **>(Words),
           const_cast<char **>(Environment));
    _exit(127);
  }
  std::lock_guard Lock(gChildrenMutex);
  gChildren[Role + " " + On.Name] = Child;
}

static std::vector<std::string> rolesOf(const Machine &On) {
  return On.ServesControl ? std::vector<std::string>{"control", "proxy"}
                          : std::vector<std::string>{"proxy"};
}

// Kills all processes of the machines at the same moment. With LosesDisk their
// folders are emptied.
static void killMachines(const std::vector<const Machine *> &Machines,
                         bool LosesDisk) {
  std::vector<pid_t> Killed;
  {
    std::lock_guard Lock(gChildrenMutex);
    for (const Machine *Each : Machines)
      for (const std::string &Role : rolesOf(*Each)) {
        auto Found = gChildren.find(Role + " " + Each->Name);
        if (Found == gChildren.end())
          continue;
        kill(Found->second, SIGKILL);
        Killed.push_back(Found->second);
        gChildren.erase(Found);
      }
  }
  for (pid_t Child : Killed)
    waitpid(Child, nullptr, 0);
  for (const Machine *Each : Machines) {
    note("all processes on %s are killed%s", Each->Name.c_str(),
         LosesDisk ? ", its disk is lost" : "");
    if (LosesDisk)
      fs::remove_all(gFolder / "data" / Each->Name);
  }
}

static void startMachines(const std::vector<const Machine *> &Machines) {
  for (const Machine *Each : Machines) {
    note("the processes on %s start again", Each->Name.c_str());
    for (const std::string &Role : rolesOf(*Each))
      startRole(*Each, Role, false);
  }
}

// The settings files name other seeds; each process gets SIGHUP.
static void turnSeedsOver(std::vector<std::string> Seeds) {
  gSeeds = std::move(Seeds);
  std::string Names;
  for (const std::string &Seed : gSeeds)
    Names += " " + Seed;
  note("the settings files name the seeds%s", Names.c_str());
  for (const Machine &Each : gMachines)
    for (const std::string &Role : rolesOf(Each))
      writeSettings(Each, Role, false);
  std::lock_guard Lock(gChildrenMutex);
  for (auto &[Name, Child] : gChildren)
    kill(Child, SIGHUP);
}

static void endAllRoles() {
  std::lock_guard Lock(gChildrenMutex);
  for (auto &[Name, Child] : gChildren)
    kill(Child, SIGKILL);
  for (auto &[Name, Child] : gChildren)
    waitpid(Child, nullptr, 0);
  gChildren.clear();
}

// Returns the name of a role that has ended by itself.
static std::optional<std::string> endedRole() {
  std::lock_guard Lock(gChildrenMutex);
  for (auto &[Name, Child] : gChildren) {
    int Status = 0;
    if (waitpid(Child, &Status, WNOHANG) == Child) {
      std::string Ended = Name;
      note("%s ended by itself, status %d", Name.c_str(), Status);
      gChildren.erase(Name);
      return Ended;
    }
  }
  return std::nullopt;
}

// Database instances.

struct Position {
  uint64_t Term = 0, Number = 0;
  std::string text() const {
    return std::to_string(Term) + "." + std::to_string(Number);
  }
  auto operator<=>(const Position &) const = default;
};

struct Entry {
  Position At;
  std::string RequestId; // of the WRITE, or of the COMMIT
  std::vector<std::pair<std::string, std::string>> Writes;
  Clock::time_point CommittedAt;
};

struct Instance {
  std::string Id, Service, Ip, Zone;
  bool IsUp = false;
  bool IsPrimary = false;
  bool IsDraining = false;
  uint64_t Term = 1;       // newest term it knows
  uint64_t HeldTerm = 0;   // of PAUSE; 0: receives
  bool IsDeaf = false;     // receives nothing for a while
  uint64_t Leadership = 0; // counts the times that it gained or lost the lead
  std::vector<Entry> Log;  // what it has received
  int Busy = 0, Queued = 0, Connections = 0;
  uint64_t Sequence = 0, Born = 0;
  std::string BeatIp;
  std::set<int> Sockets;
  int Listener = -1;
  bool StatusIsSlow = false;

  Position received() const {
    return Log.empty() ? Position{1, 0} : Log.back().At;
  }
};

struct Group {
  std::vector<std::string> Services{"race-records-1"};
  int Slots = 3;
  int MaxConnections = 23;
  int Queue = 24;
  uint32_t SyncReplicas = 1;
  int PromoteMs = 1000;
  int CrossZoneMs = 1;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::shared_ptr<Instance>> Instances;
  // Commits whose acknowledgement a consumer has read, by request id.
  std::map<std::string, double> Acknowledged;
  std::vector<std::string> Lost;
  // Ids of the reads, writes and commits that reached an instance.
  std::set<std::string> Arrived;
  std::map<std::string, uint64_t> HighestFence; // by service
  uint64_t Promotions = 0;
  uint64_t Receipts = 0;
  // Called with the lock when a promotion has been ordered.
  std::function<void(Instance &)> OnPromotionOrdered;
  // Called with the lock when one takes place.
  std::function<void(Instance &)> OnPromoted;

  std::shared_ptr<Instance> primary(const std::string &Service) {
    for (auto &[Id, Each] : Instances)
      if (Each->IsUp && Each->IsPrimary && Each->Service == Service)
        return Each;
    return nullptr;
  }
  std::shared_ptr<Instance> primary() { return primary(Services.front()); }
};
static Group gGroup;
static std::vector<std::thread> gThreads;
static std::mutex gThreadsMutex;

static void startThread(std::function<void()> Run) {
  std::lock_guard Lock(gThreadsMutex);
  gThreads.emplace_back(std::move(Run));
}

// Replication: what the primary has committed reaches each replica that
// receives after the delay between their zones.
static void replicate() {
  while (!gStop) {
    {
      std::lock_guard Lock(gGroup.Mutex);
      bool Moved = false;
      for (const std::string &Service : gGroup.Services)
        for (auto &[Id, Replica] : gGroup.Instances) {
          auto Primary = gGroup.primary(Service);
          if (!Primary || Replica->Service != Service || !Replica->IsUp ||
              Replica->IsPrimary || Replica->IsDeaf || Replica->HeldTerm != 0)
            continue;
          Ms Delay(Replica->Zone == Primary->Zone ? 0 : gGroup.CrossZoneMs);
          while (Replica->Log.size() < Primary->Log.size()) {
            const Entry &Next = Primary->Log[Replica->Log.size()];
            if (Clock::now() < Next.CommittedAt + Delay)
              break;
            Replica->Log.push_back(Next);
            Moved = true;
          }
          Replica->Term = std::max(Replica->Term, Primary->Term);
        }
      if (Moved)
        gGroup.Changed.notify_all();
    }
    std::this_thread::sleep_for(std::chrono::microseconds(500));
  }
}

static bool isOnReplica(const Instance &Primary, const Position &At) {
  uint32_t Copies = 0;
  for (auto &[Id, Each] : gGroup.Instances)
    if (Each->IsUp && Id != Primary.Id && Each->Service == Primary.Service &&
        Each->received() >= At)
      ++Copies;
  return Copies >= gGroup.SyncReplicas;
}

struct Served {
  std::shared_ptr<Instance> On;
  int Socket = -1;
  char State = 'I';
  bool IsReadOnly = false;
  uint64_t Leadership = 0;
  std::vector<std::pair<std::string, std::string>> Writes;
  std::map<std::string, std::pair<bool, std::string>> Prepared;
};

static std::string readyLine(const Served &On, const Instance &Of) {
  return std::string("READY ") + On.State + " " + Of.received().text() +
         "\r\n";
}

static bool occupySlot(std::unique_lock<std::mutex> &Lock, Instance &Of) {
  if (Of.Busy >= gGroup.Slots && Of.Queued >= gGroup.Queue)
    return false;
  ++Of.Queued;
  gGroup.Changed.wait(Lock, [&] {
    return gStop || !Of.IsUp || Of.Busy < gGroup.Slots;
  });
  --Of.Queued;
  ++Of.Busy;
  return true;
}
static void freeSlot(Instance &Of) {
  --Of.Busy;
  gGroup.Changed.notify_all();
}
static void work(std::unique_lock<std::mutex> &Lock, int Milliseconds) {
  Lock.unlock();
  std::this_thread::sleep_for(Ms(Milliseconds));
  Lock.lock();
}

static std::string takeWord(std::string &Text) {
  size_t Blank = Text.find(' ');
  std::string Word = Text.substr(0, Blank);
  Text = Blank == std::string::npos ? "" : Text.substr(Blank + 1);
  return Word;
}

static std::optional<Position> parsePosition(const std::string &Text) {
  Position Parsed;
  if (std::sscanf(Text.c_str(), "%lu.%lu", &Parsed.Term, &Parsed.Number) != 2)
    return std::nullopt;
  return Parsed;
}

static std::string newReceipt() {
  return "r" + std::to_string(++gGroup.Receipts) + ".90e1c4d2a7b3f655";
}

// Waits until as many replicas as configured have received the commit. Returns
// nothing if the instance loses the lead before.
static bool awaitReplicas(std::unique_lock<std::mutex> &Lock, Instance &Of,
                          const Position &At, uint64_t Leadership) {
  gGroup.Changed.wait(Lock, [&] {
    return gStop || !Of.IsUp || Of.Leadership != Leadership ||
           isOnReplica(Of, At);
  });
  return !gStop && Of.IsUp && Of.Leadership == Leadership;
}

static std::optional<Position>
commitWrites(Instance &Of, const std::string &RequestId,
             std::vector<std::pair<std::string, std::string>> Writes) {
  Position At{Of.Term, Of.received().Number + 1};
  Of.Log.push_back(Entry{At, RequestId, std::move(Writes), Clock::now()});
  gGroup.Changed.notify_all();
  return At;
}

static std::string lookUp(const Instance &Of, const std::string &Item) {
  for (auto Each = Of.Log.rbegin(); Each != Of.Log.rend(); ++Each)
    for (auto &[Name, Data] : Each->Writes)
      if (Name == Item)
        return Data;
  return "none";
}

// Answers one statement. Returns nothing if the connection ends without an
// answer.
static std::optional<std::string> runStatement(Served &On, std::string Id,
                                               std::string Text) {
  std::unique_lock Lock(gGroup.Mutex);
  Instance &Of = *On.On;
  auto Fail = [&](const std::string &Code) {
    if (On.State == 'T')
      On.State = 'E';
    return "ERROR " + Code + " " + Of.Id + "\r\n" + readyLine(On, Of);
  };
  auto Done = [&](const std::string &Rows, const std::string &Receipt) {
    return Rows + "COMPLETE " + Receipt + "\r\n" + readyLine(On, Of);
  };
  std::optional<Position> After;
  std::string Word = takeWord(Text);
  if (Word == "AFTER") {
    After = parsePosition(takeWord(Text));
    Word = takeWord(Text);
  }
  if (Word == "STATUS" || Word == "PAUSE" || Word == "RESUME" ||
      Word == "DEMOTE") {
    if (Word == "STATUS" && Of.StatusIsSlow)
      work(Lock, 300);
    if (Word == "PAUSE") {
      uint64_t Term = std::strtoull(Text.c_str(), nullptr, 10);
      if (!Of.IsPrimary && Term > Of.Term)
        Of.HeldTerm = Term;
      note("%s: PAUSE %lu at term %lu, received %s: %s", Of.Id.c_str(), Term,
           Of.Term, Of.received().text().c_str(),
           Of.HeldTerm ? "receives nothing from now on" : "no effect");
    } else if (Word == "RESUME") {
      Of.HeldTerm = 0;
    } else if (Word == "DEMOTE") {
      uint64_t Term = std::strtoull(Text.c_str(), nullptr, 10);
      if (Of.IsPrimary && Term > Of.Term) {
        Of.IsPrimary = false;
        ++Of.Leadership;
      }
    } else {
      note("%s: STATUS: %s, term %lu, received %s", Of.Id.c_str(),
           Of.IsPrimary ? "primary" : "replica", Of.Term,
           Of.received().text().c_str());
    }
    char Row[200];
    std::snprintf(Row, sizeof(Row), "ROW %s %lu %s %lu 8 %d %d\r\n",
                  Of.IsPrimary ? "primary" : "replica", Of.Term,
                  Of.received().text().c_str(), Of.HeldTerm, Of.Busy,
                  Of.Connections);
    return Done(Row, "-");
  }
  if (On.State == 'E' && Word != "COMMIT" && Word != "ROLLBACK")
    return Fail("MALFORMED");
  if (Word == "BEGIN") {
    bool ReadOnly = Text == "READ";
    if (On.State != 'I')
      return Fail("MALFORMED");
    if (!ReadOnly && !Of.IsPrimary)
      return Fail("READONLY");
    if (After && Of.received() < *After)
      return Fail("LAGGING");
    On.State = 'T';
    On.IsReadOnly = ReadOnly;
    On.Leadership = Of.Leadership;
    On.Writes.clear();
    return Done("", "-");
  }
  if (Word == "ROLLBACK") {
    On.State = 'I';
    On.Writes.clear();
    return Done("", "-");
  }
  if (Word == "SET" || Word == "RESET" || Word == "DEALLOC")
    return Done("", "-");
  if (Word == "PREPARE") {
    std::string Name = takeWord(Text);
    bool IsWrite = takeWord(Text) == "WRITE";
    On.Prepared[Name] = {IsWrite, Text};
    return Done("", "-");
  }
  bool IsWrite = Word == "WRITE";
  if (Word == "EXECUTE") {
    auto Known = On.Prepared.find(takeWord(Text));
    if (Known == On.Prepared.end())
      return Fail("NOSTMT");
    IsWrite = Known->second.first;
  }
  bool IsPlain = On.State == 'T' && !On.IsReadOnly;
  auto HasLostLead = [&] {
    return (IsPlain && On.Leadership != Of.Leadership) ||
           (IsWrite && !Of.IsPrimary);
  };
  if (Word == "COMMIT") {
    if (On.State == 'E') {
      On.State = 'I';
      return Fail("ABORTED");
    }
    if (On.State != 'T')
      return Fail("MALFORMED");
  }
  gGroup.Arrived.insert(Id);
  if (!occupySlot(Lock, Of))
    return Fail("BUSY");
  // Reads of items named slow take the longest time of the site's standings.
  work(Lock, Word == "COMMIT" ? 2 : Text.compare(0, 4, "slow") == 0 ? 300 : 6);
  std::optional<std::string> Answer;
  if (gStop || !Of.IsUp) {
    Answer = std::nullopt;
  } else if (Word == "COMMIT") {
    if (On.Writes.empty()) {
      On.State = 'I';
      Answer = Done("", newReceipt());
    } else if (HasLostLead() || !Of.IsPrimary) {
      On.State = 'I';
      Answer = Fail("READONLY");
    } else {
      uint64_t Leadership = Of.Leadership;
      Position At = *commitWrites(Of, Id, std::move(On.Writes));
      On.Writes.clear();
      On.State = 'I';
      if (awaitReplicas(Lock, Of, At, Leadership))
        Answer = Done("", newReceipt());
    }
  } else if (HasLostLead()) {
    Answer = Fail("READONLY");
  } else if (After && Of.received() < *After) {
    Answer = Fail("LAGGING");
  } else if (!IsWrite) {
    Answer = Done("ROW " + lookUp(Of, takeWord(Text)) + "\r\n", newReceipt());
  } else {
    std::string Item = takeWord(Text);
    if (On.State == 'T') {
      On.Writes.emplace_back(Item, Text);
      Answer = Done("", newReceipt());
    } else {
      uint64_t Leadership = Of.Leadership;
      Position At = *commitWrites(Of, Id, {{Item, Text}});
      if (awaitReplicas(Lock, Of, At, Leadership))
        Answer = Done("", newReceipt());
    }
  }
  freeSlot(Of);
  return Answer;
}

static void serveConnection(std::shared_ptr<Instance> On, int Socket) {
  Served State;
  State.On = On;
  State.Socket = Socket;
  LineReader Reader{Socket, {}};
  std::optional<std::string> Line = Reader.line(5000);
  bool IsOpen = false;
  if (Line) {
    std::string Text = *Line;
    std::string Word = takeWord(Text), Service = takeWord(Text),
                Who = takeWord(Text), Expected = takeWord(Text);
    std::unique_lock Lock(gGroup.Mutex);
    std::string Refusal;
    if (Word != "STARTUP" || Service != On->Service ||
        (!Expected.empty() && Expected != On->Id))
      Refusal = "MISROUTED";
    else if (On->Connections >= gGroup.MaxConnections)
      Refusal = "TOOMANY";
    if (!Refusal.empty()) {
      Lock.unlock();
      sendAll(Socket, "ERROR " + Refusal + " " + On->Id + "\r\n");
    } else {
      ++On->Connections;
      if (occupySlot(Lock, *On)) {
        work(Lock, 12);
        freeSlot(*On);
        IsOpen = On->IsUp;
      }
      std::string Ready = readyLine(State, *On);
      Lock.unlock();
      if (IsOpen)
        IsOpen = sendAll(Socket, Ready);
      while (IsOpen) {
        bool TimedOut = false;
        Line = Reader.line(60000, &TimedOut);
        if (!Line)
          break;
        Text = *Line;
        if (takeWord(Text) != "QUERY")
          break;
        std::string Id = takeWord(Text);
        std::optional<std::string> Answer = runStatement(State, Id, Text);
        if (!Answer || !sendAll(Socket, *Answer))
          break;
      }
      Lock.lock();
      --On->Connections;
    }
  }
  std::lock_guard Lock(gGroup.Mutex);
  On->Sockets.erase(Socket);
  close(Socket);
}

static void acceptConnections(std::shared_ptr<Instance> On) {
  while (!gStop) {
    int Listener;
    {
      std::lock_guard Lock(gGroup.Mutex);
      Listener = On->Listener;
    }
    if (Listener < 0)
      return;
    pollfd Wait{Listener, POLLIN, 0};
    if (poll(&Wait, 1, 50) <= 0)
      continue;
    int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      continue;
    int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
    {
      std::lock_guard Lock(gGroup.Mutex);
      On->Sockets.insert(Socket);
    }
    startThread([On, Socket] { serveConnection(On, Socket); });
  }
}

static std::string randomControl() {
  static thread_local std::mt19937 Random(std::random_device{}());
  std::vector<std::string> Ips;
  for (const Machine &Each : gMachines)
    if (Each.ServesControl)
      Ips.push_back(Each.Ip);
  return Ips[Random() % Ips.size()];
}

// Sends one check-in and returns whether it was confirmed.
static bool checkIn(const std::shared_ptr<Instance> &Of) {
  std::ostringstream Body;
  std::string Ip;
  bool IsDraining = false;
  {
    std::lock_guard Lock(gGroup.Mutex);
    IsDraining = Of->IsDraining;
    Body << "{\"service\":\"" << Of->Service << "\",\"address\":\"" << Of->Ip
         << ":" << gPorts.Database << "\",\"zone\":\"" << Of->Zone
         << "\",\"version\":\"v1\",\"slots\":" << gGroup.Slots
         << ",\"state\":\"" << (IsDraining ? "draining" : "ready")
         << "\",\"warmupLeftMs\":0,\"dbRole\":\""
         << (Of->IsPrimary ? "primary" : "replica")
         << "\",\"born\":" << Of->Born << ",\"seq\":" << ++Of->Sequence << "}";
    Ip = Of->BeatIp;
  }
  for (int Try = 0; Try < 8 && !gStop; ++Try) {
    if (Ip.empty())
      Ip = randomControl();
    HttpReply Reply =
        httpCall(Ip, gPorts.Control, "POST",
                 "/-/Instances.Heartbeat/" + Of->Id, Body.str(), 1000);
    if (Reply.Status >= 200 && Reply.Status < 300) {
      std::string Next = jsonText(Reply.Body, "heartbeatAddr").value_or("");
      std::lock_guard Lock(gGroup.Mutex);
      Of->BeatIp = Next.empty() ? Ip : Next.substr(0, Next.find(':'));
      return true;
    }
    Ip.clear();
  }
  std::lock_guard Lock(gGroup.Mutex);
  Of->BeatIp.clear();
  return false;
}

static void sendCheckIns(std::shared_ptr<Instance> Of) {
  while (!gStop) {
    bool WasPrimary, WasDraining;
    {
      std::lock_guard Lock(gGroup.Mutex);
      if (!Of->IsUp)
        return;
      WasPrimary = Of->IsPrimary;
      WasDraining = Of->IsDraining;
    }
    checkIn(Of);
    std::unique_lock Lock(gGroup.Mutex);
    gGroup.Changed.wait_for(Lock, Ms(1200), [&] {
      return gStop || !Of->IsUp || Of->IsPrimary != WasPrimary ||
             Of->IsDraining != WasDraining;
    });
  }
}

static std::shared_ptr<Instance> startInstance(const std::string &Id,
                                               const std::string &Ip,
                                               const std::string &Zone,
                                               bool IsPrimary,
                                               size_t Service = 0) {
  auto Started = std::make_shared<Instance>();
  Started->Id = Id;
  Started->Service = gGroup.Services[Service];
  Started->Ip = Ip;
  Started->Zone = Zone;
  Started->IsUp = true;
  Started->IsPrimary = IsPrimary;
  Started->Born = static_cast<uint64_t>(
      std::chrono::duration_cast<Ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  Started->Listener = listenOn(Ip, gPorts.Database);
  if (Started->Listener < 0)
    throw CannotRun("cannot listen for an instance");
  {
    std::lock_guard Lock(gGroup.Mutex);
    gGroup.Instances[Id] = Started;
    note("instance %s starts in %s as %s", Id.c_str(), Zone.c_str(),
         IsPrimary ? "primary" : "replica");
  }
  startThread([Started] { acceptConnections(Started); });
  startThread([Started] { sendCheckIns(Started); });
  return Started;
}

static void stopInstance(const std::shared_ptr<Instance> &Of) {
  std::lock_guard Lock(gGroup.Mutex);
  Of->IsUp = false;
  if (Of->Listener >= 0)
    close(Of->Listener);
  Of->Listener = -1;
  for (int Socket : Of->Sockets)
    shutdown(Socket, SHUT_RDWR);
  gGroup.Changed.notify_all();
}

// A planned shutdown: says that it drains, serves on for drainMs after the
// confirmation, leaves and ends.
static void drainInstance(const std::shared_ptr<Instance> &Of) {
  {
    std::lock_guard Lock(gGroup.Mutex);
    note("instance %s (%s) drains", Of->Id.c_str(),
         Of->IsPrimary ? "primary" : "replica");
    Of->IsDraining = true;
    gGroup.Changed.notify_all();
  }
  startThread([Of] {
    pauseMs(7500);
    httpCall(randomControl(), gPorts.Control, "POST",
             "/-/Instances.Leave/" + Of->Id,
             "{\"born\":" + std::to_string(Of->Born) + "}", 1000);
    stopInstance(Of);
    note("instance %s has left", Of->Id.c_str());
  });
}

// The platform: POST /promote.

static void carryOutPromotion(const std::string &Id) {
  std::lock_guard Lock(gGroup.Mutex);
  auto Found = gGroup.Instances.find(Id);
  if (Found == gGroup.Instances.end() || !Found->second->IsUp)
    return;
  Instance &Chosen = *Found->second;
  uint64_t Term = 0;
  auto IsOther = [&](const Instance &Each) {
    return Each.Service != Chosen.Service;
  };
  for (auto &[Name, Each] : gGroup.Instances)
    if (!IsOther(*Each))
    Term = std::max({Term, Each->Term, Each->HeldTerm});
  ++Term;
  std::set<std::string> Held;
  for (const Entry &Each : Chosen.Log)
    Held.insert(Each.RequestId);
  size_t Lost = 0;
  for (auto &[RequestId, At] : gGroup.Acknowledged)
    if (!Held.contains(RequestId)) {
      ++Lost;
      if (std::find(gGroup.Lost.begin(), gGroup.Lost.end(), RequestId) ==
          gGroup.Lost.end()) {
        gGroup.Lost.push_back(RequestId);
        note("LOST: commit %s, acknowledged at %.1f ms, is not in the log of "
             "%s",
             RequestId.c_str(), At, Id.c_str());
      }
    }
  note("promotion: %s leads term %lu with what it received, up to %s; %zu "
       "acknowledged commits are not in its log",
       Id.c_str(), Term, Chosen.received().text().c_str(), Lost);
  for (auto &[Name, Each] : gGroup.Instances) {
    if (IsOther(*Each))
      continue;
    if (Each->IsPrimary && Name != Id) {
      Each->IsPrimary = false;
      ++Each->Leadership;
    }
    Each->HeldTerm = 0;
    Each->Term = std::max(Each->Term, Term);
    // Replicas that were ahead are rolled back.
    if (Name != Id && Each->Log.size() > Chosen.Log.size())
      Each->Log.resize(Chosen.Log.size());
  }
  Chosen.IsPrimary = true;
  ++Chosen.Leadership;
  ++gGroup.Promotions;
  if (gGroup.OnPromoted)
    gGroup.OnPromoted(Chosen);
  gGroup.Changed.notify_all();
}

static void serveCloudCall(int Socket) {
  std::string Received;
  size_t End = std::string::npos, Length = 0;
  auto Until = Clock::now() + Ms(3000);
  while (Clock::now() < Until && !gStop) {
    pollfd Wait{Socket, POLLIN, 0};
    if (poll(&Wait, 1, 50) <= 0)
      continue;
    char Bytes[8192];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      break;
    Received.append(Bytes, static_cast<size_t>(Count));
    End = Received.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    Length = std::stoul(
        headerOf(Received.substr(0, End + 2), "Content-Length").value_or("0"));
    if (Received.size() >= End + 4 + Length)
      break;
  }
  if (End != std::string::npos) {
    std::string Head = Received.substr(0, End + 2),
                Body = Received.substr(End + 4);
    uint64_t Fence = std::strtoull(
        headerOf(Head, "Fence-Token").value_or("0").c_str(), nullptr, 10);
    std::string Holder = headerOf(Head, "Duty-Holder").value_or("");
    std::string Id = jsonText(Body, "id").value_or("");
    int Status = 200;
    {
      std::lock_guard Lock(gGroup.Mutex);
      auto Found = gGroup.Instances.find(Id);
      uint64_t &Highest =
          gGroup.HighestFence[jsonText(Body, "service").value_or("")];
      if (Fence < Highest || Found == gGroup.Instances.end() ||
          !Found->second->IsUp)
        Status = 409;
      Highest = std::max(Highest, Fence);
      note("platform: promote %s by %s with fence %lu: %d", Id.c_str(),
           Holder.c_str(), Fence, Status);
      if (Status == 200 && !Found->second->IsPrimary) {
        if (gGroup.OnPromotionOrdered)
          gGroup.OnPromotionOrdered(*Found->second);
        startThread([Id] {
          pauseMs(gGroup.PromoteMs);
          if (!gStop)
            carryOutPromotion(Id);
        });
      }
    }
    sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                        (Status == 200 ? " OK" : " Conflict") +
                        "\r\nContent-Type: application/json\r\n"
                        "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
  }
  close(Socket);
}

static void servePlatform(int Listener) {
  while (!gStop) {
    pollfd Wait{Listener, POLLIN, 0};
    if (poll(&Wait, 1, 50) <= 0)
      continue;
    int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket >= 0)
      startThread([Socket] { serveCloudCall(Socket); });
  }
  close(Listener);
}

// The operator.

static std::string configuration(uint64_t Version) {
  std::ostringstream Text;
  // The databases of the first service are named standings, registration and
  // splittimes; those of the others have a number after that.
  size_t Number = 0;
  std::string Suffix;
  auto Route = [&](const char *Name, const char *Host, const char *Type,
                   int Timeout, int Slo, int Priority, int Staleness) {
    Text << "{\"name\":\"" << Name << Suffix << "\",\"host\":\"" << Host
         << Suffix << "\",\"pathPrefix\":\"/\",\"type\":\"" << Type
         << "\",\"timeoutMs\":" << Timeout << ",\"sloMs\":" << Slo
         << ",\"priority\":" << Priority << ",\"service\":\""
         << gGroup.Services[Number] << "\",\"maxAttempts\":2,";
    if (Staleness)
      Text << "\"maxStalenessMs\":" << Staleness << ",";
    Text << "\"allowAnonymous\":false}";
  };
  Text << "{\"version\":" << Version << ",\"routes\":[";
  for (; Number < gGroup.Services.size(); ++Number) {
    Suffix = Number == 0 ? "" : std::to_string(Number + 1);
    Text << (Number == 0 ? "" : ",");
    Route("r-standings", "standings", "bounded_staleness", 2000, 600, 2, 1500);
    Text << ",";
    Route("r-registration", "registration", "primary", 1000, 200, 1, 0);
    Text << ",";
    Route("r-split", "splittimes", "read_your_writes", 1000, 400, 2, 2500);
  }
  Text << "],\"services\":[";
  for (const std::string &Service : gGroup.Services)
    Text << (Service == gGroup.Services.front() ? "" : ",") << "{\"name\":\""
         << Service << "\",\"healthPath\":\"/health\",\"maxConns\":"
         << gGroup.MaxConnections
         << ",\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":"
         << gGroup.SyncReplicas << "}";
  Text << "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000}"
          ",\"tenants\":[{\"name\":\"races\",\"apiKeys\":[\"key-of-races\"],"
          "\"priority\":1,\"ratePerS\":130,\"burst\":130}]}";
  return Text.str();
}

// Reads the configuration at each control host in turn; returns how many
// answered 200.
static size_t readConfiguration() {
  size_t Answers = 0;
  for (const Machine &Each : gMachines) {
    if (!Each.ServesControl)
      continue;
    std::string Ip = Each.Ip;
    HttpReply Reply;
    for (int Hop = 0; Hop < 3; ++Hop) {
      Reply = httpCall(Ip, gPorts.Control, "GET", "/-/Config.Get", "", 1000);
      if (Reply.Status != 307)
        break;
      Ip = Reply.Location.substr(7, Reply.Location.find(':', 7) - 7);
    }
    note("read of the configuration at %s: %d %s", Each.Name.c_str(),
         Reply.Status, Reply.Body.substr(0, 14).c_str());
    Answers += Reply.Status == 200 ? 1 : 0;
  }
  return Answers;
}

static void putConfiguration(uint64_t Version) {
  std::string Body = configuration(Version);
  for (int Try = 0; Try < 120 && !gStop; ++Try) {
    std::string Ip = randomControl();
    int Port = gPorts.Control;
    for (int Hop = 0; Hop < 3; ++Hop) {
      HttpReply Reply =
          httpCall(Ip, Port, "POST", "/-/Config.Put", Body, 1000);
      if (Reply.Status == 200) {
        note("configuration version %lu is acknowledged", Version);
        return;
      }
      if (Reply.Status != 307)
        break;
      std::string Target = Reply.Location.substr(7);
      Ip = Target.substr(0, Target.find(':'));
      Port = std::atoi(Target.substr(Target.find(':') + 1).c_str());
    }
    pauseMs(250);
  }
  throw CannotRun("the configuration was not accepted");
}

// Consumers.

static std::atomic<uint64_t> gRequests{0}, gSuccesses{0};

struct Consumer {
  std::mt19937 Random{std::random_device{}()};
  int Socket = -1;
  LineReader Reader;
  std::string Host, Key;

  ~Consumer() { leave(); }
  void leave() {
    if (Socket >= 0)
      close(Socket);
    Socket = -1;
  }
  std::string newId() {
    char Text[32];
    std::snprintf(Text, sizeof(Text), "%08lx%08lx",
                  static_cast<unsigned long>(Random()),
                  static_cast<unsigned long>(Random()));
    return Text;
  }
  // Ip names the node; left out, any one is taken.
  bool open(std::string Ip = "") {
    if (Socket >= 0)
      return true;
    if (Ip.empty())
      Ip = gMachines[Random() % gMachines.size()].Ip;
    Socket = connectTo(Ip, gPorts.Front, 500);
    if (Socket < 0)
      return false;
    Reader = LineReader{Socket, {}};
    if (sendAll(Socket, "STARTUP " + Host + " " + Key + "\r\n")) {
      std::optional<std::string> Line = Reader.line(2000);
      if (Line && Line->compare(0, 6, "READY ") == 0)
        return true;
    }
    leave();
    return false;
  }
  struct Answer {
    bool IsWhole = false;
    std::string Error, Receipt;
    std::vector<std::string> Rows;
    char State = '?';
  };
  Answer query(const std::string &Id, const std::string &Text,
               int TimeoutMs = 3000) {
    Answer Result;
    ++gRequests;
    if (!sendAll(Socket, "QUERY " + Id + " " + Text + "\r\n")) {
      leave();
      return Result;
    }
    while (true) {
      std::optional<std::string> Line = Reader.line(TimeoutMs);
      if (!Line) {
        leave();
        return Result;
      }
      std::string Rest = *Line;
      std::string Word = takeWord(Rest);
      if (Word == "ROW")
        Result.Rows.push_back(Rest);
      else if (Word == "COMPLETE")
        Result.Receipt = Rest;
      else if (Word == "ERROR")
        Result.Error = takeWord(Rest);
      else if (Word == "READY") {
        Result.State = Rest.empty() ? '?' : Rest[0];
        Result.IsWhole = true;
        gSuccesses += Result.Error.empty() ? 1 : 0;
        return Result;
      }
    }
  }
};

// Writes single rows to the primary route, one after the other.
static void writeSteadily(int Number, int IntervalMs) {
  Consumer Self;
  Self.Host = "registration";
  Self.Key = "key-of-races";
  for (int Count = 0; !gStop; ++Count) {
    pauseMs(IntervalMs);
    if (gStop || !Self.open())
      continue;
    std::string Id = Self.newId();
    Consumer::Answer Answer =
        Self.query(Id, "WRITE item" + std::to_string(Number) + " data" +
                           std::to_string(Count));
    if (!Answer.IsWhole)
      note("write %s: no answer", Id.c_str());
    else if (!Answer.Error.empty())
      note("write %s: %s", Id.c_str(), Answer.Error.c_str());
    else {
      std::lock_guard Lock(gGroup.Mutex);
      gGroup.Acknowledged[Id] = nowMs();
      note("write %s: acknowledged with %s", Id.c_str(),
           Answer.Receipt.c_str());
    }
  }
}

// Operations of the consumers of useSteadily: when each began, whether it was
// served.
static std::mutex gOperationsMutex;
static std::vector<std::pair<double, bool>> gOperations;

// Reads on a route, one operation after the other, each with two retries at
// other nodes.
static void useSteadily(std::string Host, int IntervalMs) {
  Consumer Self;
  Self.Host = Host;
  Self.Key = "key-of-races";
  while (!gStop) {
    pauseMs(IntervalMs);
    double Begun = nowMs();
    bool IsServed = false;
    std::string Outcome = "no connection";
    for (int Try = 0; Try < 3 && !IsServed && !gStop; ++Try) {
      if (!Self.open())
        continue;
      Consumer::Answer Answer =
          Self.query(Self.newId(), "READ item" + std::to_string(Try), 2500);
      IsServed = Answer.IsWhole && Answer.Error.empty();
      Outcome = IsServed ? "served" : Answer.IsWhole ? Answer.Error : "cut";
      if (!IsServed)
        Self.leave();
    }
    if (gStop)
      return;
    note("read on %s, begun at %.1f ms: %s", Host.c_str(), Begun,
         Outcome.c_str());
    std::lock_guard Lock(gOperationsMutex);
    gOperations.emplace_back(Begun, IsServed);
  }
}

static std::pair<size_t, size_t> servedBetween(double From, double To) {
  std::lock_guard Lock(gOperationsMutex);
  std::pair<size_t, size_t> Result;
  for (auto &[Begun, IsServed] : gOperations)
    if (Begun >= From && Begun < To) {
      ++Result.second;
      Result.first += IsServed ? 1 : 0;
    }
  return Result;
}

// Course of a case.

static void startFleet() {
  layOutMachines();
  choosePorts();
  int Cloud = listenOn(kPlatformIp, gPorts.Cloud);
  if (Cloud < 0)
    throw CannotRun("cannot listen for the platform");
  startThread([Cloud] { servePlatform(Cloud); });
  for (const Machine &Each : gMachines) {
    if (Each.ServesControl)
      startRole(Each, "control", true);
    startRole(Each, "proxy", true);
  }
  startThread(replicate);
}

static void awaitReady() {
  for (int Try = 0; Try < 100; ++Try) {
    size_t Ready = 0;
    for (const Machine &Each : gMachines)
      Ready += httpCall(Each.Ip, gPorts.Readiness, "GET", "/-/ready", "", 500)
                           .Status == 200
                   ? 1
                   : 0;
    if (Ready == gMachines.size()) {
      note("all %zu proxies are ready", Ready);
      return;
    }
    pauseMs(200);
  }
  throw CannotRun("the proxies did not become ready");
}

static std::shared_ptr<Instance> awaitPrimary(uint64_t Promotions,
                                              int LimitMs) {
  for (int Waited = 0; Waited < LimitMs; Waited += 50) {
    {
      std::lock_guard Lock(gGroup.Mutex);
      if (gGroup.Promotions >= Promotions)
        return gGroup.primary();
    }
    pauseMs(50);
  }
  return nullptr;
}

static int judgeLost() {
  std::lock_guard Lock(gGroup.Mutex);
  note("result: %zu commits acknowledged, %lu promotions, %zu acknowledged "
       "commits lost",
       gGroup.Acknowledged.size(), gGroup.Promotions, gGroup.Lost.size());
  return gGroup.Lost.empty() ? 0 : 1;
}

static void startDatabase() {
  startInstance("i-a1", "127.71.5.1", kZones[0], true);
  startInstance("i-b1", "127.71.5.2", kZones[1], false);
  startInstance("i-c1", "127.71.5.3", kZones[2], false);
}

static void startWriters(int Count, int IntervalMs) {
  for (int Number = 0; Number < Count; ++Number)
    startThread([=] { writeSteadily(Number, IntervalMs); });
}

static void requireServed(size_t Least) {
  std::lock_guard Lock(gGroup.Mutex);
  if (gGroup.Acknowledged.size() < Least)
    throw CannotRun("too few writes were acknowledged before the disruption");
}

// A service with one synchronous replica is replaced instance by instance.
static int runRelease(const std::string &Trouble) {
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  startWriters(8, 150);
  pauseMs(4000);
  requireServed(50);
  // Without the disruption the primary alone is replaced.
  bool ReplicaLeaves = Trouble == "1";
  std::shared_ptr<Instance> A, C;
  {
    std::lock_guard Lock(gGroup.Mutex);
    A = gGroup.Instances.at("i-a1");
    C = gGroup.Instances.at("i-c1");
  }
  if (ReplicaLeaves) {
    startInstance("i-c2", "127.71.5.6", kZones[2], false);
    pauseMs(2000);
    drainInstance(C);
    pauseMs(1000);
  }
  startInstance("i-a2", "127.71.5.4", kZones[0], false);
  pauseMs(2000);
  drainInstance(A);
  if (!awaitPrimary(1, 15000))
    throw CannotRun("no instance was promoted");
  pauseMs(3000);
  return judgeLost();
}

// The primary of a service with one synchronous replica is replaced twice. In
// the second replacement, the replica that is to be promoted receives nothing
// for a while.
static int runSecondRelease(const std::string &Trouble) {
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  startWriters(8, 150);
  pauseMs(4000);
  requireServed(50);
  // Without the second replacement, replica_lag comes during the first one.
  uint64_t Rounds = Trouble == "1" ? 2 : 1;
  for (uint64_t Round = 1; Round <= Rounds; ++Round) {
    std::shared_ptr<Instance> Old;
    {
      std::lock_guard Lock(gGroup.Mutex);
      Old = gGroup.primary();
      if (Round == Rounds)
        gGroup.OnPromotionOrdered = [](Instance &Chosen) {
          note("replica %s receives nothing from now on (replica_lag)",
               Chosen.Id.c_str());
          Chosen.IsDeaf = true;
        };
      gGroup.OnPromoted = [](Instance &Chosen) { Chosen.IsDeaf = false; };
    }
    if (!Old)
      throw CannotRun("no primary");
    startInstance("i-n" + std::to_string(Round),
                  "127.71.5." + std::to_string(10 + Round), Old->Zone, false);
    pauseMs(2000);
    drainInstance(Old);
    if (!awaitPrimary(Round, 15000))
      throw CannotRun("no instance was promoted");
    // The old one leaves before the next replacement.
    pauseMs(9000);
  }
  return judgeLost();
}

// A service with one synchronous replica is replaced instance by instance. The
// replacement of the next one starts while the primary is being replaced.
static int runStartDuringRelease(const std::string &Trouble) {
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  startWriters(8, 150);
  pauseMs(4000);
  requireServed(50);
  std::shared_ptr<Instance> Old;
  {
    std::lock_guard Lock(gGroup.Mutex);
    Old = gGroup.Instances.at("i-a1");
  }
  startInstance("i-a2", "127.71.5.4", kZones[0], false);
  pauseMs(2000);
  drainInstance(Old);
  if (Trouble == "1") {
    pauseMs(300);
    startInstance("i-c2", "127.71.5.6", kZones[2], false);
  }
  if (!awaitPrimary(1, 15000))
    throw CannotRun("no instance was promoted");
  pauseMs(3000);
  return judgeLost();
}

// An instance of a service with one synchronous replica starts again under its
// id. A copy of the Leave of its earlier boot, which a partition had held up,
// arrives after that. Then the primary is replaced.
static int runLateLeave(const std::string &Trouble) {
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  startWriters(8, 150);
  pauseMs(4000);
  requireServed(50);
  std::shared_ptr<Instance> Primary, Replica;
  {
    std::lock_guard Lock(gGroup.Mutex);
    Primary = gGroup.Instances.at("i-a1");
    Replica = gGroup.Instances.at("i-c1");
  }
  uint64_t OldBoot = Replica->Born;
  drainInstance(Replica);
  pauseMs(9000);
  startInstance("i-c1", "127.71.5.3", kZones[2], false);
  pauseMs(1500);
  if (Trouble == "1") {
    std::string Body = "{\"born\":" + std::to_string(OldBoot) + "}";
    int Status = httpCall(randomControl(), gPorts.Control, "POST",
                          "/-/Instances.Leave/i-c1", Body, 1000)
                     .Status;
    note("the Leave of the earlier boot of i-c1 arrives: %d", Status);
  }
  pauseMs(2000);
  startInstance("i-a2", "127.71.5.4", kZones[0], false);
  pauseMs(2000);
  drainInstance(Primary);
  if (!awaitPrimary(1, 15000))
    throw CannotRun("no instance was promoted");
  pauseMs(3000);
  return judgeLost();
}

// The seeds are exchanged for the control hosts without a disk, which are
// then killed at once and start again. A machine loses its disk; later another
// one does, as the final fault. Without the disruption the seeds stay.
static int runTurnedSeeds(const std::string &Trouble) {
  gGroup.SyncReplicas = 0;
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  for (const char *Host : {"standings", "registration", "splittimes"})
    for (int Count = 0; Count < 4; ++Count)
      startThread([Host] { useSteadily(Host, 120); });
  startWriters(2, 150);
  pauseMs(4000);
  requireServed(10);
  std::vector<const Machine *> Durable, Relays;
  for (const Machine &Each : gMachines)
    if (Each.HasDisk)
      Durable.push_back(&Each);
    else if (Each.ServesControl)
      Relays.push_back(&Each);
  if (Trouble == "1") {
    std::vector<std::string> Seeds;
    for (const Machine *Each : Relays)
      Seeds.push_back(Each->Ip);
    turnSeedsOver(Seeds);
  }
  pauseMs(3000);
  killMachines(Relays, false);
  pauseMs(1000);
  startMachines(Relays);
  pauseMs(5000);
  killMachines({Durable[2]}, true);
  pauseMs(1000);
  startMachines({Durable[2]});
  // catchUpS is 4 s.
  pauseMs(12000);
  putConfiguration(2);
  double FinalFault = nowMs();
  killMachines({Durable[1]}, true);
  pauseMs(1000);
  startMachines({Durable[1]});
  double Back = nowMs();
  pauseMs(12000); // recoverS
  double Recovered = nowMs();
  pauseMs(8000);
  size_t Reads = 0;
  for (int Round = 0; Round < 3; ++Round) { // for more than contactMs
    Reads += readConfiguration();
    pauseMs(2000);
  }
  auto [ServedBefore, Before] = servedBetween(0, FinalFault);
  auto [ServedAfter, After] = servedBetween(Recovered, nowMs() - 8000);
  note("result: before the final fault %zu of %zu reads were served; of those "
       "begun later than 12 s after the machine was back (%.1f ms), %zu of "
       "%zu; %zu of 18 reads of the configuration were answered",
       ServedBefore, Before, Back, ServedAfter, After, Reads);
  if (After < 20 || ServedBefore * 4 < Before)
    throw CannotRun("too few operations to judge");
  bool HasRecovered = ServedAfter * 4 >= After;
  return HasRecovered && Reads > 0 ? 0 : 1;
}

// All processes of the system are killed, as the final fault. Then another
// writer checks in an instance that doesn't exist, at the address of a replica
// of each service.
static int runForeignCheckIn(const std::string &Trouble) {
  gGroup.SyncReplicas = 0;
  gGroup.Services = {"race-records-1", "race-records-2", "race-records-3"};
  startFleet();
  std::vector<std::string> Replicas;
  for (size_t Service = 0; Service < 3; ++Service)
    for (size_t Number = 0; Number < 3; ++Number) {
      std::string Id = "i-" + std::string(1, static_cast<char>('a' + Number)) +
                       std::to_string(Service + 1);
      std::string Ip = "127.71.5." + std::to_string(10 * Service + Number + 1);
      startInstance(Id, Ip, kZones[(Service + Number) % 3], Number == 0,
                    Service);
      if (Number == 1)
        Replicas.push_back(Ip);
    }
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  for (const char *Suffix : {"", "2", "3"})
    for (const char *Host : {"standings", "registration", "splittimes"}) {
      std::string Database = std::string(Host) + Suffix;
      for (int Count = 0; Count < 2; ++Count)
        startThread([=] { useSteadily(Database, 200); });
    }
  pauseMs(6000);
  std::vector<const Machine *> All;
  for (const Machine &Each : gMachines)
    All.push_back(&Each);
  double FinalFault = nowMs();
  killMachines(All, false);
  pauseMs(1000);
  startMachines(All);
  double Back = nowMs();
  pauseMs(3000);
  for (int Round = 1; nowMs() < Back + 30000; ++Round) {
    for (size_t Service = 0; Trouble == "1" && Service < 3; ++Service) {
      std::ostringstream Body;
      Body << "{\"service\":\"" << gGroup.Services[Service]
           << "\",\"address\":\"" << Replicas[Service] << ":"
           << gPorts.Database
           << "\",\"zone\":\"pumpworks\",\"version\":[\"v1\"],\"slots\":3,"
              "\"state\":\"ready\",\"warmupLeftMs\":0,\"dbRole\":\"primary\""
              ",\"born\":"
           << std::chrono::duration_cast<Ms>(
                  std::chrono::system_clock::now().time_since_epoch())
                      .count() -
                  Round * 1200
           << ",\"seq\":" << Round << "}";
      HttpReply Reply = httpCall(
          randomControl(), gPorts.Control, "POST",
          "/-/Instances.Heartbeat/i-x" + std::to_string(Service + 1),
          Body.str(), 1000);
      note("check-in of another writer %s: %d", Body.str().c_str(),
           Reply.Status);
    }
    pauseMs(1200);
  }
  auto [ServedBefore, Before] = servedBetween(0, FinalFault);
  auto [ServedAfter, After] = servedBetween(Back + 12000, nowMs() - 8000);
  note("result: before the final fault %zu of %zu reads were served; of those "
       "begun later than 12 s after the machines were back, %zu of %zu",
       ServedBefore, Before, ServedAfter, After);
  if (After < 20 || ServedBefore * 4 < Before)
    throw CannotRun("too few operations to judge");
  return ServedAfter * 4 >= After ? 0 : 1;
}

// Stops and starts the proxy of a machine while callers read at it in
// transactions with pauses of up to 1 ms.
static void stopOne(const Machine &Stopped, bool Stops,
                    std::atomic<int> &Answered, std::atomic<int> &Cut) {
  std::atomic<double> TermAt{0};
  std::vector<std::thread> Callers;
  for (int Number = 0; Number < 18; ++Number)
    Callers.emplace_back([&, Number] {
      Consumer Self;
      Self.Host = "standings";
      Self.Key = "key-of-races";
      if (!Self.open(Stopped.Ip))
        return;
      while (TermAt == 0)
        std::this_thread::sleep_for(Ms(1));
      double Start = TermAt + 1800 + 15 * Number;
      while (nowMs() < Start)
        std::this_thread::sleep_for(Ms(1));
      if (!Self.query(Self.newId(), "BEGIN READ").Error.empty())
        return;
      for (int Count = 1; Count <= 12; ++Count) {
        // The pause between statements.
        std::this_thread::sleep_for(
            std::chrono::microseconds(Self.Random() % 1000));
        std::string Id = Self.newId();
        double Sent = nowMs();
        Consumer::Answer Answer =
            Self.query(Id, "READ slow" + std::to_string(Number));
        double Took = nowMs() - Sent;
        if (Answer.IsWhole) {
          ++Answered;
          note("caller %d, read %d (%s) sent %.0f ms after SIGTERM: %s after "
               "%.0f ms",
               Number, Count, Id.c_str(), Sent - TermAt,
               Answer.Error.empty() ? "rows" : Answer.Error.c_str(), Took);
          if (!Answer.Error.empty())
            return;
          continue;
        }
        bool HasArrived;
        {
          std::lock_guard Lock(gGroup.Mutex);
          HasArrived = gGroup.Arrived.contains(Id);
        }
        // What was sent within 3 s, and was at work in the last sixth of
        // graceS, isn't counted.
        bool Counts = HasArrived && Sent - TermAt > 3000;
        Cut += Counts ? 1 : 0;
        note("%scaller %d, read %d (%s) sent %.0f ms after SIGTERM: the "
             "connection ended without an answer after %.0f ms; an instance "
             "%s",
             Counts ? "LOST: " : "", Number, Count, Id.c_str(), Sent - TermAt,
             Took, HasArrived ? "ran it" : "never got it");
        return;
      }
      Self.query(Self.newId(), "COMMIT");
    });
  pauseMs(500);
  if (Stops) {
    std::lock_guard Lock(gChildrenMutex);
    note("SIGTERM to the proxy on %s", Stopped.Name.c_str());
    kill(gChildren.at("proxy " + Stopped.Name), SIGTERM);
  }
  TermAt = nowMs();
  for (std::thread &Each : Callers)
    Each.join();
  if (!Stops)
    return;
  {
    std::lock_guard Lock(gChildrenMutex);
    pid_t Child = gChildren.at("proxy " + Stopped.Name);
    int Waited = 0;
    while (Waited++ < 300 && waitpid(Child, nullptr, WNOHANG) == 0)
      std::this_thread::sleep_for(Ms(10));
    gChildren.erase("proxy " + Stopped.Name);
  }
  startRole(Stopped, "proxy", false);
}

// The proxies of four machines are stopped and started in turn.
static int runStop(const std::string &Trouble) {
  gGroup.SyncReplicas = 0;
  startFleet();
  startDatabase();
  pauseMs(1500);
  putConfiguration(1);
  awaitReady();
  startWriters(4, 150);
  pauseMs(4000);
  requireServed(20);
  std::atomic<int> Answered{0}, Cut{0};
  for (size_t Index : {2, 3, 6, 7}) { // without a disk and without control
    stopOne(gMachines[Index], Trouble == "1", Answered, Cut);
    pauseMs(1500);
  }
  note("result: %d reads answered, %d that an instance had got were cut",
       Answered.load(), Cut.load());
  if (Answered < 48)
    throw CannotRun("too few reads to judge");
  return Cut == 0 ? 0 : 1;
}

struct Case {
  const char *Name;
  int (*Run)(const std::string &);
};
static const Case kCases[] = {{"release", runRelease},
                              {"second-release", runSecondRelease},
                              {"start-during-release", runStartDuringRelease},
                              {"late-leave", runLateLeave},
                              {"turned-seeds", runTurnedSeeds},
                              {"foreign-check-in", runForeignCheckIn},
                              {"stop", runStop}};

int main(int Count, char **Arguments) {
  if (Count != 4) {
    std::fprintf(stderr, "usage: fleet CASE RECORD TROUBLE\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  gRecord = std::fopen(Arguments[2], "w");
  std::string Temporary = fs::temp_directory_path() / "fleet-XXXXXX";
  if (!gRecord || !mkdtemp(Temporary.data())) {
    std::fprintf(stderr, "cannot write the record or a temporary folder\n");
    return 2;
  }
  gFolder = Temporary;
  note("case %s, TROUBLE=%s", Arguments[1], Arguments[3]);
  int Result = 2;
  try {
    for (const Case &Each : kCases)
      if (Each.Name == std::string(Arguments[1]))
        Result = Each.Run(Arguments[3]);
  } catch (const std::exception &Failure) {
    note("the case could not run: %s", Failure.what());
    Result = 2;
  }
  while (endedRole())
    Result = Result == 0 ? 2 : Result;
  gStop = true;
  gGroup.Changed.notify_all();
  endAllRoles();
  while (true) {
    std::vector<std::thread> Threads;
    {
      std::lock_guard Lock(gThreadsMutex);
      Threads.swap(gThreads);
    }
    if (Threads.empty())
      break;
    gGroup.Changed.notify_all();
    for (std::thread &Each : Threads)
      Each.join();
  }
  note("exit %d", Result);
  std::printf("%s: exit %d\n", Arguments[1], Result);
  if (!std::getenv("KEEP"))
    fs::remove_all(gFolder);
  else
    std::printf("kept %s\n", gFolder.c_str());
  return Result;
}
