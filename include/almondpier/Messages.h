/// \file
/// Messages between the processes of the system and their encoding as cereal
/// portable binary. Decoding bounds every length before memory is allocated and
/// throws DecodeError on anything that is not a whole, valid message.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// Version of all messages; processes of different versions do not talk.
constexpr uint16_t kProtocolVersion = 1;
/// Largest encoded message in bytes.
constexpr size_t kMaxMessageBytes = 1U << 20U;
/// Largest part of a snapshot that one message carries, in bytes.
constexpr size_t kMaxSnapshotChunkBytes = 256U << 10U;
/// Largest UDP datagram in bytes, so that it fits one Ethernet frame.
constexpr size_t kMaxDatagramBytes = 1'400;

/// Thrown when bytes are not a valid message; the message names the reason.
class DecodeError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

// Consensus.

/// Identifies one data folder of a control host; drawn at random when the
/// folder is initialised.
struct MemberId {
  uint64_t m_Value = 0;

  friend auto operator<=>(const MemberId &, const MemberId &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Value); }
};

/// A control host in the membership of the replicated log.
struct ControlMember {
  MemberId m_Id;
  HostName m_Host;
  AvailabilityZone m_Zone;
  /// Where other processes connect by TCP; UDP uses the same address and port.
  Endpoint m_Peer;
  /// HTTP endpoint for operators and announcements.
  Endpoint m_Operations;
  /// Keeps the log on a disk. A founder is listed without one until it has
  /// described itself, because founders know one another by address only.
  bool m_IsDurable = true;

  friend auto operator<=>(const ControlMember &,
                          const ControlMember &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Id, m_Host, m_Zone, m_Peer, m_Operations, m_IsDurable);
  }
};

struct Membership {
  std::vector<ControlMember> m_Voters;
  std::vector<ControlMember> m_Learners;

  friend auto operator<=>(const Membership &, const Membership &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Voters, m_Learners);
  }
};

struct LogEntry {
  uint64_t m_Term = 0;
  uint64_t m_Index = 0;
  /// Encoded Change; empty for the entry that begins a term.
  std::string m_Data;
  /// Set when the entry changes the control membership.
  std::optional<Membership> m_Membership;

  friend auto operator<=>(const LogEntry &, const LogEntry &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Index, m_Data, m_Membership);
  }
};

struct VoteRequest {
  uint64_t m_Term = 0;
  /// A pre-vote asks without changing the receiver's term.
  bool m_PreVote = false;
  uint64_t m_LastLogTerm = 0;
  uint64_t m_LastLogIndex = 0;
  /// Set when the leader asked this member to take over, so that receivers do
  /// not wait for its lease.
  bool m_LeadershipTransfer = false;

  friend auto operator<=>(const VoteRequest &, const VoteRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_PreVote, m_LastLogTerm, m_LastLogIndex, m_LeadershipTransfer);
  }
};
struct VoteReply {
  uint64_t m_Term = 0;
  bool m_PreVote = false;
  bool m_Granted = false;

  friend auto operator<=>(const VoteReply &, const VoteReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_PreVote, m_Granted);
  }
};
/// Also the leader's heartbeat when m_Entries is empty.
struct AppendRequest {
  uint64_t m_Term = 0;
  uint64_t m_PreviousTerm = 0;
  uint64_t m_PreviousIndex = 0;
  uint64_t m_CommitIndex = 0;
  /// Number of the heartbeat round, for the lease and ReadIndex.
  uint64_t m_Round = 0;
  std::vector<LogEntry> m_Entries;

  friend auto operator<=>(const AppendRequest &,
                          const AppendRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_PreviousTerm, m_PreviousIndex, m_CommitIndex, m_Round,
       m_Entries);
  }
};
struct AppendReply {
  uint64_t m_Term = 0;
  bool m_Success = false;
  /// On success the last index known to match; otherwise where the leader
  /// continues its search.
  uint64_t m_MatchIndex = 0;
  uint64_t m_Round = 0;

  friend auto operator<=>(const AppendReply &, const AppendReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Success, m_MatchIndex, m_Round);
  }
};
/// One part of a snapshot; parts arrive in order.
struct SnapshotRequest {
  uint64_t m_Term = 0;
  uint64_t m_SnapshotTerm = 0;
  uint64_t m_SnapshotIndex = 0;
  Membership m_Membership;
  uint64_t m_Offset = 0;
  std::string m_Data;
  bool m_Last = false;

  friend auto operator<=>(const SnapshotRequest &,
                          const SnapshotRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_SnapshotTerm, m_SnapshotIndex, m_Membership, m_Offset, m_Data,
       m_Last);
  }
};
struct SnapshotReply {
  uint64_t m_Term = 0;
  uint64_t m_SnapshotIndex = 0;
  /// The offset that the receiver needs next.
  uint64_t m_NextOffset = 0;
  bool m_Installed = false;

