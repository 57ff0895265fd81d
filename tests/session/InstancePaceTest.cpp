#include "session/SessionFleet.h"

#include <doctest/doctest.h>

using namespace almondpier;
using namespace almondpier::sessiontest;

namespace {

constexpr double kUsual = 5;
constexpr double kReferenceMs = 20;

/// Lets an instance answer for Length. It takes BaseMs for each statement while
/// it is cold, and as long as the others afterwards. Returns when the ramp
/// ended, and the highest limit while it was cold.
struct RampResult {
  std::optional<Duration> m_Ended;
  double m_MaxColdLimit = 0;
};
RampResult runRamp(double ColdFactor, Duration ColdTime, Duration Length) {
  InstancePace Pace;
  Time Start{std::chrono::hours(1)};
  Time Now = Start;
  Pace.begin(Now);
  RampResult Result;
  while (Now - Start < Length && Pace.isRamping()) {
    bool IsCold = Now - Start < ColdTime;
    // An instance with few slots slows down with the load that it gets.
    double Load = std::max(1.0, Pace.limit() / 3);
    double LatencyMs = kReferenceMs * (IsCold ? ColdFactor * Load : 1);
    Now += milliseconds(static_cast<int64_t>(LatencyMs / Pace.limit()) + 1);
    if (IsCold)
      Result.m_MaxColdLimit = std::max(Result.m_MaxColdLimit, Pace.limit());
    Pace.onAnswered(LatencyMs, kReferenceMs, kUsual, Now);
  }
  if (!Pace.isRamping())
    Result.m_Ended = Now - Start;
  return Result;
}

} // namespace

TEST_CASE("instance pace: an instance that answers well gets its usual load "
          "within a few rounds") {
  // Guards against an instance that is left idle after its return.
  RampResult Result = runRamp(1, Duration::zero(), std::chrono::seconds(10));
  REQUIRE(Result.m_Ended);
  CHECK(*Result.m_Ended <= milliseconds(100));
}

TEST_CASE("instance pace: an instance that is cold by a factor of 6 for 4 s is "
          "held back, never idle, and has its usual load soon after") {
  // Guards against an instance that is flooded at its return.
  RampResult Result =
      runRamp(6, std::chrono::seconds(4), std::chrono::seconds(10));
  CHECK(Result.m_MaxColdLimit >= 1);
  CHECK(Result.m_MaxColdLimit <= 3);
  REQUIRE(Result.m_Ended);
  CHECK(*Result.m_Ended >= std::chrono::seconds(4));
  CHECK(*Result.m_Ended <= std::chrono::seconds(5));
}

TEST_CASE("instance pace: a ramp ends in any case, and a second return begins "
          "another one") {
  RampResult Result =
      runRamp(6, std::chrono::hours(1), std::chrono::seconds(20));
  REQUIRE(Result.m_Ended);
  CHECK(*Result.m_Ended <= InstancePace::kMaxRampTime + milliseconds(500));
  InstancePace Pace;
  CHECK(!Pace.isRamping());
  Pace.begin(Time());
  Pace.onAnswered(kReferenceMs, 0, kUsual, Time());
  CHECK(Pace.limit() == 2);
  Pace.onFailed(Time() + milliseconds(100));
  CHECK(Pace.limit() < 2);
  Pace.onFailed(Time() + milliseconds(200));
  CHECK(Pace.limit() == 1);
  Pace.begin(Time() + milliseconds(300));
  CHECK(Pace.limit() == 1);
}

// Guards against a crowd that meets a new primary: all that was queued for the
// former one would be sent to it at once.
TEST_CASE("instance pace: statements that waited for a promotion reach the new "
          "primary one by one at first") {
  SessionFleet Fleet(FleetShape{});
  std::vector<size_t> Sessions;
  for (size_t Host = 0; Host < 3; ++Host)
    for (int Count = 0; Count < 10; ++Count)
      Sessions.push_back(Fleet.open(Host, "primary"));
  for (size_t Session : Sessions)
    CHECK(!Fleet.sendAndWait(Session, StatementKind::Write).m_Error);
  size_t Reached = 0;
  Time FirstAt;
  Fleet.m_OnStatement = [&](size_t /*Host*/,
                            const SessionFleet::Instance &Target,
                            const Statement &Sent) {
    if (&Target != &Fleet.instance(0, 1) || Sent.m_Kind != StatementKind::Write)
      return;
    if (Reached == 0)
      FirstAt = Fleet.m_Now;
    // The work of a statement takes 20 ms.
    Reached += Fleet.m_Now - FirstAt < milliseconds(20) ? 1 : 0;
  };
  Fleet.promote(0, 1);
  Fleet.run(milliseconds(300));
  for (size_t Session : Sessions)
    Fleet.send(Session, StatementKind::Write);
  Fleet.run(std::chrono::seconds(2));
  // One from each host that acts as an owner.
  CHECK(Reached >= 1);
  CHECK(Reached <= 3);
  size_t Served = 0;
  for (size_t Session : Sessions)
    Served += Fleet.m_Sessions[Session].m_Replies.size() == 2 &&
                      !Fleet.m_Sessions[Session].m_Replies.back().m_Error
                  ? 1
                  : 0;
  CHECK(Served == Sessions.size());
}
