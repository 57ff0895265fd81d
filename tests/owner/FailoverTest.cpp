#include "owner/Simulation.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::testing;

namespace {

std::string errorOf(const RequestResult &Result) {
  if (!Result.m_Error)
    return "ok";
  return std::string(nameOf(Result.m_Error->m_Kind)) + "/" +
         std::string(nameOf(Result.m_Error->m_Ran));
}

AdmittedRequest makeWrite(const Simulation &Sim, const std::string &Text,
                          bool HasId) {
  AdmittedRequest Made = Sim.request(RequestKind::Write, Text);
  if (HasId)
    Made.m_RequestId = "org/" + Text;
  return Made;
}

bool containsStatement(const FakeInstance &Instance, const std::string &Text) {
  return Instance.contents().find(Text + ",") != std::string::npos;
}

} // namespace

TEST_CASE("R2: a primary isolated at any step of a write neither acknowledges "
          "it nor loses an acknowledged one") {
  size_t Acknowledged = 0;
  size_t Unknown = 0;
  for (int Step = 0; Step < 80; ++Step) {
    bool HasId = Step % 2 == 0;
    bool SeesOldPrimary = Step % 4 < 2;
    Simulation Sim({});
    Sim.run(milliseconds(50));
    uint64_t Write = Sim.submit(makeWrite(Sim, "w", HasId));
    Sim.run(microseconds(50 * Step));
    Sim.m_CutFromReplication.insert({"i0"});
    Sim.m_CutFromControl.insert({"i0"});
    if (!SeesOldPrimary)
      Sim.partitionOwner(0, "i0");
    Sim.run(milliseconds(1));
    REQUIRE(Sim.failOver());
    std::string Outcome = errorOf(Sim.finish(Write));
    bool IsKept = containsStatement(*Sim.primary(), "w");
    if (Outcome == "ok")
      CHECK(IsKept);
    else
      CHECK(Outcome == "outcome_unknown/unknown");
    Acknowledged += Outcome == "ok" ? 1 : 0;
    Unknown += Outcome == "ok" ? 0 : 1;
    // After the former primary returns, its log contains the write once if the
    // new primary has it, and otherwise not at all.
    Sim.clearFaults();
    Sim.run(milliseconds(100));
    CHECK(Sim.instance("i0").contents() == (IsKept ? "w," : ""));
  }
  CHECK(Acknowledged > 10);
  CHECK(Unknown > 3);
}

TEST_CASE("R2: an entry of an old term on a majority is not acknowledged while "
          "its holders are sealed for a later term") {
  Simulation::Options Options;
  Options.m_ReplicationBatch = 1;
  Simulation Sim(Options);
  Sim.run(milliseconds(50));
  // The write is only on i0 when i2 becomes primary of term 2, whose first
  // entry is only on i2.
  Sim.m_CutFromReplication = {{"i0"}, {"i1"}, {"i2"}};
  uint64_t Write = Sim.submit(makeWrite(Sim, "w", false));
  Sim.run(milliseconds(10));
  REQUIRE(Sim.instance("i0").position() == Position{1, 2});
  Sim.partitionOwner(0, "i0");
  Sim.m_CutFromControl = {{"i0"}};
  uint64_t Second = Sim.beginTerm();
  std::vector<FakeInstance *> Sealed = Sim.sealAll(Second);
  std::reverse(Sealed.begin(), Sealed.end());
  FakeInstance *Primary = Sim.promote(Sealed);
  REQUIRE(Primary->m_Name.m_Value == "i2");
  // i0 becomes primary of term 3 and replicates the entry to i1, but not yet
  // the first entry of its term.
  Sim.m_CutFromControl = {{"i2"}};
  uint64_t Third = Sim.beginTerm();
  REQUIRE(Sim.promote(Sim.sealAll(Third))->m_Name.m_Value == "i0");
  Sim.instance("i1").replicateFrom(Sim.instance("i0"), 1);
  REQUIRE(Sim.instance("i1").position() == Position{1, 2});
  Sim.run(milliseconds(200));
  CHECK(Sim.result(Write) == nullptr);
  // i2 becomes primary of term 4, and the write is lost.
  Sim.m_CutFromControl = {{"i0"}};
  Sim.m_CutFromReplication = {{"i0"}};
  REQUIRE(Sim.failOver());
  CHECK(Sim.record().m_Primary->m_Value == "i2");
  CHECK(errorOf(Sim.finish(Write)) == "outcome_unknown/unknown");
  CHECK(!containsStatement(*Sim.primary(), "w"));
}

