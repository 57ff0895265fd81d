/// \file
/// Proves how old the data of a replica can be.
#pragma once

#include "almondpier/Model.h"

#include <deque>

namespace almondpier {

/// Samples of the primary's position. A sample sent at time s with position q
/// proves that data at q or later lacks no write acknowledged before s, once a
/// majority of the group, asked at or after s, was not sealed for a later term.
/// Positions compare by term first: a log that holds the entry that begins a
/// later term holds every write acknowledged in an earlier one.
class StalenessTracker {
public:
  /// Adds an answer of the primary to probe Probe, sent at SentAt.
  void addSample(Time SentAt, uint64_t Probe, Position Position);
  /// A majority answered probes of at least this identifier in the term.
  void confirm(uint64_t Probe);
  /// Unconfirmed samples belong to the term that ended.
  void onTermChanged() { m_Unconfirmed.clear(); }

  /// Data at Position lacks nothing acknowledged before the returned moment.
  /// Moments before NotBefore are of no use and not searched for.
  std::optional<Time> freshAsOf(Position Position, Time NotBefore) const;

private:
  struct Sample {
    Time m_SentAt{};
    uint64_t m_Probe = 0;
    Position m_Position;
  };

  void addConfirmed(const Sample &New);

  std::deque<Sample> m_Unconfirmed;
  /// Ascending in time and position.
  std::deque<Sample> m_Confirmed;
};

} // namespace almondpier
