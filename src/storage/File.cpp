#include "storage/File.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace almondpier {

namespace {

[[noreturn]] void throwErrno(const std::filesystem::path &Path,
                             const char *Operation) {
  int Code = errno;
  std::string Message = Path.string() + ": cannot " + Operation + ": " +
                        std::generic_category().message(Code) +
                        "; check the disk, its free space and the permissions";
  // A file system that had an I/O error can become read-only (EROFS).
  if (Code == ENOSPC || Code == EDQUOT || Code == EIO || Code == EROFS)
    throw StorageUnavailable(Message);
  throw StorageError(Message);
}

FileFaults InjectedFaults;

/// Returns whether the operation may be tried; sets errno otherwise.
bool isAllowed(FileOperation Operation, const std::filesystem::path &Path,
               size_t &Bytes) {
  int Code = InjectedFaults ? InjectedFaults(Operation, Path, Bytes) : 0;
  if (Code != 0)
    errno = Code;
  return Code == 0;
}

bool isAllowed(FileOperation Operation, const std::filesystem::path &Path) {
  size_t Bytes = 0;
  return isAllowed(Operation, Path, Bytes);
}

} // namespace

void injectFileFaults(FileFaults Faults) { InjectedFaults = std::move(Faults); }

File::File(const std::filesystem::path &Path, int Flags) : m_Path(Path) {
  constexpr mode_t kOwnerOnly = 0600;
  bool Creates = (Flags & O_CREAT) != 0;
  if (!Creates || isAllowed(FileOperation::Create, Path))
    m_Descriptor = ::open(Path.c_str(), Flags | O_CLOEXEC, kOwnerOnly);
  if (m_Descriptor < 0)
    throwErrno(Path, "open");
}

File::~File() {
  if (m_Descriptor >= 0)
    ::close(m_Descriptor);
}

File::File(File &&Other) noexcept
    : m_Path(std::move(Other.m_Path)),
      m_Descriptor(std::exchange(Other.m_Descriptor, -1)) {}

File &File::operator=(File &&Other) noexcept {
  std::swap(m_Path, Other.m_Path);
  std::swap(m_Descriptor, Other.m_Descriptor);
  return *this;
}

void File::append(std::string_view Bytes) {
  write(FileOperation::Append, Bytes);
}

void File::rewrite(std::string_view Bytes) {
  if (::lseek(m_Descriptor, 0, SEEK_SET) != 0)
    throwErrno(m_Path, "seek");
  write(FileOperation::Rewrite, Bytes);
}

void File::write(FileOperation Operation, std::string_view Bytes) {
  while (!Bytes.empty()) {
    size_t Size = Bytes.size();
    ssize_t Written = -1;
    if (isAllowed(Operation, m_Path, Size))
      Written = ::write(m_Descriptor, Bytes.data(), Size);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      throwErrno(m_Path, "write");
    Bytes.remove_prefix(static_cast<size_t>(Written));
  }
}

void File::sync() {
  // A failed sync is not repeated: the kernel may have dropped the data.
  if (!isAllowed(FileOperation::Sync, m_Path) || ::fdatasync(m_Descriptor) != 0)
    throwErrno(m_Path, "sync");
}

void File::truncate(uint64_t Size) {
  if (!isAllowed(FileOperation::Truncate, m_Path) ||
      ::ftruncate(m_Descriptor, static_cast<off_t>(Size)) != 0)
    throwErrno(m_Path, "truncate");
}

bool File::tryLock() {
  if (::flock(m_Descriptor, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (errno != EWOULDBLOCK)
    throwErrno(m_Path, "lock");
  return false;
}

bool createFolders(const std::filesystem::path &Folder) {
  std::error_code Failure;
  bool IsCreated = false;
  if (isAllowed(FileOperation::Create, Folder))
    IsCreated = std::filesystem::create_directories(Folder, Failure);
  else
    Failure.assign(errno, std::generic_category());
  errno = Failure.value();
  if (Failure)
    throwErrno(Folder, "create");
  return IsCreated;
}

std::string readFile(const std::filesystem::path &Path) {
  constexpr int kReadOnly = O_RDONLY | O_CLOEXEC;
  int Descriptor = ::open(Path.c_str(), kReadOnly);
  if (Descriptor < 0)
    throwErrno(Path, "open");
  std::string Bytes;
  constexpr size_t kBlockBytes = 64U << 10U;
  while (true) {
    size_t Size = Bytes.size();
    Bytes.resize(Size + kBlockBytes);
    ssize_t Read = ::read(Descriptor, Bytes.data() + Size, kBlockBytes);
    int Failure = errno;
    Bytes.resize(Size + (Read > 0 ? static_cast<size_t>(Read) : 0));
    if (Read < 0 && Failure == EINTR)
      continue;
    if (Read > 0)
      continue;
    ::close(Descriptor);
    if (Read == 0)
      return Bytes;
    errno = Failure;
    throwErrno(Path, "read");
  }
}

void syncFolder(const std::filesystem::path &Folder) {
  File Handle(Folder, O_RDONLY | O_DIRECTORY);
  Handle.sync();
}

std::filesystem::path temporaryOf(const std::filesystem::path &Path) {
  return Path.string() + ".tmp";
}

void writeTemporary(const std::filesystem::path &Path, std::string_view Bytes) {
  File Handle(temporaryOf(Path), O_WRONLY | O_CREAT | O_TRUNC);
  Handle.append(Bytes);
  Handle.sync();
}

void commitTemporary(const std::filesystem::path &Path) {
  std::filesystem::path Temporary = temporaryOf(Path);
  if (!isAllowed(FileOperation::Rename, Path) ||
      ::rename(Temporary.c_str(), Path.c_str()) != 0)
    throwErrno(Path, "rename to");
  syncFolder(Path.parent_path());
}

void replaceFile(const std::filesystem::path &Path, std::string_view Bytes) {
  writeTemporary(Path, Bytes);
  commitTemporary(Path);
}

void removeFile(const std::filesystem::path &Path) {
  if (!isAllowed(FileOperation::Remove, Path) ||
      (::unlink(Path.c_str()) != 0 && errno != ENOENT))
    throwErrno(Path, "remove");
}

} // namespace almondpier
