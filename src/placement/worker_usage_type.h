// Plain types for the usage of workers and racks, and for the capacity that a worker has for one request.
#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/name_type.h"
#include "node/peer_message_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// The accelerators that one guarantee has on one worker.
struct GuaranteeUsage {
    // Accelerators of the cell pieces that are bound to the worker.
    std::int32_t bound = 0;
    // Accelerators used by tasks that draw on the guarantee. Exceeds `bound` only while tasks keep running after their
    // cell was bound elsewhere.
    std::int32_t used = 0;
};

// A worker with its total capacity, its used resources and the accelerators that are reserved for guarantees.
struct WorkerUsage {
    // The VM list entry of the worker, with its total capacity.
    VmEntry vm;
    // Identifies the run of the worker process. Tasks of an earlier run are lost.
    std::string incarnation;
    // False while the worker keeps its tasks but gets no new ones.
    bool isAvailable = true;
    // Resources of all tasks on the worker.
    Resources used;
    // Accelerators of tasks that draw on no guarantee.
    std::int32_t borrowed = 0;
    // The part of `borrowed` whose tasks cannot be evicted.
    std::int32_t pinned = 0;
    // Accelerators that guarantees have bound or use: the sum over guarantees of max(bound, used).
    std::int32_t reserved = 0;
    // Number of tasks by service. Each task takes one slot of its service.
    absl::flat_hash_map<ServiceName, std::int32_t> slotsUsed;
    absl::flat_hash_map<GuaranteeName, GuaranteeUsage> guarantees;
    // Number of tasks on the worker by attempt.
    absl::flat_hash_map<AttemptId, std::int32_t> tasks;
};

// The workers of one rack.
struct RackUsage {
    // Sorted by worker name. The ledger owns the workers.
    std::vector<WorkerUsage*> workers;
    // Sum of the free accelerators of the available workers.
    std::int32_t freeAccelerators = 0;
};

// The number of tasks of one request that a worker can run.
struct TaskCapacity {
    const WorkerUsage* worker = nullptr;
    // Tasks that fit on the worker, if necessary after evictions or on top of bound cells.
    std::int32_t tasks = 0;
    // The part of `tasks` that needs no eviction and overlaps no bound cell that the request should avoid.
    std::int32_t preferredTasks = 0;
    // Sort key among workers. The worker with the smallest rank is filled first.
    std::int64_t rank = 0;
};

} // namespace mangohall
