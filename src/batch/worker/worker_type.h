// Plain types of the worker protocol: the rows of the worker list, the commands that a worker receives, and its
// replies.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// Milliseconds on a worker's own steady clock.
using WorkerMillis = std::int64_t;

// One row of the worker list.
struct WorkerEntry {
    WorkerName name;
    ServiceName service;
    // "ip:port" of the worker's endpoint.
    std::string address;
    DataCentreName dataCentre;
    RackName rack;
    std::vector<WorkerLabel> labels;
    Resources capacity;
    // When the worker's process started, in Unix milliseconds. A different value means that the process was restarted.
    std::int64_t processStartMs = 0;
    // The worker is about to leave and gets no new work.
    bool isDraining = false;
    // The shortest time for which a draining worker keeps running.
    absl::Duration remaining = absl::InfiniteDuration();

    friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
};

// Starts a run. Repeating the command for the same run has no effect.
struct StartRun {
    RunKey run;
    // Handed to the task unchanged.
    std::string payload;
    // The checkpoint to resume from; empty to start from the beginning.
    std::string checkpoint;
};

// Stops a run. A run that the worker has not seen yet is barred: a start that arrives later is refused.
struct StopRun {
    RunKey run;
};

// Polls the worker: lists all its runs, renews their lease, and acknowledges ends, which the worker may then forget.
struct PollRuns {
    // The number of the last acknowledged end. Ends up to this number need not be listed again.
    std::int64_t acknowledgedEnd = 0;
    // How long the worker may wait for a run to end before it replies.
    absl::Duration wait;
};

using WorkerCommand = std::variant<StartRun, StopRun, PollRuns>;

// One command to a worker, with the epoch and the lease that it carries.
struct WorkerCall {
    WorkerName worker;
    std::string address;
    // The epoch of the calling owner. A worker refuses calls whose epoch is smaller than the largest it has seen.
    Epoch epoch = 0;
    // Until when all runs on the worker may go on without another renewal; 0 leaves the lease unchanged.
    WorkerMillis leaseUntil = 0;
    absl::Duration timeout;
    // The call is not sent later than this: another node may own the workers by then.
    absl::Time sendUntil = absl::InfiniteFuture();
    WorkerCommand command;
};

// Why a worker refused a command. A refused command changes nothing on the worker.
enum class WorkerRefusal {
    None,
    // The worker has seen a larger epoch.
    Fenced,
    // The run, or a later run of the same task, was stopped or has ended on the worker.
    AlreadyEnded,
    // The lease that the command grants has already expired.
    LeaseExpired,
    // The free capacity of the worker is too small for the run.
    InsufficientCapacity,
    // The worker could not parse the command.
    Malformed,
    // The worker reports itself unhealthy.
    Unhealthy,
    // A process other than the called worker replies at the address.
    OtherProcess,
    // The reply gives no known reason.
    Unexplained,
};

// A run that is in progress on the worker.
struct RunningRow {
    RunKey run;
    // The latest checkpoint; empty if there is none.
    std::string checkpoint;
    // Progress in percent, 0 to 100.
    std::int32_t percent = 0;
};

// A run that has ended on the worker.
struct EndedRow {
    // Sequence number of the end, counted from 1 for each process of the worker.
    std::int64_t number = 0;
    RunKey run;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

// A worker's reply to one command, or the failure to get one.
struct WorkerReply {
    // Not OK if no reply came: the command may have been executed, or may still be executed later.
    absl::Status status;
    WorkerRefusal refusal = WorkerRefusal::None;
    // The worker's clock at the reply; 0 if the reply does not contain it.
    WorkerMillis clock = 0;
    // When the replying process started, in Unix milliseconds; 0 if the reply does not contain it.
    std::int64_t processStartMs = 0;
    // The runs and the unacknowledged ends; filled in by the reply to a poll only.
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

} // namespace mangohall::batch
