/// \file
/// Callers' sessions: the order of their statements, transactions, session
/// values, prepared names, admission and deadlines.
#pragma once

#include "decision/proxy/TokenController.h"
#include "decision/session/StatementExecutor.h"

namespace almondpier {

struct SessionLimits {
  /// How long the configuration is used after it was proved fresh. Must be
  /// shorter than the time in which a revoked key has to stop working.
  Duration m_FreshnessLimit = std::chrono::milliseconds(3'000);
  /// Sessions served at a time; a share of the descriptors of the process.
  size_t m_MaxSessions = 3'000;
  /// Time between the request to shut down and the forced end.
  Duration m_ShutdownGrace = std::chrono::milliseconds(6'000);

  /// Limits for a system in which a revoked key stops working within
  /// RevocationLimit and a process ends within Grace. The rest of
  /// RevocationLimit is for statements that wait or run.
  static SessionLimits within(Duration RevocationLimit, Duration Grace) {
    constexpr int kShare = 5;
    SessionLimits Result;
    Result.m_FreshnessLimit = RevocationLimit * 3 / kShare;
    Result.m_ShutdownGrace = Grace;
    return Result;
  }
};

class SessionController {
public:
  SessionController(const SessionLimits &Limits, ProxyBlackboard &Board,
                    TokenController &Tokens, SessionActions &Actions);

  void open(const SessionOpened &Event, Time Now);
  void receive(const SessionStatement &Event, Time Now);
  void end(SessionId Id, Time Now);
  StatementExecutor &executor() { return m_Executor; }
  /// Moves tasks on whose tokens or answers have come.
  void settle(Time Now);
  void tick(Time Now);

  void beginShutdown(Time Now);
  bool isShuttingDown() const { return m_ShutdownAt.has_value(); }
  /// Every session has ended, or the time for it has.
  bool isShutdownComplete(Time Now) const;
  bool isFresh(Time Now) const;
  size_t sessionCount() const { return m_Sessions.size(); }
  CounterList counters() const;

private:
  template <typename Action> void act(Action Taken) {
    m_Actions.emplace_back(std::in_place_type<Action>, std::move(Taken));
  }
  void startNext(CallerSession &Session, Time Now);
  /// Each answers the statement or sets the task.
  void start(CallerSession &Session, ReceivedStatement Received, Time Now);
  void startInFailedTransaction(CallerSession &Session,
                                const ReceivedStatement &Received, Time Now);
  void startBegin(CallerSession &Session, const ReceivedStatement &Received,
                  Time Now);
  void startEnd(CallerSession &Session, const ReceivedStatement &Received,
                Time Now);
  void startData(CallerSession &Session, ReceivedStatement Received, Time Now);
  void startSetValue(CallerSession &Session, const ReceivedStatement &Received,
                     Time Now);
  void startPrepare(CallerSession &Session, const Statement &Received,
                    Time Now);
  void startDeallocate(CallerSession &Session, const Statement &Received,
                       Time Now);
  void setTask(CallerSession &Session, ReceivedStatement Received, Time Now);
  void waitForToken(CallerSession &Session, Time Now);
  /// The token has come, or none is needed.
  void onAdmitted(CallerSession &Session, Time Now);
  /// Why an operation may not run now.
  std::optional<SessionError> refusalOf(const CallerSession &Session,
                                        Time Now) const;
  /// Checks the key and reads the policy of the route for a new operation.
  std::optional<SessionError> admit(CallerSession &Session, Time Now);
  Target targetOf(const CallerSession &Session,
                  const Statement &Statement) const;

  void answerLocally(CallerSession &Session, Time Now);
  void answerError(CallerSession &Session, SessionError Error,
                   const std::string &Text, Time Now);
  void answer(CallerSession &Session, StatementReply Reply, Time Now);
  void onFinished(const StatementExecutor::Finished &Finished, Time Now);
  void abortTransaction(CallerSession &Session, Time Now);
  void endTransaction(CallerSession &Session);
  void logOutcome(const CallerSession &Session, const StatementReply &Reply,
                  Time Now);
  void expire(Time Now);
  void continueShutdown(Time Now);

  SessionLimits m_Limits;
  ProxyBlackboard &m_Board;
  TokenController &m_Tokens;
  SessionActions &m_Actions;
  SessionTable m_Sessions;
  StatementExecutor m_Executor;
  std::optional<Time> m_ShutdownAt;
  Time m_ExpiredAt;
  uint64_t m_Opened = 0;
  uint64_t m_Refused = 0;
  uint64_t m_Answered = 0;
  uint64_t m_Failed = 0;
  uint64_t m_RateLimited = 0;
};

} // namespace almondpier
