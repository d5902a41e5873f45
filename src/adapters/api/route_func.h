// Routing of HTTP requests. It uses neither sockets nor state.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "adapters/api/api_request_type.h"
#include "adapters/api/api_settings_type.h"
#include "adapters/api/route_type.h"
#include "adapters/api/token_table_base.h"

namespace mangohall {

// Authenticates and routes a request. `changeId` identifies a change whose request has no X-Change-Id header. Every
// error has one of the values of ErrorKind.
absl::StatusOr<Route> routeRequest(
    const ApiRequest& request, const TokenTable& tokens, const ApiSettings& settings, absl::string_view changeId);

// Checks what the request head alone decides, before the body is read: NotFound for an unknown path, Unauthenticated
// for an unknown token, PermissionDenied for a token that does not allow the request, OK for everything that only the
// complete request can decide.
absl::Status checkRouteOfHead(const ApiRequest& head, const TokenTable& tokens, const ApiSettings& settings);

} // namespace mangohall
