/// \file
/// Tracks which writes a majority of the group holds.
#pragma once

#include "decision/proxy/owner/GroupMonitor.h"
#include "decision/proxy/owner/PendingRequest.h"

namespace almondpier {

/// Writes that the primary has executed and that wait for a majority.
class WriteTracker {
public:
  void add(PendingRequest &Request);
  void remove(PendingRequest &Request);
  bool empty() const { return m_WritesByPosition.empty(); }
  size_t size() const { return m_WritesByPosition.size(); }

  /// Returns the highest position that a majority of the group holds in one
  /// term, or the zero position.
  static Position majorityPosition(const GroupMonitor &Monitor);
  /// Removes the writes up to majorityPosition(). Those of its term are added
  /// to Acknowledged, those of earlier terms to Unresolved: positions do not
  /// show whether the log of the later term contains them, because that log may
  /// have grown from another log of an older term.
  void resolve(const GroupMonitor &Monitor,
               std::vector<PendingRequest *> &Acknowledged,
               std::vector<PendingRequest *> &Unresolved);
  /// Asks the instances that lack the lowest waiting write to report when they
  /// hold it.
  void requestPositions(GroupMonitor &Monitor, uint64_t &NextId,
                        ProxyActions &Actions, Time Now) const;

private:
  std::multimap<Position, PendingRequest *> m_WritesByPosition;
};

} // namespace almondpier
