/// \file
/// Proxies, control hosts and database groups under a manual clock. All faults
/// are injected at the interface of ProxyCore.
#pragma once

#include "decision/proxy/ProxyCore.h"
#include "proxy/FakeControl.h"
#include "proxy/FakeGroup.h"

#include <algorithm>
#include <functional>

namespace almondpier {

class ProxyFleet {
public:
  static constexpr uint16_t kControlPort = 7000;
  static constexpr uint16_t kProxyPort = 8000;
  static constexpr size_t kControlHosts = 3;

  struct Host {
    HostRecord m_Record;
    std::unique_ptr<ProxyCore> m_Core;
    bool m_IsSuspended = false;
    bool m_IsKilled = false;
    bool m_HasEnded = false;
    uint64_t m_LastAcceptedId = 0;
    /// Events received while the process is suspended.
    std::vector<ProxyEvent> m_DeferredEvents;
    std::map<uint64_t, std::vector<ReplyToCaller>> m_Replies;
    std::map<ConnectionId, Endpoint> m_Connections;
    std::vector<Heartbeat> m_Heartbeats;
    std::vector<std::string> m_Reports;
  };

  explicit ProxyFleet(size_t HostCount, size_t GroupSize = 3)
      : m_Group("races", 9000, GroupSize) {
    for (size_t Number = 0; Number < kControlHosts; ++Number)
      m_Control.m_Members.push_back(
          ControlMember{MemberId{Number + 1},
                        HostName{"control-" + std::to_string(Number)},
                        AvailabilityZone{"zone-0"},
                        controlEndpoint(Number),
                        {}});
    m_Control.m_Leader = m_Control.m_Members[0].m_Host;
    m_Control.accept(CreateOrganisation{m_Organisation});
    m_Control.accept(IssueKey{
        KeyId{"key-1"}, KeyRecord{m_Organisation, digestOfKey("secret-1")}});
    m_Control.accept(CreateOrganisation{m_OtherOrganisation});
    m_Control.accept(
        IssueKey{KeyId{"key-2"},
                 KeyRecord{m_OtherOrganisation, digestOfKey("secret-2")}});
    for (const ChangeBody &Body : m_Group.registrationChanges())
      m_Control.accept(Body);
    for (size_t Number = 0; Number < HostCount; ++Number)
      addHost(Number);
    setAllLive();
  }

  void setAllLive() {
    std::vector<LiveHost> Live;
    for (const Host &Host : m_Hosts)
      if (!Host.m_IsKilled)
        Live.push_back(LiveHost{Host.m_Record.m_Name, true});
    m_Control.setLive(Live);
  }

  /// Runs until Condition holds; returns whether it did within Limit.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(10)) {
    Time End = m_Now + Limit;
    while (!Condition() && m_Now < End)
      step();
    return Condition();
  }
  void run(Duration Length) {
    Time End = m_Now + Length;
    while (m_Now < End)
      step();
  }
  bool start() {
    return runUntil([&] {
             return std::all_of(
                 m_Hosts.begin(), m_Hosts.end(), [&](const Host &Host) {
                   return Host.m_Core->isReady(m_Now) &&
                          Host.m_Core->blackboard().m_Observers.contains(
                              m_Group.m_Name);
                 });
           }) &&
           (run(std::chrono::milliseconds(600)), true);
  }

  CallerRequest request(RequestKind Kind, std::string Statement = "",
                        std::string Token = "") {
    CallerRequest Result;
    Result.m_Id = CallerRequestId{++m_LastRequest};
    Result.m_Kind = Kind;
    Result.m_Key = digestOfKey("secret-1");
    Result.m_Database = m_Group.m_Name;
    Result.m_Statement = std::move(Statement);
    Result.m_SessionToken = std::move(Token);
    return Result;
  }
  CallerRequestId submit(size_t Number, const CallerRequest &Request) {
    deliver(Number, Request);
    return Request.m_Id;
  }
  const ReplyToCaller *replyTo(size_t Number, CallerRequestId Id) const {
    auto Found = m_Hosts[Number].m_Replies.find(Id.m_Value);
    return Found == m_Hosts[Number].m_Replies.end() ? nullptr
                                                    : Found->second.data();
  }
  /// Submits a request and runs until it is answered.
  ReplyToCaller call(size_t Number, const CallerRequest &Request) {
    submit(Number, Request);
    runUntil([&] { return replyTo(Number, Request.m_Id) != nullptr; },
             std::chrono::seconds(40));
    const ReplyToCaller *Reply = replyTo(Number, Request.m_Id);
    if (Reply == nullptr)
      throw std::logic_error("a request got no answer");
    return *Reply;
  }

