#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

TEST_CASE("session load: while no leader lends, a host admits its share of the "
          "rate") {
  // Pattern: steady load during an election of a control leader. Without a
  // share of its own, every operation waited 2 s and was refused.
  constexpr size_t kHosts = 10;
  SessionHost Host(kHosts);
  SessionId Id = Host.open("own");
  REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  Host.m_Control.m_LendsTokens = false;
  Host.m_Control.m_Tokens = 0;
  Host.run(milliseconds(400));
  size_t Served = 0;
  size_t Sent = 0;
  std::vector<SessionId> Sessions;
  Sessions.reserve(40);
  for (int Count = 0; Count < 40; ++Count)
    Sessions.push_back(Host.open("aged"));
  Time Start = Host.m_Now;
  while (Host.m_Now - Start < milliseconds(2'000)) {
    Host.send(Sessions[Sent % Sessions.size()], SessionHost::read());
    ++Sent;
    Host.run(milliseconds(5));
  }
  for (SessionId Session : Sessions)
    for (const StatementReply &Reply : Host.m_Answers[Session])
      Served += Reply.m_Error ? 0 : 1;
  // The rate is 1,000/s for ten hosts, of which four fifths are used.
  CHECK(Served >= 100);
  CHECK(Served <= 260);
}

TEST_CASE(
    "session load: an instance that refuses for its load is not flooded") {
  // Pattern: all hosts return at once after a restart. Repeating each refused
  // statement at once kept the instances refusing for ever.
  SessionHost Host;
  for (size_t Index = 0; Index < 3; ++Index)
    Host.member(Index).m_Refusal = SessionError::Busy;
  std::vector<SessionId> Sessions;
  Sessions.reserve(50);
  for (int Count = 0; Count < 50; ++Count)
    Sessions.push_back(Host.open("main"));
  size_t Sent = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (SessionId Id : Sessions) {
      Host.send(Id, SessionHost::write());
      ++Sent;
    }
    Host.run(milliseconds(200));
  }
  size_t Attempts = Host.countOf(0, StatementKind::Write);
  CHECK(Attempts < Sent / 3);
  // It is used again as soon as it answers.
  for (size_t Index = 0; Index < 3; ++Index)
    Host.member(Index).m_Refusal.reset();
  Host.run(milliseconds(1'200));
  SessionId Late = Host.open("main");
  CHECK(!Host.ask(Late, SessionHost::write()).m_Error);
}

TEST_CASE("session load: statements that find no instance are refused while "
          "their callers can still return") {
  // Pattern: the only primary is gone and no other one is known yet.
  SessionHost Host;
  Host.member(0).m_IsDark = true;
  SessionId Id = Host.open("main");
  Time Start = Host.m_Now;
  StatementReply Reply = Host.ask(Id, SessionHost::write());
  REQUIRE(Reply.m_Error);
  CHECK(saysNotRun(*Reply.m_Error));
  CHECK(Host.m_Now - Start <= milliseconds(1'050));
}

TEST_CASE("session load: a host that knows few others opens its share of the "
          "connections only") {
  // Pattern: a restarted system whose leader has seen one host so far.
  SessionHost Host(10, 21);
  std::vector<SessionId> Sessions;
  for (int Count = 0; Count < 40; ++Count) {
    Sessions.push_back(Host.open("main"));
    Host.send(Sessions.back(), SessionHost::write());
  }
  Host.run(milliseconds(5));
  CHECK(Host.connectionsTo(0) <= 2);
}

TEST_CASE("session: a configuration that cannot be proved admits nothing, also "
          "after a suspension") {
  SessionHost Host;
  SessionId Id = Host.open("own");
  REQUIRE(!Host.ask(Id, SessionHost::write()).m_Error);
  Host.m_IsControlDown = true;
  Host.suspend(milliseconds(4'000));
  StatementReply Reply = Host.ask(Id, SessionHost::read(), milliseconds(50));
  CHECK(Reply.m_Error == SessionError::Busy);
  SessionId Late = Host.open("own");
  CHECK(Host.m_Refused.contains(Late));
  CHECK(!Host.m_Core->isReady(Host.m_Now));
}

TEST_CASE("session: unknown keys and databases are refused at the start") {
  SessionHost Host;
  CHECK(Host.m_Refused.count(Host.open("own", "key-x")) == 1);
  CHECK(Host.m_Refused.at(Host.open("none")) == SessionError::UnknownDatabase);
  CHECK(Host.m_Accepted.contains(Host.open("own")));
}

TEST_CASE("session load: reads stay in the own zone until an instance there is "
          "busier than others") {
  // Pattern: a replica in every zone, light load, then a crowd at one host.
  // Reads at any replica sent two thirds of the answers through other zones.
  SessionHost Host(1, 40);
  Host.member(0).m_Description.m_Zone = AvailabilityZone{"y"};
  Host.member(1).m_Description.m_Zone = AvailabilityZone{"x"};
  Host.member(2).m_Description.m_Zone = AvailabilityZone{"z"};
  Host.publish();
  Host.run(milliseconds(600));
  SessionId Reader = Host.open("aged");
  REQUIRE(!Host.ask(Reader, SessionHost::read()).m_Error);
  auto ReadsAt = [&](size_t Index) {
    const std::vector<Statement> &Received = Host.member(Index).m_Received;
    return std::count_if(Received.begin(), Received.end(),
                         [](const Statement &Sent) {
                           return Sent.m_Kind == StatementKind::Read;
                         });
  };
  auto Before = ReadsAt(1);
  for (int Count = 0; Count < 20; ++Count)
    REQUIRE(!Host.ask(Reader, SessionHost::read()).m_Error);
  CHECK(ReadsAt(2) >= 20);
  CHECK(ReadsAt(1) == Before);
  std::vector<SessionId> Crowd;
  Crowd.reserve(12);
  for (int Count = 0; Count < 12; ++Count)
    Crowd.push_back(Host.open("aged"));
  for (SessionId Session : Crowd)
    Host.send(Session, SessionHost::read());
  Host.run(milliseconds(300));
  CHECK(ReadsAt(1) > Before);
}
