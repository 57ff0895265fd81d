/// \file
/// How much of its load an instance gets after it has started or recovered.
#pragma once

#include "almondpier/Model.h"

#include <limits>

namespace almondpier {

/// Limits the statements that this host runs at an instance at once from the
/// moment at which the instance is new, back or promoted. The limit starts at
/// one and grows by one with each answer, i.e. it doubles with each round,
/// until answers come late or fail. From then on it grows by one a round, and
/// is lowered while answers are late. The ramp ends when the limit has reached
/// the usual one, or after kMaxRampTime.
class InstancePace {
public:
  static constexpr Duration kMaxRampTime = std::chrono::seconds(10);

  void begin(Time Now);
  bool isRamping() const { return m_BegunAt.has_value(); }
  /// Statements that may run at once; no limit outside of a ramp.
  double limit() const {
    return m_BegunAt ? m_Limit : std::numeric_limits<double>::infinity();
  }
  /// A statement was answered. ReferenceMs is the latency of the other
  /// instances of the group, 0 when unknown; Usual is the limit outside of a
  /// ramp.
  void onAnswered(double LatencyMs, double ReferenceMs, double Usual, Time Now);
  /// The instance rejected a statement as overloaded, or failed it.
  void onFailed(Time Now);

private:
  void lower(Time Now);

  std::optional<Time> m_BegunAt;
  double m_Limit = 1;
  /// Moving average since the ramp began.
  double m_LatencyMs = 0;
  bool m_HasBeenLate = false;
  Time m_LoweredAt;
};

} // namespace almondpier
