// The interface of the placement pools, which manage the workers and accelerators of one shard.
#pragma once

#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "configuration/configuration_type.h"
#include "placement/placement_type.h"

namespace mangohall {

// The aggregate that upholds guarantees: apart from borrowers that can be evicted, each guaranteed cell has adjacent
// accelerators of its own, clear of work that cannot be evicted. Each change is tested before it is made.
class PlacementPool {
public:
    virtual ~PlacementPool() = default;

    // Adds a worker or updates it. A worker that is not available keeps its tasks and gets no new ones.
    virtual void setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable) = 0;
    // Removes a worker and its tasks.
    virtual void removeWorker(const WorkerName& worker) = 0;
    // Replaces the declared guarantees. Those of other shards are ignored.
    virtual void setGuarantees(absl::Span<const Guarantee> guarantees) = 0;
    // Replaces the declared services, which limit their tasks on each worker.
    virtual void setServices(absl::Span<const Service> services) = 0;
    virtual void setPolicy(const Policy& policy) = 0;

    // Tests whether the part would fit if all present workers were empty. NeverFits with the reason if not.
    virtual absl::Status testEverFits(const PlacementRequest& request) const = 0;

    // Chooses workers for the part whose capacity is free now, or free once the evictions of the result are done.
    // Nothing if it does not fit. A borrower never causes evictions. Changes nothing.
    virtual absl::optional<PlacementDecision> choose(const PlacementRequest& request) const = 0;

    // Allocates the capacity of a choice. RevisionConflict if the choice is out of date; then nothing is changed. A
    // choice in a guarantee's cells may be allocated while its evictions are still in progress, so that no other
    // request takes the capacity in the meantime. Its tasks may start once every attempt in `evictions` has been
    // vacated.
    virtual absl::Status occupy(const Occupancy& occupancy) = 0;
    // Allocates the capacity of tasks that were found running after a change of owner, even beyond what is free.
    virtual void adopt(const Occupancy& occupancy) = 0;
    // Releases the capacity of one task of the attempt.
    virtual void vacate(const AttemptId& attempt, std::int32_t taskIndex) = 0;
    // Releases the capacity of all tasks of the attempt.
    virtual void vacateAll(const AttemptId& attempt) = 0;

    // Reserves workers for a request that has waited long. Until its expected start, only work that ends before that
    // start is placed on their reserved accelerators. The workers stay the same until the request is placed or the
    // reservation is dropped; calling this again updates the expected start. Returns the expected start, or nothing if
    // the pool makes no reservation.
    virtual absl::optional<absl::Time> reserve(const PlacementRequest& request, absl::Time now) = 0;
    // Does nothing if the attempt has no reservation.
    virtual void dropReservation(const AttemptId& attempt) = 0;
    // The attempts that have a reservation.
    virtual std::vector<AttemptId> reservations() const = 0;

    // Number of accelerators that the organisation's tasks use in the shard.
    virtual std::int64_t heldAccelerators(const OrganisationName& organisation) const = 0;

    // The guarantees with cells that cannot be bound at present.
    virtual std::vector<GuaranteeShortfall> shortfalls() const = 0;
    // Measures fragmentation for the shapes of waiting requests and of the guarantees' cells.
    virtual Fragmentation fragmentation(absl::Span<const Shape> waiting) const = 0;
    // The free accelerators of the shard. The number of queued tasks is left at 0.
    virtual CapacitySummary summary() const = 0;
};

// Creates the pool that reserves guarantees as cells and places borrowers outside them where possible.
std::unique_ptr<PlacementPool> makeCellPool(const ShardName& shard);

// Creates the baseline pool: first fit in order of worker name, without regard to guarantees.
std::unique_ptr<PlacementPool> makeFirstFitPool(const ShardName& shard);

} // namespace mangohall
