// Runs the replicated log with random faults and prints the first seed that
// breaks a check. The same seed and number of steps replay a run exactly.

#include "consensus/RandomCluster.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint64_t, runs, 100, "number of runs, each with the next seed");
ABSL_FLAG(uint64_t, steps, 20'000, "steps with faults per run");

using namespace almondpier;

int main(int Count, char **Arguments) {
  absl::SetProgramUsageMessage("Runs the replicated log with random faults.");
  absl::ParseCommandLine(Count, Arguments);
  RandomStatistics Total;
  uint64_t First = absl::GetFlag(FLAGS_seed);
  uint64_t Steps = absl::GetFlag(FLAGS_steps);
  for (uint64_t Seed = First; Seed < First + absl::GetFlag(FLAGS_runs);
       ++Seed) {
    try {
      RandomStatistics Run = RandomCluster(Seed).run(Steps);
      Total.m_Committed += Run.m_Committed;
      Total.m_Terms += Run.m_Terms;
      Total.m_Crashes += Run.m_Crashes;
      Total.m_LostDisks += Run.m_LostDisks;
      Total.m_Installs += Run.m_Installs;
      Total.m_Reads += Run.m_Reads;
      Total.m_LeaseSteps += Run.m_LeaseSteps;
      Total.m_Promotions += Run.m_Promotions;
    } catch (const std::exception &Failure) {
      std::cout << "seed " << Seed << " fails: " << Failure.what()
                << "; replay with --seed=" << Seed
                << " --runs=1 --steps=" << Steps << "\n";
      return 1;
    }
  }
  std::cout << absl::GetFlag(FLAGS_runs)
            << " runs without a failure: " << Total.m_Committed << " entries, "
            << Total.m_Terms << " terms, " << Total.m_Crashes << " crashes, "
            << Total.m_LostDisks << " lost disks, " << Total.m_Installs
            << " installs, " << Total.m_Reads << " reads, "
            << Total.m_LeaseSteps << " steps with a lease, "
            << Total.m_Promotions << " promotions\n";
  return 0;
}
