#include "standin/Announcer.h"
#include "standin/Journal.h"
#include "standin/PlatformEndpoint.h"
#include "standin/Replicator.h"
#include "standin/StatementEndpoint.h"

namespace almondpier {

/// Bounds how late a lagging entry or the end of a wait is noticed.
constexpr std::chrono::milliseconds kTickInterval{5};

struct StandInServer::State {
  std::unique_ptr<StandInJournal> m_Journal;
  StandInContext m_Context;
  PlatformEndpoint m_Platform;
  StatementEndpoint m_Statements;
  Replicator m_Replicator;
  Announcer m_Announcer;
  Timer m_Tick;
  bool m_WasIsolated = false;

  State(EventLoop &Loop, const StandInSettings &Settings)
      : m_Context{Loop, Settings,
                  StandInInstance(Settings.m_Instance.m_Name,
                                  [this](std::string_view Record) {
                                    if (m_Journal)
                                      m_Journal->append(Record);
                                  })},
        m_Platform(m_Context, [this] { onChange(); }),
        m_Statements(m_Context, [this] { onChange(); }),
        m_Replicator(m_Context, [this] { onChange(); }), m_Announcer(m_Context),
        m_Tick(Loop, kTickInterval, [this] { tick(); }) {
    if (Settings.m_DataFolder.empty())
      return;
    m_Journal = std::make_unique<StandInJournal>(
        Settings.m_DataFolder, Settings.m_SyncEachRecord,
        [this](std::string_view Record) {
          m_Context.m_Instance.restore(Record);
        });
    onChange();
  }

  void onChange() {
    m_Context.m_AppendTimes.note(m_Context.m_Loop.now(),
                                 m_Context.m_Instance.position().m_Index);
    m_Platform.answerWaiting();
  }

  void tick() {
    bool IsIsolated = m_Context.isIsolated();
    if (m_WasIsolated && !IsIsolated) {
      m_Platform.closeHeld();
      m_Statements.closeHeld();
    }
    m_WasIsolated = IsIsolated;
    m_Platform.answerWaiting();
    m_Replicator.run();
  }
};

StandInServer::StandInServer(EventLoop &Loop, const StandInSettings &Settings)
    : m_State(std::make_unique<State>(Loop, Settings)) {}

StandInServer::~StandInServer() = default;

const StandInInstance &StandInServer::instance() const {
  return m_State->m_Context.m_Instance;
}

} // namespace almondpier
