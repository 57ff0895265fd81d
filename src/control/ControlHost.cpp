#include "almondpier/ControlHost.h"

#include "almondpier/Telemetry.h"
#include "control/ControlStore.h"
#include "control/Identifier.h"
#include "control/InstanceClient.h"
#include "control/OperationsServer.h"

#include <algorithm>
#include <deque>

namespace almondpier {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
/// Limits the memory used by a peer that does not read. Its link is closed and
/// opened again.
constexpr size_t kMaxPendingBytes = 16U << 20U;
/// How long a shutdown waits for requests in progress.
constexpr Duration kDrainTimeout = std::chrono::seconds(2);
/// Room on a full disk is noticed within this time.
constexpr Duration kStorageRetryInterval = std::chrono::milliseconds(500);
/// Room that a disk that was full must have again. With less, the host would
/// lead or follow until its next write, again and again.
constexpr size_t kRecoveryRoomBytes = 1U << 20U;

uint64_t wallTimeMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

} // namespace

std::map<KeyDigest, std::string> parseOperatorKeys(std::string_view Text) {
  constexpr size_t kHexDigits = 64;
  constexpr int kHexadecimalBase = 16;
  std::map<KeyDigest, std::string> Operators;
  while (!Text.empty()) {
    size_t Comma = Text.find(',');
    std::string Pair(Text.substr(0, Comma));
    Text.remove_prefix(Comma == std::string_view::npos ? Text.size()
                                                       : Comma + 1);
    size_t Colon = Pair.find(':');
    std::string Name = Pair.substr(0, Colon);
    std::string Hex = Colon == std::string::npos ? "" : Pair.substr(Colon + 1);
    if (!isValidName(Name) || Hex.size() != kHexDigits ||
        Hex.find_first_not_of("0123456789abcdef") != std::string::npos)
      throw std::invalid_argument(
          "operator keys must be given as NAME:DIGEST,... with the digest of "
          "each "
          "key in 64 lower-case hexadecimal digits; 'almondpier digest' prints "
          "it");
    KeyDigest Digest;
    for (size_t Index = 0; Index < Digest.m_Bytes.size(); ++Index)
      Digest.m_Bytes[Index] = static_cast<uint8_t>(
          std::stoi(Hex.substr(2 * Index, 2), nullptr, kHexadecimalBase));
    Operators.emplace(Digest, Name);
  }
  return Operators;
}

namespace {

/// Operations of the C++ interface are numbered from here, apart from those of
/// the operations server, which start at 1.
constexpr uint64_t kFirstFrontendOperation = uint64_t{1} << 63U;

/// Derives an identifier that every founder computes alike.
uint64_t deriveIdentifier(std::string_view Text) {
  KeyDigest Digest = digestOfKey(Text);
  uint64_t Number = 0;
  for (size_t Index = 0; Index < sizeof(Number); ++Index)
    Number = (Number << 8U) | Digest.m_Bytes[Index];
  return std::max<uint64_t>(Number, 1);
}

/// Describes the founders so that each of them computes the same list: at the
/// first start a founder knows only the endpoints of the others.
std::vector<ControlMember> makeFounders(std::vector<Endpoint> Peers,
                                        uint16_t OperationsPort) {
  std::sort(Peers.begin(), Peers.end());
  std::vector<ControlMember> Members;
  Members.reserve(Peers.size());
  for (const Endpoint &Peer : Peers)
    Members.push_back(ControlMember{
        MemberId{deriveIdentifier("member " + formatEndpoint(Peer))},
        HostName{Peer.m_Address},
        {},
        Peer,
        Endpoint{Peer.m_Address, OperationsPort},
        false});
  return Members;
}

uint64_t deriveClusterId(const std::vector<ControlMember> &Founders) {
  std::string Text = "cluster";
  for (const ControlMember &Founder : Founders)
    Text += " " + formatEndpoint(Founder.m_Peer);
  return deriveIdentifier(Text);
}

} // namespace

