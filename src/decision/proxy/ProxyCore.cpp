#include "decision/proxy/ProxyCore.h"

#include "decision/proxy/AdmissionController.h"
#include "decision/proxy/ConfigurationController.h"
#include "decision/proxy/HeartbeatController.h"
#include "decision/proxy/ShutdownController.h"

namespace almondpier {

// Peers treat this host as lost after the same time without a message.
static constexpr Duration kSuspensionThreshold = kLinkSilenceTimeout;
// With at most this many live hosts, links to all of them are opened in
// advance.
static constexpr size_t kMaxPreconnectedHosts = 64;

struct ProxyCore::State {
  ProxyOptions m_Options;
  ProxyBlackboard m_Board;
  /// Where the controllers put their actions.
  ProxyActions m_Actions;
  LinkTable m_Links{m_Actions};
  ConfigurationController m_Configuration;
  HeartbeatController m_Heartbeat;
  OwnershipController m_Ownership;
  OwnerController m_Owner;
  TokenController m_Tokens;
  ForwardingController m_Forwarding;
  AdmissionController m_Admission;
  ShutdownController m_Shutdown{m_Board, m_Actions};
  Time m_LastEventAt;
  bool m_WasReady = false;
  bool m_WasFresh = false;
  uint64_t m_SuspensionCount = 0;
  uint64_t m_UnexpectedMessageCount = 0;

  State(const ProxyOptions &Options, Time Now)
      : m_Options(Options),
        m_Configuration(Options, m_Board, m_Links, m_Actions),
        m_Heartbeat(Options.m_Host.m_Name, Options.m_Capacity, m_Board,
                    m_Actions),
        m_Ownership(Options.m_Host.m_Name, m_Board),
        m_Owner(OwnerOptions{Options.m_Host.m_Name, Options.m_Host.m_Zone,
                             Options.m_Incarnation},
                m_Board),
        m_Tokens(Options.m_Host.m_Name, m_Links, m_Actions),
        m_Forwarding(Options.m_Host.m_Name, m_Board, m_Ownership, m_Links,
                     m_Owner, m_Actions),
        m_Admission(Options.m_FleetSecret, m_Board, m_Tokens, m_Forwarding,
                    m_Actions),
        m_LastEventAt(Now) {}

  bool isReady(Time Now) const {
    // Longer than this, and held requests are being refused.
    return !m_Shutdown.hasBegun() && m_Board.m_FreshAt &&
           Now - *m_Board.m_FreshAt <= kFreshnessLimit + kMaxHoldTime;
  }

  void operator()(const CallerRequest &Event, Time Now) {
    m_Admission.submit(Event, Now);
  }
  void operator()(const CallerDisconnected &Event, Time Now) {
    m_Admission.cancel(Event.m_Id, Now);
  }
  void operator()(const LinkOpened &Event, Time Now) {
    m_Links.onOpened(Event.m_Link, Now);
    m_Configuration.tick(Now);
    m_Tokens.requestTokens(Now);
    m_Forwarding.routeWaiting(Now);
  }
  void operator()(const LinkClosed &Event, Time Now) {
    m_Links.onClosed(Event.m_Link, Now);
  }
  void operator()(const InstanceAnswered &Event, Time Now) {
    m_Owner.handle(Event, Now);
  }
  void operator()(const ConnectionClosed &Event, Time Now) {
    m_Owner.handle(Event, Now);
  }
  void operator()(const ProbeAnswered &Event, Time Now) {
    m_Owner.handle(Event, Now);
  }
  void operator()(const ShutdownRequested & /*Event*/, Time Now) {
    m_Shutdown.begin(Now);
  }

