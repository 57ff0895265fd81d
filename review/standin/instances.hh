// Stand-ins for database instances, their check-ins and the platform, as
// PROTOCOL.md describes them. They behave like sound servers; a scenario
// changes what a single request gets through hooks.
#pragma once

#include "net.hh"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <memory>
#include <set>
#include <sstream>

struct Commit {
  uint64_t m_Term = 0;
  std::string m_Id;
  std::vector<std::pair<std::string, std::string>> m_Writes;
  Clock::time_point m_At;
};

struct Instance {
  std::string m_Id;
  std::string m_Service;
  std::string m_Zone;
  Address m_Address;
  bool m_IsPrimary = false;
  bool m_IsDraining = false;
  // Receives nothing from the primary.
  bool m_IsDeaf = false;
  // The process is gone: no answers, no check-ins.
  bool m_IsDown = false;
  uint64_t m_PausedTerm = 0;
  std::vector<Commit> m_Log;
  int m_Connections = 0;
  int m_Busy = 0;
  int64_t m_Born = 0;
  uint64_t m_Sequence = 0;
  int m_Socket = -1;

  std::string position(uint64_t FirstTerm) const {
    return std::to_string(m_Log.empty() ? FirstTerm : m_Log.back().m_Term) +
           "." + std::to_string(m_Log.size());
  }
};

// What an instance ran, in order.
struct Run {
  std::string m_Instance;
  int m_Connection = 0;
  std::string m_Tenant;
  std::string m_Id;
  std::string m_Text;
  // Identifier of the BEGIN whose transaction was open, or empty.
  std::string m_Transaction;
  int64_t m_AtMs = 0;
};

struct ServiceSettings {
  int m_Slots = 3;
  int m_MaxConnections = 23;
  int m_QueueLength = 24;
  int m_ConnectMs = 12;
  int m_WorkMs = 8;
  int m_LagMs = 8;
  int m_PromoteMs = 1'000;
  int m_SyncReplicas = 0;
};

class Database {
public:
  Database(Record &To, std::string Service, ServiceSettings Settings)
      : m_Record(To), m_Service(std::move(Service)), m_Settings(Settings) {}

  // The answer to a COMMIT, or nothing for the usual one. "BUSY" leaves the
  // transaction open, because nothing ran.
  std::function<std::optional<std::string>(const std::string &Id)> m_OnCommit;

  Instance &add(const std::string &Id, const std::string &Zone,
                const Address &Local) {
    m_Instances.push_back(std::make_unique<Instance>());
    Instance &Added = *m_Instances.back();
    Added.m_Id = Id;
    Added.m_Service = m_Service;
    Added.m_Zone = Zone;
    Added.m_Address = Local;
    Added.m_IsPrimary = m_Instances.size() == 1;
    Added.m_Born = unixMs();
    return Added;
  }
  bool start() {
    for (std::unique_ptr<Instance> &Entry : m_Instances) {
      Entry->m_Socket = listenOn(Entry->m_Address);
      if (Entry->m_Socket < 0)
        return false;
      Instance *Started = Entry.get();
      std::thread([this, Started] { accept(*Started); }).detach();
    }
    std::thread([this] { replicate(); }).detach();
    return true;
  }

