#include "decision/proxy/owner/GroupMonitor.h"

#include <algorithm>

namespace almondpier {

constexpr uint32_t kProbeTimeoutMs = 300;
constexpr uint32_t kPositionWaitTimeoutMs = 250;
/// Delay before the next position wait after one failed.
constexpr Duration kPositionWaitRetryDelay = std::chrono::milliseconds(25);
/// A round that a majority did not answer blocks the next one for this long.
constexpr Duration kRoundTimeout = std::chrono::milliseconds(10);
/// Limits the rate of probes caused by confirmed reads.
constexpr Duration kMinRoundInterval = std::chrono::milliseconds(1);

void GroupMonitor::configure(const DatabaseRecord &Record, Time Now,
                             std::vector<std::unique_ptr<Instance>> &Removed) {
  if (Record.m_PrimaryTerm != m_Record.m_PrimaryTerm)
    m_Staleness.onTermChanged();
  m_Record = Record;
  std::vector<std::unique_ptr<Instance>> Members;
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       m_Record.m_Instances) {
    auto Existing =
        std::find_if(m_Instances.begin(), m_Instances.end(),
                     [&](const std::unique_ptr<Instance> &Candidate) {
                       return Candidate &&
                              Candidate->m_Record.m_Name == Entry.first &&
                              Candidate->m_Record.m_StatementEndpoint ==
                                  Entry.second.m_StatementEndpoint;
                     });
    Members.push_back(Existing == m_Instances.end()
                          ? std::make_unique<Instance>()
                          : std::move(*Existing));
    Instance &Member = *Members.back();
    Member.m_Record = Entry.second;
    Member.m_Pool.configure(Entry.second);
    Member.m_UnhealthyAfter =
        std::max(kUnhealthyAfter, kMinMissedProbes * m_ProbeInterval);
    bool IsDraining = m_Record.m_Draining.contains(Entry.first);
    if (IsDraining && !Member.m_IsDraining)
      Member.m_DrainingSince = Now;
    Member.m_IsDraining = IsDraining;
  }
  std::swap(m_Instances, Members);
  for (std::unique_ptr<Instance> &Departed : Members)
    if (Departed)
      Removed.push_back(std::move(Departed));
  for (const std::unique_ptr<Instance> &Departed : Removed)
    std::erase_if(m_Probes, [&](const std::pair<const uint64_t, Probe> &Sent) {
      return Sent.second.m_Instance == Departed.get();
    });
  m_Primary = nullptr;
  for (const std::unique_ptr<Instance> &Member : m_Instances)
    if (m_Record.m_Primary == Member->m_Record.m_Name)
      m_Primary = Member.get();
  // The primary is probed first, so that its probe has the lowest identifier of
  // each round and the other instances' answers confirm its sample.
  std::stable_partition(m_Instances.begin(), m_Instances.end(),
                        [&](const std::unique_ptr<Instance> &Member) {
                          return Member.get() == m_Primary;
                        });
}

void GroupMonitor::sendProbe(Instance &Instance, uint64_t &NextId,
                             ProxyActions &Actions, Time Now) {
  uint64_t Id = NextId++;
  m_Probes.emplace(Id, Probe{&Instance, Now, false});
  if (!Instance.m_FirstProbeSentAt)
    Instance.m_FirstProbeSentAt = Now;
  Actions.emplace_back(ProbeInstance{ProbeId{Id},
                                     Instance.m_Record.m_PlatformEndpoint,
                                     std::nullopt, kProbeTimeoutMs});
}

void GroupMonitor::sendDueProbes(uint64_t &NextId, ProxyActions &Actions,
                                 Time Now) {
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    if (Now < Member->m_NextProbeAt)
      continue;
    Member->m_NextProbeAt = Now + m_ProbeInterval;
    sendProbe(*Member, NextId, Actions, Now);
  }
}

void GroupMonitor::requestProbeRound(uint64_t FirstProbe, uint64_t &NextId,
                                     ProxyActions &Actions, Time Now) {
  m_RequestedProbe = std::max(m_RequestedProbe, FirstProbe);
  uint64_t Confirmed = latestConfirmedProbe();
  if (Confirmed >= m_RequestedProbe)
    return;
  bool IsRunning = Confirmed < m_RoundFirstProbe;
  Duration SinceLast = Now - m_RoundSentAt;
  if (SinceLast < (IsRunning ? kRoundTimeout : kMinRoundInterval))
    return;
  m_RoundFirstProbe = NextId;
  m_RoundSentAt = Now;
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    Member->m_NextProbeAt = Now + m_ProbeInterval;
    sendProbe(*Member, NextId, Actions, Now);
  }
}

void GroupMonitor::waitForPosition(Instance &Instance, Position Wanted,
                                   uint64_t &NextId, ProxyActions &Actions,
                                   Time Now) {
  if (Instance.m_HasPositionWait || Now < Instance.m_NextPositionWaitAt)
    return;
  uint64_t Id = NextId++;
  m_Probes.emplace(Id, Probe{&Instance, Now, true});
  Instance.m_HasPositionWait = true;
  if (!Instance.m_FirstProbeSentAt)
    Instance.m_FirstProbeSentAt = Now;
  Actions.emplace_back(ProbeInstance{ProbeId{Id},
                                     Instance.m_Record.m_PlatformEndpoint,
                                     Wanted, kPositionWaitTimeoutMs});
}

