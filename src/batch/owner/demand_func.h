// What the allocation policy is shown of jobs and workers.
#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/owner/fleet_base.h"
#include "batch/owner/job_book_base.h"
#include "batch/policy/allocation_type.h"
#include "batch/routing/route_table_base.h"

namespace mangohall::batch {

struct AllocationInput {
    // The workers that take work, with what runs there. Left out if no task may start.
    std::vector<WorkerRoom> rooms;
    // The tasks that may start, in order of the jobs' acceptance. The demands point into the book.
    std::vector<StepDemand> demands;
};

// `guaranteeBound` is how long a job that a guarantee covers may wait.
AllocationInput describeAllocation(
    const Fleet& fleet, JobBook& book, const RouteTable* routes, absl::Duration guaranteeBound, absl::Time now);

} // namespace mangohall::batch
