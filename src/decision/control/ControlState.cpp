#include "decision/control/ControlState.h"

#include "decision/Invariant.h"
#include "messages/Codec.h"

#include <cereal/types/deque.hpp>
#include <cereal/types/unordered_map.hpp>

namespace almondpier {

std::optional<ControlState::Applied>
ControlState::apply(const LogEntry &Entry) {
  requireInvariant(Entry.m_Index == m_AppliedIndex + 1, "R13",
                   "entries of the log are applied in order, each once");
  m_AppliedIndex = Entry.m_Index;
  m_AppliedTerm = Entry.m_Term;
  if (Entry.m_Data.empty())
    return std::nullopt;
  Change Received = decodeChange(Entry.m_Data);
  if (RecordDirectory *Record =
          std::get_if<RecordDirectory>(&Received.m_Body)) {
    // Observed, not decided: neither audited nor sent to proxies as a change.
    m_Directory = std::move(Record->m_Instances);
    return Applied{ChangeOutcome{true, m_Configuration.version(), {}},
                   std::nullopt};
  }
  // Changes by the system bear no identifier; they are idempotent themselves.
  bool IsIdentified = !Received.m_ChangeId.empty();
  if (IsIdentified)
    if (std::optional<ChangeOutcome> First = m_Outcomes.find(Received))
      return Applied{*First, std::nullopt};
  uint64_t PolicyBefore = m_Configuration.policy().m_Version;
  ChangeOutcome Outcome = m_Configuration.apply(Received);
  if (IsIdentified)
    m_Outcomes.add(Received, Outcome);
  m_Audit.add(Received, Entry.m_Index, Outcome);
  if (!Outcome.m_Accepted)
    return Applied{Outcome, std::nullopt};
  if (InstallPolicy *Install = std::get_if<InstallPolicy>(&Received.m_Body)) {
    if (m_Configuration.policy().m_Version == PolicyBefore)
      return Applied{Outcome, std::nullopt};
    // Proxies need the decoded policy only.
    m_PolicySource = std::move(Install->m_Source);
    Install->m_Source.clear();
  }
  return Applied{Outcome, std::move(Received)};
}

std::string ControlState::encoded() const {
  return encodeWithTail(*this, m_Configuration.extension());
}

ControlState ControlState::decoded(std::string_view Bytes) {
  auto [Result, Extension] =
      decodeWithTail<ControlState, ConfigurationExtension>(Bytes);
  Result.m_Configuration.setExtension(std::move(Extension));
  return std::move(Result);
}

} // namespace almondpier