  void operator()(const MessageReceived &Event, Time Now) {
    // Messages in transit may still arrive on links that this host closed.
    if (!m_Links.isOpen(Event.m_Link))
      return;
    m_Links.onInput(Event.m_Link, Now);
    const Message &Received = Event.m_Message;
    if (const PollReply *Reply = std::get_if<PollReply>(&Received))
      onPollReply(Event.m_Link, *Reply, Now);
    else if (const MembersReply *Members = std::get_if<MembersReply>(&Received))
      m_Configuration.onMembersReply(Event.m_Link, *Members, Now);
    else if (const TokenGrant *Grant = std::get_if<TokenGrant>(&Received))
      m_Tokens.onGrant(Event.m_Link, *Grant, Now);
    else if (const ForwardRequest *Request =
                 std::get_if<ForwardRequest>(&Received))
      m_Forwarding.onRequest(Event.m_Link, *Request, Now);
    else if (const ForwardReply *Answer = std::get_if<ForwardReply>(&Received))
      m_Forwarding.onReply(Event.m_Link, *Answer, Now);
    else if (const ForwardCancel *Cancel =
                 std::get_if<ForwardCancel>(&Received))
      m_Forwarding.onCancel(Event.m_Link, *Cancel, Now);
    else if (const Ping *Alive = std::get_if<Ping>(&Received))
      m_Links.onPing(Event.m_Link, *Alive);
    else
      ++m_UnexpectedMessageCount;
  }

  void operator()(const Tick & /*Event*/, Time Now) {
    m_Links.tick(Now);
    m_Configuration.tick(Now);
    m_Tokens.tick(Now);
    m_Owner.tick(Now);
    m_Forwarding.setAvailability(isReady(Now), !m_Shutdown.refusesNewWork(Now));
    m_Forwarding.tick(Now);
    m_Admission.tick(Now);
    m_Heartbeat.tick(m_Configuration.heartbeatPeers(), isReady(Now), Now);
    reportStateChanges(Now);
    completeShutdown(Now);
  }

  void onPollReply(LinkId Link, const PollReply &Reply, Time Now) {
    m_Configuration.onPollReply(Link, Reply, Now);
    m_Tokens.setLeader(m_Configuration.leader(), Now);
    m_Forwarding.setAvailability(isReady(Now), !m_Shutdown.refusesNewWork(Now));
    if (!m_Configuration.takeChanged())
      return;
    m_Ownership.update();
    updateForwardLinks(Now);
    m_Owner.onConfigurationChanged(Now);
    m_Forwarding.routeWaiting(Now);
  }

  void updateForwardLinks(Time Now) {
    std::set<Endpoint> Known;
    for (const auto &[Name, Record] : m_Board.m_Configuration.hosts())
      Known.insert(Record.m_ForwardEndpoint);
    m_Links.retainOnly(Known, LinkUse::Forward);
    const std::vector<LiveHost> &Live = m_Board.m_LiveHosts.m_Hosts;
    if (Live.size() > kMaxPreconnectedHosts)
      return;
    for (const LiveHost &Host : Live)
      if (const HostRecord *Record = m_Ownership.findHost(Host.m_Host);
          Record != nullptr && Host.m_Host != m_Options.m_Host.m_Name)
        m_Links.acquire(Record->m_ForwardEndpoint, LinkUse::Forward, Now);
  }

  void reportStateChanges(Time Now) {
    bool IsFreshNow = isFresh(m_Board, Now);
    if (IsFreshNow != m_WasFresh)
      m_Actions.push_back(ReportStateChange{
          IsFreshNow ? "the configuration is fresh"
                     : "the configuration is not fresh: no control host proved "
                       "it within 1.5 s"});
    m_WasFresh = IsFreshNow;
    bool IsReadyNow = isReady(Now);
    if (IsReadyNow != m_WasReady)
      m_Actions.push_back(
          ReportStateChange{IsReadyNow ? "ready" : "not ready"});
    m_WasReady = IsReadyNow;
  }

  void completeShutdown(Time Now) {
    if (m_Shutdown.refusesNewWork(Now))
      m_Admission.refuseNewWork();
    size_t Work = m_Admission.inProgress() + m_Admission.openTransactions() +
                  m_Forwarding.inProgress() + m_Owner.workInProgress();
    if (!m_Shutdown.tick(Work, Now))
      return;
    m_Tokens.returnAll(Now);
    m_Actions.push_back(ShutdownComplete{});
  }

