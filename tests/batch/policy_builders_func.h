// Builds the input of allocation rounds for tests of policies.
#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// The time of the round.
inline const absl::Time now = absl::FromUnixSeconds(1700000000);

// Racks of workers with 8 accelerators each.
inline std::vector<WorkerCapacity> makeWorkers(int racks, int workersPerRack)
{
    std::vector<WorkerCapacity> workers;
    for (int rack = 0; rack < racks; ++rack) {
        for (int worker = 0; worker < workersPerRack; ++worker) {
            WorkerCapacity capacity;
            capacity.worker = WorkerName(absl::StrCat("w", rack, worker));
            capacity.rack = RackName(absl::StrCat("r", rack));
            capacity.free = { 128000, 1 << 30, 8 };
            capacity.freeAfterStops = capacity.free;
            workers.push_back(capacity);
        }
    }
    return workers;
}

// Adds a run that may be evicted to the worker.
inline void occupy(
    WorkerCapacity& capacity, const std::string& job, int accelerators, double evictionCost, int priority = 2)
{
    AllocatedRun run;
    run.run.task.job = JobId(job);
    run.run.task.task.index = static_cast<std::int32_t>(capacity.runs.size());
    run.demand = { 1000, 1, accelerators };
    run.priority = priority;
    run.isEvictable = true;
    run.evictionCost = evictionCost;
    capacity.free -= run.demand;
    capacity.freeAfterStops -= run.demand;
    capacity.runs.push_back(run);
}

// Racks of workers as above, of which runs of this priority use the first `busy` workers whole.
inline std::vector<WorkerCapacity> makeBusyWorkers(int racks, int workersPerRack, std::size_t busy, int priority)
{
    std::vector<WorkerCapacity> workers = makeWorkers(racks, workersPerRack);
    for (std::size_t worker = 0; worker < busy; ++worker)
        occupy(workers[worker], "busy", 8, 1, priority);
    return workers;
}

// A step of tasks that run for 4 s.
inline StepSpec specOf(int tasks, int accelerators)
{
    StepSpec spec;
    spec.taskCount = tasks;
    spec.demand = { 1000, 1, accelerators };
    spec.estimate = absl::Seconds(4);
    return spec;
}

inline PendingStep pendingStepOf(const std::string& job, const StepSpec& spec, int priority)
{
    PendingStep pending;
    pending.job = JobId(job);
    pending.spec = &spec;
    pending.priority = priority;
    pending.readySince = now;
    pending.targetEnd = now + absl::Seconds(5);
    for (std::int32_t index = 0; index < spec.taskCount; ++index)
        pending.indices.push_back(index);
    return pending;
}

// The names of the racks that tasks were placed on.
inline std::set<std::string> racksOf(const Allocation& allocation, absl::Span<const WorkerCapacity> workers)
{
    std::set<std::string> racks;
    for (const Placement& placement : allocation.placements) {
        const auto found = std::find_if(workers.begin(), workers.end(),
            [&placement](const WorkerCapacity& candidate) { return candidate.worker == placement.worker; });
        racks.insert(found->rack.str());
    }
    return racks;
}

} // namespace mangohall::batch
