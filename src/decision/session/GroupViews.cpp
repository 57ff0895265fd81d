#include "decision/session/GroupViews.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// After a failed connection; about the time a restarting process needs.
constexpr Duration kFailurePause = milliseconds(100);
/// Replicas lag 8 ms as a rule; one that lacks a position is left alone for a
/// few times as long.
constexpr Duration kLagPause = milliseconds(60);
/// A refused primary is tried again after this time, unless the directory names
/// another one.
constexpr Duration kNotPrimaryPause = milliseconds(250);
constexpr double kNewLatencyShare = 0.1;
constexpr double kMicrosecondsPerMillisecond = 1'000;

} // namespace

const InstanceDescription *GroupViews::find(const InstanceName &Name) const {
  const std::vector<InstanceDescription> &All =
      m_Board.m_Directory.m_Instances;
  // The directory is sorted by name.
  auto Found = std::lower_bound(
      All.begin(), All.end(), Name,
      [](const InstanceDescription &Entry, const InstanceName &Wanted) {
        return Entry.m_Name < Wanted;
      });
  return Found == All.end() || Found->m_Name != Name ? nullptr : &*Found;
}

std::vector<const InstanceDescription *>
GroupViews::readyMembers(const DatabaseName &Database) const {
  std::vector<const InstanceDescription *> Result;
  for (const InstanceDescription &Entry : m_Board.m_Directory.m_Instances)
    if (Entry.m_Database == Database && Entry.m_State == InstanceState::Ready)
      Result.push_back(&Entry);
  return Result;
}

const InstanceDescription *GroupViews::primaryOf(const DatabaseName &Database,
                                                 Time Now) const {
  auto IsRefuted = [&](const InstanceName &Name) {
    auto View = m_Views.find(Name);
    return View != m_Views.end() && Now < View->second.m_NotPrimaryUntil;
  };
  auto Group = m_Groups.find(Database);
  if (Group != m_Groups.end() && Group->second.m_Primary) {
    const InstanceDescription *Known = find(*Group->second.m_Primary);
    if (Known != nullptr && !IsRefuted(Known->m_Name))
      return Known;
  }
  const InstanceDescription *Best = nullptr;
  for (const InstanceDescription &Entry : m_Board.m_Directory.m_Instances)
    if (Entry.m_Database == Database && Entry.m_IsPrimary &&
        !IsRefuted(Entry.m_Name) &&
        (Best == nullptr || Best->m_State != InstanceState::Ready))
      Best = &Entry;
  return Best;
}

const PrimarySample *GroupViews::sampleSince(const DatabaseName &Database,
                                             Time NotBefore) const {
  auto Group = m_Groups.find(Database);
  if (Group == m_Groups.end() || !Group->second.m_Sample ||
      Group->second.m_Sample->m_TakenAt < NotBefore)
    return nullptr;
  return &*Group->second.m_Sample;
}

void GroupViews::onLeadershipProved(const InstanceDescription &Instance,
                                    const std::optional<Position> &Held,
                                    Time SentAt) {
  Group &Group = m_Groups[Instance.m_Database];
  Group.m_Primary = Instance.m_Name;
  m_Views[Instance.m_Name].m_NotPrimaryUntil = Time();
  if (!Held)
    return;
  // A higher position of the same or a later term holds all of an older sample.
  if (!Group.m_Sample || Group.m_Sample->m_Position < *Held)
    Group.m_Sample = PrimarySample{
        *Held, Group.m_Sample ? std::max(Group.m_Sample->m_TakenAt, SentAt)
                              : SentAt};
  else if (Group.m_Sample->m_Position == *Held)
    Group.m_Sample->m_TakenAt = std::max(Group.m_Sample->m_TakenAt, SentAt);
}

void GroupViews::onNotPrimary(const InstanceName &Name, Time Now) {
  m_Views[Name].m_NotPrimaryUntil = Now + kNotPrimaryPause;
  for (auto &[Database, Group] : m_Groups)
    if (Group.m_Primary == Name)
      Group.m_Primary.reset();
}

void GroupViews::onLagging(const InstanceName &Name, Time Now) {
  m_Views[Name].m_LaggingUntil = Now + kLagPause;
}

void GroupViews::onHeard(const InstanceName &Name, Time Now) {
  InstanceView &View = m_Views[Name];
  View.m_HeardAt = Now;
  View.m_FailingSince.reset();
  View.m_AvoidUntil = Time();
}

void GroupViews::onUnreachable(const InstanceName &Name, Time Now) {
  InstanceView &View = m_Views[Name];
  View.m_AvoidUntil = Now + kFailurePause;
  if (!View.m_FailingSince)
    View.m_FailingSince = Now;
}

void GroupViews::onLatency(const InstanceName &Name, Duration Latency) {
  InstanceView &View = m_Views[Name];
  double Ms = static_cast<double>(Latency.count()) / kMicrosecondsPerMillisecond;
  View.m_LatencyMs = View.m_LatencyMs == 0
                         ? Ms
                         : (1 - kNewLatencyShare) * View.m_LatencyMs +
                               kNewLatencyShare * Ms;
}

void GroupViews::onDirectoryChanged(Time Now) {
  std::erase_if(m_Views, [&](const auto &Entry) {
    return find(Entry.first) == nullptr;
  });
  for (auto &[Database, Group] : m_Groups) {
    if (!Group.m_Primary)
      continue;
    const InstanceDescription *Known = find(*Group.m_Primary);
    if (Known != nullptr && Known->m_IsPrimary)
      continue;
    // The believed primary no longer claims the role: another one that does is
    // the likelier primary.
    for (const InstanceDescription &Entry : m_Board.m_Directory.m_Instances)
      if (Entry.m_Database == Database && Entry.m_IsPrimary &&
          Now >= m_Views[Entry.m_Name].m_NotPrimaryUntil)
        Group.m_Primary = Entry.m_Name;
  }
}

} // namespace almondpier
