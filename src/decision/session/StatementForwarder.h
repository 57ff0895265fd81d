/// \file
/// Conversion between the statements of sessions and the messages that travel
/// between an entry host and the owner of a group.
#pragma once

#include "decision/session/Session.h"

namespace almondpier {

/// Sends the statements of this host's sessions to the owners of their groups.
/// Each statement in flight is completed once: by a reply, by the loss of its
/// link, or by cancel().
class StatementForwarder {
public:
  StatementForwarder(LinkTable &Links, ProxyActions &Actions)
      : m_Links(Links), m_Actions(Actions) {}

  /// Returns whether the pending statement fits in a message.
  static bool canForward(const CallerSession &Session);
  /// Sends the pending statement, and sets its m_Forward.
  void send(CallerSession &Session, LinkId Link, const HostName &Host,
            Time Now);
  /// Ends the transaction or the pending statement of the session at an owner.
  void end(const CallerSession &Session, const ForwardTarget &Target);
  /// Removes a statement in flight; its reply will be ignored.
  void cancel(const ForwardTarget &Target);
  /// Returns the session whose statement the reply completes; nothing when
  /// the statement was cancelled.
  std::optional<SessionId> take(LinkId Link, uint64_t Sequence);
  /// Returns the sessions whose statements were in flight on a lost link.
  std::vector<SessionId> takeLost(LinkId Link);
  size_t inFlight() const { return m_InFlight.size(); }
  uint64_t sentCount() const { return m_LastSequence; }

private:
  struct InFlight {
    LinkId m_Link;
    SessionId m_Session;
  };

  LinkTable &m_Links;
  ProxyActions &m_Actions;
  std::map<uint64_t, InFlight> m_InFlight;
  uint64_t m_LastSequence = 0;
};

/// Returns the session that executes a forwarded statement at its owner, with
/// the statement pending. Returns nothing when the message is invalid.
std::optional<CallerSession> makeServedSession(const ForwardedStatement &From,
                                               Time Now);
/// Sets the next statement of a session that is open at its owner. Returns
/// false when the message is invalid.
bool setServedStatement(CallerSession &Session, const ForwardedStatement &From,
                        Time Now);
ForwardedStatementReply makeForwardedReply(const CallerSession &Session,
                                           const StatementReply &Reply);
/// Returns nothing when the message is invalid.
std::optional<StatementReply>
parseForwardedReply(const ForwardedStatementReply &From);

} // namespace almondpier
