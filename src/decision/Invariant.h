/// \file
/// Invariants that are checked in every build.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace almondpier {

/// Thrown when an invariant is broken. The process must end: its state can
/// no longer be trusted.
class InvariantViolation : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

/// Throws InvariantViolation unless Holds. Point names the requirement of
/// docs/design.md, such as "R2".
inline void requireInvariant(bool Holds, std::string_view Point,
                             std::string_view Message) {
  if (!Holds)
    throw InvariantViolation("invariant " + std::string(Point) +
                             " broken: " + std::string(Message));
}

} // namespace almondpier
