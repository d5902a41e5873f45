// The dispatcher places the tasks of attempts on the workers of one building shard and supervises them until they end.
#pragma once

#include <memory>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "core/work_pacer_base.h"
#include "dispatch/dispatch_type.h"
#include "membership/directory_type.h"
#include "node/outbox_base.h"
#include "placement/load_estimator_base.h"
#include "placement/placement_pool_base.h"
#include "placement/scheduling_pass_base.h"
#include "placement/waiting_queue_base.h"
#include "ports/clock_port.h"
#include "ports/random_port.h"
#include "worker/worker_health_base.h"

namespace mangohall {

// Owns the workers of a shard under one epoch. Its state is not durable: a new owner gets the attempts from their home
// shards and the tasks from the workers. A task is started only under a hold of this dispatcher itself. For a task that
// a former owner may have started, the dispatcher asks the worker; if the worker does not have it, a stop call under
// the new epoch makes sure that a start that is still on its way has no effect.
class Dispatcher {
public:
    // The random source, the outbox and the clock must outlive the dispatcher. The clock is used only to measure how
    // long scheduling passes take.
    Dispatcher(ShardName name, Epoch epoch, std::unique_ptr<PlacementPool> pool, std::unique_ptr<WaitingQueue> queue,
        RandomSource& random, Outbox& outbox, const Clock& clock);

    const ShardName& name() const { return m_name; }
    Epoch epoch() const { return m_epoch; }
    // Whether a worker has seen a larger epoch. This dispatcher must then be destroyed.
    bool isDeposed() const { return m_isDeposed; }
    // Number of parts in all states, including ended ones that are not acknowledged yet.
    std::size_t partCount() const { return m_parts.size(); }
    std::size_t workerCount() const { return m_workers.size(); }
    // The free accelerators and the number of queued tasks of the shard.
    CapacitySummary summary() const;
    const PlacementPool& pool() const { return *m_pool; }

    // Applies a new directory: guarantees, services, policy, organisations, drains and owners.
    void setDirectory(DirectorySnapshot directory, absl::Time now);
    // Applies the VM list. Workers outside the racks of this shard are ignored.
    void setVms(absl::Span<const VmEntry> vms, absl::Time now);

    // The following five functions handle messages from home shards, which may arrive repeatedly.

    // Queues a part for capacity. Refuses it with CapacityRefused if it can never fit or its organisation has too many
    // waiting jobs.
    void reserve(const ReserveCapacity& message, absl::Time now);
    // Starts the tasks of a part that is held with this placement. Otherwise recovers the part, as its tasks may have
    // been started by a former owner.
    void startAttempt(const StartAttempt& message, absl::Time now);
    // Lets the tasks of a part run once all of them are prepared.
    void releaseAttempt(const ReleaseAttempt& message, absl::Time now);
    // Stops a part, or removes it if it has not been started.
    void abortAttempt(const AbortAttempt& message, absl::Time now);
    // Removes an ended part, whose end the home shard has recorded.
    void acknowledgeEnd(const EndAcknowledged& message, absl::Time now);

    // Whether the call was made by this dispatcher and is unanswered.
    bool ownsCall(CallId call) const { return m_calls.contains(call); }
    // Handles the reply to a call to a worker. The report is valid if the status is OK.
    void handleWorkerReply(CallId call, const absl::Status& status, const WorkerReport& report, absl::Time now);

    // Does all work that is due: heartbeats, timeouts, retries and a scheduling pass.
    void wake(absl::Time now);
    // When wake() has to be called next. InfiniteFuture if nothing is due.
    absl::Time nextWake() const;

private:
    // The subject of an unanswered call to a worker.
    struct OpenCall {
        WorkerName worker;
        // The task that the call is about; default-constructed for a heartbeat.
        TaskId task;
        bool isHeartbeat = false;
        bool isStart = false;
    };

    // Capacity of parts: dispatch_reserve_cmd.cpp.

