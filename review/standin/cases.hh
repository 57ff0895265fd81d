// The cases. Each returns whether its rule was broken, or nothing when it could
// not be played.
#pragma once

#include "world.hh"

struct Case {
  std::function<std::optional<bool>(World &, Record &, bool)> m_Play;
  ServiceSettings m_Settings;
  std::function<void(World &)> m_Prepare;
};

// Whether processes ended by themselves as the rule Fault counts: three times
// each on a tenth of the machines in use, two at least, or on half of the core.
inline bool isFault(World &Played, Record &Log) {
  constexpr int kEnds = 3;
  std::set<std::string> Machines;
  std::map<std::string, int> EndsOfMachine;
  for (const auto &[Name, Ends] : Played.fleet().ownEnds()) {
    Log.line("check",
             Name + " ended by itself " + std::to_string(Ends) + " times");
    EndsOfMachine[Name.substr(0, Name.find(' '))] += Ends;
  }
  for (const auto &[Machine, Ends] : EndsOfMachine)
    if (Ends >= kEnds)
      Machines.insert(Machine);
  size_t Tenth = std::max<size_t>(2, (Played.fleet().nodes().size() + 9) / 10);
  Log.line("check", std::to_string(Machines.size()) +
                        " machines had processes that ended by themselves "
                        "three times; " +
                        std::to_string(Tenth) + " break the rule");
  return Machines.size() >= Tenth;
}

// Ordinary callers: one operation after the other, each through the next proxy.
class Traffic {
public:
  Traffic(World &Played, Record &Log, int Callers) {
    for (int Number = 0; Number < Callers; ++Number)
      m_Threads.emplace_back(
          [this, &Played, &Log, Number] { call(Played, Log, Number); });
  }
  ~Traffic() {
    m_Stop = true;
    for (std::thread &Thread : m_Threads)
      Thread.join();
  }
  int served() const { return m_Served; }
  int failed() const { return m_Failed; }

private:
  void call(World &Played, Record &Log, int Number) {
    size_t Proxy = static_cast<size_t>(Number);
    const std::string &Key =
        Played.m_Tenants[Proxy % Played.m_Tenants.size()].m_Keys[0];
    constexpr int kPauseMs = 60;
    while (!m_Stop) {
      Proxy = (Proxy + 1) % Played.fleet().nodes().size();
      Session Caller(Log, "caller " + std::to_string(Number),
                     Played.fleet().front(Proxy));
      bool IsServed = Caller.isOpen() && Caller.open("xapu221", Key) &&
                      Caller.query(Played.nextId(), "READ w1").isSuccess();
      ++(IsServed ? m_Served : m_Failed);
      sleepMs(kPauseMs);
    }
  }

  std::atomic<bool> m_Stop = false;
  std::atomic<int> m_Served = 0;
  std::atomic<int> m_Failed = 0;
  std::vector<std::thread> m_Threads;
};

