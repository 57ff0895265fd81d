/// \file
/// Chooses the instance that serves a read.
#pragma once

#include "decision/proxy/owner/GroupMonitor.h"
#include "decision/proxy/owner/PendingRequest.h"

namespace almondpier {

class ReadRouter {
public:
  explicit ReadRouter(AvailabilityZone Zone) : m_Zone(std::move(Zone)) {}

  struct Choice {
    /// Where to send the read now; null when it has to wait.
    Instance *m_Instance = nullptr;
    /// Whether some replica could serve the read, now or when it has capacity.
    bool m_HasCandidate = false;
  };

  /// Chooses among the replicas that hold what the read requires, by load and
  /// then by availability zone.
  Choice choose(const GroupMonitor &Monitor, const PendingRequest &Request,
                uint32_t MaxReadAgeMs, Time Now) const;

  /// Whether data at Position satisfies the read without a proof that the
  /// primary still is one. The age counts until Now.
  static bool satisfies(const GroupMonitor &Monitor,
                        const PendingRequest &Request, uint32_t MaxReadAgeMs,
                        Position Position, Time Now);

private:
  AvailabilityZone m_Zone;
};

} // namespace almondpier
