/// \file
/// Chooses the replica that serves a read.
#pragma once

#include "decision/proxy/owner/GroupMonitor.h"
#include "decision/proxy/owner/PendingRequest.h"

namespace almondpier {

class ReadRouter {
public:
  explicit ReadRouter(AvailabilityZone Zone) : m_Zone(std::move(Zone)) {}

  struct Choice {
    /// Replica to send the read to; null if the read has to wait.
    Instance *m_Instance = nullptr;
    /// Some replica can serve the read, immediately or once it has capacity.
    bool m_HasCandidate = false;
  };

  /// Chooses among the replicas that satisfy the read, by load, then
  /// availability zone, then round-trip time.
  Choice choose(const GroupMonitor &Monitor, const PendingRequest &Request,
                uint32_t MaxReadAgeMs, Time Now) const;

  /// Returns whether data at Position satisfies the read without a confirmation
  /// that the primary has not been replaced. The maximum age is measured back
  /// from Now.
  static bool satisfies(const GroupMonitor &Monitor,
                        const PendingRequest &Request, uint32_t MaxReadAgeMs,
                        Position Position, Time Now);

private:
  AvailabilityZone m_Zone;
};

} // namespace almondpier
