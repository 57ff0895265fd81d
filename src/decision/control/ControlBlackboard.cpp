#include "decision/control/ControlBlackboard.h"

#include <algorithm>

namespace almondpier {

const ControlMember *ControlBlackboard::findMember(MemberId Id) const {
  for (const ControlMember &Member : m_Membership.m_Voters)
    if (Member.m_Id == Id)
      return &Member;
  for (const ControlMember &Member : m_Membership.m_Learners)
    if (Member.m_Id == Id)
      return &Member;
  return nullptr;
}

bool ControlBlackboard::canExtendConfiguration() const {
  // The log holds such entries already.
  if (!configuration().extension().empty())
    return true;
  auto AppliesExtension = [&](const ControlMember &Member) {
    return Member.m_Id == m_Self.m_Id ||
           m_ExtensionMembers.contains(Member.m_Id);
  };
  return std::all_of(m_Membership.m_Voters.begin(), m_Membership.m_Voters.end(),
                     AppliesExtension) &&
         std::all_of(m_Membership.m_Learners.begin(),
                     m_Membership.m_Learners.end(), AppliesExtension);
}

bool ControlBlackboard::isDurable() const {
  return std::all_of(
      m_Membership.m_Voters.begin(), m_Membership.m_Voters.end(),
      [](const ControlMember &Voter) { return Voter.m_IsDurable; });
}

void ControlContext::proposeBySystem(const ChangeBody &Body,
                                     const std::string &Actor) {
  Change Proposed;
  Proposed.m_Actor = Actor;
  Proposed.m_ExpectedVersion = m_Board.configuration().version();
  Proposed.m_WallTimeMs = m_Board.m_WallTimeMs;
  Proposed.m_Body = Body;
  try {
    m_Log.propose(encode(Proposed), m_Now);
  } catch (const Error &Refusal) {
    // Such a change holds what instances and hosts report about themselves. One
    // that is too large for the log must not end the process.
    reportStateChange("a change by " + Actor +
                      " is not recorded: " + Refusal.what());
  }
}

void ControlContext::reportStateChange(std::string Text) {
  m_Actions.push_back(ReportStateChange{std::move(Text)});
}

void ControlContext::refuseAsFollower(OperationId Id) {
  m_Actions.push_back(refusalByFollower(m_Board, Id));
}

std::string describeNoLeader(const ControlBlackboard &Board) {
  return Board.m_IsStorageAvailable
             ? "no control host is known to lead"
             : "not ready: this control host cannot write its data folder; use "
               "another control host";
}

ReplyToOperation refusalByFollower(const ControlBlackboard &Board,
                                   OperationId Id) {
  ReplyToOperation Reply;
  Reply.m_Id = Id;
  const ControlMember *Leader = Board.findMember(Board.m_Leader);
  bool IsKnown = Leader != nullptr && Leader->m_Id != Board.m_Self.m_Id;
  Reply.m_Error = ErrorReport{
      ErrorKind::NotLeader,
      IsKnown ? "control host '" + Leader->m_Host.m_Value + "' leads, at " +
                    formatEndpoint(Leader->m_Operations)
              : describeNoLeader(Board),
      Ran::No, 0};
  if (IsKnown)
    Reply.m_Leader = Leader->m_Operations;
  return Reply;
}

} // namespace almondpier
