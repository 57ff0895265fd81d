/// \file
/// A control host that keeps no log.
#pragma once

#include "decision/control/PeerLinks.h"

namespace almondpier {

/// What a control host can tell about the members.
MembersReply describeMembers(const ControlBlackboard &Board);

/// Finds the members and their leader by asking other control hosts, names the
/// leader to operators, and passes check-ins and requests to join on to it.
/// Registers with the members, which tell it who they are after a restart.
/// Decides and promises nothing itself.
class ControlRelay {
public:
  ControlRelay(ControlBlackboard &Board, PeerLinks &Links)
      : m_Board(Board), m_Links(Links) {}

  void onMessage(LinkId Link, const Message &Received, ControlActions &Actions,
                 Time Now);
  void onCheckIn(const InstanceCheckedIn &Event, ControlActions &Actions) const;
  void tick(ControlActions &Actions, Time Now);
  /// Returns whether a message registers a host that keeps no log.
  static bool isRegistration(const JoinRequest &Request) {
    return Request.m_Member.m_Id.m_Value == 0 && !Request.m_Member.m_IsDurable;
  }
  /// Takes over what another control host knows, unless it is outdated.
  void learn(const MembersReply &Reply, ControlActions &Actions, Time Now);
  /// Whether the leader is known and was confirmed lately.
  bool isReady() const { return m_Board.m_Leader.m_Value != 0; }

private:
  void passOn(const Message &Message, ControlActions &Actions) const;

  ControlBlackboard &m_Board;
  PeerLinks &m_Links;
  std::optional<Time> m_AskedAt;
  std::optional<Time> m_RegisteredAt;
  Time m_ConfirmedAt;
};

} // namespace almondpier
