#include "consensus/RandomCluster.h"

#include "decision/Invariant.h"

#include <doctest/doctest.h>

using namespace almondpier;

namespace {

constexpr uint64_t kSteps = 10'000;

/// Runs seeds until a check fails; returns its message, or nothing.
std::string firstFailure(Sabotage Broken, uint64_t Runs) {
  for (uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    try {
      RandomCluster(Seed, Broken).run(kSteps);
    } catch (const CheckFailure &Failure) {
      return Failure.what();
    } catch (const InvariantViolation &Failure) {
      return Failure.what();
    }
  }
  return {};
}

} // namespace

TEST_CASE("consensus: fixed seeds of random faults break no check") {
  RandomStatistics Total;
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    RandomStatistics Run = RandomCluster(Seed).run(kSteps);
    Total.m_LostDisks += Run.m_LostDisks;
    Total.m_Installs += Run.m_Installs;
    Total.m_Reads += Run.m_Reads;
    Total.m_Promotions += Run.m_Promotions;
  }
  // The runs reach the paths that they are meant to check.
  CHECK(Total.m_LostDisks > 50);
  CHECK(Total.m_Installs > 50);
  CHECK(Total.m_Reads > 1'000);
  CHECK(Total.m_Promotions > 50);
}

TEST_CASE("consensus: a seed replays exactly") {
  RandomStatistics First = RandomCluster(5).run(kSteps);
  RandomStatistics Second = RandomCluster(5).run(kSteps);
  CHECK(First.m_Committed == Second.m_Committed);
  CHECK(First.m_Reads == Second.m_Reads);
  CHECK(First.m_LeaseSteps == Second.m_LeaseSteps);
}

TEST_CASE("consensus: the random runs find a lease that outlasts the election "
          "timeout") {
  Sabotage Broken;
  Broken.m_LongLease = true;
  CHECK(firstFailure(Broken, 50) == "two members hold a lease");
}

TEST_CASE("consensus: the random runs find reads without a round") {
  Sabotage Broken;
  Broken.m_ReadWithoutRound = true;
  CHECK(firstFailure(Broken, 50).find("a read is answered") == 0);
}

TEST_CASE("consensus: the random runs find entries lost after their sync") {
  Sabotage Broken;
  Broken.m_LoseSyncedEntries = true;
  CHECK(!firstFailure(Broken, 50).empty());
}

TEST_CASE("consensus: the random runs find a lost disk that returns with its "
          "old identity") {
  Sabotage Broken;
  Broken.m_KeepIdentifier = true;
  CHECK(!firstFailure(Broken, 50).empty());
}
