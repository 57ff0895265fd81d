/// \file
/// Runs random requests and faults against the owner side until a promise is
/// broken, and prints the seeds of runs that broke one.
#include "owner/RandomOwnerTest.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <exception>

ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint64_t, runs, 100, "number of runs, each with the next seed");
ABSL_FLAG(int, steps, 2'000, "steps with faults per run");

int main(int Count, char **Arguments) {
  absl::ParseCommandLine(Count, Arguments);
  uint64_t Seed = absl::GetFlag(FLAGS_seed);
  uint64_t Runs = absl::GetFlag(FLAGS_runs);
  int Steps = absl::GetFlag(FLAGS_steps);
  size_t Acknowledged = 0;
  size_t Unknown = 0;
  size_t Reads = 0;
  size_t ReplicaReads = 0;
  size_t Terms = 0;
  int Faults = 0;
  for (uint64_t Run = Seed; Run < Seed + Runs; ++Run) {
    std::string Fault;
    try {
      almondpier::testing::RandomOwnerTest Driver(Run);
      Fault = Driver.run(Steps);
      Acknowledged += Driver.acknowledged();
      Unknown += Driver.unknownOutcomes();
      Reads += Driver.reads();
      ReplicaReads += Driver.replicaReads();
      Terms += Driver.failovers();
    } catch (const std::exception &Thrown) {
      Fault = Thrown.what();
    }
    if (Fault.empty())
      continue;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(Run),
                Fault.c_str());
    ++Faults;
  }
  std::printf("%llu runs, %d faults; %zu writes acknowledged, %zu unknown, "
              "%zu reads (%zu by replicas), %zu terms\n",
              static_cast<unsigned long long>(Runs), Faults, Acknowledged,
              Unknown, Reads, ReplicaReads, Terms);
  return Faults == 0 ? 0 : 1;
}
