/// \file
/// A model of what a folder holds after a loss of power, fed by the file
/// operations of the storage.
#pragma once

#include "storage/File.h"
#include "storage/TemporaryFolder.h"

#include <algorithm>
#include <map>

#include <sys/stat.h>

namespace almondpier {

/// Knows which names and bytes of a folder without subfolders are durable. Data
/// whose sync has failed is lost, also when a later sync succeeds, unless it is
/// written again.
class PowerLossModel {
public:
  /// Share of the bytes that were not synced and are on disk nevertheless.
  enum class Unsynced : uint8_t { None, Half, All };

  explicit PowerLossModel(const std::filesystem::path &Folder)
      : m_Folder(Folder), m_Links(Folder.parent_path()) {
    std::filesystem::create_directory(m_Links / "links");
    for (const std::filesystem::directory_entry &Entry :
         std::filesystem::directory_iterator(Folder))
      m_Inodes[inodeOf(Entry.path())].m_Durable = contentOf(Entry.path());
    syncNames();
  }

  /// To be called before each operation, with whether it will succeed.
  void observe(FileOperation Operation, const std::filesystem::path &Path,
               bool Succeeds) {
    if (Operation == FileOperation::Sync && Path == m_Folder) {
      if (Succeeds)
        syncNames();
      return;
    }
    if (Operation == FileOperation::Rewrite && Succeeds)
      m_Inodes[inodeOf(Path)].m_LostEnd = 0;
    if (Operation == FileOperation::Sync)
      sync(m_Inodes[inodeOf(Path)], contentOf(Path), Succeeds);
  }

  /// Writes the folder as it is after a loss of power.
  void writeImage(const std::filesystem::path &Target, Unsynced Share) {
    std::filesystem::remove_all(Target);
    std::filesystem::create_directory(Target);
    for (const std::pair<const std::string, ino_t> &Entry : m_Names)
      replaceContent(Target / Entry.first, survivor(Entry.second, Share));
  }

private:
  struct Inode {
    std::string m_Durable;
    /// When not 0, a sync of the bytes up to here has failed.
    size_t m_LostEnd = 0;
  };

  /// Keeps a link to the file, so that its number is not used again.
  ino_t inodeOf(const std::filesystem::path &Path) {
    struct stat Status {};
    if (::stat(Path.c_str(), &Status) != 0)
      throw std::runtime_error("no file " + Path.string());
    std::error_code Ignored;
    std::filesystem::create_hard_link(Path, linkOf(Status.st_ino), Ignored);
    return Status.st_ino;
  }
  std::filesystem::path linkOf(ino_t Number) const {
    return m_Links / "links" / std::to_string(Number);
  }

  static void sync(Inode &Synced, const std::string &Content, bool Succeeds) {
    bool IsCut = Content.size() <= Synced.m_Durable.size();
    if (!Succeeds) {
      Synced.m_LostEnd = IsCut ? 0 : Content.size();
      return;
    }
    size_t LostEnd = IsCut ? 0 : std::min(Synced.m_LostEnd, Content.size());
    size_t LostBegin = std::min(Synced.m_Durable.size(), LostEnd);
    Synced.m_Durable = Content;
    // The lost bytes read as zeros once later ones extend the file.
    std::fill(Synced.m_Durable.begin() + static_cast<ptrdiff_t>(LostBegin),
              Synced.m_Durable.begin() + static_cast<ptrdiff_t>(LostEnd), '\0');
  }

  void syncNames() {
    m_Names.clear();
    for (const std::filesystem::directory_entry &Entry :
         std::filesystem::directory_iterator(m_Folder))
      m_Names[Entry.path().filename().string()] = inodeOf(Entry.path());
  }

  std::string survivor(ino_t Number, Unsynced Share) {
    const Inode &Kept = m_Inodes[Number];
    std::string Content = contentOf(linkOf(Number));
    if (Share == Unsynced::None || Kept.m_LostEnd > 0 ||
        Content.size() <= Kept.m_Durable.size())
      return Kept.m_Durable;
    size_t Rest = Content.size() - Kept.m_Durable.size();
    return Content.substr(0, Kept.m_Durable.size() +
                                 (Share == Unsynced::All ? Rest : Rest / 2));
  }

  std::filesystem::path m_Folder;
  TemporaryFolder m_Links;
  std::map<ino_t, Inode> m_Inodes;
  /// Names that are durable.
  std::map<std::string, ino_t> m_Names;
};

} // namespace almondpier
