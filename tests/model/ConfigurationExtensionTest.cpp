#include "almondpier/Messages.h"
#include "decision/control/ControlState.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

ChangeOutcome apply(Configuration &Target, const ChangeBody &Body) {
  Change Applied;
  Applied.m_Body = Body;
  return Target.apply(Applied);
}

Configuration makeConfiguration() {
  Configuration Result;
  REQUIRE(apply(Result, RegisterHost{{HostName{"h9"}, {"z9"}, {"10.0.0.9", 1}}})
              .m_Accepted);
  REQUIRE(apply(Result, RegisterHost{{HostName{"h1"}, {"z1"}, {"10.0.0.1", 1}}})
              .m_Accepted);
  return Result;
}

} // namespace

TEST_CASE("configuration extension: an empty one leaves the encoding as "
          "earlier builds read it") {
  Configuration Plain = makeConfiguration();
  CHECK(encode(Plain) ==
        encode(Plain, ConfigurationEncoding::WithoutExtension));
}

TEST_CASE("configuration extension: capacities and evacuations survive the "
          "encoding of configuration and control state") {
  Configuration Known = makeConfiguration();
  SetHostCapacity Capacity{HostName{"h1"}, {2'000, 120}};
  REQUIRE(apply(Known, Capacity).m_Accepted);
  REQUIRE(apply(Known, EvacuateZone{{"z1"}, true}).m_Accepted);
  CHECK(decodeConfiguration(encode(Known)) == Known);
  CHECK(decodeConfiguration(
            encode(Known, ConfigurationEncoding::WithoutExtension))
            .extension()
            .empty());

  ControlState State;
  uint64_t Index = 0;
  for (const ChangeBody &Body : std::vector<ChangeBody>{
           RegisterHost{{HostName{"h9"}, {"z9"}, {"10.0.0.9", 1}}},
           RegisterHost{{HostName{"h1"}, {"z1"}, {"10.0.0.1", 1}}}, Capacity,
           EvacuateZone{{"z1"}, true}}) {
    Change Proposed;
    Proposed.m_Body = Body;
    ++Index;
    REQUIRE(State.apply(LogEntry{1, Index, encode(Proposed), {}}));
  }
  ControlState Restored = ControlState::decoded(State.encoded());
  CHECK(Restored == State);
  CHECK(Restored.configuration().isEvacuated({"z1"}));
  CHECK_THROWS_AS(ControlState::decoded(State.encoded() + "x"), DecodeError);
}

TEST_CASE("configuration extension: only registered hosts have a capacity") {
  Configuration Known = makeConfiguration();
  CHECK(!apply(Known, SetHostCapacity{HostName{"h2"}, {1, 1}}).m_Accepted);
  REQUIRE(apply(Known, SetHostCapacity{HostName{"h1"}, {1, 1}}).m_Accepted);
  REQUIRE(apply(Known, SetHostCapacity{HostName{"h1"}, {}}).m_Accepted);
  CHECK(Known.hostCapacities().empty());
  REQUIRE(apply(Known, SetHostCapacity{HostName{"h1"}, {1, 1}}).m_Accepted);
  Change Remove;
  Remove.m_ExpectedVersion = Known.version();
  Remove.m_Body = RemoveHost{HostName{"h1"}};
  REQUIRE(Known.apply(Remove).m_Accepted);
  CHECK(Known.hostCapacities().empty());
}

TEST_CASE("configuration extension: evacuations repeat without effect and the "
          "later of two opposite orders counts") {
  Configuration Known = makeConfiguration();
  uint64_t Version = Known.version();
  for (int Count = 0; Count < 2; ++Count)
    CHECK(apply(Known, EvacuateZone{{"z1"}, true}).m_Accepted);
  CHECK(Known.isEvacuated({"z1"}));
  for (int Count = 0; Count < 2; ++Count)
    CHECK(apply(Known, EvacuateZone{{"z1"}, false}).m_Accepted);
  CHECK(!Known.isEvacuated({"z1"}));
  CHECK(Known.version() == Version);
  REQUIRE(apply(Known, EvacuateZone{{"z1"}, true}).m_Accepted);
  CHECK(!apply(Known, EvacuateZone{{"z9"}, true}).m_Accepted);
  CHECK(!apply(Known, EvacuateZone{{""}, true}).m_Accepted);
  CHECK(!apply(Known, EvacuateZone{{std::string(65, 'z')}, true}).m_Accepted);
}
