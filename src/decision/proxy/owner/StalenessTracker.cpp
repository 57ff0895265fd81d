#include "decision/proxy/owner/StalenessTracker.h"

namespace almondpier {

void StalenessTracker::addSample(Time SentAt, uint64_t Probe,
                                 Position Position) {
  constexpr size_t kMaxUnconfirmed = 64;
  m_Unconfirmed.push_back({SentAt, Probe, Position});
  if (m_Unconfirmed.size() > kMaxUnconfirmed)
    m_Unconfirmed.pop_front();
}

void StalenessTracker::confirm(uint64_t Probe) {
  std::erase_if(m_Unconfirmed, [&](const Sample &Entry) {
    if (Entry.m_Probe > Probe)
      return false;
    addConfirmed(Entry);
    return true;
  });
}

void StalenessTracker::addConfirmed(const Sample &New) {
  // Samples closer together than this are merged, so that kMaxSamples covers
  // about a minute.
  constexpr Duration kMinSpacing = std::chrono::milliseconds(50);
  constexpr size_t kMaxSamples = 1'200;
  if (!m_Confirmed.empty() && New.m_SentAt <= m_Confirmed.back().m_SentAt)
    return;
  // A later sample with the same or a lower position supersedes the earlier
  // ones.
  while (!m_Confirmed.empty() &&
         m_Confirmed.back().m_Position >= New.m_Position)
    m_Confirmed.pop_back();
  size_t Size = m_Confirmed.size();
  if (Size >= 2 &&
      m_Confirmed[Size - 1].m_SentAt - m_Confirmed[Size - 2].m_SentAt <
          kMinSpacing)
    m_Confirmed.pop_back();
  m_Confirmed.push_back(New);
  if (m_Confirmed.size() > kMaxSamples)
    m_Confirmed.pop_front();
}

std::optional<Time> StalenessTracker::freshAsOf(Position Position,
                                                Time NotBefore) const {
  for (auto It = m_Confirmed.rbegin(); It != m_Confirmed.rend(); ++It) {
    if (It->m_SentAt < NotBefore)
      return std::nullopt;
    if (Position >= It->m_Position)
      return It->m_SentAt;
  }
  return std::nullopt;
}

} // namespace almondpier
