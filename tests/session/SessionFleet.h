/// \file
/// Several session cores on one simulated clock, connected by links, against
/// instances with a limited number of slots, queue places and connections.
#pragma once

#include "decision/session/SessionCore.h"
#include "proxy/FakeControl.h"

#include <functional>
#include <random>

namespace almondpier::sessiontest {

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct FleetShape {
  size_t m_Hosts = 3;
  size_t m_Groups = 1;
  size_t m_Organisations = 2;
  uint32_t m_Slots = 3;
  size_t m_QueueLimit = 32;
  uint32_t m_ConnectionLimit = 23;
  Duration m_Handshake = milliseconds(12);
  Duration m_Work = milliseconds(20);
  Duration m_HopDelay = microseconds(700);
  Duration m_ReplicaLag = milliseconds(8);
};

class SessionFleet {
public:
  static constexpr uint16_t kControlPort = 7'000;
  static constexpr uint16_t kHostPort = 10'000;
  static constexpr uint16_t kInstancePort = 30'000;
  static constexpr size_t kInstancesPerGroup = 3;

  struct Instance {
    InstanceDescription m_Description;
    bool m_IsPrimary = false;
    Position m_Position{1, 100};
    /// Hosts that cannot reach the instance.
    std::set<size_t> m_CutHosts;
    size_t m_Busy = 0;
    std::deque<std::function<void()>> m_Queue;
    size_t m_Connections = 0;
    size_t m_MaxConnections = 0;
    size_t m_Opened = 0;
    size_t m_RefusedOverLimit = 0;
    size_t m_RefusedBusy = 0;
    size_t m_Executed = 0;
  };

  explicit SessionFleet(const FleetShape &Shape) : m_Shape(Shape) {
    m_Control.m_Leader = HostName{"c0"};
    m_Control.m_Members = {ControlMember{
        MemberId{1}, HostName{"c0"}, {}, {"127.0.0.1", kControlPort}, {}}};
    for (size_t Index = 0; Index < Shape.m_Hosts; ++Index)
      m_Control.accept(RegisterHost{recordOf(Index)});
    installPolicy();
    for (size_t Group = 0; Group < Shape.m_Groups; ++Group)
      for (size_t Member = 0; Member < kInstancesPerGroup; ++Member)
        addInstance(Group, Member == 0);
    publishDirectory();
    m_Hosts.resize(Shape.m_Hosts);
    for (size_t Index = 0; Index < Shape.m_Hosts; ++Index)
      start(Index);
    run(milliseconds(700));
  }

  // Hosts.

  void start(size_t Index) {
    ProxyOptions Options;
    Options.m_Host = recordOf(Index);
    Options.m_FleetSecret = "0123456789abcdef";
    Options.m_ControlPeers = {{"127.0.0.1", kControlPort}};
    m_Hosts[Index].m_Core = std::make_unique<SessionCore>(
        Options,
        SessionLimits::fromBounds(milliseconds(5'000), milliseconds(6'000)),
        m_Now);
    m_Hosts[Index].m_IsRunning = true;
    m_Hosts[Index].m_IsShutDown = false;
  }
  /// Ends the process: its links and connections are reset.
  void kill(size_t Index) {
    m_Hosts[Index].m_IsRunning = false;
    std::vector<std::pair<size_t, LinkId>> Links;
    for (const auto &[End, Peer] : m_Links)
      if (End.first == Index)
        Links.push_back(End);
    for (const auto &End : Links)
      closeLink(End);
    std::vector<std::pair<size_t, ConnectionId>> Connections;
    for (const auto &[Id, Open] : m_Connections)
      if (Id.first == Index)
        Connections.push_back(Id);
    for (const auto &Id : Connections)
      closeConnection(Id);
  }
  /// While frozen, a host handles nothing; its input waits.
  void setFrozen(size_t Index, bool IsFrozen) {
    m_Hosts[Index].m_IsFrozen = IsFrozen;
    if (IsFrozen)
      return;
    for (const SessionEvent &Event :
         std::exchange(m_Hosts[Index].m_Delayed, {}))
      handle(Index, Event);
  }
  void shutDown(size_t Index) { handle(Index, ShutdownRequested{}); }
  bool isShutDown(size_t Index) const { return m_Hosts[Index].m_IsShutDown; }
  /// Returns the host with the most statements served for others.
  size_t busiestOwner() const {
    size_t Best = 0;
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      if (counter(Index, "almondpier_statements_served_total") >
          counter(Best, "almondpier_statements_served_total"))
        Best = Index;
    return Best;
  }
  double counter(size_t Index, const std::string &Name) const {
    for (const Counter &Value : m_Hosts[Index].m_Core->counters())
      if (Value.m_Name == Name)
        return Value.m_Value;
    throw std::logic_error("no counter " + Name);
  }

