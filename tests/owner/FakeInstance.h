/// \file
/// An in-memory database instance for the tests of the owner. Statements are
/// opaque texts; the data of an instance is the list of statements in its log.
#pragma once

#include "decision/proxy/ProxyEvents.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace almondpier::testing {

struct FakeEntry {
  uint64_t m_Term = 0;
  std::string m_RequestId;
  std::string m_Digest;
  /// Empty in the first entry of a term.
  std::string m_Statement;

  friend bool operator==(const FakeEntry &, const FakeEntry &) = default;
};

/// Identifies a connection by owner index and connection identifier.
using FakeConnectionKey = std::pair<size_t, uint64_t>;
struct FakeTransaction {
  uint64_t m_Term = 0;
  std::vector<std::string> m_Statements;
};

class FakeInstance {
public:
  explicit FakeInstance(InstanceName Name) : m_Name(std::move(Name)) {}

  Position position() const {
    return {m_Log.empty() ? 0 : m_Log.back().m_Term, m_Log.size()};
  }
  InstanceStatus status() const {
    return {m_Name, position(), m_SealedTerm, m_IsPrimary};
  }
  bool seal(uint64_t Term) {
    if (Term < m_SealedTerm)
      return false;
    if (Term > m_SealedTerm)
      m_IsPrimary = false;
    m_SealedTerm = Term;
    return true;
  }
  /// Appends the first entry of the term and returns the start index of the
  /// term.
  uint64_t promote(uint64_t Term) {
    uint64_t Start = m_Log.size();
    m_Log.push_back({Term, "", "", ""});
    m_IsPrimary = true;
    return Start;
  }
  /// Removes the entries that differ from the log of the primary and copies at
  /// most Batch entries from it. The instance must be sealed for the term of
  /// the primary.
  void replicateFrom(const FakeInstance &Primary, size_t Batch) {
    size_t Match = 0;
    while (Match < m_Log.size() && Match < Primary.m_Log.size() &&
           m_Log[Match] == Primary.m_Log[Match])
      ++Match;
    m_Log.resize(Match);
    for (size_t Index = Match;
         Index < Primary.m_Log.size() && Index < Match + Batch; ++Index)
      m_Log.push_back(Primary.m_Log[Index]);
  }
  void restart() {
    m_IsPrimary = false;
    m_Transactions.clear();
  }

  /// Executes a statement that arrived on a connection.
  InstanceAnswer execute(const FakeConnectionKey &Key,
                         const SendStatement &Statement) {
    bool IsStep = Statement.m_Kind == RequestKind::Execute ||
                  Statement.m_Kind == RequestKind::Commit ||
                  Statement.m_Kind == RequestKind::Rollback;
    if (!IsStep && m_Transactions.contains(Key))
      m_HasMixedTransactions = true;
    switch (Statement.m_Kind) {
    case RequestKind::Read:
      if (Statement.m_Term != 0 && !isPrimaryIn(Statement.m_Term))
        return refused();
      return {200, position(), Statement.m_Statement + "|" + contents(), false,
              false};
    case RequestKind::Outcome:
      return lookUp(Statement);
    case RequestKind::Write:
      return write(Statement, Statement.m_Term, {Statement.m_Statement});
    case RequestKind::Begin:
      if (!isPrimaryIn(Statement.m_Term))
        return refused();
      m_Transactions[Key] = {Statement.m_Term, {}};
      return {200, position(), "", false, false};
    case RequestKind::Execute:
    case RequestKind::Commit:
    case RequestKind::Rollback:
      return executeInTransaction(Key, Statement);
    }
    return refused();
  }

  /// Returns the statements of the log, each followed by a comma.
  std::string contents() const {
    std::string Text;
    for (const FakeEntry &Entry : m_Log)
      if (!Entry.m_Statement.empty())
        Text += Entry.m_Statement + ",";
    return Text;
  }

  InstanceName m_Name;
  std::vector<FakeEntry> m_Log;
  uint64_t m_SealedTerm = 0;
  bool m_IsPrimary = false;
  bool m_IsUp = true;
  std::map<FakeConnectionKey, FakeTransaction> m_Transactions;
  /// Statements that changed data or ran in a transaction.
  std::set<std::string> m_Executed;
  /// Set when a transaction received statements of two callers, or another
  /// request arrived on its connection.
  bool m_HasMixedTransactions = false;

private:
  bool isPrimaryIn(uint64_t Term) const {
    return m_IsPrimary && m_SealedTerm == Term;
  }
  InstanceAnswer refused() const { return {409, position(), "", false, false}; }

  InstanceAnswer lookUp(const SendStatement &Statement) const {
    if (Statement.m_Term != 0 && !isPrimaryIn(Statement.m_Term))
      return refused();
    for (size_t Index = 0; Index < m_Log.size(); ++Index) {
      const FakeEntry &Entry = m_Log[Index];
      if (Entry.m_RequestId.empty() ||
          Entry.m_RequestId != Statement.m_RequestId)
        continue;
      if (!Statement.m_StatementDigest.empty() &&
          Statement.m_StatementDigest != Entry.m_Digest)
        return {422, position(), "", false, true};
      return {200, {Entry.m_Term, Index + 1}, "ok", false, false};
    }
    return {404, position(), "", false, false};
  }

  InstanceAnswer write(const SendStatement &Statement, uint64_t Term,
                       const std::vector<std::string> &Parts) {
    if (!isPrimaryIn(Term))
      return refused();
    if (!Statement.m_RequestId.empty()) {
      InstanceAnswer Known = lookUp(Statement);
      if (Known.m_HttpStatus != 404)
        return Known;
    }
    std::string Text;
    for (const std::string &Part : Parts)
      Text += (Text.empty() ? "" : ",") + Part;
    m_Executed.insert(Parts.begin(), Parts.end());
    m_Log.push_back({m_SealedTerm, Statement.m_RequestId,
                     Statement.m_StatementDigest, Text});
    return {200, position(), "ok", false, false};
  }

  InstanceAnswer executeInTransaction(const FakeConnectionKey &Key,
                                      const SendStatement &Statement) {
    auto Found = m_Transactions.find(Key);
    if (Found == m_Transactions.end() || !isPrimaryIn(Found->second.m_Term))
      return refused();
    FakeTransaction &Open = Found->second;
    if (Statement.m_Kind == RequestKind::Execute) {
      // Each statement begins with the name of its caller and a colon.
      const std::string &Text = Statement.m_Statement;
      if (!Open.m_Statements.empty() &&
          Open.m_Statements.front().substr(0, Text.find(':')) !=
              Text.substr(0, Text.find(':')))
        m_HasMixedTransactions = true;
      Open.m_Statements.push_back(Text);
      m_Executed.insert(Text);
      return {200, position(), Text + "|", false, false};
    }
    FakeTransaction Ended = Open;
    m_Transactions.erase(Found);
    if (Statement.m_Kind == RequestKind::Rollback || Ended.m_Statements.empty())
      return {200, {}, "", false, false};
    return write(Statement, Ended.m_Term, Ended.m_Statements);
  }
};

} // namespace almondpier::testing
