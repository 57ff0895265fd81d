#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session: a session reads its own write while replicas lag") {
  SessionHost Host;
  SessionId Id = Host.open("own");
  REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  StatementReply Reply = Host.ask(Id, SessionHost::read());
  REQUIRE(!Reply.m_Error);
  // Only the primary holds the write.
  CHECK(*Reply.m_Position == Host.member(0).m_Held);
}

TEST_CASE("session: reads that may be old use replicas that lag within the "
          "bound") {
  // Guards against asking replicas for the newest position: a lag of half a
  // second then sent every read to the primary.
  SessionHost Host;
  SessionId Writer = Host.open("main");
  SessionId Reader = Host.open("aged");
  for (int Step = 0; Step < 20; ++Step) {
    REQUIRE(!Host.ask(Writer, SessionHost::write()).m_Error);
    Position Now = Host.member(0).m_Held;
    Position Lagging{Now.m_Term, Now.m_Index - std::min(Step, 4)};
    Host.member(1).m_Held = Lagging;
    Host.member(2).m_Held = Lagging;
    Host.run(milliseconds(90));
  }
  size_t Before = Host.countOf(0, StatementKind::Read);
  for (int Step = 0; Step < 20; ++Step)
    REQUIRE(!Host.ask(Reader, SessionHost::read()).m_Error);
  CHECK(Host.countOf(0, StatementKind::Read) == Before);
}

TEST_CASE("session: a read is never answered from a log older than its bound") {
  SessionHost Host;
  SessionId Writer = Host.open("main");
  SessionId Reader = Host.open("aged");
  REQUIRE(!Host.ask(Writer, SessionHost::write()).m_Error);
  Position Acknowledged = Host.member(0).m_Held;
  Host.run(milliseconds(1'600));
  StatementReply Reply = Host.ask(Reader, SessionHost::read());
  REQUIRE(!Reply.m_Error);
  CHECK(*Reply.m_Position >= Acknowledged);
}

TEST_CASE("session: a read through the primary is refused by a former primary "
          "and runs at the new one") {
  SessionHost Host;
  SessionId Id = Host.open("main");
  REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  Host.member(0).m_IsPrimary = false;
  Host.member(1).m_IsPrimary = true;
  Host.member(1).m_Held = {4, 200};
  Host.member(1).m_Description.m_IsPrimary = true;
  size_t Before = Host.countOf(0, StatementKind::Read);
  SessionId Reader = Host.open("main");
  Host.send(Reader, SessionHost::read());
  Host.run(milliseconds(50));
  Host.member(0).m_Description.m_IsPrimary = false;
  Host.publish();
  Host.run(milliseconds(600));
  REQUIRE(Host.m_Answers[Reader].size() == 1);
  CHECK(!Host.m_Answers[Reader].back().m_Error);
  CHECK(Host.countOf(0, StatementKind::Read) == Before);
  CHECK(Host.countOf(1, StatementKind::Read) == 1);
}

TEST_CASE("session: after a change of primary a position that was rolled back "
          "is not required for ever") {
  SessionHost Host;
  SessionId Id = Host.open("own");
  for (int Step = 0; Step < 5; ++Step)
    REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  Host.member(0).m_IsDark = true;
  Host.member(0).m_Description.m_IsPrimary = false;
  Host.member(1).m_IsPrimary = true;
  Host.member(1).m_Held = {4, 101};
  Host.member(2).m_Held = {4, 101};
  Host.member(1).m_Description.m_IsPrimary = true;
  Host.publish();
  Host.run(milliseconds(3'000));
  CHECK(!Host.ask(Id, SessionHost::write()).m_Error);
  CHECK(!Host.ask(Id, SessionHost::read()).m_Error);
}

TEST_CASE("session: a write whose answer is lost is unknown and is never sent "
          "twice") {
  SessionHost Host;
  SessionId Id = Host.open("main");
  Host.member(0).m_LosesAnswers = true;
  StatementReply Reply = Host.ask(Id, SessionHost::write());
  CHECK(Reply.m_Error == SessionError::OutcomeUnknown);
  CHECK(Host.countOf(0, StatementKind::Write) == 1);
  CHECK(Host.countOf(1, StatementKind::Write) == 0);
}

TEST_CASE("session: a commit whose answer is lost is unknown; one of nothing "
          "is aborted") {
  SessionHost Host;
  SessionId Writer = Host.open("main");
  SessionId Reader = Host.open("main");
  for (SessionId Id : {Writer, Reader})
    REQUIRE(!Host.ask(Id, SessionHost::begin()).m_Error);
  REQUIRE(!Host.ask(Writer, SessionHost::write()).m_Error);
  REQUIRE(!Host.ask(Reader, SessionHost::read()).m_Error);
  Host.member(0).m_LosesAnswers = true;
  CHECK(Host.ask(Writer, SessionHost::commit()).m_Error ==
        SessionError::OutcomeUnknown);
  CHECK(Host.ask(Reader, SessionHost::commit()).m_Error ==
        SessionError::Aborted);
}
