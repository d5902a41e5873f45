#include "placement/worker_usage_func.h"

#include <algorithm>
#include <limits>

namespace mangohall {
namespace {

// Adds to the accelerators of the guarantee and keeps `reserved` equal to the sum of max(bound, used).
void changeGuaranteeUsage(WorkerUsage& worker, const GuaranteeName& guarantee, std::int32_t bound, std::int32_t used)
{
    GuaranteeUsage& entry = worker.guarantees[guarantee];
    worker.reserved -= std::max(entry.bound, entry.used);
    entry.bound += bound;
    entry.used += used;
    worker.reserved += std::max(entry.bound, entry.used);
    if (entry.bound == 0 && entry.used == 0)
        worker.guarantees.erase(guarantee);
}

// How often the demand fits into what is available. A demand of zero fits without limit.
std::int64_t quotient(std::int64_t available, std::int64_t demand)
{
    if (demand <= 0)
        return std::numeric_limits<std::int32_t>::max();
    return std::max<std::int64_t>(available, 0) / demand;
}

} // namespace

std::int32_t freeAccelerators(const WorkerUsage& worker)
{
    return worker.vm.capacity.accelerators - worker.used.accelerators;
}

std::int32_t bindableAccelerators(const WorkerUsage& worker)
{
    if (!worker.isAvailable)
        return 0;
    return std::max(0, worker.vm.capacity.accelerators - worker.pinned - worker.reserved);
}

std::int32_t unboundFreeAccelerators(const WorkerUsage& worker)
{
    return std::max(0, worker.vm.capacity.accelerators - worker.borrowed - worker.reserved);
}

Resources freeResources(const WorkerUsage& worker)
{
    return { worker.vm.capacity.cpuMillis - worker.used.cpuMillis,
        worker.vm.capacity.memoryBytes - worker.used.memoryBytes, freeAccelerators(worker) };
}

std::int32_t freeSlots(const WorkerUsage& worker, const ServiceName& service, std::int32_t slotsPerWorker)
{
    const auto used = worker.slotsUsed.find(service);
    return used == worker.slotsUsed.end() ? slotsPerWorker : slotsPerWorker - used->second;
}

std::int32_t tasksThatFit(const Resources& resources, std::int32_t slots, const Resources& demandPerTask)
{
    std::int64_t tasks = std::max(slots, 0);
    tasks = std::min(tasks, quotient(resources.cpuMillis, demandPerTask.cpuMillis));
    tasks = std::min(tasks, quotient(resources.memoryBytes, demandPerTask.memoryBytes));
    tasks = std::min(tasks, quotient(resources.accelerators, demandPerTask.accelerators));
    return static_cast<std::int32_t>(tasks);
}

void addBound(WorkerUsage& worker, const GuaranteeName& guarantee, std::int32_t accelerators)
{
    changeGuaranteeUsage(worker, guarantee, accelerators, 0);
}

void addUsed(WorkerUsage& worker, const GuaranteeName& guarantee, std::int32_t accelerators)
{
    changeGuaranteeUsage(worker, guarantee, 0, accelerators);
}

GuaranteeUsage guaranteeUsage(const WorkerUsage& worker, const GuaranteeName& guarantee)
{
    const auto entry = worker.guarantees.find(guarantee);
    return entry == worker.guarantees.end() ? GuaranteeUsage() : entry->second;
}

} // namespace mangohall
