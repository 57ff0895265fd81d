#include "load/Verifier.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace almondpier {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{2};
/// Longest time that the last operations take after the load ends.
constexpr std::chrono::seconds kSettleLimit{40};
/// Sessions that an open loop creates for one organisation at most.
constexpr size_t kMaxSessions = 2'000;

namespace {

class LoadRunner {
public:
  LoadRunner(EventLoop &Loop, const LoadSettings &Settings)
      : m_Run{Loop,
              Settings,
              ProxyClient(Loop, Settings.m_Proxies),
              {},
              LoadMeasures(Settings.m_Limits),
              {},
              {},
              0},
        m_StartedAt(Loop.now()), m_LastTick(m_StartedAt) {}

  LoadOutcome run() {
    const LoadSettings &Settings = m_Run.m_Settings;
    m_Run.m_Measures.start(m_StartedAt);
    for (size_t Index = 0; Index < Settings.m_Concurrency; ++Index) {
      LoadSession &Session =
          addSession(Settings.m_Keys[Index % Settings.m_Keys.size()]);
      if (!isOpenLoop())
        repeat(Session);
    }
    Timer Tick(m_Run.m_Loop, kTickInterval, [this] { tick(); });
    m_Run.m_Loop.run();
    m_Run.m_Checker.checkCompleteness();
    return report();
  }

private:
  bool isOpenLoop() const {
    return m_Run.m_Settings.m_RatePerSecond > 0 ||
           !m_Run.m_Settings.m_Rates.empty();
  }
  bool isOver() const {
    return m_Run.m_Loop.now() >= m_StartedAt + m_Run.m_Settings.m_Duration;
  }

  LoadSession &addSession(const LoadKey &Key) {
    m_Sessions.push_back(
        std::make_unique<LoadSession>(m_Run, m_Sessions.size(), Key));
    m_ByOrganisation[Key.m_Organisation].push_back(m_Sessions.back().get());
    return *m_Sessions.back();
  }

  void repeat(LoadSession &Session) {
    if (isOver())
      return;
    Session.run([this, &Session](Duration Wait) {
      if (Wait == Duration::zero()) {
        repeat(Session);
        return;
      }
      m_Pauses[&Session] = std::make_unique<OneShotTimer>(
          m_Run.m_Loop, Wait, [this, &Session] { repeat(Session); });
    });
  }

  double rateOf(const OrganisationName &Organisation) const {
    auto Own = m_Run.m_Settings.m_Rates.find(Organisation);
    if (Own != m_Run.m_Settings.m_Rates.end())
      return Own->second;
    return m_Run.m_Settings.m_RatePerSecond /
           static_cast<double>(m_ByOrganisation.size());
  }

  /// Starts an operation on an idle session, or on a new one.
  void startOne(const OrganisationName &Organisation) {
    std::vector<LoadSession *> &Sessions = m_ByOrganisation[Organisation];
    auto Idle = std::find_if(
        Sessions.begin(), Sessions.end(),
        [](const LoadSession *Session) { return !Session->isBusy(); });
    if (Idle != Sessions.end()) {
      LoadSession *Session = *Idle;
      // The least recently used session is the next one.
      std::rotate(Idle, Idle + 1, Sessions.end());
      Session->run([](Duration) {});
      return;
    }
    if (Sessions.size() >= kMaxSessions) {
      ++m_Skipped;
      return;
    }
    addSession(Sessions.front()->key()).run([](Duration) {});
  }

  void tick() {
    Time Now = m_Run.m_Loop.now();
    if (isOver()) {
      settle(Now);
      return;
    }
    if (!isOpenLoop())
      return;
    double Seconds = std::chrono::duration<double>(Now - m_LastTick).count();
    m_LastTick = Now;
    std::vector<OrganisationName> Organisations;
    Organisations.reserve(m_ByOrganisation.size());
    for (const auto &Entry : m_ByOrganisation)
      Organisations.push_back(Entry.first);
    for (const OrganisationName &Organisation : Organisations) {
      double &Credit = m_Credits[Organisation];
      for (Credit += Seconds * rateOf(Organisation); Credit >= 1; --Credit)
        startOne(Organisation);
    }
  }

  void settle(Time Now) {
    if (m_Verifier)
      return;
    if (!m_IsStopped)
      m_Run.m_Measures.stop(Now);
    m_IsStopped = true;
    bool IsBusy = std::any_of(m_Sessions.begin(), m_Sessions.end(),
                              [](const std::unique_ptr<LoadSession> &Session) {
                                return Session->isBusy();
                              });
    if (IsBusy &&
        Now < m_StartedAt + m_Run.m_Settings.m_Duration + kSettleLimit)
      return;
    m_Verifier =
        std::make_unique<LoadVerifier>(m_Run, [this] { m_Run.m_Loop.stop(); });
  }

  LoadOutcome report() const {
    const LoadChecker &Checker = m_Run.m_Checker;
    LoadOutcome Outcome;
    Outcome.m_IsCorrect = Checker.violationCount() == 0;
    Json Summary = Json::parse(m_Run.m_Measures.toJson());
    Summary["writes"] = {
        {"acknowledged", Checker.count(LoadWriteState::Acknowledged)},
        {"not_run", Checker.count(LoadWriteState::NotRun)},
        {"failed", Checker.count(LoadWriteState::Failed)},
        {"unknown", Checker.count(LoadWriteState::Unknown) +
                        Checker.count(LoadWriteState::Open)}};
    Summary["violation_count"] = Checker.violationCount();
    Summary["violations"] = Checker.violations();
    Summary["skipped"] = m_Skipped;
    Outcome.m_Json = Summary.dump(2) + "\n";
    Outcome.m_Text = m_Run.m_Measures.toText();
    Outcome.m_Text += "writes: " + Summary["writes"].dump() + "\n";
    if (m_Skipped != 0)
      Outcome.m_Text += "operations not offered, because all sessions were "
                        "busy: " +
                        std::to_string(m_Skipped) + "\n";
    for (const std::string &Violation : Checker.violations())
      Outcome.m_Text += "VIOLATION: " + Violation + "\n";
    Outcome.m_Text +=
        "violations: " + std::to_string(Checker.violationCount()) + "\n";
    return Outcome;
  }

  LoadRun m_Run;
  Time m_StartedAt;
  Time m_LastTick;
  std::vector<std::unique_ptr<LoadSession>> m_Sessions;
  std::map<OrganisationName, std::vector<LoadSession *>> m_ByOrganisation;
  std::map<OrganisationName, double> m_Credits;
  std::map<LoadSession *, std::unique_ptr<OneShotTimer>> m_Pauses;
  std::unique_ptr<LoadVerifier> m_Verifier;
  uint64_t m_Skipped = 0;
  bool m_IsStopped = false;
};

} // namespace

LoadOutcome runLoad(EventLoop &Loop, const LoadSettings &Settings) {
  return LoadRunner(Loop, Settings).run();
}

} // namespace almondpier
