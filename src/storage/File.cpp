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
  throw StorageError(Path.string() + ": cannot " + Operation + ": " +
                     std::generic_category().message(errno) +
                     "; check the disk, its free space and the permissions");
}

} // namespace

File::File(const std::filesystem::path &Path, int Flags) : m_Path(Path) {
  constexpr mode_t kOwnerOnly = 0600;
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
  while (!Bytes.empty()) {
    ssize_t Written = ::write(m_Descriptor, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      throwErrno(m_Path, "write");
    Bytes.remove_prefix(static_cast<size_t>(Written));
  }
}

void File::sync() {
  // A failed sync is not repeated: the kernel may have dropped the data.
  if (::fdatasync(m_Descriptor) != 0)
    throwErrno(m_Path, "sync");
}

void File::truncate(uint64_t Size) {
  if (::ftruncate(m_Descriptor, static_cast<off_t>(Size)) != 0)
    throwErrno(m_Path, "truncate");
}

bool File::tryLock() {
  if (::flock(m_Descriptor, LOCK_EX | LOCK_NB) == 0)
    return true;
  if (errno != EWOULDBLOCK)
    throwErrno(m_Path, "lock");
  return false;
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

void replaceFile(const std::filesystem::path &Path, std::string_view Bytes) {
  std::filesystem::path Temporary = temporaryOf(Path);
  File Handle(Temporary, O_WRONLY | O_CREAT | O_TRUNC);
  Handle.append(Bytes);
  Handle.sync();
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    throwErrno(Path, "rename to");
  syncFolder(Path.parent_path());
}

void removeFile(const std::filesystem::path &Path) {
  if (::unlink(Path.c_str()) != 0 && errno != ENOENT)
    throwErrno(Path, "remove");
}

} // namespace almondpier
