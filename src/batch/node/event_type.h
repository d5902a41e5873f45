// The input and output of a node. A node acts only on events and returns effects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/evacuation/evacuation_set_base.h"
#include "batch/routing/route_table_base.h"
#include "batch/store/record_type.h"
#include "batch/worker/worker_type.h"
#include "core/part_type.h"

namespace mangohall::batch {

// The number that a part gives to a call to the store or to a worker, and by which it recognises the reply.
using CallId = std::uint64_t;
// The number of a caller's request within the front end that received it.
using CallerId = std::uint64_t;

// The operation that a caller requests on a path.
enum class CallerVerb {
    // Submits the job that the path names.
    Submit,
    // Returns the state of a job, or the number of a queue's waiting jobs if the path names no job.
    Query,
    // Cancels the job that the path names.
    Cancel,
};

// A request of a caller.
struct CallerRequest {
    CallerVerb verb = CallerVerb::Query;
    std::string host;
    std::string path;
    std::string apiKey;
    // The job of a submission, or the error for a body that could not be parsed. Unused by the other operations.
    absl::StatusOr<JobSpec> spec = absl::StatusOr<JobSpec>(JobSpec());
    // The time until which the caller waits for an answer.
    absl::Time deadline;
};

// The state of a job.
struct JobStateAnswer {
    JobPhase phase = JobPhase::Pending;
};

// The number of waiting jobs of a queue.
struct QueueCountAnswer {
    std::int64_t waitingJobs = 0;
};

// The submission or cancellation is durable.
struct DoneAnswer { };

// The request was refused or has failed.
struct RefusalAnswer {
    absl::Status status;
    // How long the caller should wait before a retry; zero if no retry is suggested.
    absl::Duration retryAfter;
};

using CallerAnswer = std::variant<DoneAnswer, JobStateAnswer, QueueCountAnswer, RefusalAnswer>;

// The wake-up time that the part requested has come.
struct WakeEvent { };

// The reply of the store to a call of the part.
struct StoreEvent {
    CallId call = 0;
    StoreReply reply;
};

// The reply of a worker to a call of the part.
struct WorkerEvent {
    CallId call = 0;
    WorkerReply reply;
};

// A request of a caller has arrived.
struct CallerEvent {
    CallerId caller = 0;
    CallerRequest request;
};

// The manifest or the evacuations have changed, or have been confirmed. The directory part sends this to the other
// parts.
struct RoutesEvent {
    std::shared_ptr<const RouteTable> routes;
    std::shared_ptr<const EvacuationSet> evacuations;
    // Both were known to be the latest at this time.
    absl::Time confirmedAt;
};

// The node has to shut down gracefully.
struct DrainEvent { };

// The owner part has released its jobs and workers to the next owner.
struct PartDrainedEvent { };

using Event = std::variant<WakeEvent, StoreEvent, WorkerEvent, CallerEvent, RoutesEvent, DrainEvent, PartDrainedEvent>;

// Wakes the part at the given time. It replaces an earlier wake-up of the same part.
struct WakeAtEffect {
    absl::Time at;
};

// Calls the store.
struct StoreEffect {
    CallId call = 0;
    StoreRequest request;
    absl::Duration timeout;
};

// Calls a worker.
struct WorkerEffect {
    CallId call = 0;
    WorkerCall request;
};

// Answers a caller's request.
struct AnswerEffect {
    CallerId caller = 0;
    CallerAnswer answer;
};

// Sends an event to another part of the same node.
struct NotifyEffect {
    PartIndex part = 0;
    Event event;
};

// Reports whether the node accepts new connections.
struct ReadyEffect {
    bool isReady = false;
};

// The drain time has passed and the process may exit.
struct DrainedEffect { };

// Statistics of one allocation round.
struct AllocationStats {
    // The number of workers that accepted work.
    std::size_t workers = 0;
    // The number of steps with pending tasks.
    std::size_t steps = 0;
    // The number of tasks that were placed.
    std::size_t placed = 0;
    // The number of runs that were selected for eviction.
    std::size_t evicted = 0;
    // How often the round examined a worker for a step; a worker counts each time.
    std::int64_t workersExamined = 0;
    // The time since the list of jobs was last confirmed to be complete.
    absl::Duration jobsAge;
};

// When the owner dealt with a job, counted from the job's acceptance. Infinite if it did not, or another owner did.
struct StartTimes {
    absl::Duration added = absl::InfiniteDuration();
    absl::Duration firstEviction = absl::InfiniteDuration();
    absl::Duration lastPlacement = absl::InfiniteDuration();
};

// How far an owner is behind with its work.
struct OwnerLoadStats {
    // The share of a processor that the node may use.
    double processorShare = 0;
    // The longest time by which the owner was woken late since the last report.
    absl::Duration wakeDelay = absl::ZeroDuration();
    // The calls to workers without a reply since then that the node itself had delayed noticeably, and the longest such
    // delay.
    std::int64_t delayedCalls = 0;
    absl::Duration callDelay = absl::ZeroDuration();
    // The calls to workers that have not ended.
    std::size_t pendingCalls = 0;
    // The runs whose start could be sent and was not, and how long the first of them has waited.
    std::size_t unsentStarts = 0;
    absl::Duration oldestUnsentStart = absl::ZeroDuration();
};

// A decision, or a change that the node has detected, for logs and metrics. Empty fields are left out of the log.
struct DecisionEffect {
    // The decision log names the kinds by their position.
    enum class Kind {
        Submitted,
        Queried,
        Cancelled,
        Refused,
        JobAdded,
        JobEnded,
        // The guarantee of the job's organisation covers the job.
        JobGuaranteed,
        // The job has waited so long that its guarantee is enforced by evicting other work of the same priority.
        ReclaimDue,
        AllocationMade,
        RunPlaced,
        RunEnded,
        RunEvicted,
        RunStopped,
        WorkerFound,
        WorkerLost,
        OwnershipTaken,
        OwnershipLost,
        ManifestApplied,
        StoreLost,
        StoreRegained,
        RecordUnreadable,
        // A start command was sent to a worker for the first time, or again.
        StartSent,
        // A start command got no reply, so that it may still be executed.
        StartUnanswered,
        // The worker has confirmed the stop of a run whose start it had not confirmed: it refuses that start from now
        // on.
        StartBarred,
        // The list of workers was not confirmed for so long that no run is started, or is confirmed again.
        WorkerListOld,
        WorkerListCurrent,
        // A poll that renews the lease of a worker got no reply, so that it may still be executed.
        RenewalUnanswered,
        // The store refuses the progress of a job as invalid, as it does with one that is too large.
        RecordRefused,
        // No task of a job was placed although one may start, and why; for jobs that have waited for a while.
        JobHeld,
        // All first tasks of a job have started that a guarantee covers.
        GuaranteeMet,
        // The worker gets no new work for a while, because it seems to be faulty.
        WorkerQuarantined,
        // Operators have asked to evacuate a data centre, or have withdrawn that.
        EvacuationBegun,
        EvacuationEnded,
        // The evacuations were not confirmed for so long that no run is started, or are confirmed again.
        EvacuationsOld,
        EvacuationsCurrent,
        // A job waits for the end of a run on a silent worker of which a start may still be executed.
        RunUnsettled,
        // The owner has too little memory left for a job, which stays in the store until there is room.
        JobDeferred,
        // The owner does not keep up with its work.
        OwnerBehind,
    };
    Kind kind = Kind::Submitted;
    std::string job;
    std::string run;
    std::string worker;
    std::string queue;
    std::string organisation;
    std::string dataCentre;
    std::string outcome;
    std::string reason;
    Epoch epoch = 0;
    std::int64_t version = 0;
    // For decisions about a run: the process that its worker is taken to have, and the process that has written the row
    // that the decision rests on. Both are given by their start, in Unix milliseconds; 0 if it is unknown.
    std::int64_t workerProcessStartMs = 0;
    std::int64_t rowProcessStartMs = 0;
    // The age of the input to the decision, or the time that the operation took; infinite if neither applies.
    absl::Duration age = absl::InfiniteDuration();
    // For a call without a reply: how long this node itself was late to send it or to read a reply; infinite otherwise.
    absl::Duration senderDelay = absl::InfiniteDuration();
    // The share of a processor that a new owner may use; 0 for other decisions.
    double processorShare = 0;
    // Present for an owner that is behind only.
    absl::optional<OwnerLoadStats> ownerLoad;
    // Present for allocation rounds only.
    absl::optional<AllocationStats> allocation;
    // Present for guarantees that are met only.
    absl::optional<StartTimes> startTimes;
};

using Effect = std::variant<WakeAtEffect, StoreEffect, WorkerEffect, AnswerEffect, NotifyEffect, ReadyEffect,
    DrainedEffect, DecisionEffect>;

using Effects = std::vector<Effect>;

} // namespace mangohall::batch
