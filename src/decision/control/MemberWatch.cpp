#include "decision/control/MemberWatch.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

namespace {

/// A restarted process is heard again within this time.
constexpr Duration kReportAfter = milliseconds(3'000);
constexpr Duration kReportInterval = milliseconds(30'000);

std::string describe(const ControlMember &Member) {
  return "control host " + Member.m_Host.m_Value + " (member " +
         std::to_string(Member.m_Id.m_Value) + ", " +
         formatEndpoint(Member.m_Peer) + ")";
}

} // namespace

void MemberWatch::tick(ControlContext &Context) {
  if (!m_Board.m_IsLeader)
    return m_Silent.clear();
  const std::vector<ControlMember> &Voters = m_Board.m_Membership.m_Voters;
  std::erase_if(m_Silent, [&](const auto &Entry) {
    return std::none_of(
        Voters.begin(), Voters.end(),
        [&](const ControlMember &Voter) { return Voter.m_Id == Entry.first; });
  });
  for (const ControlMember &Voter : Voters) {
    auto Heard = m_Board.m_MemberHeardAt.find(Voter.m_Id);
    Time Since = Heard == m_Board.m_MemberHeardAt.end()
                     ? m_Board.m_LeaderSince
                     : std::max(Heard->second, m_Board.m_LeaderSince);
    bool IsSilent = Voter.m_Id != m_Board.m_Self.m_Id &&
                    Context.m_Now - Since >= kReportAfter;
    auto Known = m_Silent.find(Voter.m_Id);
    if (!IsSilent && Known != m_Silent.end()) {
      Context.reportStateChange(describe(Voter) + " is heard again");
      m_Silent.erase(Known);
    } else if (IsSilent && (Known == m_Silent.end() ||
                            Context.m_Now - Known->second.m_ReportedAt >=
                                kReportInterval)) {
      Silence &Silent = m_Silent[Voter.m_Id] = Silence{Since, Context.m_Now};
      report(Voter, Silent, Context);
    }
  }
}

void MemberWatch::report(const ControlMember &Voter, const Silence &Silent,
                         ControlContext &Context) const {
  size_t Voters = m_Board.m_Membership.m_Voters.size();
  Context.reportStateChange(
      describe(Voter) + " has sent nothing for " +
      std::to_string((Context.m_Now - Silent.m_Since) / milliseconds(1)) +
      " ms; " + std::to_string(m_Silent.size()) + " of " +
      std::to_string(Voters) + " voters are silent, " +
      std::to_string(Voters / 2 + 1) + " have to answer");
}

} // namespace almondpier
