/// \file
/// Owning file descriptors and the few file operations that the storage needs.
/// Every function throws StorageError with the path on failure, and
/// StorageUnavailable when the disk is full or has an I/O error.
#pragma once

#include "almondpier/Storage.h"

#include <functional>

namespace almondpier {

/// Operations that change what is on disk.
enum class FileOperation : uint8_t {
  Create,
  Append,
  Rewrite,
  Sync,
  Truncate,
  Rename,
  Remove
};

/// Called before each operation. Returns 0, or the errno with which the
/// operation fails. May lower Bytes, the size of a write, to make it short.
using FileFaults = std::function<int(
    FileOperation Operation, const std::filesystem::path &Path, size_t &Bytes)>;

/// Makes file operations of this process fail, for tests; an empty function
/// ends it. Call it while no other thread uses files.
void injectFileFaults(FileFaults Faults);

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
  /// Writes the first bytes of the file again. Not for files opened with
  /// O_APPEND.
  void rewrite(std::string_view Bytes);
  /// Syncs data and size.
  void sync();
  void truncate(uint64_t Size);
  /// Takes an exclusive lock; returns false when another process holds it.
  bool tryLock();

private:
  void write(FileOperation Operation, std::string_view Bytes);

  std::filesystem::path m_Path;
  int m_Descriptor = -1;
};

/// Creates a folder and those above it; returns whether it did not exist.
bool createFolders(const std::filesystem::path &Folder);
std::string readFile(const std::filesystem::path &Path);
/// Makes created, renamed and removed names in Folder durable.
void syncFolder(const std::filesystem::path &Folder);
/// Writes and syncs a temporary file beside Path.
void writeTemporary(const std::filesystem::path &Path, std::string_view Bytes);
/// Renames the temporary file of Path to Path.
void commitTemporary(const std::filesystem::path &Path);
/// Replaces the file by way of a synced temporary file, so that after a crash
/// it has either the old or the new content.
void replaceFile(const std::filesystem::path &Path, std::string_view Bytes);
/// Name of the temporary file that the functions above use.
std::filesystem::path temporaryOf(const std::filesystem::path &Path);
void removeFile(const std::filesystem::path &Path);

} // namespace almondpier