  const std::string &service() const { return m_Service; }
  const ServiceSettings &settings() const { return m_Settings; }
  std::vector<std::unique_ptr<Instance>> &instances() { return m_Instances; }
  Instance *find(const std::string &Id) {
    for (std::unique_ptr<Instance> &Entry : m_Instances)
      if (Entry->m_Id == Id)
        return Entry.get();
    return nullptr;
  }
  Instance *primary() {
    for (std::unique_ptr<Instance> &Entry : m_Instances)
      if (Entry->m_IsPrimary)
        return Entry.get();
    return nullptr;
  }
  std::mutex &mutex() { return m_Mutex; }
  std::vector<Run> runs() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Runs;
  }
  bool hasCommit(const std::string &Id) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (const std::unique_ptr<Instance> &Entry : m_Instances)
      for (const Commit &Known : Entry->m_Log)
        if (Entry->m_IsPrimary && Known.m_Id == Id)
          return true;
    return false;
  }

  // POST /promote; returns the status.
  int promote(const std::string &Id, uint64_t Fence) {
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      Instance *Target = find(Id);
      if (Fence < m_HighestFence || Target == nullptr || Target->m_IsDown)
        return 409;
      m_HighestFence = Fence;
      if (Target->m_IsPrimary)
        return 200;
    }
    sleepMs(m_Settings.m_PromoteMs);
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Instance *Target = find(Id);
    ++m_Term;
    for (std::unique_ptr<Instance> &Entry : m_Instances)
      Entry->m_IsPrimary = Entry.get() == Target;
    for (std::unique_ptr<Instance> &Entry : m_Instances)
      if (!Entry->m_IsDown && Entry->m_Log.size() > Target->m_Log.size())
        Entry->m_Log.resize(Target->m_Log.size());
    Target->m_PausedTerm = 0;
    m_Record.line("platform", "promoted " + Id + " at " +
                                  Target->position(kFirstTerm) + ", term " +
                                  std::to_string(m_Term));
    return 200;
  }

