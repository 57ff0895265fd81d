/// \file
/// Names a transaction to its caller.
#pragma once

#include "almondpier/Messages.h"

namespace almondpier {

/// What a transaction token binds: a step with another organisation, key or
/// database is refused.
struct TransactionBinding {
  TransactionId m_Transaction;
  OrganisationName m_Organisation;
  KeyId m_Key;
  DatabaseName m_Database;

  friend auto operator<=>(const TransactionBinding &,
                          const TransactionBinding &) = default;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(m_Transaction, m_Organisation, m_Key, m_Database);
  }
};

/// Seals and opens transaction tokens under a key derived from the fleet
/// secret.
class TransactionTokenCodec {
public:
  explicit TransactionTokenCodec(std::string_view FleetSecret);
  std::string seal(const TransactionBinding &Binding) const;
  /// Returns nothing when the token is missing or damaged.
  std::optional<TransactionBinding> open(std::string_view Token) const;

private:
  std::string m_Key;
};

} // namespace almondpier
