#include "decision/proxy/OwnerController.h"

#include <map>

namespace almondpier {

// Stands in until the branch `owner` is merged: one connection per request,
// everything at the primary, no acknowledgement by a majority.
struct OwnerController::State {
  ProxyBlackboard &m_Board;
  uint64_t m_LastConnection = 0;
  std::map<ConnectionId, Ticket> m_Running;
  ProxyActions m_Actions;
  std::vector<CompletedRequest> m_Completed;
};

OwnerController::OwnerController(const OwnerOptions & /*Options*/,
                                 ProxyBlackboard &Board)
    : m_State(new State{Board, 0, {}, {}, {}}) {}
OwnerController::~OwnerController() = default;

void OwnerController::submit(Ticket Ticket, const AdmittedRequest &Request,
                             Time /*Now*/) {
  const DatabaseRecord *Group =
      m_State->m_Board.m_Configuration.findDatabase(Request.m_Database);
  if (Group == nullptr || !Group->m_Primary) {
    RequestResult Result;
    Result.m_Error =
        ErrorReport{ErrorKind::NoPrimary, "no primary", Ran::No, 0};
    m_State->m_Completed.push_back(CompletedRequest{Ticket, Result});
    return;
  }
  ConnectionId Connection{++m_State->m_LastConnection};
  m_State->m_Running[Connection] = Ticket;
  m_State->m_Actions.push_back(OpenConnection{
      Connection, Group->m_Instances.at(*Group->m_Primary).m_Statements});
  m_State->m_Actions.push_back(
      SendStatement{Connection, Request.m_Kind, Group->m_PrimaryTerm,
                    Request.m_RequestId, "", Request.m_Statement});
}

void OwnerController::cancel(Ticket /*Ticket*/, Time /*Now*/) {}

void OwnerController::handle(const InstanceAnswered &Event, Time /*Now*/) {
  auto Found = m_State->m_Running.find(Event.m_Connection);
  if (Found == m_State->m_Running.end())
    return;
  RequestResult Result;
  if (const InstanceAnswer *Answer =
          std::get_if<InstanceAnswer>(&Event.m_Result);
      Answer != nullptr && Answer->m_HttpStatus == 200) {
    Result.m_Body = Answer->m_Body;
    Result.m_Position = Answer->m_Position;
  } else {
    Result.m_Error =
        ErrorReport{ErrorKind::OutcomeUnknown, "failed", Ran::Unknown, 0};
  }
  m_State->m_Completed.push_back(CompletedRequest{Found->second, Result});
  m_State->m_Actions.push_back(CloseConnection{Event.m_Connection});
  m_State->m_Running.erase(Found);
}

void OwnerController::handle(const ConnectionClosed & /*Event*/, Time /*Now*/) {
}
void OwnerController::handle(const ProbeAnswered & /*Event*/, Time /*Now*/) {}
void OwnerController::onConfigurationChanged(Time /*Now*/) {}
void OwnerController::tick(Time /*Now*/) {}

ProxyActions OwnerController::takeActions() {
  ProxyActions Result;
  Result.swap(m_State->m_Actions);
  return Result;
}
std::vector<CompletedRequest> OwnerController::takeCompleted() {
  std::vector<CompletedRequest> Result;
  Result.swap(m_State->m_Completed);
  return Result;
}
size_t OwnerController::workInProgress() const {
  return m_State->m_Running.size();
}
CounterList OwnerController::counters() const { return {}; }

} // namespace almondpier
