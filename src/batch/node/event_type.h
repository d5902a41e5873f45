// What comes into a node and what goes out. A node is driven by events alone and answers with effects.
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
#include "batch/fleet/worker_type.h"
#include "batch/routing/route_table_base.h"
#include "batch/store/record_type.h"
#include "core/part_type.h"

namespace mangohall::batch {

// A number that a part gives a request, to know its reply again.
using CallId = std::uint64_t;
// Numbers a request within the front end that took it.
using CallerId = std::uint64_t;

// What a caller wants of a path.
enum class CallerVerb {
    Submit,
    // A job's state, or a queue's count if the path names no job.
    Query,
    Cancel,
};

struct CallerRequest {
    CallerVerb verb = CallerVerb::Query;
    std::string host;
    std::string path;
    std::string apiKey;
    // Of a submission; an error says why the body could not be read.
    absl::StatusOr<JobSpec> spec = absl::StatusOr<JobSpec>(JobSpec());
    // Until when the caller waits.
    absl::Time deadline;
};

struct JobStateAnswer {
    JobPhase phase = JobPhase::Pending;
};

struct QueueCountAnswer {
    std::int64_t waitingJobs = 0;
};

// The submission or cancellation is durable.
struct DoneAnswer { };

struct RefusalAnswer {
    absl::Status status;
    // When to ask again; zero if the caller need not be told.
    absl::Duration retryAfter;
};

using CallerAnswer = std::variant<DoneAnswer, JobStateAnswer, QueueCountAnswer, RefusalAnswer>;

// The time a part asked to be woken at has come.
struct WakeEvent { };

struct StoreEvent {
    CallId call = 0;
    StoreReply reply;
};

struct WorkerEvent {
    CallId call = 0;
    WorkerReply reply;
};

struct CallerEvent {
    CallerId caller = 0;
    CallerRequest request;
};

// The manifest has changed, or has been confirmed. Sent by the directory to the other parts.
struct RoutesEvent {
    std::shared_ptr<const RouteTable> routes;
    // No newer manifest existed at this time.
    absl::Time confirmedAt;
};

// The node is asked to stop gracefully.
struct DrainEvent { };

// The owner part has handed everything over.
struct PartDrainedEvent { };

using Event = std::variant<WakeEvent, StoreEvent, WorkerEvent, CallerEvent, RoutesEvent, DrainEvent, PartDrainedEvent>;

// Wakes the part at the time; a later effect of the same part replaces an earlier one.
struct WakeAtEffect {
    absl::Time at;
};

struct StoreEffect {
    CallId call = 0;
    StoreRequest request;
    absl::Duration timeout;
};

struct WorkerEffect {
    CallId call = 0;
    WorkerCall request;
};

struct AnswerEffect {
    CallerId caller = 0;
    CallerAnswer answer;
};

// Hands an event to another part of the same node.
struct NotifyEffect {
    PartIndex part = 0;
    Event event;
};

// Whether new connections may be sent here.
struct ReadyEffect {
    bool isReady = false;
};

// The node has handed everything over and may exit.
struct DrainedEffect { };

// What one choice of who starts where went through.
struct ChoiceLoad {
    std::size_t workers = 0;
    // Steps that waited for room.
    std::size_t steps = 0;
    std::size_t placed = 0;
    std::size_t evicted = 0;
    // How often a worker's room was looked at.
    std::int64_t roomsTried = 0;
    // Since the list of jobs was last known to be whole.
    absl::Duration jobsAge;
};

// A decision or a change of belief, for logs and metrics. Empty fields are left out.
struct DecisionEffect {
    enum class Kind {
        Submitted,
        Queried,
        Cancelled,
        Refused,
        JobLearned,
        JobEnded,
        // The job's organisation has a guarantee that covers it.
        JobGuaranteed,
        // The job has waited so long that its guarantee is enforced against work as urgent as itself.
        ReclaimDue,
        ChoiceMade,
        RunPlaced,
        RunEnded,
        RunEvicted,
        RunStopped,
        WorkerFound,
        WorkerLost,
        OwnershipTaken,
        OwnershipLost,
        ManifestTaken,
        StoreLost,
        StoreRegained,
        RecordUnreadable,
    };
    Kind kind = Kind::Submitted;
    std::string job;
    std::string run;
    std::string worker;
    std::string queue;
    std::string organisation;
    std::string outcome;
    std::string reason;
    Epoch epoch = 0;
    std::int64_t version = 0;
    // How old the input was that decided, or how long it took.
    absl::Duration age = absl::InfiniteDuration();
    absl::optional<ChoiceLoad> choice;
};

using Effect = std::variant<WakeAtEffect, StoreEffect, WorkerEffect, AnswerEffect, NotifyEffect, ReadyEffect,
    DrainedEffect, DecisionEffect>;

using Effects = std::vector<Effect>;

} // namespace mangohall::batch
