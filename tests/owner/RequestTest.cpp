#include "owner/RandomOwnerTest.h"

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

AdmittedRequest withOtherOrganisation(AdmittedRequest Request) {
  Request.m_Organisation = {"other"};
  Request.m_Key = {"other-key"};
  return Request;
}

AdmittedRequest statementIn(const Simulation &Sim, RequestKind Kind,
                            const std::string &Text,
                            const RequestResult &Begun) {
  AdmittedRequest Made = Sim.request(Kind, Text);
  Made.m_Transaction = Begun.m_Transaction;
  return Made;
}

double counterOf(const Simulation &Sim, const std::string &Name) {
  for (const Counter &Entry : Sim.m_Owners[0]->m_Controller->counters())
    if (Entry.m_Name == "almondpier_owner_" + Name)
      return Entry.m_Value;
  return -1;
}

} // namespace

TEST_CASE("R3: statements of interleaved transactions stay apart, and those of "
          "another caller are refused") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  RequestResult First = Sim.call(Sim.request(RequestKind::Begin, ""));
  RequestResult Second =
      Sim.call(withOtherOrganisation(Sim.request(RequestKind::Begin, "")));
  REQUIRE(First.m_Transaction);
  REQUIRE(Second.m_Transaction);
  uint64_t A = Sim.submit(statementIn(Sim, RequestKind::Execute, "a:1", First));
  uint64_t B = Sim.submit(withOtherOrganisation(
      statementIn(Sim, RequestKind::Execute, "b:1", Second)));
  CHECK(errorOf(Sim.finish(A)) == "ok");
  CHECK(errorOf(Sim.finish(B)) == "ok");
  CHECK(errorOf(Sim.call(statementIn(Sim, RequestKind::Execute, "a:2",
                                     Second))) == "foreign_transaction/no");
  CHECK(errorOf(Sim.call(withOtherOrganisation(
            statementIn(Sim, RequestKind::Commit, "", First)))) ==
        "foreign_transaction/no");
  CHECK(errorOf(Sim.call(withOtherOrganisation(
            statementIn(Sim, RequestKind::Rollback, "", Second)))) == "ok");
  CHECK(errorOf(Sim.call(
            statementIn(Sim, RequestKind::Execute, "a:2", First))) == "ok");
  CHECK(errorOf(Sim.call(statementIn(Sim, RequestKind::Commit, "", First))) ==
        "ok");
  CHECK(Sim.primary()->contents() == "a:1,a:2,");
  CHECK(!Sim.primary()->m_HasMixedTransactions);
  CHECK(errorOf(Sim.call(statementIn(Sim, RequestKind::Execute, "a:3",
                                     First))) == "transaction_lost/no");
}

