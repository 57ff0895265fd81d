/// \file
/// Fills free places of a group with spares.
#pragma once

#include "decision/control/GroupFailover.h"

namespace almondpier {

/// Admits a spare only when it holds everything that the primary held after the
/// last removal took effect at all proxies. Counted earlier, an empty instance
/// could make up a majority that lacks acknowledged writes.
class SpareAdmission {
public:
  void tick(const DatabaseName &Name, const DatabaseRecord &Record,
            PendingInstanceCalls &Calls, ControlContext &Context);
  void onAnswered(const PendingInstanceCalls::Call &Call,
                  const InstanceCallAnswered &Answer,
                  const DatabaseRecord &Record, ControlContext &Context);

private:
  static bool hasVacancy(const DatabaseRecord &Record);
  void reset();

  uint64_t m_PrimaryTerm = 0;
  std::set<InstanceName> m_Members;
  std::optional<Time> m_VacantSince;
  std::optional<Time> m_LastQueryAt;
  /// Where the primary was after all proxies knew of the removal.
  std::optional<Position> m_RequiredPosition;
};

} // namespace almondpier
