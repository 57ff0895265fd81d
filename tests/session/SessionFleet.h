/// \file
/// Several session cores on one simulated clock, connected by links, against
/// instances with a limited number of slots, queue places and connections.
#pragma once

#include "decision/session/SessionCore.h"
#include "proxy/FakeControl.h"
#include "session/ControlCluster.h"
#include "session/NetworkModel.h"

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
  size_t m_KeysPerOrganisation = 1;
  /// Routes that no caller uses, for a policy of the usual size.
  size_t m_IdleRoutes = 0;
  /// Control hosts that run the real core; without any, FakeControl answers.
  size_t m_ControlHosts = 0;
  /// Limits of the links and processors; without them messages take only
  /// m_HopDelay.
  std::optional<NodeCapacity> m_HostCapacity;
  NodeCapacity m_ControlCapacity{12'500, 0.32};
  /// The first hosts, with wider links than the others.
  size_t m_WideHosts = 0;
  NodeCapacity m_WideCapacity{12'500, 0.32};
  bool m_PublishesCapacity = false;
  /// Routes differ in priority: "primary" 0, "own" 1, "bounded" 2.
  bool m_HasPriorities = false;
  /// Statements and rows have 100 to this many bytes, which take their time on
  /// the links between hosts and instances; 0 for short ones that take none.
  size_t m_MaxBodyBytes = 0;
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

  explicit SessionFleet(const FleetShape &Shape)
      : m_Shape(Shape), m_Cluster(Shape.m_ControlHosts) {
    for (size_t Group = 0; Group < Shape.m_Groups; ++Group)
      for (size_t Member = 0; Member < kInstancesPerGroup; ++Member)
        addInstance(Group, Member == 0);
    m_Hosts.resize(Shape.m_Hosts);
    if (m_Cluster.size() > 0)
      startWithControlCluster();
    else
      startWithFakeControl();
  }

private:
  void startWithFakeControl() {
    m_Control.m_Leader = HostName{"c0"};
    m_Control.m_Members = {ControlMember{
        MemberId{1}, HostName{"c0"}, {}, {"127.0.0.1", kControlPort}, {}}};
    for (size_t Index = 0; Index < m_Shape.m_Hosts; ++Index) {
      m_Control.accept(RegisterHost{recordOf(Index)});
      if (m_Shape.m_HostCapacity)
        m_Network.setCapacity(Index, capacityOf(Index));
      if (m_Shape.m_PublishesCapacity)
        m_Control.accept(
            SetHostCapacity{recordOf(Index).m_Name, publishedCapacity(Index)});
    }
    m_Control.m_ChunkBytes = 100'000;
    m_Control.accept(InstallPolicy{makePolicy(1), ""});
    publishDirectory();
    for (size_t Index = 0; Index < m_Shape.m_Hosts; ++Index)
      start(Index);
    run(milliseconds(700));
  }
  void startWithControlCluster() {
    for (size_t Index = 0; Index < m_Cluster.size(); ++Index) {
      m_Network.setCapacity(kControlBase + Index, m_Shape.m_ControlCapacity);
      m_Cluster.start(Index, m_Now);
    }
    for (size_t Index = 0; Index < m_Shape.m_Hosts; ++Index) {
      if (m_Shape.m_HostCapacity)
        m_Network.setCapacity(Index, capacityOf(Index));
      start(Index);
    }
    runUntil([&] { return m_Cluster.leader().has_value(); });
    installPolicy(1);
    runUntil([&] { return readyHosts() == m_Shape.m_Hosts; });
  }

public:
  // Hosts.

  void start(size_t Index) {
    ProxyOptions Options;
    Options.m_Host = recordOf(Index);
    if (m_Shape.m_PublishesCapacity)
      Options.m_Capacity = publishedCapacity(Index);
    Options.m_FleetSecret = "0123456789abcdef";
    Options.m_ControlPeers = {{"127.0.0.1", kControlPort}};
    Options.m_Seed = Index;
    Options.m_Incarnation = ++m_LastIncarnation;
    for (size_t Seed = 1; Seed < std::min<size_t>(3, m_Cluster.size()); ++Seed)
      Options.m_ControlPeers.push_back(m_Cluster.member(Seed).m_Peer);
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
  /// All hosts and control hosts lose power and start again after Down, spread
  /// over Spread. Instances keep the connections of the lost hosts for a while.
  void losePower(Duration Down, Duration Spread) {
    ++m_Epoch;
    m_Links.clear();
    for (auto &[Key, Open] : m_Connections)
      scheduleAlways(kLinger, [this, Target = Open.m_Instance] {
        --m_Instances[Target]->m_Connections;
      });
    m_Connections.clear();
    for (Session &Open : m_Sessions)
      Open.m_IsClosed = true;
    std::mt19937 Random(11);
    auto Startup = [&] {
      return Down + Spread * static_cast<int64_t>(Random() % 1'000) / 1'000;
    };
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index) {
      m_Network.reset(Index);
      m_Hosts[Index].m_IsRunning = false;
      scheduleAlways(Startup(), [this, Index] { start(Index); });
    }
    for (size_t Index = 0; Index < m_Cluster.size(); ++Index) {
      m_Network.reset(kControlBase + Index);
      m_Cluster.stop(Index);
      scheduleAlways(Startup(),
                     [this, Index] { m_Cluster.start(Index, m_Now); });
    }
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
  bool isReady(size_t Index) const {
    return m_Hosts[Index].m_IsRunning && m_Hosts[Index].m_Core->isReady(m_Now);
  }
  size_t readyHosts() const {
    size_t Count = 0;
    for (size_t Index = 0; Index < m_Hosts.size(); ++Index)
      Count += isReady(Index) ? 1 : 0;
    return Count;
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
    Opened.m_IsClosed = !m_Hosts[Host].m_IsRunning;
    m_Sessions.push_back(Opened);
    process(Host, kStatementBytes,
            SessionOpened{Opened.m_Id, routeOf(Guarantee, Group),
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
    process(m_Sessions[Index].m_Host, kStatementBytes,
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

  /// Runs until Condition holds; returns whether it held within Limit.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(20)) {
    for (Time End = m_Now + Limit; m_Now < End && !Condition();)
      run(milliseconds(50));
    return Condition();
  }
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
        if (m_Hosts[Index].m_IsRunning && !m_Hosts[Index].m_IsFrozen &&
            !isBusy(Index))
          handle(Index, Tick{});
      for (size_t Index = 0; Index < m_Cluster.size(); ++Index)
        if (!isBusy(kControlBase + Index))
          handleControl(Index, ClockTick{m_Steps});
      if (m_Cluster.size() > 0 && m_Steps % kCheckInMs == 0)
        checkIn();
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

  FleetPolicy policyOf(uint64_t Version) const { return makePolicy(Version); }
  /// Identifier of the statement that was sent last.
  std::string lastRequestId() const {
    return "r" + std::to_string(m_LastRequest);
  }
  static KeyDigest keyDigestOf(size_t Organisation) {
    return digestOfKey(keyOf(Organisation));
  }

  /// Makes a member the primary of its group, as a promotion does.
  void promote(size_t Group, size_t Member) {
    for (size_t Index = 0; Index < kInstancesPerGroup; ++Index) {
      Instance &Changed = instance(Group, Index);
      Changed.m_IsPrimary = Index == Member;
      Changed.m_Description.m_IsPrimary = Index == Member;
    }
    Instance &Promoted = instance(Group, Member);
    ++Promoted.m_Position.m_Term;
    publishDirectory();
  }

  /// Installs a policy of the given version at the leader.
  void installPolicy(uint64_t Version) {
    handleControl(*m_Cluster.leader(),
                  PolicySubmitted{OperationId{++m_LastOperation},
                                  InstallPolicy{makePolicy(Version), ""}});
  }

  Instance &instance(size_t Group, size_t Member) {
    return *m_Instances[Group * kInstancesPerGroup + Member];
  }
  size_t instanceCount() const { return m_Instances.size(); }
  Instance &instanceAt(size_t Index) { return *m_Instances[Index]; }

  FleetShape m_Shape;
  ControlCluster m_Cluster;
  NetworkModel m_Network;
  Time m_Now{std::chrono::hours(1)};
  FakeControl m_Control;
  std::vector<Session> m_Sessions;
  /// Identifiers of the callers' statements that instances executed, in order.
  std::vector<std::string> m_ExecutedRequests;
  /// Drops the messages from a host to another one for which it returns true.
  std::function<bool(size_t, size_t, const Message &)> m_DropsMessage;
  /// Instances reject the statements for which it returns true as overloaded.
  std::function<bool(const Statement &)> m_IsRejectedAsBusy;
  /// Hosts reach control hosts and instances, but not one another.
  bool m_IsPartitioned = false;
  std::vector<std::string> m_Decisions;
  /// Called for each statement that reaches an instance: host, instance and
  /// statement.
  std::function<void(size_t, const Instance &, const Statement &)>
      m_OnStatement;
  /// Returns the delays after which the reply to a statement is sent once more.
  std::function<std::vector<Duration>(const Statement &)> m_Repeats;
  /// The request that each receipt belongs to.
  std::map<std::string, std::string> m_RequestOfReceipt;
  /// Messages between hosts are encoded, which fails for those that are too
  /// large.
  bool m_EncodesMessages = false;
  /// Number of empty rows that each statement of a caller returns.
  size_t m_EmptyRows = 0;
  /// Hosts whose messages to FakeControl are lost.
  std::set<size_t> m_CutFromControl;
  /// Hosts that get each reply of FakeControl twice.
  std::set<size_t> m_RepeatsControl;

  /// Index of the first control host among the nodes of the network.
  static constexpr size_t kControlBase = 100'000;

private:
  /// Instances notice the loss of a peer after this time.
  static constexpr Duration kLinger = std::chrono::seconds(3);
  static constexpr uint64_t kCheckInMs = 1'200;
  static constexpr size_t kStatementBytes = 100;

  struct Host {
    std::unique_ptr<SessionCore> m_Core;
    bool m_IsRunning = false;
    bool m_IsFrozen = false;
    bool m_IsShutDown = false;
    std::vector<SessionEvent> m_Delayed;
  };
  struct Connection {
    size_t m_Instance = 0;
    TransactionState m_State = TransactionState::None;
    bool m_HasWritten = false;
    bool m_ChecksLeadership = false;
    /// A statement runs; those behind it wait.
    bool m_IsRunning = false;
    std::deque<SendToInstance> m_Waiting;
  };
  using LinkEnd = std::pair<size_t, LinkId>;
  using ConnectionKey = std::pair<size_t, ConnectionId>;

  static std::string keyOf(size_t Organisation, size_t Number = 0) {
    return "key-" + std::to_string(Organisation) +
           (Number == 0 ? "" : "-" + std::to_string(Number));
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

  NodeCapacity capacityOf(size_t Index) const {
    return Index < m_Shape.m_WideHosts ? m_Shape.m_WideCapacity
                                       : *m_Shape.m_HostCapacity;
  }
  HostCapacity publishedCapacity(size_t Index) const {
    constexpr double kKbitPerBytesPerMs = 8;
    constexpr double kPermille = 1'000;
    NodeCapacity Capacity = capacityOf(Index);
    return HostCapacity{
        static_cast<uint32_t>(Capacity.m_LinkBytesPerMs * kKbitPerBytesPerMs),
        static_cast<uint32_t>(Capacity.m_CpuShare * kPermille)};
  }

  FleetPolicy makePolicy(uint64_t Version) const {
    FleetPolicy Policy;
    Policy.m_Version = Version;
    for (size_t Index = 0; Index < m_Shape.m_Organisations; ++Index) {
      OrganisationPolicy &Added =
          Policy.m_Organisations[OrganisationName{"o" + std::to_string(Index)}];
      for (size_t Key = 0; Key < m_Shape.m_KeysPerOrganisation; ++Key)
        Added.m_Keys.push_back(digestOfKey(keyOf(Index, Key)));
      Added.m_Limit = Limit{100'000, 100'000};
    }
    for (size_t Group = 0; Group < m_Shape.m_Groups; ++Group) {
      Policy.m_Groups[groupName(Group)] =
          GroupPolicy{m_Shape.m_ConnectionLimit, 0};
      RoutePolicy Route;
      Route.m_Database = groupName(Group);
      Route.m_TargetLatencyMs = 400;
      Policy.m_Routes[routeOf("primary", Group)] = Route;
      Route.m_MaxReadAgeMs = 1'500;
      Route.m_Guarantee = ReadGuarantee::BoundedAge;
      Route.m_Priority = m_Shape.m_HasPriorities ? 2 : 0;
      Policy.m_Routes[routeOf("bounded", Group)] = Route;
      Route.m_Guarantee = ReadGuarantee::ReadYourWrites;
      Route.m_MaxReadAgeMs = m_Shape.m_HasPriorities ? 2'500 : 1'500;
      Route.m_Priority = m_Shape.m_HasPriorities ? 1 : 0;
      Policy.m_Routes[routeOf("own", Group)] = Route;
    }
    for (size_t Index = 0; Index < m_Shape.m_IdleRoutes; ++Index)
      Policy.m_Routes[routeOf("idle", Index)] =
          Policy.m_Routes.at(routeOf("own", 0));
    Policy.m_TransactionIdleMs = 3'000;
    return Policy;
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

  void scheduleAlways(Duration After, std::function<void()> Action) {
    m_Scheduled.emplace(m_Now + After, std::move(Action));
  }
  /// A loss of power before it is due cancels Action.
  void schedule(Duration After, std::function<void()> Action) {
    scheduleAlways(After, [this, Epoch = m_Epoch, Action = std::move(Action)] {
      if (Epoch == m_Epoch)
        Action();
    });
  }

  // Capacity.

  bool hasCapacityLimits() const { return m_Shape.m_HostCapacity.has_value(); }
  bool isBusy(size_t Node) {
    return hasCapacityLimits() && m_Network.isBusy(Node, m_Now);
  }
  /// Handles an event of a host once its processor is free.
  void process(size_t Index, size_t Bytes, const SessionEvent &Event) {
    if (!hasCapacityLimits())
      return handle(Index, Event);
    schedule(m_Network.process(Index, Bytes, m_Now) - m_Now,
             [this, Index, Event] { handle(Index, Event); });
  }
  /// Handles an event of a link once the network has delivered it.
  template <typename Event>
  void deliver(size_t From, const LinkEnd &To, size_t Bytes, Duration Hop,
               const Event &Delivered) {
    if (!hasCapacityLimits())
      return schedule(Hop, [this, To, Delivered] { hand(To, Delivered); });
    Time At = m_Network.deliver(From, To.first, Bytes, Hop, m_Now);
    schedule(At - m_Now, [this, To, Bytes, Delivered] {
      schedule(m_Network.process(To.first, Bytes, m_Now) - m_Now,
               [this, To, Delivered] { hand(To, Delivered); });
    });
  }
  template <typename Event> void hand(const LinkEnd &To, const Event &Handed) {
    if (std::is_same_v<Event, MessageReceived> && !m_Links.contains(To))
      return;
    if (To.first >= kControlBase)
      handleControl(To.first - kControlBase, Handed);
    else if constexpr (std::is_constructible_v<SessionEvent, Event>)
      handle(To.first, Handed);
  }

  // Control hosts.

  void handleControl(size_t Index, const ControlEvent &Event) {
    for (const ControlAction &Action : m_Cluster.handle(Index, Event, m_Now)) {
      size_t Node = kControlBase + Index;
      if (const OpenLink *Open = std::get_if<OpenLink>(&Action))
        on(Node, *Open);
      else if (const CloseLink *Close = std::get_if<CloseLink>(&Action))
        on(Node, *Close);
      else if (const SendMessage *Send = std::get_if<SendMessage>(&Action))
        on(Node, *Send);
    }
  }
  void checkIn() {
    std::optional<size_t> Leader = m_Cluster.leader();
    for (size_t Index = 0; Leader && Index < m_Instances.size(); ++Index)
      handleControl(*Leader,
                    InstanceCheckedIn{OperationId{++m_LastOperation},
                                      {m_Instances[Index]->m_Description,
                                       ++m_LastCheckIn, false}});
  }
  void on(size_t Index, const SendDatagram &Action) {
    if (m_Cluster.size() == 0)
      return;
    LinkEnd To{kControlBase + Action.m_Peer.m_Port - kControlPort, {}};
    deliver(Index, To, encode(Action.m_Message).size(), m_Shape.m_HopDelay,
            DatagramReceived{{}, Action.m_Message});
  }

  // Links.

  void on(size_t Index, const OpenLink &Action) {
    LinkEnd End{Index, Action.m_Link};
    uint16_t Port = Action.m_Peer.m_Port;
    bool IsToControl = Port < kHostPort;
    if (IsToControl && m_Cluster.size() == 0)
      return schedule(milliseconds(1), [this, End] {
        handle(End.first, LinkOpened{End.second});
      });
    size_t Peer = IsToControl ? kControlBase + Port - kControlPort
                              : Port - size_t{kHostPort};
    schedule(2 * m_Shape.m_HopDelay, [this, End, Peer] {
      if (m_IsPartitioned && Peer < kControlBase)
        return hand(End, LinkClosed{End.second, "unreachable"});
      connect(End, Peer);
    });
  }
  void connect(const LinkEnd &End, size_t Peer) {
    bool IsRunning = Peer >= kControlBase
                         ? m_Cluster.isRunning(Peer - kControlBase)
                         : m_Hosts[Peer].m_IsRunning;
    if (!IsRunning)
      return hand(End, LinkClosed{End.second, "refused"});
    LinkEnd Accepted{Peer, LinkId{m_LastAcceptedLink[Peer] += 2}};
    m_Links[End] = Accepted;
    m_Links[Accepted] = End;
    // Both sides send a nonce and a first frame before the link is up.
    deliver(Peer, End, kHandshakeBytes, m_Shape.m_HopDelay,
            LinkOpened{End.second});
    deliver(End.first, Accepted, kHandshakeBytes, m_Shape.m_HopDelay,
            LinkOpened{Accepted.second});
  }
  void closeLink(const LinkEnd &End) {
    auto Found = m_Links.find(End);
    if (Found == m_Links.end())
      return;
    LinkEnd Peer = Found->second;
    m_Links.erase(Found);
    m_Links.erase(Peer);
    schedule(m_Shape.m_HopDelay, [this, Peer] {
      hand(Peer, LinkClosed{Peer.second, "reset"});
    });
  }
  void on(size_t Index, const CloseLink &Action) {
    closeLink({Index, Action.m_Link});
  }
  void on(size_t Index, const SendMessage &Action) {
    LinkEnd End{Index, Action.m_Link};
    auto Found = m_Links.find(End);
    if (Found == m_Links.end())
      return m_Cluster.size() > 0 ? void()
                                  : sendToControl(End, Action.m_Message);
    LinkEnd Peer = Found->second;
    if (m_IsPartitioned && Peer.first < kControlBase)
      return;
    if (m_DropsMessage && m_DropsMessage(Index, Peer.first, Action.m_Message))
      return;
    size_t Bytes = hasCapacityLimits() || m_EncodesMessages
                       ? encode(Action.m_Message).size()
                       : 0;
    deliver(Index, Peer, Bytes, m_Shape.m_HopDelay,
            MessageReceived{Peer.second, Action.m_Message});
  }
  void sendToControl(const LinkEnd &End, const Message &Sent) {
    if (m_CutFromControl.contains(End.first))
      return;
    std::vector<Message> Replies;
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Sent))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        Replies.emplace_back(Reply);
    if (const TokenRequest *Tokens = std::get_if<TokenRequest>(&Sent))
      Replies.emplace_back(m_Control.lend(*Tokens));
    size_t Copies = m_RepeatsControl.contains(End.first) ? 2 : 1;
    for (size_t Copy = 0; Copy < Copies; ++Copy)
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
    std::function<void()> Start = [this, Target, Work, Epoch = m_Epoch,
                                   Done = std::move(Done)] {
      scheduleAlways(Work, [this, Target, Epoch, Done] {
        Instance &Freed = *m_Instances[Target];
        --Freed.m_Busy;
        if (Epoch == m_Epoch)
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
    if (m_Shape.m_MaxBodyBytes == 0)
      return receiveAtInstance(Index, Action);
    Time At = m_Network.send(
        Index, kStatementBytes + Action.m_Statement.m_Text.size(), m_Now);
    schedule(At - m_Now,
             [this, Index, Action] { receiveAtInstance(Index, Action); });
  }
  /// Returns when the reply of an instance has reached the host.
  Time replyArrival(size_t Index, const StatementReply &Reply) {
    Time Sent = m_Now + m_Shape.m_HopDelay;
    if (m_Shape.m_MaxBodyBytes == 0)
      return Sent;
    size_t Bytes = kStatementBytes;
    for (const std::string &Row : Reply.m_Rows)
      Bytes += Row.size();
    return m_Network.receive(Index, Bytes, Sent);
  }
  void finishStatement(const ConnectionKey &Key) {
    auto Found = m_Connections.find(Key);
    if (Found == m_Connections.end())
      return;
    Found->second.m_IsRunning = false;
    if (Found->second.m_Waiting.empty())
      return;
    SendToInstance Next = std::move(Found->second.m_Waiting.front());
    Found->second.m_Waiting.pop_front();
    schedule(Duration{},
             [this, Key, Next] { receiveAtInstance(Key.first, Next); });
  }
  void receiveAtInstance(size_t Index, const SendToInstance &Action) {
    ConnectionKey Key{Index, Action.m_Connection};
    auto Found = m_Connections.find(Key);
    if (Found == m_Connections.end())
      return;
    size_t Target = Found->second.m_Instance;
    Instance &Receiver = *m_Instances[Target];
    if (Receiver.m_CutHosts.contains(Index))
      return;
    // An instance runs the statements of a connection one after the other.
    if (Found->second.m_IsRunning)
      return Found->second.m_Waiting.push_back(Action);
    Found->second.m_IsRunning = true;
    if (m_OnStatement)
      m_OnStatement(Index, Receiver, Action.m_Statement);
    StatementKind Kind = Action.m_Statement.m_Kind;
    bool NeedsSlot =
        Kind == StatementKind::Read || Kind == StatementKind::Write ||
        Kind == StatementKind::Execute || Kind == StatementKind::Commit;
    bool IsFull =
        (NeedsSlot && Receiver.m_Busy >= m_Shape.m_Slots &&
         Receiver.m_Queue.size() >= m_Shape.m_QueueLimit) ||
        (m_IsRejectedAsBusy && m_IsRejectedAsBusy(Action.m_Statement));
    StatementReply Reply = replyOf(Receiver, Found->second, Action, IsFull);
    if (Kind == StatementKind::Read)
      Reply.m_Rows.emplace_back(Action.m_Statement.m_Text.size(), 'r');
    if (NeedsSlot && !Reply.m_Error)
      Reply.m_Rows.resize(Reply.m_Rows.size() + m_EmptyRows);
    if (!Reply.m_Receipt.empty())
      m_RequestOfReceipt[Reply.m_Receipt] = Action.m_Statement.m_RequestId;
    std::vector<Duration> Delays{Duration{}};
    if (m_Repeats)
      for (Duration Delay : m_Repeats(Action.m_Statement))
        Delays.push_back(Delay);
    std::function<void()> Answer = [this, Key, Reply, Delays] {
      finishStatement(Key);
      for (Duration Delay : Delays)
        schedule(replyArrival(Key.first, Reply) - m_Now + Delay,
                 [this, Key, Reply] {
                   if (m_Connections.contains(Key))
                     process(Key.first, kStatementBytes,
                             InstanceReplied{Key.second, Reply});
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
    size_t First = Primary - Primary % kInstancesPerGroup;
    for (size_t Member = First; Member < First + kInstancesPerGroup; ++Member)
      if (Member != Primary)
        schedule(m_Shape.m_ReplicaLag, [this, Member, Written] {
          Instance &Replica = *m_Instances[Member];
          Replica.m_Position = std::max(Replica.m_Position, Written);
        });
  }
  StatementReply replyOf(Instance &Receiver, Connection &Used,
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
      // An overloaded instance did not run the statement and leaves the
      // transaction open.
      if (Used.m_State == TransactionState::Open && !IsFull)
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
    // Only statements that occupy a slot have a receipt, each its own.
    bool HasReceipt = IsWrite || Kind == StatementKind::Read ||
                      Kind == StatementKind::Execute ||
                      Kind == StatementKind::Commit;
    if (HasReceipt)
      Reply.m_Receipt = "receipt " + std::to_string(++m_LastReceipt);
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
  void on(size_t /*Index*/, const RefuseSession &Action) {
    if (Session *Found = sessionOf(Action.m_Session))
      Found->m_IsClosed = true;
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
  static constexpr size_t kHandshakeBytes = 150;

  /// Counts losses of power.
  uint64_t m_Epoch = 0;
  std::map<size_t, uint64_t> m_LastAcceptedLink;
  uint64_t m_LastIncarnation = 0;
  uint64_t m_LastOperation = 0;
  uint64_t m_LastCheckIn = 0;
  uint64_t m_LastSession = 0;
  uint64_t m_LastRequest = 0;
  uint64_t m_LastReceipt = 0;
  uint64_t m_Steps = 0;
};

} // namespace almondpier::sessiontest