TEST_CASE("a transaction is rolled back when it is idle for 10 s, open for "
          "30 s, or its caller disconnects during a statement") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  RequestResult Idle = Sim.call(Sim.request(RequestKind::Begin, ""));
  Sim.run(seconds(9));
  CHECK(Sim.primary()->m_Transactions.size() == 1);
  CHECK(Sim.m_Owners[0]->m_Controller->workInProgress() == 1);
  Sim.run(milliseconds(1'100));
  CHECK(Sim.primary()->m_Transactions.empty());
  CHECK(Sim.m_Owners[0]->m_Controller->workInProgress() == 0);

  RequestResult Long = Sim.call(Sim.request(RequestKind::Begin, ""));
  for (int Second = 0; Second < 29; ++Second) {
    Sim.call(statementIn(Sim, RequestKind::Execute, "a:x", Long));
    Sim.run(milliseconds(990));
  }
  CHECK(Sim.primary()->m_Transactions.size() == 1);
  Sim.run(milliseconds(1'500));
  CHECK(Sim.primary()->m_Transactions.empty());

  RequestResult Left = Sim.call(Sim.request(RequestKind::Begin, ""));
  uint64_t Step =
      Sim.submit(statementIn(Sim, RequestKind::Execute, "a:y", Left));
  Sim.run(microseconds(300));
  Sim.cancel(Step);
  Sim.run(milliseconds(10));
  CHECK(Sim.primary()->m_Transactions.empty());
  CHECK(Sim.result(Step) == nullptr);
  CHECK(Sim.primary()->contents().empty());
}

TEST_CASE("transactions cannot take all connections of an instance") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  for (int Index = 0; Index < 20; ++Index)
    Sim.submit(Sim.request(RequestKind::Begin, "", 200));
  Sim.run(milliseconds(100));
  CHECK(counterOf(Sim, "transactions_begun_total") == 6);
  CHECK(Sim.m_OpenConnections.at({"i0"}) <= 10);
  CHECK(errorOf(Sim.call(Sim.request(RequestKind::Write, "w"))) == "ok");
}

TEST_CASE("R8: the answer to an abandoned read never reaches another request") {
  Simulation::Options Options;
  Options.m_ServiceTime = milliseconds(30);
  Simulation Sim(Options);
  Sim.run(milliseconds(300));
  for (int Index = 0; Index < 40; ++Index) {
    std::string Text = "r" + std::to_string(Index);
    uint32_t TimeLeftMs = Index % 2 == 0 ? 20 : 1'000;
    uint64_t Read =
        Sim.submit(Sim.request(RequestKind::Read, Text, TimeLeftMs));
    Sim.run(milliseconds(7));
    if (Index % 2 == 1) {
      const RequestResult &Result = Sim.finish(Read);
      CHECK(errorOf(Result) == "ok");
      CHECK(Result.m_Body == Text + "|");
    }
  }
  CHECK(counterOf(Sim, "answers_abandoned_total") > 5);
}

TEST_CASE("a replica that lags or does not answer probes serves no read older "
          "than Max-Age-Ms") {
  Simulation Sim({});
  Sim.run(milliseconds(500));
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_MaxAgeMs = 400;
  CHECK(Sim.call(Read).m_ServedByReplica);
  Sim.m_CutFromReplication = {{"i1"}, {"i2"}};
  // Replication to i2 resumes until the write is acknowledged.
  uint64_t Write = Sim.submit(Sim.request(RequestKind::Write, "w"));
  Sim.run(milliseconds(20));
  Sim.m_CutFromReplication = {{"i1"}};
  CHECK(errorOf(Sim.finish(Write)) == "ok");
  Time Written = Sim.now();
  size_t ByLagging = 0;
  for (int Step = 0; Step < 100; ++Step) {
    const RequestResult &Result = Sim.call(Read);
    REQUIRE(errorOf(Result) == "ok");
    if (Result.m_Instance.m_Value == "i1") {
      ++ByLagging;
      CHECK(Sim.now() - Written <= milliseconds(400));
    } else {
      CHECK(Result.m_Body == "r|w,");
    }
    Sim.run(milliseconds(10));
  }
  CHECK(ByLagging > 0);
  // A replica that does not answer probes is not used, although it is up to
  // date.
  Sim.partitionOwner(0, "i2");
  Sim.run(milliseconds(450));
  const RequestResult &Result = Sim.call(Read);
  CHECK(Result.m_Instance.m_Value == "i0");
  CHECK(Result.m_Body == "r|w,");
}

TEST_CASE("a read waits at most 20 ms for a replica to catch up before the "
          "primary serves it") {
  Simulation Sim({});
  Sim.run(milliseconds(500));
  Sim.m_CutFromReplication = {{"i1"}, {"i2"}};
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_Position = {1, 2};
  Sim.submit(Sim.request(RequestKind::Write, "w"));
  Sim.run(milliseconds(5));
  Time Start = Sim.now();
  const RequestResult &ByPrimary = Sim.call(Read);
  CHECK(ByPrimary.m_Body == "r|w,");
  CHECK(!ByPrimary.m_ServedByReplica);
  CHECK(Sim.now() - Start >= milliseconds(20));
  CHECK(Sim.now() - Start <= milliseconds(30));
  uint64_t CaughtUp = Sim.submit(Read);
  Sim.run(milliseconds(5));
  Sim.m_CutFromReplication.clear();
  CHECK(Sim.finish(CaughtUp).m_ServedByReplica);
}

TEST_CASE("R11: a draining instance gets nothing new, and its transactions end "
          "within the drain time") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  RequestResult Begun = Sim.call(Sim.request(RequestKind::Begin, ""));
  Sim.change(DrainInstance{{"db"}, {"i0"}, true});
  Sim.change(DrainInstance{{"db"}, {"i1"}, true});
  Sim.publish();
  std::map<std::string, size_t> Sent;
  Sim.m_OnSend = [&](const InstanceName &Name, const SendStatement &) {
    ++Sent[Name.m_Value];
  };
  CHECK(errorOf(Sim.call(Sim.request(RequestKind::Write, "w"))) ==
        "no_primary/no");
  for (int Index = 0; Index < 20; ++Index)
    CHECK(Sim.call(Sim.request(RequestKind::Read, "r")).m_Instance.m_Value ==
          "i2");
  CHECK(Sent["i0"] + Sent["i1"] == 0);
  CHECK(errorOf(Sim.call(
            statementIn(Sim, RequestKind::Execute, "a:1", Begun))) == "ok");
  CHECK(Sent["i0"] == 1);
  Sim.run(seconds(3));
  CHECK(Sim.primary()->m_Transactions.empty());
  CHECK(Sim.m_OpenConnections.at({"i0"}) == 0);
  CHECK(Sim.m_OpenConnections.at({"i1"}) == 0);
}

TEST_CASE("an organisation gets its share while another sends ten times its "
          "rate") {
  Simulation::Options Options;
  Options.m_ServiceTime = milliseconds(3);
  Simulation Sim(Options);
  Sim.run(milliseconds(300));
  // Three slots serve about 1,000 writes/s, half of them for each organisation.
  size_t Served = 0;
  size_t ServedOther = 0;
  Sim.m_OnCompleted = [&](uint64_t Ticket, const RequestResult &Result) {
    if (!Result.m_Error)
      ++(Ticket % 11 == 0 ? Served : ServedOther);
  };
  Duration Interval(180);
  size_t Sent = 0;
  for (int Step = 0; Step < 20'000; ++Step) {
    AdmittedRequest Write = Sim.request(RequestKind::Write, "w", 1'000);
    // Tickets count up from 1. Every eleventh request is from the other
    // organisation.
    if ((Step + 1) % 11 == 0) {
      ++Sent;
      Write = withOtherOrganisation(Write);
    }
    Sim.submit(Write);
    Sim.run(Interval);
  }
  Sim.run(seconds(2));
  CHECK(static_cast<double>(Served) >= 0.95 * static_cast<double>(Sent));
  CHECK(ServedOther > Served);
}

TEST_CASE("R9: a request refused early did not run, and the rest end in time") {
  Simulation::Options Options;
  Options.m_ServiceTime = milliseconds(10);
  Simulation Sim(Options);
  Sim.run(milliseconds(300));
  Sim.call(Sim.request(RequestKind::Write, "first"));
  std::map<uint64_t, std::string> Texts;
  for (int Index = 0; Index < 3'000; ++Index) {
    std::string Text = "w" + std::to_string(Index);
    Texts[Sim.submit(Sim.request(RequestKind::Write, Text, 500))] = Text;
  }
  Sim.run(seconds(1));
  size_t Refused = 0;
  size_t Served = 0;
  size_t Late = 0;
  for (const std::pair<const uint64_t, std::string> &Entry : Texts) {
    const RequestResult &Result = Sim.m_Results.at(Entry.first);
    std::string Outcome = errorOf(Result);
    bool Ran = Sim.instance("i0").m_Executed.contains(Entry.second);
    if (Outcome == "ok") {
      ++Served;
    } else if (Outcome == "overloaded/no") {
      ++Refused;
      CHECK(Result.m_Error->m_RetryAfterMs > 0);
      CHECK(!Ran);
    } else {
      ++Late;
    }
  }
  CHECK(Sim.m_CompletionError.empty());
  CHECK(Refused > 2'500);
  CHECK(Served > 100);
  CHECK(Late <= 8);
}

TEST_CASE("R6: a revoked key stops queued requests and open transactions") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  RequestResult Begun = Sim.call(Sim.request(RequestKind::Begin, ""));
  Sim.beginTerm();
  Sim.publish();
  uint64_t Write = Sim.submit(Sim.request(RequestKind::Write, "w"));
  Sim.change(RevokeKey{{"key"}});
  Sim.publish();
  CHECK(errorOf(Sim.call(statementIn(Sim, RequestKind::Execute, "a:1",
                                     Begun))) == "transaction_lost/no");
  CHECK(errorOf(Sim.call(Sim.request(RequestKind::Read, "r"))) ==
        "unknown_key/no");
  Sim.elect(*Sim.promote(Sim.sealAll(2)));
  Sim.publish();
  CHECK(errorOf(Sim.finish(Write)) == "unknown_key/no");
  Sim.run(milliseconds(10));
  CHECK(Sim.primary()->m_Transactions.empty());
}

TEST_CASE("requests wait up to 2 s for a fresh configuration and are then "
          "refused") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  Sim.m_Owners[0]->m_IsIsolated = true;
  Sim.run(milliseconds(1'600));
  uint64_t Refused = Sim.submit(Sim.request(RequestKind::Write, "w", 5'000));
  Sim.run(milliseconds(1'900));
  uint64_t Held = Sim.submit(Sim.request(RequestKind::Write, "v", 5'000));
  CHECK(Sim.result(Refused) == nullptr);
  Sim.run(milliseconds(150));
  REQUIRE(Sim.result(Refused) != nullptr);
  CHECK(errorOf(*Sim.result(Refused)) == "configuration_stale/no");
  CHECK(Sim.result(Held) == nullptr);
  Sim.m_Owners[0]->m_IsIsolated = false;
  CHECK(errorOf(Sim.finish(Held)) == "ok");
}

TEST_CASE("heartbeat reports contain only instances that are unhealthy or "
          "differ from the configuration") {
  Simulation Sim({});
  Sim.run(milliseconds(500));
  const std::vector<InstanceReport> &Reports =
      Sim.m_Owners[0]->m_Board.m_Reports;
  CHECK(Reports.empty());
  Sim.partitionOwner(0, "i1");
  // The last valid answer arrived up to 100 ms before the cut.
  Sim.run(milliseconds(250));
  CHECK(Reports.empty());
  Sim.run(milliseconds(250));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].m_Instance.m_Value == "i1");
  CHECK(Reports[0].m_UnreachableMs > 400);
  Sim.clearFaults();
  Sim.run(milliseconds(300));
  CHECK(Reports.empty());
  Sim.instance("i2").seal(2);
  Sim.run(milliseconds(300));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].m_UnreachableMs == 0);
  CHECK(Reports[0].m_SealedTerm == 2);
}

TEST_CASE("an outcome is found by its request identifier, and a missing one "
          "does not mean that the write did not run") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  AdmittedRequest Write = Sim.request(RequestKind::Write, "w");
  Write.m_RequestId = "org/1";
  Sim.call(Write);
  AdmittedRequest Lookup = Sim.request(RequestKind::Outcome, "");
  Lookup.m_RequestId = "org/1";
  const RequestResult &Found = Sim.call(Lookup);
  CHECK(errorOf(Found) == "ok");
  CHECK((Found.m_Position == Position{1, 2}));
  Lookup.m_RequestId = "org/2";
  CHECK(errorOf(Sim.call(Lookup)) == "not_found/unknown");
  Write.m_Statement = "v";
  CHECK(errorOf(Sim.call(Write)) == "idempotency_mismatch/no");
}

TEST_CASE("random requests and faults violate no guarantee") {
  size_t Acknowledged = 0;
  for (uint64_t Seed : {1, 2, 3, 4, 5, 54, 121, 350, 966}) {
    CAPTURE(Seed);
    RandomOwnerTest Test(Seed);
    CHECK(Test.run(2'000) == "");
    Acknowledged += Test.acknowledged();
  }
  CHECK(Acknowledged > 300);
}
