#include "decision/session/StatementForwarder.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// Largest sum of variable fields in a message between hosts; leaves room for
/// the other fields.
constexpr size_t kMaxForwardedBytes = kMaxMessageBytes / 2;
/// Bytes that encode the length of a field.
constexpr size_t kLengthBytes = sizeof(uint32_t);
/// The owner replies this long before the deadline of the caller, so that the
/// reply arrives in time. Exceeds the interval at which deadlines are checked.
constexpr Duration kReplyTransitTime = milliseconds(60);

uint32_t toMilliseconds(Duration Value) {
  return static_cast<uint32_t>(
      std::max<int64_t>(0, Value / Duration(milliseconds(1))));
}

bool isForwardable(uint8_t Kind) {
  switch (static_cast<StatementKind>(Kind)) {
  case StatementKind::Read:
  case StatementKind::Write:
  case StatementKind::Execute:
  case StatementKind::Commit:
    return true;
  default:
    return false;
  }
}

} // namespace

// Entry host.

bool StatementForwarder::canForward(const CallerSession &Session) {
  const Statement &Sent = Session.m_Pending->m_Received.m_Statement;
  const Statement &Begin = Session.m_BeginStatement;
  size_t Bytes = Sent.m_RequestId.size() + Sent.m_Name.size() +
                 Sent.m_Argument.size() + Begin.m_RequestId.size() +
                 Begin.m_Text.size();
  if (Sent.m_Kind == StatementKind::Execute)
    Bytes += Session.m_Prepared.at(Sent.m_Name).m_Template.size();
  else
    Bytes += Sent.m_Text.size();
  for (const auto &[Name, Value] : Session.m_Variables)
    Bytes += Name.size() + Value.size() + 2 * kLengthBytes;
  return Bytes <= kMaxForwardedBytes;
}

void StatementForwarder::send(CallerSession &Session, LinkId Link,
                              const HostName &Host, Time Now) {
  PendingStatement &Pending = *Session.m_Pending;
  const Statement &Sent = Pending.m_Received.m_Statement;
  ForwardedStatement Message;
  Message.m_Sequence = ++m_LastSequence;
  Message.m_Session = Session.m_Id.m_Value;
  Message.m_Database = Session.m_Policy.m_Database;
  Message.m_Organisation = Session.m_Organisation;
  Message.m_RequestId = Sent.m_RequestId;
  Message.m_Kind = static_cast<uint8_t>(Sent.m_Kind);
  Message.m_IsWrite = Sent.m_IsWrite;
  Message.m_Name = Sent.m_Name;
  Message.m_Argument = Sent.m_Argument;
  if (Sent.m_Kind == StatementKind::Execute)
    Message.m_Template = Session.m_Prepared.at(Sent.m_Name).m_Template;
  else
    Message.m_Text = Sent.m_Text;
  Message.m_Target = static_cast<uint8_t>(Pending.m_Target);
  Message.m_MaxReadAgeMs = Session.m_Policy.m_MaxReadAgeMs;
  Message.m_LastCommit = Session.m_LastCommit;
  Message.m_IsTransaction = Session.m_State != TransactionState::None;
  Message.m_IsReadOnly = Session.m_IsReadOnly;
  Message.m_IsContinued = Session.m_TransactionOwner.has_value();
  Message.m_AgeMs = toMilliseconds(
      Now - (Message.m_IsTransaction ? Session.m_TransactionStartedAt
                                     : Pending.m_Received.m_ReceivedAt));
  Message.m_TimeLeftMs =
      toMilliseconds(Pending.m_Deadline - Now - kReplyTransitTime);
  Message.m_TimeoutMs = Session.m_Policy.m_StatementTimeoutMs;
  if (Message.m_IsTransaction && !Message.m_IsContinued) {
    Message.m_BeginRequestId = Session.m_BeginStatement.m_RequestId;
    Message.m_BeginText = Session.m_BeginStatement.m_Text;
  }
  Message.m_Variables = Session.m_Variables;
  Pending.m_Forward = ForwardTarget{Link, Host, Message.m_Sequence};
  m_InFlight[Message.m_Sequence] = InFlight{Link, Session.m_Id};
  m_Links.onRequestStarted(Link, Now);
  m_Actions.push_back(SendMessage{Link, std::move(Message)});
}

void StatementForwarder::end(const CallerSession &Session,
                             const ForwardTarget &Target) {
  if (m_Links.isOpen(Target.m_Link))
    m_Actions.push_back(
        SendMessage{Target.m_Link, ForwardedSessionEnd{Session.m_Id.m_Value}});
}

void StatementForwarder::cancel(const ForwardTarget &Target) {
  if (m_InFlight.erase(Target.m_Sequence) != 0)
    m_Links.onRequestDone(Target.m_Link);
}

std::optional<SessionId> StatementForwarder::take(LinkId Link,
                                                  uint64_t Sequence) {
  auto Found = m_InFlight.find(Sequence);
  if (Found == m_InFlight.end() || Found->second.m_Link != Link)
    return std::nullopt;
  SessionId Session = Found->second.m_Session;
  m_InFlight.erase(Found);
  m_Links.onRequestDone(Link);
  return Session;
}

