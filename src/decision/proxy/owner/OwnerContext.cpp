#include "decision/proxy/owner/OwnerContext.h"

#include "decision/Invariant.h"

namespace almondpier {

void OwnerContext::complete(PendingRequest &Request, RequestResult &&Result) {
  requireInvariant(Request.m_Stage == RequestStage::Unlinked, "R8",
                   "a request completes while it is queued, waiting or sent");
  requireInvariant(!Request.m_MayHaveRun || !Result.m_Error ||
                       Result.m_Error->m_Ran != Ran::No,
                   "R9", "a request that may have run is reported as not run");
  uint64_t Ticket = Request.m_Ticket.m_Value;
  if (!Request.m_IsCancelled)
    m_Completed.push_back({Request.m_Ticket, std::move(Result)});
  m_Deadlines.erase({Request.m_Deadline, Ticket});
  m_Requests.erase(Ticket);
}

void OwnerContext::fail(PendingRequest &Request, ErrorKind Kind, Ran Ran,
                        std::string Message, uint32_t RetryAfterMs) {
  if (Kind == ErrorKind::OutcomeUnknown)
    ++m_Counters.m_OutcomesUnknown;
  else if (Kind == ErrorKind::Overloaded)
    ++m_Counters.m_Overloaded;
  else if (Kind == ErrorKind::DeadlineExceeded)
    ++m_Counters.m_DeadlinesExceeded;
  RequestResult Result;
  Result.m_Error = ErrorReport{Kind, std::move(Message), Ran, RetryAfterMs};
  complete(Request, std::move(Result));
}

} // namespace almondpier
