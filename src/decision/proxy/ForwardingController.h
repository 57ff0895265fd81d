/// \file
/// Routes admitted requests to the owner of their database, and executes
/// requests that other proxies forward to this host.
#pragma once

#include "decision/proxy/LinkTable.h"
#include "decision/proxy/OwnerController.h"
#include "decision/proxy/OwnershipController.h"

#include <unordered_map>
#include <unordered_set>

namespace almondpier {

class ForwardingController {
public:
  struct FinishedRequest {
    CallerRequestId m_Id;
    RequestResult m_Result;
  };

  ForwardingController(const HostName &Host, const ProxyBlackboard &Board,
                       const OwnershipController &Ownership, LinkTable &Links,
                       OwnerController &Owner, ProxyActions &Actions);

  /// Every submitted request finishes exactly once unless it is cancelled.
  void submit(CallerRequestId Id, AdmittedRequest Request, Time Deadline,
              Time Now);
  /// The caller has disconnected.
  void cancel(CallerRequestId Id, Time Now);
  void onReply(LinkId Link, const ForwardReply &Reply, Time Now);
  void onRequest(LinkId Link, const ForwardRequest &Request, Time Now);
  void onCancel(LinkId Link, const ForwardCancel &Cancel, Time Now);
  void onLinkLost(LinkId Link, Time Now);
  void onCompleted(const CompletedRequest &Completed);
  /// The candidates or their links changed.
  void routeWaiting(Time Now);
  void tick(Time Now);
  /// Sets whether new work of this host's callers may run here, and whether new
  /// work forwarded by other hosts may.
  void setAvailability(bool AcceptsLocalWork, bool AcceptsForwardedWork);

  std::vector<FinishedRequest> takeFinished();
  /// Requests of callers, and requests forwarded by others, without an answer.
  size_t inProgress() const {
    return m_Requests.size() + m_ServedRequests.size();
  }
  CounterList counters() const;

private:
  struct InFlight {
    AdmittedRequest m_Request;
    Time m_Deadline;
    /// Set while the request runs at this host or at another one. Neither is
    /// set while it waits for a host.
    std::optional<Ticket> m_Ticket;
    std::optional<LinkId> m_Link;
    uint64_t m_Sequence = 0;
    HostName m_Target;
    /// Hosts that refused or lost the request since the last m_RetryAt was set.
    std::set<HostName> m_TriedHosts;
    Time m_RetryAt;
    uint32_t m_LostLinkCount = 0;
    /// A host whose link was lost may have run the request.
    bool m_MayHaveRun = false;
  };
  /// A request that another proxy forwarded.
  struct ServedRequest {
    LinkId m_Link;
    uint64_t m_Sequence = 0;
  };
  using Requests = std::unordered_map<uint64_t, InFlight>;

  void route(CallerRequestId Id, InFlight &Entry, Time Now);
  void routeTransactionStep(CallerRequestId Id, InFlight &Entry, Time Now);
  /// While shutting down, this host runs new work only if it is the only
  /// candidate.
  bool isOnlyCandidate(const DatabaseName &Database) const;
  void submitLocally(CallerRequestId Id, InFlight &Entry, Time Now);
  void forwardTo(CallerRequestId Id, InFlight &Entry, const HostName &Host,
                 LinkId Link, Time Now);
  /// Returns false when Host cannot be reached now and another may be tried.
  bool tryHost(CallerRequestId Id, InFlight &Entry, const HostName &Host,
               Time Now);
  void finish(CallerRequestId Id, RequestResult Result);
  void fail(CallerRequestId Id, const InFlight &Entry, ErrorKind Kind,
            const std::string &Message, Ran Ran);
  void onTargetLost(CallerRequestId Id, InFlight &Entry, Time Now);
  void expire(CallerRequestId Id, InFlight &Entry, Time Now);
  void refuseForwarded(LinkId Link, uint64_t Sequence, ErrorKind Kind,
                       const std::string &Message);

  HostName m_Host;
  const ProxyBlackboard &m_Board;
  const OwnershipController &m_Ownership;
  LinkTable &m_Links;
  OwnerController &m_Owner;
  ProxyActions &m_Actions;
  bool m_AcceptsLocalWork = false;
  bool m_AcceptsForwardedWork = false;
  Requests m_Requests;
  std::unordered_set<uint64_t> m_Waiting;
  std::unordered_map<uint64_t, CallerRequestId> m_BySequence;
  std::unordered_map<uint64_t, CallerRequestId> m_ByTicket;
  std::unordered_map<uint64_t, ServedRequest> m_ServedRequests;
  std::map<std::pair<LinkId, uint64_t>, Ticket> m_ServedTickets;
  std::vector<FinishedRequest> m_Finished;
  uint64_t m_LastSequence = 0;
  uint64_t m_LastTicket = 0;
  Time m_LastExpiry;
  uint64_t m_LocalCount = 0;
  uint64_t m_ForwardedCount = 0;
  uint64_t m_ServedCount = 0;
  uint64_t m_RetriedCount = 0;
  uint64_t m_LateReplyCount = 0;
  uint64_t m_UnknownCount = 0;
};

} // namespace almondpier
