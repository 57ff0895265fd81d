/// \file
/// Messages between processes and their encoding as cereal portable binary.
/// Decoding checks every length before allocating memory and throws DecodeError
/// unless the input is exactly one valid message.
#pragma once

#include "almondpier/Model.h"

namespace almondpier {

/// Version of the message format; processes with different versions do not
/// communicate.
constexpr uint16_t kProtocolVersion = 1;
/// Maximum size of an encoded message in bytes.
constexpr size_t kMaxMessageBytes = 1U << 20U;
/// Maximum size of the part of a snapshot in one message, in bytes. It takes
/// 131 ms of a link of 2 Mbit/s, less than the times after which a control host
/// sends an unanswered part again and a proxy asks another control host.
constexpr size_t kMaxSnapshotPartBytes = 32U << 10U;
/// Maximum size of a UDP datagram in bytes, chosen to fit in one Ethernet
/// frame.
constexpr size_t kMaxDatagramBytes = 1'400;

/// Thrown when bytes are not a valid message; what() states the reason.
class DecodeError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

// Consensus.

/// Random identifier of a control host's data folder, generated when the folder
/// is initialised.
struct MemberId {
  uint64_t m_Value = 0;

  friend auto operator<=>(const MemberId &, const MemberId &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Value); }
};

/// A control host that is a member of the consensus cluster.
struct ControlMember {
  MemberId m_Id;
  HostName m_Host;
  AvailabilityZone m_Zone;
  /// Endpoint for messages from other processes, by TCP and UDP.
  Endpoint m_Peer;
  /// HTTP endpoint for operators and for announcements of instances.
  Endpoint m_Operations;
  /// Whether the host stores the log on disk. Initial members know only one
  /// another's addresses, so each is listed as not durable until it has sent
  /// its own description (JoinRequest).
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
  /// Encoded Change; empty for the no-op entry at the start of a term.
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
  /// A pre-vote does not change the receiver's term.
  bool m_PreVote = false;
  uint64_t m_LastLogTerm = 0;
  uint64_t m_LastLogIndex = 0;
  /// The leader has asked the sender to take over (TransferLeadership), so
  /// receivers need not wait for the leader lease to expire.
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
/// Serves as the leader's heartbeat when m_Entries is empty.
struct AppendRequest {
  uint64_t m_Term = 0;
  uint64_t m_PreviousTerm = 0;
  uint64_t m_PreviousIndex = 0;
  uint64_t m_CommitIndex = 0;
  /// Number of the heartbeat round. The leader renews its lease and confirms
  /// ReadIndex requests by the rounds that a majority acknowledges.
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
  /// On success, the last index at which the logs are known to match; otherwise
  /// the index from which the leader continues to search for a match.
  uint64_t m_MatchIndex = 0;
  uint64_t m_Round = 0;

  friend auto operator<=>(const AppendReply &, const AppendReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Success, m_MatchIndex, m_Round);
  }
};
/// One chunk of a snapshot; chunks are sent in order.
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
  /// Offset of the chunk that the receiver expects next.
  uint64_t m_NextOffset = 0;
  bool m_Installed = false;

  friend auto operator<=>(const SnapshotReply &,
                          const SnapshotReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_SnapshotIndex, m_NextOffset, m_Installed);
  }
};
/// Asks the receiver to start an election immediately.
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
  /// Identifies the cluster; messages from other clusters are ignored.
  uint64_t m_ClusterId = 0;
  ConsensusBody m_Body;

  friend auto operator<=>(const ConsensusMessage &,
                          const ConsensusMessage &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_To, m_ClusterId, m_Body);
  }
};

// Messages between control hosts.

/// Sent by a follower to the leader to learn the log index up to which it must
/// apply entries before it answers polls (Raft ReadIndex).
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
  /// A host that is not ready keeps the groups it owns but becomes the owner of
  /// no further group.
  bool m_Ready = false;

  friend auto operator<=>(const LiveHost &, const LiveHost &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Ready);
  }
};
/// The leader's list of live hosts. The list with the highest (m_Term,
/// m_Version) is the current one.
struct LiveHosts {
  uint64_t m_Term = 0;
  uint64_t m_Version = 0;
  std::vector<LiveHost> m_Hosts;

