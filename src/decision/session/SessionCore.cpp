#include "decision/session/SessionCore.h"

#include "decision/proxy/ConfigurationController.h"
#include "decision/proxy/HeartbeatController.h"

namespace almondpier {

// Peers consider a link lost after the same time without a message.
static constexpr Duration kSuspensionLimit = kLinkSilenceTimeout;

struct SessionCore::State {
  ProxyOptions m_Options;
  ProxyBlackboard m_Board;
  SessionActions m_Actions;
  ProxyActions m_ControlActions;
  LinkTable m_Links{m_ControlActions};
  ConfigurationController m_Configuration;
  HeartbeatController m_Heartbeat;
  TokenController m_Tokens;
  GroupOwners m_Owners;
  StatementForwarder m_Forwarder{m_Links, m_ControlActions};
  SessionController m_Sessions;
  Time m_LastHandled;
  bool m_WasReady = false;
  bool m_IsComplete = false;

  State(const ProxyOptions &Options, const SessionLimits &Limits, Time Now)
      : m_Options(sessionOptions(Options)),
        m_Configuration(m_Options, m_Board, m_Links, m_ControlActions),
        m_Heartbeat(Options.m_Host.m_Name, Options.m_Capacity, m_Board,
                    m_ControlActions),
        m_Tokens(Options.m_Host.m_Name, m_Links, m_ControlActions, &m_Board),
        m_Owners(Options.m_Host.m_Name, m_Board, m_Links),
        m_Sessions(Limits, m_Board, m_Tokens, m_Actions, m_Owners, m_Forwarder,
                   m_Links, m_ControlActions),
        m_LastHandled(Now) {
    m_Board.m_Zone = Options.m_Host.m_Zone;
  }

  /// Owners are ranked among the registered hosts, and their links show whether
  /// they run, so the list of live hosts is not requested.
  static ProxyOptions sessionOptions(ProxyOptions Options) {
    Options.m_RoutesByLiveHosts = false;
    return Options;
  }

  bool isReady(Time Now) const {
    // Without a known instance no statement can be served.
    return !m_Sessions.isShuttingDown() && m_Sessions.isFresh(Now) &&
           !m_Board.m_Directory.m_Instances.empty();
  }

  /// Returns whether this host starts work that other hosts forward to it.
  bool acceptsStatements(Time Now) const { return isReady(Now); }

  void operator()(const SessionOpened &Event, Time Now) {
    m_Sessions.open(Event, Now);
  }
  void operator()(const StatementReceived &Event, Time Now) {
    m_Sessions.receive(Event, Now);
  }
  void operator()(const SessionEnded &Event, Time Now) {
    m_Sessions.end(Event.m_Session, Now);
  }
  void operator()(const InstanceConnected &Event, Time Now) {
    m_Sessions.executor().onConnected(Event, Now);
  }
  void operator()(const InstanceRefused &Event, Time Now) {
    m_Sessions.executor().onRefused(Event, Now);
  }
  void operator()(const InstanceReplied &Event, Time Now) {
    m_Sessions.executor().onReplied(Event, Now);
  }
  void operator()(const InstanceReplyInvalid &Event, Time Now) {
    m_Sessions.executor().onReplyInvalid(Event, Now);
  }
  void operator()(const ConnectionClosed &Event, Time Now) {
    m_Sessions.executor().onClosed(Event.m_Connection, Now);
  }
  void operator()(const LinkOpened &Event, Time Now) {
    m_Links.onOpened(Event.m_Link, Now);
    if (m_Links.isAccepted(Event.m_Link))
      m_Sessions.served().onLinkAccepted(Event.m_Link, acceptsStatements(Now));
    m_Configuration.tick(Now);
    m_Tokens.requestTokens(Now);
  }
  void operator()(const LinkClosed &Event, Time Now) {
    m_Links.onClosed(Event.m_Link, Now);
  }
  void operator()(const ControlSeedsChanged &Event, Time /*Now*/) {
    m_Configuration.setSeeds(Event.m_Seeds);
  }
  void operator()(const ShutdownRequested & /*Event*/, Time Now) {
    m_Sessions.beginShutdown(Now);
    m_Sessions.served().setAvailability(false);
    m_ControlActions.push_back(ReportStateChange{"shutting down"});
  }
  void operator()(const MessageReceived &Event, Time Now) {
    if (!m_Links.isOpen(Event.m_Link))
      return;
    m_Links.onInput(Event.m_Link, Now);
    const Message &Received = Event.m_Message;
    if (const PollReply *Reply = std::get_if<PollReply>(&Received))
      onPollReply(Event.m_Link, *Reply, Now);
    else if (const ConfigurationPart *Part =
                 std::get_if<ConfigurationPart>(&Received))
      onConfigurationPart(Event.m_Link, *Part, Now);
    else if (const MembersReply *Members = std::get_if<MembersReply>(&Received))
      m_Configuration.onMembersReply(Event.m_Link, *Members, Now);
    else if (const TokenGrant *Grant = std::get_if<TokenGrant>(&Received))
      m_Tokens.onGrant(Event.m_Link, *Grant, Now);
    else if (const ForwardedStatement *Forwarded =
                 std::get_if<ForwardedStatement>(&Received))
      m_Sessions.served().receive(Event.m_Link, *Forwarded, Now);
    else if (const ForwardedStatementReply *Done =
                 std::get_if<ForwardedStatementReply>(&Received))
      m_Sessions.executor().onForwardedReply(Event.m_Link, *Done, Now);
    else if (const ForwardedSessionEnd *Ended =
                 std::get_if<ForwardedSessionEnd>(&Received))
      m_Sessions.served().onEnded(Event.m_Link, *Ended, Now);
    else if (const OwnerStatus *Status = std::get_if<OwnerStatus>(&Received))
      m_Owners.onOwnerStatus(Event.m_Link, *Status, Now);
    else if (const Ping *Alive = std::get_if<Ping>(&Received))
      m_Links.onPing(Event.m_Link, *Alive);
  }
  void operator()(const Tick & /*Event*/, Time Now) {
    m_Links.tick(Now);
    m_Configuration.tick(Now);
    m_Tokens.tick(Now);
    m_Owners.tick(Now);
    m_Sessions.served().setAvailability(acceptsStatements(Now));
    m_Sessions.tick(Now);
    m_Heartbeat.tick(m_Configuration.heartbeatPeers(), isReady(Now), Now);
    reportReadiness(Now);
    if (m_IsComplete || !m_Sessions.isShutdownComplete(Now))
      return;
    m_IsComplete = true;
    m_Tokens.returnAll(Now);
    m_ControlActions.push_back(ShutdownComplete{});
  }