Instance *GroupMonitor::onProbeAnswered(const ProbeAnswered &Event, Time Now) {
  auto Found = m_Probes.find(Event.m_Probe.m_Value);
  if (Found == m_Probes.end())
    return nullptr;
  Probe Sent = Found->second;
  m_Probes.erase(Found);
  Instance &Instance = *Sent.m_Instance;
  if (Sent.m_IsPositionWait) {
    Instance.m_HasPositionWait = false;
    if (!Event.m_Status)
      Instance.m_NextPositionWaitAt = Now + kPositionWaitRetryDelay;
  }
  if (!Event.m_Status || Event.m_Status->m_Instance != Instance.m_Record.m_Name)
    return &Instance;
  applyStatus(Instance, *Event.m_Status, Event.m_Probe.m_Value, Sent, Now);
  return &Instance;
}

void GroupMonitor::applyStatus(Instance &Instance, const InstanceStatus &Status,
                               uint64_t Probe, const struct Probe &Sent,
                               Time Now) {
  Instance.m_LastValidAnswerAt = Now;
  if (!Sent.m_IsPositionWait)
    Instance.m_RoundTripTime =
        Instance.m_RoundTripTime == Duration{}
            ? Now - Sent.m_SentAt
            : (Instance.m_RoundTripTime * 7 + Now - Sent.m_SentAt) / 8;
  if (Status.m_SealedTerm < Instance.m_SealedTerm)
    return;
  Instance.m_SealedTerm = Status.m_SealedTerm;
  Instance.m_Position = Status.m_Position;
  Instance.m_IsPrimary = Status.m_IsPrimary;
  if (Status.m_SealedTerm <= Status.m_Position.m_Term)
    Instance.m_MatchPosition =
        std::max(Instance.m_MatchPosition, Status.m_Position);
  if (Status.m_SealedTerm <= m_Record.m_PrimaryTerm)
    Instance.m_LatestConfirmingProbe =
        std::max(Instance.m_LatestConfirmingProbe, Probe);
  if (&Instance == m_Primary && !Sent.m_IsPositionWait && Status.m_IsPrimary &&
      Status.m_SealedTerm == m_Record.m_PrimaryTerm &&
      Status.m_Position.m_Term == m_Record.m_PrimaryTerm)
    m_Staleness.addSample(Sent.m_SentAt, Probe, Status.m_Position);
  m_Staleness.confirm(latestConfirmedProbe());
}

void GroupMonitor::onPositionReported(Instance &Instance, Position Position,
                                      uint64_t Term) {
  if (Position.m_Term != Term)
    return;
  Instance.m_MatchPosition = std::max(Instance.m_MatchPosition, Position);
  if (Instance.m_SealedTerm <= Term)
    Instance.m_Position = std::max(Instance.m_Position, Position);
}

uint64_t GroupMonitor::latestConfirmedProbe() const {
  size_t Majority = m_Record.majority();
  if (m_Instances.size() < Majority || m_Primary == nullptr)
    return 0;
  // Groups are small, so computing this on every call is cheap.
  std::vector<uint64_t> Answered;
  Answered.reserve(m_Instances.size());
  for (const std::unique_ptr<Instance> &Member : m_Instances)
    Answered.push_back(Member->m_LatestConfirmingProbe);
  std::nth_element(Answered.begin(),
                   Answered.begin() + static_cast<ptrdiff_t>(Majority - 1),
                   Answered.end(), std::greater<>());
  return Answered[Majority - 1];
}

bool GroupMonitor::isPrimaryUsable(Time Now) const {
  return m_Primary != nullptr &&
         m_Record.m_BegunTerm == m_Record.m_PrimaryTerm &&
         !m_Primary->m_IsDraining && m_Primary->isHealthy(Now) &&
         m_Primary->m_SealedTerm <= m_Record.m_PrimaryTerm;
}

void GroupMonitor::appendReports(std::vector<InstanceReport> &Reports,
                                 Time Now) const {
  for (const std::unique_ptr<Instance> &Member : m_Instances) {
    if (!Member->m_FirstProbeSentAt)
      continue;
    Time Since =
        Member->m_LastValidAnswerAt.value_or(*Member->m_FirstProbeSentAt);
    bool IsUnhealthy = Now - Since > Member->m_UnhealthyAfter;
    bool IsElected = m_Record.m_BegunTerm == m_Record.m_PrimaryTerm;
    bool ShouldBePrimary = Member.get() == m_Primary;
    bool Disagrees = Member->m_LastValidAnswerAt &&
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

void GroupMonitor::expireProbes(Time Now) {
  // The I/O layer reports a timeout for every unanswered probe. This limits the
  // table if it does not.
  constexpr Duration kProbeExpiry = std::chrono::seconds(2);
  while (!m_Probes.empty() &&
         Now - m_Probes.begin()->second.m_SentAt > kProbeExpiry) {
    Probe &Oldest = m_Probes.begin()->second;
    if (Oldest.m_IsPositionWait)
      Oldest.m_Instance->m_HasPositionWait = false;
    m_Probes.erase(m_Probes.begin());
  }
}

} // namespace almondpier
