#include "decision/control/ControlRelay.h"

namespace almondpier {

namespace {

/// A change of leader takes about a second, so operators are sent to a former
/// leader for at most half a second longer.
constexpr Duration kAskInterval = std::chrono::milliseconds(500);
/// Three questions without an answer that names a leader.
constexpr Duration kLeaderMemory = std::chrono::milliseconds(1'500);
/// Shorter than OutsideHosts::kSilence, with room for two lost messages.
constexpr Duration kRegistrationInterval = std::chrono::milliseconds(1'000);

} // namespace

MembersReply describeMembers(const ControlBlackboard &Board) {
  return MembersReply{Board.m_Term, Board.m_Leader, Board.m_IsLeader,
                      Board.m_Membership.m_Voters};
}

void ControlRelay::onMessage(LinkId Link, const Message &Received,
                             ControlActions &Actions, Time Now) {
  if (const MembersReply *Reply = std::get_if<MembersReply>(&Received))
    return learn(*Reply, Actions, Now);
  if (const JoinRequest *Joining = std::get_if<JoinRequest>(&Received))
    return isRegistration(*Joining) ? void() : passOn(Received, Actions);
  bool IsQuestion = std::holds_alternative<PollRequest>(Received) ||
                    std::holds_alternative<MembersRequest>(Received);
  if (!IsQuestion || m_Board.m_Membership.m_Voters.empty())
    return;
  // Relays that confirm a leader to one another would never forget it.
  MembersReply Reply = describeMembers(m_Board);
  Reply.m_Leader = {};
  Actions.push_back(SendMessage{Link, std::move(Reply)});
}

void ControlRelay::onCheckIn(const InstanceCheckedIn &Event,
                             ControlActions &Actions) const {
  ReplyToOperation Reply = refusalByFollower(m_Board, Event.m_Id);
  const ControlMember *Leader = m_Board.findMember(m_Board.m_Leader);
  if (Leader != nullptr && m_Links.isUp(Leader->m_Peer)) {
    m_Links.send(Leader->m_Peer, Event.m_CheckIn, Actions);
    Reply.m_Error.reset();
  }
  Actions.push_back(std::move(Reply));
}

void ControlRelay::tick(ControlActions &Actions, Time Now) {
  if (isReady() && Now - m_ConfirmedAt >= kLeaderMemory) {
    m_Board.m_Leader = {};
    Actions.push_back(ReportStateChange{"knows no leader any more"});
  }
  if (!m_RegisteredAt || Now - *m_RegisteredAt >= kRegistrationInterval) {
    m_RegisteredAt = Now;
    // Members of earlier builds ignore a request without an identifier.
    JoinRequest Registration{m_Board.m_Self};
    Registration.m_Member.m_Id = {};
    m_Links.sendToAll(Registration, Actions);
  }
  if (m_AskedAt && Now - *m_AskedAt < kAskInterval)
    return;
  m_AskedAt = Now;
  m_Links.sendToAll(MembersRequest{}, Actions);
}

void ControlRelay::learn(const MembersReply &Reply, ControlActions &Actions,
                         Time Now) {
  // Members that are cut off answer with an earlier term.
  if (Reply.m_Term < m_Board.m_Term || Reply.m_Voters.empty())
    return;
  // Within a term the leader knows the members best.
  if (Reply.m_Term > m_Board.m_Term || Reply.m_IsFromLeader ||
      m_Board.m_Membership.m_Voters.empty())
    m_Board.m_Membership.m_Voters = Reply.m_Voters;
  m_Board.m_Term = Reply.m_Term;
  if (Reply.m_Leader.m_Value == 0 ||
      m_Board.findMember(Reply.m_Leader) == nullptr)
    return;
  m_ConfirmedAt = Now;
  if (m_Board.m_Leader == Reply.m_Leader)
    return;
  m_Board.m_Leader = Reply.m_Leader;
  Actions.push_back(
      ReportStateChange{"relays to control host " +
                        m_Board.findMember(Reply.m_Leader)->m_Host.m_Value +
                        " in term " + std::to_string(Reply.m_Term)});
}

void ControlRelay::passOn(const Message &Message,
                          ControlActions &Actions) const {
  const ControlMember *Leader = m_Board.findMember(m_Board.m_Leader);
  if (Leader != nullptr)
    m_Links.send(Leader->m_Peer, Message, Actions);
}

} // namespace almondpier