  friend auto operator<=>(const LiveHosts &, const LiveHosts &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Version, m_Hosts);
  }
};
/// Periodic message by which an instance shows that it is running, or its
/// notice of shutdown.
struct InstanceCheckIn {
  InstanceDescription m_Instance;
  /// Increases with each check-in until the instance restarts, so that a late
  /// check-in can be recognised.
  uint64_t m_Sequence = 0;
  /// The instance is shutting down; only m_Instance.m_Name is set.
  bool m_IsLeaving = false;

  friend auto operator<=>(const InstanceCheckIn &,
                          const InstanceCheckIn &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Instance, m_Sequence, m_IsLeaving);
  }
};
/// The leader's list of instances. The list with the highest (m_Term,
/// m_Version) is the current one.
struct InstanceDirectory {
  uint64_t m_Term = 0;
  uint64_t m_Version = 0;
  /// Every running instance has had enough time to check in with this leader or
  /// an earlier one. An incomplete list is sent too, for receivers that have no
  /// list yet.
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
  /// Set when the directory has changed since the last reply on this link.
  std::optional<InstanceDirectory> m_Directory;

  friend auto operator<=>(const ReadIndexReply &,
                          const ReadIndexReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Index, m_LiveHosts, m_Directory);
  }
};
/// Sent to the leader by a control host with an empty data folder to be added
/// as a learner, and by a member to update its outdated ControlMember record.
struct JoinRequest {
  ControlMember m_Member;

  friend auto operator<=>(const JoinRequest &, const JoinRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Member); }
};
/// Asks a control host for the members of the consensus cluster.
struct MembersRequest {
  friend auto operator<=>(const MembersRequest &,
                          const MembersRequest &) = default;
  template <typename Archive> void serialize(Archive & /*Ar*/) {}
};
/// Answers a MembersRequest. Also answers a poll to a control host that has no
/// log and therefore cannot prove that a configuration is current.
struct MembersReply {
  uint64_t m_Term = 0;
  /// Has the value 0 when unknown.
  MemberId m_Leader;
  /// The sender is the leader and has applied an entry of its own term.
  bool m_IsFromLeader = false;
  std::vector<ControlMember> m_Voters;

  friend auto operator<=>(const MembersReply &, const MembersReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Term, m_Leader, m_IsFromLeader, m_Voters);
  }
};
/// A change forwarded by a follower to the leader.
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
/// An instance announcement forwarded by a follower to the leader.
struct RelayAnnouncement {
  InstanceRecord m_Instance;
  bool m_Departing = false;

  friend auto operator<=>(const RelayAnnouncement &,
                          const RelayAnnouncement &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Instance, m_Departing);
  }
};

// Messages between proxies and control hosts.

// Values of PollRequest::m_LiveHostsTerm in polls without m_WantsLiveHosts.
// Control hosts of earlier versions ignore the field in such polls.

/// The sender applies amendments of the policy.
constexpr uint64_t kAppliesPolicyAmendments = 1;
/// The sender applies amendments of the policy and requests the parts of a
/// snapshot one by one.
constexpr uint64_t kRequestsSnapshotParts = 2;

// Value of PollRequest::m_LiveHostsVersion in polls without m_WantsLiveHosts.
// It is 0 in those of earlier versions.

/// The sender applies SetHostCapacity and EvacuateZone, and reads snapshots
/// with a ConfigurationExtension.
constexpr uint64_t kReadsConfigurationExtension = 1;

/// Set in ReadIndexRequest::m_Sequence by control hosts that apply
/// SetHostCapacity and EvacuateZone. Leaders of earlier versions only echo the
/// sequence.
constexpr uint64_t kAppliesExtensionBit = uint64_t{1} << 63U;

struct PollRequest {
  HostRecord m_Host;
  uint64_t m_Incarnation = 0;
  uint64_t m_Sequence = 0;
  /// Log index of the configuration that the proxy has; 0 if it has none.
  uint64_t m_AppliedIndex = 0;
  uint64_t m_LiveHostsTerm = 0;
  uint64_t m_LiveHostsVersion = 0;
  uint64_t m_DirectoryTerm = 0;
  uint64_t m_DirectoryVersion = 0;
  /// Whether replies include the list of live hosts. The list grows with the
  /// deployment and changes whenever a host starts or stops, so only hosts that
  /// use it for routing request it.
  bool m_WantsLiveHosts = true;
  /// digestOf() the control members that the proxy knows; 0 if it knows none.
  uint64_t m_MembersDigest = 0;

