/// \file
/// Admission of spare instances to a group that has fewer members than its
/// configured size.
#pragma once

#include "decision/control/GroupFailover.h"

namespace almondpier {

/// Admits a spare only once it holds every log entry that the primary held
/// after the last removal of a member had reached all proxies. A spare counted
/// as a member before that could complete a majority that lacks acknowledged
/// writes.
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
  /// Position of the primary after all proxies had learnt of the removal.
  std::optional<Position> m_RequiredPosition;
};

} // namespace almondpier
