#include "decision/session/ReplyCheck.h"

#include <algorithm>
#include <functional>

namespace almondpier {

namespace {

/// A copy that arrives after more statements than this is not recognised.
constexpr size_t kRememberedReceipts = 512;
constexpr size_t kRememberedRejections = 32;

uint64_t hashOfRejection(const StatementReply &Reply) {
  // The position is left out: a copy may be sent with a newer one.
  return std::hash<std::string>{}(
      std::to_string(static_cast<int>(*Reply.m_Error)) + " " +
      std::to_string(static_cast<int>(Reply.m_State)) + " " +
      Reply.m_ErrorText);
}

/// Returns the state of the transaction after the statement succeeded; nothing
/// when more than one is possible.
std::optional<TransactionState> stateAfter(const ExpectedReply &Expected) {
  switch (Expected.m_State) {
  case ConnectionState::Resetting:
  case ConnectionState::RollingBack:
    return TransactionState::None;
  case ConnectionState::SettingVariable:
  case ConnectionState::Preparing:
    return Expected.m_InTransaction ? TransactionState::Open
                                    : TransactionState::None;
  case ConnectionState::Beginning:
    return TransactionState::Open;
  case ConnectionState::Executing:
    if (!Expected.m_InTransaction || Expected.m_Kind == StatementKind::Commit ||
        Expected.m_Kind == StatementKind::Rollback)
      return TransactionState::None;
    return std::nullopt;
  case ConnectionState::Connecting:
  case ConnectionState::Idle:
  case ConnectionState::Pinned:
  case ConnectionState::Confirming:
    return std::nullopt;
  }
  return std::nullopt;
}

ReplyVerdict checkRejection(const ExpectedReply &Expected,
                            const ReplyHistory &History,
                            const StatementReply &Reply) {
  // Outside a transaction a rejection leaves none open.
  if (!Expected.m_InTransaction && Reply.m_State != TransactionState::None)
    return ReplyVerdict::Foreign;
  bool IsExecuting = Expected.m_State == ConnectionState::Executing;
  if (IsExecuting && Reply.m_Error == SessionError::UnknownStatement &&
      Expected.m_Kind != StatementKind::Execute)
    return ReplyVerdict::Foreign;
  // After a rejection of a statement of its own the proxy closes the
  // connection.
  if (!IsExecuting && Expected.m_State != ConnectionState::Beginning)
    return ReplyVerdict::Own;
  return !Expected.m_IsInSync || History.hasRejection(Reply)
             ? ReplyVerdict::Ambiguous
             : ReplyVerdict::Own;
}

} // namespace

bool ReplyHistory::Recent::contains(uint64_t Hash) const {
  return std::find(m_Hashes.begin(), m_Hashes.end(), Hash) != m_Hashes.end();
}

void ReplyHistory::Recent::add(uint64_t Hash, size_t Capacity) {
  std::erase(m_Hashes, Hash);
  m_Hashes.push_back(Hash);
  if (m_Hashes.size() > Capacity)
    m_Hashes.pop_front();
}

bool ReplyHistory::hasReceipt(std::string_view Receipt) const {
  return m_Receipts.contains(std::hash<std::string_view>{}(Receipt));
}

bool ReplyHistory::hasRejection(const StatementReply &Reply) const {
  return m_Rejections.contains(hashOfRejection(Reply));
}

void ReplyHistory::add(const StatementReply &Reply) {
  if (Reply.m_Error && Reply.m_Receipt.empty())
    m_Rejections.add(hashOfRejection(Reply), kRememberedRejections);
  if (!Reply.m_Receipt.empty())
    m_Receipts.add(std::hash<std::string_view>{}(Reply.m_Receipt),
                   kRememberedReceipts);
}

bool hasReceipt(StatementKind Kind) {
  return Kind == StatementKind::Read || Kind == StatementKind::Write ||
         Kind == StatementKind::Execute || Kind == StatementKind::Commit;
}

ReplyVerdict checkReply(const ExpectedReply &Expected,
                        const ReplyHistory &History,
                        const StatementReply &Reply) {
  if (!Reply.m_Receipt.empty() && History.hasReceipt(Reply.m_Receipt))
    return ReplyVerdict::Repeated;
  bool IsOutstanding = Expected.m_State != ConnectionState::Connecting &&
                       Expected.m_State != ConnectionState::Idle &&
                       Expected.m_State != ConnectionState::Pinned;
  if (!IsOutstanding)
    return Reply.m_Error && History.hasRejection(Reply) ? ReplyVerdict::Repeated
                                                        : ReplyVerdict::Foreign;
  // The statement ran if there is a receipt: only its result is refused.
  if (Reply.m_Error && Reply.m_Receipt.empty())
    return checkRejection(Expected, History, Reply);
  // A statement that an instance executes has a receipt, and no other has one.
  bool NeedsReceipt = Expected.m_State == ConnectionState::Executing &&
                      hasReceipt(Expected.m_Kind);
  if (NeedsReceipt == Reply.m_Receipt.empty())
    return ReplyVerdict::Foreign;
  std::optional<TransactionState> State = stateAfter(Expected);
  return !State || *State == Reply.m_State ? ReplyVerdict::Own
                                           : ReplyVerdict::Foreign;
}

} // namespace almondpier
