#include "decision/proxy/OwnerController.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

/// Returns the number of probes that a host sends in ten seconds when it
/// observes this many databases with three instances each and every probe is
/// answered.
size_t probesInTenSeconds(size_t Databases, bool &IsReportedUnhealthy) {
  ProxyBlackboard Board;
  HostName Self{"host"};
  Time Now{};
  for (size_t Database = 0; Database < Databases; ++Database)
    for (int Index = 0; Index < 3; ++Index) {
      InstanceRecord Instance;
      Instance.m_Database.m_Value = "database-" + std::to_string(Database);
      Instance.m_Name.m_Value = "instance-" + std::to_string(Index);
      Instance.m_StatementEndpoint = Endpoint{"192.0.2.1", 1};
      Board.m_Configuration.apply({"", 0, "", 0, RegisterInstance{Instance}});
      Board.m_Observers[Instance.m_Database] = {Self};
    }
  Board.m_FreshAt = Now;
  OwnerController Owner({Self, {"zone"}, 1}, Board);
  Owner.onConfigurationChanged(Now);
  size_t Probes = 0;
  constexpr int kTicks = 2'000;
  for (int Tick = 0; Tick < kTicks; ++Tick) {
    Now += std::chrono::milliseconds(5);
    Board.m_FreshAt = Now;
    Owner.tick(Now);
    size_t Instance = 0;
    for (const ProxyAction &Action : Owner.takeActions()) {
      const ProbeInstance *Probe = std::get_if<ProbeInstance>(&Action);
      if (Probe == nullptr)
        continue;
      ++Probes;
      InstanceName Name{"instance-" + std::to_string(Instance++ % 3)};
      Owner.handle(
          ProbeAnswered{Probe->m_Probe, InstanceStatus{Name, {}, 0, false}},
          Now);
    }
    for (const InstanceReport &Report : Board.m_Reports)
      IsReportedUnhealthy |= Report.m_UnreachableMs > 0;
  }
  return Probes;
}

} // namespace

TEST_CASE("owner: few instances are probed every 100 ms, many at most 60 times "
          "a second in all; guards against a control cost that grows with the "
          "number of databases") {
  bool IsReportedUnhealthy = false;
  CHECK(probesInTenSeconds(1, IsReportedUnhealthy) >= 290);
  CHECK(probesInTenSeconds(7, IsReportedUnhealthy) <= 640);
  CHECK(probesInTenSeconds(20, IsReportedUnhealthy) <= 660);
  CHECK(!IsReportedUnhealthy);
}
