/// \file
/// What the owner knows of one database instance.
#pragma once

#include "decision/proxy/owner/ConnectionPool.h"

namespace almondpier {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// An instance that gave no good answer for this long, and for at least
/// kMinMissedProbes intervals, is unhealthy.
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(400);
constexpr int kMinMissedProbes = 4;

struct Instance {
  InstanceRecord m_Record;
  bool m_IsDraining = false;
  /// Since when m_IsDraining is known here.
  Time m_DrainingSince{};

  Duration m_UnhealthyAfter = kUnhealthyAfter;
  /// Arrival of the last good answer to a probe.
  std::optional<Time> m_LastValidAnswerAt;
  /// When the first probe was sent; an instance that never answered is
  /// unreachable since then.
  std::optional<Time> m_FirstProbeSentAt;
  Time m_NextProbeAt{};
  Duration m_RoundTripTime{};
  Position m_Position;
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;
  /// Highest position reported while the instance was in the term of that
  /// position, not sealed for a later one. As with Raft's match index, only
  /// such a report counts towards the acknowledgement of a write.
  Position m_MatchPosition;
  /// Latest probe answered with a sealed term not above that of the primary in
  /// the configuration.
  uint64_t m_LatestConfirmingProbe = 0;
  /// Health as last reported in a log line.
  bool m_WasReportedHealthy = false;

  /// One probe that waits for a position is outstanding at most.
  bool m_HasPositionWait = false;
  Time m_NextPositionWaitAt{};
  /// No statements until then, after a refusal.
  Time m_PausedUntil{};

  ConnectionPool m_Pool;

  bool isHealthy(Time Now) const {
    return m_LastValidAnswerAt &&
           Now - *m_LastValidAnswerAt <= m_UnhealthyAfter;
  }
};

} // namespace almondpier
