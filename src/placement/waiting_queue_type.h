// Plain types of the queues of requests that wait for capacity.
#pragma once

#include "absl/time/time.h"
#include "placement/placement_type.h"

namespace mangohall {

// A request that waits for capacity in a shard.
struct WaitingRequest {
    PlacementRequest request;
    // When the job was accepted. A request that has waited long gets a reservation.
    absl::Time acceptedAt;
    // The time by which the job must be done; infinite if it has no deadline.
    absl::Time deadline = absl::InfiniteFuture();
    // Run time estimated from earlier runs.
    absl::Duration expectedRunTime;
    // Whether its shape fits into guaranteed cells of its organisation.
    bool isGuaranteed = false;
};

// The stage of a visit in which a request is offered. A guaranteed request is offered in stage Guaranteed for its cells
// and, if it does not fit there, again in the stage of its deadline or fair share. An urgent one is offered only once.
enum class WaitingStage {
    Urgent,
    Guaranteed,
    Deadline,
    FairShare,
};

// The result of a visit to a waiting request.
enum class VisitResult {
    // The request was placed and leaves the queue.
    Placed,
    // The request stays in the queue.
    NotPlaced,
    // The request stays in the queue and the visit ends.
    Stop,
};

} // namespace mangohall
