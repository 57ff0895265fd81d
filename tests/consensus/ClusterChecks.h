/// \file
/// What must hold in every run of the replicated log.
#pragma once

#include "decision/consensus/Consensus.h"

namespace almondpier {

/// Thrown when a run breaks one of the checks.
class CheckFailure : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

inline void check(bool Holds, const std::string &Message) {
  if (!Holds)
    throw CheckFailure(Message);
}

/// State of the state machine that the runs replicate: a hash of all entries.
struct AppliedState {
  uint64_t m_Index = 0;
  uint64_t m_Hash = 0;

  void apply(const LogEntry &Entry) {
    constexpr uint64_t kFactor = 0x100000001B3U;
    m_Index = Entry.m_Index;
    m_Hash = (m_Hash ^ std::hash<std::string>()(Entry.m_Data) ^
              Entry.m_Term * kFactor) *
             kFactor;
  }
  friend auto operator<=>(const AppliedState &, const AppliedState &) = default;
};

class ClusterChecks {
public:
  uint64_t committed() const { return m_Entries.size(); }
  const LogEntry &committedEntry(uint64_t Index) const {
    return m_Entries.at(Index - 1);
  }
  /// The newest committed membership.
  const Membership &membership() const { return m_Membership; }
  size_t terms() const { return m_Leaders.size(); }

  void leads(MemberId Member, uint64_t Term) {
    MemberId First = m_Leaders.emplace(Term, Member).first->second;
    check(First == Member, "members " + std::to_string(First.m_Value) +
                               " and " + std::to_string(Member.m_Value) +
                               " lead in term " + std::to_string(Term));
  }

  /// A member applies a committed entry on top of State.
  void applies(AppliedState &State, const LogEntry &Entry) {
    check(Entry.m_Index == State.m_Index + 1,
          "a member applies entry " + std::to_string(Entry.m_Index) +
              " after entry " + std::to_string(State.m_Index));
    if (Entry.m_Index == m_Entries.size() + 1) {
      m_Entries.push_back(Entry);
      m_States.push_back(m_States.empty() ? AppliedState{} : m_States.back());
      m_States.back().apply(Entry);
      if (Entry.m_Membership)
        m_Membership = *Entry.m_Membership;
    }
    check(m_Entries.at(Entry.m_Index - 1) == Entry,
          "the committed entry " + std::to_string(Entry.m_Index) + " changed");
    State.apply(Entry);
  }

  /// A member replaces its state by a snapshot of another.
  void installs(const AppliedState &State) const {
    check(State.m_Index >= 1 && State.m_Index <= m_States.size() &&
              m_States.at(State.m_Index - 1) == State,
          "the snapshot at " + std::to_string(State.m_Index) +
              " does not hold the committed entries");
  }

  /// A read that was requested when RequiredIndex was committed is answered.
  static void reads(uint64_t RequiredIndex, uint64_t Index) {
    check(Index >= RequiredIndex,
          "a read is answered at index " + std::to_string(Index) +
              " although index " + std::to_string(RequiredIndex) +
              " was committed before the request");
  }

  /// Checks all members that hold the lease at one moment. One that has
  /// committed in its term answers reads from its own state.
  void lease(const std::vector<const Consensus *> &Holders) const {
    check(Holders.size() <= 1, "two members hold a lease");
    for (const Consensus *Holder : Holders) {
      uint64_t Index = Holder->commitIndex();
      if (Index >= 1 && Index <= committed() &&
          committedEntry(Index).m_Term == Holder->term())
        reads(committed(), Index);
    }
  }

private:
  std::map<uint64_t, MemberId> m_Leaders;
  std::vector<LogEntry> m_Entries;
  /// State after each committed entry.
  std::vector<AppliedState> m_States;
  Membership m_Membership;
};

} // namespace almondpier
