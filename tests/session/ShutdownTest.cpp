#include "session/SessionFleet.h"
#include "session/SessionHarness.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

/// A caller that goes on as soon as its pause after a reply is over: it begins
/// transactions, sends reads in them and commits.
struct Caller {
  static constexpr size_t kReads = 10;

  size_t m_Host = 0;
  size_t m_Session = 0;
  size_t m_Sent = 0;
  size_t m_Step = 0;
  Time m_NextAt;
  std::string m_Request;
};

class CallerCrowd {
public:
  CallerCrowd(SessionFleet &Fleet, size_t Host, size_t Count, Duration Pause)
      : m_Fleet(Fleet), m_Pause(Pause) {
    for (size_t Index = 0; Index < Count; ++Index)
      m_Callers.push_back(
          Caller{Host, Fleet.open(Host, "own"), 0, Index % 2, Fleet.m_Now, ""});
  }

  /// Runs until the host has ended or Limit has passed.
  void run(size_t Host, Duration Limit) {
    for (Time End = m_Fleet.m_Now + Limit;
         m_Fleet.m_Now < End && !m_Fleet.isShutDown(Host);) {
      for (Caller &Each : m_Callers)
        step(Each);
      m_Fleet.run(milliseconds(1));
    }
  }
  size_t unanswered() const {
    size_t Count = 0;
    for (const Caller &Each : m_Callers)
      Count +=
          Each.m_Sent - m_Fleet.m_Sessions[Each.m_Session].m_Replies.size();
    return Count;
  }

  size_t m_Succeeded = 0;
  std::map<SessionError, size_t> m_Errors;
  /// Statements that ran though their callers were told that they had not.
  size_t m_RefusedAndRun = 0;

private:
  static StatementKind kindOf(size_t Step) {
    return Step == 0                ? StatementKind::Begin
           : Step <= Caller::kReads ? StatementKind::Read
                                    : StatementKind::Commit;
  }
  void step(Caller &Each) {
    SessionFleet::Session &Session = m_Fleet.m_Sessions[Each.m_Session];
    if (Session.m_Replies.size() < Each.m_Sent)
      return;
    if (!Each.m_Request.empty())
      onReply(Each, Session.m_Replies.back());
    if (Session.m_IsClosed || m_Fleet.m_Now < Each.m_NextAt)
      return;
    m_Fleet.send(Each.m_Session, kindOf(Each.m_Step));
    ++Each.m_Sent;
    Each.m_Request = m_Fleet.lastRequestId();
  }
  void onReply(Caller &Each, const StatementReply &Reply) {
    const std::vector<std::string> &Run = m_Fleet.m_ExecutedRequests;
    if (Reply.m_Error) {
      ++m_Errors[*Reply.m_Error];
      m_RefusedAndRun +=
          Reply.m_ErrorText.find("shuts down") != std::string::npos &&
                  std::find(Run.begin(), Run.end(), Each.m_Request) != Run.end()
              ? 1
              : 0;
    } else {
      ++m_Succeeded;
    }
    Each.m_Step = Reply.m_State == TransactionState::Open ? Each.m_Step + 1
                  : Reply.m_State == TransactionState::Failed
                      ? Caller::kReads + 1
                      : 0;
    Each.m_NextAt = m_Fleet.m_Now + m_Pause;
    Each.m_Request.clear();
  }

  SessionFleet &m_Fleet;
  Duration m_Pause;
  std::vector<Caller> m_Callers;
};

/// Lets every host forward a read, so that the owner is known.
size_t findOwner(SessionFleet &Fleet) {
  for (size_t Index = 0; Index < Fleet.m_Shape.m_Hosts; ++Index) {
    size_t Session = Fleet.open(Index, "own");
    REQUIRE(!Fleet.sendAndWait(Session, StatementKind::Read).m_Error);
    Fleet.close(Session);
  }
  return Fleet.busiestOwner();
}

} // namespace