  // Callers.

  struct Session {
    size_t m_Host = 0;
    SessionId m_Id;
    std::vector<StatementReply> m_Replies;
    bool m_IsClosed = false;
  };
  size_t open(size_t Host, const std::string &Guarantee, size_t Group = 0,
              size_t Organisation = 0) {
    Session Opened{Host, SessionId{++m_LastSession}, {}, false};
    m_Sessions.push_back(Opened);
    handle(Host, SessionOpened{Opened.m_Id, routeOf(Guarantee, Group),
                               digestOfKey(keyOf(Organisation))});
    return m_Sessions.size() - 1;
  }
  void close(size_t Index) {
    handle(m_Sessions[Index].m_Host, SessionEnded{m_Sessions[Index].m_Id});
  }
  void send(size_t Index, StatementKind Kind, const std::string &Text = "") {
    Statement Sent;
    Sent.m_Kind = Kind;
    Sent.m_Text = Text;
    sendStatement(Index, std::move(Sent));
  }
  void sendStatement(size_t Index, Statement Sent) {
    Sent.m_RequestId = "r" + std::to_string(++m_LastRequest);
    handle(m_Sessions[Index].m_Host,
           StatementReceived{m_Sessions[Index].m_Id, std::move(Sent)});
  }
  StatementReply sendAndWait(size_t Index, StatementKind Kind,
                             const std::string &Text = "") {
    Statement Sent;
    Sent.m_Kind = Kind;
    Sent.m_Text = Text;
    return sendAndWait(Index, Sent);
  }
  StatementReply sendAndWait(size_t Index, const Statement &Sent) {
    size_t Before = m_Sessions[Index].m_Replies.size();
    sendStatement(Index, Sent);
    for (int Step = 0;
         Step < 800 && m_Sessions[Index].m_Replies.size() == Before; ++Step)
      run(milliseconds(5));
    if (m_Sessions[Index].m_Replies.size() == Before)
      throw std::logic_error("no reply within 4 s");
    return m_Sessions[Index].m_Replies.back();
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
      if (++m_Steps % 5 != 0)
        continue;
      for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
        if (m_Hosts[Index].m_IsRunning && !m_Hosts[Index].m_IsFrozen)
          handle(Index, Tick{});
    }
  }
  void handle(size_t Index, const SessionEvent &Event) {
    Host &Target = m_Hosts[Index];
    if (!Target.m_IsRunning)
      return;
    if (Target.m_IsFrozen) {
      Target.m_Delayed.push_back(Event);
      return;
    }
    SessionActions Actions;
    ProxyActions ControlActions;
    Target.m_Core->handle(Event, m_Now, Actions, ControlActions);
    for (const SessionAction &Action : Actions)
      std::visit([&](const auto &Typed) { on(Index, Typed); }, Action);
    for (const ProxyAction &Action : ControlActions)
      std::visit([&](const auto &Typed) { on(Index, Typed); }, Action);
  }

  Instance &instance(size_t Group, size_t Member) {
    return *m_Instances[Group * kInstancesPerGroup + Member];
  }
  size_t instanceCount() const { return m_Instances.size(); }
  Instance &instanceAt(size_t Index) { return *m_Instances[Index]; }

  FleetShape m_Shape;
  Time m_Now{std::chrono::hours(1)};
  FakeControl m_Control;
  std::vector<Session> m_Sessions;
  /// Identifiers of the callers' statements that instances executed, in order.
  std::vector<std::string> m_ExecutedRequests;
  /// Drops the messages from a host to another one for which it returns true.
  std::function<bool(size_t, size_t, const Message &)> m_DropsMessage;
  std::vector<std::string> m_Decisions;

private:
  struct Host {
    std::unique_ptr<SessionCore> m_Core;
    bool m_IsRunning = false;
    bool m_IsFrozen = false;
    bool m_IsShutDown = false;
    std::vector<SessionEvent> m_Delayed;
    uint64_t m_LastAcceptedLink = 0;
  };
  struct Connection {
    size_t m_Instance = 0;
    TransactionState m_State = TransactionState::None;
    bool m_HasWritten = false;
    bool m_ChecksLeadership = false;
  };
  using LinkEnd = std::pair<size_t, LinkId>;
  using ConnectionKey = std::pair<size_t, ConnectionId>;

