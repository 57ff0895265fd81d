#include "almondpier/Model.h"

namespace almondpier {

namespace {

struct ErrorTraits {
  std::string_view m_Name;
  int m_HttpStatus;
  std::string_view m_Remedy;
};

} // namespace

static ErrorTraits traitsOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::BadRequest:
    return {"bad_request", 400, "correct the request as the message says"};
  case ErrorKind::UnknownKey:
    return {"unknown_key", 401,
            "send a key that is in force in the Authorization header, or ask "
            "an operator for one"};
  case ErrorKind::UnknownRoute:
    return {"unknown_route", 404, "use one of the routes in docs/api.md"};
  case ErrorKind::UnknownDatabase:
    return {"unknown_database", 404,
            "check the name; 'almondpier databases list' shows the known ones"};
  case ErrorKind::UnknownTransaction:
    return {"unknown_transaction", 404, "begin a new transaction"};
  case ErrorKind::ForeignTransaction:
    return {"foreign_transaction", 403,
            "use the key that began the transaction"};
  case ErrorKind::TransactionLost:
    return {"transaction_lost", 409,
            "the transaction was rolled back; begin it again"};
  case ErrorKind::BodyTooLarge:
    return {"body_too_large", 413, "send a smaller body"};
  case ErrorKind::RateLimited:
    return {
        "rate_limited", 429,
        "retry after the stated time, or ask the members for a higher limit"};
  case ErrorKind::Overloaded:
    return {"overloaded", 503,
            "retry after the stated time, or allow a longer Timeout-Ms"};
  case ErrorKind::DeadlineExceeded:
    return {"deadline_exceeded", 504, "retry, or allow a longer Timeout-Ms"};
  case ErrorKind::ConfigurationStale:
    return {
        "configuration_stale", 503,
        "retry; if it persists, check that the control hosts have a majority"};
  case ErrorKind::NoPrimary:
    return {"no_primary", 503,
            "retry; if it persists, check that a majority of the database's "
            "instances is up"};
  case ErrorKind::OutcomeUnknown:
    return {"outcome_unknown", 504,
            "ask /v1/databases/DATABASE/requests/ID, or send the request again "
            "with the same Idempotency-Key"};
  case ErrorKind::IdempotencyMismatch:
    return {"idempotency_mismatch", 422,
            "use a new Idempotency-Key for a different statement"};
  case ErrorKind::StatementFailed:
    return {"statement_failed", 422,
            "correct the statement as the message says"};
  case ErrorKind::ShuttingDown:
    return {"shutting_down", 503, "retry through another host"};
  case ErrorKind::NotLeader:
    return {"not_leader", 421,
            "send the request to the leader, or retry when one is elected"};
  case ErrorKind::VersionConflict:
    return {"version_conflict", 409,
            "read the current configuration and decide again"};
  case ErrorKind::NotFound:
    return {"not_found", 404, "check the name with the list command"};
  case ErrorKind::AlreadyExists:
    return {"already_exists", 409, "choose another name"};
  case ErrorKind::Internal:
    return {"internal", 500, "report it with the log line of this time"};
  }
  return {"internal", 500, "report it with the log line of this time"};
}

std::string_view nameOf(ErrorKind Kind) { return traitsOf(Kind).m_Name; }
std::string_view remedyOf(ErrorKind Kind) { return traitsOf(Kind).m_Remedy; }
int httpStatusOf(ErrorKind Kind) { return traitsOf(Kind).m_HttpStatus; }

std::string_view nameOf(Ran Value) {
  switch (Value) {
  case Ran::No:
    return "no";
  case Ran::Unknown:
    return "unknown";
  case Ran::Yes:
    return "yes";
  }
  return "unknown";
}

} // namespace almondpier
