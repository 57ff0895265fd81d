#include "decision/control/ChangeController.h"

#include <algorithm>

namespace almondpier {

namespace {

/// Longer than the election of a leader, so that a short fault does not leave
/// an outcome unknown.
constexpr Duration kOutcomeTimeout = std::chrono::seconds(3);
constexpr size_t kMaxChangeBytes = 512U << 10U;

ErrorReport refusal(ErrorKind Kind, const std::string &Message) {
  return ErrorReport{Kind, Error(Kind, Message).what(), Ran::No, 0};
}

void reply(OperationId Id, const ChangeOutcome &Outcome,
           ControlContext &Context) {
  ReplyToOperation Reply;
  Reply.m_Id = Id;
  Reply.m_Outcome = Outcome;
  Context.m_Actions.push_back(std::move(Reply));
}

void reply(OperationId Id, const ErrorReport &Error, ControlContext &Context) {
  ReplyToOperation Reply;
  Reply.m_Id = Id;
  Reply.m_Error = Error;
  Context.m_Actions.push_back(std::move(Reply));
}

/// Zones of everything that has registered with the cluster.
std::set<AvailabilityZone> knownZones(const ControlBlackboard &Board) {
  std::set<AvailabilityZone> Zones;
  for (const auto &[Name, Host] : Board.configuration().hosts())
    Zones.insert(Host.m_Zone);
  for (const auto &[Name, Database] : Board.configuration().databases())
    for (const auto &[Member, Instance] : Database.m_Instances)
      Zones.insert(Instance.m_Zone);
  for (const InstanceDescription &Instance : Board.m_Directory.m_Instances)
    Zones.insert(Instance.m_Zone);
  return Zones;
}

/// Returns why a zone cannot be evacuated, if it cannot.
std::optional<ErrorReport> evacuationRefusal(const AvailabilityZone &Zone,
                                             const ControlBlackboard &Board) {
  std::set<AvailabilityZone> Zones = knownZones(Board);
  if (Zones.erase(Zone) == 0)
    return refusal(ErrorKind::NotFound,
                   "no host or instance is in the zone '" + Zone.m_Value + "'");
  if (std::all_of(Zones.begin(), Zones.end(),
                  [&](const AvailabilityZone &Other) {
                    return Board.configuration().isEvacuated(Other);
                  }))
    return refusal(ErrorKind::BadRequest,
                   "'" + Zone.m_Value +
                       "' is the last zone in use; restore another one first");
  return std::nullopt;
}

} // namespace

void ChangeController::submitEvacuation(const ZoneEvacuationRequested &Event,
                                        ControlContext &Context) {
  const ControlBlackboard &Board = Context.m_Board;
  // Only the leader knows whether a later order is in its log.
  if (!Board.m_IsLeader || Board.m_IsShuttingDown)
    return Context.refuseAsFollower(Event.m_Id);
  const EvacuateZone &Order = Event.m_Order;
  bool IsEvacuated = Board.configuration().isEvacuated(Order.m_Zone);
  if (Order.m_IsEvacuated && !IsEvacuated)
    if (std::optional<ErrorReport> Refusal =
            evacuationRefusal(Order.m_Zone, Board))
      return reply(Event.m_Id, *Refusal, Context);
  if (!Board.canExtendConfiguration())
    return reply(Event.m_Id,
                 ErrorReport{ErrorKind::Overloaded,
                             "a control host of an earlier version, or one "
                             "that has just joined, cannot record evacuations "
                             "yet; upgrade all control hosts, then retry",
                             Ran::No, 1'000},
                 Context);
  // An order that changes nothing goes through the log too, because an opposite
  // one may be on its way there.
  Change Proposed;
  Proposed.m_Actor = Event.m_Actor;
  Proposed.m_WallTimeMs = Board.m_WallTimeMs;
  Proposed.m_Body = Order;
  propose(Event.m_Id, Proposed, Context);
}

void ChangeController::submit(const OperatorChange &Event,
                              ControlContext &Context) {
  if (!Context.m_Board.m_IsLeader || Context.m_Board.m_IsShuttingDown)
    return Context.refuseAsFollower(Event.m_Id);
  if (!isValidName(Event.m_Change.m_ChangeId))
    return reply(Event.m_Id,
                 refusal(ErrorKind::BadRequest,
                         "a change identifier has 1 to 64 letters, digits, "
                         "'.', '_' or '-'"),
                 Context);
  if (!isOperatorChange(Event.m_Change.m_Body))
    return reply(
        Event.m_Id,
        refusal(ErrorKind::BadRequest, "only the system makes this change"),
        Context);
  if (std::optional<ChangeOutcome> First =
          Context.m_Board.m_State.outcomes().find(Event.m_Change))
    return reply(Event.m_Id, *First, Context);
  propose(Event.m_Id, Event.m_Change, Context);
}

void ChangeController::submitPolicy(const PolicySubmitted &Event,
                                    ControlContext &Context) {
  const Configuration &InForce = Context.m_Board.configuration();
  // What this host has applied is committed, so no leader is needed to confirm
  // that a document of this version or a later one was accepted.
  if (Event.m_Install.m_Policy.m_Version <= InForce.policy().m_Version)
    return reply(Event.m_Id, ChangeOutcome{true, InForce.version(), {}},
                 Context);
  if (!Context.m_Board.m_IsLeader || Context.m_Board.m_IsShuttingDown)
    return Context.refuseAsFollower(Event.m_Id);
  Change Proposed;
  Proposed.m_WallTimeMs = Context.m_Board.m_WallTimeMs;
  Proposed.m_Body = Event.m_Install;
  propose(Event.m_Id, Proposed, Context);
}

void ChangeController::propose(OperationId Id, const Change &Proposed,
                               ControlContext &Context) {
  if (!Context.m_Board.isDurable())
    return reply(Id,
                 ErrorReport{ErrorKind::Overloaded,
                             "the cluster is being formed and has voters "
                             "without a disk; retry in a second",
                             Ran::No, 1'000},
                 Context);
  std::string Data = encode(Proposed);
  if (Data.size() > kMaxChangeBytes)
    return reply(
        Id, refusal(ErrorKind::BodyTooLarge, "a change has at most 512 KiB"),
        Context);
  std::optional<uint64_t> Index =
      Context.m_Log.propose(std::move(Data), Context.m_Now);
  if (!Index)
    return Context.refuseAsFollower(Id);
  wait(Id, *Index, Context);
}

void ChangeController::submitMembership(OperationId Id,
                                        const Membership &Target,
                                        const Change &Record,
                                        ControlContext &Context) {
  if (std::optional<ChangeOutcome> First =
          Context.m_Board.m_State.outcomes().find(Record))
    return reply(Id, *First, Context);
  std::optional<uint64_t> Index =
      Context.m_Log.proposeMembership(Target, encode(Record), Context.m_Now);
  if (!Index)
    return reply(Id,
                 ErrorReport{ErrorKind::Overloaded,
                             "another change of the membership is in progress; "
                             "retry in a second",
                             Ran::No, 1'000},
                 Context);
  wait(Id, *Index, Context);
}

void ChangeController::wait(OperationId Id, uint64_t Index,
                            ControlContext &Context) {
  m_Waiting.emplace(Index, Waiting{Id, Context.m_Log.term(),
                                   Context.m_Now + kOutcomeTimeout});
}

void ChangeController::replyUnknown(OperationId Id, ControlContext &Context) {
  reply(Id,
        ErrorReport{ErrorKind::OutcomeUnknown,
                    "the outcome of the change is not known; send it again "
                    "with the same change identifier",
                    Ran::Unknown, 0},
        Context);
}

void ChangeController::onApplied(const LogEntry &Entry,
                                 const ChangeOutcome &Outcome,
                                 ControlContext &Context) {
  auto Range = m_Waiting.equal_range(Entry.m_Index);
  for (auto It = Range.first; It != Range.second; ++It) {
    // An entry of another leader may have taken the index.
    if (It->second.m_Term == Entry.m_Term)
      reply(It->second.m_Id, Outcome, Context);
    else
      replyUnknown(It->second.m_Id, Context);
  }
  m_Waiting.erase(Range.first, Range.second);
}

void ChangeController::onLeadershipLost(ControlContext &Context) {
  for (const std::pair<const uint64_t, Waiting> &Entry : m_Waiting)
    replyUnknown(Entry.second.m_Id, Context);
  m_Waiting.clear();
}

void ChangeController::tick(ControlContext &Context) {
  for (auto It = m_Waiting.begin(); It != m_Waiting.end();) {
    if (Context.m_Now < It->second.m_Until) {
      ++It;
      continue;
    }
    replyUnknown(It->second.m_Id, Context);
    It = m_Waiting.erase(It);
  }
}

} // namespace almondpier
