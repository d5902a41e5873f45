// Routing of requests for declared resources, under /v1/KIND.
#pragma once

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "adapters/api/api_request_type.h"
#include "node/caller_message_type.h"

namespace mangohall {

// Converts an operator's request for declared resources into a request for the node. `changeId` identifies a change
// whose request has no X-Change-Id header. Errors: InvalidValue for a bad method, parameter or header, NotFound for an
// unknown path, and those of the parsers of kind and body.
absl::StatusOr<CallerRequest> routeConfig(
    const ApiRequest& request, const ApiTarget& target, absl::string_view changeId);

} // namespace mangohall
