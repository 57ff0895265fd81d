/// \file
/// State of one database instance as seen by this host.
#pragma once

#include "decision/proxy/owner/ConnectionPool.h"

namespace almondpier {

constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// An instance is unhealthy when it has given no valid answer to a probe for
/// this long and for at least kMinMissedProbes probe intervals.
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(400);
constexpr int kMinMissedProbes = 4;

struct Instance {
  InstanceRecord m_Record;
  bool m_IsDraining = false;
  /// When this host learned that the instance is draining.
  Time m_DrainingSince{};

  Duration m_UnhealthyAfter = kUnhealthyAfter;
  /// When the last valid answer to a probe arrived.
  std::optional<Time> m_LastValidAnswerAt;
  /// When the first probe was sent. An instance that never answered counts as
  /// unreachable since then.
  std::optional<Time> m_FirstProbeSentAt;
  Time m_NextProbeAt{};
  Duration m_RoundTripTime{};
  Position m_Position;
  /// Term for which the instance is sealed. It refuses statements of lower
  /// terms.
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;
  /// Highest position that the instance reported while it was in the term of
  /// that position and not sealed for a later one. Like Raft's match index,
  /// only this position counts towards the acknowledgement of a write.
  Position m_MatchPosition;
  /// Latest probe that the instance answered while not sealed for a term later
  /// than that of the configured primary.
  uint64_t m_LatestConfirmingProbe = 0;
  /// Health in the last log line about this instance.
  bool m_WasReportedHealthy = false;

  /// A probe that waits for a position is outstanding. There is at most one.
  bool m_HasPositionWait = false;
  Time m_NextPositionWaitAt{};
  /// No statements are sent before this time, after a refusal or a failure.
  Time m_PausedUntil{};

  ConnectionPool m_Pool;

  bool isHealthy(Time Now) const {
    return m_LastValidAnswerAt &&
           Now - *m_LastValidAnswerAt <= m_UnhealthyAfter;
  }
};

} // namespace almondpier
