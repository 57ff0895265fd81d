#include "session/SessionHarness.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

/// Checks that a reply tells the truth about the request that was sent last.
void checkOwnReply(const SessionHarness &Harness, const Statement &Sent,
                   const StatementReply &Reply) {
  std::string Request = Harness.lastRequest();
  bool HasRows = Sent.m_Kind == StatementKind::Read ||
                 Sent.m_Kind == StatementKind::Write ||
                 Sent.m_Kind == StatementKind::Execute;
  INFO(Request << " of kind " << static_cast<int>(Sent.m_Kind));
  if (Reply.m_Error) {
    bool IsPromise = provesNotExecuted(*Reply.m_Error);
    CHECK_FALSE((IsPromise && Harness.m_ExecutedWrites.contains(Request)));
    return;
  }
  if (HasRows)
    CHECK(Reply.m_Rows == std::vector<std::string>{"row of " + Request});
  if (HasRows || Sent.m_Kind == StatementKind::Commit)
    CHECK_FALSE(Reply.m_Receipt.empty());
}

Statement randomStatement(std::mt19937 &Random) {
  switch (Random() % 6) {
  case 0:
    return SessionHarness::write();
  case 1:
    return SessionHarness::set("zone", std::to_string(Random() % 3));
  case 2:
    return SessionHarness::execute("s" + std::to_string(Random() % 2));
  default:
    return SessionHarness::read();
  }
}

} // namespace

// MIXED: an instance answers twice, the second time while the next statement
// runs on the connection, and the caller of that one gets the first answer.
TEST_CASE("session: a reply that an instance sends twice does not answer the "
          "next statement") {
  for (int Delay : {0, 1, 5, 12, 40}) {
    SessionHarness Harness(1, 2);
    for (size_t Index = 0; Index < 3; ++Index)
      Harness.instance(Index).m_Repeats = {milliseconds(Delay)};
    SessionId Id = Harness.open("primary");
    for (int Step = 0; Step < 20; ++Step) {
      Statement Sent =
          Step % 3 == 0 ? SessionHarness::write() : SessionHarness::read();
      StatementReply Reply = Harness.sendAndWait(Id, Sent);
      INFO("repeated after " << Delay << " ms");
      CHECK_FALSE(Reply.m_Error);
      checkOwnReply(Harness, Sent, Reply);
    }
  }
}

// REFUSED, TWICE: the second copy of a rejection answers the next attempt or
// a later write, which runs.
TEST_CASE("session: a rejection that an instance sends twice does not promise "
          "that a write did not run") {
  for (int Delay = 1; Delay < 200; Delay += 4) {
    INFO("repeated after " << Delay << " ms");
    SessionHarness Harness(1, 2);
    FakeInstance &Primary = Harness.instance(SessionHarness::kPrimary);
    SessionId Id = Harness.open("primary");
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
    Primary.m_Repeats = {milliseconds(Delay)};
    for (int Step = 0; Step < 20; ++Step) {
      if (Step % 2 == 0)
        Primary.m_ForcedError = SessionError::Busy;
      Harness.sendAndWait(Id, SessionHarness::write());
      Primary.m_ForcedError.reset();
    }
    const std::vector<StatementReply> &Replies = Harness.m_Replies[Id];
    REQUIRE(Replies.size() == 21);
    for (size_t Index = 0; Index < Replies.size(); ++Index) {
      std::string Request = "r" + std::to_string(Index + 1);
      INFO(Request);
      int Executed = Harness.m_ExecutedWrites[Request];
      CHECK(Executed <= 1);
      if (!Replies[Index].m_Error)
        CHECK(Executed == 1);
      else if (provesNotExecuted(*Replies[Index].m_Error))
        CHECK(Executed == 0);
    }
  }
}

