#include "decision/control/AnnouncementController.h"

namespace almondpier {

/// A proposal that had no effect is repeated after this time.
constexpr Duration kProposalInterval = std::chrono::seconds(1);

std::optional<RelayAnnouncement>
AnnouncementController::onAnnounced(const InstanceAnnounced &Event,
                                    ControlContext &Context) {
  RelayAnnouncement Announcement{Event.m_Instance, Event.m_Departing};
  bool CanRelay = m_Board.findMember(m_Board.m_Leader) != nullptr &&
                  m_Board.m_Leader != m_Board.m_Self.m_Id;
  if (!m_Board.m_IsLeader && !CanRelay) {
    Context.refuseAsFollower(Event.m_Id);
    return std::nullopt;
  }
  ReplyToOperation Reply;
  Reply.m_Id = Event.m_Id;
  Context.m_Actions.push_back(std::move(Reply));
  if (!m_Board.m_IsLeader)
    return Announcement;
  onRelayed(Announcement, Context);
  return std::nullopt;
}

void AnnouncementController::onRelayed(const RelayAnnouncement &Announcement,
                                       ControlContext &Context) {
  const InstanceRecord &Instance = Announcement.m_Instance;
  if (!m_Board.m_IsLeader || !isValidName(Instance.m_Database.m_Value) ||
      !isValidName(Instance.m_Name.m_Value))
    return;
  bool IsKnown = isKnown(Instance);
  bool NeedsDrain = IsKnown && Announcement.m_Departing && needsDrain(Instance);
  std::pair<DatabaseName, InstanceName> Key{Instance.m_Database,
                                            Instance.m_Name};
  if (IsKnown && !NeedsDrain) {
    m_ProposedAt.erase(Key);
    return;
  }
  auto [Last, IsNew] = m_ProposedAt.emplace(Key, Context.m_Now);
  if (!IsNew && Context.m_Now - Last->second < kProposalInterval)
    return;
  Last->second = Context.m_Now;
  if (!IsKnown)
    Context.proposeBySystem(RegisterInstance{Instance},
                            Instance.m_Name.m_Value);
  if (NeedsDrain)
    Context.proposeBySystem(
        DrainInstance{Instance.m_Database, Instance.m_Name, true},
        Instance.m_Name.m_Value);
}

bool AnnouncementController::isKnown(const InstanceRecord &Instance) const {
  const DatabaseRecord *Database =
      m_Board.configuration().findDatabase(Instance.m_Database);
  if (Database == nullptr)
    return false;
  for (const std::map<InstanceName, InstanceRecord> *Instances :
       {&Database->m_Instances, &Database->m_Spares}) {
    auto Found = Instances->find(Instance.m_Name);
    if (Found != Instances->end())
      return Found->second == Instance;
  }
  return false;
}

bool AnnouncementController::needsDrain(const InstanceRecord &Instance) const {
  const DatabaseRecord *Database =
      m_Board.configuration().findDatabase(Instance.m_Database);
  return Database->m_Instances.contains(Instance.m_Name) &&
         !Database->m_Draining.contains(Instance.m_Name);
}

} // namespace almondpier
