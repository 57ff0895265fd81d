#include "decision/proxy/ForwardingController.h"

#include "decision/Invariant.h"
#include "decision/proxy/RequestTraits.h"

#include <algorithm>

namespace almondpier {

using std::chrono::milliseconds;

// Time after the deadline for the owner's own result, which says more than a
// timeout, to arrive.
static constexpr Duration kReplyGracePeriod = milliseconds(100);
// Delay before all candidates are tried again after each of them refused.
static constexpr Duration kRetryInterval = milliseconds(50);
// Limits the extra load of repeated requests when links keep failing.
static constexpr uint32_t kMaxLostLinks = 3;
static constexpr Duration kExpiryInterval = milliseconds(20);
// Leaves room for the other fields of a reply in one message.
static constexpr size_t kMaxBodyBytes = kMaxMessageBytes - 4'096;

ForwardingController::ForwardingController(const HostName &Host,
                                           const ProxyBlackboard &Board,
                                           const OwnershipController &Ownership,
                                           LinkTable &Links,
                                           OwnerController &Owner,
                                           ProxyActions &Actions)
    : m_Host(Host), m_Board(Board), m_Ownership(Ownership), m_Links(Links),
      m_Owner(Owner), m_Actions(Actions) {}

void ForwardingController::setAvailability(bool AcceptsLocalWork,
                                           bool AcceptsForwardedWork) {
  m_AcceptsLocalWork = AcceptsLocalWork;
  m_AcceptsForwardedWork = AcceptsForwardedWork;
}

void ForwardingController::submit(CallerRequestId Id, AdmittedRequest Request,
                                  Time Deadline, Time Now) {
  InFlight &Entry = m_Requests[Id.m_Value];
  Entry.m_Request = std::move(Request);
  Entry.m_Deadline = Deadline;
  route(Id, Entry, Now);
}

void ForwardingController::route(CallerRequestId Id, InFlight &Entry,
                                 Time Now) {
  m_Waiting.insert(Id.m_Value);
  if (Now < Entry.m_RetryAt)
    return;
  if (isTransactionStep(Entry.m_Request.m_Kind)) {
    routeTransactionStep(Id, Entry, Now);
    return;
  }
  if (isOnlyCandidate(Entry.m_Request.m_Database)) {
    submitLocally(Id, Entry, Now);
    return;
  }
  auto Ranked = m_Board.m_Observers.find(Entry.m_Request.m_Database);
  if (Ranked == m_Board.m_Observers.end())
    return;
  for (const HostName &Host : Ranked->second)
    if (!Entry.m_TriedHosts.contains(Host) && tryHost(Id, Entry, Host, Now))
      return;
  if (Entry.m_TriedHosts.empty())
    return;
  Entry.m_TriedHosts.clear();
  Entry.m_RetryAt = Now + kRetryInterval;
}

bool ForwardingController::isOnlyCandidate(const DatabaseName &Database) const {
  if (!m_Board.m_IsShuttingDown)
    return false;
  auto Ranked = m_Board.m_Observers.find(Database);
  return Ranked != m_Board.m_Observers.end() &&
         std::all_of(Ranked->second.begin(), Ranked->second.end(),
                     [&](const HostName &Host) { return Host == m_Host; });
}

void ForwardingController::routeTransactionStep(CallerRequestId Id,
                                                InFlight &Entry, Time Now) {
  const HostName &Owner = Entry.m_Request.m_Transaction->m_Owner;
  if (Owner == m_Host) {
    submitLocally(Id, Entry, Now);
    return;
  }
  // The transactions of a host that is no longer live are lost: the instances
  // roll them back when its connections close.
  if (!tryHost(Id, Entry, Owner, Now) && !m_Ownership.isLive(Owner))
    fail(Id, Entry, ErrorKind::TransactionLost,
         "the host that held the transaction is gone", Ran::No);
}

bool ForwardingController::tryHost(CallerRequestId Id, InFlight &Entry,
                                   const HostName &Host, Time Now) {
  if (Host == m_Host) {
    if (!m_AcceptsLocalWork)
      return false;
    submitLocally(Id, Entry, Now);
    return true;
  }
  const HostRecord *Record = m_Ownership.findHost(Host);
  if (Record == nullptr)
    return false;
  m_Links.acquire(Record->m_ForwardEndpoint, LinkUse::Forward, Now);
  if (std::optional<LinkId> Link = m_Links.linkTo(Record->m_ForwardEndpoint)) {
    forwardTo(Id, Entry, Host, *Link, Now);
    return true;
  }
  // Wait for a link that is being opened for the first time, but not for a
  // host whose link was lost.
  return m_Links.stateOf(Record->m_ForwardEndpoint) == LinkState::Connecting;
}

static uint32_t timeLeftMs(Time Deadline, Time Now) {
  int64_t Left =
      std::chrono::duration_cast<milliseconds>(Deadline - Now).count();
  return static_cast<uint32_t>(std::max<int64_t>(Left, 0));
}

void ForwardingController::submitLocally(CallerRequestId Id, InFlight &Entry,
                                         Time Now) {
  m_Waiting.erase(Id.m_Value);
  Entry.m_Ticket = Ticket{++m_LastTicket};
  Entry.m_Request.m_TimeLeftMs = timeLeftMs(Entry.m_Deadline, Now);
  m_ByTicket.emplace(m_LastTicket, Id);
  ++m_LocalCount;
  m_Owner.submit(*Entry.m_Ticket, Entry.m_Request, Now);
}

void ForwardingController::forwardTo(CallerRequestId Id, InFlight &Entry,
                                     const HostName &Host, LinkId Link,
                                     Time Now) {
  m_Waiting.erase(Id.m_Value);
  Entry.m_Link = Link;
  Entry.m_Target = Host;
  Entry.m_Sequence = ++m_LastSequence;
  Entry.m_Request.m_TimeLeftMs = timeLeftMs(Entry.m_Deadline, Now);
  m_BySequence.emplace(Entry.m_Sequence, Id);
  ++m_ForwardedCount;
  m_Links.onRequestStarted(Link, Now);
  m_Actions.push_back(
      SendMessage{Link, ForwardRequest{Entry.m_Sequence, Entry.m_Request}});
}

void ForwardingController::finish(CallerRequestId Id, RequestResult Result) {
  auto Found = m_Requests.find(Id.m_Value);
  if (Found->second.m_MayHaveRun && Result.m_Error &&
      Result.m_Error->m_Ran == Ran::No)
    Result.m_Error->m_Ran = Ran::Unknown;
  m_Waiting.erase(Id.m_Value);
  m_Requests.erase(Found);
  m_Finished.push_back(FinishedRequest{Id, std::move(Result)});
}

void ForwardingController::fail(CallerRequestId Id, const InFlight &Entry,
                                ErrorKind Kind, const std::string &Message,
                                Ran Ran) {
  RequestResult Result;
  Result.m_Error = ErrorReport{Kind, Message, Ran, 0};
  Result.m_Transaction = Entry.m_Request.m_Transaction;
  finish(Id, std::move(Result));
}

void ForwardingController::cancel(CallerRequestId Id, Time Now) {
  auto Found = m_Requests.find(Id.m_Value);
  if (Found == m_Requests.end())
    return;
  InFlight &Entry = Found->second;
  if (Entry.m_Ticket) {
    m_ByTicket.erase(Entry.m_Ticket->m_Value);
    m_Owner.cancel(*Entry.m_Ticket, Now);
  } else if (Entry.m_Link) {
    m_BySequence.erase(Entry.m_Sequence);
    m_Links.onRequestDone(*Entry.m_Link);
    m_Actions.push_back(
        SendMessage{*Entry.m_Link, ForwardCancel{Entry.m_Sequence}});
  }
  m_Waiting.erase(Id.m_Value);
  m_Requests.erase(Found);
}

/// Whether the host reports that it did not and will not run the request.
static bool isMisrouted(const RequestResult &Result) {
  return Result.m_Error && Result.m_Error->m_Ran == Ran::No &&
         (Result.m_Error->m_Kind == ErrorKind::NotLeader ||
          Result.m_Error->m_Kind == ErrorKind::ShuttingDown);
}

void ForwardingController::onReply(LinkId Link, const ForwardReply &Reply,
                                   Time Now) {
  auto Found = m_BySequence.find(Reply.m_Sequence);
  if (Found == m_BySequence.end()) {
    ++m_LateReplyCount;
    return;
  }
  CallerRequestId Id = Found->second;
  InFlight &Entry = m_Requests.at(Id.m_Value);
  requireInvariant(Entry.m_Sequence == Reply.m_Sequence, "R8",
                   "an answer belongs to the request with its sequence number");
  if (Entry.m_Link != Link) {
    ++m_LateReplyCount;
    return;
  }
  m_BySequence.erase(Found);
  m_Links.onRequestDone(Link);
  Entry.m_Link.reset();
  if (isMisrouted(Reply.m_Result) &&
      !isTransactionStep(Entry.m_Request.m_Kind)) {
    ++m_RetriedCount;
    Entry.m_TriedHosts.insert(Entry.m_Target);
    route(Id, Entry, Now);
    return;
  }
  finish(Id, Reply.m_Result);
}

void ForwardingController::onTargetLost(CallerRequestId Id, InFlight &Entry,
                                        Time Now) {
  m_BySequence.erase(Entry.m_Sequence);
  Entry.m_Link.reset();
  if (!isIdempotent(Entry.m_Request.m_Kind) ||
      ++Entry.m_LostLinkCount >= kMaxLostLinks) {
    ++m_UnknownCount;
    fail(Id, Entry, ErrorKind::OutcomeUnknown,
         "the link to the owner failed after the request was sent",
         Ran::Unknown);
    return;
  }
  ++m_RetriedCount;
  Entry.m_MayHaveRun = true;
  Entry.m_TriedHosts.insert(Entry.m_Target);
  route(Id, Entry, Now);
}

void ForwardingController::onLinkLost(LinkId Link, Time Now) {
  if (!m_Links.isAccepted(Link)) {
    std::vector<CallerRequestId> Lost;
    for (const auto &[Id, Entry] : m_Requests)
      if (Entry.m_Link == Link)
        Lost.push_back(CallerRequestId{Id});
    for (CallerRequestId Id : Lost)
      onTargetLost(Id, m_Requests.at(Id.m_Value), Now);
    return;
  }
  auto Next = m_ServedTickets.lower_bound(std::pair(Link, uint64_t{0}));
  while (Next != m_ServedTickets.end() && Next->first.first == Link) {
    m_Owner.cancel(Next->second, Now);
    m_ServedRequests.erase(Next->second.m_Value);
    Next = m_ServedTickets.erase(Next);
  }
}

void ForwardingController::refuseForwarded(LinkId Link, uint64_t Sequence,
                                           ErrorKind Kind,
                                           const std::string &Message) {
  RequestResult Result;
  Result.m_Error = ErrorReport{Kind, Message, Ran::No, 0};
  m_Actions.push_back(SendMessage{Link, ForwardReply{Sequence, Result}});
}

void ForwardingController::onRequest(LinkId Link, const ForwardRequest &Request,
                                     Time Now) {
  if (!m_Links.isOpen(Link) ||
      m_ServedTickets.contains(std::pair(Link, Request.m_Sequence)))
    return;
  bool IsNewWork = !isTransactionStep(Request.m_Request.m_Kind);
  if (IsNewWork && !m_AcceptsForwardedWork) {
    refuseForwarded(Link, Request.m_Sequence, ErrorKind::ShuttingDown,
                    "the owner takes no new work");
    return;
  }
  if (IsNewWork && !m_Ownership.isCandidate(Request.m_Request.m_Database)) {
    refuseForwarded(Link, Request.m_Sequence, ErrorKind::NotLeader,
                    "this host is not a candidate owner of the database");
    return;
  }
  Ticket Added{++m_LastTicket};
  m_ServedRequests.emplace(Added.m_Value,
                           ServedRequest{Link, Request.m_Sequence});
  m_ServedTickets.emplace(std::pair(Link, Request.m_Sequence), Added);
  ++m_ServedCount;
  m_Links.onRequestStarted(Link, Now);
  m_Owner.submit(Added, Request.m_Request, Now);
}

void ForwardingController::onCancel(LinkId Link, const ForwardCancel &Cancel,
                                    Time Now) {
  auto Found = m_ServedTickets.find(std::pair(Link, Cancel.m_Sequence));
  if (Found == m_ServedTickets.end())
    return;
  m_Owner.cancel(Found->second, Now);
  m_Links.onRequestDone(Link);
  m_ServedRequests.erase(Found->second.m_Value);
  m_ServedTickets.erase(Found);
}

/// Links carry at most 1 MiB in a message; the limit holds on every path, so
/// that an answer does not depend on the entry host.
static RequestResult limitSize(RequestResult Result) {
  if (Result.m_Error) {
    // Callers of a failed request get the text of the error and no body.
    Result.m_Body.clear();
    std::string &Text = Result.m_Error->m_Message;
    constexpr std::string_view kCutMark = " ... (cut)";
    if (Text.size() > kMaxBodyBytes)
      Text.replace(kMaxBodyBytes - kCutMark.size(), std::string::npos,
                   kCutMark);
    return Result;
  }
  if (Result.m_Body.size() <= kMaxBodyBytes)
    return Result;
  Result.m_Error = ErrorReport{
      ErrorKind::BodyTooLarge,
      "the answer of " + std::to_string(Result.m_Body.size()) +
          " bytes exceeds the limit of " + std::to_string(kMaxBodyBytes),
      Ran::Yes, 0};
  Result.m_Body.clear();
  return Result;
}

void ForwardingController::onCompleted(const CompletedRequest &Completed) {
  if (auto Local = m_ByTicket.find(Completed.m_Ticket.m_Value);
      Local != m_ByTicket.end()) {
    CallerRequestId Id = Local->second;
    m_ByTicket.erase(Local);
    finish(Id, limitSize(Completed.m_Result));
    return;
  }
  auto Found = m_ServedRequests.find(Completed.m_Ticket.m_Value);
  if (Found == m_ServedRequests.end())
    return;
  ServedRequest Answered = Found->second;
  m_ServedRequests.erase(Found);
  m_ServedTickets.erase(std::pair(Answered.m_Link, Answered.m_Sequence));
  m_Links.onRequestDone(Answered.m_Link);
  m_Actions.push_back(SendMessage{
      Answered.m_Link,
      ForwardReply{Answered.m_Sequence, limitSize(Completed.m_Result)}});
}

void ForwardingController::routeWaiting(Time Now) {
  std::vector<uint64_t> Waiting(m_Waiting.begin(), m_Waiting.end());
  for (uint64_t Id : Waiting)
    if (auto Found = m_Requests.find(Id); Found != m_Requests.end())
      route(CallerRequestId{Id}, Found->second, Now);
}

void ForwardingController::expire(CallerRequestId Id, InFlight &Entry,
                                  Time Now) {
  if (!Entry.m_Ticket && !Entry.m_Link) {
    fail(Id, Entry, ErrorKind::NoPrimary,
         "no owner of database " + Entry.m_Request.m_Database.m_Value +
             " could be reached",
         Ran::No);
    return;
  }
  if (Entry.m_Ticket) {
    m_ByTicket.erase(Entry.m_Ticket->m_Value);
    m_Owner.cancel(*Entry.m_Ticket, Now);
  } else {
    m_BySequence.erase(Entry.m_Sequence);
    m_Links.onRequestDone(*Entry.m_Link);
    m_Actions.push_back(
        SendMessage{*Entry.m_Link, ForwardCancel{Entry.m_Sequence}});
  }
  ++m_UnknownCount;
  bool IsRepeatable = isIdempotent(Entry.m_Request.m_Kind);
  fail(Id, Entry,
       IsRepeatable ? ErrorKind::DeadlineExceeded : ErrorKind::OutcomeUnknown,
       "the owner did not answer in time", Ran::Unknown);
}

void ForwardingController::tick(Time Now) {
  routeWaiting(Now);
  if (Now - m_LastExpiry < kExpiryInterval)
    return;
  m_LastExpiry = Now;
  std::vector<uint64_t> Expired;
  for (const auto &[Id, Entry] : m_Requests) {
    bool IsWaiting = !Entry.m_Ticket && !Entry.m_Link;
    if (Now >=
        Entry.m_Deadline + (IsWaiting ? Duration::zero() : kReplyGracePeriod))
      Expired.push_back(Id);
  }
  for (uint64_t Id : Expired)
    expire(CallerRequestId{Id}, m_Requests.at(Id), Now);
}

std::vector<ForwardingController::FinishedRequest>
ForwardingController::takeFinished() {
  std::vector<FinishedRequest> Result;
  Result.swap(m_Finished);
  return Result;
}

CounterList ForwardingController::counters() const {
  return {
      {"almondpier_requests_local_total",
       "Requests executed by this host for its own callers",
       static_cast<double>(m_LocalCount)},
      {"almondpier_requests_forwarded_total",
       "Requests sent to the owner of their database",
       static_cast<double>(m_ForwardedCount)},
      {"almondpier_requests_served_total",
       "Requests executed for other proxies",
       static_cast<double>(m_ServedCount)},
      {"almondpier_forward_retries_total", "Requests sent to another candidate",
       static_cast<double>(m_RetriedCount)},
      {"almondpier_late_replies_total",
       "Replies to requests that had ended already",
       static_cast<double>(m_LateReplyCount)},
      {"almondpier_forward_unknown_total",
       "Requests whose owner was lost or silent",
       static_cast<double>(m_UnknownCount)},
      {"almondpier_requests_waiting_for_owner",
       "Requests that wait for a reachable owner",
       static_cast<double>(m_Waiting.size())},
  };
}

} // namespace almondpier