  friend auto operator<=>(const SnapshotReply &,
                          const SnapshotReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_SnapshotIndex, m_NextOffset, m_Installed);
  }
};
/// Asks the receiver to start an election at once.
struct TransferLeadership {
  uint64_t m_Term = 0;

  friend auto operator<=>(const TransferLeadership &,
                          const TransferLeadership &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Term); }
};

using ConsensusBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotRequest, SnapshotReply, TransferLeadership>;

struct ConsensusMessage {
  MemberId m_From;
  MemberId m_To;
  /// Identifies the cluster, so that members of different clusters do not mix.
  uint64_t m_ClusterId = 0;
  ConsensusBody m_Body;

  friend auto operator<=>(const ConsensusMessage &,
                          const ConsensusMessage &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_To, m_ClusterId, m_Body);
  }
};

// Control hosts among themselves.

/// A follower asks the leader for an index up to which it must apply before it
/// answers polls.
struct ReadIndexRequest {
  MemberId m_From;
  uint64_t m_Sequence = 0;

  friend auto operator<=>(const ReadIndexRequest &,
                          const ReadIndexRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_Sequence);
  }
};
struct LiveHost {
  HostName m_Host;
  /// A host that is not ready keeps its work but gets no new ownership.
  bool m_Ready = false;

  friend auto operator<=>(const LiveHost &, const LiveHost &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Ready);
  }
};
/// The leader's list of live hosts. Versions of one leader rise; a list of a
/// later term replaces any older.
struct LiveHosts {
  uint64_t m_Term = 0;
  uint64_t m_Version = 0;
  std::vector<LiveHost> m_Hosts;

  friend auto operator<=>(const LiveHosts &, const LiveHosts &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Version, m_Hosts);
  }
};
/// A check-in of an instance, or its last word before it ends.
struct InstanceCheckIn {
  InstanceDescription m_Instance;
  /// Rises with each check-in of one boot, so that a late one is recognised.
  uint64_t m_Sequence = 0;
  /// The instance ends; only m_Instance.m_Name is set.
  bool m_IsLeaving = false;

  friend auto operator<=>(const InstanceCheckIn &,
                          const InstanceCheckIn &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Instance, m_Sequence, m_IsLeaving);
  }
};
/// The leader's list of instances. Versions of one leader rise; a list of a
/// later term replaces any older.
struct InstanceDirectory {
  uint64_t m_Term = 0;
  uint64_t m_Version = 0;
  /// Every running instance has had the time to check in with this leader or
  /// its predecessors. A partial list is of use to those that have none.
  bool m_IsComplete = false;
  std::vector<InstanceDescription> m_Instances;

  friend auto operator<=>(const InstanceDirectory &,
                          const InstanceDirectory &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Version, m_IsComplete, m_Instances);
  }
};
struct ReadIndexReply {
  uint64_t m_Sequence = 0;
  uint64_t m_Index = 0;
  LiveHosts m_LiveHosts;
  /// Set when it changed since the last reply on the link.
  std::optional<InstanceDirectory> m_Directory;

  friend auto operator<=>(const ReadIndexReply &,
                          const ReadIndexReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Index, m_LiveHosts, m_Directory);
  }
};
/// A control host with an empty data folder asks the leader to add it as a
/// learner. A member describes itself with it when its record is outdated.
struct JoinRequest {
  ControlMember m_Member;

  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Member); }
};
/// Asks a control host which hosts are the members.
struct MembersRequest {
  friend auto operator<=>(const MembersRequest &,
                          const MembersRequest &) = default;
  template <typename Archive> void serialize(Archive & /*Ar*/) {}
};
/// Also answers a poll at a control host that keeps no log and so proves
/// nothing.
struct MembersReply {
  uint64_t m_Term = 0;
  /// 0 when unknown.
  MemberId m_Leader;
  /// The sender leads and has applied an entry of its own term.
  bool m_IsFromLeader = false;
  std::vector<ControlMember> m_Voters;

  friend auto operator<=>(const MembersReply &, const MembersReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Leader, m_IsFromLeader, m_Voters);
  }
};
/// A change that a follower relays to the leader.
struct ProposeRequest {
  uint64_t m_Sequence = 0;
  Change m_Change;

  friend auto operator<=>(const ProposeRequest &,
                          const ProposeRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Change);
  }
};
struct ProposeReply {
  uint64_t m_Sequence = 0;
  ChangeOutcome m_Outcome;

  friend auto operator<=>(const ProposeReply &, const ProposeReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Outcome);
  }
};
/// An announcement that a follower relays to the leader.
struct RelayAnnouncement {
  InstanceRecord m_Instance;
  bool m_Departing = false;

  friend auto operator<=>(const RelayAnnouncement &,
                          const RelayAnnouncement &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Instance, m_Departing);
  }
};

