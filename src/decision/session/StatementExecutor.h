/// \file
/// Executes the statements of sessions at database instances.
#pragma once

#include "decision/session/AdmissionQueue.h"
#include "decision/session/InstanceSelector.h"
#include "decision/session/RoutePriorities.h"
#include "decision/session/StatementForwarder.h"

#include <utility>

namespace almondpier {

/// Selects an instance and a connection for each statement, applies the session
/// variables and prepared statements to the connection, and retries statements
/// that were provably not executed. A write or commit that may have been
/// executed is never sent again. Statements of this host's sessions are
/// forwarded to the owner of their group when that is another host.
class StatementExecutor {
public:
  struct CompletedStatement {
    SessionId m_Session;
    StatementReply m_Reply;
    /// The statement was not executed because this host cannot reach an
    /// instance that may run it.
    bool m_IsUnreachable = false;
  };

  StatementExecutor(ProxyBlackboard &Board, SessionTable &Sessions,
                    SessionActions &Actions, GroupOwners &Owners,
                    StatementForwarder &Forwarder, Duration EvacuationGrace)
      : m_Board(Board), m_Sessions(Sessions), m_Actions(Actions),
        m_Owners(Owners), m_Forwarder(Forwarder), m_Tracker(Board),
        m_Evacuated(Board, EvacuationGrace), m_Pool(Board, Actions),
        m_Selector(Board, m_Tracker, m_Evacuated, m_Pool) {}

  /// Executes Session.m_Pending, which must be set.
  void submit(CallerSession &Session, Time Now);
  /// Stops the execution of the pending statement, whose deadline or wait time
  /// has passed, and returns the reply for the caller.
  StatementReply abandon(CallerSession &Session, Time Now);
  /// Rolls back the open transaction without waiting for the reply. Also ends a
  /// statement that an owner executes for the session.
  void rollBack(CallerSession &Session, Time Now);
  void onForwardedReply(LinkId Link, const ForwardedStatementReply &Reply,
                        Time Now);
  void onLinkLost(LinkId Link, Time Now);

  void onConnected(const InstanceConnected &Event, Time Now);
  void onRefused(const InstanceRefused &Event, Time Now);
  void onReplied(const InstanceReplied &Event, Time Now);
  void onReplyInvalid(const InstanceReplyInvalid &Event, Time Now);
  void onClosed(ConnectionId Id, Time Now);
  /// A control host proved what the configuration is.
  void onConfigurationProved(Time Now) { m_Evacuated.update(Now); }
  /// The configuration or the directory changed.
  void onConfigurationChanged(Time Now) { m_Tracker.onDirectoryChanged(Now); }
  /// Dispatches the queued statements for which a connection has become
  /// available.
  void dispatchWaiting(Time Now);
  void tick(Time Now);
  /// Returns whether the pending statement has exceeded its time in the wait
  /// queue.
  static bool hasWaitTimedOut(const CallerSession &Session, Time Now);
  std::vector<CompletedStatement> takeCompleted() {
    return std::exchange(m_Completed, {});
  }

