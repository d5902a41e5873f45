// Records which attempts use which workers of one shard.
#pragma once

#include <map>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"
#include "absl/types/span.h"
#include "configuration/configuration_type.h"
#include "placement/placement_type.h"
#include "placement/worker_usage_type.h"

namespace mangohall {

// An attempt that holds capacity, with the workers of its tasks.
struct HeldAttempt {
    // The occupancy as it was allocated, without its placement.
    Occupancy occupancy;
    // The worker of each task by task index.
    absl::flat_hash_map<std::int32_t, WorkerName> workers;
};

// Keeps the workers, the racks and the attempts that hold capacity in one shard. Totals are updated with each change,
// so that choosing a placement does not iterate over all tasks. Both placement pools are built on it.
class CapacityLedger {
public:
    using Workers = std::map<WorkerName, WorkerUsage>;
    using Racks = std::map<RackName, RackUsage>;
    using Attempts = absl::flat_hash_map<AttemptId, HeldAttempt>;

    // Adds a worker or updates it. Its tasks stay.
    void setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable);
    // Removes a worker and releases its tasks. Does nothing if the worker is unknown.
    void removeWorker(const WorkerName& worker);
    // Replaces the limits on tasks of each service on a worker.
    void setServices(absl::Span<const Service> services);
    // Replaces the guarantees that tasks may draw on. Tasks that draw on any other guarantee count as borrowers from
    // then on.
    void setGuaranteeNames(absl::Span<const GuaranteeName> names);

    // RevisionConflict unless the worker of each task exists, is available, has the incarnation of the placement and
    // does not run the task yet. Free capacity is not checked.
    absl::Status testAllocate(const Occupancy& occupancy) const;
    // Allocates the capacity of each task whose worker exists. Tasks that are allocated already are left unchanged.
    void allocate(const Occupancy& occupancy);
    // Releases one task of the attempt. Does nothing if it is not allocated.
    void release(const AttemptId& attempt, std::int32_t taskIndex);
    // Releases all tasks of the attempt. Does nothing if none is allocated.
    void releaseAll(const AttemptId& attempt);

    const Workers& workers() const { return m_workers; }
    const Racks& racks() const { return m_racks; }
    const Attempts& attempts() const { return m_attempts; }
    // The service's limit of tasks on each worker; the default of `Service` if the service is not declared.
    std::int32_t slotsPerWorker(const ServiceName& service) const;
    // Whether the tasks draw on no declared guarantee and may be evicted.
    bool isEvictableBorrower(const Occupancy& occupancy) const;
    // Counts the attempt as a borrower from now on, even if it draws on a guarantee.
    void makeBorrower(const AttemptId& attempt);
    // Accelerators that all tasks of the organisation use.
    std::int64_t heldAccelerators(const OrganisationName& organisation) const;

    // Binds accelerators of a worker to a guarantee. A negative count unbinds them. The worker must exist.
    void bind(const WorkerName& worker, const GuaranteeName& guarantee, std::int32_t accelerators);

private:
    // Whether the tasks draw on no declared guarantee.
    bool isBorrower(const Occupancy& occupancy) const;
    void allocateTask(WorkerUsage& worker, const AttemptId& attempt, const Occupancy& occupancy);
    void releaseTask(WorkerUsage& worker, const AttemptId& attempt, const Occupancy& occupancy);
    // Adds the accelerators to the worker's total of their class: used by a guarantee, borrowed, pinned.
    void countByClass(WorkerUsage& worker, const Occupancy& occupancy, std::int32_t accelerators);
    // Adds the demand of the tasks to all totals. A negative number of tasks subtracts it.
    void changeUsage(WorkerUsage& worker, const Occupancy& occupancy, std::int32_t tasks);
    void addToRack(WorkerUsage& worker);
    void removeFromRack(WorkerUsage& worker);
    // Removes the tasks of a worker that is about to be removed.
    void removeTasksOf(const WorkerName& name, WorkerUsage& worker);

    Workers m_workers;
    Racks m_racks;
    Attempts m_attempts;
    absl::flat_hash_map<ServiceName, std::int32_t> m_slotsPerWorker;
    absl::flat_hash_map<OrganisationName, std::int64_t> m_heldAccelerators;
    // The declared guarantees. Tasks that draw on any other one are borrowers.
    absl::flat_hash_set<GuaranteeName> m_guaranteeNames;
};

} // namespace mangohall
