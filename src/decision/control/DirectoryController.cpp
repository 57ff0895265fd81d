#include "decision/control/DirectoryController.h"

namespace almondpier {

namespace {

/// A leader without a predecessor's list takes its own for complete after two
/// intervals of check-ins (1.2 s each).
constexpr Duration kCompletionTime = std::chrono::milliseconds(2'600);
/// An instance that a restarted cluster knows from the log only is dropped when
/// it has not checked in for so long.
constexpr Duration kRestoredMemory = std::chrono::seconds(4);
/// Changes of the directory come in series when instances are replaced.
constexpr Duration kRecordInterval = std::chrono::milliseconds(1'000);
/// How long a boot that ended is remembered against its late check-ins.
constexpr Duration kBootMemory = std::chrono::seconds(120);

/// Bound for the encoded list, which is sent in one message with up to
/// kMaxMessageBytes / 2 of changes and the list of hosts.
constexpr size_t kMaxListBytes = kMaxMessageBytes / 8 * 3;

/// Returns at least the encoded size of a description.
size_t encodedSizeOf(const InstanceDescription &Instance) {
  // Lengths and numbers.
  constexpr size_t kFixedBytes = 48;
  return Instance.m_Name.m_Value.size() + Instance.m_Database.m_Value.size() +
         Instance.m_Zone.m_Value.size() +
         Instance.m_StatementEndpoint.m_Address.size() + kFixedBytes;
}

} // namespace

bool DirectoryController::isLate(const InstanceCheckIn &CheckIn) const {
  auto Known = m_Boots.find(CheckIn.m_Instance.m_Name);
  if (Known == m_Boots.end())
    return false;
  const Boot &Last = Known->second;
  uint64_t StartedAtMs = CheckIn.m_Instance.m_StartedAtMs;
  // Without a start time a leave is taken to be that of the last boot.
  if (CheckIn.m_IsLeaving)
    return Last.m_HasLeft ||
           (StartedAtMs != 0 && StartedAtMs < Last.m_StartedAtMs);
  if (StartedAtMs != Last.m_StartedAtMs)
    return StartedAtMs < Last.m_StartedAtMs;
  return Last.m_HasLeft || CheckIn.m_Sequence <= Last.m_Sequence;
}

bool DirectoryController::isAddressTaken(
    const InstanceDescription &Instance) const {
  for (const auto &[Name, Entry] : m_Entries)
    if (Entry.m_StatementEndpoint == Instance.m_StatementEndpoint &&
        Name != Instance.m_Name && Entry.m_StartedAtMs > Instance.m_StartedAtMs)
      return true;
  return false;
}

bool DirectoryController::isClaimOutdated(
    const InstanceDescription &Instance) const {
  auto ClaimOf = [&](const InstanceName &Name) {
    auto Seen = m_Boots.find(Name);
    return Seen == m_Boots.end() ? Time() : Seen->second.m_ClaimedAt;
  };
  for (const auto &[Name, Other] : m_Entries)
    if (Other.m_IsPrimary && Other.m_Database == Instance.m_Database &&
        ClaimOf(Name) > ClaimOf(Instance.m_Name))
      return true;
  return false;
}

bool DirectoryController::hasRoomFor(
    const InstanceDescription &Instance) const {
  size_t Bytes = encodedSizeOf(Instance);
  // Heartbeats of known instances are frequent and rarely change the size.
  auto Known = m_Entries.find(Instance.m_Name);
  if (Known != m_Entries.end() && Bytes <= encodedSizeOf(Known->second))
    return true;
  for (const auto &[Name, Entry] : m_Entries)
    if (Name != Instance.m_Name)
      Bytes += encodedSizeOf(Entry);
  return Bytes <= kMaxListBytes;
}

void DirectoryController::dropOthersAt(const InstanceDescription &Instance) {
  size_t Dropped = std::erase_if(m_Entries, [&](const auto &Entry) {
    return Entry.second.m_StatementEndpoint == Instance.m_StatementEndpoint &&
           Entry.first != Instance.m_Name;
  });
  m_IsChanged = m_IsChanged || Dropped > 0;
}

bool DirectoryController::onCheckIn(const InstanceCheckIn &CheckIn,
                                    ControlContext &Context) {
  beginTermIfNew(Context);
  const InstanceDescription &Instance = CheckIn.m_Instance;
  if (!m_Board.m_IsLeader || isLate(CheckIn))
    return true;
  if (!CheckIn.m_IsLeaving && !hasRoomFor(Instance))
    return false;
  Boot &Seen = m_Boots[Instance.m_Name];
  Seen.m_HeardAt = Context.m_Now;
  if (CheckIn.m_IsLeaving) {
    Seen.m_HasLeft = true;
    if (m_Entries.erase(Instance.m_Name) == 0)
      return true;
    m_IsChanged = true;
    Context.reportStateChange("instance " + Instance.m_Name.m_Value +
                              " has left");
    publish(Context);
    return true;
  }
  Seen.m_StartedAtMs = Instance.m_StartedAtMs;
  Seen.m_Sequence = CheckIn.m_Sequence;
  Seen.m_HasLeft = false;
  if (isAddressTaken(Instance))
    return true;
  dropOthersAt(Instance);
  auto [Entry, IsNew] = m_Entries.try_emplace(Instance.m_Name, Instance);
  if (Instance.m_IsPrimary && (IsNew || !Entry->second.m_IsPrimary))
    Seen.m_ClaimedAt = Context.m_Now;
  if (IsNew || Entry->second != Instance) {
    m_IsChanged = true;
    Context.reportStateChange(
        "instance " + Instance.m_Name.m_Value + " of database " +
        Instance.m_Database.m_Value + " at " +
        formatEndpoint(Instance.m_StatementEndpoint) + " is " +
        (Instance.m_State == InstanceState::Ready ? "ready" : "draining") +
        " as " + (Instance.m_IsPrimary ? "primary" : "replica") +
        ", check-in " + std::to_string(CheckIn.m_Sequence));
  }
  Entry->second = Instance;
  m_Board.m_CheckedInAt[Instance.m_Name] = Context.m_Now;
  publish(Context);
  return true;
}

void DirectoryController::onLeaderDirectory(
    const InstanceDirectory &Directory) {
  if (std::pair(Directory.m_Term, Directory.m_Version) >
          std::pair(m_Board.m_Directory.m_Term,
                    m_Board.m_Directory.m_Version) &&
      Directory.m_IsComplete >= m_Board.m_Directory.m_IsComplete)
    m_Board.m_Directory = Directory;
}

void DirectoryController::beginTermIfNew(ControlContext &Context) {
  if (!m_Board.m_IsLeader || m_Term == m_Board.m_Term)
    return;
  m_Term = m_Board.m_Term;
  m_Entries.clear();
  m_Board.m_CheckedInAt.clear();
  for (const InstanceDescription &Instance : m_Board.m_Directory.m_Instances) {
    m_Entries[Instance.m_Name] = Instance;
    m_Board.m_CheckedInAt[Instance.m_Name] = Context.m_Now;
  }
  m_IsChanged = true;
  bool IsInherited = m_Board.m_Directory.m_IsComplete && !m_Entries.empty();
  if (!IsInherited) {
    for (const InstanceDescription &Instance : m_Board.m_State.directory())
      if (m_Entries.emplace(Instance.m_Name, Instance).second)
        m_Board.m_CheckedInAt[Instance.m_Name] =
            Context.m_Now - kForgetAfter + kRestoredMemory;
    IsInherited = !m_Entries.empty();
  }
  m_CompleteAfter =
      IsInherited ? Context.m_Now : Context.m_Now + kCompletionTime;
}

void DirectoryController::tick(ControlContext &Context) {
  beginTermIfNew(Context);
  if (!m_Board.m_IsLeader)
    return;
  std::erase_if(m_Entries, [&](const auto &Entry) {
    bool IsSilent =
        Context.m_Now - m_Board.m_CheckedInAt[Entry.first] > kForgetAfter;
    m_IsChanged = m_IsChanged || IsSilent;
    if (IsSilent)
      Context.reportStateChange("instance " + Entry.first.m_Value +
                                " is dropped: it no longer checks in");
    return IsSilent;
  });
  std::erase_if(m_Board.m_CheckedInAt, [&](const auto &Entry) {
    return !m_Entries.contains(Entry.first);
  });
  std::erase_if(m_Boots, [&](const auto &Entry) {
    return !m_Entries.contains(Entry.first) &&
           Context.m_Now - Entry.second.m_HeardAt > kBootMemory;
  });
  publish(Context);
  record(Context);
}

void DirectoryController::record(ControlContext &Context) {
  const InstanceDirectory &Published = m_Board.m_Directory;
  if (!Published.m_IsComplete ||
      Context.m_Now - m_RecordedAt < kRecordInterval ||
      Published.m_Instances == m_Board.m_State.directory())
    return;
  m_RecordedAt = Context.m_Now;
  Context.proposeBySystem(RecordDirectory{Published.m_Instances},
                          m_Board.m_Self.m_Host.m_Value);
}

void DirectoryController::publish(ControlContext &Context) {
  InstanceDirectory &Published = m_Board.m_Directory;
  bool IsComplete = Context.m_Now >= m_CompleteAfter;
  if (!m_IsChanged && Published.m_IsComplete == IsComplete)
    return;
  m_IsChanged = false;
  bool IsOwn = Published.m_Term == m_Board.m_Term && Published.m_Version > 0;
  std::vector<InstanceDescription> Instances;
  Instances.reserve(m_Entries.size());
  for (const auto &[Name, Entry] : m_Entries) {
    Instances.push_back(Entry);
    if (Entry.m_IsPrimary && isClaimOutdated(Entry))
      Instances.back().m_IsPrimary = false;
  }
  uint64_t Version = IsOwn ? Published.m_Version + 1 : 1;
  Published = InstanceDirectory{m_Board.m_Term, Version, IsComplete,
                                std::move(Instances)};
}

} // namespace almondpier
