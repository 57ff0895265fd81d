/// \file
/// Reports members of the replicated log that send nothing.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Runs at the leader. A core that has lost a member goes on, so nothing but
/// this report shows that it bears one loss fewer.
class MemberWatch {
public:
  explicit MemberWatch(const ControlBlackboard &Board) : m_Board(Board) {}

  void tick(ControlContext &Context);
  /// Number of voters that are silent, as this host sees it while it leads.
  size_t silentCount() const { return m_Silent.size(); }

private:
  struct Silence {
    Time m_Since;
    Time m_ReportedAt;
  };

  void report(const ControlMember &Voter, const Silence &Silent,
              ControlContext &Context) const;

  const ControlBlackboard &m_Board;
  std::map<MemberId, Silence> m_Silent;
};

} // namespace almondpier
