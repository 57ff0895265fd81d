/// \file
/// Owning file descriptors and the few file operations that the storage needs.
/// Every function throws StorageError with the path on failure.
#pragma once

#include "almondpier/Storage.h"

namespace almondpier {

class File {
public:
  File() = default;
  File(const std::filesystem::path &Path, int Flags);
  ~File();
  File(File &&Other) noexcept;
  File &operator=(File &&Other) noexcept;
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  const std::filesystem::path &path() const { return m_Path; }
  void append(std::string_view Bytes);
  /// Syncs data and size.
  void sync();
  void truncate(uint64_t Size);
  /// Takes an exclusive lock; returns false when another process holds it.
  bool tryLock();

private:
  std::filesystem::path m_Path;
  int m_Descriptor = -1;
};

std::string readFile(const std::filesystem::path &Path);
/// Makes created, renamed and removed names in Folder durable.
void syncFolder(const std::filesystem::path &Folder);
/// Replaces the file by way of a synced temporary file, so that after a crash
/// it has either the old or the new content.
void replaceFile(const std::filesystem::path &Path, std::string_view Bytes);
/// Name of the temporary file that replaceFile uses.
std::filesystem::path temporaryOf(const std::filesystem::path &Path);
void removeFile(const std::filesystem::path &Path);

} // namespace almondpier
