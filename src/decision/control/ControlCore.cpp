#include "decision/control/ControlCore.h"

#include "decision/control/AnnouncementController.h"
#include "decision/control/ChangeController.h"
#include "decision/control/ControlRelay.h"
#include "decision/control/DirectoryController.h"
#include "decision/control/FailoverController.h"
#include "decision/control/FeedController.h"
#include "decision/control/LivenessController.h"
#include "decision/control/MemberWatch.h"
#include "decision/control/MembershipController.h"
#include "decision/control/OutsideHosts.h"
#include "decision/control/PeerLinks.h"
#include "decision/control/PromotionController.h"
#include "decision/control/RateLimitController.h"

#include <algorithm>
#include <utility>

namespace almondpier {

namespace {

constexpr uint64_t kCompactionInterval = 500;
/// A policy document can have tens of kilobytes, so the log is also bounded by
/// its size in memory and on disk.
constexpr size_t kCompactionBytes = 512U << 10U;
/// A member that knows no leader for so long asks to join again, in case it was
/// removed while it was away; several election timeouts.
constexpr Duration kLeaderlessLimit = std::chrono::milliseconds(2'000);
constexpr Duration kJoinInterval = std::chrono::milliseconds(500);
/// Interval of the log lines of a host that waits to become a member.
constexpr Duration kJoinReportInterval = std::chrono::seconds(5);
/// Longest time for a successor to take over before the process ends.
constexpr Duration kShutdownLimit = std::chrono::seconds(3);

} // namespace

struct ControlCore::State {
  ControlOptions m_Options;
  ControlBlackboard m_Board;
  std::unique_ptr<Consensus> m_Log;
  PeerLinks m_Links;
  ControlRelay m_Relay;
  ChangeController m_Changes;
  FeedController m_Feed;
  LivenessController m_Liveness;
  RateLimitController m_Allocator;
  FailoverController m_Failover;
  MembershipController m_Membership;
  MemberWatch m_MemberWatch;
  OutsideHosts m_Outside;
  AnnouncementController m_Announcements;
  DirectoryController m_Directory;
  PromotionController m_Promotions;
  /// Bytes of entries applied since the last snapshot.
  size_t m_BytesSinceSnapshot = 0;
  std::optional<Time> m_LeaderlessSince;
  uint64_t m_ClusterId = 0;
  uint64_t m_AppliedSinceStart = 0;
  uint64_t m_Snapshots = 0;
  std::optional<Time> m_JoinedAt;
  std::optional<Time> m_AskedAt;
  std::optional<Time> m_InformedAt;
  /// Members that other control hosts named to this host, which has no log yet,
  /// and the term in which they did.
  std::set<Endpoint> m_NamedMembers;
  uint64_t m_NamedInTerm = 0;
  std::optional<Time> m_AnsweredStrayAt;
  Time m_JoiningSince;
  Time m_JoinReportedAt;
  /// The leader's answer that no longer lists this founder.
  std::optional<MembersReply> m_Dismissal;
  /// Where each member's messages came from while this host is joining.
  std::map<MemberId, LinkId> m_LinkOfMember;
  std::optional<Time> m_ShutdownUntil;
  bool m_IsShutdownComplete = false;

  State(const ControlOptions &Options, Time Now)
      : m_Options(Options), m_Relay(m_Board, m_Links), m_Feed(m_Board),
        m_Liveness(m_Board, Now), m_Allocator(m_Board), m_Failover(m_Board),
        m_Membership(m_Board, m_Changes, 2 * Options.m_LostDisksBorne + 1),
        m_MemberWatch(m_Board), m_Announcements(m_Board), m_Directory(m_Board),
        m_Promotions(m_Board), m_ClusterId(Options.m_ClusterId),
        m_JoiningSince(Now), m_JoinReportedAt(Now) {
    m_Outside.setSeeds(Options.m_JoinPeers);
    m_Board.m_Self = Options.m_Self;
    m_Board.m_IsStorageAvailable = Options.m_IsStorageAvailable;
    if (m_ClusterId != 0)
      openLog(Now);
  }

