/// \file
/// Turns HTTP requests of callers into requests to the core, and results into
/// HTTP responses.
#pragma once

#include "almondpier/Net.h"
#include "decision/proxy/ProxyEvents.h"

namespace almondpier {

constexpr size_t kMaxCallerBodyBytes = 64U << 10U;

/// Checks route, headers and body. Throws Error with the kind to report.
CallerRequest parseCallerRequest(const HttpServerRequest &Request);
HttpResponse errorResponse(const ErrorReport &Report);
HttpResponse callerResponse(const ReplyToCaller &Reply);

} // namespace almondpier
