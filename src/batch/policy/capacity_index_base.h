// The capacity of all workers in one allocation round, by rack.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// The resources that one task of the step takes from a worker's free capacity. Processor time of tasks that use spare
// processor time is not counted.
Resources countedDemand(const StepSpec& spec);

// How many of the step's pending tasks fit into the available resources together.
std::size_t countFittingTasks(const Resources& available, const PendingStep& pending);

// A kind of worker: one that runs tasks of the service and has the label. An empty label stands for any.
struct WorkerKind {
    ServiceName service;
    WorkerLabel label;

    friend bool operator==(const WorkerKind&, const WorkerKind&) = default;
};

// A reserve of workers.
struct WorkerReserve {
    // Workers of no other kinds are reserved.
    std::vector<WorkerKind> kinds;
    // How many free accelerators are reserved.
    double accelerators = 0;
    // Workers with fewer free accelerators are not reserved.
    std::int32_t minFreeAccelerators = 0;
    // Steps that were ready by this time may use the reserved workers all the same.
    absl::Time openToStepsReadyBy = absl::InfinitePast();
};

// Finds workers by rack, updates their free capacity while tasks are placed, and counts how often workers are examined:
// the duration of an allocation round is proportional to that count. Workers are named by their index in the vector
// that the constructor gets. Not thread-safe.
class CapacityIndex {
public:
    // The vector has to outlive the index. Until then its elements must not move or change their rack.
    explicit CapacityIndex(std::vector<WorkerCapacity>& workers);

    // The indices of the workers on the rack; those of all workers if the rack name is empty.
    absl::Span<const std::size_t> workersOn(const RackName& rack) const;
    // The number of workers.
    std::size_t size() const { return m_workers.size(); }

    // The racks, those with the fewest free accelerators first, so that large blocks of free accelerators stay whole.
    std::vector<RackName> racksFullestFirst() const;

    const WorkerCapacity& at(std::size_t worker) const { return m_workers[worker]; }
    // Returns the same as `at`, and counts the call as an examination of the worker for a step.
    const WorkerCapacity& examine(std::size_t worker) const
    {
        ++m_examinations;
        return m_workers[worker];
    }
    // The number of calls of `examine`.
    std::int64_t examinations() const { return m_examinations; }

    // Whether the step's tasks may run on the worker at all: the service, the required label and the reservation allow
    // it. Does not check the free capacity.
    static bool isEligible(const WorkerCapacity& capacity, const PendingStep& pending);
    // The same, but whether or not the worker is reserved.
    static bool isSuitable(const WorkerCapacity& capacity, const PendingStep& pending);
    // Whether `count` tasks of the step would fit on the rack if nothing else ran there. An empty rack name means all
    // racks together.
    bool mayEverFit(const PendingStep& pending, std::size_t count, const RackName& rack) const;
    // How many tasks like those of the step fit into the free capacity of all workers together, counted up to `limit`.
    // Counts reserved workers if `includesReserved`.
    std::size_t countFitting(const PendingStep& pending, std::size_t limit, bool includesReserved) const;
    // How many more tasks of the step the worker may run under the step's `maxPerWorker`.
    static std::size_t stepAllowance(const WorkerCapacity& capacity, const PendingStep& pending);

    // Adds a task to the worker's runs and subtracts its resources from the free capacity, also if it does not fit.
    void addTask(std::size_t worker, const PendingStep& pending, std::int32_t index);
    // Reverts the last `addTask` on the worker.
    void removeLastTask(std::size_t worker);

    // Marks a run of the worker as stopping, and counts its resources as free after the stops.
    void markStopping(std::size_t worker, std::size_t run);
    // Reverts `markStopping`.
    void unmarkStopping(std::size_t worker, std::size_t run);

    // Reserves workers for tasks of priority 0 until they have the reserve's accelerators, beginning on the rack with
    // the most free accelerators.
    void reserveEmptiest(const WorkerReserve& reserve);

private:
    struct Rack {
        RackName name;
        // Indices of the workers on the rack.
        std::vector<std::size_t> workers;
        std::int64_t freeAccelerators = 0;
    };

    // The racks in the order of `racksFullestFirst`.
    std::vector<const Rack*> sortFullestFirst() const;

    std::vector<WorkerCapacity>& m_workers;
    // The resources of each worker, free or not.
    std::vector<Resources> m_totals;
    // The indices of all workers, in order.
    std::vector<std::size_t> m_allWorkers;
    std::vector<Rack> m_racks;
    // Index in `m_racks` by the rack's name. The keys refer to the names in `m_workers`.
    absl::flat_hash_map<absl::string_view, std::size_t> m_rackByName;
    // Index in `m_racks` by the worker's index.
    std::vector<std::size_t> m_rackByWorker;
    mutable std::int64_t m_examinations = 0;
};

} // namespace mangohall::batch
