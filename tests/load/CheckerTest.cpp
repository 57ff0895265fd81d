#include "almondpier/Load.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

const DatabaseName kDatabase{"races"};
constexpr uint64_t kSession = 1;
constexpr uint64_t kOther = 2;

Time at(int Ms) { return Time(std::chrono::milliseconds(Ms)); }

struct Fixture {
  LoadChecker m_Checker;

  uint64_t begin(const std::string &Key, LoadWriteKind Kind,
                 uint64_t Transaction = 0) {
    LoadWrite Write;
    Write.m_Database = kDatabase;
    Write.m_Key = Key;
    Write.m_Kind = Kind;
    Write.m_Session = kSession;
    Write.m_Transaction = Transaction;
    return m_Checker.beginWrite(Write);
  }
  uint64_t acknowledged(const std::string &Key, LoadWriteKind Kind, int Ms) {
    uint64_t Number = begin(Key, Kind);
    m_Checker.finishWrite(Number, LoadWriteState::Acknowledged, at(Ms));
    return Number;
  }
  void read(const std::string &Key, LoadReadMode Mode, uint64_t Session, int Ms,
            const std::vector<uint64_t> &Values) {
    m_Checker.checkRead(
        {kDatabase, Key, Mode, Session, at(Ms), std::chrono::milliseconds(100)},
        Values);
  }
  /// The violations since the last call contain this text, and there is one.
  bool hasOne(const std::string &Text) {
    bool Result = m_Checker.violations().size() == m_Known + 1 &&
                  m_Checker.violations().back().find(Text) != std::string::npos;
    m_Known = m_Checker.violations().size();
    return Result;
  }
  bool hasNone() const { return m_Checker.violations().size() == m_Known; }

  size_t m_Known = 0;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "load checker: a lost acknowledged write is found") {
  uint64_t Kept = acknowledged("list", LoadWriteKind::Append, 1);
  uint64_t Lost = acknowledged("list", LoadWriteKind::Append, 2);
  acknowledged("slot", LoadWriteKind::Insert, 3);
  m_Checker.checkFinalRead(kDatabase, "list", {Kept, Lost});
  CHECK(hasNone());
  m_Checker.checkFinalRead(kDatabase, "list", {Kept});
  CHECK(hasOne("an acknowledged write was lost: value 2"));
  m_Checker.checkFinalRead(kDatabase, "slot", {});
  CHECK(hasOne("an acknowledged write was lost: value 3"));
  m_Checker.checkCompleteness();
  CHECK(hasNone());
}

TEST_CASE_FIXTURE(Fixture, "load checker: a write applied twice is found") {
  uint64_t Once = acknowledged("list", LoadWriteKind::Append, 1);
  m_Checker.checkFinalRead(kDatabase, "list", {Once, Once});
  CHECK(hasOne("applied twice"));
}

TEST_CASE_FIXTURE(
    Fixture, "load checker: two acknowledged bookings of a slot are found") {
  uint64_t First = acknowledged("slot", LoadWriteKind::Insert, 1);
  acknowledged("slot", LoadWriteKind::Insert, 2);
  m_Checker.checkFinalRead(kDatabase, "slot", {First});
  CHECK(hasOne("an acknowledged write was lost"));
}

TEST_CASE_FIXTURE(Fixture,
                  "load checker: stale reads are found by what each "
                  "read promises, and allowed where it promises less") {
  uint64_t Old = acknowledged("row", LoadWriteKind::Put, 10);
  uint64_t New = acknowledged("row", LoadWriteKind::Put, 200);
  read("row", LoadReadMode::Session, kSession, 250, {New});
  read("row", LoadReadMode::Session, kOther, 250, {Old});
  read("row", LoadReadMode::MaxAge, kSession, 250, {Old});
  read("row", LoadReadMode::Confirmed, kOther, 150, {Old});
  CHECK(hasNone());
  read("row", LoadReadMode::Session, kSession, 250, {Old});
  CHECK(hasOne("a session did not see its own write"));
  read("row", LoadReadMode::MaxAge, kOther, 350, {Old});
  CHECK(hasOne("older than its Max-Age-Ms"));
  read("row", LoadReadMode::Confirmed, kOther, 250, {Old});
  CHECK(hasOne("a confirmed read missed"));
  read("row", LoadReadMode::Confirmed, kOther, 250, {});
  CHECK_FALSE(hasNone());
}