// Proxies and control hosts.

struct PollRequest {
  HostRecord m_Host;
  uint64_t m_Incarnation = 0;
  uint64_t m_Sequence = 0;
  /// Log index of the configuration that the proxy holds; 0 for none.
  uint64_t m_AppliedIndex = 0;
  uint64_t m_LiveHostsTerm = 0;
  uint64_t m_LiveHostsVersion = 0;
  uint64_t m_DirectoryTerm = 0;
  uint64_t m_DirectoryVersion = 0;
  /// The list of live hosts grows with the deployment and changes with every
  /// host that starts or ends, so only hosts that route by it get it.
  bool m_WantsLiveHosts = true;
  /// digestOf() the members that the proxy knows; 0 for none.
  uint64_t m_MembersDigest = 0;

  friend auto operator<=>(const PollRequest &, const PollRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Incarnation, m_Sequence, m_AppliedIndex, m_LiveHostsTerm,
       m_LiveHostsVersion, m_DirectoryTerm, m_DirectoryVersion,
       m_WantsLiveHosts, m_MembersDigest);
  }
};
/// Proves that the configuration up to m_AppliedIndex holds everything accepted
/// before the poll was sent.
struct PollReply {
  uint64_t m_Sequence = 0;
  uint64_t m_AppliedIndex = 0;
  /// Accepted changes since the index of the request, in order. Empty when
  /// m_Snapshot is set.
  std::vector<Change> m_Changes;
  /// Whole encoded configuration, in parts when it is larger than one message
  /// allows.
  std::string m_Snapshot;
  uint64_t m_SnapshotOffset = 0;
  uint64_t m_SnapshotBytes = 0;
  std::optional<LiveHosts> m_LiveHosts;
  std::optional<InstanceDirectory> m_Directory;
  /// The control host that leads; empty when unknown.
  HostName m_Leader;
  /// Empty when the digest of the request shows that they are known.
  std::vector<ControlMember> m_ControlMembers;

  friend auto operator<=>(const PollReply &, const PollReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_AppliedIndex, m_Changes, m_Snapshot, m_SnapshotOffset,
       m_SnapshotBytes, m_LiveHosts, m_Directory, m_Leader, m_ControlMembers);
  }
};

struct TokenDemand {
  OrganisationName m_Organisation;
  /// Tokens wanted for requests that wait now.
  uint32_t m_Waiting = 0;
  /// Tokens wanted ahead of need.
  uint32_t m_Prefetch = 0;

  friend auto operator<=>(const TokenDemand &, const TokenDemand &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Waiting, m_Prefetch);
  }
};
struct TokenRequest {
  HostName m_Host;
  uint64_t m_Sequence = 0;
  std::vector<TokenDemand> m_Demands;

  friend auto operator<=>(const TokenRequest &, const TokenRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Sequence, m_Demands);
  }
};
struct TokenLoan {
  OrganisationName m_Organisation;
  uint32_t m_Tokens = 0;
  /// How long the tokens can be used, counted from the moment the request was
  /// sent.
  uint32_t m_ValidityMs = 0;
  /// When more tokens are expected, if fewer were lent than waited for.
  uint32_t m_RetryAfterMs = 0;

  friend auto operator<=>(const TokenLoan &, const TokenLoan &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Tokens, m_ValidityMs, m_RetryAfterMs);
  }
};
struct TokenGrant {
  uint64_t m_Sequence = 0;
  /// Term of the leader that lends; returned tokens name it.
  uint64_t m_LeaderTerm = 0;
  std::vector<TokenLoan> m_Loans;

  friend auto operator<=>(const TokenGrant &, const TokenGrant &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_LeaderTerm, m_Loans);
  }
};
/// Unused tokens given back before they expire. Ignored by a leader of another
/// term.
struct TokenReturn {
  uint64_t m_LeaderTerm = 0;
  OrganisationName m_Organisation;
  uint32_t m_Tokens = 0;

  friend auto operator<=>(const TokenReturn &, const TokenReturn &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_LeaderTerm, m_Organisation, m_Tokens);
  }
};

/// An observer's view of an instance of which it is an observer.
struct InstanceReport {
  DatabaseName m_Database;
  InstanceName m_Instance;
  /// Time since the last good answer; 0 when healthy.
  uint32_t m_UnreachableMs = 0;
  Position m_Position;
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;

  friend auto operator<=>(const InstanceReport &,
                          const InstanceReport &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Instance, m_UnreachableMs, m_Position, m_SealedTerm,
       m_IsPrimary);
  }
};
/// Sent by UDP. Reports name only instances that are unhealthy or not in the
/// state that the configuration wants.
struct Heartbeat {
  HostName m_Host;
  bool m_Ready = false;
  uint64_t m_AppliedIndex = 0;
  std::vector<InstanceReport> m_Reports;
  /// Not all reports fit; the ones left out are in the next heartbeats.
  bool m_IsPartial = false;

  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Ready, m_AppliedIndex, m_Reports, m_IsPartial);
  }
};
/// Tells the sender of a datagram which nonce this receiver expects.
struct HeartbeatNonce {
  uint64_t m_Nonce = 0;

