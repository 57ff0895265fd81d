/// \file
/// The state machine that the control hosts replicate.
#pragma once

#include "almondpier/Messages.h"
#include "decision/control/AuditTrail.h"

namespace almondpier {

/// Configuration, outcomes by change identifier and audit trail. Applying the
/// same entries gives the same state on every host.
class ControlState {
public:
  struct Applied {
    ChangeOutcome m_Outcome;
    /// Set when the change was accepted now, not before.
    std::optional<Change> m_Accepted;
  };

  /// Applies a committed entry; the answer is empty for an entry without a
  /// change. Entries up to appliedIndex() must not come again.
  std::optional<Applied> apply(const LogEntry &Entry);

  uint64_t appliedIndex() const { return m_AppliedIndex; }
  /// Term of the last entry applied.
  uint64_t appliedTerm() const { return m_AppliedTerm; }
  const Configuration &configuration() const { return m_Configuration; }
  const OutcomeTable &outcomes() const { return m_Outcomes; }
  const AuditTrail &audit() const { return m_Audit; }
  /// The instance directory as a leader last recorded it.
  const std::vector<InstanceDescription> &directory() const {
    return m_Directory;
  }
  /// The policy document in force as the operator sent it.
  const std::string &policySource() const { return m_PolicySource; }

  std::string encoded() const;
  /// Throws DecodeError.
  static ControlState decoded(std::string_view Bytes);

  friend bool operator==(const ControlState &, const ControlState &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_AppliedIndex, m_AppliedTerm, m_Configuration, m_Outcomes, m_Audit,
       m_PolicySource, m_Directory);
  }

private:
  uint64_t m_AppliedIndex = 0;
  uint64_t m_AppliedTerm = 0;
  Configuration m_Configuration;
  OutcomeTable m_Outcomes;
  AuditTrail m_Audit;
  std::string m_PolicySource;
  std::vector<InstanceDescription> m_Directory;
};

} // namespace almondpier
