// Starts the processes of a small deployment with the commands of the deploy
// file, starts again those that end by themselves, and ends them all.
#pragma once

#include "net.hh"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

struct Program {
  std::string m_Name;
  std::vector<std::string> m_Command;
  std::vector<std::string> m_Environment;
};

struct Node {
  std::string m_Name;
  std::string m_Ip;
  std::string m_Zone;
  bool m_HasDisk = false;
  bool m_IsControl = false;
};

// One process of a node.
struct Process {
  const Node *m_Node = nullptr;
  const Program *m_Program = nullptr;
  std::string m_Settings;
  std::string m_Log;
  pid_t m_Pid = -1;
  int m_OwnEnds = 0;
  bool m_MayEnd = false;
  Clock::time_point m_RestartAt;
};

struct FleetSettings {
  std::string m_Folder;
  std::string m_Network; // first two numbers of all addresses
  int m_FrontPort = 0;
  int m_ReadyPort = 0;
  int m_ControlPort = 0;
  int m_FirstInternalPort = 0;
  Address m_Platform;
};

class Fleet {
public:
  Fleet(Record &To, FleetSettings Settings, Program Proxy, Program Control)
      : m_Record(To), m_Settings(std::move(Settings)),
        m_Proxy(std::move(Proxy)), m_Control(std::move(Control)) {
    // The machines of the smaller deployment of SYSTEM.md: 11 in 3 zones, the
    // first of each zone with a disk, the first two with the control role.
    const std::vector<std::pair<std::string, int>> Zones{
        {"reservoir-hall", 4}, {"civic-annex", 4}, {"pumpworks", 3}};
    int Zone = 0;
    for (const auto &[Name, Count] : Zones) {
      ++Zone;
      for (int Number = 1; Number <= Count; ++Number)
        m_Nodes.push_back(Node{"front-" + Name + "-" + std::to_string(Number),
                               m_Settings.m_Network + "." +
                                   std::to_string(Zone) + "." +
                                   std::to_string(Number),
                               Name, Number == 1, Number <= 2});
    }
  }
  ~Fleet() { stop(); }

  const std::vector<Node> &nodes() const { return m_Nodes; }
  std::vector<Address> controlAddresses() const {
    std::vector<Address> Result;
    for (const Node &Entry : m_Nodes)
      if (Entry.m_IsControl && Entry.m_HasDisk)
        Result.push_back({Entry.m_Ip, m_Settings.m_ControlPort});
    return Result;
  }
  Address front(size_t Index) const {
    return {m_Nodes[Index].m_Ip, m_Settings.m_FrontPort};
  }
  Address readiness(size_t Index) const {
    return {m_Nodes[Index].m_Ip, m_Settings.m_ReadyPort};
  }

  bool start() {
    for (const Node &Entry : m_Nodes) {
      addProcess(Entry, m_Proxy, "proxy");
      if (Entry.m_IsControl)
        addProcess(Entry, m_Control, "control");
    }
    for (std::unique_ptr<Process> &Entry : m_Processes)
      if (!launch(*Entry, true))
        return false;
    m_Watcher = std::thread([this] { watch(); });
    return true;
  }
  // Whether all proxies answer their readiness probe.
  bool waitUntilReady(int TimeoutMs) {
    Clock::time_point Until =
        Clock::now() + std::chrono::milliseconds(TimeoutMs);
    constexpr int kProbeMs = 500;
    while (Clock::now() < Until) {
      size_t Ready = 0;
      for (size_t Index = 0; Index < m_Nodes.size(); ++Index) {
        std::optional<HttpMessage> Answer =
            callHttp(readiness(Index), "GET", "/-/ready", "", kProbeMs);
        Ready += Answer && Answer->status() == 200 ? 1 : 0;
      }
      if (Ready == m_Nodes.size())
        return true;
      sleepMs(100);
    }
    return false;
  }
  // Processes that ended by themselves, by node and program.
  std::vector<std::pair<std::string, int>> ownEnds() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    std::vector<std::pair<std::string, int>> Result;
    for (const std::unique_ptr<Process> &Entry : m_Processes)
      if (Entry->m_OwnEnds > 0)
        Result.emplace_back(Entry->m_Node->m_Name + " " +
                                Entry->m_Program->m_Name,
                            Entry->m_OwnEnds);
    return Result;
  }
  void stop() {
    if (m_IsStopping.exchange(true))
      return;
    if (m_Watcher.joinable())
      m_Watcher.join();
    for (std::unique_ptr<Process> &Entry : m_Processes)
      if (Entry->m_Pid > 0) {
        ::kill(Entry->m_Pid, SIGKILL);
        ::waitpid(Entry->m_Pid, nullptr, 0);
        Entry->m_Pid = -1;
      }
  }

