#include "decision/proxy/ConfigurationController.h"

#include "decision/proxy/ProxyCore.h"

#include <algorithm>

namespace almondpier {

// Limits how often the next host is tried while hosts refuse connections.
static constexpr Duration kMinPeerChangeInterval =
    std::chrono::milliseconds(50);

/// A proxy prefers a control host of its own zone, because traffic within a
/// zone is fast and free. The interval keeps it from retrying all the time one
/// that does not answer.
static constexpr Duration kOwnZoneRetryInterval = std::chrono::seconds(10);

/// Limits the log lines about control hosts that do not answer.
static constexpr Duration kTimeoutReportInterval = std::chrono::seconds(1);

ConfigurationController::ConfigurationController(const ProxyOptions &Options,
                                                 ProxyBlackboard &Board,
                                                 LinkTable &Links,
                                                 ProxyActions &Actions)
    : m_Host(Options.m_Host), m_Incarnation(Options.m_Incarnation),
      m_Board(Board), m_Links(Links), m_Actions(Actions),
      m_Peers(Options.m_ControlPeers), m_Seeds(Options.m_ControlPeers),
      m_WantsLiveHosts(Options.m_RoutesByLiveHosts) {
  // Proxies start at different control hosts to spread the load.
  if (!m_Peers.empty())
    m_CurrentPeer = Options.m_Seed % m_Peers.size();
}

void ConfigurationController::tick(Time Now) {
  if (m_Peers.empty())
    return;
  if (!m_AnswerDueSince) {
    m_AnswerDueSince = Now;
    m_Links.acquire(currentPeer(), LinkUse::Poll, Now);
  }
  if (Now - *m_AnswerDueSince >= (m_AwaitsPart ? kPartTimeout : kPollTimeout))
    return onPollTimeout(Now);
  bool IsDown = m_Links.stateOf(currentPeer()) == LinkState::Down;
  if (IsDown && Now - m_LastPeerChange >= kMinPeerChangeInterval)
    return pollNextPeer(Now);
  std::optional<LinkId> Link = m_Links.linkTo(currentPeer());
  if (!Link)
    return;
  bool IsNewLink = m_PolledLink != Link;
  // A reply that is still on its way makes another one for the same changes
  // superfluous: on a slow link they would delay each other.
  bool IsAnswered = m_OutstandingPolls.empty();
  bool IsDue = IsAnswered && !m_AwaitsPart && Now - m_LastPoll >= kPollInterval;
  if (!IsNewLink && !IsDue)
    return;
  // Poll without delay on a new link.
  if (IsNewLink) {
    m_OutstandingPolls.clear();
    m_AwaitsPart = false;
    m_AnswerDueSince = Now;
  }
  m_PolledLink = Link;
  sendPoll(*Link, Now);
}

void ConfigurationController::onPollTimeout(Time Now) {
  ++m_PollTimeouts;
  if (!m_TimeoutReportedAt ||
      Now - *m_TimeoutReportedAt >= kTimeoutReportInterval) {
    m_TimeoutReportedAt = Now;
    m_Actions.push_back(ReportStateChange{
        "control host " + formatEndpoint(currentPeer()) +
        " did not answer a poll in time (" + std::to_string(m_PollTimeouts) +
        " timeouts so far); configuration at index " +
        std::to_string(m_Board.m_AppliedIndex) + ", " +
        std::to_string(m_Transfer ? m_Transfer->receivedBytes()
                                  : m_PartialSnapshot.size()) +
        " bytes of a snapshot received"});
  }
  pollNextPeer(Now);
}

void ConfigurationController::pollNextPeer(Time Now) {
  m_Links.release(currentPeer(), LinkUse::Poll);
  if (++m_UnansweredPeers >= m_Peers.size())
    addSeeds();
  m_CurrentPeer = (m_CurrentPeer + 1) % m_Peers.size();
  startPollingCurrentPeer(Now);
}

void ConfigurationController::startPollingCurrentPeer(Time Now) {
  m_AnswerDueSince = Now;
  m_LastPeerChange = Now;
  m_PolledLink.reset();
  m_OutstandingPolls.clear();
  m_PartialSnapshot.clear();
  m_AwaitsPart = false;
  ++m_PeerChanges;
  m_Links.acquire(currentPeer(), LinkUse::Poll, Now);
}

void ConfigurationController::sendPoll(LinkId Link, Time Now) {
  m_LastPoll = Now;
  uint64_t Base = m_NeedsSnapshot ? 0 : m_Board.m_AppliedIndex;
  m_OutstandingPolls.push_back(Poll{++m_Sequence, Now, Base});
  m_Actions.push_back(SendMessage{
      Link, PollRequest{m_Host, m_Incarnation, m_Sequence, Base,
                        m_WantsLiveHosts ? m_Board.m_LiveHosts.m_Term
                                         : kRequestsSnapshotParts,
                        m_WantsLiveHosts ? m_Board.m_LiveHosts.m_Version
                                         : kReadsConfigurationExtension,
                        m_Board.m_Directory.m_Term,
                        m_Board.m_Directory.m_Version, m_WantsLiveHosts,
                        m_Members.empty() ? 0 : digestOf(m_Members)}});
}

void ConfigurationController::onPollReply(LinkId Link, const PollReply &Reply,
                                          Time Now) {
  if (m_PolledLink != Link)
    return;
  auto Found = std::find_if(
      m_OutstandingPolls.begin(), m_OutstandingPolls.end(),
      [&](const Poll &Sent) { return Sent.m_Sequence == Reply.m_Sequence; });
  if (Found == m_OutstandingPolls.end())
    return;
  Poll Answered = *Found;
  m_UnansweredPeers = 0;
  updateMembers(Reply);
  updateLiveHosts(Reply);
  bool IsOffer = Reply.m_SnapshotBytes > 0 && Reply.m_Snapshot.empty();
  if (IsOffer)
    return startTransfer(Link, Reply, Now);
  bool IsUpToDate = Reply.m_SnapshotBytes == 0 ? applyChanges(Answered, Reply)
                                               : applySnapshot(Reply);
  bool HasMoreParts =
      Reply.m_SnapshotBytes > Reply.m_SnapshotOffset + Reply.m_Snapshot.size();
  if (!HasMoreParts)
    m_OutstandingPolls.erase(m_OutstandingPolls.begin(), Found + 1);
  m_AnswerDueSince = Now;
  if (!HasMoreParts)
    m_AnswerDueSince = m_OutstandingPolls.empty()
                           ? m_LastPoll + kPollInterval
                           : m_OutstandingPolls.front().m_SentAt;
  if (!IsUpToDate)
    return;
  // The control host proved that nothing accepted before the poll is missing.
  m_Board.m_FreshAt = m_Board.m_FreshAt
                          ? std::max(*m_Board.m_FreshAt, Answered.m_SentAt)
                          : Answered.m_SentAt;
  preferOwnZone(Now);
}

void ConfigurationController::startTransfer(LinkId Link, const PollReply &Offer,
                                            Time Now) {
  m_OutstandingPolls.clear();
  m_AnswerDueSince = Now;
  m_AwaitsPart = true;
  if (!m_Transfer ||
      !m_Transfer->isOf(Offer.m_AppliedIndex, Offer.m_SnapshotBytes))
    m_Transfer.emplace(Offer.m_AppliedIndex, Offer.m_SnapshotBytes);
  m_Actions.push_back(SendMessage{Link, m_Transfer->nextRequest()});
}

void ConfigurationController::onConfigurationPart(LinkId Link,
                                                  const ConfigurationPart &Part,
                                                  Time Now) {
  if (m_PolledLink != Link || !m_Transfer || !m_AwaitsPart)
    return;
  SnapshotTransfer::Progress Progress = m_Transfer->add(Part);
  if (Progress == SnapshotTransfer::Progress::Ignored)
    return;
  m_AnswerDueSince = Now;
  if (Progress == SnapshotTransfer::Progress::Incomplete) {
    m_SnapshotBytesReceived += Part.m_Bytes.size();
    m_Actions.push_back(SendMessage{Link, m_Transfer->nextRequest()});
    return;
  }
  bool IsApplied = false;
  if (Progress == SnapshotTransfer::Progress::Complete) {
    m_SnapshotBytesReceived += Part.m_Bytes.size();
    IsApplied = applySnapshot(m_Transfer->takeBytes(), m_Transfer->index());
  }
  m_Transfer.reset();
  m_AwaitsPart = false;
  // The answer brings what has changed since, and proves that nothing is
  // missing. After a failure the next poll is due at the usual interval.
  if (IsApplied)
    sendPoll(Link, Now);
}

void ConfigurationController::onMembersReply(LinkId Link,
                                             const MembersReply &Reply,
                                             Time Now) {
  if (m_PolledLink != Link || Reply.m_Voters.empty())
    return;
  m_Links.release(currentPeer(), LinkUse::Poll);
  m_UnansweredPeers = 0;
  m_Members = Reply.m_Voters;
  m_Peers.clear();
  for (const ControlMember &Member : m_Members)
    m_Peers.push_back(Member.m_Peer);
  // Proxies choose different members to spread the load.
  m_CurrentPeer = m_Incarnation % m_Peers.size();
  startPollingCurrentPeer(Now);
}

bool ConfigurationController::applyChanges(const Poll &Answered,
                                           const PollReply &Reply) {
  if (m_NeedsSnapshot)
    return false;
  // A configuration that is ahead of the reply holds all that it proves.
  if (Reply.m_AppliedIndex <= m_Board.m_AppliedIndex)
    return true;
  if (Answered.m_BaseIndex != m_Board.m_AppliedIndex)
    return false;
  for (const Change &Accepted : Reply.m_Changes) {
    if (m_Board.m_Configuration.apply(Accepted).m_Accepted)
      continue;
    m_NeedsSnapshot = true;
    m_Actions.push_back(ReportStateChange{"a change could not be applied (" +
                                          describe(Accepted.m_Body) +
                                          "); requesting a snapshot"});
    return false;
  }
  m_Board.m_AppliedIndex = Reply.m_AppliedIndex;
  m_Changed = m_Changed || !Reply.m_Changes.empty();
  return true;
}

bool ConfigurationController::applySnapshot(const PollReply &Reply) {
  if (Reply.m_SnapshotOffset == 0) {
    m_PartialSnapshot.clear();
    m_SnapshotSequence = Reply.m_Sequence;
  }
  if (m_SnapshotSequence != Reply.m_Sequence ||
      Reply.m_SnapshotOffset != m_PartialSnapshot.size())
    return false;
  m_PartialSnapshot += Reply.m_Snapshot;
  m_SnapshotBytesReceived += Reply.m_Snapshot.size();
  if (m_PartialSnapshot.size() < Reply.m_SnapshotBytes)
    return false;
  std::string Encoded = std::move(m_PartialSnapshot);
  m_PartialSnapshot.clear();
  return applySnapshot(Encoded, Reply.m_AppliedIndex);
}

bool ConfigurationController::applySnapshot(const std::string &Encoded,
                                            uint64_t Index) {
  if (Index < m_Board.m_AppliedIndex)
    return !m_NeedsSnapshot;
  try {
    m_Board.m_Configuration = decodeConfiguration(Encoded);
  } catch (const DecodeError &Failure) {
    m_Actions.push_back(ReportStateChange{
        std::string("the configuration received is invalid: ") +
        Failure.what()});
    return false;
  }
  m_Board.m_AppliedIndex = Index;
  m_NeedsSnapshot = false;
  m_Changed = true;
  ++m_SnapshotsApplied;
  return true;
}

void ConfigurationController::updateLiveHosts(const PollReply &Reply) {
  updateDirectory(Reply);
  if (!Reply.m_LiveHosts)
    return;
  const LiveHosts &Known = m_Board.m_LiveHosts;
  if (std::pair(Reply.m_LiveHosts->m_Term, Reply.m_LiveHosts->m_Version) <=
      std::pair(Known.m_Term, Known.m_Version))
    return;
  m_Board.m_LiveHosts = *Reply.m_LiveHosts;
  m_Changed = true;
}

void ConfigurationController::updateDirectory(const PollReply &Reply) {
  if (!Reply.m_Directory)
    return;
  const InstanceDirectory &Known = m_Board.m_Directory;
  if (std::pair(Reply.m_Directory->m_Term, Reply.m_Directory->m_Version) <=
          std::pair(Known.m_Term, Known.m_Version) ||
      Reply.m_Directory->m_IsComplete < Known.m_IsComplete)
    return;
  m_Board.m_Directory = *Reply.m_Directory;
  m_Changed = true;
}

void ConfigurationController::updateMembers(const PollReply &Reply) {
  if (!Reply.m_ControlMembers.empty())
    m_Members = Reply.m_ControlMembers;
  // Also drops the seeds that were added while no member answered.
  bool IsOtherSize = m_Peers.size() != m_Members.size();
  if (!Reply.m_ControlMembers.empty() || (!m_Members.empty() && IsOtherSize))
    updatePeers();
  m_Leader.reset();
  for (const ControlMember &Member : m_Members)
    if (Member.m_Host == Reply.m_Leader && !Reply.m_Leader.empty())
      m_Leader = Member.m_Peer;
}

void ConfigurationController::updatePeers() {
  Endpoint Polled = currentPeer();
  std::vector<Endpoint> Peers;
  for (const ControlMember &Member : m_Members)
    Peers.push_back(Member.m_Peer);
  auto Found = std::find(Peers.begin(), Peers.end(), Polled);
  // A control host outside the membership is polled until it fails.
  if (Found == Peers.end())
    Found = Peers.insert(Peers.end(), Polled);
  m_CurrentPeer = static_cast<size_t>(Found - Peers.begin());
  m_Peers = std::move(Peers);
}

void ConfigurationController::addSeeds() {
  m_UnansweredPeers = 0;
  for (const Endpoint &Seed : m_Seeds)
    if (std::find(m_Peers.begin(), m_Peers.end(), Seed) == m_Peers.end())
      m_Peers.push_back(Seed);
}

void ConfigurationController::preferOwnZone(Time Now) {
  auto IsInOwnZone = [&](const ControlMember &Member) {
    return Member.m_Zone == m_Host.m_Zone;
  };
  auto IsPolled = [&](const ControlMember &Member) {
    return Member.m_Peer == currentPeer();
  };
  bool IsDue =
      !m_OwnZoneTriedAt || Now - *m_OwnZoneTriedAt >= kOwnZoneRetryInterval;
  auto OwnZoneMember =
      std::find_if(m_Members.begin(), m_Members.end(), IsInOwnZone);
  auto Polled = std::find_if(m_Members.begin(), m_Members.end(), IsPolled);
  if (!IsDue || OwnZoneMember == m_Members.end() ||
      (Polled != m_Members.end() && IsInOwnZone(*Polled)))
    return;
  m_OwnZoneTriedAt = Now;
  m_Links.release(currentPeer(), LinkUse::Poll);
  m_CurrentPeer = static_cast<size_t>(
      std::find(m_Peers.begin(), m_Peers.end(), OwnZoneMember->m_Peer) -
      m_Peers.begin());
  startPollingCurrentPeer(Now);
}

std::vector<Endpoint> ConfigurationController::heartbeatPeers() const {
  return m_Leader ? std::vector<Endpoint>{*m_Leader} : m_Peers;
}

bool ConfigurationController::takeChanged() {
  bool Changed = m_Changed;
  m_Changed = false;
  return Changed;
}

CounterList ConfigurationController::counters() const {
  return {{"almondpier_polls_total", "Polls sent to control hosts",
           static_cast<double>(m_Sequence)},
          {"almondpier_poll_timeouts_total",
           "Polls that a control host did not answer in time",
           static_cast<double>(m_PollTimeouts)},
          {"almondpier_snapshots_applied_total",
           "Snapshots of the configuration received completely",
           static_cast<double>(m_SnapshotsApplied)},
          {"almondpier_snapshot_bytes_received_total",
           "Bytes of snapshots of the configuration received",
           static_cast<double>(m_SnapshotBytesReceived)}};
}

} // namespace almondpier