  void openLog(Time Now) {
    const Snapshot &Base = m_Options.m_Log.m_Snapshot;
    if (!Base.m_Data.empty())
      m_Board.m_State = ControlState::decoded(Base.m_Data);
    m_Feed.onSnapshotInstalled();
    ConsensusOptions Options;
    Options.m_Self = m_Board.m_Self.m_Id;
    Options.m_ClusterId = m_ClusterId;
    Options.m_Seed = m_Options.m_Seed;
    m_Log =
        std::make_unique<Consensus>(Options, std::move(m_Options.m_Log), Now);
  }

  ControlContext contextOf(ControlActions &Actions, Time Now) {
    return ControlContext{m_Board, *m_Log, Actions, Now};
  }

  // Events.

  void handle(const ControlEvent &Event, Time Now, ControlActions &Actions) {
    if (!m_Options.m_IsStorageAvailable)
      return refuse(m_Board, Event, Actions);
    m_Outside.onMembership(m_Board.m_Membership, Now);
    m_Links.setPeers(wantedPeers(Now), Actions, Now);
    if (!m_Log) {
      handleWithoutLog(Event, Now, Actions);
      if (!m_Log)
        return;
    }
    ControlContext Context = contextOf(Actions, Now);
    std::visit([&](const auto &Value) { on(Value, Context); }, Event);
    carryOutLog(Context);
    if (m_Dismissal)
      becomeRelay(Now, Actions);
  }

  bool isRelay() const { return !m_Log && !m_Board.m_Self.m_IsDurable; }

  /// Consensus without a log that can be written would promise what a restart
  /// forgets, so this host does what a stopped one does, and refuses
  /// operations.
  static void refuse(const ControlBlackboard &Board, const ControlEvent &Event,
                     ControlActions &Actions) {
    if (std::holds_alternative<ShutdownRequested>(Event))
      Actions.push_back(ShutdownComplete{});
    else if (std::optional<OperationId> Id = operationOf(Event))
      Actions.push_back(refusalByFollower(Board, *Id));
  }

  /// Joins with an empty data folder, or relays without one.
  void handleWithoutLog(const ControlEvent &Event, Time Now,
                        ControlActions &Actions) {
    if (const ClockTick *Tick = std::get_if<ClockTick>(&Event)) {
      m_Board.m_WallTimeMs = Tick->m_WallTimeMs;
      m_Links.tick(Actions, Now);
      if (isRelay()) {
        m_Relay.tick(Actions, Now);
      } else {
        askToJoin(Actions, Now);
        reportJoining(Actions, Now);
      }
    } else if (const SeedsChanged *Changed =
                   std::get_if<SeedsChanged>(&Event)) {
      setSeeds(*Changed, Actions);
    } else if (const LinkOpened *Opened = std::get_if<LinkOpened>(&Event)) {
      m_Links.onOpened(Opened->m_Link, Now);
    } else if (const LinkClosed *Closed = std::get_if<LinkClosed>(&Event)) {
      m_Links.onClosed(Closed->m_Link, Now);
    } else if (const MessageReceived *Received =
                   std::get_if<MessageReceived>(&Event)) {
      receiveWithoutLog(*Received, Now, Actions);
    } else if (std::holds_alternative<ShutdownRequested>(Event)) {
      Actions.push_back(ShutdownComplete{});
    } else if (const InstanceCheckedIn *CheckIn =
                   std::get_if<InstanceCheckedIn>(&Event)) {
      m_Relay.onCheckIn(*CheckIn, Actions);
    } else if (std::optional<OperationId> Id = operationOf(Event)) {
      Actions.push_back(refusalByFollower(m_Board, *Id));
    }
  }

  void receiveWithoutLog(const MessageReceived &Event, Time Now,
                         ControlActions &Actions) {
    m_Links.onReceived(Event.m_Link, Now);
    if (std::holds_alternative<Ping>(Event.m_Message))
      return echoPing(Event.m_Link, Actions);
    if (isRelay())
      return m_Relay.onMessage(Event.m_Link, Event.m_Message, Actions, Now);
    if (const MembersReply *Named = std::get_if<MembersReply>(&Event.m_Message))
      return learnMembers(*Named);
    const ConsensusMessage *Message =
        std::get_if<ConsensusMessage>(&Event.m_Message);
    if (Message == nullptr || Message->m_ClusterId == 0)
      return;
    if (Message->m_To == m_Board.m_Self.m_Id)
      adoptCluster(Message->m_ClusterId, Now, Actions);
    else
      answerStray(Event.m_Link, Now, Actions);
  }

