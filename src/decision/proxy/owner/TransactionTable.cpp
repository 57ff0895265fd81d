#include "decision/proxy/owner/TransactionTable.h"

#include "decision/proxy/owner/Instance.h"

namespace almondpier {

Transaction &TransactionTable::open(uint64_t Number,
                                    const PendingRequest &Begin,
                                    Connection &Connection, Time Now) {
  std::unique_ptr<Transaction> New = std::make_unique<Transaction>();
  New->m_Number = Number;
  New->m_Organisation = Begin.m_Request.m_Organisation;
  New->m_Key = Begin.m_Request.m_Key;
  New->m_Connection = &Connection;
  New->m_Instance = Connection.m_Instance;
  New->m_BegunAt = Now;
  New->m_LastUsedAt = Now;
  Transaction &Opened = *New;
  m_Open.emplace(Number, std::move(New));
  return Opened;
}

Transaction *TransactionTable::find(uint64_t Number) {
  auto Found = m_Open.find(Number);
  return Found == m_Open.end() ? nullptr : Found->second.get();
}

void TransactionTable::close(const Transaction &Transaction) {
  m_Open.erase(Transaction.m_Number);
}

std::vector<Transaction *>
TransactionTable::expired(Time Now, Duration DrainTimeout) const {
  std::vector<Transaction *> Result;
  for (const Entry &Candidate : m_Open) {
    bool IsIdle =
        Candidate.second->m_Statement == nullptr &&
        Now - Candidate.second->m_LastUsedAt >= kTransactionIdleTimeout;
    bool IsOld = Now - Candidate.second->m_BegunAt >= kMaxTransactionDuration;
    bool IsDrained =
        Candidate.second->m_Instance->m_IsDraining &&
        Now - Candidate.second->m_Instance->m_DrainingSince >= DrainTimeout;
    if (IsIdle || IsOld || IsDrained)
      Result.push_back(Candidate.second.get());
  }
  return Result;
}

std::vector<Transaction *>
TransactionTable::withRevokedKey(const Configuration &State) const {
  std::vector<Transaction *> Result;
  for (const Entry &Candidate : m_Open)
    if (!isKeyValid(State, Candidate.second->m_Key,
                    Candidate.second->m_Organisation))
      Result.push_back(Candidate.second.get());
  return Result;
}

std::vector<Transaction *> TransactionTable::all() const {
  std::vector<Transaction *> Result;
  Result.reserve(m_Open.size());
  for (const Entry &Candidate : m_Open)
    Result.push_back(Candidate.second.get());
  return Result;
}

bool isKeyValid(const Configuration &State, const KeyId &Key,
                const OrganisationName &Organisation) {
  auto Found = State.keys().find(Key);
  return Found != State.keys().end() &&
         Found->second.m_Organisation == Organisation;
}

} // namespace almondpier
