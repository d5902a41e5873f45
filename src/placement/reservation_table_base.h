// Reservations of workers for large requests that have waited long.
#pragma once

#include <limits>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "placement/capacity_ledger_base.h"
#include "placement/placement_type.h"

namespace mangohall {

// Records the workers on which a waiting request will start and its expected start. Other work may use these workers
// until then.
class ReservationTable {
public:
    // Reserves the adjacent workers on which the request is expected to fit first, or updates the expected start of its
    // reservation. Returns the expected start. Nothing if the request is not expected to fit or needs no accelerators.
    absl::optional<absl::Time> reserve(const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now);
    // Does nothing if the attempt has no reservation.
    void drop(const AttemptId& attempt);
    // Drops the reservations that include the worker.
    void dropForWorker(const WorkerName& worker);
    // The attempts that have a reservation.
    std::vector<AttemptId> attempts() const;

    // Free accelerators of the worker that the request may use without delaying the reservation of another attempt.
    std::int32_t unreservedAccelerators(const PlacementRequest& request, const WorkerUsage& worker) const;

private:
    struct Reservation {
        AttemptId attempt;
        // When all reserved accelerators are expected to be free.
        absl::Time startsAt;
        // Number of reserved accelerators by worker.
        absl::flat_hash_map<WorkerName, std::int32_t> reserved;
    };

    // Finds the earliest expected start and the workers for it. Nothing if the request is not expected to fit.
    absl::optional<Reservation> plan(
        const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now) const;
    // Recomputes `startsAt` for the workers of the reservation.
    void refresh(
        Reservation& reservation, const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now) const;
    // Accelerators of the worker that other attempts have reserved.
    std::int32_t reservedByOthers(const AttemptId& attempt, const WorkerName& worker) const;

    // A plain vector, since a shard has only a handful of reservations at a time.
    std::vector<Reservation> m_reservations;
};

} // namespace mangohall
