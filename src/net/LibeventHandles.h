/// \file
/// Owning handles for libevent objects. Included by sources of this library
/// only.
#pragma once

#include "almondpier/Net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <netinet/in.h>

namespace almondpier {

template <auto Free> struct LibeventDeleter {
  template <typename Handle> void operator()(Handle *Pointer) const {
    Free(Pointer);
  }
};

using EventHandle = std::unique_ptr<event, LibeventDeleter<event_free>>;
using BuffereventHandle =
    std::unique_ptr<bufferevent, LibeventDeleter<bufferevent_free>>;
using ListenerHandle =
    std::unique_ptr<evconnlistener, LibeventDeleter<evconnlistener_free>>;
using HttpHandle = std::unique_ptr<evhttp, LibeventDeleter<evhttp_free>>;
using HttpConnectionHandle =
    std::unique_ptr<evhttp_connection, LibeventDeleter<evhttp_connection_free>>;

timeval toTimeval(Duration Value);
/// Returns nothing when Value holds no IPv4 address.
std::optional<sockaddr_in> parseSocketAddress(const Endpoint &Value);
/// Throws Error when Value holds no IPv4 address.
sockaddr_in toSocketAddress(const Endpoint &Value);
Endpoint fromSocketAddress(const sockaddr_in &Value);
/// Disables Nagle's algorithm, which would delay small messages by up to 40 ms.
void disableNagle(evutil_socket_t Socket);
/// Ends a connection whose peer acknowledges nothing for so long, also while it
/// is idle; a partition gives no other sign.
void detectSilence(evutil_socket_t Socket, uint32_t TimeoutMs);
/// Listens on Local; OnAccept gets each new socket with Context. Throws Error
/// when the endpoint cannot be bound.
ListenerHandle listenOn(EventLoop &Loop, const Endpoint &Local,
                        evconnlistener_cb OnAccept, void *Context);
/// Starts to connect to Peer. Returns false when the connection failed at once,
/// of which libevent reports nothing. The address of a peer comes from outside
/// this process, so an unreadable one is a failed connection.
bool startConnecting(bufferevent *Connection, const Endpoint &Peer);
uint64_t randomNumber();

} // namespace almondpier
