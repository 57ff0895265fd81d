/// \file
/// Records of the log and snapshot files: a header with the length of the
/// payload and two checksums, of the header and of the payload.
///
/// The header has a checksum of its own, so that a damaged length is not taken
/// for an incomplete last record, which would silently drop all that follow.
/// All checksums cover the member, the file and the offset, so that neither
/// bytes of another file nor data that looks like a record pass.
#pragma once

#include "almondpier/Storage.h"

namespace almondpier {

/// What the checksums of one file cover besides its content.
struct RecordContext {
  MemberId m_Member;
  /// Number of the segment; 0 for files that are no segment.
  uint64_t m_FileNumber = 0;
};

constexpr size_t kRecordHeaderBytes = 12;

/// Encodes a record that is written at Offset.
std::string encodeRecord(const RecordContext &Context, uint64_t Offset,
                         std::string_view Payload);

enum class RecordState : uint8_t {
  Valid,
  /// Nothing follows.
  End,
  /// Damaged or incomplete, with no valid record after it.
  TornTail,
  /// Damaged, with valid data after it.
  Damaged
};

struct RecordView {
  RecordState m_State = RecordState::End;
  std::string_view m_Payload;
  /// Offset after the record.
  uint64_t m_Next = 0;
};

/// Reads the record at Offset of a file with this content.
RecordView readRecord(const RecordContext &Context, std::string_view Content,
                      uint64_t Offset);

} // namespace almondpier
