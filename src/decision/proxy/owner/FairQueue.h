/// \file
/// Request queue that is fair between organisations.
#pragma once

#include "almondpier/Model.h"

#include <list>
#include <unordered_map>

namespace almondpier {

struct PendingRequest;

/// Deficit round robin over one queue per organisation. An organisation's
/// weight is its rate limit in the current preset.
class FairQueue {
public:
  using RequestList = std::list<PendingRequest *>;
  /// Maximum number of queued requests of one organisation.
  static constexpr size_t kMaxPerOrganisation = 2'000;

  /// Sets the weights to the rate limits of the preset.
  void configure(const Preset &Preset);

  /// Returns whether the organisation's queue can take one more request.
  bool hasRoom(const OrganisationName &Organisation) const;
  void pushBack(PendingRequest &Request);
  /// Puts a request that was dequeued but not executed at the front of its
  /// organisation's queue.
  void pushFront(PendingRequest &Request);
  /// Removes a request from any place in the queue.
  void remove(PendingRequest &Request);

  /// Advances the round robin to the next request and returns it without
  /// removing it. The queue must not be empty.
  PendingRequest &selectNext();
  /// Removes the request that selectNext() returned and deducts it from its
  /// organisation's deficit counter.
  void popSelected();

  bool empty() const { return m_Size == 0; }
  size_t size() const { return m_Size; }
  /// Estimates how many requests are served before a new one of this
  /// organisation.
  size_t estimateRequestsAhead(const OrganisationName &Organisation) const;

private:
  struct OrganisationQueue {
    double m_Weight = 1;
    double m_Deficit = 0;
    RequestList m_Requests;
    std::list<OrganisationQueue *>::iterator m_ActiveIterator;
    bool m_IsActive = false;
  };

  OrganisationQueue &queueFor(const OrganisationName &Organisation);
  void activate(OrganisationQueue &Queue);
  void deactivate(OrganisationQueue &Queue);
  double quantumFor(const OrganisationQueue &Queue) const;

  Preset m_Preset;
  std::unordered_map<OrganisationName, OrganisationQueue> m_Queues;
  /// Non-empty queues in round-robin order.
  std::list<OrganisationQueue *> m_ActiveQueues;
  double m_TotalActiveWeight = 0;
  size_t m_Size = 0;
};

} // namespace almondpier
