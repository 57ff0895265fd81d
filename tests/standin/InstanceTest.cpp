#include "almondpier/StandIn.h"
#include "standin/Journal.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace almondpier;

namespace {

const Endpoint kPlatform{"127.0.0.1", 1};

struct Node {
  std::vector<std::string> m_Records;
  StandInInstance m_Instance;

  explicit Node(const std::string &Name)
      : m_Instance(InstanceName{Name}, [this](std::string_view Record) {
          m_Records.emplace_back(Record);
        }) {}
};

/// Makes Primary the primary of Term and the others its replicas.
void elect(uint64_t Term, Node &Primary, const std::vector<Node *> &Replicas) {
  REQUIRE(Primary.m_Instance.seal(Term));
  for (Node *Replica : Replicas)
    REQUIRE(Replica->m_Instance.seal(Term));
  REQUIRE(Primary.m_Instance.promote(Term));
  for (Node *Replica : Replicas)
    REQUIRE(Replica->m_Instance.follow(
        {Term, Primary.m_Instance.status().m_Instance, kPlatform}));
}

/// Copies until the replica holds the whole log.
void copyLog(const Node &Primary, Node &Replica) {
  uint64_t Term = Primary.m_Instance.status().m_SealedTerm;
  for (int Round = 0; Round < 20; ++Round)
    Replica.m_Instance.replicate(
        Term, Primary.m_Instance.entriesAfter(Replica.m_Instance.position(),
                                              Term, UINT64_MAX));
}

std::string statement(const std::string &Operation, const std::string &Key,
                      int Value) {
  return R"({"op":")" + Operation + R"(","key":")" + Key + R"(","value":)" +
         std::to_string(Value) + "}";
}

StandInAnswer put(Node &Node, uint64_t Term, const std::string &Key, int Value,
                  const std::string &RequestId = "") {
  return Node.m_Instance.write(Term, statement("put", Key, Value), RequestId,
                               "digest");
}

std::string get(const Node &Node, const std::string &Key) {
  return Node.m_Instance
      .read(std::nullopt, R"({"op":"get","key":")" + Key + R"("})")
      .m_Body;
}

struct TemporaryFolder {
  std::string m_Path = "/tmp/almondpier-standin-" + std::to_string(::getpid());

