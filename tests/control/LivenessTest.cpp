#include "decision/control/LivenessController.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;

TEST_CASE("control: reports that are spread over several heartbeats count "
          "together for a second; guards against a failover that starts late "
          "when a zone is lost and many instances are reported") {
  ControlBlackboard Board;
  Time Now{std::chrono::hours(1)};
  LivenessController Liveness(Board, Now);
  HostName Host{"h1"};
  auto Report = [](const char *Database) {
    return InstanceReport{{Database}, {"a"}, 500, {}, 0, false};
  };
  auto Known = [&] { return Board.m_Health.at(Host).m_Reports.size(); };
  Liveness.onHeartbeat({Host, true, 0, {Report("races")}, true}, Now);
  Liveness.onHeartbeat({Host, true, 0, {Report("visits")}, true},
                       Now + milliseconds(250));
  CHECK(Known() == 2);
  Liveness.onHeartbeat({Host, true, 0, {Report("races")}, true},
                       Now + milliseconds(500));
  CHECK(Known() == 2);
  Liveness.onHeartbeat({Host, true, 0, {Report("races")}, true},
                       Now + milliseconds(1'250));
  CHECK(Known() == 1);
  Liveness.onHeartbeat({Host, true, 0, {}, false}, Now + milliseconds(1'500));
  CHECK(Known() == 0);
}
