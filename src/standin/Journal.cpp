#include "standin/Journal.h"

#include "almondpier/Model.h"

#include <cerrno>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <unistd.h>

namespace almondpier {

constexpr size_t kLengthBytes = sizeof(uint32_t);
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes = kLengthBytes + kChecksumBytes;

static std::string checksumOf(std::string_view Content) {
  KeyDigest Digest = digestOfKey(Content);
  return {reinterpret_cast<const char *>(Digest.m_Bytes.data()),
          kChecksumBytes};
}

[[noreturn]] static void throwFileError(const std::string &Action,
                                        const std::string &Path) {
  throw Error(ErrorKind::Internal, "cannot " + Action + " '" + Path + "' (" +
                                       std::strerror(errno) +
                                       "); choose a data folder that this "
                                       "process may write to");
}

StandInJournal::StandInJournal(
    const std::string &Folder, bool SyncEachRecord,
    const std::function<void(std::string_view)> &OnRecord)
    : m_Path(Folder + "/log"), m_SyncEachRecord(SyncEachRecord) {
  std::error_code Ignored;
  std::filesystem::create_directories(Folder, Ignored);
  m_File = ::open(m_Path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (m_File < 0)
    throwFileError("open", m_Path);
  restore(OnRecord);
}

StandInJournal::~StandInJournal() { ::close(m_File); }

static std::string readWhole(int File, const std::string &Path) {
  constexpr size_t kPartBytes = 1U << 16U;
  std::string Content;
  for (;;) {
    size_t Known = Content.size();
    Content.resize(Known + kPartBytes);
    ssize_t Count = ::read(File, Content.data() + Known, kPartBytes);
    if (Count < 0)
      throwFileError("read", Path);
    Content.resize(Known + static_cast<size_t>(Count));
    if (Count == 0)
      return Content;
  }
}

void StandInJournal::restore(
    const std::function<void(std::string_view)> &OnRecord) {
  std::string Content = readWhole(m_File, m_Path);
  std::string_view Rest = Content;
  while (Rest.size() >= kHeaderBytes) {
    uint32_t Length = 0;
    std::memcpy(&Length, Rest.data(), kLengthBytes);
    if (Rest.size() - kHeaderBytes < Length)
      break;
    std::string_view Record = Rest.substr(kHeaderBytes, Length);
    if (checksumOf(Record) != Rest.substr(kLengthBytes, kChecksumBytes))
      break;
    OnRecord(Record);
    Rest.remove_prefix(kHeaderBytes + Length);
  }
  off_t End = static_cast<off_t>(Content.size() - Rest.size());
  if (::ftruncate(m_File, End) != 0 || ::lseek(m_File, End, SEEK_SET) != End)
    throwFileError("truncate", m_Path);
}

void StandInJournal::append(std::string_view Record) {
  uint32_t Length = static_cast<uint32_t>(Record.size());
  std::string Block(kLengthBytes, '\0');
  std::memcpy(Block.data(), &Length, kLengthBytes);
  Block += checksumOf(Record);
  Block += Record;
  std::string_view Rest = Block;
  while (!Rest.empty()) {
    ssize_t Count = ::write(m_File, Rest.data(), Rest.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      throwFileError("write", m_Path);
    Rest.remove_prefix(static_cast<size_t>(Count));
  }
  if (m_SyncEachRecord && ::fdatasync(m_File) != 0)
    throwFileError("sync", m_Path);
}

} // namespace almondpier
