/// \file
/// One session of the load: sends operations one after the other through
/// changing proxies and hands every answer to the checker.
#pragma once

#include "almondpier/Load.h"
#include "load/ProxyClient.h"

namespace almondpier {

/// What the sessions of a run share.
struct LoadRun {
  EventLoop &m_Loop;
  const LoadSettings &m_Settings;
  ProxyClient m_Client;
  LoadChecker m_Checker;
  LoadMeasures m_Measures;
  /// Keys written so far.
  std::map<DatabaseName, std::vector<std::string>> m_Keys;
  std::map<DatabaseName, uint64_t> m_LastSlot;
  uint64_t m_LastTransaction = 0;
};

/// Values in the JSON that the stand-in database returns for a key; nothing
/// when it holds anything else.
std::optional<std::vector<uint64_t>> valuesOf(std::string_view JsonText);

class LoadSession {
public:
  LoadSession(LoadRun &Run, uint64_t Number, LoadKey Key);

  bool isBusy() const { return static_cast<bool>(m_Done); }
  const LoadKey &key() const { return m_Key; }
  /// Runs one operation; Done gets the time to wait before the next.
  void run(std::function<void(Duration)> Done);

private:
  struct Call {
    LoadRequestKind m_Kind = LoadRequestKind::Read;
    HttpMethod m_Method = HttpMethod::Post;
    DatabaseName m_Database;
    /// Path below the database.
    std::string m_Path;
    std::vector<HttpHeader> m_Headers;
    std::string m_Body;
    bool m_SendsToken = true;
    bool m_MayUseReplica = false;
    /// An answer 200 acknowledges a write.
    bool m_Acknowledges = false;
  };
  /// A write until its outcome is known.
  struct Pending {
    Call m_Call;
    std::string m_IdempotencyKey;
    std::vector<uint64_t> m_Numbers;
    /// A commit cannot be sent again.
    bool m_MayResend = true;
    bool m_IsFirst = true;
    Time m_GiveUpAt{};
    std::function<void(LoadWriteState)> m_OnSettled;
  };
  struct OpenTransaction {
    DatabaseName m_Database;
    std::string m_Path;
    uint64_t m_Number = 0;
    std::vector<uint64_t> m_Writes;
  };

  double chance() { return std::uniform_real_distribution<double>()(m_Random); }
  LoadRequestKind chooseKind();
  const DatabaseName &chooseDatabase();
  void send(const Call &Call, ProxyClient::Callback Callback, int Try = 0);
  LoadSample sampleOf(const Call &Call, const ProxyAnswer &Answer, Time SentAt,
                      bool WasInsideRate) const;
  void after(Duration Wait, std::function<void()> Callback);
  void finish(Duration Wait);
  void finish(const ProxyAnswer &Answer);

  void read();
  std::string chooseReadKey(const DatabaseName &Database);
  void checkRead(const LoadRead &Read, const ProxyAnswer &Answer);

  uint64_t beginWrite(const DatabaseName &Database, const std::string &Key,
                      LoadWriteKind Kind, uint64_t Transaction = 0);
  void put();
  void book();
  void split();
  void startWrite(LoadRequestKind Kind, const DatabaseName &Database,
                  const std::string &Key, LoadWriteKind WriteKind,
                  std::function<void(LoadWriteState)> OnSettled);
  void sendPending(const std::shared_ptr<Pending> &Write);
  void takeAnswer(const std::shared_ptr<Pending> &Write,
                  const ProxyAnswer &Answer);
  void resolve(const std::shared_ptr<Pending> &Write);
  void lookUp(const std::shared_ptr<Pending> &Write);
  void settle(const Pending &Write, LoadWriteState State);

  void transact();
  void execute(const std::shared_ptr<OpenTransaction> &Open, size_t Step);
  void commit(const std::shared_ptr<OpenTransaction> &Open);
  void rollBack(const std::shared_ptr<OpenTransaction> &Open);

  LoadRun &m_Run;
  uint64_t m_Number;
  LoadKey m_Key;
  std::mt19937_64 m_Random;
  size_t m_Proxy;
  std::string m_Token;
  uint64_t m_LastIdempotencyKey = 0;
  /// Number of the key in use for each own row. A row whose last write has an
  /// unknown outcome is not used again.
  std::map<std::pair<DatabaseName, size_t>, uint64_t> m_Generations;
  std::function<void(Duration)> m_Done;
  std::unique_ptr<OneShotTimer> m_Delay;
};

} // namespace almondpier
