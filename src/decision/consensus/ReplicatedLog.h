/// \file
/// The entries that one member holds, on top of its last snapshot.
#pragma once

#include "decision/consensus/Consensus.h"

#include <deque>

namespace almondpier {

class ReplicatedLog {
public:
  explicit ReplicatedLog(PersistedLog &&Log);

  uint64_t lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  uint64_t lastTerm() const;
  /// Returns the term of the entry at Index, or nothing when the entry is not
  /// held (any more).
  std::optional<uint64_t> termAt(uint64_t Index) const;
  /// Whether an entry of this term and index is held or was compacted.
  bool matches(uint64_t Term, uint64_t Index) const;
  /// Whether a log that ends at this term and index holds at least as much as
  /// this one, by Raft's comparison.
  bool isNoNewerThan(uint64_t Term, uint64_t Index) const;
  const LogEntry &at(uint64_t Index) const;
  /// Entries from First on, at least one if there is one, until their encoded
  /// size reaches MaxBytes.
  std::vector<LogEntry> entriesFrom(uint64_t First, size_t MaxBytes) const;
  /// The last index before the entries of the term that Index is in.
  uint64_t indexBeforeTermOf(uint64_t Index) const;

  /// Appends the next entry, replacing an entry of the same index and all that
  /// follow it.
  void append(const LogEntry &Entry);
  /// Makes Index the end of a snapshot; keeps some entries before it for
  /// followers that are only a little behind.
  void compact(uint64_t Index, std::string &&Data);
  /// Replaces everything by a snapshot of the leader.
  void install(Snapshot &&Snapshot);

  const std::shared_ptr<const Snapshot> &snapshot() const { return m_Snapshot; }
  /// The newest membership in the log, committed or not.
  const Membership &membership() const { return m_Memberships.back().second; }
  uint64_t membershipIndex() const { return m_Memberships.back().first; }
  /// The membership before the newest one; committed, because a change is
  /// proposed only after the one before it is committed.
  const Membership &previousMembership() const {
    return m_Memberships[m_Memberships.size() < 2 ? 0
                                                  : m_Memberships.size() - 2]
        .second;
  }
  const Membership &membershipAt(uint64_t Index) const;

private:
  std::shared_ptr<const Snapshot> m_Snapshot;
  /// Term and index of the entry before the first of m_Entries. At most the
  /// index of the snapshot.
  uint64_t m_BaseTerm = 0;
  uint64_t m_BaseIndex = 0;
  std::deque<LogEntry> m_Entries;
  /// Membership of the snapshot and of later entries, by index.
  std::vector<std::pair<uint64_t, Membership>> m_Memberships;
};

/// Upper bound for the encoded size of an entry in bytes.
size_t encodedSizeOf(const LogEntry &Entry);

} // namespace almondpier
