#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session load: while no leader lends tokens, a host admits its "
          "share of the rate") {
  // Steady load while the control hosts elect a leader. Without a local share
  // of the rate, every operation waited 2 s for a token and was rejected.
  constexpr size_t kHosts = 10;
  SessionHarness Harness(kHosts);
  SessionId Id = Harness.open("read-your-writes");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_Control.m_LendsTokens = false;
  Harness.m_Control.m_Tokens = 0;
  Harness.run(milliseconds(400));
  size_t Served = 0;
  size_t Sent = 0;
  std::vector<SessionId> Sessions;
  Sessions.reserve(40);
  for (int Count = 0; Count < 40; ++Count)
    Sessions.push_back(Harness.open("bounded-staleness"));
  Time Start = Harness.m_Now;
  while (Harness.m_Now - Start < milliseconds(2'000)) {
    Harness.send(Sessions[Sent % Sessions.size()], SessionHarness::read());
    ++Sent;
    Harness.run(milliseconds(5));
  }
  for (SessionId Session : Sessions)
    for (const StatementReply &Reply : Harness.m_Replies[Session])
      Served += Reply.m_Error ? 0 : 1;
  // The rate of 1,000/s is split between ten hosts, and four fifths of each
  // share are usable without a leader.
  CHECK(Served >= 100);
  CHECK(Served <= 260);
}

TEST_CASE("session load: an overloaded instance is not flooded with retries") {
  // All hosts return at the same time after a restart. Immediate retries of
  // rejected statements kept the instances overloaded indefinitely.
  SessionHarness Harness;
  for (size_t Index = 0; Index < 3; ++Index)
    Harness.instance(Index).m_ForcedError = SessionError::Busy;
  std::vector<SessionId> Sessions;
  Sessions.reserve(50);
  for (int Count = 0; Count < 50; ++Count)
    Sessions.push_back(Harness.open("primary"));
  size_t Sent = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (SessionId Id : Sessions) {
      Harness.send(Id, SessionHarness::write());
      ++Sent;
    }
    Harness.run(milliseconds(200));
  }
  size_t Attempts = Harness.receivedCount(0, StatementKind::Write);
  CHECK(Attempts < Sent / 3);
  // The instance is used again once it accepts statements.
  for (size_t Index = 0; Index < 3; ++Index)
    Harness.instance(Index).m_ForcedError.reset();
  Harness.run(milliseconds(1'200));
  SessionId Late = Harness.open("primary");
  CHECK(!Harness.sendAndWait(Late, SessionHarness::write()).m_Error);
}

TEST_CASE("session load: statements that find no instance are rejected "
          "early enough for a retry") {
  // The primary is unreachable and no successor is known yet.
  SessionHarness Harness;
  Harness.instance(0).m_IsUnreachable = true;
  SessionId Id = Harness.open("primary");
  Time Start = Harness.m_Now;
  StatementReply Reply = Harness.sendAndWait(Id, SessionHarness::write());
  REQUIRE(Reply.m_Error);
  CHECK(provesNotExecuted(*Reply.m_Error));
  CHECK(Harness.m_Now - Start <= milliseconds(1'050));
}

TEST_CASE("session load: a host that knows few live hosts opens only its "
          "share of the connections") {
  // After a restart of the system the new control leader has seen only one live
  // host, which must not claim the connections of the others.
  SessionHarness Harness(10, 21);
  std::vector<SessionId> Sessions;
  for (int Count = 0; Count < 40; ++Count) {
    Sessions.push_back(Harness.open("primary"));
    Harness.send(Sessions.back(), SessionHarness::write());
  }
  Harness.run(milliseconds(5));
  CHECK(Harness.connectionCount(0) <= 2);
}

TEST_CASE("session: nothing is admitted while the configuration cannot be "
          "confirmed, also after a suspension") {
  SessionHarness Harness;
  SessionId Id = Harness.open("read-your-writes");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.m_IsControlDown = true;
  Harness.suspend(milliseconds(4'000));
  StatementReply Reply =
      Harness.sendAndWait(Id, SessionHarness::read(), milliseconds(50));
  CHECK(Reply.m_Error == SessionError::Busy);
  SessionId Late = Harness.open("read-your-writes");
  CHECK(Harness.m_Refused.contains(Late));
  CHECK(!Harness.m_Core->isReady(Harness.m_Now));
}

TEST_CASE("session: unknown keys and databases are rejected when a session "
          "opens") {
  SessionHarness Harness;
  CHECK(Harness.m_Refused.count(Harness.open("read-your-writes", "key-x")) ==
        1);
  CHECK(Harness.m_Refused.at(Harness.open("none")) ==
        SessionError::UnknownDatabase);
  CHECK(Harness.m_Accepted.contains(Harness.open("read-your-writes")));
}

TEST_CASE("session load: reads stay in the own availability zone until its "
          "instance is busier than others") {
  // An instance in every availability zone, light load, then a burst at one
  // host. Without zone preference, two thirds of the replies crossed zones.
  SessionHarness Harness(1, 40);
  Harness.instance(0).m_Description.m_Zone = AvailabilityZone{"y"};
  Harness.instance(1).m_Description.m_Zone = AvailabilityZone{"x"};
  Harness.instance(2).m_Description.m_Zone = AvailabilityZone{"z"};
  Harness.publishDirectory();
  Harness.run(milliseconds(600));
  SessionId Reader = Harness.open("bounded-staleness");
  REQUIRE(!Harness.sendAndWait(Reader, SessionHarness::read()).m_Error);
  auto ReadsAt = [&](size_t Index) {
    const std::vector<Statement> &Received = Harness.instance(Index).m_Received;
    return std::count_if(Received.begin(), Received.end(),
                         [](const Statement &Sent) {
                           return Sent.m_Kind == StatementKind::Read;
                         });
  };
  auto Before = ReadsAt(1);
  for (int Count = 0; Count < 20; ++Count)
    REQUIRE(!Harness.sendAndWait(Reader, SessionHarness::read()).m_Error);
  CHECK(ReadsAt(2) >= 20);
  CHECK(ReadsAt(1) == Before);
  std::vector<SessionId> Burst;
  Burst.reserve(12);
  for (int Count = 0; Count < 12; ++Count)
    Burst.push_back(Harness.open("bounded-staleness"));
  for (SessionId Session : Burst)
    Harness.send(Session, SessionHarness::read());
  Harness.run(milliseconds(300));
  CHECK(ReadsAt(1) > Before);
}
