/// \file
/// Raft: replicated log with pre-vote, leases, ReadIndex, learners, snapshots
/// and membership changes one at a time.
#pragma once

#include "almondpier/Messages.h"

#include <memory>

namespace almondpier {

struct ConsensusOptions {
  MemberId m_Self;
  uint64_t m_ClusterId = 0;
  /// Seed of the random election timeouts.
  uint64_t m_Seed = 0;
  Duration m_HeartbeatInterval = std::chrono::milliseconds(75);
  /// The election timeout is drawn between this and twice this.
  Duration m_ElectionTimeout = std::chrono::milliseconds(400);
  /// Shorter than the election timeout, so that a lease ends before another
  /// leader can be elected.
  Duration m_LeaseDuration = std::chrono::milliseconds(300);
};

/// What a member must not forget; synced before any message that depends on it
/// is sent.
struct HardState {
  uint64_t m_Term = 0;
  /// Candidate that got this member's vote in m_Term; 0 for none.
  MemberId m_VotedFor;

  friend auto operator<=>(const HardState &, const HardState &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_VotedFor);
  }
};

struct Snapshot {
  uint64_t m_Term = 0;
  uint64_t m_Index = 0;
  Membership m_Membership;
  std::string m_Data;

  friend auto operator<=>(const Snapshot &, const Snapshot &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Index, m_Membership, m_Data);
  }
};

/// Everything that a data folder holds of the log.
struct PersistedLog {
  HardState m_HardState;
  Snapshot m_Snapshot;
  /// Entries after the snapshot, without gaps.
  std::vector<LogEntry> m_Entries;

  friend auto operator<=>(const PersistedLog &, const PersistedLog &) = default;
};

/// The log of a new cluster whose only voter is Self.
PersistedLog makeInitialLog(const ControlMember &Self);
/// The log of a new cluster that its founders form together; every founder
/// must start with the same members in the same order.
PersistedLog makeInitialLog(const std::vector<ControlMember> &Founders);

/// What the driver must do, in this order: persist and sync m_HardState,
/// m_InstalledSnapshot and m_Entries; send m_Messages; apply
/// m_InstalledSnapshot, then m_Committed.
struct ConsensusOutput {
  std::optional<HardState> m_HardState;
  /// Replaces the whole log and the state machine.
  std::optional<Snapshot> m_InstalledSnapshot;
  /// To append; an entry whose index exists already replaces it and all that
  /// follow.
  std::vector<LogEntry> m_Entries;
  std::vector<ConsensusMessage> m_Messages;
  std::vector<LogEntry> m_Committed;
  /// Reads (as numbered by requestReadIndex) that a majority has confirmed,
  /// with the index to apply first.
  struct ConfirmedRead {
    uint64_t m_Read = 0;
    uint64_t m_Index = 0;
  };
  std::vector<ConfirmedRead> m_ConfirmedReads;
  /// Reads that failed because this member no longer leads.
  std::vector<uint64_t> m_FailedReads;

  bool empty() const {
    return !m_HardState && !m_InstalledSnapshot && m_Entries.empty() &&
           m_Messages.empty() && m_Committed.empty() &&
           m_ConfirmedReads.empty() && m_FailedReads.empty();
  }
};

enum class ConsensusRole : uint8_t { Follower, Candidate, Leader, Learner };

/// One member of the replicated log. After each call the driver takes and
/// carries out the output. Every Now is read after the event it belongs to; a
/// reading cached before a pause would make a lease look valid for too long.
class Consensus {
public:
  Consensus(const ConsensusOptions &Options, PersistedLog Log, Time Now);
  ~Consensus();
  Consensus(const Consensus &) = delete;
  Consensus &operator=(const Consensus &) = delete;

  void tick(Time Now);
  void receive(const ConsensusMessage &Message, Time Now);
  /// Appends an entry; returns its index, or nothing when this member does not
  /// lead or gives up leadership. Throws Error(BodyTooLarge) for Data above
  /// kMaxMessageBytes / 2.
  std::optional<uint64_t> propose(std::string Data, Time Now);
  /// Changes the membership by one member; Data is applied like that of other
  /// entries. Returns nothing when this member does not lead, another change is
  /// not yet committed, the leader has not committed in its term, a learner to
  /// be promoted does not hold every committed entry, or the change is not of
  /// exactly one member. A new member is added as a learner first.
  std::optional<uint64_t> proposeMembership(const Membership &Target,
                                            std::string Data, Time Now);
  /// Asks for an index up to which a reader must apply, confirmed by a round
  /// that starts now. Returns the number of the read, or nothing when this
  /// member does not lead or has not committed an entry of its term.
  std::optional<uint64_t> requestReadIndex(Time Now);
  /// Gives up leadership in favour of the most advanced other voter.
  void transferLeadership(Time Now);
  /// Replaces the applied log up to Index by a snapshot of the state machine;
  /// the driver persists it itself.
  void compact(uint64_t Index, std::string Data);
  ConsensusOutput takeOutput();

  ConsensusRole role() const;
  bool isLeader() const { return role() == ConsensusRole::Leader; }
  /// Whether this member leads and no other member can have been elected before
  /// Now.
  bool holdsLease(Time Now) const;
  /// The member believed to lead; 0 when unknown.
  MemberId leader() const;
  uint64_t term() const;
  uint64_t commitIndex() const;
  uint64_t lastIndex() const;
  /// Index of the last entry that a snapshot covers.
  uint64_t snapshotIndex() const;
  /// The last snapshot, as made by compact or sent by a leader; the driver
  /// persists it after compact.
  const Snapshot &snapshot() const;
  const Membership &membership() const;
  /// Last index known to be on a member, as the leader sees it.
  uint64_t matchIndex(MemberId Member) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
