// Plain types of workers: what the worker list says, what a worker is told, and what it answers.
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
    // When the worker's process started, in Unix milliseconds. Another value means another process.
    std::int64_t bornMs = 0;
    // The worker leaves and gets no new work.
    bool isDraining = false;
    // How long a draining worker runs at least.
    absl::Duration remaining = absl::InfiniteDuration();

    friend bool operator==(const WorkerEntry&, const WorkerEntry&) = default;
};

// Starts a run. The same run again starts nothing.
struct StartRun {
    RunKey run;
    std::string payload;
    // To resume from; empty to begin anew.
    std::string checkpoint;
};

// Stops a run. One that the worker has not seen yet is barred from starting.
struct StopRun {
    RunKey run;
};

// Asks for all runs, renews their lease, and lets the worker forget ends.
struct Look {
    // Ends up to this number need not be listed again.
    std::int64_t acknowledgedEnd = 0;
    // How long the worker may wait for a run to end before it answers.
    absl::Duration wait;
};

using WorkerCommand = std::variant<StartRun, StopRun, Look>;

struct WorkerCall {
    WorkerName worker;
    std::string address;
    // A worker does nothing for a smaller epoch than it has seen.
    Epoch epoch = 0;
    // Until when everything on the worker may run; 0 renews nothing.
    WorkerMillis leaseUntil = 0;
    absl::Duration timeout;
    WorkerCommand command;
};

// Why a worker has refused a command. Nothing was done then.
enum class WorkerRefusal {
    None,
    // It has seen a larger epoch.
    Fenced,
    // The run, or a later one, has been stopped or has ended there.
    AlreadyEnded,
    // The lease is over before it begins.
    LeaseOver,
    NoRoom,
    Malformed,
    Unhealthy,
    // Another process answers at the address.
    OtherProcess,
    Unexplained,
};

struct RunningRow {
    RunKey run;
    std::string checkpoint;
    // How far the run has come, 0 to 100.
    std::int32_t percent = 0;
};

struct EndedRow {
    // Counts the ends of the worker's process from 1.
    std::int64_t number = 0;
    RunKey run;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
};

struct WorkerReply {
    // Not OK if no answer came: the command may have been carried out, or may still be.
    absl::Status status;
    WorkerRefusal refusal = WorkerRefusal::None;
    // 0 if the answer does not say.
    WorkerMillis clock = 0;
    std::int64_t bornMs = 0;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

} // namespace mangohall::batch
