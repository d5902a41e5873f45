// Plain types of dispatch: the parts of attempts that a building shard runs, their tasks, and the shard's workers.
#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "node/event_type.h"
#include "placement/placement_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// How far a part has come.
enum class PartState {
    // Waits in the queue for capacity.
    Waiting,
    // Has capacity allocated and waits until the evicted attempts have left it.
    Reclaiming,
    // Holds its capacity until the home shard starts the attempt or the hold times out.
    Held,
    // Its tasks are being started, or their state is being asked for after a change of owner.
    Starting,
    // The workers have confirmed all tasks. The tasks of a gang are throttled to zero and do not run yet.
    Prepared,
    // Its tasks have been released to run.
    Released,
    // Its tasks are being stopped.
    Stopping,
    // It has ended. The end is sent to the home shard until that acknowledges it.
    Ended,
};

// Why a part is stopped.
enum class StopReason {
    None,
    // The home shard has aborted the attempt.
    Aborted,
    // The capacity has been reclaimed, for a guarantee or for urgent work of the same organisation.
    Evicted,
    // A task of the part has ended without success, so its other tasks must not continue.
    PeerTaskEnded,
};

// What the dispatcher knows about a task.
enum class TaskKnowledge {
    // No start has been sent.
    Unsent,
    // A start may have reached the worker, which has not reported the task yet.
    Unresolved,
    // The worker has reported the state of the task.
    Reported,
    // The worker is gone or its lease has lapsed. The task does not run any more, and its result is unknown.
    Lost,
};

// A task with the state of its communication with the worker.
struct DispatchTask {
    TaskPlacement placement;
    TaskKnowledge knowledge = TaskKnowledge::Unsent;
    // The last report of the worker. Valid once `knowledge` is Reported.
    TaskReport report;
    // The unanswered call about this task, or 0.
    CallId openCall = 0;
    bool isCheckpointRequested = false;
    // Since when `knowledge` is Unresolved. Only a heartbeat sent later shows whether the worker has the task.
    absl::Time unresolvedSince;
    // When the next call about the task is due after a failed call. InfinitePast if there was none.
    absl::Time retryAt = absl::InfinitePast();
    // Number of calls that have to be repeated. Determines the delay of the next retry.
    int failures = 0;
};

// The part of an attempt that this shard runs.
struct DispatchPart {
    AttemptId attempt;
    // The home shard of the job, which gets all messages about the part.
    ShardName home;
    JobSpec spec;
    // The checkpoint from which the tasks continue; empty if they start anew.
    std::string checkpoint;
    // Index of the part's first task in the attempt.
    std::int32_t firstTask = 0;
    std::int32_t taskCount = 0;
    // When the job was accepted.
    absl::Time acceptedAt;
    PartState state = PartState::Waiting;
    StopReason stopReason = StopReason::None;
    // The home shard has durably recorded the release, so the tasks are released once all are prepared.
    bool isReleaseRequested = false;
    // The guarantee on which the placement draws; empty for a borrower.
    GuaranteeName guarantee;
    // For a part in state Reclaiming: the attempts that still have to leave its capacity.
    std::vector<AttemptId> evictions;
    // Empty while the part waits for capacity.
    std::vector<DispatchTask> tasks;
    // For a part in state Held: when the hold times out.
    absl::Time holdUntil = absl::InfiniteFuture();
    // When the first evictions for the part began. Infinite if it needs none or they are done.
    absl::Time reclaimStartedAt = absl::InfiniteFuture();
    // For an evicted part: until when its tasks may write a checkpoint.
    absl::Time graceUntil = absl::InfinitePast();
    // When the home shard started the attempt here, or when the part was recovered after a change of owner.
    absl::Time startedAt = absl::InfiniteFuture();
    // For a part in state Ended: how it has ended.
    PartEnd end = PartEnd::NeverRan;
    // The home shard has started the attempt, so its tasks may be on workers.
    bool hasBeenStarted = false;
    // For a part in state Ended: how often its end has been sent, and when it is sent next.
    int endSendCount = 0;
    absl::Time endSendAt = absl::InfiniteFuture();
};

// What the owner of the shard knows about a worker.
struct WorkerSession {
    VmEntry vm;
    // Incarnation of the worker process; empty until the worker has answered for the first time.
    std::string incarnation;
    // When the last successful reply arrived.
    absl::Time lastHeardAt = absl::InfinitePast();
    // When the last call was sent that may have renewed the leases of the worker's tasks.
    absl::Time lastRenewalSentAt;
    // When the next heartbeat is due.
    absl::Time heartbeatAt;
    // The unanswered heartbeat, or 0.
    CallId heartbeatCall = 0;
    // When the last heartbeat was sent.
    absl::Time heartbeatSentAt = absl::InfinitePast();
    // The last call failed, so the worker gets no new work until a call succeeds.
    bool hasLastCallFailed = false;
    // The worker is no longer in the VM list and does not answer.
    bool isGone = false;
    // Whether the worker gets new work.
    bool isAvailable = false;
    // Tasks that may be on the worker.
    absl::flat_hash_set<TaskId> tasks;
    // Acknowledged tasks that the worker may forget. Sent with each heartbeat until one succeeds.
    std::vector<TaskId> tasksToForget;
    // The `tasksToForget` of the unanswered heartbeat.
    std::vector<TaskId> tasksToForgetSent;
};

} // namespace mangohall
