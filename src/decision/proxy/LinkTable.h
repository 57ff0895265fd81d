/// \file
/// Links to other processes: opens and reopens those in use, and detects peers
/// that are silent.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <algorithm>
#include <unordered_map>

namespace almondpier {

/// Purpose of a link that this host opens.
enum class LinkUse : uint8_t { Poll = 1, Tokens = 2, Forward = 4 };

/// Connecting: the first attempt since the peer was last known to be up.
enum class LinkState : uint8_t { Connecting, Up, Down };

/// Interval of pings on a link with requests in flight.
constexpr Duration kPingInterval = std::chrono::milliseconds(100);
/// Upper bound of the pings that a host sends on all idle links it accepted. At
/// 540 hosts each host has links from all others, and a ping every 100 ms on
/// each would cost it more than 100 KB/s.
constexpr size_t kMaxIdlePingsPerSecond = 100;
/// An idle link is down after this many ping intervals of its peer without
/// input.
constexpr int kMaxMissedIdlePings = 4;
/// A link between proxies with requests in flight is down after this time
/// without input.
constexpr Duration kLinkSilenceTimeout = std::chrono::milliseconds(400);

class LinkTable {
public:
  explicit LinkTable(ProxyActions &Actions) : m_Actions(Actions) {}

  /// Keeps a link to Peer open until the use is released.
  void acquire(const Endpoint &Peer, LinkUse Use, Time Now);
  void release(const Endpoint &Peer, LinkUse Use);
  /// Releases Use for all peers that are not in Kept.
  void retainOnly(const std::set<Endpoint> &Kept, LinkUse Use);
  LinkState stateOf(const Endpoint &Peer) const;
  /// The link to Peer while it is up.
  std::optional<LinkId> linkTo(const Endpoint &Peer) const;
  bool isOpen(LinkId Link) const;
  bool isAccepted(LinkId Link) const { return Link.m_Value % 2 == 0; }
  /// Closes a link whose peer does not answer and connects again later.
  void reconnect(const Endpoint &Peer, Time Now);

  void onOpened(LinkId Link, Time Now);
  void onClosed(LinkId Link, Time Now);
  void onInput(LinkId Link, Time Now);
  /// Records the ping interval announced by the peer.
  void onPing(LinkId Link, const Ping &Received);
  /// A request was sent on a link that this host opened, or arrived on one that
  /// it accepted. Both sides ping every kPingInterval until it is done.
  void onRequestStarted(LinkId Link, Time Now);
  void onRequestDone(LinkId Link);
  /// Closes every link, because messages still in transit may be as old as the
  /// suspension.
  void onResumed(Time Now);
  void tick(Time Now);
  /// Links that ended since the last call.
  std::vector<LinkId> takeLostLinks();
  size_t upCount() const;
  uint64_t lostCount() const { return m_LostCount; }

private:
  struct Traffic {
    Time m_LastInput;
    Time m_LastPing;
    /// When the first request in flight began. Earlier input does not show that
    /// the peer is alive.
    Time m_BusySince;
    size_t m_InFlight = 0;
    /// Announced by the last ping of the peer.
    Duration m_PeerPingInterval = kPingInterval;
    /// Announced by the last ping to the peer, which expects the next one
    /// within it.
    Duration m_AnnouncedInterval = kPingInterval;

    Duration timeSinceInput(Time Now) const {
      return Now - std::max(m_LastInput, m_BusySince);
    }
  };
  struct OutgoingLink {
    LinkId m_Link;
    LinkState m_State = LinkState::Connecting;
    uint8_t m_Uses = 0;
    bool m_IsOpen = false;
    Time m_ChangedAt;
    Traffic m_Traffic;
    Time m_RetryAt;
    Duration m_Backoff{};
  };

  void open(const Endpoint &Peer, OutgoingLink &Entry, Time Now);
  void markDown(OutgoingLink &Entry, Time Now, bool MustClose);
  void checkOutgoing(const Endpoint &Peer, OutgoingLink &Entry, Time Now);
  void sendPings(Time Now);
  void pingIfDue(LinkId Link, Traffic &Traffic, Duration Interval, Time Now);
  Duration idlePingInterval() const;
  Traffic *findTraffic(LinkId Link);
  void closeSilentAccepted(Time Now);

  ProxyActions &m_Actions;
  std::map<Endpoint, OutgoingLink> m_Outgoing;
  std::unordered_map<uint64_t, Endpoint> m_PeerByLink;
  std::unordered_map<uint64_t, Traffic> m_Accepted;
  std::vector<LinkId> m_LostLinks;
  uint64_t m_LastOpenedId = 0;
  uint64_t m_LostCount = 0;
  Time m_LastCheckAt;
};

} // namespace almondpier
