#include "almondpier/Messages.h"

#include <doctest/doctest.h>

using namespace almondpier;

TEST_CASE("positions of different terms are compared through the starts of the "
          "terms") {
  TermHistory History;
  History.add({1, 0});
  History.add({2, 10});
  History.add({3, 12});
  CHECK(History.covers({1, 5}, {1, 5}));
  CHECK(!History.covers({1, 4}, {1, 5}));
  CHECK(History.covers({2, 11}, {1, 10}));
  // Entry 11 of term 1 was not part of the log that term 2 continued.
  CHECK(!History.covers({2, 20}, {1, 11}));
  CHECK(!History.covers({3, 20}, {2, 13}));
  CHECK(History.covers({3, 20}, {2, 12}));
  // A term that the history does not know proves nothing.
  CHECK(!History.covers({4, 20}, {1, 5}));
}

TEST_CASE("a term without a published start proves no coverage across it, "
          "because its primary may have replaced the entry") {
  TermHistory History;
  History.add({2, 0});
  // Term 3 was begun; its primary began it at index 1 with entry 2 and was
  // elected again for term 4 before term 3 was published.
  History.add({4, 2});
  CHECK(!History.covers({4, 3}, {2, 2}));
  CHECK(History.covers({4, 3}, {4, 3}));
  CHECK(History.covers({2, 2}, {2, 2}));
  History.add({5, 9});
  CHECK(History.covers({5, 10}, {4, 9}));
  CHECK(!History.covers({5, 10}, {2, 1}));
}

TEST_CASE("of two changes with the same expected version one wins, and a "
          "refused change alters nothing") {
  Configuration State;
  CHECK(State.apply({"a", 0, "ann", 0, CreateOrganisation{{"prairie"}}})
            .m_Accepted);
  ChangeOutcome Second =
      State.apply({"b", 0, "bob", 0, CreateOrganisation{{"paipmata"}}});
  REQUIRE(Second.m_Error);
  CHECK(Second.m_Error->m_Kind == ErrorKind::VersionConflict);
  CHECK(State.version() == 1);
  CHECK(State.organisations().size() == 1);
  Configuration Before = State;
  CHECK(!State
             .apply({"c", 1, "ann", 0,
                     IssueKey{{"k"}, {{"nobody"}, digestOfKey("x")}}})
             .m_Accepted);
  CHECK(State == Before);
}

TEST_CASE("messages survive encoding, and damaged bytes are refused without a "
          "crash") {
  PollReply Reply;
  Reply.m_Changes.push_back(
      {"a", 1, "ann", 2, IssueKey{{"k"}, {{"prairie"}, digestOfKey("x")}}});
  Reply.m_LiveHosts = LiveHosts{1, 2, {{{"h1"}, true}}};
  Message Original(Reply);
  std::string Bytes = encode(Original);
  CHECK(decodeMessage(Bytes) == Original);
  for (size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_THROWS_AS(decodeMessage(std::string_view(Bytes).substr(0, Length)),
                    DecodeError);
  for (size_t Index = 0; Index < Bytes.size(); ++Index) {
    std::string Damaged = Bytes;
    Damaged[Index] = static_cast<char>(~Damaged[Index]);
    try {
      decodeMessage(Damaged);
    } catch (const DecodeError &) {
      continue;
    }
  }
  CHECK_THROWS_AS(decodeMessage(std::string(16, '\xff')), DecodeError);
}

TEST_CASE("an address with a leading zero is not an endpoint") {
  // Guards against accepting an address that no socket accepts: the process
  // that connects to it would end.
  for (std::string_view Text : {"127.1.101.02:7000", "01.2.3.4:1", "1.2.3.00:1",
                                "1.2.3.000004:1", "1.2.3.0x4:1"}) {
    CAPTURE(Text);
    CHECK_THROWS_AS(parseEndpoint(Text), std::invalid_argument);
  }
  CHECK((parseEndpoint("10.0.0.0:1") == Endpoint{"10.0.0.0", 1}));
}

TEST_CASE("endpoints and names are checked") {
  CHECK((parseEndpoint("127.0.0.1:80") == Endpoint{"127.0.0.1", 80}));
  for (std::string_view Text :
       {"", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0:1",
        "host:1", "1.2.3.256:1"})
    CHECK_THROWS_AS(parseEndpoint(Text), std::invalid_argument);
  CHECK(isValidName("event-db.1"));
  CHECK(!isValidName(""));
  CHECK(!isValidName("a b"));
  CHECK(!isValidName(std::string(65, 'a')));
}
