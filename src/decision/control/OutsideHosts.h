/// \file
/// Control hosts outside the membership, which have to be told who its members
/// are.
#pragma once

#include "almondpier/Messages.h"

#include <map>
#include <set>

namespace almondpier {

/// A host without a log remembers no member across a restart, and the seeds of
/// its settings may know none either. Each member therefore remembers the hosts
/// that registered with it and former members, and contacts those that are
/// silent, besides the seeds of its own settings.
class OutsideHosts {
public:
  /// A host registers every second.
  static constexpr Duration kSilence = std::chrono::milliseconds(3'000);
  /// Larger than the number of control hosts of any deployment; of more, those
  /// heard longest ago are forgotten.
  static constexpr size_t kMaxHosts = 32;

  void setSeeds(const std::vector<Endpoint> &Seeds);
  void onRegistered(const Endpoint &Host, Time Now);
  /// Remembers the members that a change of the membership removes.
  void onMembership(const Membership &Members, Time Now);
  /// Returns the hosts that are no members and sent nothing lately.
  std::set<Endpoint> silentHosts(Time Now) const;

private:
  void remember(const Endpoint &Host, Time HeardAt);

  std::set<Endpoint> m_Seeds;
  std::set<Endpoint> m_Members;
  /// When each host was heard last.
  std::map<Endpoint, Time> m_HeardAt;
};

} // namespace almondpier
