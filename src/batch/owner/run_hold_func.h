// Finds the placed run that a job waits for of which nothing runs.
#pragma once

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/job/job_progress_base.h"
#include "batch/owner/worker_registry_base.h"

namespace mangohall::batch {

// Why a placed run neither runs nor has ended.
enum class RunHold {
    // Its start was not sent: the placement is not durable yet, or no start may be sent just now.
    NotSent,
    // Its start was sent a moment ago, and the call has not ended.
    Starting,
    // It is being stopped, or its end is not known yet.
    Ending,
    // Its worker replies, and a start of it without a reply may still be executed.
    StartInDoubt,
    // Its worker does not reply.
    WorkerSilent,
};

// A placed run that keeps its job from running, and its task, or its whole gang, from being placed anew.
struct HeldRun {
    RunKey run;
    WorkerName worker;
    RunHold hold = RunHold::NotSent;
    // By when the run is over unless its worker shows it; the infinite future if that is not known.
    absl::Time until = absl::InfiniteFuture();
};

// Whether both are the same run, held for the same reason, and the latest end of both is known, or of neither.
inline bool isSameHold(const HeldRun& left, const HeldRun& right)
{
    const bool isSameBound = (left.until == absl::InfiniteFuture()) == (right.until == absl::InfiniteFuture());
    return left.run == right.run && left.hold == right.hold && isSameBound;
}

// The run that the job waits for: of the placed ones, the one that is over last. None if a task of the job runs, or no
// task is placed. A gang runs once every member does.
absl::optional<HeldRun> findHeldRun(const JobProgress& progress, const WorkerRegistry& workers);

} // namespace mangohall::batch