  const InstanceConnectionPool &pool() const { return m_Pool; }
  CounterList counters() const;

private:
  /// Forwards the pending statement, or waits for the link to an owner. Returns
  /// nothing when the statement is to be executed at this host, otherwise
  /// whether it was forwarded.
  std::optional<bool> forward(CallerSession &Session, Time Now);
  void sendToOwner(CallerSession &Session, LinkId Link, const HostName &Host,
                   Time Now);
  /// The owner that executes the pending statement was lost.
  void onForwardFailed(CallerSession &Session, Time Now);
  void rollBackAtOwner(CallerSession &Session);
  /// Completes a forwarded statement that this host cannot execute because it
  /// has lost the instance.
  void returnToEntryHost(CallerSession &Session, const std::string &Reason);
  void dispatchOrQueue(CallerSession &Session, Time Now);
  uint32_t priorityOf(const CallerSession &Session);
  /// Returns whether the queue is so long that the pending statement would be
  /// rejected after its time in it.
  bool isQueueTooLong(const CallerSession &Session, size_t Ahead, Time Now);
  /// Takes a token from the retry budget. Returns false when it is exhausted;
  /// further retries would amplify an overload.
  bool takeRetryToken();
  /// Returns whether the pending statement was assigned to a connection.
  bool dispatch(CallerSession &Session, Time Now);
  /// Sends the next statement that the pending statement requires: one that
  /// prepares the connection, a BEGIN, or the statement itself.
  void sendNext(CallerSession &Session, InstanceConnection &Connection,
                Time Now);
  /// Closes the connection if its zone is closed, and retries or fails the
  /// pending statement, which was not sent. Returns whether it did so.
  bool leaveClosedZone(CallerSession &Session, InstanceConnection &Connection,
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
  /// Updates what is known about the connection's session at the instance.
  static void recordReply(InstanceConnection &Connection,
                          const StatementReply &Reply);
  void onUnclaimedReply(InstanceConnection &Connection, bool IsRefused,
                        Time Now);
  /// Passes a reply that answers the outstanding statement on to it.
  void onOwnReply(InstanceConnection &Connection, const StatementReply &Reply,
                  Time Now);
  /// A reply arrived that does not answer the outstanding statement.
  void onForeignReply(InstanceConnection &Connection,
                      const StatementReply &Reply, Time Now);
  /// A rejection arrived that may answer an earlier statement. Its own is not
  /// answered before the true reply is known: a rollback, where a transaction
  /// is open, and an empty transaction are sent, whose replies differ from each
  /// other and come after it.
  void confirmRejection(InstanceConnection &Connection,
                        const StatementReply &Reply, Time Now);
  void sendConfirmation(InstanceConnection &Connection, Time Now);
  /// Tries the rejected statement elsewhere while the rejection is confirmed,
  /// unless an execution would have had an effect.
  void retryUnconfirmed(InstanceConnection &Connection, Time Now);
  void onConfirmationReplied(InstanceConnection &Connection,
                             const StatementReply &Reply, Time Now);
  /// The rejection is that of its statement.
  void onRejectionConfirmed(InstanceConnection &Connection, Time Now);
  /// Returns whether the reply is that of the statement that seemed to be
  /// rejected, and passes it on.
  bool takeTrueReply(InstanceConnection &Connection,
                     const StatementReply &Reply, Time Now);
  /// A statement that the proxy sent to prepare the connection was rejected.
  void onPreparationRejected(CallerSession &Session,
                             InstanceConnection &Connection,
                             const StatementReply &Reply, Time Now);
  /// Closes the connection, whose instance can be reached, and retries or fails
  /// the statement that runs on it.
  void dropConnection(ConnectionId Id, const std::string &Reason, Time Now);
  /// Counts and logs a defective reply with the instance, the connection and
  /// the request that was outstanding.
  void reportDefect(const InstanceConnection &Connection, ReplyDefect Defect);
  void recordError(const InstanceConnection &Connection, SessionError Error,
                   Time Now);
  /// Returns the connection to the pool, after a rollback when a transaction is
  /// open.
  void releaseConnection(InstanceConnection &Connection, Time Now);
  /// Returns whether retry() would schedule another attempt.
  bool canRetry(const CallerSession &Session, SessionError Error) const;
  /// Schedules another attempt of the pending statement, or fails it when its
  /// attempts or the retry budget are exhausted.
  void retry(CallerSession &Session, const InstanceName &Failed,
             const std::string &Reason, SessionError Error, Time Now);
  void finish(CallerSession &Session, StatementReply Reply);
  /// Completes the pending statement with an error and marks its transaction as
  /// failed.
  void fail(CallerSession &Session, SessionError Error,
            const std::string &Text);
  /// Returns the error for a statement whose reply does not come:
  /// OutcomeUnknown when a write or commit may have taken effect, otherwise
  /// Aborted.
  static SessionError errorWithoutReply(const CallerSession &Session);
  void closeUnresponsive(Time Now);
  /// Closes idle connections to closed zones, and rolls back transactions that
  /// are open there.
  void leaveClosedZones(Time Now);
  void publishReports(Time Now);

  ProxyBlackboard &m_Board;
  SessionTable &m_Sessions;
  SessionActions &m_Actions;
  GroupOwners &m_Owners;
  StatementForwarder &m_Forwarder;
  GroupTracker m_Tracker;
  EvacuatedZones m_Evacuated;
  InstanceConnectionPool m_Pool;
  InstanceSelector m_Selector;
  /// Groups without a free instance in the current pass over the queue; the
  /// other statements of such a group need not be tried.
  std::set<std::pair<DatabaseName, StatementTarget>> m_FullGroups;
  /// Sessions whose pending statement waits for a connection.
  AdmissionQueue m_AdmissionQueue;
  RoutePriorities m_RoutePriorities;
  std::vector<CompletedStatement> m_Completed;
  Time m_ExcessClosedAt;
  Time m_ReportedAt;
  /// Instances that sent defective replies since m_DefectsClearedAt.
  std::set<InstanceName> m_DefectiveInstances;
  /// Those of the interval before.
  std::set<InstanceName> m_EarlierDefectiveInstances;
  Time m_DefectsClearedAt;
  /// Remaining retry budget; grows by a fraction of a retry with each
  /// statement.
  double m_RetryTokens = 0;
  uint64_t m_Retries = 0;
  uint64_t m_PositionReads = 0;
  uint64_t m_ConfirmedReads = 0;
  /// Statements of this host's sessions that ran here although another host is
  /// preferred as the owner of the group.
  uint64_t m_RunWithoutOwner = 0;
  uint64_t m_ConnectionsOverLimit = 0;
  uint64_t m_OverloadRejections = 0;
  uint64_t m_InvalidReplies = 0;
  uint64_t m_UnrequestedReplies = 0;
  uint64_t m_RepeatedReplies = 0;
  uint64_t m_ConfirmedRejections = 0;
  /// Statements rejected on arrival because of the queue before them.
  uint64_t m_QueueRejections = 0;
  /// Transactions rolled back because their zone was evacuated.
  uint64_t m_EvacuatedTransactions = 0;
};

} // namespace almondpier
