/// \file
/// Executes the requests for one database at its owner.
#pragma once

#include "decision/proxy/owner/GroupMonitor.h"
#include "decision/proxy/owner/OwnerContext.h"
#include "decision/proxy/owner/ReadRouter.h"
#include "decision/proxy/owner/RetryBudget.h"
#include "decision/proxy/owner/TransactionTable.h"
#include "decision/proxy/owner/WriteTracker.h"

namespace almondpier {

/// Exponentially weighted mean time from sending a statement to its answer.
class MeanServiceTime {
public:
  void add(Duration Measured) {
    constexpr int kOldWeight = 7;
    m_Mean = m_Mean == Duration{}
                 ? Measured
                 : (m_Mean * kOldWeight + Measured) / (kOldWeight + 1);
  }
  /// Zero before the first measurement.
  Duration mean() const { return m_Mean; }

private:
  Duration m_Mean{};
};

class DatabaseExecutor {
public:
  DatabaseExecutor(DatabaseName Database, OwnerContext &Context);

  /// Applies the database record, and the preset and the observers on the
  /// blackboard.
  void configure(const DatabaseRecord &Record, Time Now);
  void submit(PendingRequest &Request, Time Now);
  /// Cancels a request whose caller has gone. May delete the request.
  void cancel(PendingRequest &Request, Time Now);
  /// Completes a request whose deadline has passed.
  void expire(PendingRequest &Request, Time Now);
  /// Refuses a request that waits to be sent, because the configuration is
  /// stale. Returns false if the request was sent or may have run.
  bool rejectIfWaiting(PendingRequest &Request);
  void onInstanceAnswered(Connection &Connection, const InstanceAnswered &Event,
                          Time Now);
  void onConnectionClosed(Connection &Connection, Time Now);
  /// Returns whether the probe belongs to this group.
  bool onProbeAnswered(const ProbeAnswered &Event, Time Now);
  void tick(Time Now);

  void appendReports(std::vector<InstanceReport> &Reports, Time Now) const;
  size_t openTransactions() const { return m_Transactions.size(); }
  const DatabaseName &database() const { return m_Database; }

private:
  // DatabaseExecutor.cpp: request life cycle, configuration and timers.
  void submitTransactionStatement(PendingRequest &Request, Time Now);
  FairQueue &queueFor(const PendingRequest &Request);
  bool rejectIfOverloaded(PendingRequest &Request, const FairQueue &Queue,
                          Time Now);
  void enqueue(PendingRequest &Request, bool AtFront);
  void enqueueAfter(PendingRequest &Request, Duration Delay, Time Now);
  /// Removes a request from the containers of its stage. Does not close its
  /// connection.
  void unlink(PendingRequest &Request);
  /// Unlinks a request and closes its connection, so that a late answer cannot
  /// reach another request.
  void abandonAnswer(PendingRequest &Request);
  void runTimers(Time Now);
  void checkInstanceHealth(Time Now);
  void onPrimaryReplaced(Instance &Former, Time Now);
  void removeInstance(Instance &Instance, Time Now);
  void rollBack(Transaction &Transaction, const char *Reason, Time Now);
  bool isActive(Time Now) const;
  void updatePools(Time Now);

  // DatabaseExecutorDispatch.cpp: sending queued requests to instances.
  void dispatch(Time Now);
  void dispatchTransactions(Time Now);
  void dispatchToPrimary(Time Now);
  void dispatchReads(Time Now);
  bool sendNextToPrimary(FairQueue &Queue, Time Now);
  /// Checks that the key is valid and that enough time is left. Otherwise fails
  /// the request and returns false.
  bool validateBeforeDispatch(PendingRequest &Request, const Instance *Target,
                              Time Now);
  void waitForReplica(PendingRequest &Request, Time Now);
  void moveToPrimary(PendingRequest &Request);
  void requeueWaitingReads(const Instance &Changed, Time Now);
  void send(PendingRequest &Request, Connection &Connection, uint64_t Term,
            Time Now);

  // DatabaseExecutorAnswers.cpp: processing the answers of instances.
  void onWarmUpAnswered(Connection &Connection, const InstanceAnswered &Event,
                        Time Now);
  void onFailure(PendingRequest &Request, Connection &Connection,
                 bool NothingSent, bool AlreadyClosed, Time Now);
  void onAnswer(PendingRequest &Request, Connection &Connection,
                const InstanceAnswer &Answer, Time Now);
  void onReadAnswer(PendingRequest &Request, Connection &Connection,
                    const InstanceAnswer &Answer, Time Now);
  void onWriteAnswer(PendingRequest &Request, Connection &Connection,
                     const InstanceAnswer &Answer, Time Now);
  void onLookupAnswer(PendingRequest &Request, Connection &Connection,
                      const InstanceAnswer &Answer, Time Now);
  void onBeginAnswer(PendingRequest &Request, Connection &Connection,
                     const InstanceAnswer &Answer, Time Now);
  void onTransactionAnswer(PendingRequest &Request, Connection &Connection,
                           const InstanceAnswer &Answer, Time Now);
  void onCommitAnswer(PendingRequest &Request, Connection &Connection,
                      const InstanceAnswer &Answer, Time Now);
  void finishRead(PendingRequest &Request, Instance &Served, Time Now);
  void waitForConfirmation(PendingRequest &Request, Time Now);
  void completeConfirmed(Time Now);
  void retryRead(PendingRequest &Request, Time Now);
  void waitForMajority(PendingRequest &Request, const InstanceAnswer &Answer,
                       Instance &Served, Time Now);
  void resolveWrites(Time Now);
  void startOutcomeLookup(PendingRequest &Request, Time Now);
  void requeueRefused(PendingRequest &Request, Instance &Refusing, Time Now);
  void failWithInstanceError(PendingRequest &Request,
                             const InstanceAnswer &Answer);
  void releaseConnection(Connection &Connection);
  void discardConnection(Connection &Connection, bool AlreadyClosed);

  DatabaseName m_Database;
  OwnerContext &m_Context;
  GroupMonitor m_Monitor;
  ReadRouter m_Router;
  RetryBudget m_RetryBudget;
  WriteTracker m_Writes;
  TransactionTable m_Transactions;
  MeanServiceTime m_ReadServiceTime;
  MeanServiceTime m_PrimaryServiceTime;

  /// Statements in open transactions, begins, other requests for the primary,
  /// and reads for replicas.
  FairQueue m_TransactionQueue;
  FairQueue m_BeginQueue;
  FairQueue m_PrimaryQueue;
  FairQueue m_ReadQueue;
  bool m_PreferBegins = false;

  /// Reads that wait for a replica to reach a position, by that position.
  std::multimap<Position, PendingRequest *> m_WaitingForPosition;
  /// Reads that wait for a replica that is fresh enough for their maximum age.
  std::list<PendingRequest *> m_WaitingForFreshness;
  /// Answered requests that wait for a confirmation of the primary, by the
  /// first probe that can confirm it.
  std::multimap<uint64_t, PendingRequest *> m_WaitingForConfirmation;
  std::multimap<Time, PendingRequest *> m_Timers;

  bool m_IsObserver = false;
  bool m_IsOwner = false;
  std::optional<Time> m_LastRequestAt;
};

} // namespace almondpier
