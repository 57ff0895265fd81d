#include "decision/proxy/owner/FairQueue.h"

#include "decision/proxy/owner/PendingRequest.h"

#include <algorithm>
#include <cmath>

namespace almondpier {

void FairQueue::configure(const Preset &Preset) {
  m_Preset = Preset;
  m_TotalActiveWeight = 0;
  std::erase_if(
      m_Queues,
      [](const std::pair<const OrganisationName, OrganisationQueue> &Entry) {
        return !Entry.second.m_IsActive;
      });
  for (std::pair<const OrganisationName, OrganisationQueue> &Entry : m_Queues) {
    Entry.second.m_Weight = m_Preset.limitOf(Entry.first).m_RatePerSecond;
    m_TotalActiveWeight += Entry.second.m_Weight;
  }
}

FairQueue::OrganisationQueue &
FairQueue::queueFor(const OrganisationName &Organisation) {
  auto Found = m_Queues.find(Organisation);
  if (Found != m_Queues.end())
    return Found->second;
  OrganisationQueue &New = m_Queues[Organisation];
  New.m_Weight = m_Preset.limitOf(Organisation).m_RatePerSecond;
  return New;
}

void FairQueue::activate(OrganisationQueue &Queue) {
  if (Queue.m_IsActive)
    return;
  Queue.m_IsActive = true;
  Queue.m_Deficit = 0;
  m_TotalActiveWeight += Queue.m_Weight;
  Queue.m_ActiveIterator = m_ActiveQueues.insert(m_ActiveQueues.end(), &Queue);
}

void FairQueue::deactivate(OrganisationQueue &Queue) {
  Queue.m_IsActive = false;
  m_TotalActiveWeight -= Queue.m_Weight;
  m_ActiveQueues.erase(Queue.m_ActiveIterator);
}

double FairQueue::quantumFor(const OrganisationQueue &Queue) const {
  // Quanta are relative to the mean weight, so that one round serves about as
  // many requests as there are active organisations.
  constexpr double kMinQuantum = 0.01;
  double Mean =
      m_TotalActiveWeight / static_cast<double>(m_ActiveQueues.size());
  return Mean <= 0 ? 1 : std::max(kMinQuantum, Queue.m_Weight / Mean);
}

bool FairQueue::hasRoom(const OrganisationName &Organisation) const {
  auto Found = m_Queues.find(Organisation);
  return Found == m_Queues.end() ||
         Found->second.m_Requests.size() < kMaxPerOrganisation;
}

void FairQueue::pushBack(PendingRequest &Request) {
  OrganisationQueue &Queue = queueFor(Request.m_Request.m_Organisation);
  Request.m_Queue = this;
  Request.m_QueueIterator =
      Queue.m_Requests.insert(Queue.m_Requests.end(), &Request);
  ++m_Size;
  activate(Queue);
}

void FairQueue::pushFront(PendingRequest &Request) {
  OrganisationQueue &Queue = queueFor(Request.m_Request.m_Organisation);
  Request.m_Queue = this;
  Request.m_QueueIterator =
      Queue.m_Requests.insert(Queue.m_Requests.begin(), &Request);
  ++m_Size;
  activate(Queue);
}

void FairQueue::remove(PendingRequest &Request) {
  OrganisationQueue &Queue = queueFor(Request.m_Request.m_Organisation);
  Queue.m_Requests.erase(Request.m_QueueIterator);
  Request.m_Queue = nullptr;
  --m_Size;
  if (Queue.m_Requests.empty())
    deactivate(Queue);
}

PendingRequest &FairQueue::selectNext() {
  while (true) {
    OrganisationQueue &Head = *m_ActiveQueues.front();
    if (Head.m_Deficit >= 1)
      return *Head.m_Requests.front();
    Head.m_Deficit += quantumFor(Head);
    if (Head.m_Deficit >= 1)
      return *Head.m_Requests.front();
    m_ActiveQueues.splice(m_ActiveQueues.end(), m_ActiveQueues,
                          m_ActiveQueues.begin());
  }
}

void FairQueue::popSelected() {
  OrganisationQueue &Head = *m_ActiveQueues.front();
  Head.m_Deficit -= 1;
  PendingRequest &Request = *Head.m_Requests.front();
  Head.m_Requests.pop_front();
  Request.m_Queue = nullptr;
  --m_Size;
  if (Head.m_Requests.empty()) {
    deactivate(Head);
    return;
  }
  if (Head.m_Deficit < 1)
    m_ActiveQueues.splice(m_ActiveQueues.end(), m_ActiveQueues,
                          m_ActiveQueues.begin());
}

size_t
FairQueue::estimateRequestsAhead(const OrganisationName &Organisation) const {
  auto Found = m_Queues.find(Organisation);
  if (Found == m_Queues.end() || !Found->second.m_IsActive) {
    // The first request of an organisation waits for about one turn of each
    // other organisation.
    return std::min(m_Size, m_ActiveQueues.size());
  }
  const OrganisationQueue &Queue = Found->second;
  double OwnRequests = static_cast<double>(Queue.m_Requests.size());
  double Ahead = std::ceil(OwnRequests * m_TotalActiveWeight / Queue.m_Weight);
  return std::min(m_Size, static_cast<size_t>(Ahead));
}

} // namespace almondpier
