/// \file
/// Supervises the primaries of all databases and fails them over.
#pragma once

#include "decision/control/SpareAdmission.h"

#include <memory>

namespace almondpier {

/// Runs at the leader. Detects lost and draining primaries and drives a
/// GroupFailover for each. A host that loses leadership discards its failovers;
/// the next leader starts them again in new terms.
class FailoverController {
public:
  explicit FailoverController(ControlBlackboard &Board) : m_Board(Board) {}

  void onAnswered(const InstanceCallAnswered &Event, ControlContext &Context);
  void tick(ControlContext &Context);
  CounterList counters() const;

private:
  struct HostReport {
    HostName m_Host;
    uint64_t m_AppliedIndex = 0;
    const InstanceReport *m_Report = nullptr;
  };

  void reset();
  void collectReports(Time Now);
  void superviseDatabase(const DatabaseName &Name, const DatabaseRecord &Record,
                         ControlContext &Context);
  std::optional<std::string> failoverReason(const DatabaseName &Name,
                                            const DatabaseRecord &Record,
                                            Time Now);
  std::optional<std::string> switchoverReason(const DatabaseName &Name,
                                              const DatabaseRecord &Record,
                                              Time Now);
  bool isPrimaryLost(const DatabaseName &Name, const DatabaseRecord &Record,
                     Time Now);
  void advance(GroupFailover &Failover, const DatabaseName &Name,
               const DatabaseRecord &Record, ControlContext &Context);
  Duration detectionTime(const DatabaseName &Name) const;
  void startFailover(const DatabaseName &Name, const std::string &Reason,
                     ControlContext &Context);
  void finishFailover(const GroupFailover &Failover, ControlContext &Context);

  ControlBlackboard &m_Board;
  uint64_t m_LeaderTerm = 0;
  PendingInstanceCalls m_PendingCalls;
  std::map<DatabaseName, std::unique_ptr<GroupFailover>> m_ActiveFailovers;
  std::map<DatabaseName, FollowSupervisor> m_FollowSupervisors;
  std::map<DatabaseName, SpareAdmission> m_SpareAdmissions;
  /// When a draining primary was first observed, and when a switchover was last
  /// attempted.
  std::map<DatabaseName, Time> m_DrainObservedAt;
  std::map<DatabaseName, Time> m_LastSwitchoverAt;
  std::map<DatabaseName, Time> m_RoleLostSince;
  /// Instance reports of live hosts, rebuilt at each tick.
  std::map<DatabaseName, std::vector<HostReport>> m_Reports;
  uint64_t m_Started = 0;
  uint64_t m_Finished = 0;
  uint64_t m_Restarted = 0;
  Duration m_TotalDuration{};
};

} // namespace almondpier
