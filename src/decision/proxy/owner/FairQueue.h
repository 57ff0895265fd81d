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
  using Items = std::list<PendingRequest *>;
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
  PendingRequest &next();
  /// Removes what next() returned and charges its organisation.
  void popNext();

  bool empty() const { return m_Size == 0; }
  size_t size() const { return m_Size; }
  /// Number of requests served before a new one of this organisation.
  size_t estimateAhead(const OrganisationName &Organisation) const;

private:
  struct Share {
    double m_Weight = 1;
    double m_Deficit = 0;
    Items m_Items;
    std::list<Share *>::iterator m_Turn;
    bool m_IsActive = false;
  };

  Share &shareOf(const OrganisationName &Organisation);
  void activate(Share &Share);
  void deactivate(Share &Share);
  double quantumOf(const Share &Share) const;

  Preset m_Preset;
  std::unordered_map<OrganisationName, Share> m_Shares;
  /// Organisations with queued requests in the order of their turns.
  std::list<Share *> m_Turns;
  double m_ActiveWeight = 0;
  size_t m_Size = 0;
};

} // namespace almondpier
