#include "session/SessionFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

constexpr size_t kLargestMessage = 1U << 20U;

/// A fleet that encodes its messages, with a session at a host that owns no
/// group.
class Played {
public:
  Played() : m_Fleet({.m_Hosts = 5}) {
    for (size_t Index = 0; Index < 5; ++Index) {
      size_t Session = m_Fleet.open(Index, "own");
      REQUIRE(!m_Fleet.sendAndWait(Session, StatementKind::Read).m_Error);
    }
    m_Fleet.m_EncodesMessages = true;
    m_Id = m_Fleet.open(m_Fleet.busiestOwner() == 0 ? 1 : 0, "own");
  }
  StatementReply send(StatementKind Kind, const std::string &Text = "") {
    return m_Fleet.sendAndWait(m_Id, Kind, Text);
  }
  StatementReply set(const std::string &Name, size_t Bytes) {
    Statement Set;
    Set.m_Kind = StatementKind::SetVariable;
    Set.m_Name = Name;
    Set.m_Argument = std::string(Bytes, 'v');
    return m_Fleet.sendAndWait(m_Id, Set);
  }

  SessionFleet m_Fleet;
  size_t m_Id = 0;
};

std::string textOf(size_t Bytes) { return std::string(Bytes, 't'); }

} // namespace

// Fault: the message that carried the statement to the owner exceeded the limit
// of messages between hosts, which ended the process of the entry host.
TEST_CASE("owner: a statement inside a transaction that is too large for a "
          "message between hosts is refused") {
  for (size_t Bytes :
       {size_t{600}, kLargestMessage / 2 - 300, kLargestMessage / 2 + 1,
        kLargestMessage - 200, kLargestMessage}) {
    INFO(Bytes << " bytes");
    Played Test;
    REQUIRE(!Test.send(StatementKind::Begin).m_Error);
    REQUIRE(!Test.send(StatementKind::Write).m_Error);
    uint64_t Before = Test.m_Fleet.instance(0, 0).m_Position.m_Index;
    StatementReply Large = Test.send(StatementKind::Write, textOf(Bytes));
    StatementReply End = Test.send(StatementKind::Commit);
    uint64_t After = Test.m_Fleet.instance(0, 0).m_Position.m_Index;
    if (Large.m_Error) {
      CHECK(Large.m_Error == SessionError::TooLarge);
      CHECK(Large.m_State == TransactionState::Failed);
      CHECK(End.m_Error == SessionError::Aborted);
      CHECK(After == Before);
    } else {
      CHECK(!End.m_Error);
      CHECK(After == Before + 1);
    }
    CHECK(Large.m_Error.has_value() == (Bytes > kLargestMessage / 2));
    CHECK(!Test.send(StatementKind::Write).m_Error);
  }
}

// Fault: values that were set inside a transaction travelled with each of its
// statements.
TEST_CASE("owner: values of a session that do not fit a message are refused") {
  Played Test;
  REQUIRE(!Test.send(StatementKind::Begin).m_Error);
  REQUIRE(!Test.send(StatementKind::Write).m_Error);
  size_t Refused = 0;
  for (int Number = 0; Number < 20; ++Number) {
    StatementReply Set = Test.set("v" + std::to_string(Number), 100'000);
    if (!Set.m_Error)
      continue;
    CHECK(Set.m_Error == SessionError::TooLarge);
    CHECK(Set.m_State == TransactionState::Open);
    ++Refused;
  }
  CHECK(Refused > 0);
  // A value that replaces an equal one fits as before.
  CHECK(!Test.set("v0", 100'000).m_Error);
  CHECK(!Test.send(StatementKind::Write).m_Error);
  CHECK(!Test.send(StatementKind::Commit).m_Error);
}

// Fault: rows without text were not counted, so that the reply of the owner
// exceeded the limit of messages and ended its process.
TEST_CASE("owner: a result that is too large for a message between hosts is "
          "refused, and that of a write is in doubt") {
  for (size_t Rows : {size_t{100'000}, size_t{400'000}}) {
    INFO(Rows << " rows");
    Played Test;
    Test.m_Fleet.m_EmptyRows = Rows;
    bool IsTooLarge = Rows > 200'000;
    StatementReply Read = Test.send(StatementKind::Read);
    uint64_t Before = Test.m_Fleet.instance(0, 0).m_Position.m_Index;
    StatementReply Written = Test.send(StatementKind::Write);
    CHECK(Test.m_Fleet.instance(0, 0).m_Position.m_Index == Before + 1);
    if (IsTooLarge) {
      CHECK(Read.m_Error == SessionError::TooLarge);
      CHECK(Written.m_Error == SessionError::OutcomeUnknown);
    } else {
      CHECK(Read.m_Rows.size() >= Rows);
      CHECK(!Written.m_Error);
    }
  }
}

// The position of a read and the name of a prepared statement make the message
// to the instance longer than that of the caller.
TEST_CASE("owner: a read of the largest size does not reach an instance with "
          "more than the largest size") {
  size_t Largest = 0;
  for (size_t Bytes : {kLargestMessage - 200, kLargestMessage - 40}) {
    Played Test;
    Test.m_Fleet.m_OnStatement = [&](size_t /*Host*/,
                                     const SessionFleet::Instance & /*At*/,
                                     const Statement &Sent) {
      constexpr size_t kPositionBytes = sizeof("AFTER 18446744073709551615."
                                               "18446744073709551615");
      Largest = std::max(Largest, Sent.m_RequestId.size() + Sent.m_Text.size() +
                                      kPositionBytes + sizeof("QUERY  \r\n"));
    };
    StatementReply Read = Test.send(StatementKind::Read, textOf(Bytes));
    bool IsTooLarge = Bytes > kLargestMessage - 128;
    CHECK(Read.m_Error.has_value() == IsTooLarge);
    if (IsTooLarge)
      CHECK(Read.m_Error == SessionError::TooLarge);
  }
  CHECK(Largest <= kLargestMessage);
}