private:
  static constexpr uint64_t kFirstTerm = 1;

  struct Connection {
    int m_Number = 0;
    std::string m_Tenant;
    std::string m_State = "I";
    bool m_IsPlain = false;
    std::string m_Transaction;
    std::vector<std::pair<std::string, std::string>> m_Writes;
    std::map<std::string, std::pair<bool, std::string>> m_Prepared;
    std::map<std::string, std::string> m_Values;
  };

  void replicate() {
    while (true) {
      sleepMs(2);
      std::lock_guard<std::mutex> Lock(m_Mutex);
      Instance *From = primary();
      if (From == nullptr || From->m_IsDown)
        continue;
      Clock::time_point Visible =
          Clock::now() - std::chrono::milliseconds(m_Settings.m_LagMs);
      for (std::unique_ptr<Instance> &To : m_Instances) {
        if (To.get() == From || To->m_IsDeaf || To->m_IsDown ||
            To->m_PausedTerm > m_Term)
          continue;
        while (To->m_Log.size() < From->m_Log.size() &&
               From->m_Log[To->m_Log.size()].m_At <= Visible)
          To->m_Log.push_back(From->m_Log[To->m_Log.size()]);
      }
    }
  }

  void accept(Instance &At) {
    while (true) {
      int Socket = ::accept4(At.m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      if (isDown(At)) {
        // No process listens: the connection is reset.
        linger Reset{1, 0};
        ::setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
        ::close(Socket);
        continue;
      }
      int Enabled = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
      std::thread([this, &At, Socket] { serve(At, Socket); }).detach();
    }
  }

  void serve(Instance &At, int Socket) {
    Stream Peer(Socket);
    constexpr int kIdleMs = 600'000;
    std::optional<std::string> First = Peer.readLine(kIdleMs);
    if (!First)
      return;
    std::istringstream Words(*First);
    std::string Word, Service, Who, Id;
    Words >> Word >> Service >> Who >> Id;
    Connection State;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      State.m_Number = ++m_LastConnection;
      State.m_Tenant = Who;
      std::string Refusal;
      if (Word != "STARTUP" || Service != m_Service ||
          (!Id.empty() && Id != At.m_Id))
        Refusal = "MISROUTED";
      else if (At.m_Connections >= m_Settings.m_MaxConnections)
        Refusal = "TOOMANY";
      if (!Refusal.empty()) {
        m_Record.line(At.m_Id, "refused " + *First + ": " + Refusal);
        Peer.send("ERROR " + Refusal + " " + At.m_Id + "\r\n");
        return;
      }
      ++At.m_Connections;
    }
    sleepMs(m_Settings.m_ConnectMs);
    Peer.send("READY I " + positionOf(At) + "\r\n");
    while (Peer.isOpen()) {
      // Waits in steps, so that a crash ends the connection at once.
      constexpr int kStepMs = 20;
      std::optional<std::string> Line = Peer.readLine(kStepMs);
      if (isDown(At))
        break;
      if (!Line)
        continue;
      if (*Line == "TERMINATE")
        break;
      std::optional<std::string> Answer = handle(At, State, *Line);
      if (!Answer || isDown(At) || !Peer.send(*Answer))
        break;
    }
    std::lock_guard<std::mutex> Lock(m_Mutex);
    --At.m_Connections;
    if (!State.m_Transaction.empty())
      m_Record.line(At.m_Id, "connection " + std::to_string(State.m_Number) +
                                 " ended; the transaction of " +
                                 State.m_Transaction + " is rolled back");
  }

  bool isDown(const Instance &At) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return At.m_IsDown;
  }
  std::string positionOf(const Instance &At) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return At.position(kFirstTerm);
  }

  static std::string takeWord(std::string &Text) {
    size_t Blank = Text.find(' ');
    std::string Word = Text.substr(0, Blank);
    Text = Blank == std::string::npos ? "" : Text.substr(Blank + 1);
    return Word;
  }

  // Takes a slot for the work of a statement; false when the queue is full.
  bool work(Instance &At) {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    if (At.m_Busy >= m_Settings.m_Slots + m_Settings.m_QueueLength)
      return false;
    ++At.m_Busy;
    int Waves = (At.m_Busy + m_Settings.m_Slots - 1) / m_Settings.m_Slots;
    Lock.unlock();
    sleepMs(m_Settings.m_WorkMs * Waves);
    Lock.lock();
    --At.m_Busy;
    return true;
  }

  std::string failure(Instance &At, Connection &State, const std::string &Code,
                      bool Fails = true) {
    if (Fails && State.m_State == "T")
      State.m_State = "E";
    return "ERROR " + Code + " " + At.m_Id + "\r\nREADY " + State.m_State +
           " " + positionOf(At) + "\r\n";
  }
  std::string success(Instance &At, Connection &State,
                      const std::string &Rows = "", bool HasReceipt = false) {
    std::string Receipt = "-";
    if (HasReceipt)
      Receipt = "r." + At.m_Id + "." + std::to_string(++m_LastReceipt);
    return Rows + "COMPLETE " + Receipt + "\r\nREADY " + State.m_State + " " +
           positionOf(At) + "\r\n";
  }

  void endTransaction(Connection &State) {
    State.m_State = "I";
    State.m_Transaction.clear();
    State.m_Writes.clear();
    State.m_IsPlain = false;
  }

  // Appends a commit; with synchronous replicas it returns once enough of them
  // have received it, or with false after 2 s.
  bool append(Instance &At, const std::string &Id,
              std::vector<std::pair<std::string, std::string>> Writes) {
    size_t Length = 0;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      At.m_Log.push_back(Commit{m_Term, Id, std::move(Writes), Clock::now()});
      Length = At.m_Log.size();
    }
    constexpr int kSteps = 1'000;
    for (int Step = 0; Step < kSteps; ++Step) {
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        int Holders = 0;
        for (const std::unique_ptr<Instance> &Other : m_Instances)
          if (Other.get() != &At && !Other->m_IsDown &&
              Other->m_Log.size() >= Length)
            ++Holders;
        if (Holders >= m_Settings.m_SyncReplicas)
          return true;
      }
      sleepMs(2);
    }
    return false;
  }

  std::optional<std::string> valueOf(Instance &At, const std::string &Item) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    for (auto Entry = At.m_Log.rbegin(); Entry != At.m_Log.rend(); ++Entry)
      for (const auto &[Key, Value] : Entry->m_Writes)
        if (Key == Item)
          return Value;
    return std::nullopt;
  }

  bool isPrimary(const Instance &At) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return At.m_IsPrimary;
  }

  void note(Instance &At, const Connection &State, const std::string &Id,
            const std::string &Text) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Runs.push_back(Run{At.m_Id, State.m_Number, State.m_Tenant, Id, Text,
                         State.m_Transaction, m_Record.nowMs()});
    m_Record.line(
        At.m_Id,
        "connection " + std::to_string(State.m_Number) + " of tenant " +
            State.m_Tenant + " runs " + Id + " " + Text +
            (State.m_Transaction.empty()
                 ? ""
                 : ", inside the transaction of " + State.m_Transaction));
  }

  bool lacksPosition(Instance &At, const std::string &Wanted) {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    size_t Dot = Wanted.find('.');
    uint64_t Term = std::strtoull(Wanted.c_str(), nullptr, 10);
    uint64_t Number = std::strtoull(Wanted.c_str() + Dot + 1, nullptr, 10);
    uint64_t HeldTerm = At.m_Log.empty() ? kFirstTerm : At.m_Log.back().m_Term;
    return std::pair(HeldTerm, uint64_t(At.m_Log.size())) <
           std::pair(Term, Number);
  }

  std::optional<std::string> handle(Instance &At, Connection &State,
                                    const std::string &Line) {
    std::string Rest = Line;
    if (takeWord(Rest) != "QUERY")
      return std::nullopt;
    std::string Id = takeWord(Rest);
    std::string Text = Rest;
    std::string Kind = takeWord(Rest);
    if (Kind == "AFTER") {
      std::string Wanted = takeWord(Rest);
      Text = Rest;
      Kind = takeWord(Rest);
      if (lacksPosition(At, Wanted))
        return failure(At, State, "LAGGING");
    }
    if (Kind == "STATUS" || Kind == "PAUSE" || Kind == "RESUME" ||
        Kind == "DEMOTE")
      return control(At, State, Kind, Rest);
    if (State.m_State == "E" && Kind != "COMMIT" && Kind != "ROLLBACK")
      return failure(At, State, "MALFORMED");
    if (Kind == "SET") {
      std::string Name = takeWord(Rest);
      State.m_Values[Name] = Rest;
      return success(At, State);
    }
    if (Kind == "RESET") {
      State.m_Values.clear();
      State.m_Prepared.clear();
      return success(At, State);
    }
    if (Kind == "PREPARE") {
      std::string Name = takeWord(Rest);
      bool IsWrite = takeWord(Rest) == "WRITE";
      State.m_Prepared[Name] = {IsWrite, Rest};
      return success(At, State);
    }
    if (Kind == "BEGIN") {
      if (State.m_State != "I")
        return failure(At, State, "MALFORMED", false);
      bool IsPlain = Rest.empty();
      if (IsPlain && !isPrimary(At))
        return failure(At, State, "READONLY");
      State.m_State = "T";
      State.m_IsPlain = IsPlain;
      State.m_Transaction = Id == "-" ? "the proxy" : Id;
      note(At, State, Id, Text);
      return success(At, State);
    }
    if (Kind == "ROLLBACK") {
      note(At, State, Id, Text);
      endTransaction(State);
      return success(At, State);
    }
    if (Kind == "COMMIT")
      return commit(At, State, Id);
    return data(At, State, Id, Text, Kind, Rest);
  }

  std::string commit(Instance &At, Connection &State, const std::string &Id) {
    if (State.m_State == "I")
      return failure(At, State, "MALFORMED");
    if (State.m_State == "E") {
      endTransaction(State);
      return failure(At, State, "ABORTED");
    }
    std::optional<std::string> Special =
        m_OnCommit ? m_OnCommit(Id) : std::nullopt;
    if (Special) {
      m_Record.line(At.m_Id, "connection " + std::to_string(State.m_Number) +
                                 " answers " + *Special + " to " + Id +
                                 " COMMIT; the transaction stays open");
      return failure(At, State, *Special, false);
    }
    if (!work(At))
      return failure(At, State, "BUSY", false);
    bool HasWritten = !State.m_Writes.empty();
    if (HasWritten && !isPrimary(At)) {
      endTransaction(State);
      return failure(At, State, "READONLY");
    }
    note(At, State, Id, "COMMIT");
    if (HasWritten && !append(At, Id, State.m_Writes)) {
      endTransaction(State);
      return failure(At, State, "TIMEOUT");
    }
    endTransaction(State);
    return success(At, State, "", true);
  }

  std::string data(Instance &At, Connection &State, const std::string &Id,
                   const std::string &Text, std::string Kind,
                   std::string Rest) {
    std::string Item = takeWord(Rest);
    if (Kind == "EXECUTE") {
      auto Prepared = State.m_Prepared.find(Item);
      if (Prepared == State.m_Prepared.end())
        return failure(At, State, "NOSTMT");
      Kind = Prepared->second.first ? "WRITE" : "READ";
      Item = takeWord(Rest);
    }
    if (Kind != "READ" && Kind != "WRITE")
      return failure(At, State, "MALFORMED");
    bool NeedsLead =
        Kind == "WRITE" || (State.m_State == "T" && State.m_IsPlain);
    if (NeedsLead && !isPrimary(At))
      return failure(At, State, "READONLY");
    if (!work(At))
      return failure(At, State, "BUSY", false);
    note(At, State, Id, Text);
    if (Kind == "READ") {
      std::optional<std::string> Value = valueOf(At, Item);
      for (const auto &[Key, Written] : State.m_Writes)
        if (Key == Item)
          Value = Written;
      return success(At, State, Value ? "ROW " + *Value + "\r\n" : "", true);
    }
    if (State.m_State == "T") {
      State.m_Writes.emplace_back(Item, Rest);
      return success(At, State, "", true);
    }
    if (!append(At, Id, {{Item, Rest}}))
      return failure(At, State, "TIMEOUT");
    return success(At, State, "", true);
  }

  std::string control(Instance &At, Connection &State, const std::string &Kind,
                      const std::string &Rest) {
    std::string Row;
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      uint64_t Term = std::strtoull(Rest.c_str(), nullptr, 10);
      if (Kind == "PAUSE" && Term > m_Term && !At.m_IsPrimary)
        At.m_PausedTerm = Term;
      if (Kind == "RESUME")
        At.m_PausedTerm = 0;
      if (Kind == "DEMOTE" && Term > m_Term)
        At.m_IsPrimary = false;
      Row = std::string("ROW ") + (At.m_IsPrimary ? "primary " : "replica ") +
            std::to_string(m_Term) + " " + At.position(kFirstTerm) + " " +
            std::to_string(At.m_Log.empty() ? kFirstTerm
                                            : At.m_Log.back().m_Term) +
            " " + std::to_string(m_Settings.m_LagMs) + " " +
            std::to_string(At.m_Busy) + " " + std::to_string(At.m_Connections) +
            "\r\n";
    }
    return success(At, State, Row);
  }

  Record &m_Record;
  std::string m_Service;
  ServiceSettings m_Settings;
  std::mutex m_Mutex;
  std::vector<std::unique_ptr<Instance>> m_Instances;
  std::vector<Run> m_Runs;
  uint64_t m_Term = kFirstTerm;
  uint64_t m_HighestFence = 0;
  int m_LastConnection = 0;
  std::atomic<int> m_LastReceipt = 0;
};