TEST_CASE("R10: a write whose connection breaks is looked up and never sent "
          "again") {
  for (bool HasId : {true, false}) {
    Simulation Sim({});
    size_t Sent = 0;
    Sim.m_OnSend = [&](const InstanceName &, const SendStatement &Statement) {
      Sent += Statement.m_Kind == RequestKind::Write ? 1 : 0;
    };
    Sim.run(milliseconds(50));
    uint64_t Write = Sim.submit(makeWrite(Sim, "w", HasId));
    Sim.run(microseconds(600));
    Sim.kill("i0");
    Sim.restart("i0");
    Sim.run(milliseconds(200));
    CHECK(Sim.failOver());
    CHECK(errorOf(Sim.finish(Write)) == "outcome_unknown/unknown");
    CHECK(Sent == 1);
  }
}

TEST_CASE("a lost answer is not replaced by the outcome of another statement "
          "with the same identifier") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  AdmittedRequest First = makeWrite(Sim, "w", true);
  CHECK(errorOf(Sim.call(First)) == "ok");
  AdmittedRequest Second = First;
  Second.m_Statement = "v";
  uint64_t Write = Sim.submit(Second);
  Sim.run(microseconds(600));
  Sim.kill("i0");
  Sim.restart("i0");
  REQUIRE(Sim.failOver());
  CHECK(errorOf(Sim.finish(Write)) == "outcome_unknown/unknown");
}

TEST_CASE("R2: a primary that was suspended during a failover runs what waited "
          "for it, and none of it is acknowledged") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  Sim.suspend("i0", milliseconds(700));
  // It resumes before it learns of the new term.
  Sim.schedule(milliseconds(700),
               [&Sim] { Sim.m_CutFromReplication.insert({"i0"}); });
  uint64_t Write = Sim.submit(makeWrite(Sim, "w", false));
  Sim.run(milliseconds(100));
  REQUIRE(Sim.failOver());
  CHECK(errorOf(Sim.finish(Write)) == "outcome_unknown/unknown");
  CHECK(!containsStatement(*Sim.primary(), "w"));
  CHECK(Sim.instance("i0").m_Executed.contains("w"));
}

TEST_CASE("a write that a replica holds when the primary fails is acknowledged "
          "by the new primary through its identifier") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  // The owner cannot reach the replicas, so it cannot acknowledge the write.
  Sim.partitionOwner(0, "i1");
  Sim.partitionOwner(0, "i2");
  uint64_t Write = Sim.submit(makeWrite(Sim, "w", true));
  Sim.run(milliseconds(20));
  CHECK(Sim.result(Write) == nullptr);
  Sim.clearFaults();
  Sim.kill("i0");
  REQUIRE(Sim.failOver());
  const RequestResult &Result = Sim.finish(Write);
  CHECK(errorOf(Result) == "ok");
  CHECK((Result.m_Position == Position{2, 2}));
}

TEST_CASE("a write refused by a sealed primary runs at the new one, and its "
          "session reads it there") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  uint64_t Term = Sim.beginTerm();
  std::vector<FakeInstance *> Sealed = Sim.sealAll(Term);
  // The owner does not know of the new term yet.
  uint64_t Write = Sim.submit(makeWrite(Sim, "w", false));
  Sim.run(milliseconds(20));
  CHECK(Sim.result(Write) == nullptr);
  Sim.elect(*Sim.promote(Sealed));
  Sim.publish();
  const RequestResult &Written = Sim.finish(Write);
  CHECK(errorOf(Written) == "ok");
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_Position = Written.m_Position;
  CHECK(Sim.call(Read).m_Body == "r|w,");
  // A position of the former term is satisfied by every log of a later term.
  Sim.failOver();
  Sim.run(milliseconds(200));
  CHECK(Sim.call(Read).m_Body == "r|w,");
}

