#include "session/SessionHarness.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session: statements of two transactions never share a connection") {
  SessionHarness Harness;
  SessionId One = Harness.open("primary");
  SessionId Two = Harness.open("primary");
  for (SessionId Id : {One, Two})
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  Harness.send(One, SessionHarness::write());
  Harness.send(Two, SessionHarness::write());
  Harness.run(milliseconds(100));
  CHECK(Harness.connectionCount(0) == 2);
  CHECK(!Harness.sendAndWait(One, SessionHarness::commit()).m_Error);
  CHECK(!Harness.sendAndWait(Two, SessionHarness::rollback()).m_Error);
  CHECK(Harness.instance(0).m_Position.m_Index == 101);
}

TEST_CASE("session: a connection serves one organisation only") {
  SessionHarness Harness(1, 2);
  std::map<ConnectionId, std::set<std::string>> Seen;
  SessionId Ann = Harness.open("primary", "key-a");
  SessionId Bob = Harness.open("primary", "key-b");
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Connection,
                        const Statement &Sent) {
    bool IsAnns = Sent.m_RequestId == "r1" || Sent.m_RequestId == "r3";
    CHECK(Connection.m_Organisation.m_Value == (IsAnns ? "ann" : "bob"));
  };
  for (int Step = 0; Step < 2; ++Step) {
    CHECK(!Harness.sendAndWait(Ann, SessionHarness::write()).m_Error);
    CHECK(!Harness.sendAndWait(Bob, SessionHarness::write()).m_Error);
  }
  // This host may hold a single connection, so each change of organisation
  // replaces it.
  CHECK(Harness.m_OpenedConnections >= 3);
  CHECK(Harness.connectionCount(0) == 1);
}

TEST_CASE("session: variables follow the session and not the connection") {
  SessionHarness Harness(1, 2);
  SessionId One = Harness.open("primary");
  SessionId Two = Harness.open("primary");
  std::vector<std::map<std::string, std::string>> Values;
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Connection,
                        const Statement & /*Sent*/) {
    Values.push_back(Connection.m_Variables);
  };
  REQUIRE(
      !Harness.sendAndWait(One, SessionHarness::set("zone", "utc")).m_Error);
  REQUIRE(!Harness.sendAndWait(One, SessionHarness::write()).m_Error);
  REQUIRE(!Harness.sendAndWait(Two, SessionHarness::write()).m_Error);
  REQUIRE(!Harness.sendAndWait(One, SessionHarness::write()).m_Error);
  REQUIRE(Values.size() == 3);
  CHECK(Values[0].at("zone") == "utc");
  CHECK(Values[1].empty());
  CHECK(Values[2].at("zone") == "utc");
}

TEST_CASE("session: prepared statements with equal names in two sessions do "
          "not collide") {
  SessionHarness Harness(1, 2);
  SessionId One = Harness.open("primary");
  SessionId Two = Harness.open("primary");
  REQUIRE(
      !Harness.sendAndWait(One, SessionHarness::prepare("s1", "q1")).m_Error);
  REQUIRE(
      !Harness.sendAndWait(Two, SessionHarness::prepare("s1", "q2")).m_Error);
  std::vector<std::string> Names;
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection & /*Connection*/,
                        const Statement &Sent) {
    Names.push_back(Sent.m_Name);
  };
  REQUIRE(!Harness.sendAndWait(One, SessionHarness::execute("s1")).m_Error);
  REQUIRE(!Harness.sendAndWait(Two, SessionHarness::execute("s1")).m_Error);
  REQUIRE(Names.size() == 2);
  CHECK(Names[0] != Names[1]);
  CHECK(Harness.sendAndWait(One, SessionHarness::execute("s2")).m_Error ==
        SessionError::UnknownStatement);
}

TEST_CASE("session: an idle transaction is rolled back and its connection "
          "is reused") {
  SessionHarness Harness(1, 2);
  SessionId Idle = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Idle, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Idle, SessionHarness::write()).m_Error);
  Harness.run(milliseconds(3'200));
  SessionId Other = Harness.open("primary");
  CHECK(!Harness.sendAndWait(Other, SessionHarness::write()).m_Error);
  CHECK(Harness.instance(0).m_Position.m_Index == 101);
  CHECK(Harness.sendAndWait(Idle, SessionHarness::read()).m_Error ==
        SessionError::Malformed);
  StatementReply End = Harness.sendAndWait(Idle, SessionHarness::commit());
  CHECK(End.m_Error == SessionError::Aborted);
  CHECK(End.m_State == TransactionState::None);
}

TEST_CASE("session: the transaction of a caller that disconnects is rolled "
          "back") {
  SessionHarness Harness(1, 2);
  SessionId Gone = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::write()).m_Error);
  Harness.close(Gone);
  Harness.run(milliseconds(50));
  CHECK(Harness.receivedCount(0, StatementKind::Rollback) == 1);
  SessionId Other = Harness.open("primary");
  CHECK(!Harness.sendAndWait(Other, SessionHarness::write()).m_Error);
  CHECK(Harness.instance(0).m_Position.m_Index == 101);
}

