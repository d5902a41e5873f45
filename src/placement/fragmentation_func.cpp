#include "placement/fragmentation_func.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "job/job_func.h"
#include "placement/task_spread_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

// The free accelerators of an available worker.
std::int32_t idleAcceleratorsOf(const WorkerUsage& worker)
{
    return worker.isAvailable ? std::max(0, freeAccelerators(worker)) : 0;
}

// The shape with the most accelerators, and among equal ones the one with the strictest adjacency. Null if none uses
// accelerators.
const Shape* largestShape(absl::Span<const Shape> shapes)
{
    const Shape* largest = nullptr;
    for (const Shape& shape : shapes) {
        if (shape.acceleratorsPerTask <= 0)
            continue;
        const bool isLarger = largest == nullptr || totalAccelerators(shape) > totalAccelerators(*largest)
            || (totalAccelerators(shape) == totalAccelerators(*largest) && shape.adjacency > largest->adjacency);
        if (isLarger)
            largest = &shape;
    }
    return largest;
}

// Accelerators used by complete copies of the shape on adjacent workers with capacity for `tasks` tasks.
std::int64_t acceleratorsOfCopies(const Shape& shape, std::int64_t tasks)
{
    return tasks / shape.tasks * totalAccelerators(shape);
}

// The number of idle accelerators that the shape uses when it is placed as often as it fits.
std::int64_t usableAccelerators(const CapacityLedger& ledger, const Shape& shape)
{
    std::int64_t usable = 0;
    std::int64_t shardTasks = 0;
    for (const auto& [rackName, rack] : ledger.racks()) {
        std::int64_t rackTasks = 0;
        for (const WorkerUsage* worker : rack.workers) {
            const std::int64_t tasks = idleAcceleratorsOf(*worker) / shape.acceleratorsPerTask;
            rackTasks += tasks;
            if (shape.adjacency == Adjacency::SameWorker)
                usable += acceleratorsOfCopies(shape, tasks);
        }
        shardTasks += rackTasks;
        if (shape.adjacency == Adjacency::SameRack)
            usable += acceleratorsOfCopies(shape, rackTasks);
    }
    if (shape.adjacency == Adjacency::SameDataCentre || shape.adjacency == Adjacency::Anywhere)
        usable = acceleratorsOfCopies(shape, shardTasks);
    return usable;
}

} // namespace

Fragmentation measureFragmentation(const CapacityLedger& ledger, absl::Span<const Shape> shapes)
{
    Fragmentation fragmentation;
    for (const auto& [name, worker] : ledger.workers())
        fragmentation.idleAccelerators += idleAcceleratorsOf(worker);
    const Shape* shape = largestShape(shapes);
    if (shape == nullptr)
        return fragmentation;
    const std::int64_t usable = usableAccelerators(ledger, *shape);
    fragmentation.unusableAccelerators = fragmentation.idleAccelerators - static_cast<std::int32_t>(usable);
    return fragmentation;
}

CapacitySummary summarize(const CapacityLedger& ledger, const ShardName& shard)
{
    CapacitySummary summary;
    summary.shard = shard;
    for (const auto& [rackName, rack] : ledger.racks()) {
        std::int32_t rackFree = 0;
        for (const WorkerUsage* worker : rack.workers) {
            rackFree += idleAcceleratorsOf(*worker);
            summary.largestFreeWorker = std::max(summary.largestFreeWorker, idleAcceleratorsOf(*worker));
        }
        summary.freeAccelerators += rackFree;
        summary.largestFreeRack = std::max(summary.largestFreeRack, rackFree);
    }
    return summary;
}

absl::Status testFitsEmptyWorkers(const CapacityLedger& ledger, const PlacementRequest& request)
{
    const std::int32_t slots = ledger.slotsPerWorker(request.spec.service);
    std::vector<TaskCapacity> capacities;
    std::int32_t maxTasksPerWorker = 0;
    for (const auto& [rackName, rack] : ledger.racks()) {
        for (const WorkerUsage* worker : rack.workers) {
            const std::int32_t tasks = tasksThatFit(worker->vm.capacity, slots, request.demandPerTask);
            capacities.push_back({ worker, tasks, tasks, 0 });
            maxTasksPerWorker = std::max(maxTasksPerWorker, tasks);
        }
    }
    if (maxTasksPerWorker == 0)
        return makeError(ErrorKind::NeverFits, "no worker is large enough for one task");
    if (!spreadTasksFirstFit(request.spec.shape, capacities).has_value()) {
        return makeError(ErrorKind::NeverFits,
            absl::StrCat("no set of adjacent workers is large enough for ", request.spec.shape.tasks, " tasks"));
    }
    return absl::OkStatus();
}

} // namespace mangohall
