#include "decision/proxy/owner/ReadRouter.h"

#include <algorithm>
#include <tuple>

namespace almondpier {

bool ReadRouter::satisfies(const GroupMonitor &Monitor,
                           const PendingRequest &Request, uint32_t MaxReadAgeMs,
                           Position Position, Time Now) {
  const ReadRequirement &Requirement = Request.m_Request.m_Requirement;
  if (Requirement.m_MaxAgeMs) {
    std::chrono::milliseconds MaxAge(
        std::min(*Requirement.m_MaxAgeMs, MaxReadAgeMs));
    return Monitor.isFresh(Position, Now - MaxAge);
  }
  if (Requirement.m_ConfirmedPrimary)
    return false;
  // A required position contains the term in which a majority held the write.
  // Every log with an entry of a later term contains the write, so comparing by
  // term first is sufficient.
  return Position >= Requirement.m_Position;
}

ReadRouter::Choice ReadRouter::choose(const GroupMonitor &Monitor,
                                      const PendingRequest &Request,
                                      uint32_t MaxReadAgeMs, Time Now) const {
  using Rank = std::tuple<double, bool, Duration>;
  Choice Result;
  Rank BestRank;
  for (const std::unique_ptr<Instance> &Member : Monitor.instances()) {
    Instance &Candidate = *Member;
    if (&Candidate == Monitor.primary() || Candidate.m_IsDraining ||
        !Candidate.isHealthy(Now) || Candidate.m_Pool.openCount() == 0 ||
        !satisfies(Monitor, Request, MaxReadAgeMs, Candidate.m_Position, Now))
      continue;
    Result.m_HasCandidate = true;
    if (!Candidate.m_Pool.hasCapacity() || Now < Candidate.m_PausedUntil)
      continue;
    Rank CandidateRank(
        static_cast<double>(Candidate.m_Pool.outstandingCount()) /
            static_cast<double>(Candidate.m_Pool.slotCount()),
        Candidate.m_Record.m_Zone != m_Zone, Candidate.m_RoundTripTime);
    if (Result.m_Instance != nullptr && BestRank <= CandidateRank)
      continue;
    BestRank = CandidateRank;
    Result.m_Instance = &Candidate;
  }
  return Result;
}

} // namespace almondpier
