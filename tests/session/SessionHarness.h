/// \file
/// Test harness that runs a session core on a simulated clock against fake
/// control hosts and the fake instances of one database group.
#pragma once

#include "decision/session/SessionCore.h"
#include "proxy/FakeControl.h"

#include <deque>
#include <functional>

namespace almondpier::sessiontest {

using std::chrono::milliseconds;

/// A database instance whose log is reduced to its position.
struct FakeInstance {
  InstanceDescription m_Description;
  bool m_IsPrimary = false;
  Position m_Position{3, 100};
  /// Neither accepts connections nor replies.
  bool m_IsUnreachable = false;
  /// Rejects every statement but ROLLBACK with this error.
  std::optional<SessionError> m_ForcedError;
  /// Applies m_ForcedError only to statements that occupy a slot.
  bool m_RejectsOnlyInSlots = false;
  /// Executes statements but never sends the replies.
  bool m_DropsReplies = false;
  /// Delays after which each reply is sent once more.
  std::vector<Duration> m_Repeats;
  /// Delay of each reply.
  Duration m_Latency = milliseconds(10);
  /// All received statements, in order.
  std::vector<Statement> m_Received;
};

class SessionHarness {
public:
  static inline const DatabaseName kDatabase{"races"};
  static constexpr uint32_t kPrimary = 0;

