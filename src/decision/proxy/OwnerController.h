/// \file
/// Executes admitted requests for the databases that this host owns, and probes
/// the instances it observes.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <memory>

namespace almondpier {

/// Identifies an admitted request at its owner. Chosen by the submitter and
/// never reused.
struct Ticket {
  uint64_t m_Value = 0;
  friend auto operator<=>(const Ticket &, const Ticket &) = default;
};

struct CompletedRequest {
  Ticket m_Ticket;
  RequestResult m_Result;
};

struct OwnerOptions {
  HostName m_Host;
  AvailabilityZone m_Zone;
  uint64_t m_Incarnation = 0;
};

/// Queues, connection pools, read routing, write acknowledgement, transactions
/// and probing of groups.
class OwnerController {
public:
  OwnerController(const OwnerOptions &Options, ProxyBlackboard &Board);
  ~OwnerController();
  OwnerController(const OwnerController &) = delete;
  OwnerController &operator=(const OwnerController &) = delete;

  /// Every submitted request completes exactly once, by its deadline.
  void submit(Ticket Ticket, const AdmittedRequest &Request, Time Now);
  /// The submitter no longer needs the result.
  void cancel(Ticket Ticket, Time Now);
  void handle(const InstanceAnswered &Event, Time Now);
  void handle(const ConnectionClosed &Event, Time Now);
  void handle(const ProbeAnswered &Event, Time Now);
  /// The configuration or the observers on the blackboard changed.
  void onConfigurationChanged(Time Now);
  void tick(Time Now);

  /// Actions and results since the last call.
  ProxyActions takeActions();
  std::vector<CompletedRequest> takeCompleted();
  /// Requests queued or running, and open transactions; 0 lets the process end.
  size_t workInProgress() const;
  CounterList counters() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace almondpier