struct ControlHost::State {
  EventLoop &m_Loop;
  ControlHostSettings m_Settings;
  /// Set while the data folder cannot be written.
  std::optional<Time> m_StorageFailedAt;
  Time m_RetryStorageAt;
  /// Closed while the data folder cannot be written.
  std::optional<ControlStore> m_Store;
  ControlCore m_Core;
  /// Counts restarts of the core, which numbers its calls anew.
  uint64_t m_CoreRestarts = 0;
  OperationsServer m_OperationsServer;
  InstanceClient m_InstanceClient;
  std::map<LinkId, std::unique_ptr<Link>> m_Links;
  /// Links that were closed during one of their own callbacks; destroyed at the
  /// next tick.
  std::vector<std::unique_ptr<Link>> m_ClosedLinks;
  uint64_t m_LastAcceptedLink = 0;
  LinkListener m_Listener;
  DatagramSocket m_Datagrams;
  Timer m_TickTimer;
  std::deque<ControlEvent> m_Events;
  bool m_IsHandlingEvents = false;
  bool m_IsShutdownRequested = false;
  std::optional<Time> m_ShutdownDeadline;
  std::exception_ptr m_Failure;
  std::map<OperationId, OnReply> m_ReplyHandlers;
  uint64_t m_LastOperation = kFirstFrontendOperation;

  State(EventLoop &Loop, const ControlHostSettings &Settings)
      : m_Loop(Loop), m_Settings(Settings), m_Core(openStorage(), Loop.now()),
        m_OperationsServer(Loop, m_Settings, m_Core,
                           [this](const ControlEvent &Event) { post(Event); }),
        m_InstanceClient(Loop,
                         [this](const ControlEvent &Event) { post(Event); }),
        m_Listener(Loop, m_Settings.m_FleetSecret, m_Settings.m_Peer,
                   [this](std::unique_ptr<Link> Accepted) {
                     accept(std::move(Accepted));
                   }),
        m_Datagrams(Loop, m_Settings.m_FleetSecret, m_Settings.m_Peer,
                    [this](const Endpoint &Sender, Message Received) {
                      post(DatagramReceived{Sender, std::move(Received)});
                    }),
        m_TickTimer(Loop, kTickInterval, [this] { tick(); }) {}

  ControlMember describeSelf(MemberId Id) const {
    return ControlMember{Id,
                         m_Settings.m_Host,
                         m_Settings.m_Zone,
                         m_Settings.m_Peer,
                         advertisedOperationsEndpoint(),
                         !m_Settings.m_DataFolder.empty()};
  }

  /// Opens the data folder and returns what the core starts with.
  ControlOptions openStorage() {
    try {
      m_Store.emplace(m_Settings.m_DataFolder,
                      m_StorageFailedAt ? kRecoveryRoomBytes : 0);
      return coreOptions();
    } catch (const StorageUnavailable &Failure) {
      return closeStorage(Failure.what());
    }
  }

  /// Returns what the core starts with while the data folder cannot be written.
  ControlOptions closeStorage(const std::string &Reason) {
    m_Store.reset();
    m_RetryStorageAt = m_Loop.now() + kStorageRetryInterval;
    if (!m_StorageFailedAt) {
      m_StorageFailedAt = m_Loop.now();
      writeLog(LogLevel::Warning,
               "cannot write the data folder; not ready, and no voting member, "
               "until it can be written: " +
                   Reason);
    }
    ControlOptions Options;
    Options.m_Self = describeSelf({});
    Options.m_IsStorageAvailable = false;
    return Options;
  }

  /// Called when a write has failed. The actions that follow it, and the events
  /// that wait, depend on what is not durable and are dropped.
  void suspend(const std::string &Reason) {
    m_Events.clear();
    restartCore(closeStorage(Reason));
    std::vector<OperationId> Unanswered =
        m_OperationsServer.pendingOperations();
    for (const std::pair<const OperationId, OnReply> &Entry : m_ReplyHandlers)
      Unanswered.push_back(Entry.first);
    for (OperationId Id : Unanswered)
      execute(interruptedReply(Id));
  }

  void retryStorage() {
    if (!m_StorageFailedAt || m_Loop.now() < m_RetryStorageAt)
      return;
    ControlOptions Options = openStorage();
    if (!Options.m_IsStorageAvailable)
      return;
    Duration Took = m_Loop.now() - *m_StorageFailedAt;
    writeLog(LogLevel::Info,
             "the data folder can be written again, after " +
                 std::to_string(
                     std::chrono::duration_cast<std::chrono::milliseconds>(Took)
                         .count()) +
                 " ms");
    m_StorageFailedAt.reset();
    restartCore(Options);
  }

  void restartCore(const ControlOptions &Options) {
    while (!m_Links.empty())
      closeLink(m_Links.begin()->first);
    m_InstanceClient.cancelCalls();
    ++m_CoreRestarts;
    m_Core.restart(Options, m_Loop.now());
    if (m_IsShutdownRequested)
      post(ShutdownRequested{});
  }

