// The progress of one task as it is kept in the store.
#pragma once

#include <cstdint>
#include <string>

#include "batch/job/job_type.h"

namespace mangohall::batch {

// A process of a worker, as the record of a task names it.
struct WorkerProcess {
    // When it started, in Unix milliseconds; 0 if that is unknown.
    std::int64_t startMs = 0;
    // Until when a command that was sent to an earlier process of the worker may be executed by this one, in Unix
    // milliseconds by the clock of the owner that writes the record; 0 if that is unknown.
    std::int64_t earlierCommandsUntilMs = 0;
};

// The progress of one task.
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
    // The number of attempts that have ended as failed. A failed attempt of a gang counts for one member only.
    std::int32_t failures = 0;
    // The last attempt in which the task, as a member of a gang, has ended as failed; 0 if there is none.
    std::int32_t lastFailedAttempt = 0;
    // The last attempt that a worker has shown as started and that cannot be started again; 0 if there is none.
    std::int32_t lastStartedAttempt = 0;
    // The task is done, and a start of its last attempt may still be executed.
    bool mayStartAgain = false;
    // The worker that a placed task was placed on; empty for other tasks.
    WorkerName worker;
    // The start time of the worker's process, in Unix milliseconds. It tells apart processes of the same worker; 0
    // without a worker.
    std::int64_t workerProcessStartMs = 0;
    // Until when a command to an earlier process of the worker may be executed by that one, as in `WorkerProcess`.
    std::int64_t earlierCommandsUntilMs = 0;
    // By when the placed run has ended if its worker stays silent, in Unix milliseconds by the clock of the owner that
    // writes the record; 0 if that is unknown. While it stands, no owner sends the worker a start or a renewal.
    std::int64_t lapsesByMs = 0;
    // The checkpoint to resume from; empty if there is none.
    std::string checkpoint;

    friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

// Whether the record of the task has to say more than that it is done, or was never placed.
inline bool isOpen(const TaskProgress& task)
{
    return task.phase == TaskProgress::Phase::Done ? task.mayStartAgain : task.attempt != 0;
}

} // namespace mangohall::batch