  void detectSuspension(Time Now) {
    if (Now - m_LastEventAt >= kSuspensionThreshold) {
      ++m_SuspensionCount;
      m_Links.onResumed(Now);
      m_Actions.push_back(ReportStateChange{
          "the process did not run for " +
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now - m_LastEventAt)
                             .count()) +
          " ms; reopening all links"});
      handleLostLinks(Now);
    }
    m_LastEventAt = Now;
  }

  void handleLostLinks(Time Now) {
    for (LinkId Link : m_Links.takeLostLinks()) {
      m_Tokens.onLinkLost(Link);
      m_Forwarding.onLinkLost(Link, Now);
    }
  }

  /// Passes results between the controllers until none is left.
  void deliverResults(Time Now) {
    handleLostLinks(Now);
    m_Admission.retryWaiting(Now);
    bool HasMoved = true;
    while (HasMoved) {
      HasMoved = false;
      for (const CompletedRequest &Completed : m_Owner.takeCompleted()) {
        HasMoved = true;
        m_Forwarding.onCompleted(Completed);
      }
      for (const ForwardingController::FinishedRequest &FinishedRequest :
           m_Forwarding.takeFinished()) {
        HasMoved = true;
        m_Admission.finish(FinishedRequest, Now);
      }
    }
    for (ProxyAction &Action : m_Owner.takeActions())
      m_Actions.push_back(std::move(Action));
  }
};

ProxyCore::ProxyCore(const ProxyOptions &Options, Time Now)
    : m_State(std::make_unique<State>(Options, Now)) {}
ProxyCore::~ProxyCore() = default;

void ProxyCore::handle(const ProxyEvent &Event, Time Now,
                       ProxyActions &Actions) {
  m_State->detectSuspension(Now);
  std::visit([&](const auto &Typed) { (*m_State)(Typed, Now); }, Event);
  m_State->deliverResults(Now);
  if (Actions.empty()) {
    Actions.swap(m_State->m_Actions);
    return;
  }
  for (ProxyAction &Action : m_State->m_Actions)
    Actions.push_back(std::move(Action));
  m_State->m_Actions.clear();
}

bool ProxyCore::isReady(Time Now) const { return m_State->isReady(Now); }

const ProxyBlackboard &ProxyCore::blackboard() const {
  return m_State->m_Board;
}

CounterList ProxyCore::counters() const {
  const State &Core = *m_State;
  auto Value = [](uint64_t Count) { return static_cast<double>(Count); };
  CounterList Result{
      {"almondpier_configuration_index", "Log index of the configuration",
       Value(Core.m_Board.m_AppliedIndex)},
      {"almondpier_configuration_version", "Number of operator changes",
       Value(Core.m_Board.m_Configuration.version())},
      {"almondpier_control_host_changes_total",
       "Changes to another control host",
       Value(Core.m_Configuration.peerChanges())},
      {"almondpier_heartbeats_total", "Heartbeats sent",
       Value(Core.m_Heartbeat.sentCount())},
      {"almondpier_links_up", "Links to other processes that are up",
       Value(Core.m_Links.upCount())},
      {"almondpier_links_lost_total", "Links that failed after they were up",
       Value(Core.m_Links.lostCount())},
      {"almondpier_tokens_borrowed_total", "Rate tokens lent to this host",
       Value(Core.m_Tokens.tokensBorrowed())},
      {"almondpier_tokens_spent_total", "Rate tokens spent on requests",
       Value(Core.m_Tokens.tokensSpent())},
      {"almondpier_tokens_returned_total", "Rate tokens returned unused",
       Value(Core.m_Tokens.tokensReturned())},
      {"almondpier_tokens_expired_total", "Rate tokens that expired unused",
       Value(Core.m_Tokens.tokensExpired())},
      {"almondpier_requests_waiting_for_token",
       "Requests that wait for a rate token",
       Value(Core.m_Tokens.waitingCount())},
      {"almondpier_suspensions_total", "Times the process did not run",
       Value(Core.m_SuspensionCount)},
      {"almondpier_unexpected_messages_total",
       "Messages of a kind that a proxy does not take",
       Value(Core.m_UnexpectedMessageCount)},
  };
  for (CounterList Part :
       {Core.m_Forwarding.counters(), Core.m_Admission.counters(),
        Core.m_Owner.counters()})
    Result.insert(Result.end(), Part.begin(), Part.end());
  for (Counter &Polling : Core.m_Configuration.counters())
    Result.push_back(std::move(Polling));
  return Result;
}

} // namespace almondpier