// Sends the check-ins of an instance, each to one control host.
inline void checkIn(Database &Of, Instance &Entry, std::vector<Address> Control,
                    std::atomic<bool> &Stop) {
  constexpr int kIntervalMs = 1'200;
  constexpr int kAnswerMs = 1'000;
  size_t Next = 0;
  std::string Given;
  std::string LastSent;
  int SinceSentMs = kIntervalMs;
  while (!Stop) {
    std::string Body;
    bool IsDown = false;
    std::string What;
    {
      std::lock_guard<std::mutex> Lock(Of.mutex());
      IsDown = Entry.m_IsDown;
      What = std::string("\"state\":\"") +
             (Entry.m_IsDraining ? "draining" : "ready") +
             "\",\"warmupLeftMs\":0,\"dbRole\":\"" +
             (Entry.m_IsPrimary ? "primary" : "replica") + "\"";
    }
    constexpr int kStepMs = 20;
    if (IsDown || (SinceSentMs < kIntervalMs && What == LastSent)) {
      sleepMs(kStepMs);
      SinceSentMs += kStepMs;
      continue;
    }
    LastSent = What;
    SinceSentMs = 0;
    {
      std::lock_guard<std::mutex> Lock(Of.mutex());
      Body = "{\"service\":\"" + Entry.m_Service + "\",\"address\":\"" +
             Entry.m_Address.text() + "\",\"zone\":\"" + Entry.m_Zone +
             "\",\"version\":\"v1\",\"slots\":" +
             std::to_string(Of.settings().m_Slots) + "," + What +
             ",\"seq\":" + std::to_string(++Entry.m_Sequence) +
             ",\"born\":" + std::to_string(Entry.m_Born) + "}";
    }
    for (size_t Tries = 0; Tries <= Control.size() && !Stop; ++Tries) {
      Address To =
          Given.empty() ? Control[Next % Control.size()] : parseAddress(Given);
      std::optional<HttpMessage> Answer = callHttp(
          To, "POST", "/-/Instances.Heartbeat/" + Entry.m_Id, Body, kAnswerMs);
      if (!Answer || Answer->status() / 100 != 2) {
        Given.clear();
        ++Next;
        continue;
      }
      size_t Found = Answer->m_Body.find("\"heartbeatAddr\":\"");
      if (Found != std::string::npos) {
        size_t First = Found + std::strlen("\"heartbeatAddr\":\"");
        Given = Answer->m_Body.substr(First,
                                      Answer->m_Body.find('"', First) - First);
      }
      break;
    }
  }
}