  ControlOptions coreOptions() {
    ControlOptions Options;
    Options.m_Self = describeSelf(m_Store->memberId());
    Options.m_LostDisksBorne = m_Settings.m_ToleratedDiskLosses;
    if (m_Settings.m_Bootstrap && !m_Settings.m_Join.empty())
      throw Error(ErrorKind::BadRequest,
                  "--bootstrap, which forms a new cluster, and --join, which "
                  "enters an existing one, are mutually exclusive");
    if (m_Settings.m_Bootstrap && m_Store->clusterId() == 0)
      m_Store->bootstrap(Options.m_Self);
    if (!m_Settings.m_Founders.empty() && m_Store->clusterId() == 0)
      initialiseAsFounder(Options.m_Self);
    Options.m_Log = m_Store->takeLog();
    Options.m_ClusterId = m_Store->clusterId();
    Options.m_JoinPeers = m_Settings.m_Join;
    Options.m_Seed = generateIdentifier();
    return Options;
  }

  Endpoint advertisedOperationsEndpoint() const {
    return m_Settings.m_PublicOperations.value_or(m_Settings.m_Operations);
  }

  /// Forms the cluster if this host is one of the founders; any other host
  /// joins it.
  void initialiseAsFounder(ControlMember &Self) {
    std::vector<ControlMember> Founders = makeFounders(
        m_Settings.m_Founders, advertisedOperationsEndpoint().m_Port);
    auto Found = std::find_if(Founders.begin(), Founders.end(),
                              [&](const ControlMember &Founder) {
                                return Founder.m_Peer == Self.m_Peer;
                              });
    if (Found == Founders.end())
      return;
    m_Store->initialiseAsFounder(Found->m_Id, deriveClusterId(Founders),
                                 Founders);
    Self.m_Id = Found->m_Id;
  }

  OperationId beginOperation(OnReply Reply) {
    OperationId Id{++m_LastOperation};
    m_ReplyHandlers.emplace(Id, std::move(Reply));
    return Id;
  }

  void tick() {
    m_ClosedLinks.clear();
    stopOnFailure([this] { retryStorage(); });
    post(ClockTick{wallTimeMs()});
    bool IsIdle =
        m_OperationsServer.requestsInFlight() == 0 && m_ReplyHandlers.empty();
    if (m_ShutdownDeadline && (IsIdle || m_Loop.now() >= *m_ShutdownDeadline))
      m_Loop.stop();
  }

  /// Queues events that arise while another one is handled.
  void post(const ControlEvent &Event) {
    m_Events.push_back(Event);
    if (m_IsHandlingEvents || m_Failure)
      return;
    m_IsHandlingEvents = true;
    stopOnFailure([this] { handleEvents(); });
    m_IsHandlingEvents = false;
  }

  /// Exceptions must not propagate through the event loop, which is written in
  /// C.
  template <typename Function> void stopOnFailure(const Function &Run) {
    try {
      Run();
    } catch (...) {
      m_Failure = std::current_exception();
      m_Loop.stop();
    }
  }

  void handleEvents() {
    while (!m_Events.empty()) {
      ControlEvent Event = std::move(m_Events.front());
      m_Events.pop_front();
      ControlActions Actions;
      m_Core.handle(Event, m_Loop.now(), Actions);
      try {
        for (const ControlAction &Action : Actions)
          std::visit([&](const auto &Value) { execute(Value); }, Action);
      } catch (const StorageUnavailable &Failure) {
        suspend(Failure.what());
      }
    }
  }

  void accept(std::unique_ptr<Link> Accepted) {
    // The end of the link makes the peer use another host at once.
    if (m_StorageFailedAt)
      return;
    m_LastAcceptedLink += 2;
    addLink(LinkId{m_LastAcceptedLink}, std::move(Accepted));
  }

  Link::Callbacks callbacksOf(LinkId Id) {
    return {[this, Id] { post(LinkOpened{Id}); },
            [this, Id](Message Received) {
              post(MessageReceived{Id, std::move(Received)});
            },
            [this, Id](const std::string &Reason) {
              closeLink(Id);
              post(LinkClosed{Id, Reason});
            }};
  }

  void addLink(LinkId Id, std::unique_ptr<Link> Added) {
    Added->setCallbacks(callbacksOf(Id));
    m_Links[Id] = std::move(Added);
  }

