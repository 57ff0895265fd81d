/// \file
/// Admission of caller requests: validates them, spends their rate tokens and
/// sends the replies.
#pragma once

#include "decision/proxy/ForwardingController.h"
#include "decision/proxy/SessionToken.h"
#include "decision/proxy/TokenController.h"
#include "decision/proxy/TransactionToken.h"

namespace almondpier {

/// Longest time that a new request is held while the configuration is stale.
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
  /// Retries requests that waited for a rate token or a fresh configuration.
  void retryWaiting(Time Now);
  void tick(Time Now);
  /// Refuses new work from now on. Steps of open transactions still run.
  void refuseNewWork() { m_RefusesNewWork = true; }

  size_t inProgress() const { return m_Calls.size(); }
  /// Transactions begun through this host that are not known to have ended.
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
    /// Decoded from the session token. Without a valid token, the earlier
    /// writes of the session are unknown.
    Session m_Session;
    bool m_HasValidSession = false;
    bool m_NeedsConfirmedPrimary = false;
    std::optional<TransactionId> m_Transaction;
  };

  /// Returns an error if the current configuration does not allow the call.
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
