/// \file
/// Runs random requests and faults against the owner side until a promise is
/// broken. Usage: random-owner [--seed N] [--runs N] [--steps N]
#include "owner/RandomOwner.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

int main(int Count, char **Arguments) {
  uint64_t Seed = 1;
  uint64_t Runs = 100;
  int Steps = 2'000;
  for (int Index = 1; Index + 1 < Count; Index += 2) {
    uint64_t Value = std::strtoull(Arguments[Index + 1], nullptr, 10);
    if (std::strcmp(Arguments[Index], "--seed") == 0)
      Seed = Value;
    else if (std::strcmp(Arguments[Index], "--runs") == 0)
      Runs = Value;
    else if (std::strcmp(Arguments[Index], "--steps") == 0)
      Steps = static_cast<int>(Value);
  }
  size_t Acknowledged = 0;
  size_t Unknown = 0;
  size_t Reads = 0;
  size_t ReplicaReads = 0;
  size_t Terms = 0;
  int Faults = 0;
  for (uint64_t Run = Seed; Run < Seed + Runs; ++Run) {
    std::string Fault;
    try {
      almondpier::testing::RandomOwner Driver(Run);
      Fault = Driver.run(Steps);
      Acknowledged += Driver.acknowledged();
      Unknown += Driver.unknown();
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
