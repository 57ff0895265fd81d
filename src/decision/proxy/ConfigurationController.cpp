#include "decision/proxy/ConfigurationController.h"

#include "decision/proxy/ProxyCore.h"

#include <algorithm>

namespace almondpier {

// Hosts that refuse connections are tried in turn at this pace.
static constexpr Duration kMinHostChangeInterval =
    std::chrono::milliseconds(50);

/// A proxy turns to a control host of its own zone, whose links are short and
/// not paid for, but not again and again to one that does not answer.
static constexpr Duration kZoneRetryInterval = std::chrono::seconds(10);

ConfigurationController::ConfigurationController(const ProxyOptions &Options,
                                                 ProxyBlackboard &Board,
                                                 LinkTable &Links,
                                                 ProxyActions &Actions)
    : m_Host(Options.m_Host), m_Incarnation(Options.m_Incarnation),
      m_Board(Board), m_Links(Links), m_Actions(Actions),
      m_Peers(Options.m_ControlPeers),
      m_WantsLiveHosts(Options.m_RoutesByLiveHosts) {
  // Proxies begin at different control hosts, so that the load is spread.
  if (!m_Peers.empty())
    m_Current = Options.m_Seed % m_Peers.size();
}

void ConfigurationController::tick(Time Now) {
  if (m_Peers.empty())
    return;
  if (!m_WaitingSince) {
    m_WaitingSince = Now;
    m_Links.want(current(), LinkUse::Poll, Now);
  }
  bool IsDown = m_Links.stateOf(current()) == LinkState::Down;
  if (Now - *m_WaitingSince >= kPollTimeout ||
      (IsDown && Now - m_LastHostChange >= kMinHostChangeInterval)) {
    changeHost(Now);
    return;
  }
  std::optional<LinkId> Link = m_Links.linkTo(current());
  if (!Link)
    return;
  bool IsNewLink = m_PolledLink != Link;
  if (!IsNewLink && Now - m_LastPoll < kPollInterval)
    return;
  // The configuration is asked for without delay on a new link.
  if (IsNewLink) {
    m_Outstanding.clear();
    m_WaitingSince = Now;
  }
  m_PolledLink = Link;
  sendPoll(*Link, Now);
}

void ConfigurationController::changeHost(Time Now) {
  m_Links.release(current(), LinkUse::Poll);
  m_Current = (m_Current + 1) % m_Peers.size();
  beginAtCurrent(Now);
}

void ConfigurationController::beginAtCurrent(Time Now) {
  m_WaitingSince = Now;
  m_LastHostChange = Now;
  m_PolledLink.reset();
  m_Outstanding.clear();
  m_SnapshotPart.clear();
  ++m_HostChanges;
  m_Links.want(current(), LinkUse::Poll, Now);
}

void ConfigurationController::sendPoll(LinkId Link, Time Now) {
  m_LastPoll = Now;
  uint64_t Base = m_NeedsSnapshot ? 0 : m_Board.m_AppliedIndex;
  m_Outstanding.push_back(Poll{++m_Sequence, Now, Base});
  m_Actions.push_back(SendMessage{
      Link,
      PollRequest{m_Host, m_Incarnation, m_Sequence, Base,
                  m_Board.m_LiveHosts.m_Term, m_Board.m_LiveHosts.m_Version,
                  m_Board.m_Directory.m_Term, m_Board.m_Directory.m_Version,
                  m_WantsLiveHosts,
                  m_Members.empty() ? 0 : digestOf(m_Members)}});
}

void ConfigurationController::onReply(LinkId Link, const PollReply &Reply,
                                      Time Now) {
  if (m_PolledLink != Link)
    return;
  auto Found = std::find_if(
      m_Outstanding.begin(), m_Outstanding.end(),
      [&](const Poll &Sent) { return Sent.m_Sequence == Reply.m_Sequence; });
  if (Found == m_Outstanding.end())
    return;
  Poll Answered = *Found;
  learnMembers(Reply);
  learnLiveHosts(Reply);
  bool IsWhole = Reply.m_SnapshotBytes == 0 ? applyChanges(Answered, Reply)
                                            : applySnapshot(Reply);
  bool HasMoreParts =
      Reply.m_SnapshotBytes > Reply.m_SnapshotOffset + Reply.m_Snapshot.size();
  if (!HasMoreParts)
    m_Outstanding.erase(m_Outstanding.begin(), Found + 1);
  m_WaitingSince = Now;
  if (!HasMoreParts)
    m_WaitingSince = m_Outstanding.empty() ? m_LastPoll + kPollInterval
                                           : m_Outstanding.front().m_SentAt;
  if (!IsWhole)
    return;
  // The control host proved that nothing accepted before the poll is missing.
  m_Board.m_FreshAt = m_Board.m_FreshAt
                          ? std::max(*m_Board.m_FreshAt, Answered.m_SentAt)
                          : Answered.m_SentAt;
  preferOwnZone(Now);
}

void ConfigurationController::onMembers(LinkId Link, const MembersReply &Reply,
                                        Time Now) {
  if (m_PolledLink != Link || Reply.m_Voters.empty())
    return;
  m_Links.release(current(), LinkUse::Poll);
  m_Members = Reply.m_Voters;
  m_Peers.clear();
  for (const ControlMember &Member : m_Members)
    m_Peers.push_back(Member.m_Peer);
  // Proxies turn to different members, as at the start.
  m_Current = m_Incarnation % m_Peers.size();
  beginAtCurrent(Now);
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
    m_Actions.push_back(ReportStateChange{
        "a change could not be applied (" + describe(Accepted.m_Body) +
        "); asking for the whole configuration"});
    return false;
  }
  m_Board.m_AppliedIndex = Reply.m_AppliedIndex;
  m_Changed = m_Changed || !Reply.m_Changes.empty();
  return true;
}