TEST_CASE("a confirmed read is not answered by a former primary that the owner "
          "still takes for the primary") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  Sim.m_Owners[0]->m_IsIsolated = true;
  Sim.m_CutFromReplication = {{"i0"}};
  Sim.m_CutFromControl = {{"i0"}};
  REQUIRE(Sim.failOver());
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_ConfirmedPrimary = true;
  uint64_t Confirmed = Sim.submit(Read);
  Sim.run(milliseconds(100));
  CHECK(Sim.result(Confirmed) == nullptr);
  Sim.m_Owners[0]->m_IsIsolated = false;
  Sim.publish();
  const RequestResult &Result = Sim.finish(Confirmed);
  CHECK(errorOf(Result) == "ok");
  CHECK(Result.m_Instance == *Sim.record().m_Primary);
}

TEST_CASE("a former primary without a majority does not prove that its data "
          "is fresh") {
  Simulation Sim({});
  Sim.run(milliseconds(500));
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r", 100);
  Read.m_Requirement.m_MaxAgeMs = 300;
  REQUIRE(errorOf(Sim.call(Read)) == "ok");
  // i1 still replicates from i0, and i0 answers, but a majority is sealed for a
  // later term.
  Sim.m_Owners[0]->m_IsIsolated = true;
  uint64_t Term = Sim.beginTerm();
  for (const char *Name : {"i1", "i2"})
    REQUIRE(Sim.instance(Name).seal(Term));
  Sim.m_CutFromReplication = {{"i0"}};
  Sim.run(milliseconds(310));
  CHECK(errorOf(Sim.call(Read)) != "ok");
}

TEST_CASE("R3: the connection of a transaction whose caller left before it "
          "began is not used again") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  for (int Index = 0; Index < 8; ++Index) {
    uint64_t Begin = Sim.submit(Sim.request(RequestKind::Begin, ""));
    Sim.run(microseconds(300));
    Sim.cancel(Begin);
    Sim.run(milliseconds(20));
    CHECK(errorOf(Sim.call(
              makeWrite(Sim, "w" + std::to_string(Index), true))) == "ok");
  }
  CHECK(!Sim.instance("i0").m_HasMixedTransactions);
  CHECK(Sim.instance("i0").m_Transactions.empty());
}

TEST_CASE("a new primary is not flooded with what was queued during the "
          "failover") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  Sim.kill("i0");
  Sim.run(milliseconds(20));
  std::vector<uint64_t> Writes;
  for (int Index = 0; Index < 500; ++Index) {
    AdmittedRequest Write = makeWrite(Sim, "w" + std::to_string(Index), false);
    Write.m_TimeLeftMs = 5'000;
    Writes.push_back(Sim.submit(Write));
  }
  Sim.run(milliseconds(600));
  REQUIRE(Sim.failOver());
  Sim.m_MaxOutstanding.clear();
  size_t Acknowledged = 0;
  for (uint64_t Write : Writes)
    Acknowledged += errorOf(Sim.finish(Write)) == "ok" ? 1 : 0;
  CHECK(Acknowledged == 500);
  CHECK(Sim.m_MaxOutstanding.at(*Sim.record().m_Primary) <= 4);
}

TEST_CASE("writes wait while a term has begun without a primary, and are then "
          "reported as not run") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  Sim.beginTerm();
  Sim.publish();
  CHECK(errorOf(Sim.call(makeWrite(Sim, "w", true))) == "no_primary/no");
  CHECK(!containsStatement(Sim.instance("i0"), "w"));
  // Reads that any instance can serve are still served.
  CHECK(errorOf(Sim.call(Sim.request(RequestKind::Read, "r"))) == "ok");
}
