#include "session/SessionFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

/// Time from the return of power until service must have recovered.
constexpr Duration kRecoveryLimit = std::chrono::seconds(15);

/// 300 hosts with a share of 0.12 of a core and links of 2 Mbit/s, of which
/// five have a control host beside them, and 190 organisations.
FleetShape largeFleet() {
  FleetShape Shape;
  Shape.m_Hosts = 300;
  Shape.m_Groups = 20;
  Shape.m_Organisations = 190;
  Shape.m_Slots = 4;
  Shape.m_ConnectionLimit = 216;
  Shape.m_KeysPerOrganisation = 2;
  Shape.m_IdleRoutes = 100;
  Shape.m_ControlHosts = 5;
  Shape.m_HostCapacity = NodeCapacity{250, 0.12};
  return Shape;
}

} // namespace

// Guards against a restart after which hosts never obtain the configuration: a
// snapshot that took longer than the timeout of a poll was requested again from
// the next control host, all of it, by 300 hosts at the same time.
TEST_CASE("session recovery: all hosts return with empty memory behind slow "
          "links") {
  SessionFleet Fleet(largeFleet());
  REQUIRE(Fleet.readyHosts() == Fleet.m_Shape.m_Hosts);
  MESSAGE("bytes of the configuration: ",
          encode(Fleet.m_Cluster.board(0).configuration()).size());
  size_t Elections = Fleet.m_Cluster.elections();
  Fleet.losePower(milliseconds(840), milliseconds(300));
  Time Lost = Fleet.m_Now;
  bool IsBack = Fleet.runUntil(
      [&] { return Fleet.readyHosts() == Fleet.m_Shape.m_Hosts; },
      kRecoveryLimit);
  MESSAGE("ready hosts: ", Fleet.readyHosts(), " after ",
          (Fleet.m_Now - Lost) / milliseconds(1), " ms, elections ",
          Fleet.m_Cluster.elections() - Elections);
  double Timeouts = 0;
  double Snapshots = 0;
  for (size_t Index = 0; Index < Fleet.m_Shape.m_Hosts; ++Index) {
    Timeouts += Fleet.counter(Index, "almondpier_poll_timeouts_total");
    Snapshots += Fleet.counter(Index, "almondpier_snapshots_applied_total");
  }
  MESSAGE("poll timeouts: ", Timeouts, ", snapshots applied: ", Snapshots);
  for (size_t Index = 0; Index < Fleet.m_Cluster.size(); ++Index)
    MESSAGE("control host ", Index, " sent ",
            Fleet.m_Network.sentBytes(SessionFleet::kControlBase + Index),
            " bytes");
  CHECK(IsBack);
}
