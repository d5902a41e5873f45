// Chooses the attempts to evict so that tasks of a guarantee can be placed.
#pragma once

#include <vector>

#include "absl/types/span.h"
#include "placement/capacity_ledger_base.h"
#include "placement/placement_type.h"
#include "placement/task_spread_func.h"

namespace mangohall {

// The free capacity that a worker would have if every attempt that may be evicted for the request left it.
struct ReclaimableCapacity {
    Resources resources;
    // Free slots of the request's service.
    std::int32_t slots = 0;
    // Accelerators in the guarantee's own cells that evictions of lower-priority work of its organisation would free.
    std::int32_t ownAccelerators = 0;
};

// Computes the capacity of the worker for a request that draws on the guarantee.
ReclaimableCapacity reclaimableCapacity(const CapacityLedger& ledger, const PlacementRequest& request,
    const GuaranteeName& guarantee, const WorkerUsage& worker);

// Chooses a small number of attempts to evict, preferring those that started last. The shares fit into the guarantee's
// cells once these attempts have left.
std::vector<AttemptId> chooseEvictions(const CapacityLedger& ledger, const PlacementRequest& request,
    const GuaranteeName& guarantee, absl::Span<const TaskShare> shares);

} // namespace mangohall
