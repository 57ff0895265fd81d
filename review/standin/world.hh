// A small deployment with its databases, platform, operator and callers.
#pragma once

#include "fleet.hh"
#include "instances.hh"

#include <random>

struct Reply {
  // The connection ended, or no complete answer came in time.
  bool m_IsBroken = false;
  std::string m_Error;
  std::string m_Receipt;
  std::vector<std::string> m_Rows;
  std::string m_State;
  bool isSuccess() const { return !m_IsBroken && m_Error.empty(); }
  std::string text() const {
    if (m_IsBroken)
      return "no answer, the connection ended";
    std::string Rows;
    for (const std::string &Row : m_Rows)
      Rows += " ROW " + Row;
    return (m_Error.empty() ? "COMPLETE " + m_Receipt + Rows
                            : "ERROR " + m_Error) +
           ", READY " + m_State;
  }
};

// A session of a caller.
class Session {
public:
  Session(Record &To, std::string Name, const Address &Front)
      : m_Record(To), m_Name(std::move(Name)),
        m_Stream(connectTo(Front, 1'000)) {}

  bool open(const std::string &Database, const std::string &Key) {
    m_Record.line(m_Name, "sends STARTUP " + Database + " <key>");
    if (!m_Stream.send("STARTUP " + Database + " " + Key + "\r\n"))
      return false;
    constexpr int kOpenMs = 2'000;
    std::optional<std::string> Line = m_Stream.readLine(kOpenMs);
    m_Record.line(m_Name, Line ? "gets " + *Line : "gets no answer");
    return Line && Line->starts_with("READY I");
  }
  void send(const std::string &Id, const std::string &Text) {
    m_Record.line(m_Name, "sends " + Id + " " + Text);
    m_Stream.send("QUERY " + Id + " " + Text + "\r\n");
  }
  Reply receive(int TimeoutMs = 3'000) {
    Reply Result;
    while (true) {
      std::optional<std::string> Line = m_Stream.readLine(TimeoutMs);
      if (!Line) {
        Result.m_IsBroken = true;
        break;
      }
      if (Line->starts_with("ROW ")) {
        Result.m_Rows.push_back(Line->substr(4));
      } else if (Line->starts_with("COMPLETE ")) {
        Result.m_Receipt = Line->substr(9);
      } else if (Line->starts_with("ERROR ")) {
        Result.m_Error = Line->substr(6);
      } else if (Line->starts_with("READY ")) {
        Result.m_State = Line->substr(6, 1);
        break;
      }
    }
    m_Record.line(m_Name, "gets " + Result.text());
    return Result;
  }
  Reply query(const std::string &Id, const std::string &Text,
              int TimeoutMs = 3'000) {
    send(Id, Text);
    return receive(TimeoutMs);
  }
  void leave() {
    m_Record.line(m_Name, "closes its connection");
    m_Stream.close();
  }
  bool isOpen() const { return m_Stream.isOpen(); }

private:
  Record &m_Record;
  std::string m_Name;
  Stream m_Stream;
};

struct Route {
  std::string m_Database;
  std::string m_Type;
  std::string m_Service;
  int m_MaxStalenessMs = 0;
  int m_TimeoutMs = 1'000;
  int m_TargetMs = 200;
};

struct Tenant {
  std::string m_Name;
  std::vector<std::string> m_Keys;
};

inline std::string makeConfiguration(int Version,
                                     const std::vector<Route> &Routes,
                                     const std::vector<std::string> &Services,
                                     const std::vector<Tenant> &Tenants,
                                     int SyncReplicas) {
  std::string Text =
      "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  auto Separate = [&Text] {
    if (Text.back() != '[')
      Text += ",";
  };
  for (const Route &Entry : Routes) {
    Separate();
    Text += "{\"name\":\"r-" + Entry.m_Database + "\",\"host\":\"" +
            Entry.m_Database + "\",\"pathPrefix\":\"/\",\"type\":\"" +
            Entry.m_Type +
            "\",\"timeoutMs\":" + std::to_string(Entry.m_TimeoutMs) +
            ",\"sloMs\":" + std::to_string(Entry.m_TargetMs) +
            ",\"priority\":1,\"service\":\"" + Entry.m_Service +
            "\",\"maxAttempts\":2,\"allowAnonymous\":false" +
            (Entry.m_Type == "primary"
                 ? std::string()
                 : ",\"maxStalenessMs\":" +
                       std::to_string(Entry.m_MaxStalenessMs)) +
            "}";
  }
  Text += "],\"services\":[";
  for (const std::string &Service : Services) {
    Separate();
    Text += "{\"name\":\"" + Service +
            "\",\"healthPath\":\"/"
            "health\",\"maxConns\":23,\"protocol\":\"h1\",\"tls\":false,"
            "\"syncReplicas\":" +
            std::to_string(SyncReplicas) + "}";
  }
  Text += "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"txIdleMs\":3000},"
          "\"tenants\":[";
  for (const Tenant &Entry : Tenants) {
    Separate();
    Text += "{\"name\":\"" + Entry.m_Name + "\",\"apiKeys\":[";
    for (const std::string &Key : Entry.m_Keys) {
      Separate();
      Text += "\"" + Key + "\"";
    }
    Text += "],\"priority\":1,\"ratePerS\":117,\"burst\":117}";
  }
  return Text + "]}";
}

class World {
public:
  World(Record &To, std::string Root, std::string Folder,
        ServiceSettings Settings)
      : m_Record(To), m_Folder(std::move(Folder)) {
    if (::chdir(Root.c_str()) != 0)
      m_Problem = "the repository is not there";
    std::random_device Random;
    constexpr int kTries = 20;
    for (int Try = 0; Try < kTries && !choosePorts(Random); ++Try) {
    }
    m_Services = {"huvo11a", "kafi81c", "wuno96b"};
    const std::vector<std::string> Zones{"reservoir-hall", "civic-annex",
                                         "pumpworks"};
    int Subnet = 100;
    for (const std::string &Service : m_Services) {
      ++Subnet;
      m_Databases.push_back(
          std::make_unique<Database>(m_Record, Service, Settings));
      for (int Number = 1; Number <= 3; ++Number)
        m_Databases.back()->add("i-" + Service + "-" + std::to_string(Number),
                                Zones[static_cast<size_t>(Number - 1)],
                                {m_Fleet.m_Network + "." +
                                     std::to_string(Subnet) + "." +
                                     std::to_string(Number),
                                 m_InstancePort});
    }
    m_Routes = {{"lepu270", "primary", "huvo11a", 0, 1'000, 200},
                {"xapu221", "bounded_staleness", "huvo11a", 1'500, 2'000, 600},
                {"fiti832", "read_your_writes", "huvo11a", 2'500, 1'000, 400},
                {"qode114", "primary", "kafi81c", 0, 1'000, 200},
                {"ruma377", "bounded_staleness", "kafi81c", 1'500, 2'000, 600},
                {"beto901", "primary", "kafi81c", 0, 1'000, 200}};
    m_Tenants = {{"nypu920", {"u6wsjnbanfqasnmgkcuy", "j8pjbvk9m68k7b2ex5wa"}},
                 {"tofi355", {"c4mwq7zt2rk9xd5hvn8p", "r8tq2vwm5zk7xn3jd6ph"}},
                 {"selo148", {"f2kd8vbn6yq3wj7xtm4z"}}};
  }

  // Starts everything and waits until all proxies are ready and a write and a
  // read of every route were served. Returns false when that fails.
  bool start() {
    std::vector<Database *> All;
    for (std::unique_ptr<Database> &Entry : m_Databases) {
      All.push_back(Entry.get());
      if (!Entry->start())
        return fail("a stand-in instance cannot listen");
    }
    m_Platform = std::make_unique<Platform>(m_Record, All);
    if (!m_Platform->start(m_Fleet.m_Platform))
      return fail("the stand-in platform cannot listen");
    std::optional<Program> Proxy = readProgram("proxy");
    std::optional<Program> Control = readProgram("control");
    if (!Proxy || !Control)
      return fail("deploy/system.toml names no program that is built");
    m_Processes = std::make_unique<Fleet>(m_Record, m_Fleet, *Proxy, *Control);
    if (!m_Processes->start())
      return fail("a process cannot be started");
    if (!install(1))
      return fail("the first configuration was not acknowledged");
    for (std::unique_ptr<Database> &Entry : m_Databases)
      for (std::unique_ptr<Instance> &Member : Entry->instances())
        m_CheckIns.emplace_back([this, &Entry, &Member] {
          checkIn(*Entry, *Member, m_Processes->controlAddresses(), m_Stop);
        });
    constexpr int kReadyMs = 20'000;
    if (!m_Processes->waitUntilReady(kReadyMs))
      return fail("the proxies are not ready");
    return warmUp();
  }
  void stop() {
    m_Stop = true;
    for (std::thread &Thread : m_CheckIns)
      Thread.join();
    m_CheckIns.clear();
    if (m_Processes)
      m_Processes->stop();
  }

  // Sends the configuration until it is acknowledged.
  bool install(int Version) {
    std::string Text = makeConfiguration(Version, m_Routes, m_Services,
                                         m_Tenants, m_SyncReplicas);
    constexpr int kTries = 40;
    for (int Try = 0; Try < kTries; ++Try) {
      const std::vector<Address> Control = m_Processes->controlAddresses();
      std::optional<HttpMessage> Answer =
          callControl(Control[static_cast<size_t>(Try) % Control.size()],
                      "POST", "/-/Config.Put", Text, 1'000);
      if (Answer && Answer->status() == 200) {
        m_Record.line("operator", "configuration " + std::to_string(Version) +
                                      " is acknowledged: " + Text);
        return true;
      }
      sleepMs(250);
    }
    return false;
  }

  std::string nextId() {
    char Text[32];
    std::snprintf(Text, sizeof(Text), "5c0e%012llx",
                  static_cast<unsigned long long>(++m_LastId));
    return Text;
  }

  const std::string &problem() const { return m_Problem; }
  Fleet &fleet() { return *m_Processes; }
  Database &database(size_t Index) { return *m_Databases[Index]; }
  std::vector<Address> control() const {
    return m_Processes->controlAddresses();
  }

  std::vector<std::string> m_Services;
  std::vector<Route> m_Routes;
  std::vector<Tenant> m_Tenants;
  int m_SyncReplicas = 0;

private:
  bool fail(const std::string &Problem) {
    m_Problem = Problem;
    return false;
  }

  bool choosePorts(std::random_device &Random) {
    m_Fleet.m_Folder = m_Folder;
    m_Fleet.m_Network = "127." + std::to_string(20 + Random() % 200);
    int Base = 20'000 + static_cast<int>(Random() % 10'000);
    m_Fleet.m_FrontPort = Base;
    m_Fleet.m_ReadyPort = Base + 1;
    m_Fleet.m_ControlPort = Base + 2;
    m_InstancePort = Base + 3;
    m_Fleet.m_Platform = {m_Fleet.m_Network + ".200.2", Base + 4};
    m_Fleet.m_FirstInternalPort = Base + 10;
    for (int Port = Base; Port < Base + 26; ++Port) {
      int Socket = listenOn({m_Fleet.m_Network + ".1.1", Port});
      if (Socket < 0)
        return false;
      ::close(Socket);
    }
    return true;
  }

  // Reads the command and the environment of a role from the deploy file.
  static std::optional<Program> readProgram(const std::string &Role) {
    std::ifstream File("deploy/system.toml");
    std::string Line;
    bool IsInRole = false;
    Program Result;
    Result.m_Name = Role;
    while (std::getline(File, Line)) {
      if (Line.starts_with("["))
        IsInRole = Line == "[roles." + Role + "]";
      if (!IsInRole)
        continue;
      if (Line.starts_with("run = ")) {
        std::istringstream Words(Line.substr(7, Line.rfind('"') - 7));
        for (std::string Word; Words >> Word;)
          Result.m_Command.push_back(Word);
      }
      if (Line.starts_with("env = ")) {
        size_t Equals = Line.find('=', 6);
        size_t First = Line.find('"', Equals) + 1;
        std::istringstream Name(Line.substr(Line.find('{') + 1));
        std::string Variable;
        Name >> Variable;
        Result.m_Environment.push_back(
            Variable + "=" + Line.substr(First, Line.find('"', First) - First));
      }
    }
    if (Result.m_Command.empty() ||
        ::access(Result.m_Command.front().c_str(), X_OK) != 0)
      return std::nullopt;
    return Result;
  }

  bool warmUp() {
    constexpr int kTries = 40;
    for (const Route &Entry : m_Routes) {
      bool IsServed = false;
      for (int Try = 0; Try < kTries && !IsServed; ++Try) {
        Session Caller(m_Record, "warm-up", m_Processes->front(0));
        IsServed =
            Caller.open(Entry.m_Database, m_Tenants.front().m_Keys.front()) &&
            (Entry.m_Type == "bounded_staleness" ||
             Caller.query(nextId(), "WRITE w1 begin").isSuccess()) &&
            Caller.query(nextId(), "READ w1").isSuccess();
        if (!IsServed)
          sleepMs(250);
      }
      if (!IsServed)
        return fail("the route of " + Entry.m_Database + " is not served");
    }
    // The hosts that register during the start change the owners of databases.
    constexpr int kSettleMs = 3'000;
    sleepMs(kSettleMs);
    return true;
  }

  Record &m_Record;
  std::string m_Folder;
  std::string m_Problem;
  FleetSettings m_Fleet;
  int m_InstancePort = 0;
  std::vector<std::unique_ptr<Database>> m_Databases;
  std::unique_ptr<Platform> m_Platform;
  std::unique_ptr<Fleet> m_Processes;
  std::vector<std::thread> m_CheckIns;
  std::atomic<bool> m_Stop = false;
  std::atomic<unsigned long long> m_LastId = 0;
};
