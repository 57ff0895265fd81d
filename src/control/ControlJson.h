/// \file
/// JSON encoding of changes, of the configuration and of the state of a control
/// host. Only source files include this header, because it includes
/// nlohmann/json.
#pragma once

#include "decision/control/ControlBlackboard.h"

#include <nlohmann/json.hpp>

namespace almondpier {

/// Parses the body of a configuration change. Throws Error(BadRequest).
ChangeBody parseChangeBody(const nlohmann::json &Source);
/// Parses an announcement of an instance. Throws Error(BadRequest).
InstanceRecord parseAnnouncement(const nlohmann::json &Source);

nlohmann::json toJson(const ErrorReport &Error);
nlohmann::json toJson(const Configuration &Configuration);
nlohmann::json toJson(const AuditRecord &Record);
nlohmann::json statusToJson(const ControlBlackboard &Board);

} // namespace almondpier
