// Which runs of a worker are better stopped and started elsewhere.
#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/fleet/worker_session_base.h"
#include "batch/owner/job_book_base.h"

namespace mangohall::batch {

struct RunReview {
    // Runs that have not moved for so long that they speak against the worker.
    std::vector<RunKey> standing;
    // Runs that lose less by a new start elsewhere: they stand still, or their worker leaves before they are done.
    std::vector<RunKey> misplaced;
};

// Runs of unknown jobs and lasting tasks are in neither list of what to stop.
RunReview reviewRuns(const WorkerSession& session, const JobBook& book, absl::Time now);

} // namespace mangohall::batch
