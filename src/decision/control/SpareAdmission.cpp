#include "decision/control/SpareAdmission.h"

namespace almondpier {

namespace {

/// Proxies use an outdated configuration for at most 1.5 s; the remainder
/// covers requests in flight.
constexpr Duration kRemovalPropagationTime = std::chrono::seconds(3);
constexpr Duration kQueryInterval = std::chrono::milliseconds(200);

} // namespace

bool SpareAdmission::hasVacancy(const DatabaseRecord &Record) {
  return Record.m_Instances.size() < Record.m_GroupSize &&
         !Record.m_Spares.empty() && Record.m_Primary &&
         Record.m_PrimaryTerm == Record.m_BegunTerm;
}

void SpareAdmission::reset() {
  m_VacantSince.reset();
  m_LastQueryAt.reset();
  m_RequiredPosition.reset();
}

void SpareAdmission::tick(const DatabaseName &Name,
                          const DatabaseRecord &Record,
                          PendingInstanceCalls &Calls,
                          ControlContext &Context) {
  if (!hasVacancy(Record))
    return reset();
  std::set<InstanceName> Members;
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Instances)
    Members.insert(Entry.first);
  if (Members != m_Members || m_PrimaryTerm != Record.m_PrimaryTerm)
    reset();
  m_Members = std::move(Members);
  m_PrimaryTerm = Record.m_PrimaryTerm;
  if (!m_VacantSince)
    m_VacantSince = Context.m_Now;
  if (Context.m_Now - *m_VacantSince < kRemovalPropagationTime ||
      (m_LastQueryAt && Context.m_Now - *m_LastQueryAt < kQueryInterval))
    return;
  m_LastQueryAt = Context.m_Now;
  if (!m_RequiredPosition) {
    auto Primary = Record.m_Instances.find(*Record.m_Primary);
    if (Primary != Record.m_Instances.end())
      Calls.send(
          {Name, Primary->first, InstanceCallKind::Status, m_PrimaryTerm},
          Primary->second, nullptr, Context);
    return;
  }
  for (const std::pair<const InstanceName, InstanceRecord> &Entry :
       Record.m_Spares)
    Calls.send({Name, Entry.first, InstanceCallKind::Status, m_PrimaryTerm},
               Entry.second, nullptr, Context);
}

void SpareAdmission::onAnswered(const PendingInstanceCalls::Call &Call,
                                const InstanceCallAnswered &Answer,
                                const DatabaseRecord &Record,
                                ControlContext &Context) {
  if (!m_LastQueryAt || !hasVacancy(Record) || !Answer.m_Status ||
      Call.m_Term != Record.m_PrimaryTerm || Call.m_Term != m_PrimaryTerm ||
      Answer.m_Status->m_Instance != Call.m_Instance ||
      Answer.m_Status->m_SealedTerm != m_PrimaryTerm ||
      Answer.m_Status->m_Position.m_Term != m_PrimaryTerm)
    return;
  if (Call.m_Instance == *Record.m_Primary && Answer.m_Status->m_IsPrimary) {
    if (!m_RequiredPosition)
      m_RequiredPosition = Answer.m_Status->m_Position;
    return;
  }
  if (!m_RequiredPosition || !Record.m_Spares.contains(Call.m_Instance) ||
      Answer.m_Status->m_Position.m_Index < m_RequiredPosition->m_Index)
    return;
  Context.proposeBySystem(
      AdmitInstance{Call.m_Database, Call.m_Instance, m_PrimaryTerm},
      Context.m_Board.m_Self.m_Host.m_Value);
}

} // namespace almondpier
