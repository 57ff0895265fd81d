#include "decision/session/GroupTracker.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// An instance that cannot be reached is left alone for about as long as it has
/// been so, within these bounds.
constexpr Duration kMinFailurePause = milliseconds(100);
constexpr Duration kMaxFailurePause = milliseconds(1'000);
/// Replicas lag 8 ms as a rule; one that lacks a position is left alone for a
/// few times as long.
constexpr Duration kLagPause = milliseconds(60);
/// A refused primary is tried again after this time, unless the directory names
/// another one.
constexpr Duration kNotPrimaryPause = milliseconds(250);
/// Samples are kept a little longer than the largest age that routes accept as
/// a rule; a route that accepts more uses a younger one than it could.
constexpr Duration kSampleMemory = milliseconds(6'000);
constexpr Duration kSampleSpacing = milliseconds(50);
constexpr double kNewLatencyShare = 0.1;
/// An instance that refuses is left alone for the time of a short statement at
/// first, and for about as many statements as its queue holds at most.
constexpr Duration kMinOverloadPause = milliseconds(8);
constexpr Duration kMaxOverloadPause = milliseconds(160);
constexpr double kMinConcurrency = 1;
constexpr double kMaxConcurrency = 64;
constexpr double kConcurrencyDecrease = 0.5;
constexpr double kMicrosecondsPerMillisecond = 1'000;

} // namespace

const InstanceDescription *GroupViews::find(const InstanceName &Name) const {
  const std::vector<InstanceDescription> &All = m_Board.m_Directory.m_Instances;
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
  if (Group == m_Groups.end())
    return nullptr;
  const std::deque<PrimarySample> &Samples = Group->second.m_Samples;
  auto Found = std::lower_bound(Samples.begin(), Samples.end(), NotBefore,
                                [](const PrimarySample &Sample, Time Wanted) {
                                  return Sample.m_TakenAt < Wanted;
                                });
  return Found == Samples.end() ? nullptr : &*Found;
}

void GroupViews::onLeadershipProved(const InstanceDescription &Instance,
                                    const std::optional<Position> &Held,
                                    Time SentAt, Time Now) {
  Group &Group = m_Groups[Instance.m_Database];
  Group.m_Primary = Instance.m_Name;
  m_Views[Instance.m_Name].m_NotPrimaryUntil = Time();
  if (!Held)
    return;
  std::deque<PrimarySample> &Samples = Group.m_Samples;
  // A higher position of the same or a later term holds all of a lower one, so
  // a lower position that was seen later adds nothing but its time.
  Position Highest = *Held;
  if (!Samples.empty()) {
    // Positions before a change of primary may have been rolled back.
    if (Samples.back().m_Position.m_Term < Held->m_Term)
      Samples.clear();
    else
      Highest = std::max(Highest, Samples.back().m_Position);
  }
  while (!Samples.empty() && Now - Samples.front().m_TakenAt > kSampleMemory)
    Samples.pop_front();
  bool IsSpaced =
      Samples.empty() || SentAt - Samples.back().m_TakenAt >= kSampleSpacing;
  if (IsSpaced)
    Samples.push_back(PrimarySample{Highest, SentAt});
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
}

void GroupViews::onOverloaded(const InstanceName &Name, Time Now) {
  InstanceView &View = m_Views[Name];
  // Refusals of statements that were sent together count once.
  if (Now < View.m_AvoidUntil)
    return;
  View.m_Concurrency =
      std::max(kMinConcurrency, View.m_Concurrency * kConcurrencyDecrease);
  View.m_Pause = std::clamp<Duration>(2 * View.m_Pause, kMinOverloadPause,
                                      kMaxOverloadPause);
  View.m_AvoidUntil = Now + View.m_Pause;
}

void GroupViews::onServed(const InstanceName &Name) {
  InstanceView &View = m_Views[Name];
  View.m_Concurrency =
      std::min(kMaxConcurrency, View.m_Concurrency + 1 / View.m_Concurrency);
  View.m_Pause /= 2;
}

void GroupViews::onUnreachable(const InstanceName &Name, Time Now) {
  InstanceView &View = m_Views[Name];
  if (!View.m_FailingSince)
    View.m_FailingSince = Now;
  View.m_AvoidUntil = Now + std::clamp(Now - *View.m_FailingSince,
                                       kMinFailurePause, kMaxFailurePause);
}

void GroupViews::onLatency(const InstanceName &Name, Duration Latency) {
  InstanceView &View = m_Views[Name];
  double Ms =
      static_cast<double>(Latency.count()) / kMicrosecondsPerMillisecond;
  View.m_LatencyMs =
      View.m_LatencyMs == 0
          ? Ms
          : (1 - kNewLatencyShare) * View.m_LatencyMs + kNewLatencyShare * Ms;
}

void GroupViews::onDirectoryChanged(Time Now) {
  std::erase_if(
      m_Views, [&](const auto &Entry) { return find(Entry.first) == nullptr; });
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
