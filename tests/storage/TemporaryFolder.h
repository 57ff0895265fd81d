/// \file
/// A folder that is removed with its content at the end of a test.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace almondpier {

/// A parent for folders of tests that sync often or have time limits, which a
/// busy disk would break. In memory where possible.
inline std::filesystem::path memoryFolder() {
  std::filesystem::path Memory = "/dev/shm";
  return std::filesystem::is_directory(Memory)
             ? Memory
             : std::filesystem::temp_directory_path();
}

class TemporaryFolder {
public:
  explicit TemporaryFolder(const std::filesystem::path &Parent =
                               std::filesystem::temp_directory_path()) {
    std::string Pattern = (Parent / "almondpier-XXXXXX").string();
    m_Path = ::mkdtemp(Pattern.data());
  }
  ~TemporaryFolder() {
    std::error_code Ignored;
    std::filesystem::remove_all(m_Path, Ignored);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  std::filesystem::path operator/(const std::string &Name) const {
    return m_Path / Name;
  }

private:
  std::filesystem::path m_Path;
};

inline std::string contentOf(const std::filesystem::path &Path) {
  std::ifstream Input(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(Input), {}};
}

inline void replaceContent(const std::filesystem::path &Path,
                           const std::string &Bytes) {
  std::ofstream Output(Path, std::ios::binary | std::ios::trunc);
  Output << Bytes;
}

} // namespace almondpier