  TemporaryFolder() { std::filesystem::remove_all(m_Path); }
  ~TemporaryFolder() { std::filesystem::remove_all(m_Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
};

std::vector<std::string> readJournal(const std::string &Folder) {
  std::vector<std::string> Records;
  StandInJournal Journal(Folder, false, [&](std::string_view Record) {
    Records.emplace_back(Record);
  });
  return Records;
}

} // namespace

TEST_CASE("stand-in: a sealed instance refuses writes of older terms and "
          "promotion for any other term") {
  Node First("first");
  CHECK(!First.m_Instance.promote(1));
  CHECK(put(First, 1, "k", 1).m_Status == 409);
  REQUIRE(First.m_Instance.seal(1));
  CHECK(!First.m_Instance.promote(2));
  CHECK(First.m_Instance.promote(1) == 0U);
  CHECK(First.m_Instance.promote(1) == 0U);
  CHECK(put(First, 1, "k", 1).m_Status == 200);
  CHECK(put(First, 2, "k", 1).m_Status == 409);
  REQUIRE(First.m_Instance.seal(3));
  CHECK(!First.m_Instance.seal(2));
  CHECK(put(First, 1, "k", 2).m_Ran == Ran::No);
  CHECK(First.m_Instance.status().m_Role == StandInRole::Idle);
  CHECK(!First.m_Instance.follow({2, InstanceName{"x"}, kPlatform}));
  REQUIRE(First.m_Instance.follow({3, InstanceName{"x"}, kPlatform}));
  // A follower of a term is never also its primary.
  CHECK(!First.m_Instance.promote(3));
}

TEST_CASE("stand-in: the position of a lagging replica keeps the term of its "
          "last entry after it follows a new primary") {
  Node First("first");
  Node Second("second");
  elect(1, First, {&Second});
  copyLog(First, Second);
  put(First, 1, "k", 1);
  elect(2, First, {&Second});
  CHECK((Second.m_Instance.position() == Position{1, 1}));
  CHECK((First.m_Instance.position() == Position{2, 3}));
}

TEST_CASE("stand-in: a former primary that returns truncates what was never "
          "acknowledged and keeps what was") {
  Node First("first");
  Node Second("second");
  Node Third("third");
  elect(1, First, {&Second, &Third});
  put(First, 1, "kept", 1, "o/kept");
  copyLog(First, Second);
  copyLog(First, Third);
  put(First, 1, "lost", 2, "o/lost");
  put(First, 1, "lost", 3);
  put(First, 1, "kept", 4);
  elect(2, Second, {&Third});
  put(Second, 2, "new", 5, "o/new");
  // Cut off, it still takes writes of its term, which nobody acknowledges.
  CHECK(put(First, 1, "lost", 6).m_Status == 200);
  REQUIRE(First.m_Instance.follow({2, InstanceName{"second"}, kPlatform}));
  copyLog(Second, First);
  CHECK((First.m_Instance.position() == Second.m_Instance.position()));
  CHECK((First.m_Instance.rows() == Second.m_Instance.rows()));
  CHECK(get(First, "kept") == R"({"key":"kept","value":1})");
  CHECK(First.m_Instance.outcome({}, "o/lost").m_Status == 404);
  CHECK(First.m_Instance.outcome({}, "o/kept").m_Status == 200);
}

TEST_CASE("stand-in: entries of an old primary are ignored after a seal") {
  Node First("first");
  Node Second("second");
  elect(1, First, {&Second});
  put(First, 1, "k", 1);
  StandInLogBatch Part =
      First.m_Instance.entriesAfter(Position{}, 1, UINT64_MAX);
  REQUIRE(Second.m_Instance.seal(2));
  Second.m_Instance.replicate(1, Part);
  CHECK((Second.m_Instance.position() == Position{}));
}

TEST_CASE("stand-in: a request identifier returns the first outcome, also "
          "after a failover, and refuses another statement") {
  Node First("first");
  Node Second("second");
  elect(1, First, {&Second});
  StandInAnswer Original = First.m_Instance.write(
      1, statement("append", "list", 7), "o/1", "digest");
  copyLog(First, Second);
  elect(2, Second, {&First});
  StandInAnswer Repeated = Second.m_Instance.write(
      2, statement("append", "list", 7), "o/1", "digest");
  CHECK((Repeated == Original));
  CHECK(get(Second, "list") == R"({"key":"list","value":[7]})");
  StandInAnswer Other = Second.m_Instance.write(
      2, statement("append", "list", 8), "o/1", "other");
  CHECK(Other.m_IsMismatch);
  // A proxy that lost the answer to a write must not take the outcome of
  // another statement for its own.
  CHECK(Second.m_Instance.outcome(2, "o/1", "other").m_IsMismatch);
  CHECK(Other.m_Ran == Ran::No);
}

TEST_CASE("stand-in: a second booking of a key fails and changes nothing, and "
          "a read cannot write") {
  Node First("first");
  elect(1, First, {});
  CHECK(First.m_Instance.write(1, statement("insert", "slot", 1), "", "")
            .m_Status == 200);
  CHECK(First.m_Instance.write(1, statement("insert", "slot", 2), "", "")
            .m_Status == 422);
  CHECK(First.m_Instance.read({}, statement("put", "slot", 3)).m_Status == 400);
  CHECK(get(First, "slot") == R"({"key":"slot","value":1})");
}

TEST_CASE("stand-in: writes of a transaction are seen by others only after "
          "its commit and vanish when its connection closes") {
  Node First("first");
  elect(1, First, {});
  constexpr uint64_t kOne = 1;
  constexpr uint64_t kTwo = 2;
  REQUIRE(First.m_Instance.begin(kOne, 1).m_Status == 200);
  REQUIRE(First.m_Instance.begin(kTwo, 1).m_Status == 200);
  REQUIRE(First.m_Instance.execute(kOne, statement("put", "k", 1)).m_Status ==
          200);
  CHECK(get(First, "k") == R"({"key":"k","value":null})");
  CHECK(First.m_Instance.execute(kOne, R"({"op":"get","key":"k"})").m_Body ==
        R"({"key":"k","value":1})");
  CHECK(First.m_Instance.execute(kTwo, R"({"op":"get","key":"k"})").m_Body ==
        R"({"key":"k","value":null})");
  StandInAnswer Locked =
      First.m_Instance.execute(kTwo, statement("put", "k", 2));
  CHECK(Locked.m_Status == 422);
  CHECK(Locked.m_Ran == Ran::No);
  CHECK(put(First, 1, "k", 3).m_Ran == Ran::No);
  SUBCASE("commit") {
    CHECK(First.m_Instance.commit(kOne, "o/t", "d").m_Status == 200);
    CHECK(get(First, "k") == R"({"key":"k","value":1})");
  }
  SUBCASE("closed connection") {
    First.m_Instance.onConnectionClosed(kOne);
    CHECK(get(First, "k") == R"({"key":"k","value":null})");
    CHECK(First.m_Instance.commit(kOne, "o/t", "d").m_Status == 409);
    CHECK(put(First, 1, "k", 3).m_Status == 200);
  }
  SUBCASE("a seal ends the transactions of the term") {
    REQUIRE(First.m_Instance.seal(2));
    REQUIRE(First.m_Instance.promote(2));
    CHECK(First.m_Instance.commit(kOne, "o/t", "d").m_Status == 409);
    CHECK(First.m_Instance.openTransactions() == 0);
  }
}

TEST_CASE("stand-in: log, sealed term, role and outcomes survive a restart") {
  Node First("first");
  elect(1, First, {});
  put(First, 1, "k", 1, "o/1");
  First.m_Instance.seal(2);
  First.m_Instance.promote(2);
  Node Restarted("first");
  for (const std::string &Record : First.m_Records)
    Restarted.m_Instance.restore(Record);
  CHECK((Restarted.m_Instance.status() == First.m_Instance.status()));
  CHECK((Restarted.m_Instance.rows() == First.m_Instance.rows()));
  CHECK(Restarted.m_Instance.outcome({}, "o/1").m_Status == 200);
  CHECK(!Restarted.m_Instance.seal(1));
}

TEST_CASE("stand-in: a torn or damaged tail of the journal is cut and writing "
          "continues after it") {
  TemporaryFolder Folder;
  {
    StandInJournal Journal(Folder.m_Path, false, [](std::string_view) {});
    Journal.append("one");
    Journal.append("two");
  }
  std::string Log = Folder.m_Path + "/log";
  uintmax_t Whole = std::filesystem::file_size(Log);
  std::vector<std::string> Kept{"one"};
  SUBCASE("torn inside the last record") {
    std::filesystem::resize_file(Log, Whole - 1);
  }
  SUBCASE("torn inside the header") {
    std::filesystem::resize_file(Log, Whole / 2 + 3);
  }
  SUBCASE("damaged content") {
    std::fstream File(Log, std::ios::in | std::ios::out | std::ios::binary);
    File.seekp(static_cast<std::streamoff>(Whole) - 1);
    File.put('x');
  }
  CHECK(readJournal(Folder.m_Path) == Kept);
  {
    StandInJournal Journal(Folder.m_Path, false, [](std::string_view) {});
    Journal.append("three");
  }
  Kept.emplace_back("three");
  CHECK(readJournal(Folder.m_Path) == Kept);
}
