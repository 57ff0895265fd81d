#include "decision/control/MembershipController.h"

#include <algorithm>

namespace almondpier {

namespace {

constexpr Duration kStepInterval = std::chrono::milliseconds(50);
/// A voter that sent nothing for so long, with enough others present, is
/// removed; it joins again as a learner when it returns. Longer than an
/// election and a stalled disk of 2 s.
constexpr Duration kVoterSilence = std::chrono::milliseconds(3'000);

/// A founder with a disk describes itself well within this time after an
/// election, so one that has not is taken to have none.
constexpr Duration kDescriptionTime = std::chrono::milliseconds(1'000);
/// With fewer durable voters than wanted after this time, no others are
/// expected: all hosts start within a few hundred milliseconds.
constexpr Duration kFoundingTime = std::chrono::milliseconds(2'500);

std::string describeMember(const ControlMember &Member) {
  return "control host " + Member.m_Host.m_Value + " (member " +
         std::to_string(Member.m_Id.m_Value) + ")";
}

void removeMember(std::vector<ControlMember> &Members, MemberId Id) {
  std::erase_if(Members,
                [&](const ControlMember &Member) { return Member.m_Id == Id; });
}

void replaceRecord(std::vector<ControlMember> &Members,
                   const ControlMember &Record) {
  for (ControlMember &Member : Members)
    if (Member.m_Id == Record.m_Id)
      Member = Record;
}

const ControlMember *findHost(const std::vector<ControlMember> &Members,
                              const ControlMember &Wanted) {
  auto Found = std::find_if(
      Members.begin(), Members.end(), [&](const ControlMember &Member) {
        return Member.m_Host == Wanted.m_Host && Member.m_Id != Wanted.m_Id;
      });
  return Found == Members.end() ? nullptr : &*Found;
}

} // namespace

void MembershipController::propose(const Membership &Target,
                                   const std::string &Description,
                                   ControlContext &Context) {
  Change Record;
  Record.m_Actor = m_Board.m_Self.m_Host.m_Value;
  Record.m_WallTimeMs = m_Board.m_WallTimeMs;
  Record.m_Body = RecordMembership{Description};
  if (Context.m_Log.proposeMembership(Target, encode(Record), Context.m_Now))
    Context.reportStateChange(Description);
}

void MembershipController::onJoinRequest(const JoinRequest &Request,
                                         ControlContext &Context) {
  const ControlMember &Joining = Request.m_Member;
  if (!m_Board.m_IsLeader || Joining.m_Id.m_Value == 0)
    return;
  Membership Target = m_Board.m_Membership;
  if (const ControlMember *Known = m_Board.findMember(Joining.m_Id)) {
    if (*Known == Joining)
      return;
    replaceRecord(Target.m_Voters, Joining);
    replaceRecord(Target.m_Learners, Joining);
    return propose(Target, "new description of " + describeMember(Joining),
                   Context);
  }
  if (const ControlMember *Old = findHost(Target.m_Learners, Joining)) {
    // A learner that lost its disk before it became a voter.
    std::string Description = "remove learner: " + describeMember(*Old);
    removeMember(Target.m_Learners, Old->m_Id);
    return propose(Target, Description, Context);
  }
  bool IsReplacement = findHost(Target.m_Voters, Joining) != nullptr;
  if (!IsReplacement &&
      Target.m_Voters.size() + Target.m_Learners.size() >= kMaxVoters)
    return;
  Target.m_Learners.push_back(Joining);
  propose(Target, "add learner: " + describeMember(Joining), Context);
}

void MembershipController::onRemove(const OperatorRemoveMember &Event,
                                    ControlContext &Context) {
  if (!m_Board.m_IsLeader || m_Board.m_IsShuttingDown)
    return Context.refuseAsFollower(Event.m_Id);
  Change Record;
  Record.m_ChangeId = Event.m_ChangeId;
  Record.m_Actor = Event.m_Actor;
  Record.m_WallTimeMs = m_Board.m_WallTimeMs;
  Record.m_Body = RecordMembership{"remove control member " +
                                   std::to_string(Event.m_Member.m_Value)};
  Membership Target = m_Board.m_Membership;
  bool IsFirst = !m_Board.m_State.outcomes().find(Record);
  ReplyToOperation Reply;
  Reply.m_Id = Event.m_Id;
  if (IsFirst && m_Board.findMember(Event.m_Member) == nullptr) {
    Reply.m_Error = ErrorReport{ErrorKind::NotFound,
                                "no control member has this identifier; "
                                "'almondpier members list' shows them",
                                Ran::No, 0};
    Context.m_Actions.push_back(std::move(Reply));
    return;
  }
  if (IsFirst && Event.m_Member == m_Board.m_Self.m_Id) {
    Context.m_Log.transferLeadership(Context.m_Now);
    Reply.m_Error = ErrorReport{
        ErrorKind::NotLeader,
        "the member to remove leads and hands over leadership; retry in a "
        "second",
        Ran::No, 1'000};
    Context.m_Actions.push_back(std::move(Reply));
    return;
  }
  removeMember(Target.m_Voters, Event.m_Member);
  removeMember(Target.m_Learners, Event.m_Member);
  m_Changes.submitMembership(Event.m_Id, Target, Record, Context);
}

void MembershipController::tick(ControlContext &Context) {
  if (!m_Board.m_IsLeader || Context.m_Now - m_SteppedAt < kStepInterval)
    return;
  m_SteppedAt = Context.m_Now;
  if (!replaceOldIdentifier(Context) && !promoteLearner(Context) &&
      !dismissFounder(Context))
    removeSilentVoter(Context);
}

bool MembershipController::dismissFounder(ControlContext &Context) {
  const std::vector<ControlMember> &Voters = m_Board.m_Membership.m_Voters;
  auto Durable = static_cast<size_t>(std::count_if(
      Voters.begin(), Voters.end(),
      [](const ControlMember &Voter) { return Voter.m_IsDurable; }));
  Duration Needed = Durable >= m_MinVoters ? kDescriptionTime : kFoundingTime;
  if (Durable == 0 || Durable == Voters.size() ||
      Context.m_Now - m_Board.m_LeaderSince < Needed)
    return false;
  if (!m_Board.m_Self.m_IsDurable) {
    Context.m_Log.transferLeadership(Context.m_Now);
    return true;
  }
  for (const ControlMember &Voter : Voters) {
    if (Voter.m_IsDurable || Voter.m_Id == m_Board.m_Self.m_Id)
      continue;
    Membership Target = m_Board.m_Membership;
    std::string Description =
        "remove founder without a disk: " + describeMember(Voter);
    removeMember(Target.m_Voters, Voter.m_Id);
    propose(Target, Description, Context);
    return true;
  }
  return false;
}

bool MembershipController::removeSilentVoter(ControlContext &Context) {
  const std::vector<ControlMember> &Voters = m_Board.m_Membership.m_Voters;
  if (Voters.size() <= m_MinVoters ||
      Context.m_Now - m_Board.m_LeaderSince < kVoterSilence)
    return false;
  for (const ControlMember &Voter : Voters) {
    auto Heard = m_Board.m_MemberHeardAt.find(Voter.m_Id);
    bool IsSilent = Heard == m_Board.m_MemberHeardAt.end() ||
                    Context.m_Now - Heard->second >= kVoterSilence;
    if (Voter.m_Id == m_Board.m_Self.m_Id || !IsSilent)
      continue;
    Membership Target = m_Board.m_Membership;
    std::string Description = "remove silent voter: " + describeMember(Voter);
    removeMember(Target.m_Voters, Voter.m_Id);
    propose(Target, Description, Context);
    return true;
  }
  return false;
}

bool MembershipController::replaceOldIdentifier(ControlContext &Context) {
  // Members are appended as they become voters, so of two with one host name
  // the first is the one whose disk is lost.
  const std::vector<ControlMember> &Voters = m_Board.m_Membership.m_Voters;
  for (const ControlMember &Old : Voters) {
    const ControlMember *Other = findHost(Voters, Old);
    if (Other == nullptr || Other < &Old || Old.m_Id == m_Board.m_Self.m_Id)
      continue;
    Membership Target = m_Board.m_Membership;
    removeMember(Target.m_Voters, Old.m_Id);
    propose(Target, "remove the old identifier of " + describeMember(Old),
            Context);
    return true;
  }
  return false;
}

bool MembershipController::promoteLearner(ControlContext &Context) {
  for (const ControlMember &Learner : m_Board.m_Membership.m_Learners) {
    if (Context.m_Log.matchIndex(Learner.m_Id) < Context.m_Log.commitIndex())
      continue;
    Membership Target = m_Board.m_Membership;
    removeMember(Target.m_Learners, Learner.m_Id);
    Target.m_Voters.push_back(Learner);
    propose(Target, "promote to voter: " + describeMember(Learner), Context);
    return true;
  }
  return false;
}

} // namespace almondpier