  static std::string keyOf(size_t Organisation) {
    return "key-" + std::to_string(Organisation);
  }
  static DatabaseName groupName(size_t Group) {
    return DatabaseName{"races" + std::to_string(Group)};
  }
  static RouteName routeOf(const std::string &Guarantee, size_t Group) {
    return RouteName{Guarantee + std::to_string(Group)};
  }
  static HostRecord recordOf(size_t Index) {
    return HostRecord{HostName{"h" + std::to_string(Index)},
                      {"z" + std::to_string(Index % 3)},
                      {"127.0.0.1", static_cast<uint16_t>(kHostPort + Index)}};
  }

  void installPolicy() {
    FleetPolicy Policy;
    Policy.m_Version = 1;
    for (size_t Index = 0; Index < m_Shape.m_Organisations; ++Index)
      Policy.m_Organisations[OrganisationName{"o" + std::to_string(Index)}] =
          OrganisationPolicy{{digestOfKey(keyOf(Index))},
                             Limit{100'000, 100'000}};
    for (size_t Group = 0; Group < m_Shape.m_Groups; ++Group) {
      Policy.m_Groups[groupName(Group)] =
          GroupPolicy{m_Shape.m_ConnectionLimit, 0};
      RoutePolicy Route;
      Route.m_Database = groupName(Group);
      Route.m_TargetLatencyMs = 400;
      Policy.m_Routes[routeOf("primary", Group)] = Route;
      Route.m_MaxReadAgeMs = 1'500;
      Route.m_Guarantee = ReadGuarantee::BoundedAge;
      Policy.m_Routes[routeOf("bounded", Group)] = Route;
      Route.m_Guarantee = ReadGuarantee::ReadYourWrites;
      Policy.m_Routes[routeOf("own", Group)] = Route;
    }
    Policy.m_TransactionIdleMs = 3'000;
    m_Control.m_ChunkBytes = 100'000;
    m_Control.accept(InstallPolicy{Policy, ""});
  }

  void addInstance(size_t Group, bool IsPrimary) {
    size_t Index = m_Instances.size();
    std::unique_ptr<Instance> Added = std::make_unique<Instance>();
    Added->m_IsPrimary = IsPrimary;
    Added->m_Description.m_Name =
        InstanceName{"i-" + std::to_string(1'000 + Index)};
    Added->m_Description.m_Database = groupName(Group);
    Added->m_Description.m_Zone = {"z" + std::to_string(Index % 3)};
    Added->m_Description.m_StatementEndpoint = {
        "127.0.0.1", static_cast<uint16_t>(kInstancePort + Index)};
    Added->m_Description.m_Slots = m_Shape.m_Slots;
    Added->m_Description.m_IsPrimary = IsPrimary;
    m_Instances.push_back(std::move(Added));
  }
  void publishDirectory() {
    m_Control.m_Directory.m_Term = 1;
    ++m_Control.m_Directory.m_Version;
    m_Control.m_Directory.m_IsComplete = true;
    m_Control.m_Directory.m_Instances.clear();
    for (const std::unique_ptr<Instance> &Known : m_Instances)
      m_Control.m_Directory.m_Instances.push_back(Known->m_Description);
  }

  void schedule(Duration After, std::function<void()> Action) {
    m_Scheduled.emplace(m_Now + After, std::move(Action));
  }

  // Links.

  void on(size_t Index, const OpenLink &Action) {
    LinkEnd End{Index, Action.m_Link};
    if (Action.m_Peer.m_Port == kControlPort)
      return schedule(milliseconds(1), [this, End] {
        handle(End.first, LinkOpened{End.second});
      });
    size_t Peer = Action.m_Peer.m_Port - size_t{kHostPort};
    schedule(2 * m_Shape.m_HopDelay, [this, End, Peer] {
      if (!m_Hosts[Peer].m_IsRunning)
        return handle(End.first, LinkClosed{End.second, "refused"});
      LinkEnd Accepted{Peer, LinkId{m_Hosts[Peer].m_LastAcceptedLink += 2}};
      m_Links[End] = Accepted;
      m_Links[Accepted] = End;
      handle(End.first, LinkOpened{End.second});
      handle(Peer, LinkOpened{Accepted.second});
    });
  }
  void closeLink(const LinkEnd &End) {
    auto Found = m_Links.find(End);
    if (Found == m_Links.end())
      return;
    LinkEnd Peer = Found->second;
    m_Links.erase(Found);
    m_Links.erase(Peer);
    schedule(m_Shape.m_HopDelay, [this, Peer] {
      handle(Peer.first, LinkClosed{Peer.second, "reset"});
    });
  }
  void on(size_t Index, const CloseLink &Action) {
    closeLink({Index, Action.m_Link});
  }
  void on(size_t Index, const SendMessage &Action) {
    LinkEnd End{Index, Action.m_Link};
    auto Found = m_Links.find(End);
    if (Found == m_Links.end())
      return sendToControl(End, Action.m_Message);
    LinkEnd Peer = Found->second;
    if (m_DropsMessage && m_DropsMessage(Index, Peer.first, Action.m_Message))
      return;
    schedule(m_Shape.m_HopDelay, [this, Peer, Sent = Action.m_Message] {
      if (m_Links.contains(Peer))
        handle(Peer.first, MessageReceived{Peer.second, Sent});
    });
  }
  void sendToControl(const LinkEnd &End, const Message &Sent) {
    std::vector<Message> Replies;
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Sent))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        Replies.emplace_back(Reply);
    if (const TokenRequest *Tokens = std::get_if<TokenRequest>(&Sent))
      Replies.emplace_back(m_Control.lend(*Tokens));
    for (const Message &Reply : Replies)
      schedule(milliseconds(1), [this, End, Reply] {
        handle(End.first, MessageReceived{End.second, Reply});
      });
  }

