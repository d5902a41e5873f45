// Routing of requests for jobs, under /v1/jobs.
#pragma once

#include "absl/status/statusor.h"
#include "adapters/api/api_request_type.h"
#include "adapters/api/api_settings_type.h"
#include "node/caller_message_type.h"

namespace mangohall {

// Converts a request for a job into a request for the node. A caller can access only the jobs of its own organisation;
// an operator gives the organisation in the query. Errors: NotFound for a bad path, PermissionDenied for another
// organisation, InvalidValue for a bad method, parameter or key, and those of the body's parser.
absl::StatusOr<CallerRequest> routeJob(
    const ApiRequest& request, const ApiTarget& target, const Identity& identity, const ApiSettings& settings);

} // namespace mangohall
