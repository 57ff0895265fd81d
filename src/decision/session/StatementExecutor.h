/// \file
/// Runs the statements of sessions at instances.
#pragma once

#include "decision/session/InstanceSelector.h"

#include <utility>

namespace almondpier {

/// Chooses an instance and a connection for each statement, brings the
/// connection into the state of the session, and repeats elsewhere what
/// provably did not run. A write or commit is never sent twice.
class StatementExecutor {
public:
  struct CompletedStatement {
    SessionId m_Session;
    StatementReply m_Reply;
  };

  StatementExecutor(ProxyBlackboard &Board, SessionTable &Sessions,
                    SessionActions &Actions)
      : m_Board(Board), m_Sessions(Sessions), m_Actions(Actions),
        m_Tracker(Board), m_Pool(Board, Actions),
        m_Selector(Board, m_Tracker, m_Pool) {}

  /// Runs Session.m_Pending, which is set.
  void submit(CallerSession &Session, Time Now);
  /// Gives up the task because the caller is gone or its deadline has passed,
  /// and returns what can be said of it.
  StatementReply abandon(CallerSession &Session, Time Now);
  /// Rolls back the open transaction; nobody waits for the answer.
  void rollBack(CallerSession &Session, Time Now);

  void onConnected(const InstanceConnected &Event, Time Now);
  void onRefused(const InstanceRefused &Event, Time Now);
  void onReplied(const InstanceReplied &Event, Time Now);
  void onClosed(ConnectionId Id, Time Now);
  void onDirectoryChanged(Time Now) { m_Tracker.onDirectoryChanged(Now); }
  /// Sends waiting statements for which there is a connection now.
  void dispatchWaiting(Time Now);
  void tick(Time Now);
  /// Whether a waiting task has waited as long as it may before it is refused.
  static bool hasWaitTimedOut(const CallerSession &Session, Time Now);
  std::vector<CompletedStatement> takeCompleted() {
    return std::exchange(m_Completed, {});
  }

  const InstanceConnectionPool &pool() const { return m_Pool; }
  CounterList counters() const;

private:
  void dispatchOrQueue(CallerSession &Session, Time Now);
  /// Whether a failed attempt may be repeated without adding to an overload.
  bool takeRetryToken();
  /// Returns whether the task found a connection.
  bool dispatch(CallerSession &Session, Time Now);
  /// Sends the next statement that brings the task forward.
  void sendNext(CallerSession &Session, InstanceConnection &Connection,
                Time Now);
  bool synchroniseConnection(CallerSession &Session,
                             InstanceConnection &Connection, Time Now);
  void sendBegin(CallerSession &Session, InstanceConnection &Connection,
                 const InstanceRequirement &Requirement, Time Now);
  void sendStatement(CallerSession &Session, InstanceConnection &Connection,
                     const InstanceRequirement &Requirement, Time Now);
  void onStatementReplied(CallerSession &Session,
                          InstanceConnection &Connection, StatementReply Reply,
                          Time Now);
  void onBeginReplied(CallerSession &Session, InstanceConnection &Connection,
                      const StatementReply &Reply, Time Now);
  void onUnclaimedReply(InstanceConnection &Connection, Time Now);
  void recordError(const InstanceConnection &Connection, SessionError Error,
                   Time Now);
  /// Returns the connection to the pool, after a rollback when one is due.
  void releaseConnection(InstanceConnection &Connection, Time Now);
  /// Tries the task again elsewhere, or ends it when that is no use.
  void retry(CallerSession &Session, const InstanceName &Failed,
             const std::string &Reason, SessionError Error, Time Now);
  void finish(CallerSession &Session, StatementReply Reply);
  /// Ends the task and the transaction that it belongs to.
  void fail(CallerSession &Session, SessionError Error,
            const std::string &Text);
  /// What is true of a statement whose connection is gone.
  SessionError errorAfterConnectionLoss(const CallerSession &Session) const;
  void closeUnresponsive(Time Now);
  void publishReports(Time Now);

  ProxyBlackboard &m_Board;
  SessionTable &m_Sessions;
  SessionActions &m_Actions;
  GroupTracker m_Tracker;
  InstanceConnectionPool m_Pool;
  InstanceSelector m_Selector;
  /// Sessions whose task waits for a connection, in order of arrival.
  std::deque<SessionId> m_WaitQueue;
  std::vector<CompletedStatement> m_Completed;
  Time m_ExcessClosedAt;
  Time m_ReportedAt;
  /// Retries that may still be spent; grows with each statement.
  double m_RetryTokens = 0;
  uint64_t m_Retries = 0;
  uint64_t m_PositionReads = 0;
  uint64_t m_ConfirmedReads = 0;
};

} // namespace almondpier