  /// A member sent a message to the member that this host was before it lost
  /// its disk. Its link may be the only one to a member.
  void answerStray(LinkId Link, Time Now, ControlActions &Actions) {
    bool IsDue =
        !m_AnsweredStrayAt || Now - *m_AnsweredStrayAt >= kJoinInterval;
    if (!m_Board.m_Self.m_IsDurable || !IsDue)
      return;
    m_AnsweredStrayAt = Now;
    Actions.push_back(SendMessage{Link, JoinRequest{m_Board.m_Self}});
  }

  void learnMembers(const MembersReply &Named) {
    // Members that are cut off answer with an earlier term.
    if (Named.m_Voters.empty() || Named.m_Term < m_NamedInTerm)
      return;
    m_NamedInTerm = Named.m_Term;
    m_NamedMembers.clear();
    for (const ControlMember &Voter : Named.m_Voters)
      m_NamedMembers.insert(Voter.m_Peer);
  }

  void setSeeds(const SeedsChanged &Changed, ControlActions &Actions) {
    m_Options.m_JoinPeers = Changed.m_Seeds;
    m_Outside.setSeeds(Changed.m_Seeds);
    std::string Text = "seeds in force:";
    for (const Endpoint &Seed : Changed.m_Seeds)
      Text += " " + formatEndpoint(Seed);
    Actions.push_back(ReportStateChange{std::move(Text)});
  }

  void reportJoining(ControlActions &Actions, Time Now) {
    if (!m_Board.m_Self.m_IsDurable ||
        Now - m_JoinReportedAt < kJoinReportInterval)
      return;
    m_JoinReportedAt = Now;
    Actions.push_back(ReportStateChange{
        "no member of the cluster yet after " +
        std::to_string((Now - m_JoiningSince) / std::chrono::milliseconds(1)) +
        " ms; " + std::to_string(m_NamedMembers.size()) +
        " members are known, asks " + std::to_string(wantedPeers(Now).size()) +
        " control hosts"});
  }

  static std::optional<OperationId> operationOf(const ControlEvent &Event) {
    return std::visit(
        [](const auto &Value) -> std::optional<OperationId> {
          if constexpr (requires { OperationId{Value.m_Id}; })
            return Value.m_Id;
          else
            return std::nullopt;
        },
        Event);
  }

  /// A founder without a disk, which other hosts have replaced, gives up its
  /// log.
  void becomeRelay(Time Now, ControlActions &Actions) {
    Actions.push_back(ReportStateChange{
        "no longer a member: hosts with a disk have taken over"});
    m_Log.reset();
    m_ClusterId = 0;
    m_Board.m_Membership = {};
    m_Relay.learn(*std::exchange(m_Dismissal, std::nullopt), Actions, Now);
  }

  void adoptCluster(uint64_t ClusterId, Time Now, ControlActions &Actions) {
    m_ClusterId = ClusterId;
    Actions.push_back(PersistCluster{ClusterId});
    Actions.push_back(ReportStateChange{"joins the cluster as a learner"});
    openLog(Now);
  }

  void askToJoin(ControlActions &Actions, Time Now) {
    bool IsDue = !m_JoinedAt || Now - *m_JoinedAt >= kJoinInterval;
    if (!m_Board.m_Self.m_IsDurable || !IsDue)
      return;
    m_JoinedAt = Now;
    m_Links.sendToAll(JoinRequest{m_Board.m_Self}, Actions);
    // A relay that knows members but no leader cannot pass the request on.
    m_Links.sendToAll(MembersRequest{}, Actions);
  }

  bool isJoining() const { return m_Board.m_Membership.m_Voters.empty(); }