  friend auto operator<=>(const PollRequest &, const PollRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Incarnation, m_Sequence, m_AppliedIndex, m_LiveHostsTerm,
       m_LiveHostsVersion, m_DirectoryTerm, m_DirectoryVersion,
       m_WantsLiveHosts, m_MembersDigest);
  }
};
/// Guarantees that the configuration at m_AppliedIndex includes every change
/// accepted before the poll was sent.
struct PollReply {
  uint64_t m_Sequence = 0;
  uint64_t m_AppliedIndex = 0;
  /// Accepted changes since the index of the request, in order. Empty when
  /// m_Snapshot is set.
  std::vector<Change> m_Changes;
  /// Encoded configuration, split into parts. With m_SnapshotBytes and without
  /// m_Snapshot, the reply offers the snapshot with m_AppliedIndex, whose parts
  /// the proxy requests.
  std::string m_Snapshot;
  uint64_t m_SnapshotOffset = 0;
  uint64_t m_SnapshotBytes = 0;
  std::optional<LiveHosts> m_LiveHosts;
  std::optional<InstanceDirectory> m_Directory;
  /// The control host that is the leader; empty when unknown.
  HostName m_Leader;
  /// Empty when m_MembersDigest of the request shows that the proxy knows them.
  std::vector<ControlMember> m_ControlMembers;

  friend auto operator<=>(const PollReply &, const PollReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_AppliedIndex, m_Changes, m_Snapshot, m_SnapshotOffset,
       m_SnapshotBytes, m_LiveHosts, m_Directory, m_Leader, m_ControlMembers);
  }
};

/// Rate-limit tokens that a proxy needs for one organisation.
struct TokenDemand {
  OrganisationName m_Organisation;
  /// Tokens for requests that are waiting now.
  uint32_t m_Waiting = 0;
  /// Tokens for expected requests.
  uint32_t m_Prefetch = 0;

  friend auto operator<=>(const TokenDemand &, const TokenDemand &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Waiting, m_Prefetch);
  }
};
/// Requests the part at m_Offset of a snapshot that a PollReply offered.
struct ConfigurationPartRequest {
  uint64_t m_Index = 0;
  uint64_t m_Offset = 0;

  friend auto operator<=>(const ConfigurationPartRequest &,
                          const ConfigurationPartRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_Offset);
  }
};
/// Without m_Bytes, the sender does not hold the snapshot.
struct ConfigurationPart {
  uint64_t m_Index = 0;
  uint64_t m_Offset = 0;
  std::string m_Bytes;

  friend auto operator<=>(const ConfigurationPart &,
                          const ConfigurationPart &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Index, m_Offset, m_Bytes);
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
/// Rate-limit tokens lent to a proxy for a limited time.
struct TokenLoan {
  OrganisationName m_Organisation;
  uint32_t m_Tokens = 0;
  /// Time for which the tokens are valid, counted from when the request was
  /// sent.
  uint32_t m_ValidityMs = 0;
  /// Expected delay until more tokens are available, if m_Tokens is less than
  /// TokenDemand::m_Waiting.
  uint32_t m_RetryAfterMs = 0;

  friend auto operator<=>(const TokenLoan &, const TokenLoan &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Tokens, m_ValidityMs, m_RetryAfterMs);
  }
};
struct TokenGrant {
  uint64_t m_Sequence = 0;
  /// Term of the leader that lent the tokens; to be repeated in TokenReturn.
  uint64_t m_LeaderTerm = 0;
  std::vector<TokenLoan> m_Loans;

  friend auto operator<=>(const TokenGrant &, const TokenGrant &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_LeaderTerm, m_Loans);
  }
};
/// Returns unused tokens before they expire. Ignored by a leader of a different
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

/// State of an instance as seen by one of its observers, the hosts that probe
/// it.
struct InstanceReport {
  DatabaseName m_Database;
  InstanceName m_Instance;
  /// Time since the last successful probe; 0 when healthy.
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
/// Sent by a proxy over UDP. Includes reports only for instances that are
/// unhealthy or whose state differs from the configuration.
struct Heartbeat {
  HostName m_Host;
  bool m_Ready = false;
  uint64_t m_AppliedIndex = 0;
  std::vector<InstanceReport> m_Reports;
  /// Not all reports fit in the datagram; the rest follow in later heartbeats.
  bool m_IsPartial = false;