// One check-in from another writer, whose address can't be read.
inline std::optional<bool> playUnreadableAddress(World &Played, Record &Log,
                                                 bool HasTrouble) {
  constexpr int kCallers = 30;
  constexpr int kPlayedMs = 15'000;
  Traffic Calls(Played, Log, kCallers);
  sleepMs(2'000);
  if (HasTrouble) {
    const Instance &Other = *Played.database(0).instances()[1];
    std::string Address = Other.m_Address.text();
    // The last number of the address is written with a leading zero.
    Address.insert(Address.rfind('.') + 1, "0");
    std::string Body =
        "{\"service\":\"" + Other.m_Service + "\",\"address\":\"" + Address +
        "\",\"zone\":\"" + Other.m_Zone +
        "\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
        "\"warmupLeftMs\":0,\"dbRole\":\"replica\",\"seq\":1,\"born\":" +
        std::to_string(unixMs()) + "}";
    std::optional<HttpMessage> Answer =
        callControl(Played.control()[0], "POST",
                    "/-/Instances.Heartbeat/i-of-another-writer", Body, 1'000);
    Log.line("another writer", "checks in: " + Body + " -> " +
                                   (Answer ? Answer->m_Start : "no answer"));
  }
  sleepMs(kPlayedMs);
  Log.line("check", std::to_string(Calls.served()) + " operations served, " +
                        std::to_string(Calls.failed()) + " not");
  return isFault(Played, Log);
}

// A caller leaves right after it has sent COMMIT, and the instance has no room
// for that COMMIT. Other callers of its tenant go on with single writes.
inline std::optional<bool> playLeftCommit(World &Played, Record &Log,
                                          bool HasTrouble) {
  Database &Held = Played.database(0);
  std::string Begin = Played.nextId();
  std::string Write = Played.nextId();
  std::string Commit = Played.nextId();
  constexpr int kQueueMs = 150;
  Held.m_OnCommit =
      [Commit](const std::string &Id) -> std::optional<std::string> {
    if (Id != Commit)
      return std::nullopt;
    sleepMs(kQueueMs);
    return "BUSY";
  };
  const std::string &Key = Played.m_Tenants[0].m_Keys[0];
  std::vector<std::string> Acknowledged;
  std::mutex Mutex;
  std::vector<std::thread> Others;
  constexpr int kCallers = 6;
  constexpr int kWrites = 25;
  // The callers write at the same moments, caller A between two of them.
  constexpr std::chrono::milliseconds kInterval{160};
  const Clock::time_point Start = Clock::now() + kInterval;
  for (int Caller = 1; Caller <= kCallers; ++Caller)
    Others.emplace_back([&, Caller] {
      Session Other(Log, "caller B" + std::to_string(Caller),
                    Played.fleet().front(static_cast<size_t>(Caller)));
      bool IsOpen = Other.open("lepu270", Key);
      for (int Number = 1; IsOpen && Number <= kWrites; ++Number) {
        std::this_thread::sleep_until(Start + Number * kInterval);
        std::string Id = Played.nextId();
        std::string Item =
            "b" + std::to_string(Caller) + "-" + std::to_string(Number);
        if (Other.query(Id, "WRITE " + Item + " of-B").isSuccess()) {
          std::lock_guard<std::mutex> Lock(Mutex);
          Acknowledged.push_back(Id);
        }
      }
    });
  constexpr int kBefore = 6;
  std::this_thread::sleep_until(Start + kBefore * kInterval + kInterval / 2);
  Session Leaving(Log, "caller A", Played.fleet().front(3));
  bool IsReady = Leaving.open("lepu270", Key) &&
                 Leaving.query(Begin, "BEGIN").isSuccess() &&
                 Leaving.query(Write, "WRITE a1 of-A").isSuccess();
  if (IsReady)
    Leaving.send(Commit, "COMMIT");
  if (IsReady && HasTrouble) {
    sleepMs(kQueueMs / 3);
    Leaving.leave();
  } else if (IsReady) {
    Leaving.receive();
  }
  for (std::thread &Other : Others)
    Other.join();
  if (!IsReady)
    return std::nullopt;
  sleepMs(1'000);
  bool IsBroken = false;
  for (const Run &Entry : Held.runs())
    if (Entry.m_Transaction == Begin && Entry.m_Id != Begin &&
        Entry.m_Id != Write && Entry.m_Id != Commit && Entry.m_Id != "-") {
      IsBroken = true;
      Log.line("check", Entry.m_Id + " " + Entry.m_Text +
                            " ran inside the transaction that caller A began "
                            "with " +
                            Begin);
    }
  for (const std::string &Id : Acknowledged)
    if (!Held.hasCommit(Id))
      Log.line("check", "the write " + Id +
                            " was acknowledged to its caller and is in no log");
  return IsBroken;
}

// A caller's text has line feeds; a line ends with CR LF.
inline std::optional<bool> playLineFeed(World &Played, Record &Log,
                                        bool HasTrouble) {
  Database &Held = Played.database(0);
  const std::string &Key = Played.m_Tenants[0].m_Keys[0];
  std::string Break = HasTrouble ? "\n" : " ";
  std::map<std::string, std::string> Sent;
  std::string Note = Played.nextId();
  Sent[Note] = "WRITE s17 meter 4 leaks" + Break + "valve 9 is dry";
  std::string Quote = Played.nextId();
  std::string Quoted = Played.nextId();
  Sent[Quote] =
      "WRITE s18 log says:" + Break + "QUERY " + Quoted + " WRITE s17 erased";
  for (const std::string &Id : {Note, Quote}) {
    Session Caller(Log, "caller", Played.fleet().front(2));
    if (!Caller.open("lepu270", Key))
      return std::nullopt;
    Caller.query(Id, Sent[Id]);
    sleepMs(300);
  }
  bool IsBroken = false;
  for (const Run &Entry : Held.runs()) {
    if (Entry.m_Id == Quoted) {
      IsBroken = true;
      Log.line("check", "the instance ran " + Entry.m_Id + " " + Entry.m_Text +
                            ", which no caller sent: it stood inside " + Quote);
    }
    auto Known = Sent.find(Entry.m_Id);
    if (Known != Sent.end() && Known->second != Entry.m_Text) {
      IsBroken = true;
      Log.line("check", "the instance ran " + Entry.m_Id +
                            " with changed text: " + Entry.m_Text +
                            " instead of " + Known->second);
    }
  }
  return IsBroken;
}

// One configuration takes a key and the route that its caller uses away while
// that caller is inside a transaction. Another caller of the tenant goes on
// with a new key, through another route to the same database.
inline std::optional<bool> playLeavingTenant(World &Played, Record &Log,
                                             bool HasTrouble) {
  constexpr int kRevokeMs = 5'000;
  constexpr int kPauseMs = 800;
  constexpr int kStatements = 12;
  const std::string Taken = Played.m_Tenants[1].m_Keys[0];
  const std::string Kept = Played.m_Tenants[1].m_Keys[1];
  const std::string Removed = "qode114";
  Session Leaving(Log, "caller whose key is taken", Played.fleet().front(3));
  Session Compared(Log, "caller with that key on a kept route",
                   Played.fleet().front(3));
  Session Staying(Log, "caller with another key", Played.fleet().front(5));
  if (!Leaving.open(Removed, Taken) || !Compared.open("fiti832", Taken) ||
      !Staying.open("beto901", Kept) ||
      !Leaving.query(Played.nextId(), "BEGIN").isSuccess() ||
      !Compared.query(Played.nextId(), "BEGIN").isSuccess())
    return std::nullopt;
  std::optional<int64_t> ConfirmedAt;
  std::map<std::string, int64_t> SentAt;
  for (int Number = 1; Number <= kStatements; ++Number) {
    constexpr int kBefore = 3;
    if (Number == kBefore && HasTrouble) {
      std::erase_if(Played.m_Routes, [&](const Route &Entry) {
        return Entry.m_Database == Removed;
      });
      Played.m_Tenants[1].m_Keys = {Kept};
      if (!Played.install(2))
        return std::nullopt;
      ConfirmedAt = Log.nowMs();
    }
    Staying.query(Played.nextId(),
                  "WRITE contract version-" + std::to_string(Number));
    for (Session *Caller : {&Leaving, &Compared}) {
      std::string Id = Played.nextId();
      SentAt[Id] = Log.nowMs();
      Caller->query(Id, Number % 2 == 0
                            ? "WRITE notes note-" + std::to_string(Number)
                            : std::string("READ contract"));
    }
    sleepMs(kPauseMs);
  }
  std::string Commit = Played.nextId();
  SentAt[Commit] = Log.nowMs();
  Leaving.query(Commit, "COMMIT");
  bool IsBroken = false;
  for (size_t Index : {0, 1})
    for (const Run &Entry : Played.database(Index).runs()) {
      auto Known = SentAt.find(Entry.m_Id);
      if (!ConfirmedAt || Known == SentAt.end() ||
          Known->second <= *ConfirmedAt + kRevokeMs)
        continue;
      IsBroken = true;
      Log.line("check",
               Entry.m_Id + " " + Entry.m_Text + " of tenant " +
                   Entry.m_Tenant + " ran; it was sent " +
                   std::to_string(Known->second - *ConfirmedAt) +
                   " ms after the confirmation that took its key away");
    }
  return IsBroken;
}

// A transaction with a message of 1 MiB, the largest that the wire allows.
inline std::optional<bool> playLargestMessage(World &Played, Record &Log,
                                              bool HasTrouble) {
  constexpr size_t kLargest = size_t{1} << 20;
  constexpr size_t kUsual = 600;
  constexpr int kRounds = 4;
  const std::string &Key = Played.m_Tenants[0].m_Keys[0];
  size_t Machines = Played.fleet().nodes().size();
  int Acknowledged = 0;
  for (int Round = 0; Round < kRounds; ++Round) {
    for (size_t Proxy = 0; Proxy < Machines; ++Proxy) {
      Session Caller(Log, "caller", Played.fleet().front(Proxy));
      std::string Id = Played.nextId();
      std::string Start = "WRITE large ";
      size_t Frame = std::string("QUERY " + Id + " \r\n").size();
      size_t Bytes = HasTrouble ? kLargest : kUsual;
      std::string Text = Start + std::string(Bytes - Frame - Start.size(), 'x');
      Acknowledged +=
          Caller.isOpen() && Caller.open("lepu270", Key) &&
                  Caller.query(Played.nextId(), "BEGIN").isSuccess() &&
                  Caller.query(Played.nextId(), "WRITE small 1").isSuccess() &&
                  Caller.query(Id, Text).isSuccess() &&
                  Caller.query(Played.nextId(), "COMMIT").isSuccess()
              ? 1
              : 0;
    }
    sleepMs(2'500);
  }
  Log.line("check",
           std::to_string(Acknowledged) + " transactions were acknowledged");
  return isFault(Played, Log);
}

// With syncReplicas 1: a replica that drains holds acknowledged commits, the
// other one receives nothing for a while, and the primary crashes.
inline std::optional<bool> playDrainingReplica(World &Played, Record &Log,
                                               bool HasTrouble) {
  Database &Held = Played.database(0);
  Instance &Primary = *Held.instances()[0];
  Instance &Draining = *Held.instances()[1];
  Instance &Deaf = *Held.instances()[2];
  const std::string &Key = Played.m_Tenants[0].m_Keys[0];
  auto Set = [&](bool &Field, bool Value, const std::string &What) {
    std::lock_guard<std::mutex> Lock(Held.mutex());
    Field = Value;
    Log.line("instances", What);
  };
  if (HasTrouble)
    Set(Draining.m_IsDraining, true, Draining.m_Id + " begins to drain");
  sleepMs(2'000);
  if (HasTrouble)
    Set(Deaf.m_IsDeaf, true, Deaf.m_Id + " receives nothing");
  Session Caller(Log, "caller", Played.fleet().front(4));
  if (!Caller.open("lepu270", Key))
    return std::nullopt;
  std::vector<std::string> Acknowledged;
  constexpr int kWrites = 5;
  for (int Number = 1; Number <= kWrites; ++Number) {
    std::string Id = Played.nextId();
    if (Caller.query(Id, "WRITE k" + std::to_string(Number) + " x").isSuccess())
      Acknowledged.push_back(Id);
  }
  sleepMs(300);
  if (HasTrouble)
    Set(Primary.m_IsDown, true, Primary.m_Id + " crashes");
  Session Later(Log, "later caller", Played.fleet().front(7));
  Later.open("lepu270", Key);
  // The case ends before the limits of both impairments, 6.5 and 7 s.
  constexpr int64_t kPlayedMs = 5'500;
  int64_t Since = Log.nowMs();
  while (Log.nowMs() - Since < kPlayedMs) {
    Later.query(Played.nextId(), "READ k1", 500);
    sleepMs(500);
  }
  bool IsBroken = false;
  for (const std::string &Id : Acknowledged)
    if (!Held.hasCommit(Id)) {
      IsBroken = true;
      Log.line("check", "the acknowledged commit " + Id +
                            " is not in the log of the promoted instance " +
                            Held.primary()->m_Id);
    }
  return IsBroken;
}

inline const std::map<std::string, Case> &cases() {
  static const std::map<std::string, Case> All{
      {"unreadable-address", {playUnreadableAddress, {.m_WorkMs = 24}, {}}},
      {"left-commit", {playLeftCommit, {}, {}}},
      {"line-feed", {playLineFeed, {}, {}}},
      {"leaving-tenant", {playLeavingTenant, {}, {}}},
      {"largest-message", {playLargestMessage, {}, {}}},
      {"draining-replica",
       {playDrainingReplica,
        {.m_SyncReplicas = 1},
        [](World &Played) { Played.m_SyncReplicas = 1; }}},
  };
  return All;
}