  std::set<Endpoint> wantedPeers(Time Now) const {
    std::set<Endpoint> Peers;
    if (!m_Log)
      Peers = m_NamedMembers;
    if (knowsLeader())
      Peers = m_Outside.silentHosts(Now);
    bool IsLeaderUnknown =
        isRelay() ? !m_Relay.isReady() : m_LeaderlessSince.has_value();
    if (isJoining() || IsLeaderUnknown || m_Board.m_IsLeader)
      Peers.insert(m_Options.m_JoinPeers.begin(), m_Options.m_JoinPeers.end());
    for (const std::vector<ControlMember> *Members :
         {&m_Board.m_Membership.m_Voters, &m_Board.m_Membership.m_Learners})
      for (const ControlMember &Member : *Members)
        Peers.insert(Member.m_Peer);
    Peers.erase(m_Board.m_Self.m_Peer);
    return Peers;
  }

  /// Replaces what the founders' list says of this host, or what its earlier
  /// settings said.
  void describeSelf(ControlContext &Context) {
    const ControlMember &Self = m_Board.m_Self;
    const ControlMember *Known = m_Board.findMember(Self.m_Id);
    if (Known == nullptr || *Known == Self || m_Board.m_Leader.m_Value == 0)
      return;
    if (m_Board.m_IsLeader)
      m_Membership.onJoinRequest(JoinRequest{Self}, Context);
    else
      askToJoin(Context.m_Actions, Context.m_Now);
  }

  bool knowsLeader() const {
    return m_Log && !isJoining() &&
           (m_Board.m_IsLeader ||
            m_Board.findMember(m_Board.m_Leader) != nullptr);
  }

  /// Hosts that only relay know no member after a start, nor does a host with
  /// an empty disk, and other hosts may know nothing but them.
  void informOutsideHosts(ControlContext &Context) {
    bool IsDue =
        !m_InformedAt || Context.m_Now - *m_InformedAt >= kJoinInterval;
    if (!knowsLeader() || !IsDue)
      return;
    m_InformedAt = Context.m_Now;
    for (const Endpoint &Host : m_Outside.silentHosts(Context.m_Now))
      m_Links.send(Host, describeMembers(m_Board), Context.m_Actions);
  }

  /// A founder without a disk asks whether it is still a member, because the
  /// entry that removes it may not reach it.
  void askIfDismissed(ControlContext &Context) {
    bool IsDue = !m_AskedAt || Context.m_Now - *m_AskedAt >= kJoinInterval;
    if (m_Board.m_Self.m_IsDurable || !m_LeaderlessSince || !IsDue)
      return;
    m_AskedAt = Context.m_Now;
    m_Links.sendToAll(MembersRequest{}, Context.m_Actions);
  }

