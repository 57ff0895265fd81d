#include "decision/proxy/owner/GroupView.h"

#include <algorithm>

namespace almondpier {

constexpr uint32_t kProbeTimeoutMs = 300;
constexpr uint32_t kWaitTimeoutMs = 250;
/// After a wait that failed, the next one follows no sooner.
constexpr Duration kWaitRetry = std::chrono::milliseconds(25);
/// A round that is not answered by a majority holds up the next one this long.
constexpr Duration kRoundPatience = std::chrono::milliseconds(10);
/// Bounds the probes that confirmed reads cause.
constexpr Duration kRoundInterval = std::chrono::milliseconds(1);

void GroupView::configure(const DatabaseRecord &Record, Time Now,
                          std::vector<std::unique_ptr<Instance>> &Removed) {
  if (Record.m_PrimaryTerm != m_Record.m_PrimaryTerm)
    m_Ages.onTermChanged();
  m_Record = Record;
  std::vector<std::unique_ptr<Instance>> Kept;
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       m_Record.m_Instances) {
    auto Known = std::find_if(
        m_Instances.begin(), m_Instances.end(),
        [&](const std::unique_ptr<Instance> &Candidate) {
          return Candidate && Candidate->m_Record.m_Name == Entry.first &&
                 Candidate->m_Record.m_Statements == Entry.second.m_Statements;
        });
    Kept.push_back(Known == m_Instances.end() ? std::make_unique<Instance>()
                                              : std::move(*Known));
    Instance &Member = *Kept.back();
    Member.m_Record = Entry.second;
    Member.m_Pool.configure(Entry.second);
    Member.m_UnhealthyAfter =
        std::max(kUnhealthyAfter, kMissedProbes * m_ProbeInterval);
    bool IsDraining = m_Record.m_Draining.contains(Entry.first);
    if (IsDraining && !Member.m_IsDraining)
      Member.m_DrainingSince = Now;
    Member.m_IsDraining = IsDraining;
  }
  std::swap(m_Instances, Kept);
  for (std::unique_ptr<Instance> &Left : Kept)
    if (Left)
      Removed.push_back(std::move(Left));
  for (const std::unique_ptr<Instance> &Left : Removed)
    std::erase_if(m_Probes, [&](const std::pair<const uint64_t, Probe> &Sent) {
      return Sent.second.m_Instance == Left.get();
    });
  m_Primary = nullptr;
  for (const std::unique_ptr<Instance> &Member : m_Instances)
    if (m_Record.m_Primary == Member->m_Record.m_Name)
      m_Primary = Member.get();
  // The primary comes first, so that in every round its probe has the lowest
  // identifier and the other answers confirm its sample.
  std::stable_partition(m_Instances.begin(), m_Instances.end(),
                        [&](const std::unique_ptr<Instance> &Member) {
                          return Member.get() == m_Primary;
                        });
}

void GroupView::sendProbe(Instance &Instance, uint64_t &NextId,
                          ProxyActions &Actions, Time Now) {
  uint64_t Id = NextId++;
  m_Probes.emplace(Id, Probe{&Instance, Now, false});
  if (!Instance.m_FirstAsked)
    Instance.m_FirstAsked = Now;
  Actions.emplace_back(ProbeInstance{ProbeId{Id}, Instance.m_Record.m_Platform,
                                     std::nullopt, kProbeTimeoutMs});
}

void GroupView::probe(uint64_t &NextId, ProxyActions &Actions, Time Now) {
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    if (Now < Member->m_NextProbe)
      continue;
    Member->m_NextProbe = Now + m_ProbeInterval;
    sendProbe(*Member, NextId, Actions, Now);
  }
}

void GroupView::wantRound(uint64_t FirstProbe, uint64_t &NextId,
                          ProxyActions &Actions, Time Now) {
  m_WantedProbe = std::max(m_WantedProbe, FirstProbe);
  uint64_t Confirmed = confirmedProbe();
  if (Confirmed >= m_WantedProbe)
    return;
  bool IsRunning = Confirmed < m_RoundFirst;
  Duration SinceLast = Now - m_RoundSentAt;
  if (SinceLast < (IsRunning ? kRoundPatience : kRoundInterval))
    return;
  m_RoundFirst = NextId;
  m_RoundSentAt = Now;
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    Member->m_NextProbe = Now + m_ProbeInterval;
    sendProbe(*Member, NextId, Actions, Now);
  }
}

void GroupView::waitFor(Instance &Instance, Position Wanted, uint64_t &NextId,
                        ProxyActions &Actions, Time Now) {
  if (Instance.m_IsWaiting || Now < Instance.m_NextWait)
    return;
  uint64_t Id = NextId++;
  m_Probes.emplace(Id, Probe{&Instance, Now, true});
  Instance.m_IsWaiting = true;
  if (!Instance.m_FirstAsked)
    Instance.m_FirstAsked = Now;
  Actions.emplace_back(ProbeInstance{ProbeId{Id}, Instance.m_Record.m_Platform,
                                     Wanted, kWaitTimeoutMs});
}

