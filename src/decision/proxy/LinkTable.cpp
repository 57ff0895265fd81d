#include "decision/proxy/LinkTable.h"

#include <algorithm>

namespace almondpier {

static constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
static constexpr Duration kMaxBackoff = std::chrono::milliseconds(1'000);
// The opener closes a silent link after 400 ms. The acceptor waits longer, so
// that it does not disconnect a peer that is only slow.
static constexpr Duration kAcceptedLinkSilenceTimeout =
    std::chrono::milliseconds(2'000);
static constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

void LinkTable::acquire(const Endpoint &Peer, LinkUse Use, Time Now) {
  OutgoingLink &Entry = m_Outgoing[Peer];
  bool IsNew = Entry.m_Uses == 0;
  Entry.m_Uses |= static_cast<uint8_t>(Use);
  if (IsNew)
    open(Peer, Entry, Now);
}

void LinkTable::release(const Endpoint &Peer, LinkUse Use) {
  auto Found = m_Outgoing.find(Peer);
  if (Found == m_Outgoing.end())
    return;
  OutgoingLink &Entry = Found->second;
  Entry.m_Uses &= static_cast<uint8_t>(~static_cast<unsigned>(Use));
  if (Entry.m_Uses != 0)
    return;
  if (Entry.m_IsOpen) {
    m_Actions.push_back(CloseLink{Entry.m_Link});
    m_LostLinks.push_back(Entry.m_Link);
    m_PeerByLink.erase(Entry.m_Link.m_Value);
  }
  m_Outgoing.erase(Found);
}

void LinkTable::retainOnly(const std::set<Endpoint> &Kept, LinkUse Use) {
  std::vector<Endpoint> Released;
  for (const auto &[Peer, Entry] : m_Outgoing)
    if ((Entry.m_Uses & static_cast<uint8_t>(Use)) != 0 && !Kept.contains(Peer))
      Released.push_back(Peer);
  for (const Endpoint &Peer : Released)
    release(Peer, Use);
}

void LinkTable::open(const Endpoint &Peer, OutgoingLink &Entry, Time Now) {
  m_LastOpenedId = m_LastOpenedId == 0 ? 1 : m_LastOpenedId + 2;
  Entry.m_Link = LinkId{m_LastOpenedId};
  Entry.m_IsOpen = true;
  Entry.m_ChangedAt = Now;
  m_PeerByLink[Entry.m_Link.m_Value] = Peer;
  m_Actions.push_back(OpenLink{Entry.m_Link, Peer});
}

void LinkTable::markDown(OutgoingLink &Entry, Time Now, bool MustClose) {
  if (!Entry.m_IsOpen)
    return;
  if (MustClose)
    m_Actions.push_back(CloseLink{Entry.m_Link});
  if (Entry.m_State == LinkState::Up)
    ++m_LostCount;
  m_LostLinks.push_back(Entry.m_Link);
  m_PeerByLink.erase(Entry.m_Link.m_Value);
  Entry.m_IsOpen = false;
  Entry.m_State = LinkState::Down;
  Entry.m_Backoff = Entry.m_Backoff == Duration::zero()
                        ? kInitialBackoff
                        : std::min(Entry.m_Backoff * 2, kMaxBackoff);
  Entry.m_RetryAt = Now + Entry.m_Backoff;
}

LinkState LinkTable::stateOf(const Endpoint &Peer) const {
  auto Found = m_Outgoing.find(Peer);
  return Found == m_Outgoing.end() ? LinkState::Down : Found->second.m_State;
}

std::optional<LinkId> LinkTable::linkTo(const Endpoint &Peer) const {
  auto Found = m_Outgoing.find(Peer);
  if (Found == m_Outgoing.end() || Found->second.m_State != LinkState::Up)
    return std::nullopt;
  return Found->second.m_Link;
}

bool LinkTable::isOpen(LinkId Link) const {
  if (isAccepted(Link))
    return m_Accepted.contains(Link.m_Value);
  return m_PeerByLink.contains(Link.m_Value);
}

void LinkTable::reconnect(const Endpoint &Peer, Time Now) {
  auto Found = m_Outgoing.find(Peer);
  if (Found != m_Outgoing.end())
    markDown(Found->second, Now, true);
}

void LinkTable::onOpened(LinkId Link, Time Now) {
  if (isAccepted(Link)) {
    // A first ping is due at once, so that the opener learns the interval.
    m_Accepted[Link.m_Value] = Traffic{Now, Time::min(), Now, 0, kPingInterval};
    return;
  }
  auto Peer = m_PeerByLink.find(Link.m_Value);
  if (Peer == m_PeerByLink.end())
    return;
  OutgoingLink &Entry = m_Outgoing.at(Peer->second);
  Entry.m_State = LinkState::Up;
  Entry.m_ChangedAt = Now;
  Entry.m_Traffic = Traffic{Now, Now, Now, 0, kPingInterval};
  Entry.m_Backoff = Duration::zero();
}

void LinkTable::onClosed(LinkId Link, Time Now) {
  if (isAccepted(Link)) {
    if (m_Accepted.erase(Link.m_Value) != 0)
      m_LostLinks.push_back(Link);
    return;
  }
  auto Peer = m_PeerByLink.find(Link.m_Value);
  if (Peer != m_PeerByLink.end())
    markDown(m_Outgoing.at(Peer->second), Now, false);
}

LinkTable::Traffic *LinkTable::findTraffic(LinkId Link) {
  if (isAccepted(Link)) {
    auto Found = m_Accepted.find(Link.m_Value);
    return Found == m_Accepted.end() ? nullptr : &Found->second;
  }
  auto Peer = m_PeerByLink.find(Link.m_Value);
  return Peer == m_PeerByLink.end() ? nullptr
                                    : &m_Outgoing.at(Peer->second).m_Traffic;
}

void LinkTable::onInput(LinkId Link, Time Now) {
  if (Traffic *Found = findTraffic(Link))
    Found->m_LastInput = Now;
}

void LinkTable::onPing(LinkId Link, const Ping &Received) {
  if (Traffic *Found = findTraffic(Link))
    Found->m_PeerPingInterval = std::max<Duration>(
        kPingInterval, std::chrono::milliseconds(Received.m_MaxSendIntervalMs));
}

void LinkTable::onRequestStarted(LinkId Link, Time Now) {
  Traffic *Found = findTraffic(Link);
  if (Found == nullptr)
    return;
  if (Found->m_InFlight == 0)
    Found->m_BusySince = Now;
  ++Found->m_InFlight;
}

void LinkTable::onRequestDone(LinkId Link) {
  Traffic *Found = findTraffic(Link);
  if (Found != nullptr && Found->m_InFlight > 0)
    --Found->m_InFlight;
}

void LinkTable::onResumed(Time Now) {
  for (const auto &[Link, Entry] : m_Accepted) {
    m_Actions.push_back(CloseLink{LinkId{Link}});
    m_LostLinks.push_back(LinkId{Link});
  }
  m_Accepted.clear();
  for (auto &[Peer, Entry] : m_Outgoing) {
    markDown(Entry, Now, true);
    // The peers have not failed, so reconnect without backoff.
    Entry.m_Backoff = Duration::zero();
    Entry.m_State = LinkState::Connecting;
    open(Peer, Entry, Now);
  }
}

void LinkTable::checkOutgoing(const Endpoint &Peer, OutgoingLink &Entry,
                              Time Now) {
  if (!Entry.m_IsOpen) {
    if (Now >= Entry.m_RetryAt)
      open(Peer, Entry, Now);
    return;
  }
  if (Entry.m_State != LinkState::Up) {
    if (Now - Entry.m_ChangedAt >= kLinkSilenceTimeout)
      markDown(Entry, Now, true);
    return;
  }
  // Links to control hosts have their own timeouts for polls and token
  // requests.
  bool IsBetweenProxies =
      Entry.m_Uses == static_cast<uint8_t>(LinkUse::Forward);
  const Traffic &Traffic = Entry.m_Traffic;
  Duration Limit = Traffic.m_InFlight > 0
                       ? kLinkSilenceTimeout
                       : kMaxMissedIdlePings * Traffic.m_PeerPingInterval;
  if (IsBetweenProxies && Traffic.timeSinceInput(Now) >= Limit)
    markDown(Entry, Now, true);
}

void LinkTable::closeSilentAccepted(Time Now) {
  for (auto Entry = m_Accepted.begin(); Entry != m_Accepted.end();) {
    const Traffic &Traffic = Entry->second;
    // The opener sends nothing on an idle link.
    if (Traffic.m_InFlight == 0 ||
        Traffic.timeSinceInput(Now) < kAcceptedLinkSilenceTimeout) {
      ++Entry;
      continue;
    }
    m_Actions.push_back(CloseLink{LinkId{Entry->first}});
    m_LostLinks.push_back(LinkId{Entry->first});
    Entry = m_Accepted.erase(Entry);
  }
}

Duration LinkTable::idlePingInterval() const {
  constexpr Duration kSecond = std::chrono::seconds(1);
  Duration Interval = kSecond * static_cast<int64_t>(m_Accepted.size()) /
                      static_cast<int64_t>(kMaxIdlePingsPerSecond);
  return std::max(Interval, kPingInterval);
}

void LinkTable::pingIfDue(LinkId Link, Traffic &Traffic, Duration Interval,
                          Time Now) {
  bool IsFirst = Traffic.m_LastPing == Time::min();
  if (!IsFirst && Now - Traffic.m_LastPing <
                      std::min(Interval, Traffic.m_AnnouncedInterval))
    return;
  Traffic.m_LastPing = Now;
  Traffic.m_AnnouncedInterval = Interval;
  uint32_t NextWithinMs = static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Interval).count());
  m_Actions.push_back(SendMessage{Link, Ping{NextWithinMs}});
}

void LinkTable::sendPings(Time Now) {
  for (auto &[Peer, Entry] : m_Outgoing)
    if (Entry.m_State == LinkState::Up && Entry.m_Traffic.m_InFlight > 0)
      pingIfDue(Entry.m_Link, Entry.m_Traffic, kPingInterval, Now);
  Duration Idle = idlePingInterval();
  for (auto &[Link, Traffic] : m_Accepted)
    pingIfDue(LinkId{Link}, Traffic,
              Traffic.m_InFlight > 0 ? kPingInterval : Idle, Now);
}

void LinkTable::tick(Time Now) {
  if (Now - m_LastCheckAt < kCheckInterval)
    return;
  m_LastCheckAt = Now;
  for (auto &[Peer, Entry] : m_Outgoing)
    checkOutgoing(Peer, Entry, Now);
  closeSilentAccepted(Now);
  sendPings(Now);
}

std::vector<LinkId> LinkTable::takeLostLinks() {
  std::vector<LinkId> Lost;
  Lost.swap(m_LostLinks);
  return Lost;
}

size_t LinkTable::upCount() const {
  return static_cast<size_t>(
      std::count_if(m_Outgoing.begin(), m_Outgoing.end(), [](const auto &Item) {
        return Item.second.m_State == LinkState::Up;
      }));
}

} // namespace almondpier
