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
                          bool HasId = true) {
  AdmittedRequest Made = Sim.request(RequestKind::Write, Text);
  if (HasId)
    Made.m_RequestId = "org/" + Text;
  return Made;
}

} // namespace

TEST_CASE("a write is acknowledged by a majority and then read from a replica "
          "by its session") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  const RequestResult &Written = Sim.call(makeWrite(Sim, "a"));
  CHECK(errorOf(Written) == "ok");
  CHECK((Written.m_Position == Position{1, 2}));
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_Position = Written.m_Position;
  const RequestResult &Seen = Sim.call(Read);
  CHECK(errorOf(Seen) == "ok");
  CHECK(Seen.m_Body == "r|a,");
  CHECK(Seen.m_ServedByReplica);
}

TEST_CASE("a write is not acknowledged because a later term began at a higher "
          "index on the log of an older term") {
  Simulation Sim({});
  Sim.run(milliseconds(50));
  // i0 is primary in term 1 and has three entries that are not replicated.
  Sim.m_CutFromReplication = {{"i0"}};
  for (const char *Text : {"x", "y", "z"}) {
    AdmittedRequest Unreplicated = makeWrite(Sim, Text, false);
    Unreplicated.m_TimeLeftMs = 50;
    CHECK(errorOf(Sim.call(Unreplicated)) == "outcome_unknown/unknown");
  }
  // i1 is primary in term 2 and cannot replicate.
  Sim.m_CutFromReplication = {{"i0"}, {"i1"}, {"i2"}};
  Sim.m_CutFromControl = {{"i0"}};
  REQUIRE(Sim.failOver());
  uint64_t Lost = Sim.submit(makeWrite(Sim, "w", false));
  Sim.run(milliseconds(50));
  CHECK(Sim.result(Lost) == nullptr);
  CHECK((Sim.instance("i1").position() == Position{2, 3}));
  // i0 returns, becomes primary in term 3 and replicates to i2.
  Sim.m_CutFromControl = {{"i1"}};
  Sim.m_CutFromReplication = {{"i1"}};
  REQUIRE(Sim.failOver());
  CHECK((Sim.record().m_History.starts().back() == TermStart{3, 4}));
  CHECK(errorOf(Sim.finish(Lost)) == "outcome_unknown/unknown");
}
