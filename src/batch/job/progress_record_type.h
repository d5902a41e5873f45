// The progress of a job as it is kept in the store.
#pragma once

#include <algorithm>
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

// Whether the phase is final: completed, failed or aborted.
inline bool isFinal(JobPhase phase)
{
    return phase != JobPhase::Pending && phase != JobPhase::Active;
}

// Whether the job is final and nothing in its record is needed any more but the phase: no task may be running or may
// still be started.
inline bool isSettled(const ProgressRecord& record)
{
    const auto isOver = [](const auto& entry) {
        return entry.second.phase != TaskProgress::Phase::Placed && !entry.second.mayStartAgain;
    };
    const auto isStepOver = [&isOver](const StepProgress& step) {
        return std::all_of(step.tasks.entries().begin(), step.tasks.entries().end(), isOver);
    };
    return isFinal(record.phase)
        && std::all_of(
            record.occurrences.begin(), record.occurrences.end(), [&isStepOver](const OccurrenceProgress& occurrence) {
                return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), isStepOver);
            });
}

} // namespace mangohall::batch
