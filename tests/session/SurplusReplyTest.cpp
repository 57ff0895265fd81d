#include "session/AnsweredSession.h"

#include <doctest/doctest.h>

#include <array>
#include <random>

using namespace almondpier;
using namespace almondpier::sessiontest;

// REFUSED, TWICE: the true reply, a first error that promises nothing, is taken
// for the reply to the reset and makes a copied rejection a promise.
TEST_CASE("session: an error of the statement itself does not confirm a "
          "rejection that is a copy") {
  for (SessionError Error :
       {SessionError::Failed, SessionError::TimedOut,
        SessionError::OutcomeUnknown, SessionError::TooLarge}) {
    INFO("error " << nameOf(Error));
    Answered Test;
    Test.rejectOnce();
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    std::string Request = Test.m_Harness.lastRequest();
    size_t Before = Test.replies().size();
    Test.awaitSent(StatementKind::Write);
    Test.reject(SessionError::Busy);
    Test.awaitConfirmation();
    Test.reject(Error, "first time");
    CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
    Test.m_Harness.run(milliseconds(3'000));
    REQUIRE(Test.replies().size() == Before + 1);
    REQUIRE(Test.replies().back().m_Error);
    CHECK_FALSE(provesNotExecuted(*Test.replies().back().m_Error));
    CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
  }
}

// PINNED: the reset that confirms a rejection ran at the instance, and the
// proxy keeps the values that it remembers of the connection.
TEST_CASE("session: after an error during a confirmation no statement runs "
          "without the values of its session") {
  Answered Test;
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::set("zone", "1"));
  REQUIRE(
      !Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write()).m_Error);
  Test.stopReplies();
  Test.rejectOnce();
  Test.m_Harness.m_OnRun = [](const SessionHarness::OpenConnection &Used,
                              const Statement &Sent) {
    INFO(Sent.m_RequestId);
    auto Value = Used.m_Variables.find("zone");
    CHECK(Value != Used.m_Variables.end());
  };
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::Busy);
  Test.awaitConfirmation();
  Test.reject(SessionError::Failed, "first time");
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(1'000));
  Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write());
}

// TWICE: a copy of the reply to SET, which has no receipt, is taken for the
// reply to the reset, so that a copied rejection counts as true.
TEST_CASE("session: a copy of the reply to SET does not confirm a rejection "
          "that is a copy") {
  Answered Test;
  Test.rejectOnce();
  Test.m_Harness.send(Test.m_Id, SessionHarness::set("zone", "2"));
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  Test.awaitSent(StatementKind::SetVariable);
  Test.complete();
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::Busy);
  Test.awaitConfirmation();
  Test.complete();
  // The true replies to the write and to the reset.
  if (Test.connection())
    Test.complete("of the write");
  if (Test.connection())
    Test.complete();
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(3'000));
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
}

// MIXED: as above; the reply to the write, whose receipt is new, is given to
// the next statement on the connection.
TEST_CASE("session: after a rejection that a copy confirmed, the reply to the "
          "rejected statement does not answer the next one") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::Failed, "disk");
  Test.m_Harness.send(Test.m_Id, SessionHarness::set("zone", "2"));
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  Test.awaitSent(StatementKind::SetVariable);
  Test.complete();
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::Failed, "disk");
  Test.awaitConfirmation();
  Test.complete();
  SessionId Next = Test.m_Harness.open("primary");
  Test.m_Harness.send(Next, SessionHarness::write());
  Test.m_Harness.run(milliseconds(1));
  if (Test.connection())
    Test.complete("of the first write");
  if (!Test.m_Harness.m_Replies[Next].empty())
    CHECK(Test.m_Harness.m_Replies[Next].back().m_Receipt !=
          "of the first write");
}

// TWICE: a copy of the reply to SET answers PREPARE, the rejection of PREPARE
// answers EXECUTE, and that of EXECUTE answers a later write, which is retried.
TEST_CASE("session: the rejection of a prepared statement does not answer a "
          "later write") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::set("zone", "2"));
  Statement Prepare = SessionHarness::prepare("s1", "bad");
  Prepare.m_IsWrite = true;
  Test.m_Harness.send(Test.m_Id, Prepare);
  Test.m_Harness.send(Test.m_Id, SessionHarness::execute("s1"));
  Test.awaitSent(StatementKind::SetVariable);
  Test.complete();
  Test.awaitSent(StatementKind::Prepare);
  Test.complete();
  Test.awaitSent(StatementKind::Execute);
  Test.reject(SessionError::Malformed, "bad");
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  // The reply to EXECUTE comes before the one that would confirm the first.
  Test.awaitConfirmation();
  Test.reject(SessionError::UnknownStatement, "p1");
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(3'000));
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
}