private:
  void addProcess(const Node &At, const Program &What,
                  const std::string &Role) {
    m_Processes.push_back(std::make_unique<Process>());
    Process &Added = *m_Processes.back();
    Added.m_Node = &At;
    Added.m_Program = &What;
    Added.m_Settings =
        m_Settings.m_Folder + "/" + At.m_Name + "." + Role + ".conf";
    Added.m_Log = m_Settings.m_Folder + "/" + At.m_Name + "." + Role + ".log";
  }

  void writeSettings(const Process &Of, bool IsFirstStart) {
    const Node &At = *Of.m_Node;
    std::ofstream File(Of.m_Settings);
    std::string Role = Of.m_Program->m_Name;
    std::string Seeds;
    for (const Address &Seed : controlAddresses())
      Seeds += (Seeds.empty() ? "" : ",") + Seed.text();
    File << "node=" << At.m_Name << "\nrole=" << Role
         << "\nmachineClass=front\nserves="
         << (Role == "proxy" ? "front" : "control") << "\nip=" << At.m_Ip
         << "\nzone=" << At.m_Zone
         << "\nregion=prairie-west\nzones.reservoir-hall=prairie-west"
         << "\nzones.civic-annex=prairie-west\nzones.pumpworks=prairie-west\n";
    if (Role == "proxy")
      File << "listen.front=" << At.m_Ip << ":" << m_Settings.m_FrontPort
           << "\nlisten.readiness=" << At.m_Ip << ":" << m_Settings.m_ReadyPort
           << "\n";
    else
      File << "listen.control=" << At.m_Ip << ":" << m_Settings.m_ControlPort
           << "\n";
    File << "internalPorts=" << m_Settings.m_FirstInternalPort << ","
         << m_Settings.m_FirstInternalPort + 15 << "\nseeds=" << Seeds
         << "\nbootstrap=" << (IsFirstStart ? "true" : "false")
         << "\ninFailureBudget=" << (At.m_HasDisk ? "true" : "false")
         << "\nlimits.cpuShare=" << (At.m_HasDisk ? "0.45" : "0.25")
         << "\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4200"
         << "\nlimits.linkMbps=1000.0\n";
    if (At.m_HasDisk)
      File << "limits.diskMb=64\ndataDir=" << m_Settings.m_Folder << "/data-"
           << At.m_Name << "-" << Role << "\n";
    File << "discovery=registry\nentry=vip\nheartbeatMs=1200\n"
            "contracts=base,drain,config,cost,recover,sql,tenants,quota\n"
            "faultTolerance.machines=1\nfaultTolerance.zones=0\n"
            "faultTolerance.regions=0\nbounds.seedLagS=3\n"
            "bounds.reuseAfterS=2\nbounds.contactMs=4000\n"
            "bounds.ackMs=5000\nbounds.catchUpS=4\nbounds.drainMs=7000\n"
            "bounds.graceS=6\nbounds.lossSlackMs=200\n"
            "bounds.configMs=3000\nbounds.downgradeMs=250\n"
            "bounds.maxSkewMs=12000\nbounds.strictRevoke=true\n"
            "bounds.revokeMs=5000\nbounds.quotaWindowS=5\n"
            "bounds.quotaOverage=0.1\nbounds.quotaSlack=20\n"
            "bounds.recoverS=12\nbounds.requireFence=true\n"
            "bounds.thawMs=300\nconfig_mode=highest\ncloud.address="
         << m_Settings.m_Platform.text()
         << "\ncloud.ratePerS=50.0\ncloud.duties=promotion\n"
            "cloud.dutyPerS=50.0\n";
  }

  bool launch(Process &Started, bool IsFirstStart) {
    writeSettings(Started, IsFirstStart);
    if (Started.m_Node->m_HasDisk)
      ::mkdir((m_Settings.m_Folder + "/data-" + Started.m_Node->m_Name + "-" +
               Started.m_Program->m_Name)
                  .c_str(),
              0700);
    std::vector<std::string> Environment = Started.m_Program->m_Environment;
    Environment.push_back("ALMONDPIER_NODE_FILE=" + Started.m_Settings);
    Environment.push_back("PATH=/usr/bin:/bin");
    std::vector<char *> Arguments;
    std::vector<char *> Variables;
    for (const std::string &Word : Started.m_Program->m_Command)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    for (const std::string &Variable : Environment)
      Variables.push_back(const_cast<char *>(Variable.c_str()));
    Arguments.push_back(nullptr);
    Variables.push_back(nullptr);
    int Output = ::open(Started.m_Log.c_str(),
                        O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_t Parent = ::getpid();
    pid_t Child = ::fork();
    if (Child == 0) {
      // Ends with this program, also when that is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(127);
      ::dup2(Output, STDOUT_FILENO);
      ::dup2(Output, STDERR_FILENO);
      ::execve(Arguments[0], Arguments.data(), Variables.data());
      ::_exit(127);
    }
    ::close(Output);
    Started.m_Pid = Child;
    return Child > 0;
  }

  // The parent-death signal is bound to the thread that forks, so this thread
  // lives as long as the fleet.
  void watch() {
    constexpr int kRestartMs = 300;
    while (!m_IsStopping) {
      sleepMs(10);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      for (std::unique_ptr<Process> &Entry : m_Processes) {
        int Status = 0;
        if (Entry->m_Pid > 0 &&
            ::waitpid(Entry->m_Pid, &Status, WNOHANG) == Entry->m_Pid) {
          Entry->m_Pid = -1;
          ++Entry->m_OwnEnds;
          Entry->m_RestartAt =
              Clock::now() + std::chrono::milliseconds(kRestartMs);
          m_Record.line(
              Entry->m_Node->m_Name + " " + Entry->m_Program->m_Name,
              "ended by itself with " +
                  (WIFSIGNALED(Status)
                       ? "signal " + std::to_string(WTERMSIG(Status))
                       : "exit code " + std::to_string(WEXITSTATUS(Status))) +
                  "; last line: " + lastLine(Entry->m_Log));
        }
        if (Entry->m_Pid < 0 && Clock::now() >= Entry->m_RestartAt)
          launch(*Entry, false);
      }
    }
  }

  static std::string lastLine(const std::string &Path) {
    std::ifstream File(Path);
    std::string Line, Last;
    while (std::getline(File, Line))
      if (!Line.empty())
        Last = Line;
    return Last;
  }

  Record &m_Record;
  FleetSettings m_Settings;
  Program m_Proxy;
  Program m_Control;
  std::vector<Node> m_Nodes;
  std::mutex m_Mutex;
  std::vector<std::unique_ptr<Process>> m_Processes;
  std::thread m_Watcher;
  std::atomic<bool> m_IsStopping = false;
};
