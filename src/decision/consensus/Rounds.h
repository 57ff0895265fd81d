/// \file
/// Heartbeat rounds of a leader and the reads that wait for them.
#pragma once

#include "decision/consensus/Consensus.h"

#include <deque>

namespace almondpier {

class Rounds {
public:
  uint64_t current() const { return m_Last; }
  Time lastSentAt() const { return m_LastSentAt; }
  /// Begins a round whose messages are sent at Now. Rounds sent before
  /// ForgetBefore no longer have a known send time.
  uint64_t begin(Time Now, Time ForgetBefore);
  /// Returns when the round was sent, or Time::min() for a forgotten round.
  Time sentAt(uint64_t Round) const;

  /// Adds a read that the given round or a later one confirms.
  void addRead(uint64_t Read, uint64_t Index, uint64_t Round);
  /// Removes and returns the reads that a majority has confirmed with Round.
  std::vector<ConsensusOutput::ConfirmedRead> takeConfirmed(uint64_t Round);
  /// Removes and returns the numbers of all waiting reads.
  std::vector<uint64_t> takeWaiting();

private:
  struct WaitingRead {
    uint64_t m_Round;
    ConsensusOutput::ConfirmedRead m_Read;
  };

  uint64_t m_Last = 0;
  Time m_LastSentAt = Time::min();
  /// Send times of the last rounds; the back is that of m_Last.
  std::deque<Time> m_SentAt;
  std::deque<WaitingRead> m_Reads;
};

} // namespace almondpier
