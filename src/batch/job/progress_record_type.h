// The progress of a job as it is kept in the store.
#pragma once

#include <cstdint>
#include <vector>

#include "batch/job/job_type.h"
#include "batch/job/task_list_base.h"
#include "batch/job/task_progress_type.h"

namespace mangohall::batch {

// The progress of one step.
struct StepProgress {
    // One entry for each task, in the order of their indices.
    TaskList tasks;

    friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

// The progress of one occurrence, which is one pass through all steps of the job.
struct OccurrenceProgress {
    // Occurrences are numbered from 0.
    std::int32_t number = 0;
    std::vector<StepProgress> steps;

    friend bool operator==(const OccurrenceProgress&, const OccurrenceProgress&) = default;
};

// The durable progress of a job. Occurrences that are not due yet have no entry.
struct ProgressRecord {
    JobPhase phase = JobPhase::Pending;
    std::vector<OccurrenceProgress> occurrences;
    // The time at which the phase became final; the infinite future before that.
    absl::Time endedAt = absl::InfiniteFuture();

    friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

} // namespace mangohall::batch
