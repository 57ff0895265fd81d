#include "decision/consensus/ReplicatedLog.h"

#include "decision/Invariant.h"

namespace almondpier {

namespace {

/// Entries kept before a snapshot, so that a follower that missed a few
/// messages does not need the whole snapshot.
constexpr uint64_t kKeptEntries = 256;

size_t encodedSizeOf(const ControlMember &Member) {
  // Lengths and fixed fields need less than this.
  constexpr size_t kFixedBytes = 64;
  return kFixedBytes + Member.m_Host.m_Value.size() +
         Member.m_Zone.m_Value.size() + Member.m_Peer.m_Address.size() +
         Member.m_Operations.m_Address.size();
}

} // namespace

size_t encodedSizeOf(const LogEntry &Entry) {
  // Term, index, flags and lengths need less than this.
  constexpr size_t kFixedBytes = 64;
  size_t Bytes = kFixedBytes + Entry.m_Data.size();
  if (!Entry.m_Membership)
    return Bytes;
  for (const ControlMember &Member : Entry.m_Membership->m_Voters)
    Bytes += encodedSizeOf(Member);
  for (const ControlMember &Member : Entry.m_Membership->m_Learners)
    Bytes += encodedSizeOf(Member);
  return Bytes;
}

ReplicatedLog::ReplicatedLog(PersistedLog &&Log)
    : m_Snapshot(std::make_shared<Snapshot>(std::move(Log.m_Snapshot))),
      m_BaseTerm(m_Snapshot->m_Term), m_BaseIndex(m_Snapshot->m_Index) {
  m_Memberships.emplace_back(m_Snapshot->m_Index, m_Snapshot->m_Membership);
  for (const LogEntry &Entry : Log.m_Entries)
    append(Entry);
}

uint64_t ReplicatedLog::lastTerm() const {
  return m_Entries.empty() ? m_BaseTerm : m_Entries.back().m_Term;
}

std::optional<uint64_t> ReplicatedLog::termAt(uint64_t Index) const {
  if (Index == m_BaseIndex)
    return m_BaseTerm;
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return at(Index).m_Term;
}

bool ReplicatedLog::matches(uint64_t Term, uint64_t Index) const {
  return Index < m_BaseIndex || termAt(Index) == Term;
}

bool ReplicatedLog::isNoNewerThan(uint64_t Term, uint64_t Index) const {
  return std::pair(Term, Index) >= std::pair(lastTerm(), lastIndex());
}

const LogEntry &ReplicatedLog::at(uint64_t Index) const {
  requireInvariant(Index > m_BaseIndex && Index <= lastIndex(), "R13",
                   "an entry outside of the held log is read");
  return m_Entries[Index - m_BaseIndex - 1];
}

std::vector<LogEntry> ReplicatedLog::entriesFrom(uint64_t First,
                                                 size_t MaxBytes) const {
  std::vector<LogEntry> Result;
  size_t Bytes = 0;
  for (uint64_t Index = First; Index <= lastIndex(); ++Index) {
    const LogEntry &Entry = at(Index);
    Bytes += encodedSizeOf(Entry);
    if (!Result.empty() && Bytes > MaxBytes)
      break;
    Result.push_back(Entry);
  }
  return Result;
}

uint64_t ReplicatedLog::indexBeforeTermOf(uint64_t Index) const {
  uint64_t Term = at(Index).m_Term;
  while (Index > m_BaseIndex && at(Index).m_Term == Term)
    --Index;
  return Index;
}

void ReplicatedLog::append(const LogEntry &Entry) {
  requireInvariant(Entry.m_Index > m_Snapshot->m_Index &&
                       Entry.m_Index <= lastIndex() + 1,
                   "R13", "an entry leaves a gap or rewrites the snapshot");
  m_Entries.resize(Entry.m_Index - m_BaseIndex - 1);
  while (m_Memberships.back().first >= Entry.m_Index)
    m_Memberships.pop_back();
  m_Entries.push_back(Entry);
  if (Entry.m_Membership)
    m_Memberships.emplace_back(Entry.m_Index, *Entry.m_Membership);
}

const Membership &ReplicatedLog::membershipAt(uint64_t Index) const {
  auto Later =
      std::find_if(m_Memberships.begin() + 1, m_Memberships.end(),
                   [&](const auto &Element) { return Element.first > Index; });
  return std::prev(Later)->second;
}

void ReplicatedLog::compact(uint64_t Index, std::string &&Data) {
  std::optional<uint64_t> Term = termAt(Index);
  requireInvariant(Term && Index >= m_Snapshot->m_Index, "R13",
                   "the log is compacted to an entry that it does not hold");
  m_Snapshot = std::make_shared<Snapshot>(
      Snapshot{*Term, Index, membershipAt(Index), std::move(Data)});
  while (m_Memberships.size() > 1 && m_Memberships[1].first <= Index)
    m_Memberships.erase(m_Memberships.begin());
  while (m_BaseIndex + kKeptEntries < Index) {
    m_BaseTerm = m_Entries.front().m_Term;
    ++m_BaseIndex;
    m_Entries.pop_front();
  }
}

void ReplicatedLog::install(Snapshot &&Snapshot) {
  m_BaseTerm = Snapshot.m_Term;
  m_BaseIndex = Snapshot.m_Index;
  m_Entries.clear();
  m_Memberships.assign(1, {Snapshot.m_Index, Snapshot.m_Membership});
  m_Snapshot = std::make_shared<struct Snapshot>(std::move(Snapshot));
}

} // namespace almondpier
