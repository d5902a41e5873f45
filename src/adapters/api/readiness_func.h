#pragma once

#include "adapters/api/api_context_type.h"

namespace mangohall {

// Posts a readiness probe to the node: a query that the node can answer only once it has read the configuration. The
// answer arrives under `readinessCaller`.
void probeReadiness(ApiContext& context);

// Records the answer to a readiness probe. An error leaves the state unchanged.
void recordReadiness(ApiContext& context, const CallerAnswer& answer);

} // namespace mangohall
