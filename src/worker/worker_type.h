// Plain types of workers: what the VM list and the workers themselves say.
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
    // "ip:port" of the worker's endpoint.
    std::string address;
    RegionName region;
    DataCentreName dataCentre;
    RackName rack;
    Resources capacity;
    // The VM is leaving and must get no new work.
    bool isLeaving = false;

    friend bool operator==(const VmEntry&, const VmEntry&) = default;
};

// What a worker says about one task.
enum class TaskState {
    // The worker has never started this task id and, told so under the asking epoch, never will.
    NeverStarted,
    // Started and throttled to zero: it holds its place and executes nothing.
    Prepared,
    Running,
    Succeeded,
    Failed,
    // Stopped by a call or by the lapse of its lease. A prepared task that is stopped has executed nothing.
    StoppedBeforeRelease,
    Stopped,
};

// A worker's word on one task.
struct TaskReport {
    TaskId task;
    TaskState state = TaskState::NeverStarted;
    // The whole answer of a task that succeeded, or the reason of one that failed.
    std::string result;
    // Set once a checkpoint has been taken.
    std::string checkpoint;
    Resources usage;

    friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

// Who is calling: a worker refuses calls for a shard from a smaller epoch than it has seen.
struct Fence {
    ShardName shard;
    Epoch epoch = 0;

    friend bool operator==(const Fence&, const Fence&) = default;
};

// Starts a task, throttled to zero if isPrepared. The same id again starts nothing and reports the task.
// A worker of another incarnation starts nothing and reports NeverStarted only if it can know that.
struct StartTask {
    TaskId task;
    std::string incarnation;
    bool isPrepared = false;
    Resources demand;
    ServiceName service;
    std::string payload;
    std::string checkpoint;
};

// Lifts the throttle of a prepared task.
struct ReleaseTask {
    TaskId task;
};

// Asks for a checkpoint; the task goes on until it is stopped.
struct CheckpointTask {
    TaskId task;
};

// Stops a task. A task id the worker has never seen is barred from starting and reported as NeverStarted.
struct StopTask {
    TaskId task;
};

// Renews the leases of the shard's tasks and asks for all of them. Answers already taken are forgotten.
struct Heartbeat {
    std::vector<TaskId> forget;
};

using WorkerCommand = std::variant<StartTask, ReleaseTask, CheckpointTask, StopTask, Heartbeat>;

// A call to a worker. The leases of the tasks it is about run for `lease` from the moment the worker takes the call;
// zero renews nothing. A worker ends lapsed leases before it takes a call.
struct WorkerCall {
    Fence fence;
    absl::Duration lease;
    WorkerCommand command;
};

// A worker's reply: always the tasks the call was about; on a heartbeat every task of the shard.
struct WorkerReport {
    WorkerName worker;
    // Names the run of the worker's process; a restart gives another.
    std::string incarnation;
    std::vector<TaskReport> tasks;
    // Set if the fence was too old; then nothing was done.
    bool isFenced = false;
};

} // namespace mangohall