  void closeLink(LinkId Id) {
    auto Found = m_Links.find(Id);
    if (Found == m_Links.end())
      return;
    Found->second->setCallbacks(
        {[] {}, [](const Message &) {}, [](const std::string &) {}});
    m_ClosedLinks.push_back(std::move(Found->second));
    m_Links.erase(Found);
  }

  // Actions.

  void execute(const PersistLog &Action) { m_Store->persist(Action); }
  void execute(const PersistSnapshot &Action) {
    if (!m_Store->persistSnapshot(Action.m_Snapshot))
      writeLog(LogLevel::Warning,
               "no room for a snapshot, or an I/O error; the log is kept as it "
               "is: free space on the disk of the data folder");
  }
  void execute(const PersistCluster &Action) {
    m_Store->initialise(Action.m_ClusterId, {});
  }
  void execute(const ReplyToOperation &Action) {
    auto Found = m_ReplyHandlers.find(Action.m_Id);
    if (Found == m_ReplyHandlers.end())
      return m_OperationsServer.reply(Action);
    OnReply Reply = std::move(Found->second);
    m_ReplyHandlers.erase(Found);
    Reply(Action);
  }
  void execute(const CallInstance &Action) { m_InstanceClient.call(Action); }
  void execute(const CallGroup &Action) {
    if (!m_Settings.m_Gateway) {
      post(GroupCallAnswered{
          Action.m_Call, GroupCallOutcome::Refused, {}, 0, false});
      return;
    }
    m_Settings.m_Gateway(Action, [this, Restarts = m_CoreRestarts](
                                     const GroupCallAnswered &Answer) {
      if (Restarts == m_CoreRestarts)
        post(Answer);
    });
  }
  void execute(const OpenLink &Action) {
    m_Links[Action.m_Link] =
        Link::connect(m_Loop, m_Settings.m_FleetSecret, Action.m_Peer,
                      callbacksOf(Action.m_Link));
  }
  void execute(const CloseLink &Action) { closeLink(Action.m_Link); }
  void execute(const SendMessage &Action) {
    auto Found = m_Links.find(Action.m_Link);
    if (Found == m_Links.end())
      return;
    if (Found->second->pendingBytes() <= kMaxPendingBytes) {
      Found->second->send(Action.m_Message);
      return;
    }
    closeLink(Action.m_Link);
    post(LinkClosed{Action.m_Link, "the peer does not read"});
  }
  static void execute(const ReportStateChange &Action) {
    writeLog(LogLevel::Info, Action.m_Text);
  }
  void execute(const ShutdownComplete & /*Action*/) {
    m_OperationsServer.stopAccepting();
    m_ShutdownDeadline = m_Loop.now() + kDrainTimeout;
  }
};

ControlHost::ControlHost(EventLoop &Loop, const ControlHostSettings &Settings)
    : m_State(std::make_unique<State>(Loop, Settings)) {}

ControlHost::~ControlHost() = default;

void ControlHost::run() {
  m_State->m_Loop.run();
  if (m_State->m_Failure)
    std::rethrow_exception(m_State->m_Failure);
}

void ControlHost::installPolicy(InstallPolicy Install, OnReply Reply) {
  OperationId Id = m_State->beginOperation(std::move(Reply));
  m_State->post(PolicySubmitted{Id, std::move(Install)});
}

void ControlHost::evacuateZone(const EvacuateZone &Order,
                               const std::string &Actor, OnReply Reply) {
  OperationId Id = m_State->beginOperation(std::move(Reply));
  m_State->post(ZoneEvacuationRequested{Id, Order, Actor});
}

void ControlHost::readBarrier(OnReply Reply) {
  OperationId Id = m_State->beginOperation(std::move(Reply));
  m_State->post(OperatorRead{Id});
}

void ControlHost::checkIn(InstanceCheckIn CheckIn, OnReply Reply) {
  OperationId Id = m_State->beginOperation(std::move(Reply));
  m_State->post(InstanceCheckedIn{Id, std::move(CheckIn)});
}

const ControlCore &ControlHost::core() const { return m_State->m_Core; }

void ControlHost::setSeeds(std::vector<Endpoint> Seeds) {
  m_State->m_Settings.m_Join = Seeds;
  m_State->post(SeedsChanged{std::move(Seeds)});
}

void ControlHost::shutDown() {
  m_State->m_IsShutdownRequested = true;
  m_State->post(ShutdownRequested{});
}

} // namespace almondpier
