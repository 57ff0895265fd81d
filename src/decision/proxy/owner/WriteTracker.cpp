#include "decision/proxy/owner/WriteTracker.h"

#include <algorithm>

namespace almondpier {

void WriteTracker::add(PendingRequest &Request) {
  Request.m_Stage = RequestStage::WaitingForMajority;
  Request.m_PositionPlace = m_Waiting.emplace(Request.m_Entry, &Request);
}

void WriteTracker::remove(PendingRequest &Request) {
  m_Waiting.erase(Request.m_PositionPlace);
  Request.m_Stage = RequestStage::New;
}

Position WriteTracker::majorityPosition(const GroupView &View) {
  size_t Majority = View.record().majority();
  std::vector<Position> Reported;
  Reported.reserve(View.instances().size());
  for (const std::unique_ptr<Instance> &Member : View.instances())
    Reported.push_back(Member->m_InTermPosition);
  std::sort(Reported.begin(), Reported.end(), std::greater<>());
  // With the positions in descending order, a majority of one term is a run of
  // that length; the last of the first such run has the highest index.
  for (size_t First = 0; First + Majority <= Reported.size(); ++First) {
    Position Last = Reported[First + Majority - 1];
    if (Last.m_Term == Reported[First].m_Term)
      return Last;
  }
  return {};
}

void WriteTracker::resolve(const GroupView &View,
                           std::vector<PendingRequest *> &Safe,
                           std::vector<PendingRequest *> &Unresolved) {
  if (m_Waiting.empty())
    return;
  Position Held = majorityPosition(View);
  while (!m_Waiting.empty() && m_Waiting.begin()->first <= Held) {
    PendingRequest &Request = *m_Waiting.begin()->second;
    bool IsHeld = Request.m_Entry.m_Term == Held.m_Term;
    (IsHeld ? Safe : Unresolved).push_back(&Request);
    m_Waiting.erase(m_Waiting.begin());
    Request.m_Stage = RequestStage::New;
  }
}

void WriteTracker::askForPositions(GroupView &View, uint64_t &NextId,
                                   ProxyActions &Actions, Time Now) const {
  if (m_Waiting.empty())
    return;
  Position Lowest = m_Waiting.begin()->first;
  // After a failover the entry that begins the new term is awaited.
  const DatabaseRecord &Record = View.record();
  if (Lowest.m_Term < Record.m_PrimaryTerm &&
      !Record.m_History.starts().empty())
    Lowest = Position{Record.m_PrimaryTerm,
                      Record.m_History.starts().back().m_StartIndex + 1};
  for (const std::unique_ptr<Instance> &Member : View.instances())
    if (Member->m_InTermPosition < Lowest)
      View.waitFor(*Member, Lowest, NextId, Actions, Now);
}

} // namespace almondpier
