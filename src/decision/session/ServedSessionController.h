/// \file
/// Executes statements that other hosts forward to this one as the owner of
/// their group.
#pragma once

#include "decision/session/ShutdownSchedule.h"
#include "decision/session/StatementExecutor.h"

namespace almondpier {

/// Served sessions are entries of the session table with m_Origin set. One
/// exists while its statement runs or its transaction is open. The entry host
/// has checked the key, the route and the rate of each statement.
class ServedSessionController {
public:
  ServedSessionController(SessionTable &Sessions, StatementExecutor &Executor,
                          GroupOwners &Owners, const ShutdownSchedule &Shutdown,
                          LinkTable &Links, ProxyActions &Actions)
      : m_Sessions(Sessions), m_Executor(Executor), m_Owners(Owners),
        m_Shutdown(Shutdown), m_Links(Links), m_Actions(Actions) {}

  void receive(LinkId Link, const ForwardedStatement &Received, Time Now);
  /// The entry host no longer waits for the session.
  void onEnded(LinkId Link, const ForwardedSessionEnd &Ended, Time Now);
  void onLinkAccepted(LinkId Link, bool AcceptsStatements);
  void onLinkLost(LinkId Link, Time Now);
  /// Tells the hosts with a link to this one when the availability changes.
  void setAvailability(bool AcceptsStatements);
  /// Replies to the entry host. The session stays only while its transaction is
  /// open.
  void complete(CallerSession &Session,
                const StatementExecutor::CompletedStatement &Completed,
                Time Now);
  /// Removes a session and rolls back its transaction. A statement that is
  /// running at an instance completes without a reply.
  void end(SessionId Id, Time Now);
  CounterList counters() const;

private:
  using Key = std::pair<LinkId, uint64_t>;

  void refuse(LinkId Link, uint64_t Sequence, SessionError Error,
              const std::string &Text, bool IsUnreachable = false);
  /// Returns whether the statement was refused because this host ends before
  /// its deadline. The entry host tries another owner, or its transaction is
  /// rolled back.
  bool refuseForShutdown(LinkId Link, const ForwardedStatement &Received,
                         Time Now);
  /// Returns the session of a statement that continues a transaction, or null
  /// after a refusal.
  CallerSession *findContinued(LinkId Link, const ForwardedStatement &Received,
                               Time Now);
  void start(LinkId Link, const ForwardedStatement &Received, Time Now);

  SessionTable &m_Sessions;
  StatementExecutor &m_Executor;
  GroupOwners &m_Owners;
  const ShutdownSchedule &m_Shutdown;
  LinkTable &m_Links;
  ProxyActions &m_Actions;
  /// By link and the identifier of the session on it.
  std::map<Key, SessionId> m_Served;
  std::set<LinkId> m_AcceptedLinks;
  bool m_AcceptsStatements = false;
  uint64_t m_LastSession = 0;
  uint64_t m_StatementCount = 0;
  uint64_t m_RefusedCount = 0;
};

} // namespace almondpier