bool ConfigurationController::applySnapshot(const PollReply &Reply) {
  if (Reply.m_SnapshotOffset == 0) {
    m_SnapshotPart.clear();
    m_SnapshotSequence = Reply.m_Sequence;
  }
  if (m_SnapshotSequence != Reply.m_Sequence ||
      Reply.m_SnapshotOffset != m_SnapshotPart.size())
    return false;
  m_SnapshotPart += Reply.m_Snapshot;
  if (m_SnapshotPart.size() < Reply.m_SnapshotBytes)
    return false;
  std::string Whole = std::move(m_SnapshotPart);
  m_SnapshotPart.clear();
  if (Reply.m_AppliedIndex < m_Board.m_AppliedIndex)
    return !m_NeedsSnapshot;
  try {
    m_Board.m_Configuration = decodeConfiguration(Whole);
  } catch (const DecodeError &Failure) {
    m_Actions.push_back(ReportStateChange{
        std::string("the configuration received is invalid: ") +
        Failure.what()});
    return false;
  }
  m_Board.m_AppliedIndex = Reply.m_AppliedIndex;
  m_NeedsSnapshot = false;
  m_Changed = true;
  return true;
}

void ConfigurationController::learnLiveHosts(const PollReply &Reply) {
  learnDirectory(Reply);
  if (!Reply.m_LiveHosts)
    return;
  const LiveHosts &Known = m_Board.m_LiveHosts;
  if (std::pair(Reply.m_LiveHosts->m_Term, Reply.m_LiveHosts->m_Version) <=
      std::pair(Known.m_Term, Known.m_Version))
    return;
  m_Board.m_LiveHosts = *Reply.m_LiveHosts;
  m_Changed = true;
}

void ConfigurationController::learnDirectory(const PollReply &Reply) {
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

void ConfigurationController::learnMembers(const PollReply &Reply) {
  if (!Reply.m_ControlMembers.empty()) {
    m_Members = Reply.m_ControlMembers;
    adoptPeers();
  }
  m_Leader.reset();
  for (const ControlMember &Member : m_Members)
    if (Member.m_Host == Reply.m_Leader && !Reply.m_Leader.empty())
      m_Leader = Member.m_Peer;
}

void ConfigurationController::adoptPeers() {
  Endpoint Polled = current();
  std::vector<Endpoint> Peers;
  for (const ControlMember &Member : m_Members)
    Peers.push_back(Member.m_Peer);
  auto Found = std::find(Peers.begin(), Peers.end(), Polled);
  // A control host outside the membership is polled until it fails.
  if (Found == Peers.end())
    Found = Peers.insert(Peers.end(), Polled);
  m_Current = static_cast<size_t>(Found - Peers.begin());
  m_Peers = std::move(Peers);
}

void ConfigurationController::preferOwnZone(Time Now) {
  auto IsNear = [&](const ControlMember &Member) {
    return Member.m_Zone == m_Host.m_Zone;
  };
  auto IsPolled = [&](const ControlMember &Member) {
    return Member.m_Peer == current();
  };
  bool IsDue = !m_ZoneTriedAt || Now - *m_ZoneTriedAt >= kZoneRetryInterval;
  auto Near = std::find_if(m_Members.begin(), m_Members.end(), IsNear);
  auto Polled = std::find_if(m_Members.begin(), m_Members.end(), IsPolled);
  if (!IsDue || Near == m_Members.end() ||
      (Polled != m_Members.end() && IsNear(*Polled)))
    return;
  m_ZoneTriedAt = Now;
  m_Links.release(current(), LinkUse::Poll);
  m_Current = static_cast<size_t>(
      std::find(m_Peers.begin(), m_Peers.end(), Near->m_Peer) -
      m_Peers.begin());
  beginAtCurrent(Now);
}

std::vector<Endpoint> ConfigurationController::heartbeatPeers() const {
  return m_Leader ? std::vector<Endpoint>{*m_Leader} : m_Peers;
}

bool ConfigurationController::takeChanged() {
  bool Changed = m_Changed;
  m_Changed = false;
  return Changed;
}

} // namespace almondpier
