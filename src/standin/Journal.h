/// \file
/// File of records in the data folder of a stand-in instance.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace almondpier {

/// Each record is its length, a checksum and its content. Records are handed to
/// the operating system before append() returns, so they survive the end of the
/// process.
class StandInJournal {
public:
  /// Creates the folder if needed, gives every whole record to OnRecord and
  /// cuts a torn tail. Throws Error when the folder cannot be used.
  StandInJournal(const std::string &Folder, bool SyncEachRecord,
                 const std::function<void(std::string_view)> &OnRecord);
  ~StandInJournal();
  StandInJournal(const StandInJournal &) = delete;
  StandInJournal &operator=(const StandInJournal &) = delete;

  /// Throws Error when the record cannot be written.
  void append(std::string_view Record);

private:
  void restore(const std::function<void(std::string_view)> &OnRecord);

  std::string m_Path;
  bool m_SyncEachRecord;
  int m_File = -1;
};

} // namespace almondpier