// MIXED, PINNED, REFUSED: repeated replies in any order with statements of two
// sessions that share connections.
TEST_CASE("session: with replies repeated at random, each reply belongs to its "
          "request") {
  for (uint32_t Seed = 1; Seed <= 60; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    SessionHarness Harness(1, 3);
    std::vector<SessionId> Sessions{Harness.open("primary"),
                                    Harness.open("read-your-writes")};
    for (SessionId Id : Sessions)
      for (int Name = 0; Name < 2; ++Name)
        Harness.sendAndWait(
            Id, SessionHarness::prepare("s" + std::to_string(Name),
                                        "q" + std::to_string(Random() % 3)));
    for (int Step = 0; Step < 60; ++Step) {
      for (size_t Index = 0; Index < 3; ++Index) {
        FakeInstance &Instance = Harness.instance(Index);
        Instance.m_Repeats.clear();
        for (uint32_t Left = Random() % 3; Left > 0; --Left)
          Instance.m_Repeats.emplace_back(milliseconds(Random() % 60));
        Instance.m_ForcedError.reset();
        if (Random() % 6 == 0)
          Instance.m_ForcedError = SessionError::Busy;
      }
      SessionId Id = Sessions[Random() % Sessions.size()];
      bool IsTransaction = Random() % 4 == 0;
      if (IsTransaction)
        Harness.sendAndWait(Id, SessionHarness::begin());
      for (uint32_t Left = 1 + Random() % 3; Left > 0; --Left) {
        Statement Sent = randomStatement(Random);
        checkOwnReply(Harness, Sent, Harness.sendAndWait(Id, Sent));
      }
      if (!IsTransaction)
        continue;
      Statement End = Random() % 2 == 0 ? SessionHarness::commit()
                                        : SessionHarness::rollback();
      checkOwnReply(Harness, End, Harness.sendAndWait(Id, End));
    }
  }
}

namespace {

/// A complete reply that no statement explains.
StatementReply strangeReply() {
  StatementReply Reply;
  Reply.m_Rows = {"row of nobody"};
  Reply.m_Receipt = "receipt of nobody";
  Reply.m_Position = Position{3, 100};
  return Reply;
}

} // namespace

