#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session: statements of two transactions never share a connection") {
  SessionHost Host;
  SessionId One = Host.open("main");
  SessionId Two = Host.open("main");
  for (SessionId Id : {One, Two})
    REQUIRE(!Host.ask(Id, SessionHost::begin()).m_Error);
  Host.send(One, SessionHost::write());
  Host.send(Two, SessionHost::write());
  Host.run(milliseconds(100));
  CHECK(Host.connectionsTo(0) == 2);
  CHECK(!Host.ask(One, SessionHost::commit()).m_Error);
  CHECK(!Host.ask(Two, SessionHost::rollback()).m_Error);
  CHECK(Host.member(0).m_Held.m_Index == 101);
}

TEST_CASE("session: a connection serves one organisation only") {
  SessionHost Host(1, 2);
  std::map<ConnectionId, std::set<std::string>> Seen;
  SessionId Ann = Host.open("main", "key-a");
  SessionId Bob = Host.open("main", "key-b");
  Host.m_OnRun = [&](const SessionHost::OpenConnection &Connection,
                     const Statement &Sent) {
    bool IsAnns = Sent.m_RequestId == "r1" || Sent.m_RequestId == "r3";
    CHECK(Connection.m_Organisation.m_Value == (IsAnns ? "ann" : "bob"));
  };
  for (int Step = 0; Step < 2; ++Step) {
    CHECK(!Host.ask(Ann, SessionHost::write()).m_Error);
    CHECK(!Host.ask(Bob, SessionHost::write()).m_Error);
  }
  // With a single connection for this host, each change of organisation opens
  // another one.
  CHECK(Host.m_OpenedConnections >= 3);
  CHECK(Host.connectionsTo(0) == 1);
}

TEST_CASE("session: values follow the session and not the connection") {
  SessionHost Host(1, 2);
  SessionId One = Host.open("main");
  SessionId Two = Host.open("main");
  std::vector<std::map<std::string, std::string>> Values;
  Host.m_OnRun = [&](const SessionHost::OpenConnection &Connection,
                     const Statement & /*Sent*/) {
    Values.push_back(Connection.m_Values);
  };
  REQUIRE(!Host.ask(One, SessionHost::set("zone", "utc")).m_Error);
  REQUIRE(!Host.ask(One, SessionHost::write()).m_Error);
  REQUIRE(!Host.ask(Two, SessionHost::write()).m_Error);
  REQUIRE(!Host.ask(One, SessionHost::write()).m_Error);
  REQUIRE(Values.size() == 3);
  CHECK(Values[0].at("zone") == "utc");
  CHECK(Values[1].empty());
  CHECK(Values[2].at("zone") == "utc");
}

TEST_CASE("session: equal prepared names of two sessions do not collide") {
  SessionHost Host(1, 2);
  SessionId One = Host.open("main");
  SessionId Two = Host.open("main");
  REQUIRE(!Host.ask(One, SessionHost::prepare("s1", "q1")).m_Error);
  REQUIRE(!Host.ask(Two, SessionHost::prepare("s1", "q2")).m_Error);
  std::vector<std::string> Names;
  Host.m_OnRun = [&](const SessionHost::OpenConnection & /*Connection*/,
                     const Statement &Sent) { Names.push_back(Sent.m_Name); };
  REQUIRE(!Host.ask(One, SessionHost::execute("s1")).m_Error);
  REQUIRE(!Host.ask(Two, SessionHost::execute("s1")).m_Error);
  REQUIRE(Names.size() == 2);
  CHECK(Names[0] != Names[1]);
  CHECK(Host.ask(One, SessionHost::execute("s2")).m_Error ==
        SessionError::UnknownStatement);
}

TEST_CASE("session: an idle transaction is rolled back and its connection "
          "used again") {
  SessionHost Host(1, 2);
  SessionId Idle = Host.open("main");
  REQUIRE(!Host.ask(Idle, SessionHost::begin()).m_Error);
  REQUIRE(!Host.ask(Idle, SessionHost::write()).m_Error);
  Host.run(milliseconds(3'200));
  SessionId Other = Host.open("main");
  CHECK(!Host.ask(Other, SessionHost::write()).m_Error);
  CHECK(Host.member(0).m_Held.m_Index == 101);
  CHECK(Host.ask(Idle, SessionHost::read()).m_Error == SessionError::Malformed);
  StatementReply End = Host.ask(Idle, SessionHost::commit());
  CHECK(End.m_Error == SessionError::Aborted);
  CHECK(End.m_State == TransactionState::None);
}

TEST_CASE("session: a caller that leaves inside a transaction keeps nothing") {
  SessionHost Host(1, 2);
  SessionId Gone = Host.open("main");
  REQUIRE(!Host.ask(Gone, SessionHost::begin()).m_Error);
  REQUIRE(!Host.ask(Gone, SessionHost::write()).m_Error);
  Host.leave(Gone);
  Host.run(milliseconds(50));
  CHECK(Host.countOf(0, StatementKind::Rollback) == 1);
  SessionId Other = Host.open("main");
  CHECK(!Host.ask(Other, SessionHost::write()).m_Error);
  CHECK(Host.member(0).m_Held.m_Index == 101);
}

TEST_CASE("session: a key revoked inside a transaction is refused and the "
          "session can end it") {
  // Guards against closing the session with the refusal, which left its caller
  // without an end of the transaction.
  SessionHost Host;
  SessionId Id = Host.open("main");
  REQUIRE(!Host.ask(Id, SessionHost::begin()).m_Error);
  REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  Host.m_Keys.erase(OrganisationName{"ann"});
  Host.install();
  Host.run(milliseconds(300));
  StatementReply Refused = Host.ask(Id, SessionHost::write());
  CHECK(Refused.m_Error == SessionError::UnknownKey);
  CHECK(Refused.m_State == TransactionState::Failed);
  CHECK(!Host.m_Closed.contains(Id));
  StatementReply End = Host.ask(Id, SessionHost::rollback());
  CHECK(!End.m_Error);
  CHECK(End.m_State == TransactionState::None);
  CHECK(Host.ask(Id, SessionHost::read()).m_Error == SessionError::UnknownKey);
  CHECK(Host.countOf(0, StatementKind::Write) == 1);
}

TEST_CASE("session: a shutdown ends idle sessions late and open transactions "
          "after half of the time") {
  SessionHost Host;
  SessionId Idle = Host.open("main");
  SessionId Busy = Host.open("main");
  REQUIRE(!Host.ask(Busy, SessionHost::begin()).m_Error);
  REQUIRE(!Host.ask(Busy, SessionHost::write()).m_Error);
  Host.handle(ShutdownRequested());
  CHECK(!Host.m_Core->isReady(Host.m_Now));
  Host.run(milliseconds(2'000));
  CHECK(!Host.m_Closed.contains(Idle));
  Host.run(milliseconds(500));
  CHECK(Host.m_Closed.contains(Idle));
  CHECK(!Host.m_Closed.contains(Busy));
  CHECK(!Host.ask(Busy, SessionHost::commit()).m_Error);
  Host.run(milliseconds(1'000));
  CHECK(Host.m_Closed.contains(Busy));
  CHECK(Host.m_IsShutDown);
}
