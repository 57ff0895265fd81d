/// \file
/// Decides which requests of callers may run, and answers callers.
#pragma once

#include "decision/proxy/ForwardingController.h"
#include "decision/proxy/SessionToken.h"
#include "decision/proxy/TokenController.h"
#include "decision/proxy/TransactionToken.h"

namespace almondpier {

/// New requests are held so long while the configuration is not fresh.
constexpr Duration kMaxHoldTime = std::chrono::milliseconds(2'000);

class AdmissionController {
public:
  AdmissionController(const std::string &FleetSecret,
                      const ProxyBlackboard &Board, TokenController &Tokens,
                      ForwardingController &Forwarding, ProxyActions &Actions);

  void submit(const CallerRequest &Request, Time Now);
  void cancel(CallerRequestId Id, Time Now);
  void finish(const ForwardingController::FinishedRequest &FinishedRequest,
              Time Now);
  /// Goes on with requests for which a token or a fresh configuration came,
  /// and refuses those that waited too long.
  void retryWaiting(Time Now);
  void tick(Time Now);
  /// From now on new work is refused; steps of transactions are not.
  void refuseNewWork() { m_RefusesNewWork = true; }

  size_t inProgress() const { return m_Calls.size(); }
  /// Transactions begun through this host that have not ended, as far as known.
  size_t openTransactions() const { return m_OpenTransactions.size(); }
  CounterList counters() const;

private:
  enum class Stage : uint8_t { Held, WaitingForToken, Forwarded };
  struct Call {
    CallerRequest m_Request;
    Time m_Deadline;
    Stage m_Stage = Stage::Held;
    std::optional<Time> m_HeldSince;
    size_t m_StatementBytes = 0;
    OrganisationName m_Organisation;
    KeyId m_Key;
    /// What the session token said; an unknown past without a valid one.
    Session m_Session;
    bool m_HasValidSession = false;
    bool m_NeedsConfirmedPrimary = false;
    std::optional<TransactionId> m_Transaction;
  };

  /// Returns why the call is refused by the configuration in force.
  std::optional<ErrorReport> validate(Call &Call) const;
  std::optional<ErrorReport> validateTransaction(Call &Call) const;
  void decodeSession(Call &Call) const;
  void tryAdmit(Call &Call, bool HasWaitedForToken, Time Now);
  void hold(Call &Call, Time Now);
  void forward(Call &Call, Time Now);
  AdmittedRequest makeAdmittedRequest(Call &Call) const;
  void refuse(CallerRequestId Id, const ErrorReport &Error);
  void removeCall(CallerRequestId Id);
  std::string updatedSessionToken(Call &Call,
                                  const RequestResult &Result) const;
  std::string newTransactionToken(const Call &Call,
                                  const RequestResult &Result) const;
  void updateOpenTransactions(const Call &Call, const RequestResult &Result,
                              Time Now);

  const ProxyBlackboard &m_Board;
  TokenController &m_Tokens;
  ForwardingController &m_Forwarding;
  ProxyActions &m_Actions;
  SessionTokenCodec m_SessionCodec;
  TransactionTokenCodec m_TransactionCodec;
  std::unordered_map<uint64_t, Call> m_Calls;
  size_t m_StatementBytes = 0;
  std::vector<CallerRequestId> m_Held;
  /// Time of the last step of each open transaction.
  std::map<TransactionId, Time> m_OpenTransactions;
  bool m_RefusesNewWork = false;
  std::map<ErrorKind, uint64_t> m_ErrorCounts;
  uint64_t m_ReceivedCount = 0;
  uint64_t m_AnsweredCount = 0;
  uint64_t m_DisconnectedCount = 0;
  uint64_t m_HeldCount = 0;
  uint64_t m_ReplicaReadCount = 0;
  uint64_t m_ReadCount = 0;
};

} // namespace almondpier