// LOST: callers that went on without pauses had statements of 300 ms accepted
// until the process ended, 5.2 s after the signal, and got no answer to them.
TEST_CASE("shutdown: every statement that is accepted is answered before the "
          "process ends, whatever the pace of the callers") {
  for (Duration Pause :
       {milliseconds(0), milliseconds(1), milliseconds(50), milliseconds(400)})
    for (bool StopsOwner : {false, true})
      for (bool IsOwnConnection : {false, true}) {
        if (StopsOwner && IsOwnConnection)
          continue;
        INFO("pause " << Pause / milliseconds(1) << " ms, stops owner "
                      << StopsOwner << ", own connection " << IsOwnConnection);
        SessionFleet Fleet({.m_Hosts = IsOwnConnection ? 1U : 5U,
                            .m_Work = milliseconds(300)});
        size_t Owner = findOwner(Fleet);
        size_t Entry = IsOwnConnection ? 0 : (Owner + 1) % 5;
        size_t Stopped = StopsOwner ? Owner : Entry;
        CallerCrowd Callers(Fleet, Entry, 18, Pause);
        Callers.run(Stopped, milliseconds(200));
        Fleet.shutDown(Stopped);
        Callers.run(Stopped, milliseconds(1'000));
        // A signal that comes again changes nothing.
        Fleet.shutDown(Stopped);
        Time Requested = Fleet.m_Now - milliseconds(1'000);
        Callers.run(Stopped, milliseconds(6'000));
        CHECK(Fleet.isShutDown(Stopped));
        CHECK(Fleet.m_Now - Requested < milliseconds(5'600));
        if (!StopsOwner)
          CHECK(Callers.unanswered() == 0);
        Callers.run(Stopped, milliseconds(2'000));
        CHECK(Callers.m_Succeeded > 0);
        CHECK(Callers.m_RefusedAndRun == 0);
        CHECK(Callers.m_Errors[SessionError::OutcomeUnknown] == 0);
      }
}

// A statement whose deadline lies behind the end of the process cannot be
// promised an answer.
TEST_CASE("shutdown: a statement that may not be finished is refused at once "
          "and does not run") {
  SessionHarness Harness;
  Harness.m_StatementTimeoutMs = 4'000;
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  SessionId Single = Harness.open("primary");
  SessionId Open = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Open, SessionHarness::begin()).m_Error);
  REQUIRE(!Harness.sendAndWait(Open, SessionHarness::write()).m_Error);
  Harness.handle(ShutdownRequested());
  Harness.run(milliseconds(1'000));
  CHECK(!Harness.sendAndWait(Single, SessionHarness::write()).m_Error);
  Harness.run(milliseconds(500));
  size_t Writes = Harness.receivedCount(0, StatementKind::Write);
  Time SentAt = Harness.m_Now;
  for (const Statement &Sent : {SessionHarness::write(), SessionHarness::read(),
                                SessionHarness::begin()})
    CHECK(Harness.sendAndWait(Single, Sent).m_Error == SessionError::Busy);
  SessionId Late = Harness.open("primary");
  CHECK(Harness.m_Refused.at(Late) == SessionError::Busy);
  CHECK(Harness.m_Now - SentAt <= milliseconds(15));
  CHECK(Harness.receivedCount(0, StatementKind::Write) == Writes);
  // An open transaction has the first half of the time.
  CHECK(!Harness.sendAndWait(Open, SessionHarness::write()).m_Error);
  Harness.run(milliseconds(1'000));
  Harness.instance(0).m_Latency = milliseconds(600);
  Harness.send(Open, SessionHarness::write());
  Harness.send(Open, SessionHarness::commit());
  Harness.run(milliseconds(700));
  StatementReply Refused = Harness.m_Replies[Open].back();
  CHECK(Refused.m_Error == SessionError::Aborted);
  CHECK(Refused.m_State == TransactionState::None);
  CHECK(Harness.receivedCount(0, StatementKind::Commit) == 0);
  CHECK(Harness.m_Closed.contains(Open));
}

// The instance keeps the answer to a write that was sent before the signal.
TEST_CASE("shutdown: a statement in progress at the end is answered, and a "
          "write as in doubt") {
  SessionHarness Harness;
  Harness.m_StatementTimeoutMs = 8'000;
  Harness.installPolicy();
  Harness.run(milliseconds(300));
  SessionId Writer = Harness.open("primary");
  REQUIRE(!Harness.sendAndWait(Writer, SessionHarness::write()).m_Error);
  Harness.instance(0).m_DropsReplies = true;
  Harness.send(Writer, SessionHarness::write());
  Harness.run(milliseconds(10));
  Harness.handle(ShutdownRequested());
  Harness.run(milliseconds(5'200));
  CHECK(!Harness.m_IsShutDown);
  Harness.run(milliseconds(400));
  CHECK(Harness.m_IsShutDown);
  REQUIRE(Harness.m_Replies[Writer].size() == 2);
  CHECK(Harness.m_Replies[Writer].back().m_Error ==
        SessionError::OutcomeUnknown);
}

// Whether a session is closed between two statements is a matter of chance, so
// the caller is told together with a reply.
TEST_CASE("shutdown: a caller without pauses is closed with the reply once "
          "load balancers have stopped sending") {
  SessionHarness Harness;
  SessionId Id = Harness.open("primary");
  Harness.handle(ShutdownRequested());
  Harness.run(milliseconds(1'000));
  CHECK(!Harness.sendAndWait(Id, SessionHarness::read()).m_Error);
  CHECK(!Harness.m_Closed.contains(Id));
  Harness.run(milliseconds(1'150));
  Harness.send(Id, SessionHarness::read());
  Harness.run(milliseconds(100));
  CHECK(!Harness.m_Replies[Id].back().m_Error);
  CHECK(Harness.m_Replies[Id].size() == 2);
  Harness.run(milliseconds(60));
  CHECK(Harness.m_Closed.contains(Id));
}