  friend auto operator<=>(const HeartbeatNonce &,
                          const HeartbeatNonce &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Nonce); }
};

// Proxies among themselves.

enum class RequestKind : uint8_t {
  Read,
  Write,
  Begin,
  Execute,
  Commit,
  Rollback,
  Outcome
};

/// Names a transaction; m_Owner alone holds it.
struct TransactionId {
  HostName m_Owner;
  uint64_t m_Incarnation = 0;
  uint64_t m_Number = 0;

  friend auto operator<=>(const TransactionId &,
                          const TransactionId &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Owner, m_Incarnation, m_Number);
  }
};

/// What a read must observe.
struct ReadRequirement {
  /// The instance must hold this position of the database; zero when the
  /// session wrote nothing there.
  Position m_Position;
  /// The read must see every write acknowledged before it arrived, as when
  /// there is no valid session token.
  bool m_ConfirmedPrimary = false;
  /// When set, data up to this age is accepted instead of the two above.
  std::optional<uint32_t> m_MaxAgeMs;

  friend auto operator<=>(const ReadRequirement &,
                          const ReadRequirement &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Position, m_ConfirmedPrimary, m_MaxAgeMs);
  }
};

/// A request that passed admission, as the owner of the group executes it.
struct AdmittedRequest {
  RequestKind m_Kind = RequestKind::Read;
  OrganisationName m_Organisation;
  KeyId m_Key;
  DatabaseName m_Database;
  std::string m_Statement;
  ReadRequirement m_Requirement;
  /// "organisation/Idempotency-Key", or empty.
  std::string m_RequestId;
  std::optional<TransactionId> m_Transaction;
  /// Time left until the caller's deadline, when sent.
  uint32_t m_TimeLeftMs = 0;

  friend auto operator<=>(const AdmittedRequest &,
                          const AdmittedRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Organisation, m_Key, m_Database, m_Statement, m_Requirement,
       m_RequestId, m_Transaction, m_TimeLeftMs);
  }
};
/// The owner's answer to an admitted request.
struct RequestResult {
  /// Set when the request failed.
  std::optional<ErrorReport> m_Error;
  std::string m_Body;
  /// Position of a write, or of the instance that served a read.
  Position m_Position;
  bool m_ServedByReplica = false;
  InstanceName m_Instance;
  std::optional<TransactionId> m_Transaction;

  friend auto operator<=>(const RequestResult &,
                          const RequestResult &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Error, m_Body, m_Position, m_ServedByReplica, m_Instance,
       m_Transaction);
  }
};
struct ForwardRequest {
  uint64_t m_Sequence = 0;
  AdmittedRequest m_Request;

  friend auto operator<=>(const ForwardRequest &,
                          const ForwardRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Request);
  }
};
struct ForwardReply {
  uint64_t m_Sequence = 0;
  RequestResult m_Result;

  friend auto operator<=>(const ForwardReply &, const ForwardReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Result);
  }
};
/// The caller is gone; the owner drops the request if it waits, and rolls back
/// its transaction.
struct ForwardCancel {
  uint64_t m_Sequence = 0;

  friend auto operator<=>(const ForwardCancel &,
                          const ForwardCancel &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Sequence); }
};

/// Shows that the sender and the link are alive.
struct Ping {
  /// The sender sends again on this link within this time.
  uint32_t m_MaxSendIntervalMs = 100;

  friend auto operator<=>(const Ping &, const Ping &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_MaxSendIntervalMs);
  }
};

using Message =
    std::variant<Ping, ConsensusMessage, ReadIndexRequest, ReadIndexReply,
                 JoinRequest, ProposeRequest, ProposeReply, RelayAnnouncement,
                 PollRequest, PollReply, TokenRequest, TokenGrant, TokenReturn,
                 Heartbeat, HeartbeatNonce, ForwardRequest, ForwardReply,
                 ForwardCancel, InstanceCheckIn, MembersRequest, MembersReply>;

/// Tells lists of members apart; never 0.
uint64_t digestOf(const std::vector<ControlMember> &Members);

std::string encode(const Message &Message);
/// Throws DecodeError.
Message decodeMessage(std::string_view Bytes);

std::string encode(const Change &Change);
/// Throws DecodeError.
Change decodeChange(std::string_view Bytes);

std::string encode(const Configuration &Configuration);
/// Throws DecodeError.
Configuration decodeConfiguration(std::string_view Bytes);

} // namespace almondpier
