#include "decision/session/SessionEvents.h"

namespace almondpier {

std::string_view nameOf(SessionError Error) {
  switch (Error) {
  case SessionError::UnknownKey:
    return "unknown key";
  case SessionError::UnknownDatabase:
    return "unknown database";
  case SessionError::Malformed:
    return "malformed";
  case SessionError::UnknownStatement:
    return "unknown prepared statement";
  case SessionError::TooLarge:
    return "too large";
  case SessionError::Busy:
    return "busy";
  case SessionError::Aborted:
    return "aborted";
  case SessionError::Lagging:
    return "lagging";
  case SessionError::ReadOnly:
    return "read only";
  case SessionError::Misrouted:
    return "misrouted";
  case SessionError::TooManyConnections:
    return "too many connections";
  case SessionError::Failed:
    return "failed";
  case SessionError::TimedOut:
    return "timed out";
  case SessionError::OutcomeUnknown:
    return "outcome unknown";
  case SessionError::Other:
    return "other error";
  }
  return "other error";
}

std::string_view nameOf(ReplyDefect Defect) {
  switch (Defect) {
  case ReplyDefect::InvalidLine:
    return "an invalid line";
  case ReplyDefect::NoResult:
    return "no result";
  case ReplyDefect::Repeated:
    return "a reply once more";
  case ReplyDefect::Unrequested:
    return "a reply that no statement waits for";
  }
  return "an invalid reply";
}

bool isWrite(const Statement &Statement) {
  return Statement.m_Kind == StatementKind::Write ||
         (Statement.m_Kind == StatementKind::Execute && Statement.m_IsWrite);
}

bool endsTransaction(const Statement &Statement) {
  return Statement.m_Kind == StatementKind::Commit ||
         Statement.m_Kind == StatementKind::Rollback;
}

Statement makeProxyStatement(StatementKind Kind) {
  Statement Result;
  Result.m_Kind = Kind;
  return Result;
}

bool provesNotExecuted(SessionError Error) {
  return Error == SessionError::Busy || Error == SessionError::Aborted ||
         Error == SessionError::Lagging || Error == SessionError::ReadOnly ||
         Error == SessionError::Misrouted ||
         Error == SessionError::TooManyConnections;
}

} // namespace almondpier
