#include "decision/control/GroupFailover.h"

namespace almondpier {

namespace {

constexpr Duration kFollowRetry = std::chrono::milliseconds(200);
/// An instance that was lost and came back unnoticed is told again.
constexpr Duration kFollowRepeat = std::chrono::seconds(5);
constexpr int kOk = 200;

} // namespace

void FollowSupervisor::tick(const DatabaseName &Name,
                            const DatabaseRecord &Record, InstanceCalls &Calls,
                            ControlContext &Context) {
  if (m_Term != Record.m_PrimaryTerm) {
    m_Term = Record.m_PrimaryTerm;
    m_Targets.clear();
  }
  auto Primary = Record.m_Primary ? Record.m_Instances.find(*Record.m_Primary)
                                  : Record.m_Instances.end();
  // While a later term is begun, instances are told about that one.
  if (Primary == Record.m_Instances.end() ||
      Record.m_BegunTerm != Record.m_PrimaryTerm)
    return;
  for (const std::map<InstanceName, InstanceRecord> *Instances :
       {&Record.m_Instances, &Record.m_Spares})
    for (const std::pair<const InstanceName, InstanceRecord> &Entry :
         *Instances) {
      if (Entry.first == Primary->first)
        continue;
      Target &Target = m_Targets[Entry.first];
      Duration Interval = Target.m_IsSettled ? kFollowRepeat : kFollowRetry;
      if (Target.m_AskedAt && Context.m_Now - *Target.m_AskedAt < Interval)
        continue;
      Target = {Context.m_Now, false};
      Calls.send({Name, Entry.first, InstanceCallKind::Follow, m_Term},
                 Entry.second, &Primary->second, Context);
    }
}

void FollowSupervisor::onAnswered(const InstanceCalls::Call &Call,
                                  const InstanceCallAnswered &Answer) {
  auto Found = m_Targets.find(Call.m_Instance);
  if (Found == m_Targets.end() || Call.m_Term != m_Term)
    return;
  Found->second.m_IsSettled = Answer.m_HttpStatus == kOk && Answer.m_Status &&
                              Answer.m_Status->m_Instance == Call.m_Instance &&
                              Answer.m_Status->m_SealedTerm == m_Term &&
                              !Answer.m_Status->m_IsPrimary;
}

void FollowSupervisor::onDisagreement(const InstanceName &Instance) {
  auto Found = m_Targets.find(Instance);
  if (Found != m_Targets.end())
    Found->second.m_IsSettled = false;
}

} // namespace almondpier
