/// \file
/// Links from this control host to the others.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Keeps one link open to each wanted peer and opens lost ones again. Answers
/// go back on the link on which their request came.
class PeerLinks {
public:
  /// Opens and closes links so that they lead to exactly these peers.
  void setPeers(const std::set<Endpoint> &Peers, ControlActions &Actions,
                Time Now);
  /// Sends when the link to the peer is up; otherwise the message is dropped,
  /// as the sender repeats it.
  void send(const Endpoint &Peer, const Message &Message,
            ControlActions &Actions) const;
  bool isUp(const Endpoint &Peer) const;
  void sendToAll(const Message &Message, ControlActions &Actions) const;
  void onOpened(LinkId Link, Time Now);
  void onClosed(LinkId Link, Time Now);
  void onReceived(LinkId Link, Time Now);
  void tick(ControlActions &Actions, Time Now);

private:
  struct Peer {
    std::optional<LinkId> m_Link;
    bool m_IsUp = false;
    Time m_HeardAt;
    Time m_OpenAfter;
  };

  void open(const Endpoint &Endpoint, Peer &Peer, ControlActions &Actions,
            Time Now);
  Peer *findPeer(LinkId Link);

  std::map<Endpoint, Peer> m_Peers;
  uint64_t m_NextLink = 1;
  Time m_PingedAt;
};

} // namespace almondpier