// The platform's POST /promote.
class Platform {
public:
  Platform(Record &To, std::vector<Database *> Databases)
      : m_Record(To), m_Databases(std::move(Databases)) {}
  bool start(const Address &Local) {
    m_Socket = listenOn(Local);
    if (m_Socket < 0)
      return false;
    std::thread([this] {
      while (true) {
        int Socket = ::accept4(m_Socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (Socket < 0)
          return;
        std::thread([this, Socket] { serve(Socket); }).detach();
      }
    }).detach();
    return true;
  }

private:
  static std::string field(const std::string &Body, const std::string &Name) {
    size_t Found = Body.find("\"" + Name + "\"");
    if (Found == std::string::npos)
      return "";
    size_t First = Body.find('"', Body.find(':', Found)) + 1;
    return Body.substr(First, Body.find('"', First) - First);
  }
  void serve(int Socket) {
    Stream Peer(Socket);
    constexpr int kIdleMs = 10'000;
    while (std::optional<HttpMessage> Request = readHttp(Peer, kIdleMs)) {
      std::string Service = field(Request->m_Body, "service");
      std::string Id = field(Request->m_Body, "id");
      std::string Fence = Request->header("Fence-Token");
      m_Record.line("platform", Request->m_Start + " " + Request->m_Body +
                                    " from " + Request->header("Duty-Holder") +
                                    ", fence " + Fence);
      int Status = 409;
      for (Database *Known : m_Databases)
        if (Known->service() == Service)
          Status =
              Known->promote(Id, std::strtoull(Fence.c_str(), nullptr, 10));
      m_Record.line("platform", "answers " + std::to_string(Status));
      if (!Peer.send("HTTP/1.1 " + std::to_string(Status) +
                     " -\r\nContent-Length: 0\r\n\r\n"))
        return;
    }
  }

  Record &m_Record;
  std::vector<Database *> m_Databases;
  int m_Socket = -1;
};
