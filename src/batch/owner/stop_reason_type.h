#pragma once

namespace mangohall::batch {

// Why the owner stops a run.
enum class StopReason {
    JobCancelled,
    JobFailed,
    JobCompleted,
    // Another member of the gang has ended without being done.
    GangBroken,
    // The run makes room for other work.
    Evicted,
    // The run would not be done before its draining worker is gone.
    WorkerLeaves,
    // The run makes no progress and loses little by a restart.
    Stalled,
    // The worker lists a run that is not the task's current one.
    Superseded,
    // The worker accepts no work any more now that the placement is durable.
    WorkerUnavailable,
    // The worker has not confirmed the start in time.
    StartUnconfirmed,
    // The node shuts down, and the next owner has to know of every start that was sent.
    OwnerStops,
};

} // namespace mangohall::batch
