/// \file
/// Announcements of database instances.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// Writes only news to the log: unknown or changed instances, and the drain of
/// a departing one.
class AnnouncementController {
public:
  explicit AnnouncementController(const ControlBlackboard &Board)
      : m_Board(Board) {}

  /// At a follower, returns the message to relay to the leader.
  std::optional<RelayAnnouncement> onAnnounced(const InstanceAnnounced &Event,
                                               ControlContext &Context);
  void onRelayed(const RelayAnnouncement &Announcement,
                 ControlContext &Context);

private:
  bool isKnown(const InstanceRecord &Instance) const;
  bool needsDrain(const InstanceRecord &Instance) const;

  const ControlBlackboard &m_Board;
  std::map<std::pair<DatabaseName, InstanceName>, Time> m_ProposedAt;
};

} // namespace almondpier