  size_t owner() const { return candidate(0); }
  size_t candidate(size_t Rank) const {
    const std::vector<HostName> &Ranked =
        m_Hosts[0].m_Core->blackboard().m_Observers.at(m_Group.m_Name);
    return indexOf(Ranked.at(Rank));
  }
  /// A host that is not the owner.
  size_t nonOwner() const { return owner() == 0 ? 1 : 0; }

  void deliver(size_t Number, const ProxyEvent &Event) {
    Host &Host = m_Hosts[Number];
    if (Host.m_IsKilled || Host.m_HasEnded)
      return;
    if (Host.m_IsSuspended) {
      Host.m_DeferredEvents.push_back(Event);
      return;
    }
    ProxyActions Actions;
    Host.m_Core->handle(Event, m_Now, Actions);
    for (const ProxyAction &Action : Actions)
      std::visit([&](const auto &Typed) { execute(Number, Typed); }, Action);
  }
  void suspend(size_t Number) { m_Hosts[Number].m_IsSuspended = true; }
  /// What arrived meanwhile is handled before the first tick.
  void resume(size_t Number) {
    m_Hosts[Number].m_IsSuspended = false;
    std::vector<ProxyEvent> Waiting;
    Waiting.swap(m_Hosts[Number].m_DeferredEvents);
    for (const ProxyEvent &Event : Waiting)
      deliver(Number, Event);
  }
  /// The process ends; its peers see their links close.
  void kill(size_t Number) {
    m_Hosts[Number].m_IsKilled = true;
    for (Pipe &Pipe : m_Pipes)
      if (Pipe.m_IsOpen && (Pipe.m_From == Number || Pipe.m_To == Number))
        closePipe(Pipe, Number);
  }
  /// Nothing passes between the two hosts from now on, without any error.
  void partition(size_t Left, size_t Right) {
    m_Partitioned.insert({Left, Right});
    m_Partitioned.insert({Right, Left});
  }

