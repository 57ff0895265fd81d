/// \file
/// Which work a host still accepts during its shutdown, and when it ends.
#pragma once

#include "almondpier/Model.h"

#include <optional>

namespace almondpier {

/// A statement is accepted only if its own deadline lies before the end of
/// service, so that every accepted statement is answered before the process
/// ends. Transactions that were open have the first half of the grace period.
class ShutdownSchedule {
public:
  /// Grace is the time between the shutdown request and the forced termination
  /// of the process.
  explicit ShutdownSchedule(Duration Grace) : m_Grace(Grace) {}

  void begin(Time Now);
  bool hasBegun() const { return m_BegunAt.has_value(); }
  /// Returns whether load balancers have stopped sending new sessions, so that
  /// a caller whose session is closed reaches another host.
  bool isOutOfRotation(Time Now) const;
  /// Returns whether a statement with this deadline is answered before the end
  /// of service.
  bool canFinish(Time Deadline) const;
  /// Returns the same for a statement of an open transaction.
  bool canContinueTransaction(Time Deadline, Time Now) const;
  /// Returns the deadline, or the end of service if that is earlier.
  Time limit(Time Deadline) const;
  /// Returns whether half of the grace period has passed.
  bool isHalfOver(Time Now) const;
  /// Returns whether the time for the last replies has come.
  bool isOver(Time Now) const;

private:
  Time end() const;

  Duration m_Grace;
  std::optional<Time> m_BegunAt;
};

} // namespace almondpier
