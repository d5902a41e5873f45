// What lasts of a job's progress.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "batch/job/job_type.h"

namespace mangohall::batch {

// Where one task stands.
struct TaskProgress {
    enum class Phase {
        Waiting,
        // An attempt may be running on the worker.
        Placed,
        Done,
    };
    Phase phase = Phase::Waiting;
    // The last attempt that was placed; 0 before the first.
    std::int32_t attempt = 0;
    // Attempts that have ended as failed.
    std::int32_t failures = 0;
    // Of a placed task.
    WorkerName worker;
    // The run of the worker's process, in Unix milliseconds of its start.
    std::int64_t workerBornMs = 0;
    // To resume from; empty if there is none.
    std::string checkpoint;

    friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

struct StepProgress {
    std::vector<TaskProgress> tasks;

    friend bool operator==(const StepProgress&, const StepProgress&) = default;
};

// One run of all steps.
struct OccurrenceProgress {
    std::int32_t number = 0;
    std::vector<StepProgress> steps;

    friend bool operator==(const OccurrenceProgress&, const OccurrenceProgress&) = default;
};

// The durable progress of a job. Occurrences that are not due yet have no entry.
struct ProgressRecord {
    JobPhase phase = JobPhase::Pending;
    std::vector<OccurrenceProgress> occurrences;
    // When the phase became final; infinite before.
    absl::Time endedAt = absl::InfiniteFuture();

    friend bool operator==(const ProgressRecord&, const ProgressRecord&) = default;
};

} // namespace mangohall::batch