  explicit SessionHarness(size_t Hosts = 1, uint32_t ConnectionLimit = 9)
      : m_ConnectionLimit(ConnectionLimit) {
    m_Control.m_Leader = HostName{"c0"};
    m_Control.m_Members = {ControlMember{
        MemberId{1}, HostName{"c0"}, {}, {"127.0.0.1", 7'000}, {}}};
    for (size_t Index = 0; Index < Hosts; ++Index)
      m_Control.accept(RegisterHost{
          HostRecord{HostName{"h" + std::to_string(Index)},
                     {"z"},
                     {"127.0.0.1", static_cast<uint16_t>(7'100 + Index)}}});
    installPolicy();
    for (uint32_t Index = 0; Index < 3; ++Index)
      addInstance(Index == kPrimary);
    ProxyOptions Options;
    Options.m_Host = HostRecord{HostName{"h0"}, {"z"}, {"127.0.0.1", 7'100}};
    Options.m_FleetSecret = "0123456789abcdef";
    Options.m_ControlPeers = {{"127.0.0.1", 7'000}};
    m_Core = std::make_unique<SessionCore>(
        Options,
        SessionLimits::fromBounds(milliseconds(5'000), milliseconds(6'000)),
        m_Now);
    run(milliseconds(600));
  }

  /// Installs the policy under the next version.
  void installPolicy() {
    FleetPolicy Policy;
    Policy.m_Version = ++m_PolicyVersion;
    for (const auto &[Name, Key] : m_Keys)
      Policy.m_Organisations[Name] =
          OrganisationPolicy{{digestOfKey(Key)}, Limit{1'000, 1'000}};
    Policy.m_Groups[kDatabase] = GroupPolicy{m_ConnectionLimit, 0};
    RoutePolicy Route;
    Route.m_Database = kDatabase;
    Route.m_TargetLatencyMs = 400;
    Route.m_StatementTimeoutMs = m_StatementTimeoutMs;
    Policy.m_Routes[RouteName{"primary"}] = Route;
    Route.m_MaxReadAgeMs = 1'500;
    Route.m_Guarantee = ReadGuarantee::BoundedAge;
    Policy.m_Routes[RouteName{"bounded-staleness"}] = Route;
    Route.m_Guarantee = ReadGuarantee::ReadYourWrites;
    Policy.m_Routes[RouteName{"read-your-writes"}] = Route;
    for (auto &[Name, Installed] : Policy.m_Routes)
      Installed.m_AllowsAnonymous = m_AllowsAnonymous;
    for (const RouteName &Removed : m_RemovedRoutes)
      Policy.m_Routes.erase(Removed);
    Policy.m_TransactionIdleMs = 3'000;
    m_Control.accept(InstallPolicy{Policy, ""});
  }

  void publishDirectory() {
    m_Control.m_Directory.m_Term = 1;
    ++m_Control.m_Directory.m_Version;
    m_Control.m_Directory.m_IsComplete = true;
    m_Control.m_Directory.m_Instances.clear();
    for (const std::unique_ptr<FakeInstance> &Instance : m_Instances)
      m_Control.m_Directory.m_Instances.push_back(Instance->m_Description);
  }

  FakeInstance &instance(size_t Index) { return *m_Instances[Index]; }

  // Callers.

  SessionId open(const std::string &Route, const std::string &Key = "key-a") {
    SessionId Id{++m_LastSession};
    handle(SessionOpened{Id, RouteName{Route}, digestOfKey(Key)});
    return Id;
  }
  void send(SessionId Id, Statement Sent) {
    Sent.m_RequestId = "r" + std::to_string(++m_LastRequest);
    handle(StatementReceived{Id, std::move(Sent)});
  }
  /// Sends a statement and returns its reply; throws when none arrives within
  /// Limit.
  StatementReply sendAndWait(SessionId Id, const Statement &Sent,
                             Duration Limit = milliseconds(3'000)) {
    size_t Before = m_Replies[Id].size();
    send(Id, Sent);
    for (Time End = m_Now + Limit;
         m_Now < End && m_Replies[Id].size() == Before;)
      run(milliseconds(5));
    if (m_Replies[Id].size() == Before)
      throw std::logic_error("no reply within the time limit of the test");
    return m_Replies[Id].back();
  }
  void close(SessionId Id) { handle(SessionEnded{Id}); }

  static Statement makeStatement(StatementKind Kind, const std::string &Text) {
    Statement Made;
    Made.m_Kind = Kind;
    Made.m_Text = Text;
    return Made;
  }
  static Statement read() {
    return makeStatement(StatementKind::Read, "READ 1");
  }
  static Statement write() {
    return makeStatement(StatementKind::Write, "WRITE 1 x");
  }
  static Statement begin() {
    return makeStatement(StatementKind::Begin, "BEGIN");
  }
  static Statement commit() {
    return makeStatement(StatementKind::Commit, "COMMIT");
  }
  static Statement rollback() {
    return makeStatement(StatementKind::Rollback, "ROLLBACK");
  }
  static Statement set(const std::string &Name, const std::string &Value) {
    Statement Made = makeStatement(StatementKind::SetVariable, "SET");
    Made.m_Name = Name;
    Made.m_Argument = Value;
    return Made;
  }
  static Statement prepare(const std::string &Name,
                           const std::string &Template) {
    Statement Made = makeStatement(StatementKind::Prepare, "PREPARE");
    Made.m_Name = Name;
    Made.m_Argument = Template;
    return Made;
  }
  static Statement execute(const std::string &Name) {
    Statement Made = makeStatement(StatementKind::Execute, "EXECUTE");
    Made.m_Name = Name;
    Made.m_Argument = "1";
    return Made;
  }

  // Time.

  void run(Duration Time) {
    for (almondpier::Time End = m_Now + Time; m_Now < End;) {
      m_Now += milliseconds(1);
      while (!m_Scheduled.empty() && m_Scheduled.begin()->first <= m_Now) {
        std::function<void()> Action = std::move(m_Scheduled.begin()->second);
        m_Scheduled.erase(m_Scheduled.begin());
        Action();
      }
      if (++m_Steps % 5 == 0)
        handle(Tick{});
    }
  }
  /// Advances the clock without handling any event.
  void suspend(Duration Time) {
    m_Now += Time;
    m_Steps = 0;
  }
  void handle(const SessionEvent &Event) {
    SessionActions Actions;
    ProxyActions ControlActions;
    m_Core->handle(Event, m_Now, Actions, ControlActions);
    for (const SessionAction &Action : Actions)
      std::visit([&](const auto &Typed) { on(Typed); }, Action);
    for (const ProxyAction &Action : ControlActions)
      std::visit([&](const auto &Typed) { on(Typed); }, Action);
  }

  /// Identifier of the request that was sent last.
  std::string lastRequest() const {
    return "r" + std::to_string(m_LastRequest);
  }
  /// Returns how many statements of a kind an instance received.
  size_t receivedCount(size_t Index, StatementKind Kind) {
    size_t Count = 0;
    for (const Statement &Received : m_Instances[Index]->m_Received)
      Count += Received.m_Kind == Kind ? 1 : 0;
    return Count;
  }
  size_t connectionCount(size_t Index) const {
    size_t Count = 0;
    for (const auto &[Id, Open] : m_Connections)
      Count += Open.m_Instance == Index ? 1 : 0;
    return Count;
  }

  Time m_Now{std::chrono::hours(1)};
  FakeControl m_Control;
  std::map<OrganisationName, std::string> m_Keys{
      {OrganisationName{"ann"}, "key-a"}, {OrganisationName{"bob"}, "key-b"}};
  /// Routes that the next policy lacks.
  std::set<RouteName> m_RemovedRoutes;
  /// The routes of the next policy admit callers without a key.
  bool m_AllowsAnonymous = false;
  /// Timeout of statements in the next policy.
  uint32_t m_StatementTimeoutMs = 1'000;
  /// The control hosts are unreachable.
  bool m_IsControlDown = false;
  std::map<SessionId, std::vector<StatementReply>> m_Replies;
  std::set<SessionId> m_Accepted;
  std::map<SessionId, SessionError> m_Refused;
  std::set<SessionId> m_Closed;
  bool m_IsShutDown = false;
  std::unique_ptr<SessionCore> m_Core;
  size_t m_OpenedConnections = 0;

  struct OpenConnection {
    size_t m_Instance = 0;
    OrganisationName m_Organisation;
    TransactionState m_State = TransactionState::None;
    bool m_ChecksLeadership = false;
    bool m_HasWritten = false;
    std::map<std::string, std::string> m_Variables;
    std::set<std::string> m_Prepared;
  };
  std::map<ConnectionId, OpenConnection> m_Connections;
  /// How often instances executed each single write, by its request.
  std::map<std::string, int> m_ExecutedWrites;
  /// Called for each caller's statement that an instance receives.
  std::function<void(const OpenConnection &, const Statement &)> m_OnRun;

private:
  void addInstance(bool IsPrimary) {
    size_t Index = m_Instances.size();
    std::unique_ptr<FakeInstance> Added = std::make_unique<FakeInstance>();
    Added->m_IsPrimary = IsPrimary;
    Added->m_Description.m_Name =
        InstanceName{"i-" + std::string(1, static_cast<char>('a' + Index))};
    Added->m_Description.m_Database = kDatabase;
    Added->m_Description.m_StatementEndpoint = {
        "127.0.0.1", static_cast<uint16_t>(8'000 + Index)};
    Added->m_Description.m_Slots = 3;
    Added->m_Description.m_IsPrimary = IsPrimary;
    m_Instances.push_back(std::move(Added));
    publishDirectory();
  }

  void schedule(Duration After, std::function<void()> Action) {
    m_Scheduled.emplace(m_Now + After, std::move(Action));
  }

  void on(const AcceptSession &Action) { m_Accepted.insert(Action.m_Session); }
  void on(const RefuseSession &Action) {
    m_Refused[Action.m_Session] = Action.m_Error;
  }
  void on(const ReplyToStatement &Action) {
    m_Replies[Action.m_Session].push_back(Action.m_Reply);
  }
  void on(const CloseSession &Action) { m_Closed.insert(Action.m_Session); }
  void on(const OpenInstanceConnection &Action) {
    ++m_OpenedConnections;
    size_t Index = Action.m_Endpoint.m_Port - 8'000U;
    m_Connections[Action.m_Connection] =
        OpenConnection{Index, Action.m_Organisation};
    ConnectionId Id = Action.m_Connection;
    if (!m_Instances[Index]->m_IsUnreachable)
      schedule(milliseconds(2), [this, Id] {
        handle(InstanceConnected{Id, {}});
      });
  }
  void on(const CloseConnection &Action) {
    m_Connections.erase(Action.m_Connection);
  }
  void on(const SendToInstance &Action) {
    auto Found = m_Connections.find(Action.m_Connection);
    if (Found == m_Connections.end())
      return;
    FakeInstance &Instance = *m_Instances[Found->second.m_Instance];
    if (Instance.m_IsUnreachable)
      return;
    Instance.m_Received.push_back(Action.m_Statement);
    if (m_OnRun && !Action.m_Statement.m_RequestId.empty())
      m_OnRun(Found->second, Action.m_Statement);
    StatementReply Reply = replyOf(Instance, Found->second, Action);
    if (Instance.m_DropsReplies)
      return;
    scheduleReply(Action.m_Connection, Reply, Instance.m_Latency);
    for (Duration Delay : Instance.m_Repeats)
      scheduleReply(Action.m_Connection, Reply, Instance.m_Latency + Delay);
  }
  void scheduleReply(ConnectionId Id, const StatementReply &Reply,
                     Duration After) {
    schedule(After, [this, Id, Reply] {
      if (m_Connections.contains(Id))
        handle(InstanceReplied{Id, Reply});
    });
  }

  StatementReply replyOf(FakeInstance &Instance, OpenConnection &Connection,
                         const SendToInstance &Action) {
    StatementReply Reply;
    Reply.m_Error = errorOf(Instance, Connection, Action);
    const Statement &Sent = Action.m_Statement;
    if (Reply.m_Error) {
      // An overloaded instance did not run the statement and leaves the
      // transaction open.
      if (Connection.m_State == TransactionState::Open &&
          Reply.m_Error != SessionError::Busy)
        Connection.m_State = TransactionState::Failed;
      Reply.m_State = Connection.m_State;
      Reply.m_Position = Instance.m_Position;
      return Reply;
    }
    bool IsWrite = Sent.m_Kind == StatementKind::Write;
    Connection.m_HasWritten |= IsWrite;
    // Only statements that occupy a slot have a receipt, each its own.
    bool HasReceipt = IsWrite || Sent.m_Kind == StatementKind::Read ||
                      Sent.m_Kind == StatementKind::Execute ||
                      Sent.m_Kind == StatementKind::Commit;
    if (HasReceipt)
      Reply.m_Receipt = "receipt " + std::to_string(++m_LastReceipt);
    switch (Sent.m_Kind) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
      Connection.m_State = TransactionState::Open;
      Connection.m_ChecksLeadership = Sent.m_Kind == StatementKind::Begin;
      Connection.m_HasWritten = false;
      break;
    case StatementKind::Commit:
    case StatementKind::Rollback:
      if (Sent.m_Kind == StatementKind::Commit && Connection.m_HasWritten)
        ++Instance.m_Position.m_Index;
      Connection.m_State = TransactionState::None;
      break;
    case StatementKind::Reset:
      Connection.m_Variables.clear();
      Connection.m_Prepared.clear();
      break;
    case StatementKind::SetVariable:
      Connection.m_Variables[Sent.m_Name] = Sent.m_Argument;
      break;
    case StatementKind::Prepare:
      Connection.m_Prepared.insert(Sent.m_Name);
      break;
    default:
      if (IsWrite && Connection.m_State == TransactionState::None) {
        ++Instance.m_Position.m_Index;
        ++m_ExecutedWrites[Sent.m_RequestId];
      }
      Reply.m_Rows = {"row of " + Sent.m_RequestId};
      break;
    }
    Reply.m_State = Connection.m_State;
    Reply.m_Position = Instance.m_Position;
    return Reply;
  }

  static std::optional<SessionError> errorOf(const FakeInstance &Instance,
                                             const OpenConnection &Connection,
                                             const SendToInstance &Action) {
    StatementKind Kind = Action.m_Statement.m_Kind;
    bool IsExempt = Kind == StatementKind::Rollback ||
                    (Instance.m_RejectsOnlyInSlots && !hasReceipt(Kind));
    if (Instance.m_ForcedError && !IsExempt)
      return Instance.m_ForcedError;
    if (Action.m_MinPosition && Instance.m_Position < *Action.m_MinPosition)
      return SessionError::Lagging;
    bool NeedsPrimary = Kind == StatementKind::Begin ||
                        Kind == StatementKind::Write ||
                        (Connection.m_ChecksLeadership &&
                         Connection.m_State == TransactionState::Open &&
                         Kind != StatementKind::Rollback);
    if (NeedsPrimary && !Instance.m_IsPrimary)
      return SessionError::ReadOnly;
    if (Kind == StatementKind::Execute &&
        !Connection.m_Prepared.contains(Action.m_Statement.m_Name))
      return SessionError::UnknownStatement;
    return std::nullopt;
  }

  void on(const OpenLink &Action) {
    LinkId Link = Action.m_Link;
    if (!m_IsControlDown)
      schedule(milliseconds(1), [this, Link] { handle(LinkOpened{Link}); });
  }
  void on(const SendMessage &Action) {
    if (m_IsControlDown)
      return;
    LinkId Link = Action.m_Link;
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Action.m_Message))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        schedule(milliseconds(1), [this, Link, Reply] {
          handle(MessageReceived{Link, Reply});
        });
    const TokenRequest *Tokens = std::get_if<TokenRequest>(&Action.m_Message);
    if (Tokens != nullptr && m_Control.m_LendsTokens) {
      TokenGrant Grant = m_Control.lend(*Tokens);
      schedule(milliseconds(1), [this, Link, Grant] {
        handle(MessageReceived{Link, Grant});
      });
    }
  }
  void on(const ShutdownComplete & /*Action*/) { m_IsShutDown = true; }
  template <typename Other> void on(const Other & /*Action*/) {}

  std::multimap<Time, std::function<void()>> m_Scheduled;
  std::vector<std::unique_ptr<FakeInstance>> m_Instances;
  uint32_t m_ConnectionLimit;
  uint64_t m_PolicyVersion = 0;
  uint64_t m_LastSession = 0;
  uint64_t m_LastRequest = 0;
  uint64_t m_LastReceipt = 0;
  uint64_t m_Steps = 0;
};

} // namespace almondpier::sessiontest