// MIXED: what an instance sends unasked shows that it has lost the order of its
// replies, so the next statement on the connection would get a wrong one.
TEST_CASE("session: a connection with a reply that no statement explains is "
          "not used again") {
  SessionHarness Harness(1, 2);
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  Harness.run(milliseconds(50));
  REQUIRE(Harness.connectionCount(0) == 1);
  ConnectionId Used = Harness.m_Connections.begin()->first;
  Harness.handle(InstanceReplied{Used, strangeReply()});
  CHECK(!Harness.m_Connections.contains(Used));
  CHECK(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
}

// PINNED: a surplus reply between two statements of a transaction released its
// connection, and the rest of the transaction ended the process.
TEST_CASE("session: a reply that no statement explains ends the transaction "
          "on its connection") {
  SessionHarness Harness(1, 2);
  SessionId Id = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
  ConnectionId Used = Harness.m_Connections.begin()->first;
  Harness.handle(InstanceReplied{Used, strangeReply()});
  CHECK(!Harness.m_Connections.contains(Used));
  CHECK(Harness.sendAndWait(Id, SessionHarness::write()).m_Error ==
        SessionError::Malformed);
  CHECK(Harness.sendAndWait(Id, SessionHarness::commit()).m_Error ==
        SessionError::Aborted);
  CHECK(Harness.instance(0).m_Position.m_Index == 100);
  CHECK(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
}

// A reply that the instance sends unasked while a statement runs is not that of
// the statement unless its receipt is new and its state follows.
TEST_CASE("session: a reply that cannot follow the outstanding statement is "
          "dropped") {
  StatementReply NoReceipt = strangeReply();
  NoReceipt.m_Receipt.clear();
  StatementReply OpenTransaction = strangeReply();
  OpenTransaction.m_State = TransactionState::Open;
  StatementReply RefusedInTransaction;
  RefusedInTransaction.m_Error = SessionError::Busy;
  RefusedInTransaction.m_State = TransactionState::Failed;
  for (const StatementReply &Strange :
       {NoReceipt, OpenTransaction, RefusedInTransaction}) {
    SessionHarness Harness(1, 2);
    SessionId Id = Harness.open("primary");
    REQUIRE(!Harness.sendAndWait(Id, SessionHarness::write()).m_Error);
    ConnectionId Used = Harness.m_Connections.begin()->first;
    Harness.send(Id, SessionHarness::write());
    Harness.run(milliseconds(3));
    Harness.handle(InstanceReplied{Used, Strange});
    CHECK(Harness.m_Replies[Id].size() == 1);
    Harness.run(milliseconds(50));
    REQUIRE(Harness.m_Replies[Id].size() == 2);
    CHECK(Harness.m_Replies[Id][1].m_Rows ==
          std::vector<std::string>{"row of " + Harness.lastRequest()});
    CHECK(!Harness.m_Connections.contains(Used));
  }
}

// PINNED: a name that two shapes shared would run the wrong one after a reset.
TEST_CASE("session: a connection with very many prepared statements is reset "
          "and runs the right ones") {
  SessionHarness Harness(1, 2);
  size_t MostPrepared = 0;
  std::set<std::string> Names;
  Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Connection,
                        const Statement &Sent) {
    MostPrepared = std::max(MostPrepared, Connection.m_Prepared.size());
    CHECK(Connection.m_Prepared.contains(Sent.m_Name));
    Names.insert(Sent.m_Name);
  };
  SessionId Id = Harness.open("primary");
  constexpr size_t kShapes = 600;
  for (size_t Shape = 0; Shape < kShapes; ++Shape) {
    Harness.sendAndWait(
        Id, SessionHarness::prepare("s", "q " + std::to_string(Shape)));
    CHECK(!Harness.sendAndWait(Id, SessionHarness::execute("s")).m_Error);
  }
  CHECK(Names.size() == kShapes);
  CHECK(MostPrepared <= 256);
  CHECK(Harness.receivedCount(0, StatementKind::Reset) >= 2);
}

// Guards against reads that wait for the confirmation of a rejection, on which
// nothing of them depends: each rejected read took two round trips more.
TEST_CASE("session: a rejected read is tried elsewhere before the rejection is "
          "confirmed") {
  constexpr Duration kLatency = milliseconds(60);
  SessionHarness Harness(1, 2);
  for (size_t Index = 0; Index < 3; ++Index)
    Harness.instance(Index).m_Latency = kLatency;
  FakeInstance &Replica = Harness.instance(1);
  Replica.m_ForcedError = SessionError::Lagging;
  Replica.m_RejectsOnlyInSlots = true;
  SessionId Id = Harness.open("bounded-staleness");
  for (int Count = 0; Count < 200; ++Count) {
    INFO("read " << Count);
    Time SentAt = Harness.m_Now;
    StatementReply Reply = Harness.sendAndWait(Id, SessionHarness::read());
    CHECK_FALSE(Reply.m_Error);
    CHECK(Harness.m_Now - SentAt < 3 * kLatency);
    Harness.run(milliseconds(40));
  }
  CHECK(Harness.receivedCount(1, StatementKind::BeginReadOnly) > 1);
  Replica.m_ForcedError.reset();
  Harness.run(milliseconds(2'000));
  size_t Before = Harness.receivedCount(1, StatementKind::Read);
  for (int Count = 0; Count < 20; ++Count)
    Harness.sendAndWait(Id, SessionHarness::read());
  CHECK(Harness.receivedCount(1, StatementKind::Read) > Before);
  CHECK(Harness.connectionCount(1) == 1);
}

// PINNED: a reply that comes before the handshake has ended says that a
// transaction is open, and the first write is sent without its BEGIN.
TEST_CASE("session: a reply during the handshake does not open a transaction") {
  SessionHarness Harness(1, 2);
  SessionId Id = Harness.open("primary");
  Harness.send(Id, SessionHarness::begin());
  Harness.send(Id, SessionHarness::write());
  for (int Step = 0; Step < 100 && Harness.m_Connections.empty(); ++Step)
    Harness.run(milliseconds(1));
  REQUIRE(Harness.m_Connections.size() == 1);
  StatementReply InTransaction;
  InTransaction.m_State = TransactionState::Open;
  Harness.handle(
      InstanceReplied{Harness.m_Connections.begin()->first, InTransaction});
  Harness.run(milliseconds(200));
  CHECK(Harness.receivedCount(SessionHarness::kPrimary, StatementKind::Begin) ==
        1);
  CHECK(Harness.m_ExecutedWrites.empty());
  CHECK_FALSE(Harness.sendAndWait(Id, SessionHarness::commit()).m_Error);
}
