/// \file
/// Reception of a snapshot of the configuration in parts.
#pragma once

#include "almondpier/Messages.h"

#include <utility>

namespace almondpier {

/// Collects the parts of one snapshot in order. Control hosts that hold the
/// same snapshot can supply its parts, so a transfer goes on after a lost link.
class SnapshotTransfer {
public:
  enum class Progress : uint8_t {
    /// The part does not belong here; nothing changed.
    Ignored,
    /// The sender does not hold this snapshot.
    Unavailable,
    Incomplete,
    Complete,
  };

  SnapshotTransfer(uint64_t Index, uint64_t TotalBytes)
      : m_Index(Index), m_TotalBytes(TotalBytes) {}

  /// Returns whether this is a transfer of the snapshot with the given index
  /// and size.
  bool isOf(uint64_t Index, uint64_t TotalBytes) const {
    return m_Index == Index && m_TotalBytes == TotalBytes;
  }
  /// Log index of the snapshot.
  uint64_t index() const { return m_Index; }
  ConfigurationPartRequest nextRequest() const {
    return ConfigurationPartRequest{m_Index, m_Bytes.size()};
  }
  size_t receivedBytes() const { return m_Bytes.size(); }

  Progress add(const ConfigurationPart &Part) {
    if (Part.m_Index != m_Index || Part.m_Offset != m_Bytes.size())
      return Progress::Ignored;
    if (Part.m_Bytes.empty() ||
        Part.m_Bytes.size() > m_TotalBytes - m_Bytes.size())
      return Progress::Unavailable;
    m_Bytes += Part.m_Bytes;
    return m_Bytes.size() == m_TotalBytes ? Progress::Complete
                                          : Progress::Incomplete;
  }
  std::string takeBytes() { return std::exchange(m_Bytes, {}); }

private:
  uint64_t m_Index = 0;
  uint64_t m_TotalBytes = 0;
  std::string m_Bytes;
};

} // namespace almondpier
