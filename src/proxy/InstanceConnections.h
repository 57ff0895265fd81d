/// \file
/// Connections to the statement endpoints of database instances.
#pragma once

#include "proxy/ProxyDispatcher.h"

#include <unordered_map>

namespace almondpier {

class InstanceConnections {
public:
  InstanceConnections(EventLoop &Loop, ProxyDispatcher &Events)
      : m_Loop(Loop), m_Events(Events) {}

  void open(const OpenConnection &Action);
  void close(const CloseConnection &Action);
  void send(const SendStatement &Action);
  CounterList counters() const;

private:
  EventLoop &m_Loop;
  ProxyDispatcher &m_Events;
  std::unordered_map<uint64_t, std::unique_ptr<HttpClientConnection>>
      m_Connections;
  uint64_t m_OpenedCount = 0;
  uint64_t m_StatementCount = 0;
};

} // namespace almondpier
