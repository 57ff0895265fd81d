/// \file
/// The directory of database instances, from their check-ins.
#pragma once

#include "decision/control/ControlBlackboard.h"

namespace almondpier {

/// The leader keeps the directory in memory; check-ins repeat everything that
/// a new leader does not know. Followers hold a copy, which a follower that
/// becomes leader starts from; after a restart of all, the list in the log
/// stands in for it.
class DirectoryController {
public:
  /// An instance that has not checked in for so long is dropped; several times
  /// the interval of check-ins, because connections show sooner that it is
  /// gone.
  static constexpr Duration kForgetAfter = std::chrono::seconds(20);

  explicit DirectoryController(ControlBlackboard &Board) : m_Board(Board) {}

  /// Takes a check-in at the leader. A late one, of an earlier boot or an
  /// earlier sequence number, changes nothing. Returns false when the list has
  /// no room for the instance.
  bool onCheckIn(const InstanceCheckIn &CheckIn, ControlContext &Context);
  /// The leader's list, as a follower receives it.
  void onLeaderDirectory(const InstanceDirectory &Directory);
  void tick(ControlContext &Context);

private:
  struct Boot {
    uint64_t m_StartedAtMs = 0;
    uint64_t m_Sequence = 0;
    bool m_HasLeft = false;
    Time m_HeardAt;
    /// When the instance began to claim that it is primary.
    Time m_ClaimedAt;
  };

  bool isLate(const InstanceCheckIn &CheckIn) const;
  bool isAddressTaken(const InstanceDescription &Instance) const;
  /// Whether another member of the group began to claim the role of primary
  /// later. A primary that is cut off cannot withdraw its claim.
  bool isClaimOutdated(const InstanceDescription &Instance) const;
  /// Whether the list with Instance fits a message.
  bool hasRoomFor(const InstanceDescription &Instance) const;
  void dropOthersAt(const InstanceDescription &Instance);
  void beginTermIfNew(ControlContext &Context);
  void publish(ControlContext &Context);
  /// Puts the published list into the log when it differs from the one there.
  void record(ControlContext &Context);

  ControlBlackboard &m_Board;
  /// Entries by name; published when they change.
  std::map<InstanceName, InstanceDescription> m_Entries;
  std::map<InstanceName, Boot> m_Boots;
  uint64_t m_Term = 0;
  /// The entries differ from the published list.
  bool m_IsChanged = false;
  Time m_RecordedAt;
  /// From then on every running instance has had the time to check in.
  Time m_CompleteAfter;
};

} // namespace almondpier