  // Connections to instances.

  void on(size_t Index, const OpenInstanceConnection &Action) {
    ConnectionKey Key{Index, Action.m_Connection};
    size_t Target =
        Action.m_Endpoint.m_Port - static_cast<size_t>(kInstancePort);
    Instance &Opened = *m_Instances[Target];
    m_Connections[Key] = Connection{Target};
    if (Opened.m_CutHosts.contains(Index))
      return;
    ++Opened.m_Opened;
    if (++Opened.m_Connections > m_Shape.m_ConnectionLimit) {
      ++Opened.m_RefusedOverLimit;
      return schedule(m_Shape.m_HopDelay, [this, Key] {
        handle(Key.first,
               InstanceRefused{Key.second, SessionError::TooManyConnections});
      });
    }
    Opened.m_MaxConnections =
        std::max(Opened.m_MaxConnections, Opened.m_Connections);
    occupySlot(Target, m_Shape.m_Handshake, [this, Key] {
      if (m_Connections.contains(Key))
        handle(Key.first, InstanceConnected{Key.second, {}});
    });
  }
  void closeConnection(const ConnectionKey &Key) {
    auto Found = m_Connections.find(Key);
    if (Found == m_Connections.end())
      return;
    Instance &Closed = *m_Instances[Found->second.m_Instance];
    if (!Closed.m_CutHosts.contains(Key.first) && Closed.m_Connections > 0)
      --Closed.m_Connections;
    m_Connections.erase(Found);
  }
  void on(size_t Index, const CloseConnection &Action) {
    closeConnection({Index, Action.m_Connection});
  }
  void occupySlot(size_t Target, Duration Work, std::function<void()> Done) {
    Instance &Worker = *m_Instances[Target];
    std::function<void()> Start = [this, Target, Work, Done = std::move(Done)] {
      schedule(Work, [this, Target, Done] {
        Instance &Freed = *m_Instances[Target];
        --Freed.m_Busy;
        Done();
        if (Freed.m_Queue.empty() || Freed.m_Busy >= m_Shape.m_Slots)
          return;
        std::function<void()> Next = std::move(Freed.m_Queue.front());
        Freed.m_Queue.pop_front();
        ++Freed.m_Busy;
        Next();
      });
    };
    if (Worker.m_Busy < m_Shape.m_Slots) {
      ++Worker.m_Busy;
      return Start();
    }
    Worker.m_Queue.push_back(std::move(Start));
  }
  void on(size_t Index, const SendToInstance &Action) {
    ConnectionKey Key{Index, Action.m_Connection};
    auto Found = m_Connections.find(Key);
    if (Found == m_Connections.end())
      return;
    size_t Target = Found->second.m_Instance;
    Instance &Receiver = *m_Instances[Target];
    if (Receiver.m_CutHosts.contains(Index))
      return;
    StatementKind Kind = Action.m_Statement.m_Kind;
    bool NeedsSlot =
        Kind == StatementKind::Read || Kind == StatementKind::Write ||
        Kind == StatementKind::Execute || Kind == StatementKind::Commit;
    bool IsFull = NeedsSlot && Receiver.m_Busy >= m_Shape.m_Slots &&
                  Receiver.m_Queue.size() >= m_Shape.m_QueueLimit;
    StatementReply Reply = replyOf(Receiver, Found->second, Action, IsFull);
    std::function<void()> Answer = [this, Key, Reply] {
      schedule(m_Shape.m_HopDelay, [this, Key, Reply] {
        if (m_Connections.contains(Key))
          handle(Key.first, InstanceReplied{Key.second, Reply});
      });
    };
    if (Receiver.m_IsPrimary)
      replicate(Target);
    if (!NeedsSlot || Reply.m_Error)
      return Answer();
    ++Receiver.m_Executed;
    if (!Action.m_Statement.m_RequestId.empty())
      m_ExecutedRequests.push_back(Action.m_Statement.m_RequestId);
    occupySlot(Target, m_Shape.m_Work, Answer);
  }
  void replicate(size_t Primary) {
    Position Written = m_Instances[Primary]->m_Position;
    for (size_t Member = 1; Member < kInstancesPerGroup; ++Member)
      schedule(m_Shape.m_ReplicaLag, [this, Primary, Member, Written] {
        Instance &Replica = *m_Instances[Primary + Member];
        Replica.m_Position = std::max(Replica.m_Position, Written);
      });
  }
  static StatementReply replyOf(Instance &Receiver, Connection &Used,
                                const SendToInstance &Action, bool IsFull) {
    StatementKind Kind = Action.m_Statement.m_Kind;
    bool IsWrite = Kind == StatementKind::Write;
    StatementReply Reply;
    bool NeedsPrimary =
        Kind == StatementKind::Begin || IsWrite ||
        (Used.m_ChecksLeadership && Used.m_State == TransactionState::Open &&
         Kind != StatementKind::Rollback);
    if (IsFull) {
      ++Receiver.m_RefusedBusy;
      Reply.m_Error = SessionError::Busy;
    } else if (NeedsPrimary && !Receiver.m_IsPrimary) {
      Reply.m_Error = SessionError::ReadOnly;
    } else if (Action.m_MinPosition &&
               Receiver.m_Position < *Action.m_MinPosition) {
      Reply.m_Error = SessionError::Lagging;
    }
    if (Reply.m_Error) {
      if (Used.m_State == TransactionState::Open)
        Used.m_State = TransactionState::Failed;
      Reply.m_State = Used.m_State;
      return Reply;
    }
    if (Kind == StatementKind::Begin || Kind == StatementKind::BeginReadOnly) {
      Used.m_State = TransactionState::Open;
      Used.m_ChecksLeadership = Kind == StatementKind::Begin;
      Used.m_HasWritten = false;
    }
    bool IsCommit = Kind == StatementKind::Commit && Used.m_HasWritten;
    if (IsCommit || (IsWrite && Used.m_State == TransactionState::None))
      ++Receiver.m_Position.m_Index;
    Used.m_HasWritten = Used.m_HasWritten || IsWrite;
    if (Kind == StatementKind::Commit || Kind == StatementKind::Rollback)
      Used.m_State = TransactionState::None;
    Reply.m_Receipt = "receipt";
    Reply.m_State = Used.m_State;
    Reply.m_Position = Receiver.m_Position;
    return Reply;
  }

