/// \file
/// Bounds the age of the data that a replica holds.
#pragma once

#include "almondpier/Model.h"

#include <deque>

namespace almondpier {

/// Collects (time, position) samples of the primary's log. A sample from a
/// probe sent at time s that reported position q proves that data at q or later
/// contains every write acknowledged before s. This holds only if a majority of
/// the group, probed at or after s, was not sealed for a later term. Positions
/// compare by term first: a log that contains the first entry of a later term
/// contains every write acknowledged in an earlier term.
class StalenessTracker {
public:
  /// Adds the position that the primary reported in answer to the probe Probe,
  /// which was sent at SentAt.
  void addSample(Time SentAt, uint64_t Probe, Position Position);
  /// Accepts the samples of probes up to Probe: a majority, still in the term,
  /// answered probes with this identifier or a later one.
  void confirm(uint64_t Probe);
  /// Drops unconfirmed samples, which belong to the previous term.
  void onTermChanged() { m_Unconfirmed.clear(); }

  /// Returns the latest known time such that data at Position contains every
  /// write acknowledged before it. Returns nothing if that time is before
  /// NotBefore.
  std::optional<Time> freshAsOf(Position Position, Time NotBefore) const;

private:
  struct Sample {
    Time m_SentAt{};
    uint64_t m_Probe = 0;
    Position m_Position;
  };

  void addConfirmed(const Sample &New);

  std::deque<Sample> m_Unconfirmed;
  /// Sorted by time and position, both ascending.
  std::deque<Sample> m_Confirmed;
};

} // namespace almondpier
