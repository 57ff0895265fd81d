/// \file
/// Questions about the membership of the replicated log.
#pragma once

#include "almondpier/Messages.h"

#include <algorithm>

namespace almondpier {

bool isVoter(const Membership &Members, MemberId Member);
bool isMember(const Membership &Members, MemberId Member);

/// Returns whether Next differs from Current in exactly one member, keeps at
/// least one voter, and lists no identifier twice. A voter may only come from
/// the learners: a member added as a voter at once would count towards
/// majorities before it holds the log.
bool isSingleStep(const Membership &Current, const Membership &Next);

/// Returns the learner that Next makes a voter, if any.
std::optional<MemberId> promotedLearner(const Membership &Current,
                                        const Membership &Next);

/// Returns the highest value that a majority of the voters has reached, where
/// ValueOf maps a MemberId to the value of a voter.
template <typename Value, typename Function>
Value reachedByMajority(const Membership &Members, Value None,
                        const Function &ValueOf) {
  std::vector<Value> Values;
  for (const ControlMember &Voter : Members.m_Voters)
    Values.push_back(ValueOf(Voter.m_Id));
  if (Values.empty())
    return None;
  std::sort(Values.begin(), Values.end(), std::greater<>());
  return Values[Values.size() / 2];
}

} // namespace almondpier
