#include "session/AnsweredSession.h"

#include <doctest/doctest.h>

#include <random>

using namespace almondpier;
using namespace almondpier::sessiontest;

// TWICE, MIXED: a copy of the reply to an earlier BEGIN answers a BEGIN
// that the instance rejects, so the write runs outside the transaction.
TEST_CASE("session: a copy of the reply to BEGIN does not let a write "
          "run outside its transaction") {
  Answered Test;
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
  REQUIRE(
      !Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write()).m_Error);
  REQUIRE(
      !Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::commit()).m_Error);
  Test.stopReplies();
  Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
  Test.primary().m_ForcedError = SessionError::Busy;
  Test.m_Harness.send(Test.m_Id, SessionHarness::write());
  std::string Request = Test.m_Harness.lastRequest();
  Test.awaitSent(StatementKind::Begin);
  Test.primary().m_ForcedError.reset();
  // The copy, and then the true reply to BEGIN.
  StatementReply Begun;
  Begun.m_State = TransactionState::Open;
  Test.answer(Begun);
  Test.m_Harness.run(milliseconds(2));
  if (Test.connection())
    Test.reject(SessionError::Busy);
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(1'000));
  StatementReply Ended =
      Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::rollback());
  CHECK_FALSE(Ended.m_Error);
  // Counts only writes that ran outside a transaction.
  CHECK(Test.m_Harness.m_ExecutedWrites[Request] == 0);
}

// STALE: the true reply to a write whose rejection is being confirmed
// dates the position of the primary by the confirmation, which was sent later.
TEST_CASE("session: a write whose rejection was a copy does not extend "
          "the age of reads") {
  for (bool HasCopy : {false, true}) {
    INFO("copy " << HasCopy);
    Answered Test;
    Test.rejectOnce();
    Test.m_Harness.run(milliseconds(100));
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    Test.awaitSent(StatementKind::Write);
    Time SentAt = Test.m_Harness.m_Now;
    Position AtWrite = Test.primary().m_Position;
    for (size_t Replica : {1U, 2U})
      Test.m_Harness.instance(Replica).m_Position = AtWrite;
    // Writes of other hosts, right after this one.
    Test.primary().m_Position.m_Index += 10;
    Position Later = Test.primary().m_Position;
    Test.m_Harness.run(milliseconds(500));
    if (HasCopy) {
      Test.reject(SessionError::Busy);
      Test.awaitConfirmation();
    }
    StatementReply Written;
    Written.m_Receipt = "of the write";
    Written.m_Position = AtWrite;
    Test.answer(Written);
    REQUIRE(!Test.replies().back().m_Error);
    Test.primary().m_IsUnreachable = true;
    Test.m_Harness.run(SentAt + milliseconds(1'700) - Test.m_Harness.m_Now);
    std::vector<SessionId> Readers;
    for (int Index = 0; Index < 4; ++Index) {
      Readers.push_back(Test.m_Harness.open("bounded-staleness"));
      Test.m_Harness.send(Readers.back(), SessionHarness::read());
    }
    Test.m_Harness.run(milliseconds(100));
    // 1,700 ms after SentAt a read with a limit of 1,500 ms needs Later.
    for (SessionId Reader : Readers)
      for (const StatementReply &Reply : Test.m_Harness.m_Replies[Reader])
        CHECK((Reply.m_Error || !(*Reply.m_Position < Later)));
  }
}

// HANG: a ready line without a result that the instance meant as its
// reply holds a read until its deadline.
TEST_CASE("session: a read leaves a connection that is ready without a "
          "result when no other reply comes") {
  Answered Test;
  Test.m_Harness.send(Test.m_Id, SessionHarness::read());
  Test.awaitSent(StatementKind::Begin);
  Test.m_Harness.run(milliseconds(5));
  Test.m_Harness.handle(
      InstanceReplyInvalid{*Test.connection(), ReplyDefect::NoResult});
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(900));
  REQUIRE(Test.replies().size() == 61);
  CHECK_FALSE(Test.replies().back().m_Error);
}

// REFUSED: a copy without content ends a slow statement of a
// transaction on a connection that is in step.
TEST_CASE("session: a copy of the reply to SET does not end a slow "
          "statement of a transaction") {
  for (bool HasCopy : {false, true}) {
    INFO("copy " << HasCopy);
    Answered Test;
    Test.primary().m_DropsReplies = false;
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::set("zone", "1"));
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
    REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write())
                 .m_Error);
    Test.primary().m_Latency = milliseconds(700);
    ConnectionId Used = *Test.connection();
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    Test.m_Harness.run(milliseconds(5));
    // Without the copy, the instance sends a line on another connection.
    if (HasCopy)
      Test.complete();
    else
      Test.m_Harness.handle(InstanceReplyInvalid{Used, ReplyDefect::NoResult});
    Test.m_Harness.run(milliseconds(900));
    CHECK_FALSE(Test.replies().back().m_Error);
    CHECK(Test.replies().back().m_State == TransactionState::Open);
  }
}