  void on(const OperatorChange &Event, ControlContext &Context) {
    m_Changes.submit(Event, Context);
  }
  void on(const OperatorRead &Event, ControlContext &Context) {
    if (!m_Board.m_IsLeader)
      return Context.refuseAsFollower(Event.m_Id);
    m_Feed.onRead(Event.m_Id, Context.m_Now);
    m_Feed.tick(Context);
  }
  void on(const OperatorRemoveMember &Event, ControlContext &Context) {
    m_Membership.onRemove(Event, Context);
  }
  void on(const InstanceAnnounced &Event, ControlContext &Context) {
    if (std::optional<RelayAnnouncement> Relay =
            m_Announcements.onAnnounced(Event, Context))
      sendToLeader(*Relay, Context);
  }
  void on(const PolicySubmitted &Event, ControlContext &Context) {
    m_Changes.submitPolicy(Event, Context);
  }
  void on(const ZoneEvacuationRequested &Event, ControlContext &Context) {
    m_Changes.submitEvacuation(Event, Context);
  }
  void on(const InstanceCheckedIn &Event, ControlContext &Context) {
    if (!isReady())
      return Context.refuseAsFollower(Event.m_Id);
    // Check-ins repeat, so one that is lost on the way to the leader costs an
    // interval and nothing else.
    ReplyToOperation Reply;
    Reply.m_Id = Event.m_Id;
    if (!m_Board.m_IsLeader)
      sendToLeader(Event.m_CheckIn, Context);
    else if (!m_Directory.onCheckIn(Event.m_CheckIn, Context))
      Reply.m_Error = ErrorReport{
          ErrorKind::Overloaded,
          "the list of instances is full; stop instances that are not needed",
          Ran::No, 0};
    if (const ControlMember *Leader = m_Board.findMember(m_Board.m_Leader))
      Reply.m_Leader = Leader->m_Operations;
    Context.m_Actions.push_back(std::move(Reply));
  }
  void on(const GroupCallAnswered &Event, ControlContext &Context) {
    if (m_Board.m_IsLeader)
      m_Promotions.onAnswered(Event, Context);
  }
  void on(const SeedsChanged &Event, ControlContext &Context) {
    setSeeds(Event, Context.m_Actions);
  }
  void on(const DatagramReceived &Event, ControlContext &Context) {
    if (const Heartbeat *Beat = std::get_if<Heartbeat>(&Event.m_Message))
      m_Liveness.onHeartbeat(*Beat, Context.m_Now);
    else if (const HostCapacityReport *Report =
                 std::get_if<HostCapacityReport>(&Event.m_Message))
      m_Liveness.onCapacityReport(*Report, Context);
  }
  void on(const InstanceCallAnswered &Event, ControlContext &Context) {
    if (m_Board.m_IsLeader)
      m_Failover.onAnswered(Event, Context);
  }
  void on(const LinkOpened &Event, ControlContext &Context) {
    m_Links.onOpened(Event.m_Link, Context.m_Now);
  }
  void on(const LinkClosed &Event, ControlContext &Context) {
    m_Links.onClosed(Event.m_Link, Context.m_Now);
    m_Feed.onLinkClosed(Event.m_Link);
  }
  void on(const MessageReceived &Event, ControlContext &Context) {
    m_Links.onReceived(Event.m_Link, Context.m_Now);
    std::visit(
        [&](const auto &Value) { onMessage(Event.m_Link, Value, Context); },
        Event.m_Message);
  }
  void on(const ShutdownRequested & /*Event*/, ControlContext &Context) {
    if (m_Board.m_IsShuttingDown)
      return;
    m_Board.m_IsShuttingDown = true;
    m_ShutdownUntil = Context.m_Now + kShutdownLimit;
  }
  void on(const ClockTick &Event, ControlContext &Context) {
    m_Board.m_WallTimeMs = Event.m_WallTimeMs;
    m_Log->tick(Context.m_Now);
    carryOutLog(Context);
    m_Links.tick(Context.m_Actions, Context.m_Now);
    m_Changes.tick(Context);
    m_Liveness.tick(Context);
    for (const HostRecord &Host : m_Liveness.takeRelays())
      relayHost(Host, Context);
    m_Feed.tick(Context);
    if (std::optional<ReadIndexRequest> Request = m_Feed.takeLeaderRequest())
      sendToLeader(*Request, Context);
    m_Allocator.tick(Context);
    m_Failover.tick(Context);
    m_Directory.tick(Context);
    m_Promotions.tick(Context);
    m_Membership.tick(Context);
    m_MemberWatch.tick(Context);
    watchLeader(Context.m_Now);
    bool IsLost = m_LeaderlessSince &&
                  Context.m_Now - *m_LeaderlessSince >= kLeaderlessLimit;
    if (isJoining() || IsLost)
      askToJoin(Context.m_Actions, Context.m_Now);
    describeSelf(Context);
    askIfDismissed(Context);
    informOutsideHosts(Context);
    continueShutdown(Context);
  }

  bool isReady() const {
    if (!m_Options.m_IsStorageAvailable)
      return false;
    if (isRelay())
      return m_Relay.isReady();
    return !m_Board.m_IsShuttingDown && !isJoining() &&
           (m_Board.m_IsLeader ||
            (m_Board.findMember(m_Board.m_Leader) != nullptr &&
             m_Board.m_Leader != m_Board.m_Self.m_Id));
  }

  void watchLeader(Time Now) {
    if (m_Board.m_Leader.m_Value != 0)
      m_LeaderlessSince.reset();
    else if (!m_LeaderlessSince)
      m_LeaderlessSince = Now;
  }

  void continueShutdown(ControlContext &Context) {
    if (!m_ShutdownUntil || m_IsShutdownComplete)
      return;
    bool IsDue = Context.m_Now >= *m_ShutdownUntil;
    if (!m_Changes.isIdle() && !IsDue)
      return;
    if (m_Log->isLeader() && m_Board.m_Membership.m_Voters.size() > 1 &&
        !IsDue) {
      m_Log->transferLeadership(Context.m_Now);
      return;
    }
    m_IsShutdownComplete = true;
    Context.m_Actions.push_back(ShutdownComplete{});
  }

