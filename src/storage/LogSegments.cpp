#include "storage/LogSegments.h"

#include "messages/Codec.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>

namespace almondpier {

namespace {

constexpr uint64_t kMaxSegmentBytes = 4U << 20U;
constexpr std::string_view kPrefix = "log-";
constexpr size_t kNumberDigits = 20;

[[noreturn]] void throwDamage(const std::filesystem::path &Path,
                              uint64_t Offset, const std::string &Problem) {
  throw StorageError(
      Path.string() + ": " + Problem + " at offset " + std::to_string(Offset) +
      "; replace this member: move the folder away, start the host with an "
      "empty folder so that it joins with a new identity, and remove the old "
      "member");
}

} // namespace

std::filesystem::path LogSegments::pathOf(uint64_t Number) const {
  std::string Digits = std::to_string(Number);
  return m_Folder / (std::string(kPrefix) +
                     std::string(kNumberDigits - Digits.size(), '0') + Digits);
}

std::vector<uint64_t> LogSegments::findNumbers() const {
  std::vector<uint64_t> Numbers;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::directory_iterator(m_Folder)) {
    std::string Name = Entry.path().filename().string();
    if (!Name.starts_with(kPrefix))
      continue;
    uint64_t Number = 0;
    std::from_chars(Name.data() + kPrefix.size(), Name.data() + Name.size(),
                    Number);
    if (Entry.path() != pathOf(Number))
      throwDamage(Entry.path(), 0, "the name is not that of a log segment");
    Numbers.push_back(Number);
  }
  std::sort(Numbers.begin(), Numbers.end());
  return Numbers;
}

std::vector<Batch> LogSegments::load() {
  std::vector<uint64_t> Numbers = findNumbers();
  if (Numbers.empty())
    throwDamage(pathOf(1), 0, "all log segments are missing");
  for (size_t Position = 1; Position < Numbers.size(); ++Position)
    if (Numbers[Position] != Numbers[Position - 1] + 1)
      throwDamage(pathOf(Numbers[Position - 1] + 1), 0,
                  "a log segment is missing");
  std::vector<Batch> Batches;
  for (uint64_t Number : Numbers)
    loadSegment(Number, Number == Numbers.back(), Batches);
  return Batches;
}

void LogSegments::loadSegment(uint64_t Number, bool IsLast,
                              std::vector<Batch> &Batches) {
  std::filesystem::path Path = pathOf(Number);
  std::string Content = readFile(Path);
  RecordContext Context{m_Member, Number};
  Segment Loaded{Number, 0, 0};
  while (true) {
    RecordView Record = readRecord(Context, Content, Loaded.m_Bytes);
    if (Record.m_State == RecordState::End)
      break;
    if (Record.m_State == RecordState::Damaged)
      throwDamage(Path, Loaded.m_Bytes, "a record is damaged");
    if (Record.m_State == RecordState::TornTail) {
      // Only the last segment can have a record that was never synced.
      if (!IsLast)
        throwDamage(Path, Loaded.m_Bytes, "the last record is damaged");
      break;
    }
    try {
      Batches.push_back(decodeValue<Batch>(Record.m_Payload));
    } catch (const DecodeError &Failure) {
      throwDamage(Path, Loaded.m_Bytes, Failure.what());
    }
    for (const LogEntry &Entry : Batches.back().m_Entries)
      Loaded.m_LastIndex = std::max(Loaded.m_LastIndex, Entry.m_Index);
    Loaded.m_Bytes = Record.m_Next;
  }
  m_Segments.push_back(Loaded);
}

void LogSegments::makeDurable() {
  // After a failed sync, the page cache can hold data that is not on disk and
  // that no later sync writes.
  std::filesystem::path Path = pathOf(m_Segments.back().m_Number);
  std::string Content = readFile(Path);
  Content.resize(m_Segments.back().m_Bytes);
  File Rewritten(Path, O_WRONLY);
  Rewritten.rewrite(Content);
  Rewritten.truncate(Content.size());
  Rewritten.sync();
  m_File = File(Path, O_WRONLY | O_APPEND);
}

void LogSegments::create(const HardState &Initial) { beginSegment(1, Initial); }

void LogSegments::beginSegment(uint64_t Number, const HardState &Current) {
  m_File = File(pathOf(Number), O_WRONLY | O_APPEND | O_CREAT | O_TRUNC);
  m_Segments.push_back({Number, 0, 0});
  appendRecord(Batch{Current, 0, {}});
  syncFolder(m_Folder);
}

void LogSegments::append(const Batch &Batch, const HardState &Current) {
  if (m_Segments.back().m_Bytes >= kMaxSegmentBytes)
    beginSegment(m_Segments.back().m_Number + 1, Current);
  appendRecord(Batch);
}

void LogSegments::appendRecord(const Batch &Batch) {
  Segment &Last = m_Segments.back();
  std::string Bytes =
      encodeRecord({m_Member, Last.m_Number}, Last.m_Bytes, encodeValue(Batch));
  m_File.append(Bytes);
  m_File.sync();
  Last.m_Bytes += Bytes.size();
  for (const LogEntry &Entry : Batch.m_Entries)
    Last.m_LastIndex = std::max(Last.m_LastIndex, Entry.m_Index);
}

void LogSegments::deleteCovered(uint64_t Index, const HardState &Current) {
  if (m_Segments.back().m_LastIndex > 0)
    beginSegment(m_Segments.back().m_Number + 1, Current);
  deleteOldest(Index);
}

bool LogSegments::isOldestCovered(uint64_t Index) const {
  return m_Segments.size() > 1 && m_Segments[1].m_Bytes > 0 &&
         m_Segments.front().m_LastIndex <= Index;
}

void LogSegments::deleteOldest(uint64_t Index) {
  // Only the oldest segments are deleted: a later one may replace entries of
  // one that stays, and has the hard state in its first record. The folder is
  // synced for each, so that no crash leaves a gap.
  while (isOldestCovered(Index)) {
    removeFile(pathOf(m_Segments.front().m_Number));
    syncFolder(m_Folder);
    m_Segments.erase(m_Segments.begin());
  }
}

uint64_t LogSegments::bytes() const {
  uint64_t Total = 0;
  for (const Segment &Segment : m_Segments)
    Total += Segment.m_Bytes;
  return Total;
}

} // namespace almondpier
