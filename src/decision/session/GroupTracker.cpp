#include "decision/session/GroupTracker.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// An unreachable instance gets no statements for about as long as it has been
/// unreachable, within these bounds.
constexpr Duration kMinUnreachableBackoff = milliseconds(100);
constexpr Duration kMaxUnreachableBackoff = milliseconds(1'000);
/// An instance that failed a connection or a statement counts as lost after
/// this time without an answer.
constexpr Duration kLossThreshold = milliseconds(150);
/// An instance with statements in flight counts as lost after this silence.
/// Exceeds the slowest statements.
constexpr Duration kSilenceThreshold = milliseconds(400);
/// A replica usually lags 8 ms; one that lacks a required position is avoided
/// for several times that long.
constexpr Duration kLaggingBackoff = milliseconds(60);
/// An instance that rejected a statement as not primary is tried again after
/// this time, unless the directory names another primary.
constexpr Duration kNotPrimaryBackoff = milliseconds(250);
/// Samples are kept slightly longer than the usual maximum staleness of routes.
/// A route with a larger bound uses a newer sample than its bound requires.
constexpr Duration kSampleRetention = milliseconds(6'000);
constexpr Duration kMinSampleInterval = milliseconds(50);
/// Time in which a requested sample usually arrives.
constexpr Duration kSampleRequestInterval = milliseconds(200);
constexpr double kLatencySmoothingFactor = 0.1;
/// The backoff of an overloaded instance starts at the duration of a short
/// statement and is limited to about the time in which the instance works off
/// its full queue.
constexpr Duration kMinOverloadBackoff = milliseconds(8);
constexpr Duration kMaxOverloadBackoff = milliseconds(160);
constexpr double kMinConcurrencyLimit = 1;
constexpr double kMaxConcurrencyLimit = 64;
constexpr double kConcurrencyDecreaseFactor = 0.5;
constexpr double kMicrosecondsPerMillisecond = 1'000;

} // namespace

const InstanceDescription *GroupTracker::find(const InstanceName &Name) const {
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
GroupTracker::membersOf(const DatabaseName &Database) const {
  std::vector<const InstanceDescription *> Result;
  auto Members = m_Members.find(Database);
  if (Members == m_Members.end())
    return Result;
  for (size_t Index : Members->second)
    Result.push_back(&m_Board.m_Directory.m_Instances[Index]);
  return Result;
}

std::vector<const InstanceDescription *>
GroupTracker::readyInstances(const DatabaseName &Database) const {
  std::vector<const InstanceDescription *> Result = membersOf(Database);
  std::erase_if(Result, [&](const InstanceDescription *Entry) {
    return Entry->m_State != InstanceState::Ready ||
           m_Board.m_Configuration.isEvacuated(Entry->m_Zone);
  });
  return Result;
}

const InstanceDescription *GroupTracker::primaryOf(const DatabaseName &Database,
                                                   Time Now) const {
  auto IsRuledOut = [&](const InstanceName &Name) {
    auto Health = m_Instances.find(Name);
    return Health != m_Instances.end() &&
           Now < Health->second.m_NotPrimaryUntil;
  };
  auto Group = m_Groups.find(Database);
  if (Group != m_Groups.end() && Group->second.m_Primary) {
    const InstanceDescription *Known = find(*Group->second.m_Primary);
    if (Known != nullptr && !IsRuledOut(Known->m_Name))
      return Known;
  }
  const InstanceDescription *Best = nullptr;
  for (const InstanceDescription *Entry : membersOf(Database))
    if (Entry->m_IsPrimary && !IsRuledOut(Entry->m_Name) &&
        (Best == nullptr || Best->m_State != InstanceState::Ready))
      Best = Entry;
  return Best;
}

const PrimarySample *
GroupTracker::oldestSampleSince(const DatabaseName &Database,
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

bool GroupTracker::isSampleDue(const DatabaseName &Database, Duration MaxAge,
                               Time Now) const {
  auto Found = m_Groups.find(Database);
  return Found != m_Groups.end() && !Found->second.m_Samples.empty() &&
         Now - Found->second.m_Samples.back().m_TakenAt >= MaxAge &&
         Now - Found->second.m_SampleRequestedAt >= kSampleRequestInterval;
}

void GroupTracker::onLeadershipConfirmed(
    const InstanceDescription &Instance,
    const std::optional<Position> &Reported, Time SentAt, Time Now) {
  Group &Group = m_Groups[Instance.m_Database];
  Group.m_Primary = Instance.m_Name;
  m_Instances[Instance.m_Name].m_NotPrimaryUntil = Time();
  if (!Reported)
    return;
  std::deque<PrimarySample> &Samples = Group.m_Samples;
  // The log up to a higher position of the same or a later term includes every
  // lower position, so a lower position observed later only contributes its
  // time.
  Position Highest = *Reported;
  if (!Samples.empty()) {
    // Positions from before a change of primary may have been rolled back.
    if (Samples.back().m_Position.m_Term < Reported->m_Term)
      Samples.clear();
    else
      Highest = std::max(Highest, Samples.back().m_Position);
  }
  while (!Samples.empty() && Now - Samples.front().m_TakenAt > kSampleRetention)
    Samples.pop_front();
  bool IsDue = Samples.empty() ||
               SentAt - Samples.back().m_TakenAt >= kMinSampleInterval;
  if (IsDue)
    Samples.push_back(PrimarySample{Highest, SentAt});
}

void GroupTracker::onNotPrimary(const InstanceName &Name, Time Now) {
  m_Instances[Name].m_NotPrimaryUntil = Now + kNotPrimaryBackoff;
  for (auto &[Database, Group] : m_Groups)
    if (Group.m_Primary == Name)
      Group.m_Primary.reset();
}

void GroupTracker::onLagging(const InstanceName &Name, Time Now) {
  m_Instances[Name].m_LaggingUntil = Now + kLaggingBackoff;
}

void GroupTracker::onInputReceived(const InstanceName &Name, Time Now) {
  if (isLost(Name, Now))
    beginRamp(Name, "is back", Now);
  InstanceHealth &Health = m_Instances[Name];
  Health.m_LastInputAt = Now;
  Health.m_UnreachableSince.reset();
  Health.m_SilentSince.reset();
}

void GroupTracker::onOverloaded(const InstanceName &Name, Time Now) {
  InstanceHealth &Health = m_Instances[Name];
  Health.m_Pace.onFailed(Now);
  // Rejections of statements that were in flight together count once.
  if (Now < Health.m_BackoffUntil)
    return;
  Health.m_ConcurrencyLimit =
      std::max(kMinConcurrencyLimit,
               Health.m_ConcurrencyLimit * kConcurrencyDecreaseFactor);
  Health.m_OverloadBackoff = std::clamp<Duration>(
      2 * Health.m_OverloadBackoff, kMinOverloadBackoff, kMaxOverloadBackoff);
  Health.m_BackoffUntil = Now + Health.m_OverloadBackoff;
}

void GroupTracker::onStatementSucceeded(const InstanceName &Name) {
  InstanceHealth &Health = m_Instances[Name];
  Health.m_ConcurrencyLimit =
      std::min(kMaxConcurrencyLimit,
               Health.m_ConcurrencyLimit + 1 / Health.m_ConcurrencyLimit);
  Health.m_OverloadBackoff /= 2;
}

void GroupTracker::onUnreachable(const InstanceName &Name, Time Since,
                                 Time Now) {
  InstanceHealth &Health = m_Instances[Name];
  bool IsFirst = !Health.m_UnreachableSince;
  if (IsFirst)
    Health.m_UnreachableSince = Since;
  Duration Backoff =
      IsFirst ? kMinUnreachableBackoff
              : std::clamp(Now - *Health.m_UnreachableSince,
                           kMinUnreachableBackoff, kMaxUnreachableBackoff);
  Health.m_BackoffUntil = Now + Backoff;
}

bool GroupTracker::isLost(const InstanceName &Name, Time Now) const {
  auto Found = m_Instances.find(Name);
  if (Found == m_Instances.end())
    return false;
  const InstanceHealth &Health = Found->second;
  return (Health.m_UnreachableSince &&
          Now - *Health.m_UnreachableSince >= kLossThreshold) ||
         (Health.m_SilentSince &&
          Now - *Health.m_SilentSince >= kSilenceThreshold);
}

void GroupTracker::beginRamp(const InstanceName &Name, const char *Reason,
                             Time Now) {
  m_Instances[Name].m_Pace.begin(Now);
  m_PaceReports.push_back("instance " + Name.m_Value + " " + Reason +
                          "; its load is raised from one statement at a time");
}

void GroupTracker::detectStarts(Time Now) {
  for (const InstanceDescription &Entry : m_Board.m_Directory.m_Instances) {
    auto [Known, IsNew] = m_Instances.try_emplace(Entry.m_Name);
    InstanceHealth &Health = Known->second;
    bool HasRestarted = Health.m_StartedAtMs != Entry.m_StartedAtMs;
    bool IsPromoted = Entry.m_IsPrimary && !Health.m_IsPrimary;
    Health.m_StartedAtMs = Entry.m_StartedAtMs;
    Health.m_IsPrimary = Entry.m_IsPrimary;
    // A host that has just started knows nothing about any instance.
    if (m_HasDirectory && (IsNew || HasRestarted || IsPromoted))
      beginRamp(Entry.m_Name,
                IsNew          ? "is new"
                : HasRestarted ? "has restarted"
                               : "is promoted",
                Now);
  }
  m_HasDirectory = m_HasDirectory || !m_Board.m_Directory.m_Instances.empty();
}

double
GroupTracker::referenceLatencyMs(const InstanceDescription &Instance) const {
  double Highest = 0;
  for (const InstanceDescription *Other : membersOf(Instance.m_Database)) {
    auto Health = m_Instances.find(Other->m_Name);
    if (Other->m_Name != Instance.m_Name && Health != m_Instances.end() &&
        !Health->second.m_Pace.isRamping())
      Highest = std::max(Highest, Health->second.m_LatencyMs);
  }
  return Highest;
}

size_t GroupTracker::rampingCount() const {
  return static_cast<size_t>(std::count_if(
      m_Instances.begin(), m_Instances.end(),
      [](const auto &Entry) { return Entry.second.m_Pace.isRamping(); }));
}

void GroupTracker::recordLatency(const InstanceName &Name, Duration Latency,
                                 Time Now) {
  InstanceHealth &Health = m_Instances[Name];
  double Ms =
      static_cast<double>(Latency.count()) / kMicrosecondsPerMillisecond;
  Health.m_LatencyMs =
      Health.m_LatencyMs == 0
          ? Ms
          : (1 - kLatencySmoothingFactor) * Health.m_LatencyMs +
                kLatencySmoothingFactor * Ms;
  const InstanceDescription *Instance = find(Name);
  if (Health.m_Pace.isRamping() && Instance != nullptr)
    Health.m_Pace.onAnswered(Ms, referenceLatencyMs(*Instance),
                             Instance->m_Slots, Now);
}

void GroupTracker::onDirectoryChanged(Time Now) {
  m_Members.clear();
  const std::vector<InstanceDescription> &All = m_Board.m_Directory.m_Instances;
  for (size_t Index = 0; Index < All.size(); ++Index)
    m_Members[All[Index].m_Database].push_back(Index);
  std::erase_if(m_Instances, [&](const auto &Entry) {
    return find(Entry.first) == nullptr;
  });
  detectStarts(Now);
  for (auto &[Database, Group] : m_Groups) {
    if (!Group.m_Primary)
      continue;
    const InstanceDescription *Known = find(*Group.m_Primary);
    if (Known != nullptr && Known->m_IsPrimary)
      continue;
    // The presumed primary no longer claims the role; an instance that does is
    // more likely to be the primary.
    for (const InstanceDescription &Entry : m_Board.m_Directory.m_Instances)
      if (Entry.m_Database == Database && Entry.m_IsPrimary &&
          Now >= m_Instances[Entry.m_Name].m_NotPrimaryUntil)
        Group.m_Primary = Entry.m_Name;
  }
}

} // namespace almondpier