Instance *GroupView::onProbeAnswered(const ProbeAnswered &Event, Time Now) {
  auto Found = m_Probes.find(Event.m_Probe.m_Value);
  if (Found == m_Probes.end())
    return nullptr;
  Probe Sent = Found->second;
  m_Probes.erase(Found);
  Instance &Instance = *Sent.m_Instance;
  if (Sent.m_IsWait) {
    Instance.m_IsWaiting = false;
    if (!Event.m_Status)
      Instance.m_NextWait = Now + kWaitRetry;
  }
  if (!Event.m_Status || Event.m_Status->m_Instance != Instance.m_Record.m_Name)
    return &Instance;
  takeStatus(Instance, *Event.m_Status, Event.m_Probe.m_Value, Sent, Now);
  return &Instance;
}

void GroupView::takeStatus(Instance &Instance, const InstanceStatus &Status,
                           uint64_t Probe, const struct Probe &Sent, Time Now) {
  Instance.m_LastGood = Now;
  if (!Sent.m_IsWait)
    Instance.m_RoundTrip =
        Instance.m_RoundTrip == Duration{}
            ? Now - Sent.m_SentAt
            : (Instance.m_RoundTrip * 7 + Now - Sent.m_SentAt) / 8;
  if (Status.m_SealedTerm < Instance.m_SealedTerm)
    return;
  Instance.m_SealedTerm = Status.m_SealedTerm;
  Instance.m_Position = Status.m_Position;
  Instance.m_IsPrimary = Status.m_IsPrimary;
  if (Status.m_SealedTerm <= Status.m_Position.m_Term)
    Instance.m_InTermPosition =
        std::max(Instance.m_InTermPosition, Status.m_Position);
  if (Status.m_SealedTerm <= m_Record.m_PrimaryTerm)
    Instance.m_InTermProbe = std::max(Instance.m_InTermProbe, Probe);
  if (&Instance == m_Primary && !Sent.m_IsWait && Status.m_IsPrimary &&
      Status.m_SealedTerm == m_Record.m_PrimaryTerm &&
      Status.m_Position.m_Term == m_Record.m_PrimaryTerm)
    m_Ages.addSample(Sent.m_SentAt, Probe, Status.m_Position);
  m_Ages.confirm(confirmedProbe());
}

void GroupView::onPositionOf(Instance &Instance, Position Position,
                             uint64_t Term) {
  if (Position.m_Term != Term)
    return;
  Instance.m_InTermPosition = std::max(Instance.m_InTermPosition, Position);
  if (Instance.m_SealedTerm <= Term)
    Instance.m_Position = std::max(Instance.m_Position, Position);
}

uint64_t GroupView::confirmedProbe() const {
  size_t Majority = m_Record.majority();
  if (m_Instances.size() < Majority || m_Primary == nullptr)
    return 0;
  // Groups have a handful of instances.
  std::vector<uint64_t> Answered;
  Answered.reserve(m_Instances.size());
  for (const std::unique_ptr<Instance> &Member : m_Instances)
    Answered.push_back(Member->m_InTermProbe);
  std::nth_element(Answered.begin(),
                   Answered.begin() + static_cast<ptrdiff_t>(Majority - 1),
                   Answered.end(), std::greater<>());
  return Answered[Majority - 1];
}

bool GroupView::isPrimaryUsable(Time Now) const {
  return m_Primary != nullptr &&
         m_Record.m_BegunTerm == m_Record.m_PrimaryTerm &&
         !m_Primary->m_IsDraining && m_Primary->isHealthy(Now) &&
         m_Primary->m_SealedTerm <= m_Record.m_PrimaryTerm;
}

void GroupView::appendReports(std::vector<InstanceReport> &Reports,
                              Time Now) const {
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    if (!Member->m_FirstAsked)
      continue;
    Time Since = Member->m_LastGood.value_or(*Member->m_FirstAsked);
    bool IsUnhealthy = Now - Since > Member->m_UnhealthyAfter;
    bool IsElected = m_Record.m_BegunTerm == m_Record.m_PrimaryTerm;
    bool ShouldBePrimary = Member.get() == m_Primary;
    bool Disagrees = Member->m_LastGood &&
                     (Member->m_SealedTerm != m_Record.m_BegunTerm ||
                      (IsElected && Member->m_IsPrimary != ShouldBePrimary));
    if (!IsUnhealthy && !Disagrees)
      continue;
    InstanceReport Report;
    Report.m_Database = m_Database;
    Report.m_Instance = Member->m_Record.m_Name;
    if (IsUnhealthy)
      Report.m_UnreachableMs = static_cast<uint32_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since)
              .count());
    Report.m_Position = Member->m_Position;
    Report.m_SealedTerm = Member->m_SealedTerm;
    Report.m_IsPrimary = Member->m_IsPrimary;
    Reports.push_back(std::move(Report));
  }
}

void GroupView::expireProbes(Time Now) {
  // The driver ends every probe at its timeout; this bounds the table if it
  // does not.
  constexpr Duration kForgetAfter = std::chrono::seconds(2);
  while (!m_Probes.empty() &&
         Now - m_Probes.begin()->second.m_SentAt > kForgetAfter) {
    Probe &Oldest = m_Probes.begin()->second;
    if (Oldest.m_IsWait)
      Oldest.m_Instance->m_IsWaiting = false;
    m_Probes.erase(m_Probes.begin());
  }
}

} // namespace almondpier
