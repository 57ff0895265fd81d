/// \file
/// Sends snapshots of the configuration to proxies, part by part.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <deque>

namespace almondpier {

/// Each proxy requests the next part when it has received the last one, and the
/// rate of all parts together is limited. After a restart of the fleet every
/// proxy needs a snapshot, and consensus uses the same links.
class SnapshotServer {
public:
  /// Identifies a snapshot.
  struct Offer {
    uint64_t m_Index = 0;
    uint64_t m_Bytes = 0;
  };

  /// Returns a snapshot that is a few seconds old at most, and later than
  /// Known, the index that the proxy holds, if Current is. ChangedAt is the log
  /// index of the last change of Current, so that all control hosts offer the
  /// same snapshot.
  Offer offer(const Configuration &Current, uint64_t ChangedAt, uint64_t Known,
              Time Now);
  void onRequest(LinkId Link, const ConfigurationPartRequest &Request,
                 ControlContext &Context);
  void onLinkClosed(LinkId Link);
  /// Sends the requested parts that the rate allows.
  void tick(ControlContext &Context);
  /// Forgets the snapshots, whose indexes may count for another log.
  void clear() { m_Snapshots.clear(); }
  uint64_t bytesSent() const { return m_BytesSent; }

private:
  struct EncodedSnapshot {
    uint64_t m_Index = 0;
    Time m_EncodedAt;
    std::string m_Bytes;
  };
  struct WaitingRequest {
    LinkId m_Link;
    ConfigurationPartRequest m_Request;
  };

  ConfigurationPart makePart(const ConfigurationPartRequest &Request) const;

  /// The latest snapshot last; proxies still receive the one before.
  std::deque<EncodedSnapshot> m_Snapshots;
  /// In the order of their arrival, one for each link.
  std::deque<WaitingRequest> m_Waiting;
  /// Bytes that may be sent now.
  double m_Allowance = 0;
  Time m_AllowanceAt;
  uint64_t m_BytesSent = 0;
};

} // namespace almondpier
