#include "platform/src/LineCodec.h"

#include <doctest/doctest.h>

#include <random>

using namespace almondpier;
using namespace almondpier::platform;

TEST_CASE("line codec: statements are decoded and forwarded with their "
          "original text") {
  CallerLine Line = LineCodec::parseCallerLine(
      "QUERY 5c0e WRITE 1a4 some data  with blanks ");
  const Statement *Sent = std::get_if<Statement>(&Line);
  REQUIRE(Sent != nullptr);
  CHECK(Sent->m_Kind == StatementKind::Write);
  CHECK(Sent->m_RequestId == "5c0e");
  CHECK(LineCodec::formatStatement(*Sent, std::nullopt) ==
        "QUERY 5c0e WRITE 1a4 some data  with blanks \r\n");
  CHECK(LineCodec::formatStatement(*Sent, Position{3, 1'207}) ==
        "QUERY 5c0e AFTER 3.1207 WRITE 1a4 some data  with blanks \r\n");
}

TEST_CASE("line codec: only the name of a prepared statement is replaced") {
  CallerLine Line = LineCodec::parseCallerLine("QUERY 9f EXECUTE s1 1a4 xk pw");
  Statement Sent = std::get<Statement>(Line);
  CHECK(Sent.m_Name == "s1");
  Sent.m_Name = "w_q2c";
  Sent.m_Text.clear();
  CHECK(LineCodec::formatStatement(Sent, std::nullopt) ==
        "QUERY 9f EXECUTE w_q2c 1a4 xk pw\r\n");
}

TEST_CASE("line codec: statements that the proxy issues carry no request "
          "identifier") {
  Statement Own;
  Own.m_Kind = StatementKind::Begin;
  CHECK(LineCodec::formatStatement(Own, std::nullopt) == "QUERY - BEGIN\r\n");
  // A caller cannot send a statement with the identifier that is reserved for
  // the proxy.
  CallerLine Line = LineCodec::parseCallerLine("QUERY - COMMIT");
  CHECK(std::get<Statement>(Line).m_Kind == StatementKind::Invalid);
}

TEST_CASE("line codec: invalid lines are distinguished from invalid "
          "statements") {
  for (const char *Text :
       {"QUERY", "QUERY ", "STARTUP", "STARTUP ", "", " ", "GET / HTTP/1.1"})
    CHECK(
        std::holds_alternative<InvalidLine>(LineCodec::parseCallerLine(Text)));
  for (const char *Text :
       {"QUERY 1 BEGIN WRITE", "QUERY 1 READ", "QUERY 1 WRITE a",
        "QUERY 1 PREPARE s", "QUERY 1 PREPARE s EXEC q", "QUERY 1 EXECUTE s",
        "QUERY 1 AFTER 1.1 READ a", "QUERY 1 STATUS", "QUERY 1 DEALLOC",
        "QUERY 1 PAUSE 4", "QUERY 1 RESET"}) {
    CallerLine Line = LineCodec::parseCallerLine(Text);
    REQUIRE(std::holds_alternative<Statement>(Line));
    CHECK(std::get<Statement>(Line).m_Kind == StatementKind::Invalid);
  }
}

TEST_CASE("line codec: replies preserve rows, receipts, errors and "
          "positions") {
  StatementReply Reply;
  Reply.m_Rows = {"a b", "c"};
  Reply.m_Receipt = "7.1f3";
  Reply.m_State = TransactionState::Open;
  Reply.m_Position = Position{3, 9};
  CHECK(LineCodec::formatReply(Reply) ==
        "ROW a b\r\nROW c\r\nCOMPLETE 7.1f3\r\nREADY T 3.9\r\n");
  StatementReply Failed;
  Failed.m_Error = SessionError::OutcomeUnknown;
  CHECK(LineCodec::formatReply(Failed).starts_with("ERROR INDOUBT "));
  CHECK(LineCodec::formatReply(Failed).ends_with("\r\nREADY I -\r\n"));
  CHECK(std::get<ErrorLine>(LineCodec::parseInstanceLine("ERROR LAGGING x"))
            .m_Error == SessionError::Lagging);
  CHECK(std::get<ErrorLine>(LineCodec::parseInstanceLine("ERROR NEW x"))
            .m_Error == SessionError::Other);
  CHECK(std::get<ReadyLine>(LineCodec::parseInstanceLine("READY E 3.1209"))
            .m_Position == Position{3, 1'209});
  CHECK(!std::get<ReadyLine>(LineCodec::parseInstanceLine("READY I -"))
             .m_Position);
}

TEST_CASE("line codec: positions with invalid or surplus characters are "
          "rejected") {
  for (const char *Text : {"", "-", "3", "3.", ".4", "3.4x", "x3.4", "3.4.5",
                           "-3.4", "99999999999999999999.1"})
    CHECK(!parsePosition(Text));
  CHECK((parsePosition("3.4") == Position{3, 4}));
}

TEST_CASE("line codec: mutated lines are parsed without failure") {
  std::mt19937 Random(7);
  const std::vector<std::string> Lines{
      "STARTUP lepu270 u3f1",          "QUERY 5c0e BEGIN READ",
      "QUERY 5c0e PREPARE s1 WRITE q", "QUERY 5c0e EXECUTE s1 1a4 xkq",
      "ERROR READONLY i-7f3a91c2",     "READY T 3.1209",
      "COMPLETE 7.1f3.c.2b",           "ROW replica 3 3.1209 0 12 2 17"};
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Line = Lines[Random() % Lines.size()];
    for (uint32_t Count = Random() % 4; Count > 0 && !Line.empty(); --Count)
      Line[Random() % Line.size()] = static_cast<char>(Random());
    Line.resize(Random() % (Line.size() + 1));
    CallerLine Caller = LineCodec::parseCallerLine(Line);
    InstanceLine Instance = LineCodec::parseInstanceLine(Line);
    if (const Statement *Sent = std::get_if<Statement>(&Caller))
      CHECK(LineCodec::formatStatement(*Sent, std::nullopt).ends_with("\r\n"));
  }
}

namespace {

/// A field of random bytes, which may hold everything but a carriage return
/// before a line feed. One that is not the last field of its line is not empty
/// and has no blank.
std::string randomField(std::mt19937 &Random, bool IsLast) {
  std::string Field(Random() % 12 + (IsLast ? 0 : 1), '\0');
  for (char &Character : Field) {
    constexpr std::string_view kFrequent{"\n\r \0-,=\"", 8};
    Character = Random() % 2 == 0 ? kFrequent[Random() % kFrequent.size()]
                                  : static_cast<char>(Random());
    if (!IsLast && Character == ' ')
      Character = 'b';
  }
  for (size_t End = Field.find("\r\n"); End != std::string::npos;
       End = Field.find("\r\n"))
    Field[End] = 'r';
  return Field;
}

} // namespace

namespace {

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Result;
  for (std::string_view Part : Parts)
    Result.append(Part);
  return Result;
}

} // namespace

// UNASKED, MIXED: bytes of a field became framing, a name or another field.
TEST_CASE("line codec: fields of any bytes reach an instance and a caller "
          "whole") {
  std::mt19937 Random(17);
  for (int Round = 0; Round < 5'000; ++Round) {
    std::string Id = joined({randomField(Random, false), "i"});
    std::string Item = randomField(Random, false);
    std::string Data = joined({randomField(Random, true), "d"});
    for (const std::string &Text :
         {joined({"WRITE ", Item, " ", Data}), joined({"READ ", Data}),
          joined({"SET ", Item, " ", Data}),
          joined({"PREPARE ", Item, " READ ", Data})}) {
      CallerLine Line =
          LineCodec::parseCallerLine(joined({"QUERY ", Id, " ", Text}));
      const Statement &Sent = std::get<Statement>(Line);
      CHECK(Sent.m_Kind != StatementKind::Invalid);
      CHECK(LineCodec::formatStatement(Sent, std::nullopt) ==
            joined({"QUERY ", Id, " ", Text, "\r\n"}));
      // The proxy repeats SET and PREPARE under its own identifier.
      Statement Repeated = Sent;
      Repeated.m_Text.clear();
      Repeated.m_RequestId.clear();
      if (Sent.m_Kind == StatementKind::SetVariable ||
          Sent.m_Kind == StatementKind::Prepare)
        CHECK(LineCodec::formatStatement(Repeated, std::nullopt) ==
              joined({"QUERY - ", Text, "\r\n"}));
    }
    CallerLine Line = LineCodec::parseCallerLine(
        joined({"QUERY ", Id, " EXECUTE ", Item, " ", Data}));
    Statement Executed = std::get<Statement>(Line);
    Executed.m_Name = "p1";
    Executed.m_Text.clear();
    CHECK(LineCodec::formatStatement(Executed, std::nullopt) ==
          joined({"QUERY ", Id, " EXECUTE p1 ", Data, "\r\n"}));

    std::string Row = randomField(Random, true);
    std::string Receipt = joined({"7.", randomField(Random, true)});
    InstanceLine RowText = LineCodec::parseInstanceLine(joined({"ROW ", Row}));
    InstanceLine Result =
        LineCodec::parseInstanceLine(joined({"COMPLETE ", Receipt}));
    StatementReply Reply;
    Reply.m_Rows = {std::get<RowLine>(RowText).m_Row};
    Reply.m_Receipt = std::get<CompleteLine>(Result).m_Receipt;
    CHECK(LineCodec::formatReply(Reply) ==
          joined({"ROW ", Row, "\r\nCOMPLETE ", Receipt, "\r\nREADY I -\r\n"}));
  }
}

TEST_CASE("line codec: a reply without a receipt is told from one with a "
          "receipt") {
  CHECK(std::get<CompleteLine>(LineCodec::parseInstanceLine("COMPLETE -"))
            .m_Receipt.empty());
  CHECK(LineCodec::formatReply(StatementReply()) ==
        "COMPLETE -\r\nREADY I -\r\n");
}

// CONFIG: a key that looks like the placeholder of another field was taken for
// no key.
TEST_CASE("line codec: any text is a key, and only its absence is none") {
  for (const char *Key : {"-", " ", "u3f1 x", "u3\nf1", "\r"}) {
    CallerLine Line =
        LineCodec::parseCallerLine(std::string("STARTUP lepu270 ") + Key);
    CHECK(std::get<OpenLine>(Line).m_Key == digestOfKey(Key));
  }
  for (const char *Text : {"STARTUP lepu270", "STARTUP lepu270 "})
    CHECK(!std::get<OpenLine>(LineCodec::parseCallerLine(Text)).m_Key);
}
