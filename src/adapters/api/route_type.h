// Results of routing a request.
#pragma once

#include <variant>

#include "node/caller_message_type.h"

namespace mangohall {

// A page that the front end serves without calling the node.
enum class LocalPage {
    // /healthz
    Health,
    // /readyz
    Readiness,
    // /metrics
    Metrics,
    // /v1/reports/burn, the burn report as JSON
    BurnReport,
    // /reports/burn, the burn report as an HTML page
    BurnPage,
};

// A request for the node, with the identity that sent it.
struct NodeRoute {
    Identity identity;
    CallerRequest request;
};

// Destination of a request.
using Route = std::variant<LocalPage, NodeRoute>;

} // namespace mangohall
