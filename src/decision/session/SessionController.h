/// \file
/// Manages callers' sessions: statement order, transactions, session variables,
/// prepared statements, admission and deadlines.
#pragma once

#include "decision/proxy/TokenController.h"
#include "decision/session/ServedSessionController.h"

namespace almondpier {

struct SessionLimits {
  /// How long the configuration is used after it was confirmed to be current.
  /// Must be shorter than the time within which a revoked key has to stop
  /// working.
  Duration m_FreshnessLimit = std::chrono::milliseconds(3'000);
  /// Maximum number of open sessions; a fraction of the file descriptors of the
  /// process.
  size_t m_MaxSessions = 3'000;
  /// Time between the shutdown request and the forced termination of the
  /// process.
  Duration m_ShutdownGrace = std::chrono::milliseconds(6'000);
  /// How long a primary in an evacuated zone serves, counted from the last
  /// proof of a configuration without the evacuation.
  Duration m_EvacuationGrace = std::chrono::milliseconds(4'500);

  /// Returns limits with which a revoked key stops working within
  /// RevocationLimit, an evacuated zone receives nothing after EvacuationLimit
  /// and the process terminates within Grace. The remainder of RevocationLimit
  /// is reserved for statements that are queued or running.
  static SessionLimits
  fromBounds(Duration RevocationLimit, Duration Grace,
             Duration EvacuationLimit = std::chrono::milliseconds(5'000)) {
    constexpr int kDivisor = 5;
    // A statement that was sent in time still has to arrive.
    constexpr Duration kTransitTime = std::chrono::milliseconds(500);
    SessionLimits Result;
    Result.m_FreshnessLimit =
        std::min(RevocationLimit, EvacuationLimit) * 3 / kDivisor;
    Result.m_ShutdownGrace = Grace;
    Result.m_EvacuationGrace =
        std::max(Duration::zero(), EvacuationLimit - kTransitTime);
    return Result;
  }
};

class SessionController {
public:
  SessionController(const SessionLimits &Limits, ProxyBlackboard &Board,
                    TokenController &Tokens, SessionActions &Actions,
                    GroupOwners &Owners, StatementForwarder &Forwarder,
                    LinkTable &Links, ProxyActions &LinkActions);

  void open(const SessionOpened &Event, Time Now);
  void receive(const StatementReceived &Event, Time Now);
  void end(SessionId Id, Time Now);
  ServedSessionController &served() { return m_Served; }
  StatementExecutor &executor() { return m_Executor; }
  /// Resumes pending statements that obtained a rate token, were denied one, or
  /// were completed by an instance.
  void resumePending(Time Now);
  void tick(Time Now);

  void beginShutdown(Time Now) { m_Shutdown.begin(Now); }
  bool isShuttingDown() const { return m_Shutdown.hasBegun(); }
  /// Returns whether all sessions have ended or the time for it has passed. All
  /// accepted statements have been answered then.
  bool isShutdownComplete(Time Now) const;
  bool isFresh(Time Now) const;
  size_t sessionCount() const { return m_Sessions.size(); }
  CounterList counters() const;

private:
  template <typename Action> void emit(Action Taken) {
    m_Actions.emplace_back(std::in_place_type<Action>, std::move(Taken));
  }
  void startNext(CallerSession &Session, Time Now);
  /// Starts a statement. This and the functions for the statement kinds either
  /// reply to it or set it as pending.
  void start(CallerSession &Session, ReceivedStatement Received, Time Now);
  void startInFailedTransaction(CallerSession &Session,
                                const ReceivedStatement &Received, Time Now);
  void startBegin(CallerSession &Session, const ReceivedStatement &Received,
                  Time Now);
  void startTransactionEnd(CallerSession &Session,
                           const ReceivedStatement &Received, Time Now);
  void startDataStatement(CallerSession &Session, ReceivedStatement Received,
                          Time Now);
  void startSetVariable(CallerSession &Session,
                        const ReceivedStatement &Received, Time Now);
  void startPrepare(CallerSession &Session, const Statement &Received,
                    Time Now);
  void startDeallocate(CallerSession &Session, const Statement &Received,
                       Time Now);
  /// Refuses the pending statement, which was not sent to an instance, and
  /// rolls its transaction back.
  void refuseForShutdown(CallerSession &Session, Time Now);
  void setPending(CallerSession &Session, ReceivedStatement Received, Time Now);
  void acquireToken(CallerSession &Session, Time Now);
  /// The statement obtained a rate token or needs none.
  void onAdmitted(CallerSession &Session, Time Now);
  /// Returns the reason for which an operation is rejected, if any.
  std::optional<SessionError> checkAdmission(const CallerSession &Session,
                                             Time Now) const;
  /// Returns the reason for which a statement of an open transaction is
  /// rejected, if any.
  std::optional<SessionError> checkOpenTransaction(const CallerSession &Session,
                                                   Time Now) const;
  /// Checks the admission of a new operation and refreshes the session's copy
  /// of the route policy.
  std::optional<SessionError> admit(CallerSession &Session, Time Now);
  StatementTarget targetOf(const CallerSession &Session,
                           const Statement &Statement) const;

  void replyLocally(CallerSession &Session, Time Now);
  void replyError(CallerSession &Session, SessionError Error,
                  const std::string &Text, Time Now);
  void reply(CallerSession &Session, StatementReply Reply, Time Now);
  void onCompleted(const StatementExecutor::CompletedStatement &Completed,
                   Time Now);
  void abortTransaction(CallerSession &Session, Time Now);
  void resetTransaction(CallerSession &Session);
  void logOutcome(const CallerSession &Session, const StatementReply &Reply,
                  Time Now);
  void expireTimeouts(Time Now);
  /// Returns whether the session is to be ended while the host shuts down.
  bool canEnd(const CallerSession &Session, Time Now) const;
  void continueShutdown(Time Now);
  /// Closes the sessions that were answered during a shutdown, together with
  /// the reply: later, the caller's next statement may already be on its way.
  void closeAnswered(Time Now);
  void close(SessionId Id, Time Now);

  SessionLimits m_Limits;
  ProxyBlackboard &m_Board;
  TokenController &m_Tokens;
  SessionActions &m_Actions;
  SessionTable m_Sessions;
  StatementExecutor m_Executor;
  ShutdownSchedule m_Shutdown;
  ServedSessionController m_Served;
  /// Sessions that were answered since the last event, during a shutdown.
  std::vector<SessionId> m_Answered;
  Time m_TimeoutsCheckedAt;
  uint64_t m_SessionsOpened = 0;
  uint64_t m_SessionsRefused = 0;
  uint64_t m_StatementsAnswered = 0;
  uint64_t m_StatementsFailed = 0;
  uint64_t m_OperationsRateLimited = 0;
  uint64_t m_ShutdownRefusals = 0;
};

} // namespace almondpier
