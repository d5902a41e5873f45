// Limits what an allocation round places to what the owner can start soon.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// Removes the last placements until no more than `allowance` are left, which may be negative. The placements of a step
// stand one after the other. Those of steps that a guarantee covers are kept; the last gang may exceed the allowance,
// because its members are placed together. Returns the jobs of the removed placements that want a reason.
std::vector<JobId> limitPlacements(
    std::vector<Placement>& placements, absl::Span<const PendingStep> steps, std::int64_t allowance);

} // namespace mangohall::batch
