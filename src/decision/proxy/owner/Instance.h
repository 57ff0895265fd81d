/// \file
/// What the owner knows of one database instance.
#pragma once

#include "decision/proxy/owner/ConnectionPool.h"

namespace almondpier {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// An instance that gave no good answer for this long, and for at least
/// kMissedProbes intervals, is unhealthy.
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(400);
constexpr int kMissedProbes = 4;

struct Instance {
  InstanceRecord m_Record;
  bool m_IsDraining = false;
  /// Since when m_IsDraining is known here.
  Time m_DrainingSince{};

  Duration m_UnhealthyAfter = kUnhealthyAfter;
  /// Arrival of the last good answer to a probe.
  std::optional<Time> m_LastGood;
  /// When the first probe was sent; an instance that never answered is
  /// unreachable since then.
  std::optional<Time> m_FirstAsked;
  Time m_NextProbe{};
  Duration m_RoundTrip{};
  Position m_Position;
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;
  /// Highest position reported while the instance was in the term of that
  /// position, not sealed for a later one. As with Raft's match index, only
  /// such a report counts towards the acknowledgement of a write.
  Position m_InTermPosition;
  /// Latest probe answered with a sealed term not above that of the primary in
  /// the configuration.
  uint64_t m_InTermProbe = 0;
  /// Health as last reported in a log line.
  bool m_WasHealthy = false;

  /// One probe that waits for a position is outstanding at most.
  bool m_IsWaiting = false;
  Time m_NextWait{};
  /// No statements until then, after a refusal.
  Time m_PausedUntil{};

  ConnectionPool m_Pool;

  bool isHealthy(Time Now) const {
    return m_LastGood && Now - *m_LastGood <= m_UnhealthyAfter;
  }
};

} // namespace almondpier
