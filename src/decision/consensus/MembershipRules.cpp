#include "decision/consensus/MembershipRules.h"

namespace almondpier {

namespace {

/// A member with its right to vote.
using Standing = std::pair<bool, ControlMember>;
using Standings = std::map<MemberId, Standing>;

std::optional<Standings> standingsOf(const Membership &Members) {
  Standings Result;
  for (const ControlMember &Member : Members.m_Voters)
    Result.emplace(Member.m_Id, Standing{true, Member});
  for (const ControlMember &Member : Members.m_Learners)
    Result.emplace(Member.m_Id, Standing{false, Member});
  if (Result.size() != Members.m_Voters.size() + Members.m_Learners.size())
    return std::nullopt;
  return Result;
}

bool contains(const std::vector<ControlMember> &Members, MemberId Member) {
  return std::any_of(
      Members.begin(), Members.end(),
      [&](const ControlMember &Other) { return Other.m_Id == Member; });
}

} // namespace

bool isVoter(const Membership &Members, MemberId Member) {
  return contains(Members.m_Voters, Member);
}

bool isMember(const Membership &Members, MemberId Member) {
  return isVoter(Members, Member) || contains(Members.m_Learners, Member);
}

bool isSingleStep(const Membership &Current, const Membership &Next) {
  std::optional<Standings> Before = standingsOf(Current);
  std::optional<Standings> After = standingsOf(Next);
  if (!Before || !After || Next.m_Voters.empty())
    return false;
  size_t Differences = 0;
  for (const auto &[Id, Old] : *Before) {
    auto Found = After->find(Id);
    if (Found == After->end() || Found->second != Old)
      ++Differences;
  }
  for (const auto &[Id, New] : *After) {
    if (Before->contains(Id))
      continue;
    if (New.first)
      return false;
    ++Differences;
  }
  return Differences == 1;
}

std::optional<MemberId> promotedLearner(const Membership &Current,
                                        const Membership &Next) {
  for (const ControlMember &Voter : Next.m_Voters)
    if (!isVoter(Current, Voter.m_Id))
      return Voter.m_Id;
  return std::nullopt;
}

} // namespace almondpier
