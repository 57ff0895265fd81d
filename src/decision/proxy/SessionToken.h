/// \file
/// What a session must read, carried by the caller in an authenticated token.
#pragma once

#include "almondpier/Messages.h"

namespace almondpier {

/// Databases listed in a session at most; a token stays below 2 KiB.
constexpr size_t kMaxSessionEntries = 16;

struct SessionEntry {
  DatabaseName m_Database;
  /// The session's latest known write there, or the state that a confirmed
  /// read of a session with an unknown past returned.
  Position m_Position;
  /// A write of the session has an unknown outcome and may still take effect.
  bool m_NeedsConfirmedPrimary = false;

  friend auto operator<=>(const SessionEntry &, const SessionEntry &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Database, m_Position, m_NeedsConfirmedPrimary);
  }
};

/// Consistency requirements of one session of one organisation.
class Session {
public:
  Session() = default;
  /// A session that wrote nothing.
  static Session withoutWrites(const OrganisationName &Organisation);
  /// A session whose earlier writes are unknown, as after a missing, foreign or
  /// damaged token.
  static Session withUnknownWrites(const OrganisationName &Organisation);

  ReadRequirement requirementFor(const DatabaseName &Database) const;
  /// Each returns whether the session changed.
  bool recordWrite(const DatabaseName &Database, Position Written);
  bool recordUnknownWrite(const DatabaseName &Database);
  /// A confirmed read covers every earlier acknowledged write, so its position
  /// stands for the unknown past of a database that is not listed.
  bool recordConfirmedRead(const DatabaseName &Database, Position Seen);

  const OrganisationName &organisation() const { return m_Organisation; }
  const std::vector<SessionEntry> &entries() const { return m_Entries; }
  bool mayHaveUnlistedWrites() const { return m_MayHaveUnlistedWrites; }

  friend auto operator<=>(const Session &, const Session &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Organisation, m_Entries, m_MayHaveUnlistedWrites);
  }

private:
  SessionEntry &findOrAddEntry(const DatabaseName &Database);
  const SessionEntry *find(const DatabaseName &Database) const;

  OrganisationName m_Organisation;
  /// Least recently added first.
  std::vector<SessionEntry> m_Entries;
  /// Databases that are not listed may have been written by the session.
  bool m_MayHaveUnlistedWrites = false;
};

/// Seals and opens session tokens under a key derived from the fleet secret.
class SessionTokenCodec {
public:
  explicit SessionTokenCodec(std::string_view FleetSecret);
  std::string seal(const Session &Session) const;
  /// Returns nothing for a missing or damaged token, or one of another
  /// organisation.
  std::optional<Session> open(std::string_view Token,
                              const OrganisationName &Organisation) const;

private:
  std::string m_Key;
};

} // namespace almondpier