std::vector<SessionId> StatementForwarder::takeLost(LinkId Link) {
  std::vector<SessionId> Lost;
  for (auto Entry = m_InFlight.begin(); Entry != m_InFlight.end();) {
    if (Entry->second.m_Link != Link) {
      ++Entry;
      continue;
    }
    Lost.push_back(Entry->second.m_Session);
    Entry = m_InFlight.erase(Entry);
  }
  return Lost;
}

// Owner.

bool setServedStatement(CallerSession &Session, const ForwardedStatement &From,
                        Time Now) {
  if (!isForwardable(From.m_Kind) ||
      From.m_Target > static_cast<uint8_t>(StatementTarget::CaughtUp))
    return false;
  Statement Received;
  Received.m_RequestId = From.m_RequestId;
  Received.m_Kind = static_cast<StatementKind>(From.m_Kind);
  Received.m_Name = From.m_Name;
  Received.m_Argument = From.m_Argument;
  Received.m_IsWrite = From.m_IsWrite;
  Received.m_Text = From.m_Text;
  if (Received.m_Kind == StatementKind::Execute)
    Session.m_Prepared[From.m_Name] =
        PreparedStatement{From.m_IsWrite, From.m_Template};
  Session.m_Variables = From.m_Variables;
  Session.m_LastRequestId = From.m_RequestId;
  Session.m_LastActivityAt = Now;
  Session.m_LastCommit = std::max(Session.m_LastCommit, From.m_LastCommit);
  Session.m_Origin->m_Sequence = From.m_Sequence;
  PendingStatement Pending;
  Pending.m_Received = ReceivedStatement{
      std::move(Received),
      From.m_IsTransaction ? Now : Now - milliseconds(From.m_AgeMs)};
  Pending.m_Deadline = Now + milliseconds(From.m_TimeLeftMs);
  Pending.m_Target = static_cast<StatementTarget>(From.m_Target);
  Pending.m_IsAutocommit = !From.m_IsTransaction;
  Session.m_Pending = std::move(Pending);
  return true;
}

std::optional<CallerSession> makeServedSession(const ForwardedStatement &From,
                                               Time Now) {
  CallerSession Served;
  Served.m_Organisation = From.m_Organisation;
  Served.m_Policy.m_Database = From.m_Database;
  Served.m_Policy.m_MaxReadAgeMs = From.m_MaxReadAgeMs;
  Served.m_Policy.m_StatementTimeoutMs = From.m_TimeoutMs;
  Served.m_Origin = ForwardOrigin{{}, From.m_Session, From.m_Sequence};
  if (From.m_IsTransaction) {
    Served.m_State = TransactionState::Open;
    Served.m_IsReadOnly = From.m_IsReadOnly;
    Served.m_TransactionStartedAt = Now - milliseconds(From.m_AgeMs);
    Served.m_BeginStatement.m_RequestId = From.m_BeginRequestId;
    Served.m_BeginStatement.m_Kind =
        From.m_IsReadOnly ? StatementKind::BeginReadOnly : StatementKind::Begin;
    Served.m_BeginStatement.m_Text = From.m_BeginText;
  }
  if (!setServedStatement(Served, From, Now))
    return std::nullopt;
  return Served;
}

ForwardedStatementReply makeForwardedReply(const CallerSession &Session,
                                           const StatementReply &Reply) {
  ForwardedStatementReply Result;
  Result.m_Sequence = Session.m_Origin->m_Sequence;
  Result.m_State = static_cast<uint8_t>(Reply.m_State);
  Result.m_Position = Reply.m_Position;
  Result.m_LastCommit = Session.m_LastCommit;
  if (Reply.m_Error) {
    Result.m_Error = static_cast<uint8_t>(*Reply.m_Error);
    Result.m_ErrorText = Reply.m_ErrorText.substr(0, kMaxForwardedBytes);
    return Result;
  }
  size_t Bytes = Reply.m_Receipt.size();
  for (const std::string &Row : Reply.m_Rows)
    Bytes += Row.size() + kLengthBytes;
  if (Bytes > kMaxForwardedBytes) {
    Result.m_Error = static_cast<uint8_t>(takesEffectWhenRun(Session)
                                              ? SessionError::OutcomeUnknown
                                              : SessionError::TooLarge);
    Result.m_ErrorText = "the result exceeds the size limit of a forwarded "
                         "reply";
    return Result;
  }
  Result.m_Rows = Reply.m_Rows;
  Result.m_Receipt = Reply.m_Receipt;
  return Result;
}

std::optional<StatementReply>
parseForwardedReply(const ForwardedStatementReply &From) {
  if (From.m_State > static_cast<uint8_t>(TransactionState::Failed) ||
      (From.m_Error &&
       *From.m_Error > static_cast<uint8_t>(SessionError::Other)))
    return std::nullopt;
  StatementReply Result;
  Result.m_Rows = From.m_Rows;
  Result.m_Receipt = From.m_Receipt;
  if (From.m_Error)
    Result.m_Error = static_cast<SessionError>(*From.m_Error);
  Result.m_ErrorText = From.m_ErrorText;
  Result.m_State = static_cast<TransactionState>(From.m_State);
  Result.m_Position = From.m_Position;
  return Result;
}

} // namespace almondpier
