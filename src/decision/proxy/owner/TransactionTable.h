/// \file
/// Open transactions of one database.
#pragma once

#include "decision/proxy/owner/ConnectionPool.h"
#include "decision/proxy/owner/PendingRequest.h"

namespace almondpier {

constexpr Duration kTransactionIdleTimeout = std::chrono::seconds(10);
constexpr Duration kMaxTransactionDuration = std::chrono::seconds(30);

/// An open transaction. It pins one connection until it ends.
struct Transaction {
  uint64_t m_Number = 0;
  OrganisationName m_Organisation;
  KeyId m_Key;
  Connection *m_Connection = nullptr;
  Instance *m_Instance = nullptr;
  Time m_BegunAt{};
  Time m_LastUsedAt{};
  /// The queued or running statement, or null.
  PendingRequest *m_Statement = nullptr;
};

class TransactionTable {
public:
  Transaction &open(uint64_t Number, const PendingRequest &Begin,
                    Connection &Connection, Time Now);
  /// Returns null if there is no such transaction.
  Transaction *find(uint64_t Number);
  void close(const Transaction &Transaction);
  /// Returns the transactions that must be rolled back: idle or open for too
  /// long, or on an instance that has been draining for longer than
  /// DrainTimeout.
  std::vector<Transaction *> expired(Time Now, Duration DrainTimeout) const;
  /// Returns the transactions whose API key was revoked.
  std::vector<Transaction *> withRevokedKey(const Configuration &State) const;
  std::vector<Transaction *> all() const;
  size_t size() const { return m_Open.size(); }

private:
  using Entry = std::pair<const uint64_t, std::unique_ptr<Transaction>>;

  std::unordered_map<uint64_t, std::unique_ptr<Transaction>> m_Open;
};

/// Returns whether the API key exists and belongs to the organisation.
bool isKeyValid(const Configuration &State, const KeyId &Key,
                const OrganisationName &Organisation);

} // namespace almondpier