    // Runs a scheduling pass if one is due and the pacer allows it.
    void schedule(absl::Time now);
    // Puts the part into the waiting queue. Ends it if the queue is full.
    void queuePart(DispatchPart& part, absl::Time now);
    // The part as an entry of the waiting queue, with its estimated run time.
    WaitingRequest waitingOf(const DispatchPart& part) const;
    // Records the placement of a part and evicts the attempts that have to leave first.
    void applyPlacement(const AttemptId& attempt, const PlacementDecision& choice, absl::Time now);
    // Moves a part from Reclaiming to Held once all evicted attempts have left.
    void holdIfVacated(DispatchPart& part, absl::Time now);
    // Calls holdIfVacated() for all parts in state Reclaiming.
    void finishReclaims(absl::Time now);
    // Requeues the parts in state Reclaiming that have a task on an unavailable worker.
    void requeueBlockedReclaims(absl::Time now);
    // Whether the evicted attempt no longer has capacity in the shard.
    bool hasReleasedCapacity(const AttemptId& borrower) const;
    // Reports to operators how long the reclaim for the part took.
    void observeReclaim(const DispatchPart& part, absl::Time now);
    // Ends a part that has not been started. Stops any other part, with time for a checkpoint if it can write one.
    void evict(const AttemptId& attempt, absl::Time now);
    // Sends the placement of a held part to its home shard.
    void sendHeld(const DispatchPart& part);
    // The part as a request to the pool, with its estimated demand.
    PlacementRequest requestOf(const DispatchPart& part) const;
    // Ends the parts whose hold has timed out.
    void expireHolds(absl::Time now);

    // Tasks of parts: dispatch_task_cmd.cpp.

    // Null if the part is unknown.
    DispatchPart* findPart(const AttemptId& attempt);
    // Creates a part of which another owner may have started the tasks. All its tasks are unresolved.
    DispatchPart& recoverPart(const AttemptId& attempt, const ShardName& home, const JobSpec& spec,
        absl::Span<const TaskPlacement> placement, absl::Time now);
    // Whether the part is held with exactly this placement, including the hold identifiers.
    bool isHoldOf(const DispatchPart& part, absl::Span<const TaskPlacement> placement) const;
    // Makes the calls that are due for the part's tasks and updates the part's state.
    void drivePart(DispatchPart& part, absl::Time now);
    // Makes the call that is due for the task, or marks the task as lost or never started.
    void driveTask(DispatchPart& part, DispatchTask& task, absl::Time now);
    // Calls the worker of the task. The call also renews the leases of the worker's tasks.
    void callForTask(const DispatchPart& part, DispatchTask& task, WorkerCommand command, absl::Time now);
    // Sends the start of the task. The task of a gang is started throttled to zero.
    void sendStart(const DispatchPart& part, DispatchTask& task, absl::Time now);
    // Stops the task. An evicted task that has no checkpoint yet is first asked to write one, until graceUntil.
    void sendStop(const DispatchPart& part, DispatchTask& task, absl::Time now);
    // Stops all tasks of the part. An abort also ends the time for writing checkpoints.
    void stop(DispatchPart& part, StopReason reason, absl::Time now);
    // Ends the part if all tasks are settled, stops it if a task ended without success, and reports it as prepared if
    // all tasks are confirmed.
    void updatePartState(DispatchPart& part, absl::Time now);
    // Releases the part's capacity and starts to send its end to the home shard.
    void endPart(DispatchPart& part, PartEnd end, absl::Time now);
    // Sends the end of the part to its home shard and schedules the next repetition.
    void sendEnd(DispatchPart& part, absl::Time now);
    // Removes a part without notifying its home shard. Does nothing if the part is unknown.
    void forgetPart(const AttemptId& attempt);
    // Whether the part has several tasks, which have to start together.
    bool isGang(const DispatchPart& part) const;

