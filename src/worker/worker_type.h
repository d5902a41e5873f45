// Plain types of workers: rows of the VM list, and the calls to workers with their replies.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "core/name_type.h"
#include "core/resources_type.h"
#include "job/job_type.h"

namespace mangohall {

// One row of the platform's VM list.
struct VmEntry {
    WorkerName worker;
    // The address "ip:port" of the worker's endpoint.
    std::string address;
    RegionName region;
    DataCentreName dataCentre;
    RackName rack;
    Resources capacity;
    // The VM is about to be removed and must get no new work.
    bool isLeaving = false;

    friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

// The state of a task as its worker reports it.
enum class TaskState {
    // The worker has never started this task id and, once it has reported so to the caller's epoch, never will.
    NeverStarted,
    // The task is started and throttled to zero: it occupies its resources and executes nothing.
    Prepared,
    Running,
    Succeeded,
    Failed,
    // The task was stopped, by a call or because its lease lapsed, while it was still prepared. It has executed
    // nothing.
    StoppedBeforeRelease,
    // The task was stopped, by a call or because its lease lapsed, after it may have executed.
    Stopped,
};

// A worker's report on one task.
struct TaskReport {
    TaskId task;
    TaskState state = TaskState::NeverStarted;
    // The result of a task that succeeded, or the reason of one that failed.
    std::string result;
    // The latest checkpoint; empty if none has been taken.
    std::string checkpoint;
    // The resources that the task uses at present.
    Resources usage;

    friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

// Identifies the owner on whose behalf a call is made. A worker refuses a call for a shard if it has seen a larger
// epoch for that shard.
struct Fence {
    ShardName shard;
    Epoch epoch = 0;

    friend bool operator==(const Fence&, const Fence&) = default;
};

// Starts a task. If the task id is known already, nothing is started and the task is reported. A worker whose
// incarnation is another one starts nothing, and reports NeverStarted only if it can be certain of it.
struct StartTask {
    TaskId task;
    // The run of the worker's process that the task was placed on.
    std::string incarnation;
    // Whether the task is started throttled to zero.
    bool isPrepared = false;
    // The resources requested for the task.
    Resources demand;
    ServiceName service;
    std::string payload;
    // The checkpoint to resume from, or empty.
    std::string checkpoint;
};

// Lifts the throttle of a prepared task.
struct ReleaseTask {
    TaskId task;
};

// Requests a checkpoint. The task goes on until it is stopped.
struct CheckpointTask {
    TaskId task;
};

// Stops a task. A task id that the worker does not know is blocked from starting and reported as NeverStarted.
struct StopTask {
    TaskId task;
};

// Renews the leases of the shard's tasks and requests reports on all of them.
struct Heartbeat {
    // Ended tasks whose reports have been received; the worker may forget them.
    std::vector<TaskId> forget;
};

using WorkerCommand = std::variant<StartTask, ReleaseTask, CheckpointTask, StopTask, Heartbeat>;

// A call to a worker. A worker ends lapsed leases before it handles a call.
struct WorkerCall {
    Fence fence;
    // The new length of the leases of the tasks concerned, counted from when the worker handles the call; zero renews
    // no lease.
    absl::Duration lease;
    WorkerCommand command;
};

// A worker's reply to a call.
struct WorkerReport {
    WorkerName worker;
    // Identifies the run of the worker's process; it changes with every restart.
    std::string incarnation;
    // The task that the call concerned; after a heartbeat every task of the shard.
    std::vector<TaskReport> tasks;
    // The worker has seen a larger epoch than the call's and has done nothing.
    bool isFenced = false;
};

} // namespace mangohall
