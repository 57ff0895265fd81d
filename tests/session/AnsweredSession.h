/// \file
/// A session whose instance answers when the test says so.
#pragma once

#include "session/SessionHarness.h"

#include <doctest/doctest.h>

namespace almondpier::sessiontest {

/// A session whose only connection to the primary is answered by the test.
class Answered {
public:
  Answered() : m_Id(m_Harness.open("primary")) {
    // Enough statements for a few retries.
    for (int Step = 0; Step < 60; ++Step)
      REQUIRE(!m_Harness.sendAndWait(m_Id, SessionHarness::write()).m_Error);
    stopReplies();
  }

  void stopReplies() {
    primary().m_DropsReplies = true;
    m_Seen = primary().m_Received.size();
  }
  FakeInstance &primary() {
    return m_Harness.instance(SessionHarness::kPrimary);
  }
  std::optional<ConnectionId> connection() const {
    for (const auto &[Id, Open] : m_Harness.m_Connections)
      if (Open.m_Instance == SessionHarness::kPrimary)
        return Id;
    return std::nullopt;
  }
  StatementKind lastReceived() { return primary().m_Received.back().m_Kind; }
  /// Waits until the instance has received a statement of the kind after those
  /// that it had.
  void awaitSent(StatementKind Kind) {
    for (int Step = 0; Step < 400 && (primary().m_Received.size() == m_Seen ||
                                      lastReceived() != Kind);
         ++Step)
      m_Harness.run(milliseconds(1));
    REQUIRE(primary().m_Received.size() > m_Seen);
    REQUIRE(lastReceived() == Kind);
    m_Seen = primary().m_Received.size();
  }
  void answer(const StatementReply &Reply) {
    std::optional<ConnectionId> Id = connection();
    REQUIRE(Id);
    m_Harness.handle(InstanceReplied{*Id, Reply});
  }
  void complete(const std::string &Receipt = "") {
    StatementReply Reply;
    Reply.m_Receipt = Receipt;
    if (!Receipt.empty())
      Reply.m_Rows = {"row of " + Receipt};
    answer(Reply);
  }
  void reject(SessionError Error, const std::string &Text = "") {
    StatementReply Reply;
    Reply.m_Error = Error;
    Reply.m_ErrorText = Text;
    answer(Reply);
  }
  /// Lets the instance reject a write once as busy and run it then, so that
  /// the connection has had this rejection.
  void rejectOnce() {
    m_Harness.send(m_Id, SessionHarness::write());
    awaitSent(StatementKind::Write);
    reject(SessionError::Busy);
    awaitSent(StatementKind::Write);
    complete("after the rejection");
    REQUIRE(!replies().back().m_Error);
  }
  /// Waits until the proxy asks for the confirmation of a rejection.
  void awaitConfirmation() { awaitSent(StatementKind::BeginReadOnly); }
  /// Answers the statements that confirm a rejection.
  void confirm() {
    StatementReply Begun;
    Begun.m_State = TransactionState::Open;
    answer(Begun);
    awaitSent(StatementKind::Rollback);
    complete();
  }
  std::vector<StatementReply> &replies() { return m_Harness.m_Replies[m_Id]; }

  /// One connection for each instance.
  SessionHarness m_Harness{1, 2};
  SessionId m_Id;
  size_t m_Seen = 0;
};

} // namespace almondpier::sessiontest
