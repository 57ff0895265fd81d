#include "decision/control/OutsideHosts.h"

#include <algorithm>

namespace almondpier {

void OutsideHosts::setSeeds(const std::vector<Endpoint> &Seeds) {
  m_Seeds = std::set<Endpoint>(Seeds.begin(), Seeds.end());
}

void OutsideHosts::onRegistered(const Endpoint &Host, Time Now) {
  remember(Host, Now);
}

void OutsideHosts::onMembership(const Membership &Members, Time Now) {
  std::set<Endpoint> Current;
  for (const std::vector<ControlMember> *Part :
       {&Members.m_Voters, &Members.m_Learners})
    for (const ControlMember &Member : *Part)
      Current.insert(Member.m_Peer);
  if (Current == m_Members)
    return;
  for (const Endpoint &Former : m_Members)
    if (!Current.contains(Former))
      remember(Former, Now - kSilence);
  m_Members = std::move(Current);
}

void OutsideHosts::remember(const Endpoint &Host, Time HeardAt) {
  m_HeardAt[Host] = HeardAt;
  if (m_HeardAt.size() <= kMaxHosts)
    return;
  auto Oldest = std::min_element(
      m_HeardAt.begin(), m_HeardAt.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  m_HeardAt.erase(Oldest);
}

std::set<Endpoint> OutsideHosts::silentHosts(Time Now) const {
  std::set<Endpoint> Silent = m_Seeds;
  for (const auto &[Host, HeardAt] : m_HeardAt) {
    if (Now - HeardAt >= kSilence)
      Silent.insert(Host);
    else
      Silent.erase(Host);
  }
  for (const Endpoint &Member : m_Members)
    Silent.erase(Member);
  return Silent;
}

} // namespace almondpier