  // Replies to callers.

  Session *sessionOf(SessionId Id) {
    return Id.m_Value == 0 || Id.m_Value > m_Sessions.size()
               ? nullptr
               : &m_Sessions[Id.m_Value - 1];
  }
  void on(size_t /*Index*/, const ReplyToStatement &Action) {
    if (Session *Found = sessionOf(Action.m_Session))
      Found->m_Replies.push_back(Action.m_Reply);
  }
  void on(size_t /*Index*/, const CloseSession &Action) {
    if (Session *Found = sessionOf(Action.m_Session))
      Found->m_IsClosed = true;
  }
  void on(size_t /*Index*/, const ReportDecision &Action) {
    m_Decisions.push_back(Action.m_Text);
  }
  void on(size_t Index, const ShutdownComplete & /*Action*/) {
    m_Hosts[Index].m_IsShutDown = true;
    schedule(milliseconds(200), [this, Index] { kill(Index); });
  }
  template <typename Other> void on(size_t /*Index*/, const Other &) {}

  std::multimap<Time, std::function<void()>> m_Scheduled;
  std::vector<Host> m_Hosts;
  std::vector<std::unique_ptr<Instance>> m_Instances;
  std::map<LinkEnd, LinkEnd> m_Links;
  std::map<ConnectionKey, Connection> m_Connections;
  uint64_t m_LastSession = 0;
  uint64_t m_LastRequest = 0;
  uint64_t m_Steps = 0;
};

} // namespace almondpier::sessiontest
