#include "standin/Records.h"
#include "standin/Statement.h"

#include <algorithm>

namespace almondpier {

/// Entries in one answer to a replica.
constexpr size_t kMaxEntriesPerPart = 500;

std::string_view nameOf(StandInRole Role) {
  switch (Role) {
  case StandInRole::Primary:
    return "primary";
  case StandInRole::Replica:
    return "replica";
  default:
    return "idle";
  }
}

static StandInAnswer refuse(int Status, const std::string &Message) {
  return StandInAnswer{Status, errorBody(Message), {}, Ran::No, false};
}

static StandInAnswer invalidStatement() {
  return refuse(400, "the body is not a statement");
}

StandInInstance::StandInInstance(InstanceName Name, Recorder Record)
    : m_Name(std::move(Name)), m_Record(std::move(Record)) {}

void StandInInstance::restore(std::string_view Record) {
  StandInRecord Decoded = decodeRecord(Record);
  if (StandInEntry *Entry = std::get_if<StandInEntry>(&Decoded)) {
    applyEntry(std::move(*Entry));
  } else if (StandInSealRecord *Seal =
                 std::get_if<StandInSealRecord>(&Decoded)) {
    stepDown(Seal->m_Term);
  } else if (StandInPromoteRecord *Promote =
                 std::get_if<StandInPromoteRecord>(&Decoded)) {
    stepDown(Promote->m_Term);
    m_PrimaryTerm = Promote->m_Term;
  } else if (StandInSource *Source = std::get_if<StandInSource>(&Decoded)) {
    stepDown(Source->m_Term);
    m_Source = *Source;
  } else {
    truncateTo(std::get<StandInTruncateRecord>(Decoded).m_Index);
  }
}

Position StandInInstance::position() const {
  return m_Log.empty() ? Position{} : m_Log.back().m_Position;
}

StandInStatus StandInInstance::status() const {
  StandInRole Role = StandInRole::Idle;
  if (m_PrimaryTerm != 0)
    Role = StandInRole::Primary;
  else if (m_Source)
    Role = StandInRole::Replica;
  return StandInStatus{m_Name, position(), m_SealedTerm, Role};
}

// Statements.

std::optional<StandInAnswer>
StandInInstance::refusalUnlessPrimary(uint64_t Term) const {
  if (m_PrimaryTerm == 0)
    return refuse(409, "this instance is not the primary");
  if (m_PrimaryTerm != Term)
    return refuse(409, "this instance is the primary of term " +
                           std::to_string(m_PrimaryTerm) + ", not of " +
                           std::to_string(Term));
  return std::nullopt;
}

std::optional<StandInAnswer>
StandInInstance::recordedOutcome(const std::string &RequestId,
                                 const std::string &Digest) const {
  auto Known = m_Outcomes.find(RequestId);
  if (RequestId.empty() || Known == m_Outcomes.end())
    return std::nullopt;
  const StandInEntry &Entry = m_Log.at(Known->second - 1);
  if (Entry.m_StatementDigest == Digest)
    return StandInAnswer{200, Entry.m_Result, Entry.m_Position, Ran::Yes,
                         false};
  StandInAnswer Answer =
      refuse(422, "the request identifier was used with another statement");
  Answer.m_IsMismatch = true;
  return Answer;
}

bool StandInInstance::isLockedForOthers(const std::string &Key,
                                        const Transaction *Own) const {
  return std::any_of(m_Transactions.begin(), m_Transactions.end(),
                     [&](const std::pair<const uint64_t, Transaction> &Open) {
                       return &Open.second != Own &&
                              Open.second.m_Written.contains(Key);
                     });
}

static StandInAnswer lockedAnswer(const std::string &Key) {
  return refuse(422, "an open transaction has written '" + Key + "'");
}

StandInAnswer StandInInstance::read(std::optional<uint64_t> Term,
                                    std::string_view Statement) const {
  if (Term)
    if (std::optional<StandInAnswer> Refusal = refusalUnlessPrimary(*Term))
      return *Refusal;
  std::optional<StandInStatement> Parsed = parseStatement(Statement);
  if (!Parsed)
    return invalidStatement();
  if (Parsed->writes())
    return refuse(400, "a read must not write; send the statement as a write");
  return StandInAnswer{200, evaluate(*Parsed, m_Rows, {}).m_Result, position(),
                       Ran::Yes, false};
}

StandInAnswer StandInInstance::write(uint64_t Term, std::string_view Statement,
                                     const std::string &RequestId,
                                     const std::string &Digest) {
  if (std::optional<StandInAnswer> Refusal = refusalUnlessPrimary(Term))
    return *Refusal;
  if (std::optional<StandInAnswer> Known = recordedOutcome(RequestId, Digest))
    return *Known;
  std::optional<StandInStatement> Parsed = parseStatement(Statement);
  if (!Parsed)
    return invalidStatement();
  if (Parsed->writes() && isLockedForOthers(Parsed->m_Key, nullptr))
    return lockedAnswer(Parsed->m_Key);
  StandInEvaluation Result = evaluate(*Parsed, m_Rows, {});
  if (Result.m_Error)
    return refuse(422, *Result.m_Error);
  StandInEntry Entry;
  Entry.m_RequestId = RequestId;
  Entry.m_StatementDigest = Digest;
  Entry.m_Result = Result.m_Result;
  if (Result.m_Effect)
    Entry.m_Effects.push_back(*Result.m_Effect);
  return appendEntry(std::move(Entry));
}

StandInAnswer StandInInstance::appendEntry(StandInEntry Entry) {
  Entry.m_Position = Position{m_PrimaryTerm, m_Log.size() + 1};
  m_Record(encodeRecord(Entry));
  StandInAnswer Answer{200, Entry.m_Result, Entry.m_Position, Ran::Yes, false};
  applyEntry(std::move(Entry));
  return Answer;
}

StandInAnswer StandInInstance::begin(uint64_t Connection, uint64_t Term) {
  if (std::optional<StandInAnswer> Refusal = refusalUnlessPrimary(Term))
    return *Refusal;
  if (m_Transactions.contains(Connection))
    return refuse(400, "the connection has a transaction already");
  m_Transactions.emplace(Connection, Transaction{});
  return StandInAnswer{200, "{}", position(), Ran::Yes, false};
}

static StandInAnswer noTransaction() {
  return refuse(409, "the connection has no transaction; begin one");
}

StandInAnswer StandInInstance::execute(uint64_t Connection,
                                       std::string_view Statement) {
  auto Open = m_Transactions.find(Connection);
  if (Open == m_Transactions.end())
    return noTransaction();
  Transaction &Own = Open->second;
  std::optional<StandInStatement> Parsed = parseStatement(Statement);
  if (!Parsed)
    return invalidStatement();
  if (Parsed->writes() && isLockedForOthers(Parsed->m_Key, &Own))
    return lockedAnswer(Parsed->m_Key);
  StandInEvaluation Result = evaluate(*Parsed, m_Rows, Own.m_Written);
  if (Result.m_Error)
    return refuse(422, *Result.m_Error);
  if (Result.m_Effect) {
    const std::string &Key = Result.m_Effect->m_Key;
    auto Committed = m_Rows.find(Key);
    if (Committed != m_Rows.end())
      Own.m_Written.emplace(Key, Committed->second);
    applyEffect(*Result.m_Effect, Own.m_Written);
    Own.m_Effects.push_back(*Result.m_Effect);
  }
  return StandInAnswer{200, Result.m_Result, position(), Ran::Yes, false};
}

StandInAnswer StandInInstance::commit(uint64_t Connection,
                                      const std::string &RequestId,
                                      const std::string &Digest) {
  if (std::optional<StandInAnswer> Known = recordedOutcome(RequestId, Digest)) {
    m_Transactions.erase(Connection);
    return *Known;
  }
  auto Open = m_Transactions.find(Connection);
  if (Open == m_Transactions.end())
    return noTransaction();
  StandInEntry Entry;
  Entry.m_RequestId = RequestId;
  Entry.m_StatementDigest = Digest;
  Entry.m_Result =
      "{\"committed\":" + std::to_string(Open->second.m_Effects.size()) + "}";
  Entry.m_Effects = std::move(Open->second.m_Effects);
  m_Transactions.erase(Open);
  return appendEntry(std::move(Entry));
}

StandInAnswer StandInInstance::rollback(uint64_t Connection) {
  if (m_Transactions.erase(Connection) == 0)
    return noTransaction();
  return StandInAnswer{200, "", position(), Ran::Yes, false};
}

void StandInInstance::onConnectionClosed(uint64_t Connection) {
  m_Transactions.erase(Connection);
}

StandInAnswer StandInInstance::outcome(std::optional<uint64_t> Term,
                                       const std::string &RequestId,
                                       const std::string &Digest) const {
  if (Term)
    if (std::optional<StandInAnswer> Refusal = refusalUnlessPrimary(*Term))
      return *Refusal;
  auto Known = m_Outcomes.find(RequestId);
  if (Known == m_Outcomes.end())
    return refuse(404, "no outcome is recorded for this request identifier");
  const StandInEntry &Entry = m_Log.at(Known->second - 1);
  return *recordedOutcome(RequestId,
                          Digest.empty() ? Entry.m_StatementDigest : Digest);
}

// Terms.

void StandInInstance::stepDown(uint64_t Term) {
  if (Term > m_PrimaryTerm) {
    m_PrimaryTerm = 0;
    m_Transactions.clear();
  }
  if (m_Source && m_Source->m_Term < Term)
    m_Source.reset();
  m_SealedTerm = std::max(m_SealedTerm, Term);
}

bool StandInInstance::seal(uint64_t Term) {
  if (Term < m_SealedTerm)
    return false;
  if (Term == m_SealedTerm)
    return true;
  m_Record(encodeRecord(StandInSealRecord{Term}));
  stepDown(Term);
  return true;
}

std::optional<uint64_t> StandInInstance::promote(uint64_t Term) {
  if (Term == 0 || Term != m_SealedTerm || m_Source)
    return std::nullopt;
  if (m_PrimaryTerm != Term) {
    m_Record(encodeRecord(StandInPromoteRecord{Term}));
    m_PrimaryTerm = Term;
  }
  // A stop between the two records leaves a promotion without its entry.
  if (position().m_Term != Term)
    appendEntry(StandInEntry{});
  auto First =
      std::find_if(m_Log.begin(), m_Log.end(), [&](const StandInEntry &Entry) {
        return Entry.m_Position.m_Term == Term;
      });
  return First->m_Position.m_Index - 1;
}

bool StandInInstance::follow(const StandInSource &Source) {
  if (Source.m_Term < m_SealedTerm || Source.m_Term == m_PrimaryTerm)
    return false;
  if (m_Source == Source)
    return true;
  m_Record(encodeRecord(Source));
  stepDown(Source.m_Term);
  m_Source = Source;
  return true;
}

// Replication.

StandInLogBatch StandInInstance::entriesAfter(Position After, uint64_t Term,
                                              uint64_t MaxIndex) const {
  StandInLogBatch Batch;
  if (m_PrimaryTerm == 0 || m_PrimaryTerm != Term)
    return Batch;
  Batch.m_IsPrimary = true;
  bool IsMatch =
      After.m_Index == 0 || (After.m_Index <= m_Log.size() &&
                             m_Log[After.m_Index - 1].m_Position == After);
  if (!IsMatch) {
    // Of the entries that the replica may share, none is later than the last
    // one here of the same or an older term.
    uint64_t Index = std::min<uint64_t>(After.m_Index - 1, m_Log.size());
    while (Index > 0 && m_Log[Index - 1].m_Position.m_Term > After.m_Term)
      --Index;
    Batch.m_TruncateTo = Index;
    return Batch;
  }
  uint64_t End = std::min<uint64_t>(
      {m_Log.size(), MaxIndex, After.m_Index + kMaxEntriesPerPart});
  for (uint64_t Index = After.m_Index; Index < End; ++Index)
    Batch.m_Entries.push_back(m_Log[Index]);
  return Batch;
}

void StandInInstance::replicate(uint64_t Term, const StandInLogBatch &Batch) {
  if (!Batch.m_IsPrimary || !m_Source || m_Source->m_Term != Term ||
      m_SealedTerm != Term)
    return;
  if (Batch.m_TruncateTo) {
    if (*Batch.m_TruncateTo >= m_Log.size())
      return;
    m_Record(encodeRecord(StandInTruncateRecord{*Batch.m_TruncateTo}));
    truncateTo(*Batch.m_TruncateTo);
    return;
  }
  for (const StandInEntry &Entry : Batch.m_Entries) {
    if (Entry.m_Position.m_Index != m_Log.size() + 1)
      return;
    m_Record(encodeRecord(Entry));
    applyEntry(Entry);
  }
}

void StandInInstance::applyEntry(StandInEntry Entry) {
  for (const StandInEffect &Effect : Entry.m_Effects)
    applyEffect(Effect, m_Rows);
  if (!Entry.m_RequestId.empty())
    m_Outcomes[Entry.m_RequestId] = Entry.m_Position.m_Index;
  m_Log.push_back(std::move(Entry));
}

void StandInInstance::truncateTo(uint64_t Index) {
  std::vector<StandInEntry> Kept = std::move(m_Log);
  Kept.resize(std::min<size_t>(Kept.size(), Index));
  m_Log.clear();
  m_Rows.clear();
  m_Outcomes.clear();
  for (StandInEntry &Entry : Kept)
    applyEntry(std::move(Entry));
}

} // namespace almondpier
