// Builds the input of the allocation policy from the registries of jobs and workers.
#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/owner/job_registry_base.h"
#include "batch/owner/worker_registry_base.h"
#include "batch/policy/allocation_type.h"
#include "batch/routing/route_table_base.h"

namespace mangohall::batch {

// The input of one allocation round.
struct AllocationInput {
    // The workers that accept new work, with the runs on them. Empty if no task may start.
    std::vector<WorkerCapacity> workers;
    // The steps with tasks that may start, in order of their jobs' acceptance. They point into the job registry.
    std::vector<PendingStep> pendingSteps;
};

// Builds the input of an allocation round. `guaranteeBound` is the longest time that a job covered by a guarantee may
// wait. Records in the registry since when each step has been ready.
AllocationInput describeAllocation(const WorkerRegistry& workers, JobRegistry& jobs, const RouteTable* routes,
    absl::Duration guaranteeBound, absl::Time now);

} // namespace mangohall::batch
