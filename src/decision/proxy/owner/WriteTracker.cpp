#include "decision/proxy/owner/WriteTracker.h"

#include <algorithm>

namespace almondpier {

void WriteTracker::add(PendingRequest &Request) {
  Request.m_Stage = RequestStage::WaitingForMajority;
  Request.m_PositionIterator =
      m_WritesByPosition.emplace(Request.m_EntryPosition, &Request);
}

void WriteTracker::remove(PendingRequest &Request) {
  m_WritesByPosition.erase(Request.m_PositionIterator);
  Request.m_Stage = RequestStage::Unlinked;
}

Position WriteTracker::majorityPosition(const GroupMonitor &Monitor) {
  size_t Majority = Monitor.record().majority();
  std::vector<Position> Reported;
  Reported.reserve(Monitor.instances().size());
  for (const std::unique_ptr<Instance> &Member : Monitor.instances())
    Reported.push_back(Member->m_MatchPosition);
  std::sort(Reported.begin(), Reported.end(), std::greater<>());
  // The positions are in descending order. A majority in one term is a run of
  // that length, and the last position of the first such run is the highest
  // that a majority holds.
  for (size_t First = 0; First + Majority <= Reported.size(); ++First) {
    Position Last = Reported[First + Majority - 1];
    if (Last.m_Term == Reported[First].m_Term)
      return Last;
  }
  return {};
}

void WriteTracker::resolve(const GroupMonitor &Monitor,
                           std::vector<PendingRequest *> &Acknowledged,
                           std::vector<PendingRequest *> &Unresolved) {
  if (m_WritesByPosition.empty())
    return;
  Position HeldPosition = majorityPosition(Monitor);
  while (!m_WritesByPosition.empty() &&
         m_WritesByPosition.begin()->first <= HeldPosition) {
    PendingRequest &Request = *m_WritesByPosition.begin()->second;
    bool IsInSameTerm = Request.m_EntryPosition.m_Term == HeldPosition.m_Term;
    (IsInSameTerm ? Acknowledged : Unresolved).push_back(&Request);
    m_WritesByPosition.erase(m_WritesByPosition.begin());
    Request.m_Stage = RequestStage::Unlinked;
  }
}

void WriteTracker::requestPositions(GroupMonitor &Monitor, uint64_t &NextId,
                                    ProxyActions &Actions, Time Now) const {
  if (m_WritesByPosition.empty())
    return;
  Position Lowest = m_WritesByPosition.begin()->first;
  // After a failover, wait for the first entry of the new term instead.
  const DatabaseRecord &Record = Monitor.record();
  if (Lowest.m_Term < Record.m_PrimaryTerm &&
      !Record.m_History.starts().empty())
    Lowest = Position{Record.m_PrimaryTerm,
                      Record.m_History.starts().back().m_StartIndex + 1};
  for (const std::unique_ptr<Instance> &Member : Monitor.instances())
    if (Member->m_MatchPosition < Lowest)
      Monitor.waitForPosition(*Member, Lowest, NextId, Actions, Now);
}

} // namespace almondpier
