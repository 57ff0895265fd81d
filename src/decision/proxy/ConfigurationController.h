/// \file
/// Keeps the configuration up to date and proves its freshness.
#pragma once

#include "decision/Counter.h"
#include "decision/proxy/LinkTable.h"
#include "decision/proxy/SnapshotTransfer.h"

#include <deque>

namespace almondpier {

struct ProxyOptions;

constexpr Duration kPollInterval = std::chrono::milliseconds(250);
/// Another control host is polled after this time without an answer.
constexpr Duration kPollTimeout = std::chrono::milliseconds(500);
/// Another control host is polled after this time without a part of a snapshot.
/// Control hosts let requests for parts wait for one another, because the
/// transfer would begin anew elsewhere.
constexpr Duration kPartTimeout = std::chrono::milliseconds(1'500);

class ConfigurationController {
public:
  ConfigurationController(const ProxyOptions &Options, ProxyBlackboard &Board,
                          LinkTable &Links, ProxyActions &Actions);

  void tick(Time Now);
  void onPollReply(LinkId Link, const PollReply &Reply, Time Now);
  void onConfigurationPart(LinkId Link, const ConfigurationPart &Part,
                           Time Now);
  /// Switches to the members named by a polled host that is not one of them.
  void onMembersReply(LinkId Link, const MembersReply &Reply, Time Now);
  /// The settings of this host name other control hosts.
  void setSeeds(const std::vector<Endpoint> &Seeds) { m_Seeds = Seeds; }
  /// Returns whether the configuration or the live hosts changed since the
  /// last call.
  bool takeChanged();
  /// Peer endpoints of all control hosts.
  const std::vector<Endpoint> &controlPeers() const { return m_Peers; }
  /// Recipients of heartbeats: the leader if known, otherwise all control
  /// hosts, so that a new leader receives them soon.
  std::vector<Endpoint> heartbeatPeers() const;
  /// The control host that leads, when known.
  std::optional<Endpoint> leader() const { return m_Leader; }

  uint64_t peerChanges() const { return m_PeerChanges; }
  CounterList counters() const;

private:
  struct Poll {
    uint64_t m_Sequence = 0;
    Time m_SentAt;
    uint64_t m_BaseIndex = 0;
  };

  const Endpoint &currentPeer() const { return m_Peers[m_CurrentPeer]; }
  void pollNextPeer(Time Now);
  /// Receives an offered snapshot, from where an earlier transfer of it ended.
  void startTransfer(LinkId Link, const PollReply &Offer, Time Now);
  /// The polled control host did not answer in time.
  void onPollTimeout(Time Now);
  void sendPoll(LinkId Link, Time Now);
  void startPollingCurrentPeer(Time Now);
  void updateMembers(const PollReply &Reply);
  void updatePeers();
  /// Adds the seeds to the hosts that are polled. When every member was
  /// replaced while this host was cut off, only the seeds can tell the new
  /// ones.
  void addSeeds();
  /// Polls a control host of the own zone, when there is one.
  void preferOwnZone(Time Now);
  void updateLiveHosts(const PollReply &Reply);
  void updateDirectory(const PollReply &Reply);
  /// Each returns whether the configuration now holds what the reply proves.
  bool applySnapshot(const PollReply &Reply);
  bool applySnapshot(const std::string &Encoded, uint64_t Index);
  bool applyChanges(const Poll &Answered, const PollReply &Reply);

  HostRecord m_Host;
  uint64_t m_Incarnation;
  ProxyBlackboard &m_Board;
  LinkTable &m_Links;
  ProxyActions &m_Actions;
  std::vector<Endpoint> m_Peers;
  /// Control hosts named by the settings.
  std::vector<Endpoint> m_Seeds;
  /// Number of hosts that were polled in turn without an answer.
  size_t m_UnansweredPeers = 0;
  bool m_WantsLiveHosts;
  std::optional<Time> m_OwnZoneTriedAt;
  /// Members as the last reply listed them.
  std::vector<ControlMember> m_Members;
  size_t m_CurrentPeer = 0;
  std::optional<LinkId> m_PolledLink;
  /// Since when an answer is due.
  std::optional<Time> m_AnswerDueSince;
  Time m_LastPoll;
  Time m_LastPeerChange;
  std::deque<Poll> m_OutstandingPolls;
  uint64_t m_Sequence = 0;
  /// Parts that a control host of an earlier version sends without requests.
  std::string m_PartialSnapshot;
  uint64_t m_SnapshotSequence = 0;
  std::optional<SnapshotTransfer> m_Transfer;
  /// The polled control host was asked for a part.
  bool m_AwaitsPart = false;
  std::optional<Endpoint> m_Leader;
  /// Set when a change did not apply: the next poll asks for a snapshot.
  bool m_NeedsSnapshot = false;
  bool m_Changed = false;
  uint64_t m_PeerChanges = 0;
  uint64_t m_PollTimeouts = 0;
  uint64_t m_SnapshotsApplied = 0;
  uint64_t m_SnapshotBytesReceived = 0;
  std::optional<Time> m_TimeoutReportedAt;
};

} // namespace almondpier
