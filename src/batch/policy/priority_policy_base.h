#pragma once

#include "batch/policy/allocation_policy_base.h"

namespace mangohall::batch {

// Serves pending steps by priority. Within a priority, steps that a guarantee covers come first, then steps whose
// target completion time has not passed, earliest target first. Packs accelerators tightly, keeps tasks near their
// data, and lets tasks of priority 0 evict the runs that lose the least work.
class PriorityPolicy : public AllocationPolicy {
public:
    Allocation allocate(std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps,
        absl::Time now) const override;
};

// A baseline for comparisons: serves pending steps in the order in which they are given, on any worker with free
// capacity, and evicts nothing.
class ArrivalOrderPolicy : public AllocationPolicy {
public:
    Allocation allocate(std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps,
        absl::Time now) const override;
};

} // namespace mangohall::batch
