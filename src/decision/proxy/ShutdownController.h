/// \file
/// Ends the process without cutting off a request.
#pragma once

#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// New work is still accepted for this time after the host stops being ready,
/// because others learn of it with a delay.
constexpr Duration kShutdownGracePeriod = std::chrono::milliseconds(1'000);
/// The process ends after this time even with unfinished work.
constexpr Duration kShutdownTimeout = std::chrono::seconds(35);

class ShutdownController {
public:
  ShutdownController(ProxyBlackboard &Board, ProxyActions &Actions)
      : m_Board(Board), m_Actions(Actions) {}

  void begin(Time Now);
  bool hasBegun() const { return m_BegunAt.has_value(); }
  /// Whether new work is refused.
  bool refusesNewWork(Time Now) const;
  /// WorkInProgress counts what must end first. Returns whether the process
  /// can end now; true at most once.
  bool tick(size_t WorkInProgress, Time Now);

private:
  ProxyBlackboard &m_Board;
  ProxyActions &m_Actions;
  std::optional<Time> m_BegunAt;
  bool m_IsComplete = false;
};

} // namespace almondpier
