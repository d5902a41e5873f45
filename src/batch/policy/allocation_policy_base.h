#pragma once

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// Decides on which workers pending tasks start, and which runs are evicted to free capacity for them. A policy has no
// state: its decision depends on the arguments alone.
class AllocationPolicy {
public:
    virtual ~AllocationPolicy() = default;

    // Runs one allocation round. Tasks that are not in the result stay pending. The round updates the free capacity
    // and the runs in `workers` while it places tasks, so the caller has to pass a copy that it does not need again.
    virtual Allocation allocate(
        std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps, absl::Time now) const = 0;
};

} // namespace mangohall::batch
