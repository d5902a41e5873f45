// Input and output of an allocation policy.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// A run that occupies resources of a worker.
struct AllocatedRun {
    RunKey run;
    // The resources that the run occupies.
    Resources demand;
    // The label that the run's step requires of its worker; empty if it requires none.
    WorkerLabel requiredLabel;
    // The priority of the job's queue; 0 is the most urgent.
    std::int32_t priority = 0;
    // A stop of the run has been requested. Its resources become free when it ends.
    bool isStopping = false;
    // The run is expected to end by itself about as soon as it could be stopped.
    bool isEnding = false;
    // The run may be stopped to free its resources for more urgent work.
    bool isEvictable = false;
    // The run is covered by its organisation's guarantee.
    bool isGuaranteed = false;
    // The run is a member of a gang. Stopping one member ends all of them.
    bool isGang = false;
    // The work that is lost if the run is stopped now, in core-seconds. For a member of a gang this is the work of the
    // whole gang.
    double evictionCost = 0;
};

// The capacity of one worker that accepts work, and the runs that occupy it.
struct WorkerCapacity {
    WorkerName worker;
    ServiceName service;
    RackName rack;
    std::vector<WorkerLabel> labels;
    // The resources that are free now.
    Resources free;
    // The resources that are free once every run that is stopping has ended.
    Resources freeAfterStops;
    // The runs that occupy resources of the worker.
    std::vector<AllocatedRun> runs;
    // The worker accepts only tasks of priority 0 in this round, and those of steps that were ready by this time; the
    // infinite future for a worker that is not reserved. The policy sets this itself.
    absl::Time openToStepsReadyBy = absl::InfiniteFuture();
    // The likelihood that the worker is failing, from 0 for a healthy worker to 1. Workers with a lower value are
    // preferred.
    double failureSuspicion = 0;
};

// The pending tasks of one step. The tasks of a gang are placed all together or not at all.
struct PendingStep {
    JobId job;
    std::int32_t occurrence = 0;
    // The index of the step within the job.
    std::int32_t step = 0;
    // The indices of the pending tasks within the step.
    std::vector<std::int32_t> indices;
    // Never null; has to outlive the allocation round.
    const StepSpec* spec = nullptr;
    // The service whose workers may run the tasks.
    ServiceName service;
    // The priority of the job's queue; 0 is the most urgent.
    std::int32_t priority = 0;
    // The step is covered by its organisation's guarantee.
    bool isGuaranteed = false;
    // The step has waited so long that it may also evict runs of its own priority that no guarantee covers.
    bool mayReclaim = false;
    // The time from which the tasks could have started.
    absl::Time readySince;
    // The latest start that the guarantee allows; the infinite future for a step that no guarantee covers.
    absl::Time startBy = absl::InfiniteFuture();
    // The target completion time of the job.
    absl::Time targetEnd;
    // The step has waited for so long that one task of it, or its whole gang, is to start wherever there is room; each
    // task of a long-running step.
    bool isOverdue = false;
    // The result should say why tasks of the step are not placed. Finding that out examines each worker once more.
    bool wantsReason = false;
};

// Why tasks of a step are not placed.
enum class HoldReason {
    // No worker has enough free capacity.
    NoCapacity,
    // Runs are being stopped, so that the tasks fit later.
    AwaitsEvictions,
    // The workers with enough free capacity are reserved for urgent work.
    Reserved,
    // The racks that the step prefers have too little free capacity, and it still waits for them.
    AwaitsRack,
    // The owner has placed as much as it can start soon.
    OwnerBusy,
};

// A step of which no task was placed.
struct HeldStep {
    JobId job;
    HoldReason reason = HoldReason::NoCapacity;
};

// A task and the worker that it starts on.
struct Placement {
    TaskKey task;
    WorkerName worker;
};

// A run to stop and the worker that it occupies.
struct Eviction {
    RunKey run;
    WorkerName worker;
    // The job whose tasks get the capacity.
    JobId beneficiary;
};

// The result of one allocation round.
struct Allocation {
    std::vector<Placement> placements;
    std::vector<Eviction> evictions;
    // The steps that want a reason and of which no task was placed.
    std::vector<HeldStep> held;
    // How often the round examined a worker for a step; a worker counts each time.
    std::int64_t workersExamined = 0;
};

} // namespace mangohall::batch
