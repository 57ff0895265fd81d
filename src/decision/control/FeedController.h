/// \file
/// Answers that need proof of freshness: polls of proxies, read indexes of
/// followers, and reads by operators.
#pragma once

#include "decision/control/SnapshotServer.h"

#include <deque>

namespace almondpier {

/// A poll is answered only after a majority has confirmed the leader in a round
/// that began after the poll arrived, and after this host has applied the log
/// up to that point. An isolated host therefore answers none.
class FeedController {
public:
  explicit FeedController(ControlBlackboard &Board) : m_Board(Board) {}

  void onPoll(LinkId Link, const PollRequest &Poll, Time Now);
  void onPartRequest(LinkId Link, const ConfigurationPartRequest &Request,
                     ControlContext &Context) {
    m_Snapshots.onRequest(Link, Request, Context);
  }
  void onRead(OperationId Id, Time Now);
  /// A follower asks the leader.
  void onReadIndexRequest(LinkId Link, const ReadIndexRequest &Request,
                          Time Now);
  void onReadIndexReply(const ReadIndexReply &Reply, ControlContext &Context);
  void onConfirmed(const ConsensusOutput::ConfirmedRead &Read,
                   ControlContext &Context);
  void onFailedRead(uint64_t Read);
  void onAccepted(uint64_t Index, const Change &Change);
  void onSnapshotInstalled();
  void onLinkClosed(LinkId Link);
  void tick(ControlContext &Context);
  /// A request to send to the leader, at a follower.
  std::optional<ReadIndexRequest> takeLeaderRequest();
  uint64_t answeredPolls() const { return m_AnsweredPolls; }
  uint64_t droppedPolls() const { return m_DroppedPolls; }
  uint64_t snapshotBytesSent() const {
    return m_PushedBytes + m_Snapshots.bytesSent();
  }

private:
  struct PollWaiter {
    LinkId m_Link;
    PollRequest m_Poll;
  };
  struct ReadWaiter {
    OperationId m_Id;
  };
  struct FollowerWaiter {
    LinkId m_Link;
    uint64_t m_Sequence = 0;
  };
  struct Waiter {
    Time m_Since;
    std::variant<PollWaiter, ReadWaiter, FollowerWaiter> m_What;
  };
  /// Waiters whose freshness one round proves.
  struct Batch {
    std::vector<Waiter> m_Waiters;
    /// Set when the round is confirmed.
    std::optional<uint64_t> m_Index;
  };

  void startRound(ControlContext &Context);
  void answerReady(ControlContext &Context);
  void dropLate(ControlContext &Context);
  void answer(const Waiter &Waiter, uint64_t Index, ControlContext &Context);
  void answerPoll(const PollWaiter &Waiter, ControlContext &Context);
  void answerFollower(const FollowerWaiter &Waiter, uint64_t Index,
                      ControlContext &Context);
  bool addChanges(const PollRequest &Poll, PollReply &Reply) const;
  void offerSnapshot(const PollWaiter &Waiter, PollReply Reply,
                     ControlContext &Context);
  void sendSnapshot(LinkId Link, PollReply Reply, ControlContext &Context);

  ControlBlackboard &m_Board;
  std::vector<Waiter> m_Waiting;
  /// By number of the read at the leader, or of the request at a follower.
  std::map<uint64_t, Batch> m_Batches;
  std::optional<ReadIndexRequest> m_LeaderRequest;
  uint64_t m_LastSequence = 0;
  std::optional<Time> m_LastRound;
  bool m_WasLeader = false;

  struct AcceptedChange {
    uint64_t m_Index = 0;
    Change m_Change;
    size_t m_Bytes = 0;
  };
  /// Accepted changes after m_ChangesAfter, in order. Policies are kept as
  /// amendments, except the first after a start.
  std::deque<AcceptedChange> m_Changes;
  /// The policy after the last of m_Changes.
  FleetPolicy m_LatestPolicy;
  uint64_t m_ChangesAfter = 0;
  /// Serves proxies that request parts.
  SnapshotServer m_Snapshots;
  std::string m_Snapshot;
  uint64_t m_SnapshotIndex = 0;
  /// Term and version of the lists last sent on a link to a follower.
  struct SentVersions {
    std::pair<uint64_t, uint64_t> m_LiveHosts;
    std::pair<uint64_t, uint64_t> m_Directory;
  };
  std::map<LinkId, SentVersions> m_SentLists;
  uint64_t m_AnsweredPolls = 0;
  uint64_t m_DroppedPolls = 0;
  /// Bytes of snapshots sent to proxies that do not request parts.
  uint64_t m_PushedBytes = 0;
};

} // namespace almondpier