  void onPollReply(LinkId Link, const PollReply &Reply, Time Now) {
    uint64_t Before = m_Board.m_Configuration.policy().m_Version;
    m_Configuration.onPollReply(Link, Reply, Now);
    m_Tokens.setLeader(m_Configuration.leader(), Now);
    onConfigurationReceived(Before, Now);
  }
  void onConfigurationPart(LinkId Link, const ConfigurationPart &Part,
                           Time Now) {
    uint64_t Before = m_Board.m_Configuration.policy().m_Version;
    m_Configuration.onConfigurationPart(Link, Part, Now);
    onConfigurationReceived(Before, Now);
  }
  void onConfigurationReceived(uint64_t Before, Time Now) {
    uint64_t After = m_Board.m_Configuration.policy().m_Version;
    if (Before != After)
      m_ControlActions.push_back(
          ReportStateChange{"policy version " + std::to_string(After) +
                            " is in force after " + std::to_string(Before)});
    m_Sessions.executor().onConfigurationProved(Now);
    if (!m_Configuration.takeChanged())
      return;
    m_Sessions.executor().onConfigurationChanged(Now);
    m_Owners.onConfigurationChanged(Now);
  }

  void reportReadiness(Time Now) {
    bool IsReadyNow = isReady(Now);
    if (IsReadyNow != m_WasReady)
      m_ControlActions.push_back(ReportStateChange{
          IsReadyNow ? "ready"
                     : "not ready: the configuration cannot be proved "
                       "or the host is shutting down"});
    m_WasReady = IsReadyNow;
  }

  void checkSuspension(Time Now) {
    if (Now - m_LastHandled >= kSuspensionLimit) {
      m_Links.onResumed(Now);
      m_ControlActions.push_back(ReportStateChange{
          "the process was suspended for " +
          std::to_string((Now - m_LastHandled) / std::chrono::milliseconds(1)) +
          " ms; reopening the links to control hosts"});
    }
    m_LastHandled = Now;
  }

  void resumePending(Time Now) {
    for (LinkId Link : m_Links.takeLostLinks()) {
      m_Tokens.onLinkLost(Link);
      m_Sessions.executor().onLinkLost(Link, Now);
      m_Sessions.served().onLinkLost(Link, Now);
    }
    m_Sessions.resumePending(Now);
  }
};

SessionCore::SessionCore(const ProxyOptions &Options,
                         const SessionLimits &Limits, Time Now)
    : m_State(std::make_unique<State>(Options, Limits, Now)) {}
SessionCore::~SessionCore() = default;

void SessionCore::handle(const SessionEvent &Event, Time Now,
                         SessionActions &Actions,
                         ProxyActions &ControlActions) {
  m_State->checkSuspension(Now);
  std::visit([&](const auto &Typed) { (*m_State)(Typed, Now); }, Event);
  m_State->resumePending(Now);
  std::move(m_State->m_Actions.begin(), m_State->m_Actions.end(),
            std::back_inserter(Actions));
  m_State->m_Actions.clear();
  std::move(m_State->m_ControlActions.begin(), m_State->m_ControlActions.end(),
            std::back_inserter(ControlActions));
  m_State->m_ControlActions.clear();
}

bool SessionCore::isReady(Time Now) const { return m_State->isReady(Now); }

const ProxyBlackboard &SessionCore::blackboard() const {
  return m_State->m_Board;
}

CounterList SessionCore::counters() const {
  CounterList Result = m_State->m_Sessions.counters();
  auto Value = [](uint64_t Count) { return static_cast<double>(Count); };
  const State &Core = *m_State;
  Result.push_back({"almondpier_policy_version", "Policy version in force",
                    Value(Core.m_Board.m_Configuration.policy().m_Version)});
  for (Counter &Polling : Core.m_Configuration.counters())
    Result.push_back(std::move(Polling));
  Result.push_back({"almondpier_tokens_borrowed_total",
                    "Rate tokens lent to this host",
                    Value(Core.m_Tokens.tokensBorrowed())});
  Result.push_back({"almondpier_tokens_spent_total",
                    "Rate tokens spent on operations",
                    Value(Core.m_Tokens.tokensSpent())});
  Result.push_back({"almondpier_links_lost_total",
                    "Links that failed after they were up",
                    Value(Core.m_Links.lostCount())});
  return Result;
}

} // namespace almondpier
