// Free functions on the usage of one worker.
#pragma once

#include "placement/worker_usage_type.h"

namespace mangohall {

// Accelerators that no task uses. Negative while evicted borrowers still run in a reclaimed cell.
std::int32_t freeAccelerators(const WorkerUsage& worker);

// Accelerators to which another cell could be bound: neither pinned nor reserved for a guarantee. Zero if the worker is
// not available.
std::int32_t bindableAccelerators(const WorkerUsage& worker);

// Free accelerators to which no cell is bound. As many borrowed accelerators as possible are counted outside the cells.
std::int32_t unboundFreeAccelerators(const WorkerUsage& worker);

// The worker's capacity less what its tasks use.
Resources freeResources(const WorkerUsage& worker);

// Slots of the service that are free on the worker. `slotsPerWorker` is the service's limit for each worker.
std::int32_t freeSlots(const WorkerUsage& worker, const ServiceName& service, std::int32_t slotsPerWorker);

// Number of tasks with this demand that fit into the resources and slots.
std::int32_t tasksThatFit(const Resources& resources, std::int32_t slots, const Resources& demandPerTask);

// Binds accelerators of the worker to the guarantee. A negative count unbinds them.
void addBound(WorkerUsage& worker, const GuaranteeName& guarantee, std::int32_t accelerators);

// Counts accelerators as used by tasks that draw on the guarantee. A negative count releases them.
void addUsed(WorkerUsage& worker, const GuaranteeName& guarantee, std::int32_t accelerators);

// The accelerators that the guarantee has on the worker; zero if it has none there.
GuaranteeUsage guaranteeUsage(const WorkerUsage& worker, const GuaranteeName& guarantee);

} // namespace mangohall
