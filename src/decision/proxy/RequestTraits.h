/// \file
/// Properties of request kinds.
#pragma once

#include "almondpier/Messages.h"

namespace almondpier {

/// A statement, commit or rollback of a transaction that was begun before.
inline bool isTransactionStep(RequestKind Kind) {
  return Kind == RequestKind::Execute || Kind == RequestKind::Commit ||
         Kind == RequestKind::Rollback;
}

/// Executing the request again changes nothing.
inline bool isIdempotent(RequestKind Kind) {
  return Kind == RequestKind::Read || Kind == RequestKind::Outcome;
}

} // namespace almondpier