TEST_CASE("session: a COMMIT that is rejected after its caller left leaves no "
          "open transaction to other callers") {
  // Guards against taking any reply to COMMIT for the end of the transaction:
  // the writes of other callers would run inside it and be lost with it.
  SessionHarness Harness(1, 2);
  SessionId Gone = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::write()).m_Error);
  Harness.instance(0).m_ForcedError = SessionError::Busy;
  Harness.send(Gone, SessionHarness::commit());
  Harness.close(Gone);
  Harness.run(milliseconds(50));
  CHECK(Harness.receivedCount(0, StatementKind::Commit) == 1);
  CHECK(Harness.receivedCount(0, StatementKind::Rollback) == 1);
  Harness.instance(0).m_ForcedError.reset();
  size_t InForeignTransaction = 0;
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Used,
                        const Statement &Run) {
    if (Run.m_Kind == StatementKind::Write &&
        Used.m_State != TransactionState::None)
      ++InForeignTransaction;
  };
  SessionId Other = Harness.open("primary");
  for (int Count = 0; Count < 5; ++Count)
    CHECK(!Harness.sendAndWait(Other, SessionHarness::write()).m_Error);
  CHECK(InForeignTransaction == 0);
  CHECK(Harness.instance(0).m_Position.m_Index == 105);
}

TEST_CASE("session: a variable that an instance rejects after its caller left "
          "is not taken for set") {
  // Guards against recording a variable whatever the instance replied: the
  // next statement on the connection would run without it.
  SessionHarness Harness(1, 2);
  SessionId Gone = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::write()).m_Error);
  REQUIRE(!Harness.sendAndWait(Gone, SessionHarness::set("tz", "a")).m_Error);
  Harness.instance(0).m_ForcedError = SessionError::Failed;
  Harness.send(Gone, SessionHarness::write());
  Harness.close(Gone);
  Harness.run(milliseconds(50));
  REQUIRE(Harness.receivedCount(0, StatementKind::SetVariable) == 1);
  Harness.instance(0).m_ForcedError.reset();
  std::map<std::string, std::string> SeenVariables;
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Used,
                        const Statement & /*Run*/) {
    SeenVariables = Used.m_Variables;
  };
  SessionId Other = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Other, SessionHarness::set("tz", "a")).m_Error);
  CHECK(!Harness.sendAndWait(Other, SessionHarness::write()).m_Error);
  CHECK(SeenVariables.count("tz") == 1);
}

TEST_CASE("session: after the revocation of its key a session can only end "
          "its transaction") {
  // Guards against closing the session when its key is rejected: the caller
  // could then not end its transaction.
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_Keys.erase(OrganisationName{"ann"});
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  StatementReply Refused = Harness.sendAndWait(Id, SessionHarness::write());
  CHECK(Refused.m_Error == SessionError::UnknownKey);
  CHECK(Refused.m_State == TransactionState::Failed);
  CHECK(!Harness.m_Closed.contains(Id));
  StatementReply End = Harness.sendAndWait(Id, SessionHarness::rollback());
  CHECK(!End.m_Error);
  CHECK(End.m_State == TransactionState::None);
  CHECK(Harness.sendAndWait(Id, SessionHarness::read()).m_Error ==
        SessionError::UnknownKey);
  CHECK(Harness.receivedCount(0, StatementKind::Write) == 1);
}

TEST_CASE("session: a transaction ends when its key is withdrawn together "
          "with its route") {
  // Guards against checking the key only where the route is kept: the caller
  // would go on reading and writing inside its transaction.
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_Keys.erase(OrganisationName{"ann"});
  Harness.m_RemovedRoutes = {RouteName{"primary"}};
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  StatementReply Refused = Harness.sendAndWait(Id, SessionHarness::write());
  CHECK(Refused.m_Error == SessionError::UnknownKey);
  CHECK(Refused.m_State == TransactionState::Failed);
  CHECK(Harness.sendAndWait(Id, SessionHarness::commit()).m_Error ==
        SessionError::Aborted);
  CHECK(Harness.receivedCount(0, StatementKind::Write) == 1);
  CHECK(Harness.receivedCount(0, StatementKind::Commit) == 0);
}

