#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session: a session reads its own write while replicas lag") {
  SessionHarness Harness;
  SessionId Id = Harness.open("read-your-writes");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  StatementReply Reply = Harness.sendAndWait(Id, SessionHarness::read());
  REQUIRE(!Reply.m_Error);
  // Only the primary has the write in its log.
  CHECK(*Reply.m_Position == Harness.instance(0).m_Position);
}

TEST_CASE("session: bounded-staleness reads use replicas that lag within "
          "the bound") {
  // Guards against requiring the newest position from replicas: with a lag of
  // half a second every read then went to the primary.
  SessionHarness Harness;
  SessionId Writer = Harness.open("primary");
  SessionId Reader = Harness.open("bounded-staleness");
  for (int Step = 0; Step < 20; ++Step) {
    REQUIRE(!Harness.sendAndWait(Writer, SessionHarness::write()).m_Error);
    Position Now = Harness.instance(0).m_Position;
    Position Lagging{Now.m_Term, Now.m_Index - std::min(Step, 4)};
    Harness.instance(1).m_Position = Lagging;
    Harness.instance(2).m_Position = Lagging;
    Harness.run(milliseconds(90));
  }
  size_t Before = Harness.receivedCount(0, StatementKind::Read);
  for (int Step = 0; Step < 20; ++Step)
    REQUIRE(!Harness.sendAndWait(Reader, SessionHarness::read()).m_Error);
  CHECK(Harness.receivedCount(0, StatementKind::Read) == Before);
}

TEST_CASE("session: a bounded-staleness read never returns data older than "
          "its bound") {
  SessionHarness Harness;
  SessionId Writer = Harness.open("primary");
  SessionId Reader = Harness.open("bounded-staleness");
  REQUIRE(!Harness.sendAndWait(Writer, SessionHarness::write()).m_Error);
  Position Acknowledged = Harness.instance(0).m_Position;
  Harness.run(milliseconds(1'600));
  StatementReply Reply = Harness.sendAndWait(Reader, SessionHarness::read());
  REQUIRE(!Reply.m_Error);
  CHECK(*Reply.m_Position >= Acknowledged);
}

TEST_CASE("session: a read from the primary is rejected by a former primary "
          "and runs at the new one") {
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.instance(0).m_IsPrimary = false;
  Harness.instance(1).m_IsPrimary = true;
  Harness.instance(1).m_Position = {4, 200};
  Harness.instance(1).m_Description.m_IsPrimary = true;
  size_t Before = Harness.receivedCount(0, StatementKind::Read);
  SessionId Reader = Harness.open("primary");
  Harness.send(Reader, SessionHarness::read());
  Harness.run(milliseconds(50));
  Harness.instance(0).m_Description.m_IsPrimary = false;
  Harness.publishDirectory();
  Harness.run(milliseconds(600));
  REQUIRE(Harness.m_Replies[Reader].size() == 1);
  CHECK(!Harness.m_Replies[Reader].back().m_Error);
  CHECK(Harness.receivedCount(0, StatementKind::Read) == Before);
  CHECK(Harness.receivedCount(1, StatementKind::Read) == 1);
}

TEST_CASE("session: a position that a change of primary rolled back is not "
          "required indefinitely") {
  SessionHarness Harness;
  SessionId Id = Harness.open("read-your-writes");
  for (int Step = 0; Step < 5; ++Step)
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.instance(0).m_IsUnreachable = true;
  Harness.instance(0).m_Description.m_IsPrimary = false;
  Harness.instance(1).m_IsPrimary = true;
  Harness.instance(1).m_Position = {4, 101};
  Harness.instance(2).m_Position = {4, 101};
  Harness.instance(1).m_Description.m_IsPrimary = true;
  Harness.publishDirectory();
  Harness.run(milliseconds(3'000));
  CHECK(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  CHECK(!Harness.sendAndWait(Id, SessionHarness::read()).m_Error);
}

TEST_CASE("session: a write whose reply is lost has an unknown outcome and "
          "is never sent again") {
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  Harness.instance(0).m_DropsReplies = true;
  StatementReply Reply = Harness.sendAndWait(Id, SessionHarness::write());
  CHECK(Reply.m_Error == SessionError::OutcomeUnknown);
  CHECK(Harness.receivedCount(0, StatementKind::Write) == 1);
  CHECK(Harness.receivedCount(1, StatementKind::Write) == 0);
}

TEST_CASE("session: a commit whose reply is lost has an unknown outcome, or "
          "is aborted when nothing was written") {
  SessionHarness Harness;
  SessionId Writer = Harness.open("primary");
  SessionId Reader = Harness.open("primary");
  for (SessionId Id : {Writer, Reader})
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Writer, SessionHarness::write()).m_Error);
  REQUIRE(!Harness.sendAndWait(Reader, SessionHarness::read()).m_Error);
  Harness.instance(0).m_DropsReplies = true;
  CHECK(Harness.sendAndWait(Writer, SessionHarness::commit()).m_Error ==
        SessionError::OutcomeUnknown);
  CHECK(Harness.sendAndWait(Reader, SessionHarness::commit()).m_Error ==
        SessionError::Aborted);
}
