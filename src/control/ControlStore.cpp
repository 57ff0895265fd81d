#include "control/ControlStore.h"

#include "control/Identifier.h"

namespace almondpier {

ControlStore::ControlStore(const std::string &Folder, size_t RoomBytes) {
  if (!Folder.empty())
    m_Folder.emplace(Folder);
  if (!m_Folder || !m_Folder->isInitialised()) {
    m_MemberId = MemberId{generateIdentifier()};
    return;
  }
  m_Log = m_Folder->load(RoomBytes);
  m_MemberId = m_Folder->identity().m_Member;
  m_ClusterId = m_Folder->identity().m_ClusterId;
}

void ControlStore::initialise(uint64_t ClusterId, const PersistedLog &Log) {
  m_ClusterId = ClusterId;
  if (!m_Folder) {
    m_Log = Log;
    return;
  }
  m_Folder->initialise(m_MemberId, ClusterId, Log);
  m_Log = m_Folder->load();
}

void ControlStore::bootstrap(const ControlMember &Self) {
  initialise(generateIdentifier(), makeInitialLog(Self));
}

void ControlStore::initialiseAsFounder(
    MemberId Self, uint64_t ClusterId,
    const std::vector<ControlMember> &Founders) {
  m_MemberId = Self;
  initialise(ClusterId, makeInitialLog(Founders));
}

void ControlStore::persist(PersistLog Change) {
  if (!m_Folder)
    return;
  ConsensusOutput Output;
  Output.m_HardState = Change.m_HardState;
  Output.m_InstalledSnapshot = std::move(Change.m_InstalledSnapshot);
  Output.m_Entries = std::move(Change.m_Entries);
  m_Folder->persist(Output);
}

} // namespace almondpier
