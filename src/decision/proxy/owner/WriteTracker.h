/// \file
/// Decides when a write is safe on a majority of its group.
#pragma once

#include "decision/proxy/owner/GroupMonitor.h"
#include "decision/proxy/owner/PendingRequest.h"

namespace almondpier {

/// Writes that were answered by a primary and wait for a majority.
class WriteTracker {
public:
  void add(PendingRequest &Request);
  void remove(PendingRequest &Request);
  bool empty() const { return m_WritesByPosition.empty(); }
  size_t size() const { return m_WritesByPosition.size(); }

  /// Highest position that a majority of the group holds in one and the same
  /// term; zero when there is none.
  static Position majorityPosition(
      const GroupMonitor &Monitor); /// Moves writes that a majority holds to
                                    /// Safe. Moves writes of a term that
  /// ended before that to Unresolved: whether the log of a later term holds
  /// them does not follow from positions, because that log may have grown from
  /// another one of an older term.
  void resolve(const GroupMonitor &Monitor,
               std::vector<PendingRequest *> &Acknowledged,
               std::vector<PendingRequest *> &Unresolved);
  /// Asks instances that lack the lowest waiting write to answer when they have
  /// it.
  void requestPositions(GroupMonitor &Monitor, uint64_t &NextId,
                        ProxyActions &Actions, Time Now) const;

private:
  std::multimap<Position, PendingRequest *> m_WritesByPosition;
};

} // namespace almondpier