TEST_CASE("session: a transaction ends when its key is moved to another "
          "organisation and its route is removed") {
  // Guards against running statements for an organisation that no longer holds
  // the caller's key.
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_Keys.erase(OrganisationName{"ann"});
  Harness.m_Keys[OrganisationName{"bob"}] = "key-a";
  Harness.m_RemovedRoutes = {RouteName{"primary"}};
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  CHECK(Harness.sendAndWait(Id, SessionHarness::commit()).m_Error ==
        SessionError::UnknownKey);
  CHECK(Harness.receivedCount(0, StatementKind::Commit) == 0);
}

TEST_CASE("session: a transaction on a route that admits callers without a "
          "key ends when its key is withdrawn") {
  // Guards against taking a withdrawn key for no key at all: the transaction
  // would go on under the name of the key's organisation.
  SessionHarness Harness;
  Harness.m_AllowsAnonymous = true;
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_Keys.erase(OrganisationName{"ann"});
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  CHECK(Harness.sendAndWait(Id, SessionHarness::write()).m_Error ==
        SessionError::UnknownKey);
  CHECK(Harness.receivedCount(0, StatementKind::Write) == 1);
}

TEST_CASE("session: a transaction keeps a route that is removed or no longer "
          "admits callers without a key") {
  // Guards against ending a transaction by a change of its route, which takes
  // effect with the next transaction.
  SessionHarness Harness;
  Harness.m_AllowsAnonymous = true;
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  SessionId Known = Harness.open("primary");
  SessionId Unknown = Harness.open("primary", "key-of-nobody");
  for (SessionId Id : {Known, Unknown}) {
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  }
  Harness.m_AllowsAnonymous = false;
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  for (SessionId Id : {Known, Unknown})
    CHECK(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_RemovedRoutes = {RouteName{"primary"}};
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  for (SessionId Id : {Known, Unknown})
    CHECK(!Harness.sendAndWait(Id, SessionHarness::commit()).m_Error);
  CHECK(Harness.sendAndWait(Known, SessionHarness::read()).m_Error ==
        SessionError::UnknownDatabase);
}

TEST_CASE("session: a shutdown keeps idle sessions until load balancers "
          "stop sending, and open transactions for half of the grace period") {
  SessionHarness Harness;
  SessionId Idle = Harness.open("primary");
  SessionId Busy = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Busy, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Busy, SessionHarness::write()).m_Error);
  Harness.handle(ShutdownRequested());
  CHECK(!Harness.m_Core->isReady(Harness.m_Now));
  Harness.run(milliseconds(2'000));
  CHECK(!Harness.m_Closed.contains(Idle));
  Harness.run(milliseconds(500));
  CHECK(Harness.m_Closed.contains(Idle));
  CHECK(!Harness.m_Closed.contains(Busy));
  CHECK(!Harness.sendAndWait(Busy, SessionHarness::commit()).m_Error);
  Harness.run(milliseconds(1'000));
  CHECK(Harness.m_Closed.contains(Busy));
  CHECK(Harness.m_IsShutDown);
}

// UNASKED: the shape "q2a READ ctqkiau" made the name "r_q2a READ ctqkiau", so
// that an instance ran r_q2a with an item that nobody had sent.
TEST_CASE("session: the shape of a prepared statement does not become part of "
          "its name at instances") {
  std::set<std::string> Names;
  for (const char *Shape :
       {"q2a READ ctqkiau", "q2a", " ", "q\nx", "p1", "q 2", "q  2"}) {
    SessionHarness Harness;
    SessionId Id = Harness.open("primary");
    REQUIRE(
        !Harness.sendAndWait(Id, SessionHarness::prepare("s4", Shape)).m_Error);
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::execute("s4")).m_Error);
    std::string Prepared;
    for (const Statement &Received : Harness.instance(0).m_Received) {
      if (Received.m_Kind != StatementKind::Prepare &&
          Received.m_Kind != StatementKind::Execute)
        continue;
      INFO("shape '" << Shape << "', name '" << Received.m_Name << "'");
      CHECK(std::all_of(Received.m_Name.begin(), Received.m_Name.end(),
                        [](char Character) {
                          return (Character >= 'a' && Character <= 'z') ||
                                 (Character >= '0' && Character <= '9');
                        }));
      if (Received.m_Kind == StatementKind::Prepare) {
        CHECK(Received.m_Argument == Shape);
        Prepared = Received.m_Name;
      } else {
        CHECK(Received.m_Name == Prepared);
      }
    }
    CHECK_FALSE(Prepared.empty());
  }
}