// TWICE: only EXECUTE can name an unknown statement.
TEST_CASE("session: a write that is answered with an unknown prepared "
          "statement is not run again") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::UnknownStatement, "p1");
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(3'000));
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
}

// HANG: no deadline ends the wait for a reply to a statement of a session that
// has ended, and input of the instance keeps the connection from being closed.
TEST_CASE("session: a connection whose session has ended is not lost for ever "
          "when its statement gets no valid reply") {
  for (bool IsRollback : {true, false}) {
    for (int Kind = 0; Kind < 3; ++Kind) {
      INFO("rollback " << IsRollback << ", kind " << Kind);
      Answered Test;
      if (IsRollback) {
        Test.primary().m_DropsReplies = false;
        Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
        REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write())
                     .m_Error);
        Test.stopReplies();
      } else {
        Test.m_Harness.send(Test.m_Id, SessionHarness::write());
        Test.awaitSent(StatementKind::Write);
      }
      Test.m_Harness.run(milliseconds(7));
      Test.m_Harness.close(Test.m_Id);
      REQUIRE(Test.lastReceived() ==
              (IsRollback ? StatementKind::Rollback : StatementKind::Write));
      Test.m_Harness.run(milliseconds(10));
      ConnectionId Stuck = *Test.connection();
      if (Kind == 0)
        Test.m_Harness.handle(
            InstanceReplyInvalid{Stuck, ReplyDefect::NoResult});
      else if (Kind == 1)
        Test.complete(IsRollback ? "of nothing" : "");
      Test.primary().m_DropsReplies = false;
      Test.m_Harness.run(milliseconds(30'000));
      CHECK_FALSE(Test.m_Harness.m_Connections.contains(Stuck));
      SessionId Next = Test.m_Harness.open("primary");
      CHECK(!Test.m_Harness.sendAndWait(Next, SessionHarness::write()).m_Error);
    }
  }
}

// UNASKED: docs/design/replies.md: a connection on which an instance is ready
// without a result is not used again.
TEST_CASE("session: an idle connection with a ready line that no statement "
          "explains is not used again") {
  Answered Test;
  ConnectionId Idle = *Test.connection();
  Test.m_Harness.handle(InstanceReplyInvalid{Idle, ReplyDefect::NoResult});
  CHECK_FALSE(Test.m_Harness.m_Connections.contains(Idle));
  Test.primary().m_DropsReplies = false;
  CHECK(
      !Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write()).m_Error);
}

// REFUSED: a template that the instance rejects is the caller's error, but is
// answered with a request to try again.
TEST_CASE("session: a template that an instance rejects as malformed is not "
          "answered as busy") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::prepare("s1", "bad"));
  Test.m_Harness.send(Test.m_Id, SessionHarness::execute("s1"));
  size_t Prepared = 0;
  for (int Step = 0; Step < 600; ++Step) {
    Test.m_Harness.run(milliseconds(5));
    size_t Received = Test.m_Harness.receivedCount(SessionHarness::kPrimary,
                                                   StatementKind::Prepare);
    if (Received > Prepared && Test.connection()) {
      Prepared = Received;
      Test.reject(SessionError::Malformed, "no such shape");
    }
  }
  REQUIRE(Test.replies().size() == 62);
  INFO(Prepared << " attempts: " << Test.replies().back().m_ErrorText);
  REQUIRE(Test.replies().back().m_Error);
  CHECK(Test.replies().back().m_Error == SessionError::Malformed);
}

// REFUSED: a lawful rejection that a connection had before, inside a
// transaction, is replaced by the loss of the connection.
TEST_CASE("session: the same error in two transactions on a connection reaches "
          "both callers") {
  for (bool IsCommit : {false, true}) {
    INFO("commit " << IsCommit);
    Answered Test;
    for (int Round = 0; Round < 2; ++Round) {
      INFO("round " << Round);
      Test.primary().m_DropsReplies = false;
      Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
      REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write())
                   .m_Error);
      Test.primary().m_RejectsOnlyInSlots = true;
      Test.primary().m_ForcedError = SessionError::Failed;
      StatementReply Reply = Test.m_Harness.sendAndWait(
          Test.m_Id,
          IsCommit ? SessionHarness::commit() : SessionHarness::write());
      REQUIRE(Reply.m_Error);
      CHECK(nameOf(*Reply.m_Error) == nameOf(SessionError::Failed));
      Test.primary().m_ForcedError.reset();
      Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::rollback());
    }
  }
}

