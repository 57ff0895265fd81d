#include "decision/consensus/Rounds.h"

namespace almondpier {

uint64_t Rounds::begin(Time Now, Time ForgetBefore) {
  while (!m_SentAt.empty() && m_SentAt.front() < ForgetBefore)
    m_SentAt.pop_front();
  m_SentAt.push_back(Now);
  m_LastSentAt = Now;
  return ++m_Last;
}

Time Rounds::sentAt(uint64_t Round) const {
  if (Round > m_Last || m_Last - Round >= m_SentAt.size())
    return Time::min();
  return m_SentAt[m_SentAt.size() - 1 - (m_Last - Round)];
}

void Rounds::addRead(uint64_t Read, uint64_t Index, uint64_t Round) {
  m_Reads.push_back({Round, {Read, Index}});
}

std::vector<ConsensusOutput::ConfirmedRead>
Rounds::takeConfirmed(uint64_t Round) {
  std::vector<ConsensusOutput::ConfirmedRead> Result;
  while (!m_Reads.empty() && m_Reads.front().m_Round <= Round) {
    Result.push_back(m_Reads.front().m_Read);
    m_Reads.pop_front();
  }
  return Result;
}

std::vector<uint64_t> Rounds::takeWaiting() {
  std::vector<uint64_t> Result;
  for (const WaitingRead &Waiting : m_Reads)
    Result.push_back(Waiting.m_Read.m_Read);
  m_Reads.clear();
  return Result;
}

} // namespace almondpier
