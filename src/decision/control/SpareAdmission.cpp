#include "decision/control/SpareAdmission.h"

namespace almondpier {

namespace {

/// Proxies use an older configuration for at most 1.5 s; the rest covers
/// requests on the way.
constexpr Duration kRemovalEffect = std::chrono::seconds(3);
constexpr Duration kAskInterval = std::chrono::milliseconds(200);

} // namespace

bool SpareAdmission::hasPlace(const DatabaseRecord &Record) {
  return Record.m_Instances.size() < Record.m_GroupSize &&
         !Record.m_Spares.empty() && Record.m_Primary &&
         Record.m_PrimaryTerm == Record.m_BegunTerm;
}

void SpareAdmission::reset() {
  m_Since.reset();
  m_AskedAt.reset();
  m_Wanted.reset();
}

void SpareAdmission::tick(const DatabaseName &Name,
                          const DatabaseRecord &Record, InstanceCalls &Calls,
                          ControlContext &Context) {
  if (!hasPlace(Record))
    return reset();
  std::set<InstanceName> Members;
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Instances)
    Members.insert(Entry.first);
  if (Members != m_Members || m_Term != Record.m_PrimaryTerm)
    reset();
  m_Members = std::move(Members);
  m_Term = Record.m_PrimaryTerm;
  if (!m_Since)
    m_Since = Context.m_Now;
  if (Context.m_Now - *m_Since < kRemovalEffect ||
      (m_AskedAt && Context.m_Now - *m_AskedAt < kAskInterval))
    return;
  m_AskedAt = Context.m_Now;
  if (!m_Wanted) {
    auto Primary = Record.m_Instances.find(*Record.m_Primary);
    if (Primary != Record.m_Instances.end())
      Calls.send({Name, Primary->first, InstanceCallKind::Status, m_Term},
                 Primary->second, nullptr, Context);
    return;
  }
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Spares)
    Calls.send({Name, Entry.first, InstanceCallKind::Status, m_Term},
               Entry.second, nullptr, Context);
}

void SpareAdmission::onAnswered(const InstanceCalls::Call &Call,
                                const InstanceCallAnswered &Answer,
                                const DatabaseRecord &Record,
                                ControlContext &Context) {
  if (!m_AskedAt || !hasPlace(Record) || !Answer.m_Status ||
      Call.m_Term != Record.m_PrimaryTerm || Call.m_Term != m_Term ||
      Answer.m_Status->m_Instance != Call.m_Instance ||
      Answer.m_Status->m_SealedTerm != m_Term ||
      Answer.m_Status->m_Position.m_Term != m_Term)
    return;
  if (Call.m_Instance == *Record.m_Primary && Answer.m_Status->m_IsPrimary) {
    if (!m_Wanted)
      m_Wanted = Answer.m_Status->m_Position;
    return;
  }
  if (!m_Wanted || !Record.m_Spares.contains(Call.m_Instance) ||
      Answer.m_Status->m_Position.m_Index < m_Wanted->m_Index)
    return;
  Context.proposeBySystem(
      AdmitInstance{Call.m_Database, Call.m_Instance, m_Term},
      Context.m_Board.m_Self.m_Host.m_Value);
}

} // namespace almondpier
