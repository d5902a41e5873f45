// Plain types of placement.
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "core/name_type.h"
#include "job/job_type.h"
#include "node/peer_message_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// A request to place the part of an attempt that one shard runs.
struct PlacementRequest {
    AttemptId attempt;
    // The job's specification. Its shape counts only the tasks of this part.
    JobSpec spec;
    // Index of the part's first task in the attempt.
    std::int32_t firstTask = 0;
    // Expected demand of each task. Never fewer accelerators than declared.
    Resources demandPerTask;
    // The expected end if the tasks started now. They are not placed on accelerators of a reservation that starts
    // before it.
    absl::Time expectedEndAt = absl::InfiniteFuture();
};

// The tasks of an attempt that hold capacity in the shard.
struct Occupancy {
    AttemptId attempt;
    OrganisationName organisation;
    ServiceName service;
    std::vector<TaskPlacement> placement;
    Resources demandPerTask;
    bool isEvictable = false;
    Priority priority = Priority::Normal;
    // The guarantee in whose cells the tasks are placed; empty for a borrower.
    GuaranteeName guarantee;
    // The attempts that started last are evicted first.
    absl::Time startedAt;
    // The end expected from earlier runs; infinite if unknown.
    absl::Time expectedEndAt = absl::InfiniteFuture();
    // Attempts that have to leave before the tasks can start.
    std::vector<AttemptId> evictions;
};

// The workers chosen for a request.
struct PlacementDecision {
    std::vector<TaskPlacement> placement;
    // The guarantee on which the placement draws; empty for a borrower.
    GuaranteeName guarantee;
    // Attempts that have to leave first: borrowers and, for urgent work, lower-priority work of the same organisation
    // in the same cells. Empty if the capacity is free now.
    std::vector<AttemptId> evictions;
};

// A guarantee of which some cells cannot be bound to the available workers.
struct GuaranteeShortfall {
    GuaranteeName guarantee;
    // Number of unbound cells.
    int missingCells = 0;
};

// Measures how scattered the idle accelerators are.
struct Fragmentation {
    // Idle accelerators of the available workers.
    std::int32_t idleAccelerators = 0;
    // Idle accelerators that the largest requested shape cannot use.
    std::int32_t unusableAccelerators = 0;
};

} // namespace mangohall
