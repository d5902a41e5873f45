// Plain types of a job that is made of steps: its specification, and the identifiers of its tasks and runs.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "batch/job/rare_base.h"
#include "batch/job/shared_list_base.h"
#include "core/name_type.h"
#include "core/resources_type.h"

namespace mangohall::batch {

// The identifier of a job. The caller chooses it.
using JobId = Name<struct JobIdTag>;
// A queue that callers submit jobs to. The workers of one service run its jobs.
using QueueName = Name<struct QueueTag>;
// A property of a worker that a step may require.
using WorkerLabel = Name<struct WorkerLabelTag>;

// A set of equal tasks.
struct StepSpec {
    std::int32_t taskCount = 0;
    // The resources that the caller requests for each task.
    Resources demand;
    // The caller's rough estimate of a task's run time.
    absl::Duration estimate;
    // The indices of earlier steps. The tasks start only when all tasks of those steps are done.
    std::vector<std::int32_t> after;
    // The tasks form a gang: they run only together and end together.
    bool isGang = false;
    // The tasks run slower if they are spread over several racks.
    bool isRackLocal = false;
    // The tasks write checkpoints and can resume from them.
    bool isCheckpointing = false;
    // Copies of a task may run in parallel.
    bool isSpeculative = false;
    // The tasks are long-running: they run until the job is cancelled and are restarted after every end.
    bool isLongRunning = false;
    // The tasks use spare processor time. Their request for processor time is not counted against a worker's capacity.
    bool usesSpareProcessor = false;
    // The label that a worker must have; empty if any worker will do.
    Rare<WorkerLabel> requiredLabel;
    // The rack that holds the data; empty if there is none. Tasks run slower on other racks.
    Rare<RackName> dataRack;
    // The largest number of the step's tasks that one worker may run at a time; 0 for any number.
    std::int32_t maxPerWorker = 0;
    // The image that the tasks run. Tasks with the same image behave alike.
    Rare<std::string> image;
    // The target tail latency of a task that serves requests; zero for other tasks.
    absl::Duration tailLatencyTarget;
    // The number of tasks of a long-running step that may be unavailable at the same time because of the system.
    std::int32_t maxUnavailable = 0;

    friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

// The specification of a job, as its caller submits it.
struct JobSpec {
    // Passed to each task unchanged.
    std::string payload;
    // Copies of a job share their steps.
    SharedList<StepSpec> steps;
    // The number of occurrences, each of which runs all steps; 0 means one.
    std::int32_t repeatCount = 0;
    // The time at which the first occurrence is due; the infinite past for a job without times.
    absl::Time firstDue = absl::InfinitePast();
    // The time from one occurrence to the next.
    absl::Duration period;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// The terms on which a queue runs its jobs.
struct QueueTerms {
    // Lower values are served first. Tasks of priority 0 may evict others.
    std::int32_t priority = 0;
    // The job fails when one of its tasks or gangs has failed this many times.
    std::int32_t maxAttempts = 1;
    // The target run time of a job is the estimate of its longest chain of steps times this factor, plus
    // `latencyAllowance`.
    double stretchFactor = 1;
    absl::Duration latencyAllowance;

    friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

// An accepted job. It is immutable.
struct Job {
    JobId id;
    QueueName queue;
    // The queue's terms at the time when the job was accepted. Later changes of the queue do not affect the job.
    QueueTerms terms;
    // The service whose workers run the job.
    ServiceName service;
    // The organisation of the caller's API key; empty if a public queue accepted the job without a known key.
    OrganisationName organisation;
    JobSpec spec;
    absl::Time acceptedAt;

    friend bool operator==(const Job&, const Job&) = default;
};

// Identifies a task within its job. All three numbers count from 0.
struct TaskRef {
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    // The linter mistakes the zero that a defaulted comparison is compared with for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
    friend bool operator==(const TaskRef&, const TaskRef&) = default;
};

// Identifies a task among all jobs.
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

// Identifies a run, which is one attempt to run a task. Attempts of a task are numbered upwards from 1.
struct RunKey {
    TaskKey task;
    std::int32_t attempt = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const RunKey&, const RunKey&) = default;
    friend bool operator==(const RunKey&, const RunKey&) = default;
};

// The state of a job that is reported to its caller.
enum class JobPhase {
    // The job is accepted; no task has been placed.
    Pending,
    Active,
    Completed,
    // A task or gang has used up its attempts.
    Failed,
    // The caller has cancelled the job.
    Aborted,
};

// The way in which a run has ended.
enum class RunEnd {
    Done,
    Failed,
    // A stop command has ended the run.
    Stopped,
    // The run's lease has lapsed, or its worker is gone.
    LeaseLapsed,
    // Another member of the run's gang has ended.
    GangBroken,
    // The other members of the run's gang did not start in time.
    GangIncomplete,
    // The worker refused the start; the task has not run.
    NotStarted,
};

} // namespace mangohall::batch
