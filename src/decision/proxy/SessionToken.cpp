#include "decision/proxy/SessionToken.h"

#include "decision/proxy/SealedText.h"
#include "messages/Codec.h"

#include <algorithm>

namespace almondpier {

Session Session::withoutWrites(const OrganisationName &Organisation) {
  Session Result;
  Result.m_Organisation = Organisation;
  return Result;
}

Session Session::withUnknownWrites(const OrganisationName &Organisation) {
  Session Result = withoutWrites(Organisation);
  Result.m_MayHaveUnlistedWrites = true;
  return Result;
}

const SessionEntry *Session::find(const DatabaseName &Database) const {
  auto Found = std::find_if(
      m_Entries.begin(), m_Entries.end(),
      [&](const SessionEntry &Entry) { return Entry.m_Database == Database; });
  return Found == m_Entries.end() ? nullptr : &*Found;
}

SessionEntry &Session::findOrAddEntry(const DatabaseName &Database) {
  if (const SessionEntry *Found = find(Database))
    return m_Entries[static_cast<size_t>(Found - m_Entries.data())];
  if (m_Entries.size() >= kMaxSessionEntries) {
    m_Entries.erase(m_Entries.begin());
    m_MayHaveUnlistedWrites = true;
  }
  m_Entries.push_back(SessionEntry{Database, {}, false});
  return m_Entries.back();
}

ReadRequirement Session::requirementFor(const DatabaseName &Database) const {
  ReadRequirement Requirement;
  const SessionEntry *Entry = find(Database);
  if (Entry == nullptr) {
    Requirement.m_ConfirmedPrimary = m_MayHaveUnlistedWrites;
    return Requirement;
  }
  Requirement.m_Position = Entry->m_Position;
  Requirement.m_ConfirmedPrimary = Entry->m_NeedsConfirmedPrimary;
  return Requirement;
}

bool Session::recordWrite(const DatabaseName &Database, Position Written) {
  SessionEntry &Entry = findOrAddEntry(Database);
  if (Written <= Entry.m_Position)
    return false;
  Entry.m_Position = Written;
  return true;
}

bool Session::recordUnknownWrite(const DatabaseName &Database) {
  SessionEntry &Entry = findOrAddEntry(Database);
  bool Changed = !Entry.m_NeedsConfirmedPrimary;
  Entry.m_NeedsConfirmedPrimary = true;
  return Changed;
}

bool Session::recordConfirmedRead(const DatabaseName &Database, Position Seen) {
  if (find(Database) != nullptr)
    return false;
  findOrAddEntry(Database).m_Position = Seen;
  return true;
}

SessionTokenCodec::SessionTokenCodec(std::string_view FleetSecret)
    : m_Key(deriveTokenKey(FleetSecret, "session token")) {}

std::string SessionTokenCodec::seal(const Session &Session) const {
  return sealText(m_Key, encodeValue(Session));
}

std::optional<Session>
SessionTokenCodec::open(std::string_view Token,
                        const OrganisationName &Organisation) const {
  std::optional<std::string> Payload = openText(m_Key, Token);
  if (!Payload)
    return std::nullopt;
  try {
    Session Opened = decodeValue<Session>(*Payload);
    if (Opened.organisation() == Organisation)
      return Opened;
  } catch (const DecodeError &) {
    // Sealed by another version of this program.
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace almondpier
