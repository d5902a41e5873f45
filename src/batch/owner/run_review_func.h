// Finds the runs of a worker that should be stopped and started elsewhere.
#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/owner/job_registry_base.h"
#include "batch/owner/stop_reason_type.h"
#include "batch/owner/worker_registry_base.h"
#include "batch/worker/worker_session_base.h"

namespace mangohall::batch {

// A run that is better stopped and started elsewhere.
struct RelocatedRun {
    RunKey run;
    StopReason reason = StopReason::Stalled;
};

// The result of a review of one worker's runs.
struct RunReview {
    // Runs whose progress has stalled for so long that it counts against the worker.
    std::vector<RunKey> stalled;
    // Runs that lose less by a restart elsewhere: their progress has stalled, or they would not be done before their
    // draining worker is gone.
    std::vector<RelocatedRun> toRelocate;
};

// Reviews the runs of one worker. Runs of unknown jobs are in neither list, and long-running tasks are never to be
// relocated. The other workers show whether all members of a gang are there: until then none can make progress.
RunReview reviewRuns(
    const WorkerSession& session, const JobRegistry& jobs, const WorkerRegistry& workers, absl::Time now);

} // namespace mangohall::batch