TEST_CASE_FIXTURE(Fixture, "load checker: a refused write that ran is found, "
                           "also when it was seen before the refusal") {
  uint64_t Early = begin("row", LoadWriteKind::Put);
  read("row", LoadReadMode::Session, kSession, 1, {Early});
  CHECK(hasNone());
  m_Checker.finishWrite(Early, LoadWriteState::NotRun, at(2));
  CHECK(hasOne("refused as not run, but was read"));
  uint64_t Late = begin("list", LoadWriteKind::Append);
  m_Checker.finishWrite(Late, LoadWriteState::NotRun, at(2));
  m_Checker.checkFinalRead(kDatabase, "list", {Late});
  CHECK(hasOne("refused as not run, but was read"));
}

TEST_CASE_FIXTURE(Fixture, "load checker: foreign values and transactions "
                           "applied in part are found, unknown ones are not") {
  read("row", LoadReadMode::Session, kSession, 1, {99});
  CHECK(hasOne("never written there"));
  uint64_t First = begin("one", LoadWriteKind::Append, 7);
  uint64_t Second = begin("two", LoadWriteKind::Append, 7);
  m_Checker.finishWrite(First, LoadWriteState::Unknown, at(1));
  m_Checker.finishWrite(Second, LoadWriteState::Unknown, at(1));
  m_Checker.checkFinalRead(kDatabase, "one", {First});
  SUBCASE("in part") {
    m_Checker.checkFinalRead(kDatabase, "two", {});
    m_Checker.checkCompleteness();
    CHECK_FALSE(hasNone());
  }
  SUBCASE("as a whole") {
    m_Checker.checkFinalRead(kDatabase, "two", {Second});
    CHECK(hasNone());
  }
}

TEST_CASE("load measures: gaps, worst-served organisation and refusals within "
          "the rate are computed from the samples") {
  OrganisationName Small{"small"};
  OrganisationName Large{"large"};
  LoadMeasures Measures({{Small, Limit{10, 10}}, {Large, Limit{10, 10}}});
  Measures.start(at(0));
  auto Record = [&](const OrganisationName &Organisation, LoadResult Result,
                    int Ms) {
    LoadSample Sample;
    Sample.m_Organisation = Organisation;
    Sample.m_Database = kDatabase;
    Sample.m_Result = Result;
    Sample.m_SentAt = at(Ms);
    Sample.m_DoneAt = at(Ms);
    Sample.m_WasInsideRate = Measures.recordOffered(Organisation, at(Ms));
    Sample.m_MayUseReplica = true;
    Sample.m_WasServedByReplica = Organisation == Small;
    Sample.m_IsAcknowledgedWrite = Result == LoadResult::Served;
    Measures.record(Sample);
  };
  // Ten times its rate: 20 of 100 are inside the rate and burst.
  for (int Index = 0; Index < 100; ++Index)
    Record(Large, Index < 20 ? LoadResult::Served : LoadResult::Refused,
           Index * 10);
  for (int Index = 0; Index < 4; ++Index)
    Record(Small, Index == 3 ? LoadResult::Refused : LoadResult::Served,
           300 + Index);
  Measures.stop(at(1000));
  CHECK(Measures.longestWriteGaps().at(kDatabase) ==
        std::chrono::milliseconds(698));
  CHECK((Measures.lowestServedShare().first == Small));
  CHECK(Measures.lowestServedShare().second == doctest::Approx(0.75));
  CHECK(Measures.offeredInsideRate() == 19 + 4);
  CHECK(Measures.refusedInsideRate() >= 1);
  CHECK(Measures.replicaShare() == doctest::Approx(3.0 / 23));
}
