// Plain types of a job: what the caller declared, and the durable record of what became of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "core/error_type.h"
#include "core/name_type.h"
#include "organisation/organisation_type.h"

namespace mangohall {

// The identity of a job: the request key that the caller chose, within its organisation. A submission that is repeated
// with the same key refers to the same job.
struct JobKey {
    OrganisationName organisation;
    std::string requestKey;

    // The linter mistakes the comparison with zero in the defaulted operator for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const JobKey&, const JobKey&) = default;
    friend bool operator==(const JobKey&, const JobKey&) = default;
    template <typename H> friend H AbslHashValue(H state, const JobKey& key)
    {
        return H::combine(std::move(state), key.organisation, key.requestKey);
    }
};

// One task of one attempt of a job. A worker starts a task id at most once.
struct TaskId {
    JobKey job;
    // The number of the attempt, counted from 0.
    std::int32_t attempt = 0;
    // The index of the task within the job, counted from 0.
    std::int32_t index = 0;

    // The linter mistakes the comparison with zero in the defaulted operator for one with a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const TaskId&, const TaskId&) = default;
    friend bool operator==(const TaskId&, const TaskId&) = default;
    template <typename H> friend H AbslHashValue(H state, const TaskId& id)
    {
        return H::combine(std::move(state), id.job, id.attempt, id.index);
    }
};

// The priority of a job among the waiting jobs, lowest first.
enum class Priority {
    Batch,
    Normal,
    Urgent,
};

// The number of tasks of a job and the accelerators they need. A job with more than one task is a gang: its tasks run
// at the same time or not at all.
struct Shape {
    std::int32_t tasks = 1;
    std::int32_t acceleratorsPerTask = 0;
    // How close together the accelerators of all tasks have to be.
    Adjacency adjacency = Adjacency::Anywhere;

    friend bool operator==(const Shape&, const Shape&) = default;
};

// What a caller declares about a job. The declared sizes and run time are estimates and may be far off.
struct JobSpec {
    ServiceName service;
    Shape shape;
    // Processor capacity for one task, in thousandths of a core.
    std::int64_t cpuMillisPerTask = 1000;
    // Memory for one task, in bytes.
    std::int64_t memoryBytesPerTask = 0;
    absl::Duration expectedRunTime = absl::Minutes(1);
    // The time after acceptance by which the job has to be done; infinite means no deadline.
    absl::Duration deadline = absl::InfiniteDuration();
    Priority priority = Priority::Normal;
    // The job may run more than once.
    bool isIdempotent = false;
    // The tasks can write checkpoints and resume from them.
    bool isCheckpointable = false;
    // The caller accepts that the job is stopped for good when a guarantee is reclaimed.
    bool acceptsStop = false;
    // Opaque data that is passed to each task unchanged.
    std::string payload;

    friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

// Identifies one reservation of capacity by a building shard. A start that names another hold than the present one is
// late and starts nothing.
struct HoldId {
    // The epoch of the building shard's owner.
    Epoch epoch = 0;
    // A number that is unique within the epoch.
    std::int64_t number = 0;

    friend bool operator==(const HoldId&, const HoldId&) = default;
};

// The placement of one task of an attempt.
struct TaskPlacement {
    // The index of the task within the job.
    std::int32_t index = 0;
    ShardName shard;
    WorkerName worker;
    // Identifies the run of the worker's process that the placement is for. After a restart the worker has another
    // incarnation and has lost its tasks.
    std::string incarnation;
    HoldId hold = {};

    friend bool operator==(const TaskPlacement&, const TaskPlacement&) = default;
};

// The progress of a job. A job only moves forward, except that an ended attempt may lead back to Queued.
enum class JobPhase {
    // The job is accepted and waits for capacity.
    Queued,
    // The placement of an attempt is durable; its tasks may have been started.
    Claimed,
    // Every task is prepared and the release is durable; the tasks may be running.
    Released,
    // The job has ended and its outcome is final.
    Ended,
};

// The durable record of a job. Its write to the store is the commit point of each step.
struct JobRecord {
    JobKey key;
    JobSpec spec;
    JobPhase phase = JobPhase::Queued;
    // The number of the present attempt, counted from 0.
    std::int32_t attempt = 0;
    // The placement of the present attempt; empty while the job is queued and after it has ended.
    std::vector<TaskPlacement> placement;
    bool isCancelRequested = false;
    // The checkpoint from which the present attempt resumes; empty if it starts from the beginning.
    std::string checkpoint;
    absl::Time acceptedAt;
    // When every task of the present attempt was prepared and could run; infinite before that.
    absl::Time releasedAt = absl::InfiniteFuture();
    // When the job ended; infinite if it has not.
    absl::Time endedAt = absl::InfiniteFuture();
    // The outcome, valid once the phase is Ended. None means that every task succeeded.
    ErrorKind outcome = ErrorKind::None;
    // The reason of the outcome, for the caller; empty on success.
    std::string message;
    // The results of the tasks in index order; empty unless the job succeeded.
    std::vector<std::string> results;

    friend bool operator==(const JobRecord&, const JobRecord&) = default;
};

} // namespace mangohall
