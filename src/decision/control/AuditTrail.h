/// \file
/// The audit trail and the table of change identifiers, both part of the
/// replicated state.
#pragma once

#include "almondpier/Model.h"

#include <deque>
#include <unordered_map>

namespace almondpier {

/// One accepted or refused change.
struct AuditRecord {
  /// Counts all records since the cluster was formed.
  uint64_t m_Number = 0;
  uint64_t m_LogIndex = 0;
  uint64_t m_WallTimeMs = 0;
  std::string m_Actor;
  std::string m_ChangeId;
  std::string m_Description;
  ChangeOutcome m_Outcome;

  friend auto operator<=>(const AuditRecord &, const AuditRecord &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Number, m_LogIndex, m_WallTimeMs, m_Actor, m_ChangeId, m_Description,
       m_Outcome);
  }
};

/// The last changes, accepted or refused.
class AuditTrail {
public:
  static constexpr size_t kMaxRecords = 50'000;

  void add(const Change &Change, uint64_t LogIndex,
           const ChangeOutcome &Outcome);
  /// Returns up to Limit records with numbers above After, in order. The number
  /// of the last one continues the list.
  std::vector<AuditRecord> after(uint64_t After, size_t Limit) const;
  /// Number of the oldest record kept; later ones follow without gaps.
  uint64_t firstNumber() const { return m_LastNumber - m_Records.size() + 1; }
  uint64_t lastNumber() const { return m_LastNumber; }

  friend bool operator==(const AuditTrail &, const AuditTrail &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_LastNumber, m_Records);
  }

private:
  uint64_t m_LastNumber = 0;
  std::deque<AuditRecord> m_Records;
};

/// First outcomes by change identifier, so that a change sent again has no
/// second effect.
class OutcomeTable {
public:
  static constexpr size_t kMaxIdentifiers = 20'000;

  /// Returns the first outcome of this identifier, or a refusal when it was
  /// used for another change; nothing when it is unknown. The expected version
  /// does not count: a sender that starts again may have read a newer one.
  std::optional<ChangeOutcome> find(const Change &Change) const;
  void add(const Change &Change, const ChangeOutcome &Outcome);
  size_t size() const { return m_Order.size(); }

  friend bool operator==(const OutcomeTable &, const OutcomeTable &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Order, m_Entries);
  }

private:
  struct Entry {
    /// Digest of the actor and the body.
    uint64_t m_Digest = 0;
    ChangeOutcome m_Outcome;

    friend auto operator<=>(const Entry &, const Entry &) = default;
    template <typename Archive> void serialize(Archive &Ar) {
      Ar(m_Digest, m_Outcome);
    }
  };

  std::deque<std::string> m_Order;
  std::unordered_map<std::string, Entry> m_Entries;
};

} // namespace almondpier
