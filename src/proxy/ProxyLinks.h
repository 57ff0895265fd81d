/// \file
/// Links to and from other processes.
#pragma once

#include "almondpier/Net.h"
#include "decision/proxy/ProxyEvents.h"

#include <unordered_map>

namespace almondpier {

class ProxyLinks {
public:
  /// Takes LinkOpened, LinkClosed and MessageReceived events.
  using OnEvent = std::function<void(ProxyEvent)>;

  ProxyLinks(EventLoop &Loop, const FleetSecret &Secret, const Endpoint &Local,
             OnEvent Dispatch);

  void open(const OpenLink &Action);
  void close(const CloseLink &Action);
  void send(const SendMessage &Action);
  void send(const SendDatagram &Action);
  /// Destroys closed links; not called from a callback of a link.
  void destroyClosedLinks() { m_ClosedLinks.clear(); }
  CounterList counters() const;

private:
  struct Entry {
    std::unique_ptr<Link> m_Link;
    /// Set for links that this host opened.
    std::optional<Endpoint> m_Peer;
    bool m_WasUp = false;
  };

  void accept(std::unique_ptr<Link> Accepted);
  Link::Callbacks callbacksFor(LinkId Id);
  void onLinkClosed(LinkId Id, const std::string &Reason);
  void countBytes(const Link &Ended);

  EventLoop &m_Loop;
  FleetSecret m_Secret;
  OnEvent m_Dispatch;
  std::unordered_map<uint64_t, Entry> m_Links;
  std::vector<std::unique_ptr<Link>> m_ClosedLinks;
  uint64_t m_LastAcceptedId = 0;
  uint64_t m_BytesSent = 0;
  uint64_t m_BytesReceived = 0;
  LinkListener m_Listener;
  DatagramSocket m_Datagrams;
};

} // namespace almondpier