// REFUSED, TWICE: a rejection that came again is remembered as old as when it
// came first, and is forgotten right after it.
TEST_CASE(
    "session: the newest rejection of a connection is remembered longest") {
  Answered Test;
  Test.rejectOnce();
  auto FailOnce = [&](int Number) {
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    Test.awaitSent(StatementKind::Write);
    Test.reject(SessionError::Failed, "key " + std::to_string(Number));
  };
  for (int Number = 0; Number < 31; ++Number)
    FailOnce(Number);
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  Test.awaitSent(StatementKind::Write);
  Test.reject(SessionError::Busy);
  Test.awaitConfirmation();
  Test.confirm();
  Test.awaitSent(StatementKind::Write);
  Test.complete("after the second rejection");
  FailOnce(31);
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  Test.awaitSent(StatementKind::Write);
  // A copy of the second rejection, three statements later.
  Test.reject(SessionError::Busy);
  Test.m_Harness.run(milliseconds(300));
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
}

// MIXED: a copy of the reply to BEGIN answers ROLLBACK, which is sent once more
// outside a transaction. The reply to the second one is not expected.
TEST_CASE("session: a copy of the reply to BEGIN does not answer ROLLBACK") {
  Answered Test;
  StatementReply InTransaction;
  InTransaction.m_State = TransactionState::Open;
  Test.m_Harness.send(Test.m_Id, SessionHarness::begin());
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  Test.awaitSent(StatementKind::Begin);
  Test.answer(InTransaction);
  Test.awaitSent(StatementKind::Write);
  StatementReply Written = InTransaction;
  Written.m_Receipt = "of the write";
  Test.answer(Written);
  Test.m_Harness.send(Test.m_Id, SessionHarness::rollback());
  Test.awaitSent(StatementKind::Rollback);
  Test.answer(InTransaction);
  Test.m_Harness.run(milliseconds(5));
  CHECK(Test.m_Harness.receivedCount(SessionHarness::kPrimary,
                                     StatementKind::Rollback) == 1);
}

namespace {

/// A caller of the random tests and what it has set.
struct RandomCaller {
  SessionId m_Id;
  std::string m_Zone;
};

Statement randomStatement(std::mt19937 &Random, RandomCaller &Caller) {
  switch (Random() % 6) {
  case 0:
  case 1:
    return SessionHarness::write();
  case 2:
    Caller.m_Zone = std::to_string(Random() % 3);
    return SessionHarness::set("zone", Caller.m_Zone);
  case 3:
    return SessionHarness::execute("s" + std::to_string(Random() % 2));
  default:
    return SessionHarness::read();
  }
}

RandomCaller openRandom(SessionHarness &Harness, std::mt19937 &Random) {
  RandomCaller Opened{
      Harness.open(Random() % 2 == 0 ? "primary" : "read-your-writes"), "0"};
  Harness.send(Opened.m_Id, SessionHarness::set("zone", "0"));
  for (int Name = 0; Name < 2; ++Name)
    Harness.send(Opened.m_Id,
                 SessionHarness::prepare("s" + std::to_string(Name),
                                         "q" + std::to_string(Random() % 3)));
  return Opened;
}

} // namespace

// MIXED, TWICE, REFUSED, PINNED: copies of all replies, also of those without a
// receipt, with busy instances and sessions that set values and leave.
TEST_CASE("session: with copies of all replies no write runs twice and each "
          "statement has the values of its session") {
  for (uint32_t Seed = 1; Seed <= 200; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    SessionHarness Harness(1, 3);
    std::map<std::string, std::string> Zones;
    Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Used,
                          const Statement &Sent) {
      auto Zone = Zones.find(Sent.m_RequestId);
      if (Zone == Zones.end() ||
          Harness.instance(Used.m_Instance).m_ForcedError)
        return;
      INFO(Sent.m_RequestId);
      auto Value = Used.m_Variables.find("zone");
      CHECK((Value != Used.m_Variables.end() && Value->second == Zone->second));
    };
    std::vector<RandomCaller> Callers;
    Callers.reserve(3);
    for (int Index = 0; Index < 3; ++Index)
      Callers.push_back(openRandom(Harness, Random));
    for (int Step = 0; Step < 80; ++Step) {
      for (size_t Index = 0; Index < 3; ++Index) {
        FakeInstance &Instance = Harness.instance(Index);
        Instance.m_RejectsOnlyInSlots = true;
        Instance.m_Repeats.clear();
        for (uint32_t Left = Random() % 3; Left > 0; --Left)
          Instance.m_Repeats.emplace_back(milliseconds(Random() % 30));
        Instance.m_ForcedError.reset();
        if (Random() % 5 == 0)
          Instance.m_ForcedError = SessionError::Busy;
      }
      RandomCaller &Caller = Callers[Random() % Callers.size()];
      Statement Sent = randomStatement(Random, Caller);
      bool HasRows = Sent.m_Kind != StatementKind::SetVariable;
      std::string Next = Harness.lastRequest();
      Next = "r" + std::to_string(std::stoul(Next.substr(1)) + 1);
      Zones[Next] = Caller.m_Zone;
      if (Random() % 12 == 0) {
        Harness.send(Caller.m_Id, Sent);
        Harness.run(milliseconds(Random() % 25));
        Harness.close(Caller.m_Id);
        Caller = openRandom(Harness, Random);
        continue;
      }
      StatementReply Reply = Harness.sendAndWait(Caller.m_Id, Sent);
      INFO(Next);
      if (!Reply.m_Error && HasRows)
        CHECK(Reply.m_Rows == std::vector<std::string>{"row of " + Next});
      if (Reply.m_Error && provesNotExecuted(*Reply.m_Error))
        CHECK_FALSE(Harness.m_ExecutedWrites.contains(Next));
    }
    for (const std::pair<const std::string, int> &Entry :
         Harness.m_ExecutedWrites) {
      INFO(Entry.first);
      CHECK(Entry.second == 1);
    }
  }
}