    // Workers of the shard: dispatch_worker_cmd.cpp.

    // Adds or updates a worker of the VM list.
    void setVm(const VmEntry& vm, absl::Time now);
    // Recomputes whether the worker gets new work and passes the result to the pool.
    void refreshAvailability(WorkerSession& session, absl::Time now);
    // Whether a drain covers the worker, its rack or its data centre.
    bool isDrained(const VmEntry& vm) const;
    // Records the outcome of a settled task for the health of its worker. A worker that fails tasks which succeed
    // elsewhere gets no new work until a probe succeeds. Reports a new quarantine to operators.
    void recordTaskOutcome(const DispatchPart& part, const DispatchTask& task, absl::Time now);
    // Sends a heartbeat. It renews the leases of the worker's tasks unless the worker has not answered for a while.
    void sendHeartbeat(WorkerSession& session, absl::Time now);
    // Handles the reply to a heartbeat, apart from the task reports in it.
    void handleHeartbeatReply(WorkerSession& session, const WorkerReport& report, absl::Time now);
    // Records a successful reply. If the worker has restarted, its tasks are lost.
    void recordContact(WorkerSession& session, const WorkerReport& report, absl::Time now);
    // Applies a report about a task. Reports of another incarnation or older than the known state are ignored.
    void applyReport(const TaskReport& report, absl::string_view incarnation, absl::Time now);
    // Stops parts with an unresolved task that the heartbeat reply does not list.
    void stopPartsOfUnlistedTasks(WorkerSession& session, const WorkerReport& report, absl::Time now);
    // Records the run time and usage of a task that succeeded.
    void recordTaskLoad(const DispatchPart& part, const DispatchTask& task, absl::Time now);
    // Whether the health of the worker allows new work.
    bool isFitForWork(const WorkerName& worker, absl::Time now) const;
    // Marks all unsettled tasks on the worker as lost.
    void markTasksLost(WorkerSession& session, absl::Time now);
    // Whether the worker is silent and the leases of all its tasks have lapsed.
    bool haveLeasesLapsed(const WorkerSession& session, absl::Time now) const;
    // Null if the worker is unknown.
    WorkerSession* findWorker(const WorkerName& worker);
    // Sends the capacity summary to all nodes if it has changed, at most once per period.
    void sendCapacity(absl::Time now);
    // Reports changes of the number of unbound cells of each guarantee to operators.
    void observeShortfalls();
    void observeShortfall(const GuaranteeName& guarantee, int missingCells);

    const ShardName m_name;
    const Epoch m_epoch;
    std::unique_ptr<PlacementPool> m_pool;
    std::unique_ptr<WaitingQueue> m_queue;
    LoadEstimator m_load;
    WorkerHealth m_health;
    RandomSource& m_random;
    Outbox& m_outbox;
    const Clock& m_clock;
    DirectorySnapshot m_directory;

    bool m_isDeposed = false;
    // Capacity or waiting parts have changed since the last scheduling pass.
    bool m_isScheduleDue = false;
    // Limits the share of time that scheduling passes take.
    WorkPacer m_pacer = WorkPacer(absl::ZeroDuration());
    // A pass is due, but the pacer does not allow it yet.
    bool m_isPassDelayed = false;
    // Number of the last hold given under this epoch.
    std::int64_t m_lastHold = 0;
    absl::btree_map<AttemptId, DispatchPart> m_parts;
    absl::btree_map<WorkerName, WorkerSession> m_workers;
    // Unanswered calls to workers.
    absl::flat_hash_map<CallId, OpenCall> m_calls;
    // When the capacity summary was last sent, and its content.
    absl::Time m_capacitySentAt = absl::InfinitePast();
    CapacitySummary m_sentCapacity;
    // Number of unbound cells that was last reported, by guarantee. Guarantees without unbound cells are left out.
    absl::btree_map<GuaranteeName, int> m_reportedShortfalls;
};

} // namespace mangohall