  // Messages.

  static void echoPing(LinkId Link, ControlActions &Actions) {
    // Links with even numbers were opened by the other side, which pings.
    if (Link.m_Value % 2 == 0)
      Actions.push_back(SendMessage{Link, Ping{}});
  }
  void onMessage(LinkId Link, const Ping & /*Message*/,
                 ControlContext &Context) {
    echoPing(Link, Context.m_Actions);
  }
  void onMessage(LinkId Link, const ConsensusMessage &Message,
                 ControlContext &Context) {
    if (isJoining())
      m_LinkOfMember[Message.m_From] = Link;
    m_Board.m_MemberHeardAt[Message.m_From] = Context.m_Now;
    m_Log->receive(Message, Context.m_Now);
  }
  void onMessage(LinkId Link, const ReadIndexRequest &Message,
                 ControlContext &Context) {
    if (!m_Board.m_IsLeader)
      return;
    m_Feed.onReadIndexRequest(Link, Message, Context.m_Now);
    m_Feed.tick(Context);
  }
  void onMessage(LinkId /*Link*/, const ReadIndexReply &Message,
                 ControlContext &Context) {
    m_Liveness.onLeaderList(Message.m_LiveHosts);
    if (Message.m_Directory)
      m_Directory.onLeaderDirectory(*Message.m_Directory);
    m_Feed.onReadIndexReply(Message, Context);
  }
  void onMessage(LinkId /*Link*/, const JoinRequest &Message,
                 ControlContext &Context) {
    if (ControlRelay::isRegistration(Message))
      m_Outside.onRegistered(Message.m_Member.m_Peer, Context.m_Now);
    else if (m_Board.m_IsLeader)
      m_Membership.onJoinRequest(Message, Context);
    else if (Message.m_Member.m_Id != m_Board.m_Self.m_Id)
      sendToLeader(Message, Context);
  }
  void onMessage(LinkId Link, const MembersRequest & /*Message*/,
                 ControlContext &Context) {
    Context.m_Actions.push_back(SendMessage{Link, describeMembers(m_Board)});
  }
  void onMessage(LinkId /*Link*/, const MembersReply &Message,
                 ControlContext & /*Context*/) {
    const ControlMember &Self = m_Board.m_Self;
    auto IsSelf = [&](const ControlMember &Voter) {
      return Voter.m_Id == Self.m_Id;
    };
    if (!Self.m_IsDurable && Message.m_IsFromLeader &&
        std::none_of(Message.m_Voters.begin(), Message.m_Voters.end(), IsSelf))
      m_Dismissal = Message;
  }
  void onMessage(LinkId /*Link*/, const ProposeRequest &Message,
                 ControlContext &Context) {
    const RegisterHost *Registration =
        std::get_if<RegisterHost>(&Message.m_Change.m_Body);
    if (Registration != nullptr && m_Board.m_IsLeader)
      m_Liveness.onHostRecord(Registration->m_Host, Context);
  }
  void onMessage(LinkId /*Link*/, const RelayAnnouncement &Message,
                 ControlContext &Context) {
    m_Announcements.onRelayed(Message, Context);
  }
  void onMessage(LinkId /*Link*/, const InstanceCheckIn &Message,
                 ControlContext &Context) {
    m_Directory.onCheckIn(Message, Context);
  }
  void onMessage(LinkId Link, const PollRequest &Message,
                 ControlContext &Context) {
    m_Liveness.onHostRecord(Message.m_Host, Context);
    m_Feed.onPoll(Link, Message, Context.m_Now);
  }
  void onMessage(LinkId Link, const ConfigurationPartRequest &Message,
                 ControlContext &Context) {
    m_Feed.onPartRequest(Link, Message, Context);
  }
  void onMessage(LinkId Link, const TokenRequest &Message,
                 ControlContext &Context) {
    m_Allocator.onRequest(Link, Message, Context);
  }
  void onMessage(LinkId /*Link*/, const TokenReturn &Message,
                 ControlContext &Context) {
    m_Allocator.onReturn(Message, Context);
  }
  /// Messages that no control host expects on a link.
  template <typename Other>
  void onMessage(LinkId /*Link*/, const Other & /*Message*/,
                 ControlContext & /*Context*/) {}

