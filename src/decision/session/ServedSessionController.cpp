#include "decision/session/ServedSessionController.h"

namespace almondpier {

/// Distinguishes the identifiers of served sessions from those that the driver
/// assigns to callers' connections.
static constexpr uint64_t kServedSessionBit = uint64_t{1} << 63U;

void ServedSessionController::receive(LinkId Link,
                                      const ForwardedStatement &Received,
                                      Time Now) {
  ++m_StatementCount;
  m_Links.onRequestStarted(Link, Now);
  if (refuseForShutdown(Link, Received, Now))
    return;
  if (!Received.m_IsContinued)
    return start(Link, Received, Now);
  CallerSession *Session = findContinued(Link, Received, Now);
  if (Session == nullptr)
    return;
  if (!setServedStatement(*Session, Received, Now)) {
    end(Session->m_Id, Now);
    return refuse(Link, Received.m_Sequence, SessionError::Aborted,
                  "the forwarded statement is invalid");
  }
  m_Executor.submit(*Session, Now);
}

bool ServedSessionController::refuseForShutdown(
    LinkId Link, const ForwardedStatement &Received, Time Now) {
  Time Deadline = Now + std::chrono::milliseconds(Received.m_TimeLeftMs);
  bool IsInTime = Received.m_IsContinued
                      ? m_Shutdown.canContinueTransaction(Deadline, Now)
                      : m_Shutdown.canFinish(Deadline);
  if (IsInTime)
    return false;
  onEnded(Link, ForwardedSessionEnd{Received.m_Session}, Now);
  refuse(Link, Received.m_Sequence,
         Received.m_IsContinued ? SessionError::Aborted : SessionError::Busy,
         "the host shuts down before the deadline of the statement", true);
  return true;
}

CallerSession *ServedSessionController::findContinued(
    LinkId Link, const ForwardedStatement &Received, Time Now) {
  auto Known = m_Served.find(Key{Link, Received.m_Session});
  auto Found = Known == m_Served.end() ? m_Sessions.end()
                                       : m_Sessions.find(Known->second.m_Value);
  if (Found != m_Sessions.end() && !Found->second.m_Pending &&
      Found->second.m_State == TransactionState::Open)
    return &Found->second;
  if (Found != m_Sessions.end())
    end(Found->second.m_Id, Now);
  refuse(Link, Received.m_Sequence, SessionError::Aborted,
         "the transaction is no longer open at its owner and was rolled back");
  return nullptr;
}

void ServedSessionController::start(LinkId Link,
                                    const ForwardedStatement &Received,
                                    Time Now) {
  auto Known = m_Served.find(Key{Link, Received.m_Session});
  if (Known != m_Served.end())
    end(Known->second, Now);
  std::optional<CallerSession> Served = makeServedSession(Received, Now);
  if (!Served)
    return refuse(Link, Received.m_Sequence, SessionError::Aborted,
                  "the forwarded statement is invalid");
  SessionId Id{kServedSessionBit | ++m_LastSession};
  Served->m_Id = Id;
  Served->m_Origin->m_Link = Link;
  m_Served[Key{Link, Received.m_Session}] = Id;
  m_Owners.onStatementServed(Received.m_Database, Now);
  auto Added = m_Sessions.emplace(Id.m_Value, std::move(*Served)).first;
  m_Executor.submit(Added->second, Now);
}

void ServedSessionController::onEnded(LinkId Link,
                                      const ForwardedSessionEnd &Ended,
                                      Time Now) {
  auto Known = m_Served.find(Key{Link, Ended.m_Session});
  if (Known != m_Served.end())
    end(Known->second, Now);
}

void ServedSessionController::end(SessionId Id, Time Now) {
  auto Found = m_Sessions.find(Id.m_Value);
  if (Found == m_Sessions.end())
    return;
  CallerSession &Session = Found->second;
  m_Served.erase(Key{Session.m_Origin->m_Link, Session.m_Origin->m_Session});
  if (Session.m_Pending)
    m_Links.onRequestDone(Session.m_Origin->m_Link);
  if (!Session.m_Pending || !Session.m_Pending->m_Connection)
    m_Executor.rollBack(Session, Now);
  m_Sessions.erase(Found);
}

void ServedSessionController::onLinkAccepted(LinkId Link,
                                             bool AcceptsStatements) {
  m_AcceptedLinks.insert(Link);
  m_Actions.push_back(SendMessage{Link, OwnerStatus{AcceptsStatements}});
}

void ServedSessionController::onLinkLost(LinkId Link, Time Now) {
  m_AcceptedLinks.erase(Link);
  std::vector<SessionId> Lost;
  for (auto Entry = m_Served.lower_bound(Key{Link, 0});
       Entry != m_Served.end() && Entry->first.first == Link; ++Entry)
    Lost.push_back(Entry->second);
  for (SessionId Id : Lost)
    end(Id, Now);
}

void ServedSessionController::setAvailability(bool AcceptsStatements) {
  if (AcceptsStatements == m_AcceptsStatements)
    return;
  m_AcceptsStatements = AcceptsStatements;
  for (LinkId Link : m_AcceptedLinks)
    m_Actions.push_back(SendMessage{Link, OwnerStatus{AcceptsStatements}});
}

void ServedSessionController::complete(
    CallerSession &Session,
    const StatementExecutor::CompletedStatement &Completed, Time Now) {
  ForwardedStatementReply Reply =
      makeForwardedReply(Session, Completed.m_Reply);
  Reply.m_IsUnreachable = Completed.m_IsUnreachable;
  LinkId Link = Session.m_Origin->m_Link;
  SessionId Id = Session.m_Id;
  Session.m_Pending.reset();
  Session.m_LastActivityAt = Now;
  m_Links.onRequestDone(Link);
  m_Actions.push_back(SendMessage{Link, std::move(Reply)});
  if (Session.m_State == TransactionState::Open &&
      Completed.m_Reply.m_State == TransactionState::Open)
    return;
  end(Id, Now);
}

void ServedSessionController::refuse(LinkId Link, uint64_t Sequence,
                                     SessionError Error,
                                     const std::string &Text,
                                     bool IsUnreachable) {
  ++m_RefusedCount;
  m_Links.onRequestDone(Link);
  ForwardedStatementReply Reply;
  Reply.m_Sequence = Sequence;
  Reply.m_Error = static_cast<uint8_t>(Error);
  Reply.m_ErrorText = Text;
  Reply.m_IsUnreachable = IsUnreachable;
  Reply.m_State = static_cast<uint8_t>(TransactionState::Failed);
  m_Actions.push_back(SendMessage{Link, std::move(Reply)});
}

CounterList ServedSessionController::counters() const {
  return {{"almondpier_statements_served_total",
           "Statements that other hosts forwarded to this one",
           static_cast<double>(m_StatementCount)},
          {"almondpier_statements_served_refused_total",
           "Forwarded statements refused without running",
           static_cast<double>(m_RefusedCount)},
          {"almondpier_served_sessions",
           "Sessions of other hosts with a statement or transaction here",
           static_cast<double>(m_Served.size())}};
}

} // namespace almondpier
