#include "proxy/ProxyFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a session reads its own write through another proxy, which fails "
          "when the position is not carried") {
  ProxyFleet Fleet(3);
  Fleet.m_Group.m_Lag = seconds(5);
  REQUIRE(Fleet.start());
  ReplyToCaller Written =
      Fleet.call(0, Fleet.request(RequestKind::Write, "\"a\""));
  REQUIRE(!Written.m_Error);
  for (size_t Host = 0; Host < 3; ++Host) {
    ReplyToCaller Read = Fleet.call(
        Host, Fleet.request(RequestKind::Read, "", Written.m_SessionToken));
    CHECK(!Read.m_Error);
    CHECK(Read.m_Body == "\"a\"");
  }
}
