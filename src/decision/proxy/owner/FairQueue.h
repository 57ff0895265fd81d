/// \file
/// Queue that shares a scarce resource between organisations.
#pragma once

#include "almondpier/Model.h"

#include <list>
#include <unordered_map>

namespace almondpier {

struct PendingRequest;

/// Deficit round robin by organisation. Weights are the voted rates.
class FairQueue {
public:
  using RequestList = std::list<PendingRequest *>;
  /// Bound of the queue of one organisation.
  static constexpr size_t kMaxPerOrganisation = 2'000;

  /// Replaces the weights by the rates of the preset in force.
  void configure(const Preset &Preset);

  /// Returns whether the organisation has room for one more request.
  bool hasRoom(const OrganisationName &Organisation) const;
  void pushBack(PendingRequest &Request);
  /// Puts back a request that was served but did not run.
  void pushFront(PendingRequest &Request);
  /// Removes a request from wherever it stands.
  void remove(PendingRequest &Request);

  /// The request that is served next. The queue is not empty.
  PendingRequest &selectNext();
  /// Removes what next() returned and charges its organisation.
  void popSelected();

  bool empty() const { return m_Size == 0; }
  size_t size() const { return m_Size; }
  /// Number of requests served before a new one of this organisation.
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
  /// Organisations with queued requests in the order of their turns.
  std::list<OrganisationQueue *> m_ActiveQueues;
  double m_TotalActiveWeight = 0;
  size_t m_Size = 0;
};

} // namespace almondpier
