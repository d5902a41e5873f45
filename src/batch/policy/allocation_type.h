// What an allocation policy is shown and what it decides.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// A run that takes room on a worker.
struct Occupant {
    RunKey run;
    Resources demand;
    // 0 comes first.
    std::int32_t priority = 0;
    bool isStopping = false;
    bool mayBeEvicted = false;
    // Covered by its organisation's guarantee.
    bool isGuaranteed = false;
    // The run is a member of a gang, which ends as a whole.
    bool isGang = false;
    // Core-seconds of work that are lost if it is stopped now; of a gang's member, those of the whole gang.
    double stopCost = 0;
};

// One worker that takes work.
struct WorkerRoom {
    WorkerName worker;
    ServiceName service;
    RackName rack;
    std::vector<WorkerLabel> labels;
    Resources free;
    // What is free once all that is being stopped has ended.
    Resources freeAfterStops;
    std::vector<Occupant> occupants;
    // Kept for urgent work; set by the policy itself.
    bool isReserved = false;
    // How much a sound worker is to be preferred, 0 to 1.
    double suspicion = 0;
};

// Tasks of one step that wait for room. A gang's tasks are placed all or not at all.
struct StepDemand {
    JobId job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::vector<std::int32_t> indices;
    // Outlives the choice.
    const StepSpec* spec = nullptr;
    ServiceName service;
    std::int32_t priority = 0;
    // The organisation's guarantee covers it.
    bool isGuaranteed = false;
    // It has waited so long that it may also evict work as urgent as itself that no guarantee covers.
    bool mayReclaim = false;
    // Since when the tasks may start.
    absl::Time readySince;
    // By when the guarantee that covers it wants it started.
    absl::Time startBy = absl::InfiniteFuture();
    // By when the job has to be done to be in time.
    absl::Time objective;
};

struct Placement {
    TaskKey task;
    WorkerName worker;
};

struct Eviction {
    RunKey run;
    WorkerName worker;
};

struct Allocation {
    std::vector<Placement> placements;
    std::vector<Eviction> evictions;
    // How often a worker's room was looked at.
    std::int64_t roomsTried = 0;
};

} // namespace mangohall::batch
