#include "decision/control/FeedController.h"

#include <algorithm>
#include <utility>

namespace almondpier {

namespace {

bool requestsParts(const PollRequest &Poll) {
  return !Poll.m_WantsLiveHosts &&
         Poll.m_LiveHostsTerm == kRequestsSnapshotParts;
}

bool readsExtension(const PollRequest &Poll) {
  return !Poll.m_WantsLiveHosts &&
         Poll.m_LiveHostsVersion == kReadsConfigurationExtension;
}

/// Returns whether a change is one that builds before the
/// ConfigurationExtension cannot decode.
bool isExtensionChange(const Change &Accepted) {
  return std::holds_alternative<SetHostCapacity>(Accepted.m_Body) ||
         std::holds_alternative<EvacuateZone>(Accepted.m_Body);
}

/// One round serves all polls that arrived since the last one began.
constexpr Duration kLeaderRoundInterval = std::chrono::milliseconds(20);
constexpr Duration kFollowerRoundInterval = std::chrono::milliseconds(50);
/// A follower asks the leader this often also without a poll, so that it knows
/// the live hosts and the directory when it has to lead.
constexpr Duration kIdleRoundInterval = std::chrono::milliseconds(250);
/// A proxy asks another control host after 500 ms without an answer.
constexpr Duration kWaitLimit = std::chrono::milliseconds(1'000);
constexpr uint64_t kKeptEntries = 2'000;
/// Larger differences are sent as a snapshot in parts.
constexpr size_t kMaxChangesBytes = kMaxSnapshotPartBytes;

} // namespace

void FeedController::onPoll(LinkId Link, const PollRequest &Poll, Time Now) {
  m_Waiting.push_back(Waiter{Now, PollWaiter{Link, Poll}});
}

void FeedController::onLinkClosed(LinkId Link) {
  m_SentLists.erase(Link);
  m_Snapshots.onLinkClosed(Link);
}

void FeedController::onRead(OperationId Id, Time Now) {
  m_Waiting.push_back(Waiter{Now, ReadWaiter{Id}});
}

void FeedController::onReadIndexRequest(LinkId Link,
                                        const ReadIndexRequest &Request,
                                        Time Now) {
  if ((Request.m_Sequence & kAppliesExtensionBit) != 0)
    m_Board.m_ExtensionMembers.insert(Request.m_From);
  else
    m_Board.m_ExtensionMembers.erase(Request.m_From);
  m_Waiting.push_back(Waiter{Now, FollowerWaiter{Link, Request.m_Sequence}});
}

void FeedController::tick(ControlContext &Context) {
  if (m_WasLeader != m_Board.m_IsLeader) {
    // Numbers of reads at the leader and of requests at a follower overlap, so
    // no proof of the former role may stand for one of the new role.
    m_WasLeader = m_Board.m_IsLeader;
    for (std::pair<const uint64_t, Batch> &Entry : m_Batches)
      for (Waiter &Waiter : Entry.second.m_Waiters)
        m_Waiting.push_back(std::move(Waiter));
    m_Batches.clear();
  }
  m_Snapshots.tick(Context);
  dropLate(Context);
  answerReady(Context);
  Duration Interval =
      m_Board.m_IsLeader ? kLeaderRoundInterval : kFollowerRoundInterval;
  if (m_Waiting.empty() && m_Board.m_IsLeader)
    return;
  if (m_Waiting.empty())
    Interval = kIdleRoundInterval;
  if (m_LastRound && Context.m_Now - *m_LastRound < Interval)
    return;
  startRound(Context);
}

void FeedController::startRound(ControlContext &Context) {
  uint64_t Number = 0;
  if (m_Board.m_IsLeader) {
    std::optional<uint64_t> Read =
        Context.m_Log.requestReadIndex(Context.m_Now);
    if (!Read)
      return;
    Number = *Read;
  } else {
    if (m_Board.findMember(m_Board.m_Leader) == nullptr)
      return;
    Number = ++m_LastSequence;
    m_LeaderRequest =
        ReadIndexRequest{m_Board.m_Self.m_Id, Number | kAppliesExtensionBit};
  }
  m_LastRound = Context.m_Now;
  m_Batches[Number].m_Waiters = std::move(m_Waiting);
  m_Waiting.clear();
}

std::optional<ReadIndexRequest> FeedController::takeLeaderRequest() {
  std::optional<ReadIndexRequest> Request = m_LeaderRequest;
  m_LeaderRequest.reset();
  return Request;
}

void FeedController::onConfirmed(const ConsensusOutput::ConfirmedRead &Read,
                                 ControlContext &Context) {
  auto Found = m_Batches.find(Read.m_Read);
  if (Found == m_Batches.end() || !m_WasLeader)
    return;
  Found->second.m_Index = Read.m_Index;
  answerReady(Context);
}

void FeedController::onFailedRead(uint64_t Read) {
  auto Found = m_Batches.find(Read);
  if (Found == m_Batches.end() || !m_WasLeader)
    return;
  for (Waiter &Waiter : Found->second.m_Waiters)
    m_Waiting.push_back(std::move(Waiter));
  m_Batches.erase(Found);
}

void FeedController::onReadIndexReply(const ReadIndexReply &Reply,
                                      ControlContext &Context) {
  auto Found = m_Batches.find(Reply.m_Sequence & ~kAppliesExtensionBit);
  if (Found == m_Batches.end() || m_WasLeader)
    return;
  Found->second.m_Index = Reply.m_Index;
  answerReady(Context);
}

void FeedController::answerReady(ControlContext &Context) {
  for (auto It = m_Batches.begin(); It != m_Batches.end();) {
    const std::optional<uint64_t> &Index = It->second.m_Index;
    if (!Index || *Index > m_Board.m_State.appliedIndex()) {
      ++It;
      continue;
    }
    Batch Ready = std::move(It->second);
    It = m_Batches.erase(It);
    for (const Waiter &Waiter : Ready.m_Waiters)
      answer(Waiter, *Ready.m_Index, Context);
  }
}

void FeedController::dropLate(ControlContext &Context) {
  auto IsLate = [&](const Waiter &Waiter) {
    if (Context.m_Now - Waiter.m_Since < kWaitLimit)
      return false;
    if (const ReadWaiter *Read = std::get_if<ReadWaiter>(&Waiter.m_What))
      Context.refuseAsFollower(Read->m_Id);
    if (std::holds_alternative<PollWaiter>(Waiter.m_What))
      ++m_DroppedPolls;
    return true;
  };
  std::erase_if(m_Waiting, IsLate);
  for (std::pair<const uint64_t, Batch> &Entry : m_Batches)
    std::erase_if(Entry.second.m_Waiters, IsLate);
  std::erase_if(m_Batches, [](const auto &Entry) {
    return Entry.second.m_Waiters.empty();
  });
}

void FeedController::answer(const Waiter &Waiter, uint64_t Index,
                            ControlContext &Context) {
  if (const PollWaiter *Poll = std::get_if<PollWaiter>(&Waiter.m_What))
    return answerPoll(*Poll, Context);
  if (const FollowerWaiter *Follower =
          std::get_if<FollowerWaiter>(&Waiter.m_What))
    return answerFollower(*Follower, Index, Context);
  ReplyToOperation Reply;
  Reply.m_Id = std::get<ReadWaiter>(Waiter.m_What).m_Id;
  Context.m_Actions.push_back(std::move(Reply));
}

void FeedController::answerFollower(const FollowerWaiter &Waiter,
                                    uint64_t Index, ControlContext &Context) {
  ReadIndexReply Reply;
  Reply.m_Sequence = Waiter.m_Sequence;
  Reply.m_Index = Index;
  // Messages on a link arrive in order, so an unchanged list need not be sent
  // again; term and version 0 stand for it.
  SentVersions Current{
      {m_Board.m_LiveHosts.m_Term, m_Board.m_LiveHosts.m_Version},
      {m_Board.m_Directory.m_Term, m_Board.m_Directory.m_Version}};
  auto [Sent, IsFirst] = m_SentLists.emplace(Waiter.m_Link, Current);
  if (IsFirst || Sent->second.m_LiveHosts != Current.m_LiveHosts)
    Reply.m_LiveHosts = m_Board.m_LiveHosts;
  bool IsDirectoryNew =
      IsFirst || Sent->second.m_Directory != Current.m_Directory;
  if (IsDirectoryNew && m_Board.m_Directory.m_Version > 0)
    Reply.m_Directory = m_Board.m_Directory;
  Sent->second = Current;
  Context.m_Actions.push_back(SendMessage{Waiter.m_Link, std::move(Reply)});
}

void FeedController::answerPoll(const PollWaiter &Waiter,
                                ControlContext &Context) {
  const PollRequest &Poll = Waiter.m_Poll;
  ++m_AnsweredPolls;
  PollReply Reply;
  Reply.m_Sequence = Poll.m_Sequence;
  Reply.m_AppliedIndex = m_Board.m_State.appliedIndex();
  const LiveHosts &Live = m_Board.m_LiveHosts;
  if (Poll.m_WantsLiveHosts && Live.m_Version > 0 &&
      (Live.m_Term != Poll.m_LiveHostsTerm ||
       Live.m_Version != Poll.m_LiveHostsVersion))
    Reply.m_LiveHosts = Live;
  const InstanceDirectory &Directory = m_Board.m_Directory;
  if (Directory.m_Version > 0 &&
      (Directory.m_Term != Poll.m_DirectoryTerm ||
       Directory.m_Version != Poll.m_DirectoryVersion))
    Reply.m_Directory = Directory;
  if (const ControlMember *Leader = m_Board.findMember(m_Board.m_Leader))
    Reply.m_Leader = Leader->m_Host;
  const std::vector<ControlMember> &Members = m_Board.m_Membership.m_Voters;
  if (Poll.m_MembersDigest != digestOf(Members))
    Reply.m_ControlMembers = Members;
  if (addChanges(Poll, Reply))
    Context.m_Actions.push_back(SendMessage{Waiter.m_Link, std::move(Reply)});
  else if (requestsParts(Poll) && (readsExtension(Poll) ||
                                   m_Board.configuration().extension().empty()))
    offerSnapshot(Waiter, std::move(Reply), Context);
  else
    sendSnapshot(Waiter.m_Link, std::move(Reply), Context);
}

void FeedController::offerSnapshot(const PollWaiter &Waiter, PollReply Reply,
                                   ControlContext &Context) {
  uint64_t ChangedAt =
      m_Changes.empty() ? m_ChangesAfter : m_Changes.back().m_Index;
  // A proxy takes index 0 for no configuration. The first entry of a log
  // changes only the membership.
  ChangedAt = std::max<uint64_t>(ChangedAt, 1);
  SnapshotServer::Offer Offer =
      m_Snapshots.offer(m_Board.configuration(), ChangedAt,
                        Waiter.m_Poll.m_AppliedIndex, Context.m_Now);
  Reply.m_AppliedIndex = Offer.m_Index;
  Reply.m_SnapshotBytes = Offer.m_Bytes;
  Reply.m_Changes.clear();
  Context.m_Actions.push_back(SendMessage{Waiter.m_Link, std::move(Reply)});
}

bool FeedController::addChanges(const PollRequest &Poll,
                                PollReply &Reply) const {
  uint64_t Since = Poll.m_AppliedIndex;
  // An index above the own one comes from another cluster or a lost log.
  if (Since == 0 || Since < m_ChangesAfter ||
      Since > m_Board.m_State.appliedIndex())
    return false;
  bool AppliesAmendments =
      requestsParts(Poll) || (!Poll.m_WantsLiveHosts &&
                              Poll.m_LiveHostsTerm == kAppliesPolicyAmendments);
  size_t Bytes = 0;
  bool NeedsWholePolicy = false;
  auto First = m_Changes.end();
  while (First != m_Changes.begin() && std::prev(First)->m_Index > Since) {
    --First;
    Bytes += First->m_Bytes;
    if (Bytes > kMaxChangesBytes)
      return false;
  }
  for (; First != m_Changes.end(); ++First) {
    // Hosts that route by the list of live hosts see an evacuation as drained
    // instances, which a snapshot shows in the format of every build.
    if (Poll.m_WantsLiveHosts &&
        std::holds_alternative<EvacuateZone>(First->m_Change.m_Body))
      return false;
    bool IsAmendment =
        std::holds_alternative<AmendPolicy>(First->m_Change.m_Body);
    if (IsAmendment && !AppliesAmendments)
      NeedsWholePolicy = true;
    else if (readsExtension(Poll) || !isExtensionChange(First->m_Change))
      Reply.m_Changes.push_back(First->m_Change);
  }
  if (!NeedsWholePolicy)
    return true;
  Change Whole;
  Whole.m_Body = InstallPolicy{m_LatestPolicy, ""};
  Reply.m_Changes.push_back(std::move(Whole));
  return true;
}

void FeedController::sendSnapshot(LinkId Link, PollReply Reply,
                                  ControlContext &Context) {
  if (m_Snapshot.empty() || m_SnapshotIndex != Reply.m_AppliedIndex) {
    m_Snapshot = encode(m_Board.configuration(),
                        ConfigurationEncoding::WithoutExtension);
    m_SnapshotIndex = Reply.m_AppliedIndex;
  }
  Reply.m_SnapshotBytes = m_Snapshot.size();
  for (size_t Offset = 0; Offset < m_Snapshot.size();
       Offset += kMaxSnapshotPartBytes) {
    Reply.m_SnapshotOffset = Offset;
    Reply.m_Snapshot = m_Snapshot.substr(Offset, kMaxSnapshotPartBytes);
    m_PushedBytes += Reply.m_Snapshot.size();
    Context.m_Actions.push_back(SendMessage{Link, Reply});
    Reply.m_LiveHosts.reset();
    Reply.m_Directory.reset();
  }
}

void FeedController::onAccepted(uint64_t Index, const Change &Change) {
  // Proxies do not use the list of instances in the log.
  if (std::holds_alternative<RecordDirectory>(Change.m_Body))
    return;
  AcceptedChange Accepted{Index, Change, 0};
  // Proxies do not need who asked for a change.
  Accepted.m_Change.m_ChangeId.clear();
  Accepted.m_Change.m_Actor.clear();
  if (InstallPolicy *Install =
          std::get_if<InstallPolicy>(&Accepted.m_Change.m_Body)) {
    FleetPolicy Before =
        std::exchange(m_LatestPolicy, std::move(Install->m_Policy));
    if (Before.m_Version > 0)
      Accepted.m_Change.m_Body = makeAmendment(Before, m_LatestPolicy);
    else
      Install->m_Policy = m_LatestPolicy;
  }
  Accepted.m_Bytes = encode(Accepted.m_Change).size();
  m_Changes.push_back(std::move(Accepted));
  while (!m_Changes.empty() &&
         m_Changes.front().m_Index + kKeptEntries < Index) {
    m_ChangesAfter = m_Changes.front().m_Index;
    m_Changes.pop_front();
  }
}

void FeedController::onSnapshotInstalled() {
  m_Changes.clear();
  m_ChangesAfter = m_Board.m_State.appliedIndex();
  m_LatestPolicy = m_Board.configuration().policy();
  m_Snapshot.clear();
  m_Snapshots.clear();
}

} // namespace almondpier
