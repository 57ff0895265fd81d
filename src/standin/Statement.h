/// \file
/// Statements of the stand-in database.
#pragma once

#include "almondpier/StandIn.h"

namespace almondpier {

enum class StandInOperation : uint8_t { Get, Put, Insert, Append, List };

struct StandInStatement {
  StandInOperation m_Operation = StandInOperation::Get;
  /// Prefix of the keys for List.
  std::string m_Key;
  /// JSON text.
  std::string m_Value;

  bool writes() const {
    return m_Operation == StandInOperation::Put ||
           m_Operation == StandInOperation::Insert ||
           m_Operation == StandInOperation::Append;
  }
  friend auto operator<=>(const StandInStatement &,
                          const StandInStatement &) = default;
};

/// Returns nothing when Text is not a statement.
std::optional<StandInStatement> parseStatement(std::string_view Text);

struct StandInEvaluation {
  /// Set when the statement failed.
  std::optional<std::string> m_Error;
  std::string m_Result;
  std::optional<StandInEffect> m_Effect;
};

/// Evaluates a statement on Rows, with Written taking the place of the rows it
/// names.
StandInEvaluation evaluate(const StandInStatement &Statement,
                           const StandInRows &Rows, const StandInRows &Written);

void applyEffect(const StandInEffect &Effect, StandInRows &Rows);

/// {"error":MESSAGE}
std::string errorBody(const std::string &Message);

} // namespace almondpier
