// Plain types of a job that is made of steps: what its caller declared, and how its tasks are named.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "core/name_type.h"
#include "core/resources_type.h"

namespace mangohall::batch {

// The name that the caller has chosen for a job.
using JobId = Name<struct JobIdTag>;
// A queue that callers submit to. It leads to one service.
using QueueName = Name<struct QueueTag>;
// A property that a worker has and a step may demand.
using WorkerLabel = Name<struct WorkerLabelTag>;

// A number of equal tasks. Sizes are the caller's demand; the run time is a rough estimate.
struct StepSpec {
    std::int32_t taskCount = 0;
    Resources demand;
    absl::Duration estimate;
    // Numbers of earlier steps whose tasks all have to be done first.
    std::vector<std::int32_t> after;
    // The tasks work only together and end together.
    bool isGang = false;
    // The tasks run slower on more than one rack.
    bool isRackLocal = false;
    bool isCheckpointing = false;
    // Copies of a task may run in parallel.
    bool isSpeculative = false;
    // The tasks run until the job is cancelled, and are restarted however they end.
    bool isLasting = false;
    // The tasks take the processor time that others leave; their demand of it is not counted.
    bool isFilling = false;
    // A label that the worker has to have; empty for any worker.
    WorkerLabel requiredLabel;
    // The rack that holds the data; tasks run slower elsewhere.
    RackName dataRack;
    // Tasks of the step that one worker may run at a time; 0 for any number.
    std::int32_t maxPerWorker = 0;
    // What the tasks run. Tasks of one image behave alike.
    std::string image;
    // The tail latency that a serving task has to keep to; zero for a task that serves nobody.
    absl::Duration tailTarget;
    // Tasks of a lasting step that may be unavailable at a time because of the system.
    std::int32_t allowedMissing = 0;

    friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

// What a caller submits.
struct JobSpec {
    // Handed to each task as it is.
    std::string payload;
    std::vector<StepSpec> steps;
    // How many times the steps run; once if 0.
    std::int32_t repeatCount = 0;
    // When the first occurrence is due; the infinite past for a job without times.
    absl::Time firstDue = absl::InfinitePast();
    absl::Duration period;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// What a queue promises to the jobs that are submitted to it.
struct QueueTerms {
    // 0 comes first and may evict others.
    std::int32_t priority = 0;
    // How often a task or gang may fail.
    std::int32_t maxAttempts = 1;
    // A job is in time within its longest chain of steps times this factor, and the latency on top.
    double stretchFactor = 1;
    absl::Duration latencyAllowance;

    friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

// A job that has been accepted. It never changes.
struct Job {
    JobId id;
    QueueName queue;
    // As they were when the job was accepted.
    QueueTerms terms;
    ServiceName service;
    // Empty on a public queue.
    OrganisationName organisation;
    JobSpec spec;
    absl::Time acceptedAt;

    friend bool operator==(const Job&, const Job&) = default;
};

// One task within a job.
struct TaskRef {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    // The check takes the zero that a defaulted comparison is compared with for a pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
    friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

// One task of one job.
struct TaskKey {
    JobId job;
    TaskRef task;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const TaskKey&, const TaskKey&) = default;
    friend bool operator==(const TaskKey&, const TaskKey&) = default;
    template <typename H> friend H AbslHashValue(H state, const TaskKey& key)
    {
        return H::combine(std::move(state), key.job, key.task.occurrence, key.task.step, key.task.index);
    }
};

// One start of a task. Attempts of a task are numbered from 1 and rise.
struct RunKey {
    TaskKey task;
    std::int32_t attempt = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const RunKey&, const RunKey&) = default;
    friend bool operator==(const RunKey&, const RunKey&) = default;
};

// How far a job has come, as its caller is told.
enum class JobPhase {
    // Accepted; no task has started.
    Pending,
    Active,
    Completed,
    // A task or gang has used up its attempts.
    Failed,
    // Cancelled by its caller.
    Aborted,
};

// How a run has ended.
enum class RunEnd {
    Done,
    Failed,
    // Stopped by a call.
    Stopped,
    // Its lease has lapsed, or its worker is gone.
    Lapsed,
    // Another member of its gang has ended.
    Broken,
    // The other members of its gang did not come in time.
    Alone,
    // The worker has refused the start; nothing has run.
    NotStarted,
};

} // namespace mangohall::batch
