#pragma once

#include "batch/policy/allocation_policy_base.h"

namespace mangohall::batch {

// Serves guaranteed work first, then by priority, then whoever can still be in time, earliest objective first. Packs
// accelerators tightly, keeps tasks near their data, and lets urgent work evict what loses least.
class PriorityPolicy : public AllocationPolicy {
public:
    Allocation choose(
        std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const override;
};

// The baseline: in order of arrival, wherever there is room, and nobody is evicted.
class ArrivalOrderPolicy : public AllocationPolicy {
public:
    Allocation choose(
        std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const override;
};

} // namespace mangohall::batch