  Time m_Now{std::chrono::seconds(1'000)};
  OrganisationName m_Organisation{"climbers"};
  OrganisationName m_OtherOrganisation{"plumbers"};
  FakeControl m_Control;
  FakeGroup m_Group;
  std::vector<Host> m_Hosts;
  /// Delay of every message and statement.
  Duration m_Delay = std::chrono::milliseconds(1);
  /// Number of times that every message between proxies is delivered.
  size_t m_MessageCopies = 1;
  /// Messages between proxies are encoded, and lost when that fails, as on the
  /// sockets.
  bool m_EncodesMessages = false;

  static Endpoint controlEndpoint(size_t Number) {
    return Endpoint{"10.0.0.1", static_cast<uint16_t>(kControlPort + Number)};
  }

private:
  static constexpr size_t kToControl = SIZE_MAX;

  /// A link between two hosts, or between a host and a control host.
  struct Pipe {
    size_t m_From = 0;
    LinkId m_FromLink;
    size_t m_To = kToControl;
    LinkId m_ToLink;
    uint16_t m_ControlPort = 0;
    bool m_IsOpen = true;
  };

  void addHost(size_t Number) {
    Host Added;
    Added.m_Record = HostRecord{
        HostName{"host-" + std::to_string(Number)},
        AvailabilityZone{"zone-" + std::to_string(Number % 3)},
        Endpoint{"10.0.0.2", static_cast<uint16_t>(kProxyPort + Number)}};
    m_Control.accept(RegisterHost{Added.m_Record});
    ProxyOptions Options;
    Options.m_Host = Added.m_Record;
    Options.m_Incarnation = 1;
    Options.m_FleetSecret = "a secret of the whole test fleet";
    Options.m_Seed = Number;
    for (size_t Control = 0; Control < kControlHosts; ++Control)
      Options.m_ControlPeers.push_back(controlEndpoint(Control));
    Added.m_Core = std::make_unique<ProxyCore>(Options, m_Now);
    m_Hosts.push_back(std::move(Added));
  }

  size_t indexOf(const HostName &Name) const {
    for (size_t Number = 0; Number < m_Hosts.size(); ++Number)
      if (m_Hosts[Number].m_Record.m_Name == Name)
        return Number;
    throw std::logic_error("there is no such host");
  }

  void schedule(std::function<void()> Action) {
    m_ScheduledActions.emplace(m_Now + m_Delay, std::move(Action));
  }

  void step() {
    constexpr int kTickMs = 5;
    m_Now += std::chrono::milliseconds(1);
    while (!m_ScheduledActions.empty() &&
           m_ScheduledActions.begin()->first <= m_Now) {
      std::function<void()> Action =
          std::move(m_ScheduledActions.begin()->second);
      m_ScheduledActions.erase(m_ScheduledActions.begin());
      Action();
    }
    if (++m_Steps % kTickMs != 0)
      return;
    for (size_t Number = 0; Number < m_Hosts.size(); ++Number)
      if (!m_Hosts[Number].m_IsSuspended)
        deliver(Number, Tick());
  }

  Pipe *findPipe(size_t Number, LinkId Link) {
    for (Pipe &Pipe : m_Pipes)
      if (Pipe.m_IsOpen &&
          ((Pipe.m_From == Number && Pipe.m_FromLink == Link) ||
           (Pipe.m_To == Number && Pipe.m_ToLink == Link)))
        return &Pipe;
    return nullptr;
  }

  /// By is the end that closed it; the other is told.
  void closePipe(Pipe &Pipe, size_t By) {
    Pipe.m_IsOpen = false;
    if (m_Partitioned.contains({Pipe.m_From, Pipe.m_To}))
      return;
    size_t Notified = By == Pipe.m_From ? Pipe.m_To : Pipe.m_From;
    LinkId Link = By == Pipe.m_From ? Pipe.m_ToLink : Pipe.m_FromLink;
    if (Notified != kToControl)
      schedule([this, Notified, Link] {
        deliver(Notified, LinkClosed{Link, "closed by the peer"});
      });
  }

  void execute(size_t Number, const OpenLink &Action) {
    Pipe Added;
    Added.m_From = Number;
    Added.m_FromLink = Action.m_Link;
    if (Action.m_Peer.m_Port < kProxyPort) {
      Added.m_ControlPort = Action.m_Peer.m_Port;
    } else {
      Added.m_To = Action.m_Peer.m_Port - kProxyPort;
      if (m_Partitioned.contains({Number, Added.m_To}))
        return;
      if (m_Hosts[Added.m_To].m_IsKilled || m_Hosts[Added.m_To].m_HasEnded) {
        schedule([this, Number, Action] {
          deliver(Number, LinkClosed{Action.m_Link, "refused"});
        });
        return;
      }
      Added.m_ToLink = LinkId{m_Hosts[Added.m_To].m_LastAcceptedId += 2};
    }
    m_Pipes.push_back(Added);
    schedule([this, Added] {
      if (findPipe(Added.m_From, Added.m_FromLink) == nullptr)
        return;
      deliver(Added.m_From, LinkOpened{Added.m_FromLink});
      if (Added.m_To != kToControl)
        deliver(Added.m_To, LinkOpened{Added.m_ToLink});
    });
  }

  void execute(size_t Number, const CloseLink &Action) {
    if (Pipe *Found = findPipe(Number, Action.m_Link))
      closePipe(*Found, Number);
  }

  void execute(size_t Number, const SendMessage &Action) {
    Pipe *Found = findPipe(Number, Action.m_Link);
    if (Found == nullptr)
      return;
    if (Found->m_To == kToControl) {
      Pipe Target = *Found;
      schedule([this, Target, Action] { answerControl(Target, Action); });
      return;
    }
    if (m_Partitioned.contains({Found->m_From, Found->m_To}))
      return;
    if (m_EncodesMessages && !canEncode(Action.m_Message))
      return;
    bool IsForward = Found->m_From == Number;
    size_t To = IsForward ? Found->m_To : Found->m_From;
    LinkId Link = IsForward ? Found->m_ToLink : Found->m_FromLink;
    for (size_t Copy = 0; Copy < m_MessageCopies; ++Copy)
      schedule([this, To, Link, Action] {
        deliver(To, MessageReceived{Link, Action.m_Message});
      });
  }

  static bool canEncode(const Message &Message) {
    try {
      return !encode(Message).empty();
    } catch (const Error &) {
      return false;
    }
  }

  void answerControl(const Pipe &Target, const SendMessage &Action) {
    if (m_Control.m_SilentPorts.contains(Target.m_ControlPort))
      return;
    std::vector<Message> Answers;
    if (const PollRequest *Poll = std::get_if<PollRequest>(&Action.m_Message))
      for (const PollReply &Reply : m_Control.answer(*Poll))
        Answers.emplace_back(Reply);
    if (const TokenRequest *Request =
            std::get_if<TokenRequest>(&Action.m_Message);
        Request != nullptr && m_Control.m_LendsTokens)
      Answers.emplace_back(m_Control.lend(*Request));
    if (const TokenReturn *Return = std::get_if<TokenReturn>(&Action.m_Message))
      m_Control.m_Returned += Return->m_Tokens;
    for (const Message &Answer : Answers)
      schedule([this, Target, Answer] {
        if (findPipe(Target.m_From, Target.m_FromLink) != nullptr)
          deliver(Target.m_From, MessageReceived{Target.m_FromLink, Answer});
      });
  }

  void execute(size_t Number, const ReplyToCaller &Action) {
    m_Hosts[Number].m_Replies[Action.m_Id.m_Value].push_back(Action);
  }
  void execute(size_t Number, const SendDatagram &Action) {
    if (Action.m_Peer == controlEndpoint(0))
      m_Hosts[Number].m_Heartbeats.push_back(
          std::get<Heartbeat>(Action.m_Message));
  }
  void execute(size_t Number, const OpenConnection &Action) {
    m_Hosts[Number].m_Connections[Action.m_Connection] = Action.m_Instance;
  }
  void execute(size_t Number, const CloseConnection &Action) {
    m_Hosts[Number].m_Connections.erase(Action.m_Connection);
    m_Group.onConnectionClosed(globalConnectionId(Number, Action.m_Connection));
  }
  void execute(size_t Number, const SendStatement &Action) {
    size_t Instance =
        m_Group.find(m_Hosts[Number].m_Connections.at(Action.m_Connection))
            .value();
    schedule([this, Number, Instance, Action] {
      if (m_Group.m_IsUnresponsive)
        return;
      SendStatement Sent = Action;
      Sent.m_Connection = globalConnectionId(Number, Action.m_Connection);
      InstanceAnswer Answer = m_Group.execute(Instance, Sent, m_Now);
      schedule([this, Number, Action, Answer] {
        if (m_Hosts[Number].m_Connections.contains(Action.m_Connection))
          deliver(Number, InstanceAnswered{Action.m_Connection, Answer});
      });
    });
  }
  void execute(size_t Number, const ProbeInstance &Action) {
    size_t Instance = m_Group.find(Action.m_Platform).value();
    schedule([this, Number, Instance, Action] {
      answerProbe(Number, Instance, Action,
                  m_Now + std::chrono::milliseconds(Action.m_TimeoutMs));
    });
  }
  void answerProbe(size_t Number, size_t Instance, const ProbeInstance &Action,
                   Time Until) {
    InstanceStatus Status = m_Group.statusOf(Instance, m_Now);
    if (Action.m_WaitFor && Status.m_Position < *Action.m_WaitFor &&
        m_Now < Until) {
      schedule([this, Number, Instance, Action, Until] {
        answerProbe(Number, Instance, Action, Until);
      });
      return;
    }
    schedule([this, Number, Action, Status] {
      deliver(Number, ProbeAnswered{Action.m_Probe, Status});
    });
  }
  void execute(size_t Number, const ReportStateChange &Action) {
    m_Hosts[Number].m_Reports.push_back(Action.m_Text);
  }
  void execute(size_t Number, const ShutdownComplete & /*Action*/) {
    m_Hosts[Number].m_HasEnded = true;
    for (Pipe &Pipe : m_Pipes)
      if (Pipe.m_IsOpen && (Pipe.m_From == Number || Pipe.m_To == Number))
        closePipe(Pipe, Number);
  }

  /// Connections of different hosts differ at the instances.
  static ConnectionId globalConnectionId(size_t Number,
                                         ConnectionId Connection) {
    constexpr uint64_t kPerHost = 1'000'000'000;
    return ConnectionId{Number * kPerHost + Connection.m_Value};
  }

  uint64_t m_Steps = 0;
  uint64_t m_LastRequest = 0;
  std::multimap<Time, std::function<void()>> m_ScheduledActions;
  std::vector<Pipe> m_Pipes;
  std::set<std::pair<size_t, size_t>> m_Partitioned;
};

} // namespace almondpier
