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

AdmittedRequest writeOf(const Simulation &Sim, const std::string &Text,
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
  const RequestResult &Written = Sim.call(writeOf(Sim, "a"));
  CHECK(errorOf(Written) == "ok");
  CHECK((Written.m_Position == Position{1, 2}));
  AdmittedRequest Read = Sim.request(RequestKind::Read, "r");
  Read.m_Requirement.m_Position = Written.m_Position;
  const RequestResult &Seen = Sim.call(Read);
  CHECK(errorOf(Seen) == "ok");
  CHECK(Seen.m_Body == "r|a,");
  CHECK(Seen.m_ServedByReplica);
}
