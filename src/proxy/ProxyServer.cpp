#include "almondpier/Proxy.h"

#include "almondpier/Telemetry.h"
#include "proxy/CallerFrontend.h"
#include "proxy/InstanceConnections.h"
#include "proxy/ProxyLinks.h"
#include "proxy/ProxyStart.h"
#include "proxy/StatusProber.h"

#include <random>

namespace almondpier {

static constexpr std::chrono::milliseconds kTickInterval{5};
// Lets the last responses and returned tokens reach the network.
static constexpr std::chrono::milliseconds kFlushTime{200};

ProxyOptions makeProxyOptions(const HostRecord &Host,
                              const std::string &FleetSecret,
                              const std::vector<Endpoint> &Control) {
  ProxyOptions Options;
  Options.m_Host = Host;
  // Rises with each start as long as the wall clock does not go back.
  Options.m_Incarnation = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  Options.m_FleetSecret = FleetSecret;
  Options.m_ControlPeers = Control;
  Options.m_Seed = std::random_device()();
  return Options;
}

struct ProxyServer::State {
  EventLoop &m_Loop;
  ProxyCore m_Core;
  ProxyDispatcher m_Events;
  InstanceConnections m_Instances;
  StatusProber m_Prober;
  ProxyLinks m_Links;
  CallerFrontend m_Callers;
  Timer m_TickTimer;
  std::unique_ptr<OneShotTimer> m_StopTimer;

  State(EventLoop &Loop, const ProxySettings &Settings)
      : m_Loop(Loop),
        m_Core(makeProxyOptions(Settings.m_Host, Settings.m_FleetSecret,
                                Settings.m_Control),
               Loop.now()),
        m_Events(Loop, m_Core), m_Instances(Loop, m_Events),
        m_Prober(Loop, m_Events),
        m_Links(
            Loop, FleetSecret{Settings.m_FleetSecret},
            Settings.m_Host.m_ForwardEndpoint,
            [this](ProxyEvent Event) { m_Events.dispatch(std::move(Event)); }),
        m_Callers(Loop, Settings.m_Listen, Settings.m_MaxConnections, m_Events,
                  {[this] { return m_Core.isReady(m_Loop.now()); },
                   [this] { return metrics(); }}),
        m_TickTimer(Loop, kTickInterval, [this] {
          m_Links.destroyClosedLinks();
          m_Events.dispatch(Tick());
        }) {
    m_Events.setExecutor([this](ProxyAction &Action) {
      std::visit([this](const auto &Typed) { execute(Typed); }, Action);
    });
  }

  void execute(const ReplyToCaller &Action) { m_Callers.reply(Action); }
  void execute(const OpenLink &Action) { m_Links.open(Action); }
  void execute(const CloseLink &Action) { m_Links.close(Action); }
  void execute(const SendMessage &Action) { m_Links.send(Action); }
  void execute(const SendDatagram &Action) { m_Links.send(Action); }
  void execute(const OpenConnection &Action) { m_Instances.open(Action); }
  void execute(const CloseConnection &Action) { m_Instances.close(Action); }
  void execute(const SendStatement &Action) { m_Instances.send(Action); }
  void execute(const ProbeInstance &Action) { m_Prober.start(Action); }
  void execute(const ReportStateChange &Action) {
    writeLog(LogLevel::Info, Action.m_Text);
  }
  void execute(const ShutdownComplete & /*Action*/) {
    m_Callers.stopAccepting();
    m_StopTimer = std::make_unique<OneShotTimer>(m_Loop, kFlushTime,
                                                 [this] { m_Loop.stop(); });
  }

  std::string metrics() const {
    CounterList Counters = m_Core.counters();
    for (const CounterList &Part :
         {m_Callers.counters(), m_Links.counters(), m_Instances.counters(),
          m_Prober.counters(), processCounters()})
      Counters.insert(Counters.end(), Part.begin(), Part.end());
    Counters.push_back({"almondpier_ready", "1 while the host takes new work",
                        m_Core.isReady(m_Loop.now()) ? 1.0 : 0.0});
    Counters.push_back({"almondpier_action_failures_total",
                        "Actions that could not be executed",
                        static_cast<double>(m_Events.failureCount())});
    return formatCounters(Counters) +
           formatHistogram("almondpier_request_seconds",
                           "Time from the arrival of a request to its answer",
                           m_Callers.latency());
  }
};

ProxyServer::ProxyServer(EventLoop &Loop, const ProxySettings &Settings)
    : m_State(std::make_unique<State>(Loop, Settings)) {
  writeLog(LogLevel::Info,
           "listening for callers on " + formatEndpoint(Settings.m_Listen) +
               " and for hosts on " +
               formatEndpoint(Settings.m_Host.m_ForwardEndpoint));
}

ProxyServer::~ProxyServer() = default;

void ProxyServer::shutDown() {
  m_State->m_Callers.beginShutdown();
  m_State->m_Events.dispatch(ShutdownRequested());
}

} // namespace almondpier
