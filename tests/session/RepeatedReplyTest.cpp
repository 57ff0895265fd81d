#include "session/SessionHarness.h"

#include <doctest/doctest.h>

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
