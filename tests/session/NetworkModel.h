/// \file
/// Models the links and processors of small hosts: bytes wait for the link of
/// their sender and of their receiver, and events for the receiver's processor.
#pragma once

#include "almondpier/Model.h"

#include <algorithm>
#include <map>

namespace almondpier::sessiontest {

/// What a host can send, receive and compute.
struct NodeCapacity {
  /// In both directions; 1 Mbit/s is 125 bytes per ms.
  double m_LinkBytesPerMs = 250;
  /// Share of a core.
  double m_CpuShare = 0.12;
};

/// Computes when a message has been handled. Messages of one sender to one
/// receiver keep their order.
class NetworkModel {
public:
  void setCapacity(size_t Node, const NodeCapacity &Capacity) {
    m_Nodes[Node].m_Capacity = Capacity;
  }

  /// Returns when the receiver's link has delivered a message sent now.
  Time deliver(size_t From, size_t To, size_t Bytes, Duration Hop, Time Now) {
    return receive(To, Bytes, send(From, Bytes, Now) + Hop);
  }
  /// Returns when a message has left the link of its sender.
  Time send(size_t From, size_t Bytes, Time Now) {
    Bytes += kHeaderBytes;
    Node &Sender = m_Nodes[From];
    Sender.m_SentBytes += Bytes;
    Sender.m_UplinkFreeAt = std::max(Sender.m_UplinkFreeAt, Now) +
                            serialisation(Sender.m_Capacity, Bytes);
    return Sender.m_UplinkFreeAt;
  }
  /// Returns when a message that arrives at the link of its receiver has passed
  /// it.
  Time receive(size_t To, size_t Bytes, Time Arrival) {
    Node &Receiver = m_Nodes[To];
    Receiver.m_DownlinkFreeAt =
        std::max(Receiver.m_DownlinkFreeAt, Arrival) +
        serialisation(Receiver.m_Capacity, Bytes + kHeaderBytes);
    return Receiver.m_DownlinkFreeAt;
  }

  /// Returns when the processor of Node has handled an event that arrives now.
  Time process(size_t Node, size_t Bytes, Time Now) {
    struct Node &Worker = m_Nodes[Node];
    double Micros =
        (kMicrosPerEvent + kMicrosPerByte * static_cast<double>(Bytes)) /
        Worker.m_Capacity.m_CpuShare;
    Worker.m_ProcessorFreeAt = std::max(Worker.m_ProcessorFreeAt, Now) +
                               Duration(static_cast<int64_t>(Micros));
    return Worker.m_ProcessorFreeAt;
  }
  /// Returns whether the processor still works on earlier events.
  bool isBusy(size_t Node, Time Now) {
    return m_Nodes[Node].m_ProcessorFreeAt > Now;
  }
  /// A host that lost power forgets what waited for it.
  void reset(size_t Node) {
    struct Node &Lost = m_Nodes[Node];
    Lost.m_UplinkFreeAt = Lost.m_DownlinkFreeAt = Lost.m_ProcessorFreeAt =
        Time();
  }
  uint64_t sentBytes(size_t Node) { return m_Nodes[Node].m_SentBytes; }

private:
  /// Headers of a segment, and the length and hash of a frame.
  static constexpr size_t kHeaderBytes = 80;
  /// One wake-up, one read and one write of a socket.
  static constexpr double kMicrosPerEvent = 40;
  /// Copying, hashing and decoding.
  static constexpr double kMicrosPerByte = 0.01;

  struct Node {
    NodeCapacity m_Capacity;
    Time m_UplinkFreeAt;
    Time m_DownlinkFreeAt;
    Time m_ProcessorFreeAt;
    uint64_t m_SentBytes = 0;
  };

  static Duration serialisation(const NodeCapacity &Capacity, size_t Bytes) {
    constexpr double kMicrosPerMs = 1'000;
    return Duration(static_cast<int64_t>(
        static_cast<double>(Bytes) / Capacity.m_LinkBytesPerMs * kMicrosPerMs));
  }

  std::map<size_t, Node> m_Nodes;
};

} // namespace almondpier::sessiontest