// Guards against a statement that waits for its whole time on a connection
// whose instance is in another transaction state than the proxy believes.
TEST_CASE("session: a statement leaves a connection with a reply that cannot "
          "be its own when no other reply comes") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::set("zone", "2"));
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  Test.awaitSent(StatementKind::SetVariable);
  StatementReply InTransaction;
  InTransaction.m_State = TransactionState::Open;
  Test.answer(InTransaction);
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(900));
  REQUIRE(Test.replies().size() == 62);
  CHECK_FALSE(Test.replies().back().m_Error);
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 1);
}

// CRASH, HANG: replies of any form at any time, while sessions open, leave and
// miss their deadlines.
TEST_CASE("session: after replies of any form at any time the host serves "
          "statements") {
  constexpr std::array kErrors{SessionError::Busy,
                               SessionError::Failed,
                               SessionError::ReadOnly,
                               SessionError::Lagging,
                               SessionError::TimedOut,
                               SessionError::Aborted,
                               SessionError::UnknownStatement,
                               SessionError::OutcomeUnknown,
                               SessionError::TooLarge,
                               SessionError::Malformed};
  for (uint32_t Seed = 1; Seed <= 100; ++Seed) {
    INFO("seed " << Seed);
    std::mt19937 Random(Seed);
    SessionHarness Harness(1, 3);
    std::vector<RandomCaller> Callers;
    Callers.reserve(4);
    for (int Index = 0; Index < 4; ++Index)
      Callers.push_back(openRandom(Harness, Random));
    for (int Step = 0; Step < 1'000; ++Step) {
      RandomCaller &Caller = Callers[Random() % Callers.size()];
      switch (Random() % 8) {
      case 0:
        Harness.instance(Random() % 3).m_DropsReplies = Random() % 2 == 0;
        break;
      case 1:
        Harness.close(Caller.m_Id);
        Caller = openRandom(Harness, Random);
        break;
      case 2:
        Harness.send(Caller.m_Id, SessionHarness::begin());
        break;
      case 3:
        Harness.send(Caller.m_Id, Random() % 2 == 0
                                      ? SessionHarness::commit()
                                      : SessionHarness::rollback());
        break;
      case 4:
        Harness.send(Caller.m_Id, randomStatement(Random, Caller));
        break;
      case 5:
        Harness.run(milliseconds(Random() % 40));
        break;
      default: {
        if (Harness.m_Connections.empty())
          break;
        auto Used = std::next(Harness.m_Connections.begin(),
                              static_cast<std::ptrdiff_t>(
                                  Random() % Harness.m_Connections.size()));
        if (Random() % 10 == 0) {
          Harness.handle(InstanceReplyInvalid{
              Used->first, Random() % 2 == 0 ? ReplyDefect::InvalidLine
                                             : ReplyDefect::NoResult});
          break;
        }
        StatementReply Reply;
        Reply.m_State = static_cast<TransactionState>(Random() % 3);
        if (Random() % 2 == 0)
          Reply.m_Error = kErrors[Random() % kErrors.size()];
        else if (Random() % 2 == 0)
          Reply.m_Receipt = "receipt " + std::to_string(Random() % 200);
        Harness.handle(InstanceReplied{Used->first, Reply});
      }
      }
    }
    for (size_t Index = 0; Index < 3; ++Index)
      Harness.instance(Index).m_DropsReplies = false;
    for (const RandomCaller &Caller : Callers)
      Harness.close(Caller.m_Id);
    Harness.run(milliseconds(5'000));
    SessionId Last = Harness.open("primary");
    CHECK(!Harness.sendAndWait(Last, SessionHarness::write()).m_Error);
    CHECK(!Harness.sendAndWait(Last, SessionHarness::read()).m_Error);
  }
}
