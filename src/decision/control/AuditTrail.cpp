#include "decision/control/AuditTrail.h"

#include "almondpier/Messages.h"

#include <algorithm>
#include <cstring>

namespace almondpier {

void AuditTrail::add(const Change &Change, uint64_t LogIndex,
                     const ChangeOutcome &Outcome) {
  m_Records.push_back(AuditRecord{++m_LastNumber, LogIndex, Change.m_WallTimeMs,
                                  Change.m_Actor, Change.m_ChangeId,
                                  describe(Change.m_Body), Outcome});
  if (m_Records.size() > kMaxRecords)
    m_Records.pop_front();
}

std::vector<AuditRecord> AuditTrail::after(uint64_t After, size_t Limit) const {
  uint64_t First = std::max(After + 1, firstNumber());
  if (First > m_LastNumber)
    return {};
  auto Begin =
      m_Records.begin() + static_cast<ptrdiff_t>(First - firstNumber());
  size_t Count = std::min<uint64_t>(Limit, m_LastNumber - First + 1);
  return {Begin, Begin + static_cast<ptrdiff_t>(Count)};
}

static uint64_t digestOf(const Change &Source) {
  Change Essence;
  Essence.m_Actor = Source.m_Actor;
  Essence.m_Body = Source.m_Body;
  KeyDigest Digest = digestOfKey(encode(Essence));
  uint64_t Value = 0;
  std::memcpy(&Value, Digest.m_Bytes.data(), sizeof(Value));
  return Value;
}

std::optional<ChangeOutcome> OutcomeTable::find(const Change &Change) const {
  auto Found = m_Entries.find(Change.m_ChangeId);
  if (Found == m_Entries.end())
    return std::nullopt;
  if (Found->second.m_Digest == digestOf(Change))
    return Found->second.m_Outcome;
  return ChangeOutcome{
      false, Found->second.m_Outcome.m_Version,
      ErrorReport{ErrorKind::AlreadyExists,
                  "change identifier '" + Change.m_ChangeId +
                      "' was used for another change; choose a new identifier",
                  Ran::No, 0}};
}

void OutcomeTable::add(const Change &Change, const ChangeOutcome &Outcome) {
  m_Entries.emplace(Change.m_ChangeId, Entry{digestOf(Change), Outcome});
  m_Order.push_back(Change.m_ChangeId);
  if (m_Order.size() <= kMaxIdentifiers)
    return;
  m_Entries.erase(m_Order.front());
  m_Order.pop_front();
}

} // namespace almondpier
