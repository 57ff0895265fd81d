#include "decision/control/GroupFailover.h"

namespace almondpier {

namespace {

constexpr Duration kFollowRetryInterval = std::chrono::milliseconds(200);
/// The request is repeated even after confirmation, in case the instance
/// restarted unnoticed.
constexpr Duration kFollowRefreshInterval = std::chrono::seconds(5);
constexpr int kHttpOk = 200;

} // namespace

void FollowSupervisor::tick(const DatabaseName &Name,
                            const DatabaseRecord &Record,
                            PendingInstanceCalls &Calls,
                            ControlContext &Context) {
  if (m_PrimaryTerm != Record.m_PrimaryTerm) {
    m_PrimaryTerm = Record.m_PrimaryTerm;
    m_CallStates.clear();
  }
  auto Primary = Record.m_Primary ? Record.m_Instances.find(*Record.m_Primary)
                                  : Record.m_Instances.end();
  // While a newer term is in progress, its failover directs the instances.
  if (Primary == Record.m_Instances.end() ||
      Record.m_BegunTerm != Record.m_PrimaryTerm)
    return;
  for (const std::map<InstanceName, InstanceRecord> *Instances :
       {&Record.m_Instances, &Record.m_Spares})
    for (const std::pair<const InstanceName, InstanceRecord> &Entry :
         *Instances) {
      if (Entry.first == Primary->first)
        continue;
      CallState &State = m_CallStates[Entry.first];
      Duration Interval =
          State.m_IsConfirmed ? kFollowRefreshInterval : kFollowRetryInterval;
      if (State.m_LastCallAt && Context.m_Now - *State.m_LastCallAt < Interval)
        continue;
      State = {Context.m_Now, false};
      Calls.send({Name, Entry.first, InstanceCallKind::Follow, m_PrimaryTerm},
                 Entry.second, &Primary->second, Context);
    }
}

void FollowSupervisor::onAnswered(const PendingInstanceCalls::Call &Call,
                                  const InstanceCallAnswered &Answer) {
  auto Found = m_CallStates.find(Call.m_Instance);
  if (Found == m_CallStates.end() || Call.m_Term != m_PrimaryTerm)
    return;
  Found->second.m_IsConfirmed =
      Answer.m_HttpStatus == kHttpOk && Answer.m_Status &&
      Answer.m_Status->m_Instance == Call.m_Instance &&
      Answer.m_Status->m_SealedTerm == m_PrimaryTerm &&
      !Answer.m_Status->m_IsPrimary;
}

void FollowSupervisor::onStateMismatch(const InstanceName &Instance) {
  auto Found = m_CallStates.find(Instance);
  if (Found != m_CallStates.end())
    Found->second.m_IsConfirmed = false;
}

} // namespace almondpier
