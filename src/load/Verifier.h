/// \file
/// Reads everything that a run wrote back from confirmed primaries.
#pragma once

#include "load/Session.h"

namespace almondpier {

class LoadVerifier {
public:
  /// Done is called when every key was read or the time is up.
  LoadVerifier(LoadRun &Run, std::function<void()> Done);

private:
  /// Keys of one database below one prefix.
  struct Group {
    DatabaseName m_Database;
    std::string m_Prefix;
    std::vector<std::string> m_Keys;
  };
  using Lane = size_t;

  void next(Lane Lane);
  void read(Lane Lane, const Group &Group);
  void check(const Group &Group, const ProxyAnswer &Answer);

  LoadRun &m_Run;
  std::function<void()> m_Done;
  std::mt19937_64 m_Random;
  std::vector<Group> m_Groups;
  size_t m_Running = 0;
  size_t m_LastKey = 0;
  Time m_GiveUpAt;
  std::vector<std::unique_ptr<OneShotTimer>> m_Delays;
};

} // namespace almondpier
