/// \file
/// Requests to proxies over kept connections.
#pragma once

#include "almondpier/Net.h"

#include <random>

namespace almondpier {

/// An answer of a proxy, or why there is none.
struct ProxyAnswer {
  bool m_HasArrived = false;
  /// Nothing arrived, and no byte of the request was sent.
  bool m_WasNothingSent = false;
  HttpResponse m_Response;
  /// Of an error; empty otherwise.
  std::string m_ErrorKind;
  std::string m_Ran;
  uint32_t m_RetryAfterMs = 0;

  bool isServed() const { return m_HasArrived && m_Response.m_Status == 200; }
};

class ProxyClient {
public:
  using Callback = std::function<void(const ProxyAnswer &)>;

  ProxyClient(EventLoop &Loop, std::vector<Endpoint> Proxies);

  size_t size() const { return m_Proxies.size(); }
  /// A random proxy that did not fail within the last second, as a load
  /// balancer chooses it.
  size_t pick(std::mt19937_64 &Random) const;
  bool isUsable(size_t Proxy) const;
  void send(size_t Proxy, const HttpClientConnection::Request &Request,
            Callback Callback);

private:
  using Connection = std::shared_ptr<HttpClientConnection>;
  struct ProxyState {
    Endpoint m_Endpoint;
    Time m_FailedUntil{};
    std::vector<Connection> m_Idle;
  };

  Connection take(size_t Proxy);
  void giveBack(size_t Proxy, const Connection &Used);
  void fail(size_t Proxy);

  EventLoop &m_Loop;
  std::vector<ProxyState> m_Proxies;
};

} // namespace almondpier