  void sendToLeader(const Message &Message, ControlContext &Context) {
    const ControlMember *Leader = m_Board.findMember(m_Board.m_Leader);
    if (Leader != nullptr)
      m_Links.send(Leader->m_Peer, Message, Context.m_Actions);
  }

  void relayHost(const HostRecord &Host, ControlContext &Context) {
    ProposeRequest Request;
    Request.m_Change.m_Actor = Host.m_Name.m_Value;
    Request.m_Change.m_Body = RegisterHost{Host};
    sendToLeader(Request, Context);
  }

  // Log.

  void carryOutLog(ControlContext &Context) {
    // Applying entries can lead to new ones.
    for (ConsensusOutput Output = m_Log->takeOutput(); !Output.empty();
         Output = m_Log->takeOutput())
      carryOut(Output, Context);
    updateLeadership(Context);
  }

  void carryOut(ConsensusOutput &Output, ControlContext &Context) {
    if (Output.m_HardState || Output.m_InstalledSnapshot ||
        !Output.m_Entries.empty())
      Context.m_Actions.push_back(PersistLog{Output.m_HardState,
                                             Output.m_InstalledSnapshot,
                                             std::move(Output.m_Entries)});
    m_Board.m_Membership = m_Log->membership();
    for (ConsensusMessage &Message : Output.m_Messages)
      sendToMember(std::move(Message), Context);
    if (Output.m_InstalledSnapshot)
      install(*Output.m_InstalledSnapshot, Context);
    for (const LogEntry &Entry : Output.m_Committed)
      apply(Entry, Context);
    compactIfDue(Context);
    for (uint64_t Read : Output.m_FailedReads)
      m_Feed.onFailedRead(Read);
    for (const ConsensusOutput::ConfirmedRead &Read : Output.m_ConfirmedReads)
      m_Feed.onConfirmed(Read, Context);
  }

  void sendToMember(ConsensusMessage Message, ControlContext &Context) {
    const ControlMember *Member = m_Board.findMember(Message.m_To);
    if (Member != nullptr)
      return m_Links.send(Member->m_Peer, std::move(Message),
                          Context.m_Actions);
    // A learner that has no entry yet does not know where members are; it
    // answers on the link that the leader opened.
    auto Link = m_LinkOfMember.find(Message.m_To);
    if (Link != m_LinkOfMember.end())
      Context.m_Actions.push_back(
          SendMessage{Link->second, std::move(Message)});
  }

  void install(const Snapshot &Snapshot, ControlContext &Context) {
    m_Board.m_State = ControlState::decoded(Snapshot.m_Data);
    m_Feed.onSnapshotInstalled();
    m_BytesSinceSnapshot = 0;
    Context.reportStateChange("installed a snapshot up to index " +
                              std::to_string(Snapshot.m_Index));
  }

  void apply(const LogEntry &Entry, ControlContext &Context) {
    std::optional<ControlState::Applied> Applied = m_Board.m_State.apply(Entry);
    ++m_AppliedSinceStart;
    m_BytesSinceSnapshot += Entry.m_Data.size();
    if (!Applied)
      return;
    if (Applied->m_Accepted)
      m_Feed.onAccepted(Entry.m_Index, *Applied->m_Accepted);
    m_Changes.onApplied(Entry, Applied->m_Outcome, Context);
  }

  void compactIfDue(ControlContext &Context) {
    uint64_t Index = m_Board.m_State.appliedIndex();
    if (Index < m_Log->snapshotIndex() + kCompactionInterval &&
        m_BytesSinceSnapshot < kCompactionBytes)
      return;
    m_BytesSinceSnapshot = 0;
    m_Log->compact(Index, m_Board.m_State.encoded());
    Context.m_Actions.push_back(PersistSnapshot{m_Log->snapshot()});
    ++m_Snapshots;
  }

