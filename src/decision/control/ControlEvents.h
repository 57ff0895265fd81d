/// \file
/// Events and actions of the control core. Links are named as in the proxy: the
/// core chooses odd numbers for links it opens, the driver even numbers for
/// links it accepts.
#pragma once

#include "decision/consensus/Consensus.h"
#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

/// Names a request to the operators' API inside one control host; chosen by the
/// driver.
struct OperationId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const OperationId &, const OperationId &) = default;
};
/// Names a request to a database instance; chosen by the core, never reused.
struct InstanceCallId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const InstanceCallId &,
                          const InstanceCallId &) = default;
};

// Events.

/// A change by an operator whom the driver has authenticated. m_Change holds
/// the operator's name and the wall-clock time.
struct OperatorChange {
  OperationId m_Id;
  Change m_Change;
};
/// Asks for a moment at which the state holds everything accepted before.
struct OperatorRead {
  OperationId m_Id;
};
/// Asks for the removal of a control member, named by its identifier.
struct OperatorRemoveMember {
  OperationId m_Id;
  MemberId m_Member;
  std::string m_ChangeId;
  std::string m_Actor;
};
struct InstanceAnnounced {
  OperationId m_Id;
  InstanceRecord m_Instance;
  /// The platform stops the instance soon.
  bool m_Departing = false;
};
struct DatagramReceived {
  Endpoint m_Sender;
  Message m_Message;
};
struct InstanceCallAnswered {
  InstanceCallId m_Call;
  /// 0 when there was no answer.
  int m_HttpStatus = 0;
  /// Set by good answers to Status and Seal.
  std::optional<InstanceStatus> m_Status;
  /// Set by a good answer to Promote.
  std::optional<uint64_t> m_StartIndex;
};
/// Installs a policy document; the driver has decoded and validated it.
struct PolicySubmitted {
  OperationId m_Id;
  InstallPolicy m_Install;
};
/// An operator evacuates or restores a zone.
struct ZoneEvacuationRequested {
  OperationId m_Id;
  EvacuateZone m_Order;
  std::string m_Actor;
};
struct InstanceCheckedIn {
  OperationId m_Id;
  InstanceCheckIn m_CheckIn;
};
/// Names a call to an instance or to the platform about one; chosen by the
/// core, never reused.
struct GroupCallId {
  uint64_t m_Value = 0;
  friend auto operator<=>(const GroupCallId &, const GroupCallId &) = default;
};
enum class GroupCallOutcome : uint8_t {
  Done,
  /// The callee answered and did nothing.
  Refused,
  /// No answer; the call may still be carried out later.
  Unknown,
};
struct GroupCallAnswered {
  GroupCallId m_Call;
  GroupCallOutcome m_Outcome = GroupCallOutcome::Unknown;
  /// Position that the instance has received; set by Done answers to all calls
  /// but Promote.
  Position m_Received;
  uint64_t m_Term = 0;
  bool m_IsPrimary = false;
  /// Term of the seal that the instance holds; 0 without one.
  uint64_t m_HeldTerm = 0;
};
/// The settings of this host name other control hosts to contact.
struct SeedsChanged {
  std::vector<Endpoint> m_Seeds;
};
/// Comes every 10 ms with the wall-clock time in milliseconds since 1970.
struct ClockTick {
  uint64_t m_WallTimeMs = 0;
};

using ControlEvent =
    std::variant<OperatorChange, OperatorRead, OperatorRemoveMember,
                 InstanceAnnounced, DatagramReceived, InstanceCallAnswered,
                 PolicySubmitted, ZoneEvacuationRequested, InstanceCheckedIn,
                 GroupCallAnswered, SeedsChanged, ClockTick, LinkOpened,
                 LinkClosed, MessageReceived, ShutdownRequested>;

// Actions.

/// To be written and synced before the next action is carried out, in the order
/// of the members.
struct PersistLog {
  std::optional<HardState> m_HardState;
  std::optional<Snapshot> m_InstalledSnapshot;
  std::vector<LogEntry> m_Entries;
};
/// Replaces the log up to the index of the snapshot.
struct PersistSnapshot {
  Snapshot m_Snapshot;
};
/// A joining host learnt which cluster it belongs to.
struct PersistCluster {
  uint64_t m_ClusterId = 0;
};
/// Answers an operation exactly once. Without outcome and error a read is due:
/// the driver answers from the state of the core.
struct ReplyToOperation {
  OperationId m_Id;
  std::optional<ChangeOutcome> m_Outcome;
  std::optional<ErrorReport> m_Error;
  /// Where the leader takes operations; set with NotLeader when known.
  std::optional<Endpoint> m_Leader;
};
enum class InstanceCallKind : uint8_t { Status, Seal, Promote, Follow };
struct CallInstance {
  InstanceCallId m_Call;
  InstanceCallKind m_Kind = InstanceCallKind::Status;
  Endpoint m_Platform;
  uint64_t m_Term = 0;
  /// Whom to follow.
  InstanceName m_Primary;
  Endpoint m_PrimaryPlatform;
  uint32_t m_TimeoutMs = 300;
};

enum class GroupCallKind : uint8_t {
  ReadPosition,
  /// Makes a primary of an earlier term a replica, so that it acknowledges no
  /// further commit.
  DemotePrimary,
  /// Stops a replica from receiving, so that the primary gets no further
  /// acknowledgement through it.
  SealReplica,
  /// Ends a seal, so that the replica receives again.
  ResumeReplica,
  Promote
};
struct CallGroup {
  GroupCallId m_Call;
  GroupCallKind m_Kind = GroupCallKind::ReadPosition;
  InstanceDescription m_Instance;
  /// Above every term of the group; set with SealReplica and DemotePrimary.
  uint64_t m_SealTerm = 0;
  /// Rises with each attempt and each leader; set with Promote.
  uint64_t m_FencingToken = 0;
  uint32_t m_TimeoutMs = 0;
};

using ControlAction =
    std::variant<PersistLog, PersistSnapshot, PersistCluster, ReplyToOperation,
                 CallInstance, CallGroup, OpenLink, CloseLink, SendMessage,
                 ReportStateChange, ShutdownComplete>;
using ControlActions = std::vector<ControlAction>;

} // namespace almondpier
