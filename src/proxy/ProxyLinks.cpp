#include "proxy/ProxyLinks.h"

#include "almondpier/Telemetry.h"

namespace almondpier {

ProxyLinks::ProxyLinks(EventLoop &Loop, const FleetSecret &Secret,
                       const Endpoint &Local, OnEvent Dispatch)
    : m_Loop(Loop), m_Secret(Secret), m_Dispatch(std::move(Dispatch)),
      m_Listener(Loop, Secret, Local,
                 [this](std::unique_ptr<Link> Accepted) {
                   accept(std::move(Accepted));
                 }),
      m_Datagrams(Loop, Secret, Local,
                  [](const Endpoint & /*Peer*/, const Message & /*Message*/) {
                    // Control hosts send no datagrams besides nonces, which the
                    // socket keeps.
                  }) {}

Link::Callbacks ProxyLinks::callbacksFor(LinkId Id) {
  return Link::Callbacks{
      [this, Id] {
        m_Links.at(Id.m_Value).m_WasUp = true;
        m_Dispatch(LinkOpened{Id});
      },
      [this, Id](Message Received) {
        m_Dispatch(MessageReceived{Id, std::move(Received)});
      },
      [this, Id](const std::string &Reason) { onLinkClosed(Id, Reason); }};
}

void ProxyLinks::open(const OpenLink &Action) {
  m_Links[Action.m_Link.m_Value] =
      Entry{Link::connect(m_Loop, m_Secret, Action.m_Peer,
                          callbacksFor(Action.m_Link)),
            Action.m_Peer, false};
}

void ProxyLinks::accept(std::unique_ptr<Link> Accepted) {
  m_LastAcceptedId += 2;
  LinkId Id{m_LastAcceptedId};
  Accepted->setCallbacks(callbacksFor(Id));
  m_Links[Id.m_Value] = Entry{std::move(Accepted), std::nullopt, false};
}

void ProxyLinks::countBytes(const Link &Ended) {
  m_BytesSent += Ended.bytesSent();
  m_BytesReceived += Ended.bytesReceived();
}

void ProxyLinks::onLinkClosed(LinkId Id, const std::string &Reason) {
  auto Found = m_Links.find(Id.m_Value);
  if (Found == m_Links.end())
    return;
  Entry Ended = std::move(Found->second);
  m_Links.erase(Found);
  countBytes(*Ended.m_Link);
  m_ClosedLinks.push_back(std::move(Ended.m_Link));
  if (Ended.m_WasUp && Ended.m_Peer)
    writeLog(LogLevel::Warning,
             "link to " + formatEndpoint(*Ended.m_Peer) + " failed: " + Reason);
  m_Dispatch(LinkClosed{Id, Reason});
}

void ProxyLinks::close(const CloseLink &Action) {
  auto Found = m_Links.find(Action.m_Link.m_Value);
  if (Found == m_Links.end())
    return;
  countBytes(*Found->second.m_Link);
  // The link may be in the middle of a callback.
  Found->second.m_Link->setCallbacks({});
  m_ClosedLinks.push_back(std::move(Found->second.m_Link));
  m_Links.erase(Found);
}

void ProxyLinks::send(const SendMessage &Action) {
  auto Found = m_Links.find(Action.m_Link.m_Value);
  if (Found != m_Links.end())
    Found->second.m_Link->send(Action.m_Message);
}

void ProxyLinks::send(const SendDatagram &Action) {
  m_Datagrams.send(Action.m_Peer, Action.m_Message);
}

CounterList ProxyLinks::counters() const {
  uint64_t Sent = m_BytesSent;
  uint64_t Received = m_BytesReceived;
  for (const auto &[Id, Entry] : m_Links) {
    Sent += Entry.m_Link->bytesSent();
    Received += Entry.m_Link->bytesReceived();
  }
  return {{"almondpier_link_bytes_sent_total", "Bytes sent over links",
           static_cast<double>(Sent)},
          {"almondpier_link_bytes_received_total", "Bytes received over links",
           static_cast<double>(Received)},
          {"almondpier_datagram_bytes_sent_total", "Bytes sent by UDP",
           static_cast<double>(m_Datagrams.bytesSent())}};
}

} // namespace almondpier
