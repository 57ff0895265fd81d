#include "decision/control/PeerLinks.h"

namespace almondpier {

namespace {

constexpr Duration kReopenDelay = std::chrono::milliseconds(100);
constexpr Duration kPingInterval = std::chrono::milliseconds(100);
/// A stopped process leaves its connections open, so silence also ends a link.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1'000);

} // namespace

void PeerLinks::setPeers(const std::set<Endpoint> &Peers,
                         ControlActions &Actions, Time Now) {
  for (auto It = m_Peers.begin(); It != m_Peers.end();) {
    if (Peers.contains(It->first)) {
      ++It;
      continue;
    }
    if (It->second.m_Link)
      Actions.push_back(CloseLink{*It->second.m_Link});
    It = m_Peers.erase(It);
  }
  for (const Endpoint &Wanted : Peers)
    if (!m_Peers.contains(Wanted))
      open(Wanted, m_Peers[Wanted], Actions, Now);
}

void PeerLinks::open(const Endpoint &Endpoint, Peer &Peer,
                     ControlActions &Actions, Time Now) {
  Peer.m_Link = LinkId{m_NextLink};
  m_NextLink += 2;
  Peer.m_IsUp = false;
  Peer.m_HeardAt = Now;
  Actions.push_back(OpenLink{*Peer.m_Link, Endpoint});
}

bool PeerLinks::isUp(const Endpoint &Peer) const {
  auto Found = m_Peers.find(Peer);
  return Found != m_Peers.end() && Found->second.m_IsUp;
}

void PeerLinks::send(const Endpoint &Peer, const Message &Message,
                     ControlActions &Actions) const {
  if (isUp(Peer))
    Actions.push_back(SendMessage{*m_Peers.at(Peer).m_Link, Message});
}

void PeerLinks::sendToAll(const Message &Message,
                          ControlActions &Actions) const {
  for (const std::pair<const Endpoint, Peer> &Entry : m_Peers)
    send(Entry.first, Message, Actions);
}

PeerLinks::Peer *PeerLinks::findPeer(LinkId Link) {
  for (std::pair<const Endpoint, Peer> &Entry : m_Peers)
    if (Entry.second.m_Link == Link)
      return &Entry.second;
  return nullptr;
}

void PeerLinks::onOpened(LinkId Link, Time Now) {
  Peer *Found = findPeer(Link);
  if (Found == nullptr)
    return;
  Found->m_IsUp = true;
  Found->m_HeardAt = Now;
}

void PeerLinks::onClosed(LinkId Link, Time Now) {
  Peer *Found = findPeer(Link);
  if (Found == nullptr)
    return;
  Found->m_Link.reset();
  Found->m_IsUp = false;
  Found->m_OpenAfter = Now + kReopenDelay;
}

void PeerLinks::onReceived(LinkId Link, Time Now) {
  Peer *Found = findPeer(Link);
  if (Found != nullptr)
    Found->m_HeardAt = Now;
}

void PeerLinks::tick(ControlActions &Actions, Time Now) {
  for (std::pair<const Endpoint, Peer> &Entry : m_Peers) {
    Peer &Peer = Entry.second;
    if (Peer.m_Link && Now - Peer.m_HeardAt > kSilenceLimit) {
      Actions.push_back(CloseLink{*Peer.m_Link});
      Peer.m_Link.reset();
      Peer.m_IsUp = false;
      Peer.m_OpenAfter = Now + kReopenDelay;
    }
    if (!Peer.m_Link && Now >= Peer.m_OpenAfter)
      open(Entry.first, Peer, Actions, Now);
  }
  if (Now - m_PingedAt < kPingInterval)
    return;
  m_PingedAt = Now;
  sendToAll(Ping{}, Actions);
}

} // namespace almondpier