  friend auto operator<=>(const Heartbeat &, const Heartbeat &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Ready, m_AppliedIndex, m_Reports, m_IsPartial);
  }
};
/// Sent by a proxy over UDP beside its heartbeats, if its settings say what the
/// host can carry. Control hosts of earlier versions drop it.
struct HostCapacityReport {
  HostName m_Host;
  HostCapacity m_Capacity;

  friend auto operator<=>(const HostCapacityReport &,
                          const HostCapacityReport &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Host, m_Capacity);
  }
};
/// Tells the sender of a datagram which nonce the receiver expects.
struct HeartbeatNonce {
  uint64_t m_Nonce = 0;

  friend auto operator<=>(const HeartbeatNonce &,
                          const HeartbeatNonce &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Nonce); }
};

// Messages between proxies.

enum class RequestKind : uint8_t {
  Read,
  Write,
  Begin,
  Execute,
  Commit,
  Rollback,
  Outcome
};

/// Identifies a transaction, whose state exists only at m_Owner.
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

/// Consistency that a read requires.
struct ReadRequirement {
  /// The log of the instance must contain this position; zero when the session
  /// has not written to the database.
  Position m_Position;
  /// The read must observe every write acknowledged before its arrival
  /// (linearisable), for example when there is no valid session token.
  bool m_ConfirmedPrimary = false;
  /// When set, replaces the two requirements above: data up to this age is
  /// accepted.
  std::optional<uint32_t> m_MaxAgeMs;

  friend auto operator<=>(const ReadRequirement &,
                          const ReadRequirement &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Position, m_ConfirmedPrimary, m_MaxAgeMs);
  }
};

/// A request that passed admission control, as sent to the owner of the
/// database group for execution.
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
  /// Time from sending until the client's deadline.
  uint32_t m_TimeLeftMs = 0;

  friend auto operator<=>(const AdmittedRequest &,
                          const AdmittedRequest &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Kind, m_Organisation, m_Key, m_Database, m_Statement, m_Requirement,
       m_RequestId, m_Transaction, m_TimeLeftMs);
  }
};
/// The owner's reply to an AdmittedRequest.
struct RequestResult {
  /// Set when the request failed.
  std::optional<ErrorReport> m_Error;
  std::string m_Body;
  /// Log position of the write, or of the instance that served the read.
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
/// The client has disconnected. The owner drops the request if it is still
/// queued, and rolls back its transaction.
struct ForwardCancel {
  uint64_t m_Sequence = 0;

  friend auto operator<=>(const ForwardCancel &,
                          const ForwardCancel &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Sequence); }
};

/// Keep-alive message on a link.
struct Ping {
  /// The sender sends its next message on this link within this time.
  uint32_t m_MaxSendIntervalMs = 100;

  friend auto operator<=>(const Ping &, const Ping &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_MaxSendIntervalMs);
  }
};

// Messages between the session proxies of an entry host and of the owner of a
// database group.

/// A session's statement, sent to the owner of its database group, together
/// with the state that its connection needs: session variables, the prepared
/// statement that it executes, and the transaction that it belongs to.
struct ForwardedStatement {
  /// Identifies the statement on its link.
  uint64_t m_Sequence = 0;
  /// Session of the sender; identifies the open transaction on its link.
  uint64_t m_Session = 0;
  DatabaseName m_Database;
  OrganisationName m_Organisation;
  /// Request of the caller, for the logs of both hosts.
  std::string m_RequestId;
  /// Value of StatementKind: read, write, execute or commit.
  uint8_t m_Kind = 0;
  /// The executed prepared statement writes.
  bool m_IsWrite = false;
  /// Name under which the session prepared the executed statement.
  std::string m_Name;
  std::string m_Argument;
  /// Template of the executed prepared statement.
  std::string m_Template;
  std::string m_Text;
  /// Value of StatementTarget.
  uint8_t m_Target = 0;
  uint32_t m_MaxReadAgeMs = 0;
  /// Log position of the session's last commit.
  Position m_LastCommit;
  /// Time since the statement reached the sender, or since its transaction
  /// began.
  uint32_t m_AgeMs = 0;
  /// Time until the owner must have replied.
  uint32_t m_TimeLeftMs = 0;
  /// Statement timeout of the route.
  uint32_t m_TimeoutMs = 0;
  bool m_IsTransaction = false;
  bool m_IsReadOnly = false;
  /// The owner has already executed a statement of the transaction.
  bool m_IsContinued = false;
  /// The caller's BEGIN; only in the first statement of a transaction.
  std::string m_BeginRequestId;
  std::string m_BeginText;
  std::map<std::string, std::string> m_Variables;

