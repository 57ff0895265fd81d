#include "decision/proxy/owner/FairQueue.h"

#include "decision/proxy/owner/PendingRequest.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

void FairQueue::configure(const Preset &Preset) {
  m_Preset = Preset;
  m_ActiveWeight = 0;
  std::erase_if(m_Shares,
                [](const std::pair<const OrganisationName, Share> &Entry) {
                  return !Entry.second.m_IsActive;
                });
  for (std::pair<const OrganisationName, Share> &Entry : m_Shares) {
    Entry.second.m_Weight = m_Preset.limitOf(Entry.first).m_RatePerSecond;
    m_ActiveWeight += Entry.second.m_Weight;
  }
}

FairQueue::Share &FairQueue::shareOf(const OrganisationName &Organisation) {
  auto Found = m_Shares.find(Organisation);
  if (Found != m_Shares.end())
    return Found->second;
  Share &New = m_Shares[Organisation];
  New.m_Weight = m_Preset.limitOf(Organisation).m_RatePerSecond;
  return New;
}

void FairQueue::activate(Share &Share) {
  if (Share.m_IsActive)
    return;
  Share.m_IsActive = true;
  Share.m_Deficit = 0;
  m_ActiveWeight += Share.m_Weight;
  Share.m_Turn = m_Turns.insert(m_Turns.end(), &Share);
}

void FairQueue::deactivate(Share &Share) {
  Share.m_IsActive = false;
  m_ActiveWeight -= Share.m_Weight;
  m_Turns.erase(Share.m_Turn);
}

double FairQueue::quantumOf(const Share &Share) const {
  // Quanta are relative to the mean weight, so that one round serves about as
  // many requests as there are organisations.
  constexpr double kMinQuantum = 0.01;
  double Mean = m_ActiveWeight / static_cast<double>(m_Turns.size());
  return Mean <= 0 ? 1 : std::max(kMinQuantum, Share.m_Weight / Mean);
}

bool FairQueue::hasRoom(const OrganisationName &Organisation) const {
  auto Found = m_Shares.find(Organisation);
  return Found == m_Shares.end() ||
         Found->second.m_Items.size() < kMaxPerOrganisation;
}

void FairQueue::pushBack(PendingRequest &Request) {
  Share &Share = shareOf(Request.m_Request.m_Organisation);
  Request.m_Lane = this;
  Request.m_LanePlace = Share.m_Items.insert(Share.m_Items.end(), &Request);
  ++m_Size;
  activate(Share);
}

void FairQueue::pushFront(PendingRequest &Request) {
  Share &Share = shareOf(Request.m_Request.m_Organisation);
  Request.m_Lane = this;
  Request.m_LanePlace = Share.m_Items.insert(Share.m_Items.begin(), &Request);
  ++m_Size;
  activate(Share);
}

void FairQueue::remove(PendingRequest &Request) {
  Share &Share = shareOf(Request.m_Request.m_Organisation);
  Share.m_Items.erase(Request.m_LanePlace);
  Request.m_Lane = nullptr;
  --m_Size;
  if (Share.m_Items.empty())
    deactivate(Share);
}

PendingRequest &FairQueue::next() {
  while (true) {
    Share &Head = *m_Turns.front();
    if (Head.m_Deficit >= 1)
      return *Head.m_Items.front();
    Head.m_Deficit += quantumOf(Head);
    if (Head.m_Deficit >= 1)
      return *Head.m_Items.front();
    m_Turns.splice(m_Turns.end(), m_Turns, m_Turns.begin());
  }
}

void FairQueue::popNext() {
  Share &Head = *m_Turns.front();
  Head.m_Deficit -= 1;
  PendingRequest &Request = *Head.m_Items.front();
  Head.m_Items.pop_front();
  Request.m_Lane = nullptr;
  --m_Size;
  if (Head.m_Items.empty()) {
    deactivate(Head);
    return;
  }
  if (Head.m_Deficit < 1)
    m_Turns.splice(m_Turns.end(), m_Turns, m_Turns.begin());
}

size_t FairQueue::estimateAhead(const OrganisationName &Organisation) const {
  auto Found = m_Shares.find(Organisation);
  if (Found == m_Shares.end() || !Found->second.m_IsActive) {
    // A first request waits for about one turn of each other organisation.
    return std::min(m_Size, m_Turns.size());
  }
  const Share &Share = Found->second;
  double Own = static_cast<double>(Share.m_Items.size());
  double Ahead = std::ceil(Own * m_ActiveWeight / Share.m_Weight);
  return std::min(m_Size, static_cast<size_t>(Ahead));
}

} // namespace almondpier
