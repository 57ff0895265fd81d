#include "almondpier/Model.h"

namespace almondpier {

namespace {

template <typename Key, typename Value>
void compare(const std::map<Key, Value> &From, const std::map<Key, Value> &To,
             std::map<Key, Value> &Changed, std::vector<Key> &Removed) {
  for (const auto &[Name, Settings] : To) {
    auto Known = From.find(Name);
    if (Known == From.end() || Known->second != Settings)
      Changed.emplace(Name, Settings);
  }
  for (const auto &[Name, Settings] : From)
    if (!To.contains(Name))
      Removed.push_back(Name);
}

template <typename Key, typename Value>
void update(std::map<Key, Value> &Target, const std::map<Key, Value> &Changed,
            const std::vector<Key> &Removed) {
  for (const Key &Name : Removed)
    Target.erase(Name);
  for (const auto &[Name, Settings] : Changed)
    Target[Name] = Settings;
}

} // namespace

AmendPolicy makeAmendment(const FleetPolicy &From, const FleetPolicy &To) {
  AmendPolicy Result;
  Result.m_BaseVersion = From.m_Version;
  Result.m_Version = To.m_Version;
  compare(From.m_Organisations, To.m_Organisations, Result.m_Organisations,
          Result.m_RemovedOrganisations);
  compare(From.m_Routes, To.m_Routes, Result.m_Routes, Result.m_RemovedRoutes);
  compare(From.m_Groups, To.m_Groups, Result.m_Groups, Result.m_RemovedGroups);
  Result.m_TransactionIdleMs = To.m_TransactionIdleMs;
  return Result;
}

FleetPolicy applyAmendment(FleetPolicy Policy, const AmendPolicy &Amendment) {
  if (Policy.m_Version != Amendment.m_BaseVersion)
    throw Error(ErrorKind::VersionConflict,
                "the policy is at version " + std::to_string(Policy.m_Version) +
                    " and the amendment is of version " +
                    std::to_string(Amendment.m_BaseVersion) +
                    "; request the whole policy");
  update(Policy.m_Organisations, Amendment.m_Organisations,
         Amendment.m_RemovedOrganisations);
  update(Policy.m_Routes, Amendment.m_Routes, Amendment.m_RemovedRoutes);
  update(Policy.m_Groups, Amendment.m_Groups, Amendment.m_RemovedGroups);
  Policy.m_TransactionIdleMs = Amendment.m_TransactionIdleMs;
  Policy.m_Version = Amendment.m_Version;
  return Policy;
}

} // namespace almondpier