// REFUSED: docs/design/replies.md: a rejection that may be a copy is
// told to nobody before it is confirmed.
TEST_CASE("session: a read without a retry left is not answered with a "
          "rejection that is a copy") {
  Answered Test;
  Test.primary().m_DropsReplies = false;
  Test.primary().m_ForcedError = SessionError::Busy;
  for (int Round = 0; Round < 20; ++Round)
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::read());
  Test.primary().m_ForcedError.reset();
  Test.m_Harness.run(milliseconds(1'000));
  Test.stopReplies();
  size_t Before = Test.replies().size();
  Test.m_Harness.send(Test.m_Id, SessionHarness::read());
  Test.awaitSent(StatementKind::Begin);
  StatementReply Begun;
  Begun.m_State = TransactionState::Open;
  Test.answer(Begun);
  Test.awaitSent(StatementKind::Read);
  Test.reject(SessionError::Busy);
  StatementReply Done = Begun;
  Done.m_Receipt = "of the read";
  if (Test.connection())
    Test.answer(Done);
  Test.primary().m_DropsReplies = false;
  Test.m_Harness.run(milliseconds(1'000));
  REQUIRE(Test.replies().size() == Before + 1);
  CHECK_FALSE(Test.replies().back().m_Error);
}

// docs/design/replies.md: at an instance that sent defective replies in
// the last minute, an ambiguous rejection closes the connection at once.
TEST_CASE("session: a defective reply is remembered for a minute") {
  for (int Seconds : {30, 59}) {
    INFO("defect after " << Seconds << " s");
    Answered Test;
    Test.m_Harness.run(Time(std::chrono::hours(1)) +
                       milliseconds(Seconds * 1'000 + 700) -
                       Test.m_Harness.m_Now);
    Test.rejectOnce();
    Test.complete("after the rejection");
    Test.m_Harness.run(milliseconds(400));
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    Test.awaitSent(StatementKind::Write);
    Test.reject(SessionError::Busy);
    Test.m_Harness.run(milliseconds(5));
    CHECK(Test.m_Harness.receivedCount(SessionHarness::kPrimary,
                                       StatementKind::BeginReadOnly) == 0);
  }
}

// STALE: a late copy of the reply to an earlier BEGIN holds an old
// position, which is taken for that of the primary now.
TEST_CASE("session: a copy of the reply to BEGIN does not extend the "
          "age of reads") {
  for (bool HasCopy : {false, true}) {
    INFO("copy " << HasCopy);
    Answered Test;
    Test.primary().m_DropsReplies = false;
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
    REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write())
                 .m_Error);
    Time WrittenAt = Test.m_Harness.m_Now;
    REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::commit())
                 .m_Error);
    Position Old = Test.primary().m_Position;
    for (size_t Replica : {1U, 2U})
      Test.m_Harness.instance(Replica).m_Position = Old;
    // Writes of other hosts.
    Test.m_Harness.run(milliseconds(30));
    Test.primary().m_Position.m_Index += 10;
    Position Later = Test.primary().m_Position;
    Test.m_Harness.run(milliseconds(800));
    Test.stopReplies();
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
    Test.m_Harness.send(Test.m_Id, SessionHarness::write());
    Test.awaitSent(StatementKind::Begin);
    if (HasCopy) {
      StatementReply Begun;
      Begun.m_State = TransactionState::Open;
      Begun.m_Position = Old;
      Test.answer(Begun);
    }
    Test.primary().m_IsUnreachable = true;
    Test.m_Harness.run(WrittenAt + milliseconds(1'700) - Test.m_Harness.m_Now);
    std::vector<SessionId> Readers;
    for (int Index = 0; Index < 4; ++Index) {
      Readers.push_back(Test.m_Harness.open("bounded-staleness"));
      Test.m_Harness.send(Readers.back(), SessionHarness::read());
    }
    Test.m_Harness.run(milliseconds(100));
    // More than 1,500 ms after the writes of other hosts.
    for (SessionId Reader : Readers)
      for (const StatementReply &Reply : Test.m_Harness.m_Replies[Reader])
        CHECK((Reply.m_Error || !(*Reply.m_Position < Later)));
  }
}

// As "a read without a retry left", with each fraction of a token left.
TEST_CASE("session: a read is not answered with an unconfirmed "
          "rejection whatever is left of the retry budget") {
  for (int Rounds = 20; Rounds < 26; ++Rounds) {
    INFO("rounds " << Rounds);
    Answered Test;
    Test.primary().m_DropsReplies = false;
    Test.primary().m_ForcedError = SessionError::Busy;
    Test.primary().m_RejectsOnlyInSlots = true;
    for (int Round = 0; Round < Rounds; ++Round)
      Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write());
    Test.primary().m_ForcedError.reset();
    Test.m_Harness.run(milliseconds(1'000));
    Test.stopReplies();
    size_t Before = Test.replies().size();
    Test.m_Harness.send(Test.m_Id, SessionHarness::read());
    Test.awaitSent(StatementKind::Begin);
    StatementReply Begun;
    Begun.m_State = TransactionState::Open;
    Test.answer(Begun);
    Test.awaitSent(StatementKind::Read);
    Test.reject(SessionError::Busy);
    StatementReply Done = Begun;
    Done.m_Receipt = "of the read";
    if (Test.connection())
      Test.answer(Done);
    Test.primary().m_DropsReplies = false;
    Test.m_Harness.run(milliseconds(1'000));
    REQUIRE(Test.replies().size() == Before + 1);
    CHECK_FALSE(Test.replies().back().m_Error);
  }
}

// REFUSED: docs/design/replies.md: nobody is told of a rejection before
// it is confirmed, and the statement's own reply is delivered if it comes
// first.
TEST_CASE("session: a single read is not answered with an unconfirmed "
          "rejection whatever is left of the retry budget") {
  for (int Rounds = 20; Rounds < 26; ++Rounds) {
    INFO("rounds " << Rounds);
    Answered Test;
    // The primary is the only instance, and reads need no BEGIN.
    Test.m_Harness.m_Control.m_Directory.m_Instances.resize(1);
    ++Test.m_Harness.m_Control.m_Directory.m_Version;
    Test.m_Harness.run(milliseconds(1'000));
    Test.primary().m_DropsReplies = false;
    Test.primary().m_ForcedError = SessionError::Busy;
    Test.primary().m_RejectsOnlyInSlots = true;
    for (int Round = 0; Round < Rounds; ++Round)
      Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write());
    Test.primary().m_ForcedError.reset();
    Test.m_Harness.run(milliseconds(1'000));
    // A new position of the primary, so that the read asks for none.
    Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::write());
    Test.stopReplies();
    SessionId Reader = Test.m_Harness.open("read-your-writes");
    Test.m_Harness.send(Reader, SessionHarness::read());
    Test.m_Harness.run(milliseconds(3));
    REQUIRE(Test.lastReceived() == StatementKind::Read);
    Test.reject(SessionError::Busy);
    if (Test.connection())
      Test.complete("of the read");
    Test.primary().m_DropsReplies = false;
    Test.m_Harness.run(milliseconds(1'000));
    REQUIRE(Test.m_Harness.m_Replies[Reader].size() == 1);
    CHECK_FALSE(Test.m_Harness.m_Replies[Reader].back().m_Error);
  }
}

// DOUBT: no reply that cannot be its own ends a write or a commit with
// an error that promises that it did not run.
TEST_CASE("session: after a foreign reply no write or commit is told "
          "as not run") {
  for (bool IsCommit : {false, true}) {
    for (bool IsExecute : {false, true}) {
      INFO("commit " << IsCommit << ", execute " << IsExecute);
      Answered Test;
      Test.primary().m_DropsReplies = false;
      Statement Prepare = SessionHarness::prepare("s1", "q");
      Prepare.m_IsWrite = true;
      Test.m_Harness.sendAndWait(Test.m_Id, Prepare);
      Statement Write =
          IsExecute ? SessionHarness::execute("s1") : SessionHarness::write();
      REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, Write).m_Error);
      if (IsCommit) {
        Test.m_Harness.sendAndWait(Test.m_Id, SessionHarness::begin());
        REQUIRE(!Test.m_Harness.sendAndWait(Test.m_Id, Write).m_Error);
      }
      Test.stopReplies();
      size_t Before = Test.replies().size();
      Statement Sent = IsCommit ? SessionHarness::commit() : Write;
      Test.m_Harness.send(Test.m_Id, Sent);
      Test.awaitSent(Sent.m_Kind);
      Test.complete();
      for (int Step = 0; Step < 4'000 && Test.replies().size() == Before;
           ++Step)
        Test.m_Harness.run(milliseconds(5));
      REQUIRE(Test.replies().size() == Before + 1);
      REQUIRE(Test.replies().back().m_Error);
      CHECK(Test.replies().back().m_Error == SessionError::OutcomeUnknown);
    }
  }
}

// MIXED: copies of all replies, with transactions: each statement of a
// transaction runs in a transaction, each other one in none.
TEST_CASE("session: with copies of all replies statements run in the "
          "transaction that they belong to") {
  for (bool RejectsBegin : {false, true}) {
    for (uint32_t Seed = 1; Seed <= 100; ++Seed) {
      INFO("rejects BEGIN " << RejectsBegin << ", seed " << Seed);
      std::mt19937 Random(Seed);
      SessionHarness Harness(1, 3);
      std::set<std::string> InTransaction;
      Harness.m_OnRun = [&](const SessionHarness::OpenConnection &Used,
                            const Statement &Sent) {
        if (!InTransaction.contains(Sent.m_RequestId) ||
            Harness.instance(Used.m_Instance).m_ForcedError)
          return;
        INFO(Sent.m_RequestId);
        CHECK(Used.m_State != TransactionState::None);
      };
      std::vector<SessionId> Callers;
      Callers.reserve(3);
      std::map<SessionId, bool> IsOpen;
      for (int Index = 0; Index < 3; ++Index)
        Callers.push_back(Harness.open("primary"));
      for (int Step = 0; Step < 80; ++Step) {
        for (size_t Index = 0; Index < 3; ++Index) {
          FakeInstance &Instance = Harness.instance(Index);
          Instance.m_RejectsOnlyInSlots = !RejectsBegin;
          Instance.m_Repeats.clear();
          for (uint32_t Left = Random() % 3; Left > 0; --Left)
            Instance.m_Repeats.emplace_back(milliseconds(Random() % 60));
          Instance.m_ForcedError.reset();
          if (Random() % 5 == 0)
            Instance.m_ForcedError = SessionError::Busy;
        }
        SessionId Caller = Callers[Random() % Callers.size()];
        std::string Next =
            "r" +
            std::to_string(std::stoul(Harness.lastRequest().substr(1)) + 1);
        Statement Sent = Random() % 2 == 0 ? SessionHarness::write()
                                           : SessionHarness::read();
        if (!IsOpen[Caller] && Random() % 2 == 0)
          Sent = SessionHarness::begin();
        else if (IsOpen[Caller] && Random() % 3 == 0)
          Sent = Random() % 2 == 0 ? SessionHarness::commit()
                                   : SessionHarness::rollback();
        bool IsData = Sent.m_Kind == StatementKind::Read ||
                      Sent.m_Kind == StatementKind::Write;
        if (IsData && IsOpen[Caller])
          InTransaction.insert(Next);
        StatementReply Reply = Harness.sendAndWait(Caller, Sent);
        INFO(Next);
        if (!Reply.m_Error && IsData)
          CHECK(Reply.m_Rows == std::vector<std::string>{"row of " + Next});
        if (Reply.m_Error && provesNotExecuted(*Reply.m_Error))
          CHECK_FALSE(Harness.m_ExecutedWrites.contains(Next));
        IsOpen[Caller] = Reply.m_State != TransactionState::None;
      }
      for (const std::pair<const std::string, int> &Entry :
           Harness.m_ExecutedWrites) {
        INFO(Entry.first);
        CHECK_FALSE(InTransaction.contains(Entry.first));
        CHECK(Entry.second == 1);
      }
    }
  }
}
