/// \file
/// Priority of a forwarded statement.
#pragma once

#include "almondpier/Model.h"

#include <tuple>

namespace almondpier {

/// A forwarded statement does not name its route. Its group, the age that its
/// reads accept and its timeout tell routes of different priority apart.
class RoutePriorities {
public:
  /// Returns the highest priority among the routes of these settings; the
  /// lowest of all routes when none has them, after a change of the policy for
  /// example.
  uint32_t find(const FleetPolicy &Policy, const RoutePolicy &Wanted) {
    if (Policy.m_Version != m_Version)
      rebuild(Policy);
    auto Found = m_Priorities.find(keyOf(Wanted));
    return Found == m_Priorities.end() ? m_Lowest : Found->second;
  }

private:
  using Key = std::tuple<DatabaseName, uint32_t, uint32_t>;

  static Key keyOf(const RoutePolicy &Route) {
    return {Route.m_Database, Route.m_MaxReadAgeMs, Route.m_StatementTimeoutMs};
  }
  void rebuild(const FleetPolicy &Policy) {
    m_Version = Policy.m_Version;
    m_Priorities.clear();
    m_Lowest = 0;
    for (const auto &[Name, Route] : Policy.m_Routes) {
      auto [Known, IsNew] =
          m_Priorities.emplace(keyOf(Route), Route.m_Priority);
      Known->second = std::min(Known->second, Route.m_Priority);
      m_Lowest = std::max(m_Lowest, Route.m_Priority);
    }
  }

  uint64_t m_Version = 0;
  std::map<Key, uint32_t> m_Priorities;
  uint32_t m_Lowest = 0;
};

} // namespace almondpier