  friend auto operator<=>(const ForwardedStatement &,
                          const ForwardedStatement &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Session, m_Database, m_Organisation, m_RequestId, m_Kind,
       m_IsWrite, m_Name, m_Argument, m_Template, m_Text, m_Target,
       m_MaxReadAgeMs, m_LastCommit, m_AgeMs, m_TimeLeftMs, m_TimeoutMs,
       m_IsTransaction, m_IsReadOnly, m_IsContinued, m_BeginRequestId,
       m_BeginText, m_Variables);
  }
};
/// The owner's reply to a ForwardedStatement.
struct ForwardedStatementReply {
  uint64_t m_Sequence = 0;
  std::vector<std::string> m_Rows;
  std::string m_Receipt;
  /// Value of SessionError.
  std::optional<uint8_t> m_Error;
  std::string m_ErrorText;
  /// Value of TransactionState.
  uint8_t m_State = 0;
  std::optional<Position> m_Position;
  /// Log position of the session's last commit, including this statement.
  Position m_LastCommit;
  /// The statement was not executed because the owner cannot reach an instance
  /// that may run it; another host may be able to.
  bool m_IsUnreachable = false;

  friend auto operator<=>(const ForwardedStatementReply &,
                          const ForwardedStatementReply &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Sequence, m_Rows, m_Receipt, m_Error, m_ErrorText, m_State, m_Position,
       m_LastCommit, m_IsUnreachable);
  }
};
/// The sender no longer waits for a statement of the session, or its
/// transaction has ended without a commit. The owner drops the statement if it
/// is still queued, and rolls back the transaction.
struct ForwardedSessionEnd {
  uint64_t m_Session = 0;

  friend auto operator<=>(const ForwardedSessionEnd &,
                          const ForwardedSessionEnd &) = default;
  template <typename Archive> void serialize(Archive &Ar) { Ar(m_Session); }
};
/// Sent by a session proxy on each link that it accepts, and again when it
/// changes. Hosts of earlier versions do not send it, so they are sent no
/// statements.
struct OwnerStatus {
  /// The host starts new transactions and single statements for others.
  bool m_AcceptsStatements = false;

  friend auto operator<=>(const OwnerStatus &, const OwnerStatus &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_AcceptsStatements);
  }
};

using Message =
    std::variant<Ping, ConsensusMessage, ReadIndexRequest, ReadIndexReply,
                 JoinRequest, ProposeRequest, ProposeReply, RelayAnnouncement,
                 PollRequest, PollReply, TokenRequest, TokenGrant, TokenReturn,
                 Heartbeat, HeartbeatNonce, ForwardRequest, ForwardReply,
                 ForwardCancel, InstanceCheckIn, MembersRequest, MembersReply,
                 ForwardedStatement, ForwardedStatementReply,
                 ForwardedSessionEnd, OwnerStatus, ConfigurationPartRequest,
                 ConfigurationPart, HostCapacityReport>;

/// Returns a hash to compare lists of members; never 0.
uint64_t digestOf(const std::vector<ControlMember> &Members);

std::string encode(const Message &Message);
/// Throws DecodeError.
Message decodeMessage(std::string_view Bytes);

std::string encode(const Change &Change);
/// Throws DecodeError.
Change decodeChange(std::string_view Bytes);

/// Builds before ConfigurationExtension read only encodings without it.
enum class ConfigurationEncoding : uint8_t { WithExtension, WithoutExtension };
std::string
encode(const Configuration &Configuration,
       ConfigurationEncoding Encoding = ConfigurationEncoding::WithExtension);
/// Throws DecodeError.
Configuration decodeConfiguration(std::string_view Bytes);

} // namespace almondpier
