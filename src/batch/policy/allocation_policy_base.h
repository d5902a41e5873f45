#pragma once

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// Decides who starts where, and who makes room. Has no state: what it knows is what it is shown.
class AllocationPolicy {
public:
    virtual ~AllocationPolicy() = default;

    // Places waiting tasks into the rooms, which it uses as its scratch pad.
    virtual Allocation choose(
        std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const = 0;
};

} // namespace mangohall::batch
