// Limits what an allocation round places to what the owner can start soon.
#pragma once

#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"
#include <cstdint>

namespace mangohall::batch {

// Removes the last placements until no more than `allowance` are left, which may be negative. The placements of a step
// stand one after the other. Those of steps that a guarantee covers are kept; the last gang may exceed the allowance,
// because its members are placed together. If a placement is removed, no run is evicted for a job without a guarantee.
// Adds the removed steps to the held ones if they want a reason.
void limitAllocation(Allocation& allocation, absl::Span<const PendingStep> steps, std::int64_t allowance);

} // namespace mangohall::batch