  void updateLeadership(ControlContext &Context) {
    bool WasLeader = m_Board.m_IsLeader;
    uint64_t OldTerm = m_Board.m_Term;
    m_Board.m_Term = m_Log->term();
    m_Board.m_Leader = m_Log->leader();
    m_Board.m_Membership = m_Log->membership();
    m_Board.m_IsLeader =
        m_Log->isLeader() && m_Board.m_State.appliedTerm() == m_Board.m_Term;
    bool IsNewTerm = OldTerm != m_Board.m_Term;
    if (WasLeader && (!m_Board.m_IsLeader || IsNewTerm)) {
      Context.reportStateChange("leads no longer");
      m_Changes.onLeadershipLost(Context);
    }
    if (m_Board.m_IsLeader && (!WasLeader || IsNewTerm)) {
      m_Board.m_LeaderSince = Context.m_Now;
      Context.reportStateChange("leads in term " +
                                std::to_string(m_Board.m_Term));
    }
  }
};

ReplyToOperation interruptedReply(OperationId Id) {
  ReplyToOperation Reply;
  Reply.m_Id = Id;
  Reply.m_Error =
      ErrorReport{ErrorKind::OutcomeUnknown,
                  "the control host cannot write its data folder; the outcome "
                  "of a change is not known, send it again with the same "
                  "change identifier",
                  Ran::Unknown, 0};
  return Reply;
}

ControlCore::ControlCore(const ControlOptions &Options, Time Now)
    : m_State(std::make_unique<State>(Options, Now)) {}

ControlCore::~ControlCore() = default;

void ControlCore::restart(const ControlOptions &Options, Time Now) {
  m_State = std::make_unique<State>(Options, Now);
}

void ControlCore::handle(const ControlEvent &Event, Time Now,
                         ControlActions &Actions) {
  m_State->handle(Event, Now, Actions);
}

const ControlBlackboard &ControlCore::blackboard() const {
  return m_State->m_Board;
}

bool ControlCore::isReady() const { return m_State->isReady(); }

uint64_t ControlCore::appliedIndex() const {
  return m_State->m_Board.m_State.appliedIndex();
}

CounterList ControlCore::counters() const {
  const ControlBlackboard &Board = m_State->m_Board;
  CounterList List{
      {"almondpier_control_leader", "1 while this host leads.",
       Board.m_IsLeader ? 1.0 : 0.0},
      {"almondpier_control_term", "Term of the replicated log.",
       static_cast<double>(Board.m_Term)},
      {"almondpier_control_applied_index", "Last log entry applied.",
       static_cast<double>(Board.m_State.appliedIndex())},
      {"almondpier_control_entries_applied_total",
       "Log entries applied since the start.",
       static_cast<double>(m_State->m_AppliedSinceStart)},
      {"almondpier_control_snapshots_total", "Snapshots taken.",
       static_cast<double>(m_State->m_Snapshots)},
      {"almondpier_control_storage_failed",
       "1 while the data folder cannot be written.",
       Board.m_IsStorageAvailable ? 0.0 : 1.0},
      {"almondpier_control_silent_members",
       "Voters that sent nothing for 3 s, counted at the leader.",
       static_cast<double>(m_State->m_MemberWatch.silentCount())},
      {"almondpier_control_joining",
       "1 while this host has a data folder and is no member yet.",
       m_State->isJoining() && Board.m_Self.m_IsDurable ? 1.0 : 0.0},
      {"almondpier_control_live_hosts", "Proxies in the published list.",
       static_cast<double>(Board.m_LiveHosts.m_Hosts.size())},
      {"almondpier_control_polls_answered_total", "Polls answered.",
       static_cast<double>(m_State->m_Feed.answeredPolls())},
      {"almondpier_control_polls_dropped_total",
       "Polls that no round of consensus confirmed in time.",
       static_cast<double>(m_State->m_Feed.droppedPolls())},
      {"almondpier_control_snapshot_bytes_sent_total",
       "Bytes of snapshots of the configuration sent to proxies.",
       static_cast<double>(m_State->m_Feed.snapshotBytesSent())},
      {"almondpier_tokens_lent_total", "Tokens lent to proxies.",
       static_cast<double>(m_State->m_Allocator.lentTokens())},
      {"almondpier_token_loans_short_total",
       "Loans smaller than the number of waiting requests.",
       static_cast<double>(m_State->m_Allocator.partialLoans())}};
  for (Counter &Counter : m_State->m_Promotions.counters())
    List.push_back(std::move(Counter));
  for (Counter &Counter : m_State->m_Failover.counters())
    List.push_back(std::move(Counter));
  return List;
}

} // namespace almondpier
