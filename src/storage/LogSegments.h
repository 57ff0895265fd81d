/// \file
/// The log as consecutively numbered files.
#pragma once

#include "storage/Batch.h"
#include "storage/File.h"
#include "storage/Record.h"

namespace almondpier {

class LogSegments {
public:
  LogSegments(std::filesystem::path Folder, MemberId Member)
      : m_Folder(std::move(Folder)), m_Member(Member) {}

  /// Reads all batches, without a torn tail of the last segment.
  std::vector<Batch> load();
  /// Removes a torn tail of the last segment and makes the rest of it durable.
  /// Must follow load before anything is appended or deleted; needs no space.
  void makeDurable();
  /// Creates the first segment of a new folder.
  void create(const HardState &Initial);
  /// Appends one record and syncs it. Begins a new segment first when the last
  /// one has reached its size; it starts with the current hard state.
  void append(const Batch &Batch, const HardState &Current);
  /// Begins a new segment and deletes the oldest ones whose entries all have
  /// an index of at most Index.
  void deleteCovered(uint64_t Index, const HardState &Current);
  bool isOldestCovered(uint64_t Index) const;
  /// Deletes the oldest segments whose entries all have an index of at most
  /// Index; needs no space.
  void deleteOldest(uint64_t Index);
  uint64_t bytes() const;

private:
  struct Segment {
    uint64_t m_Number = 0;
    uint64_t m_Bytes = 0;
    uint64_t m_LastIndex = 0;
  };

  std::filesystem::path pathOf(uint64_t Number) const;
  std::vector<uint64_t> findNumbers() const;
  void loadSegment(uint64_t Number, bool IsLast, std::vector<Batch> &Batches);
  void beginSegment(uint64_t Number, const HardState &Current);
  void appendRecord(const Batch &Batch);

  std::filesystem::path m_Folder;
  MemberId m_Member;
  std::vector<Segment> m_Segments;
  /// The last segment.
  File m_File;
};

} // namespace almondpier
