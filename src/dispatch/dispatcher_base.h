// The dispatcher: gives the tasks of attempts room on the workers of one building shard and sees them to their end.
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

// Owns the shard's workers under one epoch. Its state is not durable: a new owner learns of attempts from their homes
// and of tasks from the workers. A task is started only under a hold that this very dispatcher has given; whatever
// else may have been started is looked for at the worker, and barred there if it is not found.
class Dispatcher {
public:
    // The clock has to outlive the dispatcher. It only tells how long scheduling takes.
    Dispatcher(ShardName name, Epoch epoch, std::unique_ptr<PlacementPool> pool, std::unique_ptr<WaitingQueue> queue,
        RandomSource& random, Outbox& outbox, const Clock& clock);

    const ShardName& name() const { return m_name; }
    Epoch epoch() const { return m_epoch; }
    // A worker has seen a larger epoch; this dispatcher has to be dropped.
    bool isDeposed() const { return m_isDeposed; }
    std::size_t partCount() const { return m_parts.size(); }
    std::size_t workerCount() const { return m_workers.size(); }
    CapacitySummary summary() const;
    const PlacementPool& pool() const { return *m_pool; }

    void setDirectory(DirectorySnapshot directory, absl::Time now);
    // Takes a reading of the VM list. Only workers in this shard's racks count.
    void setVms(absl::Span<const VmEntry> vms, absl::Time now);

    // Messages from homes.
    void reserve(const ReserveCapacity& message, absl::Time now);
    void startAttempt(const StartAttempt& message, absl::Time now);
    void releaseAttempt(const ReleaseAttempt& message, absl::Time now);
    void abortAttempt(const AbortAttempt& message, absl::Time now);
    void acknowledgeEnd(const EndAcknowledged& message, absl::Time now);

    bool ownsCall(CallId call) const { return m_calls.contains(call); }
    void workerReplied(CallId call, const absl::Status& status, const WorkerReport& report, absl::Time now);

    void wake(absl::Time now);
    absl::Time nextWake() const;

private:
    // What an open call to a worker is about.
    struct OpenCall {
        WorkerName worker;
        // Empty job for a heartbeat.
        TaskId task;
        bool isHeartbeat = false;
        bool isStart = false;
    };

    // Room: dispatch_reserve_cmd.cpp.
    void schedule(absl::Time now);
    void queuePart(DispatchPart& part, absl::Time now);
    WaitingRequest waitingOf(const DispatchPart& part) const;
    void takeRoom(const AttemptId& attempt, const PlacementChoice& choice, absl::Time now);
    void holdIfVacated(DispatchPart& part, absl::Time now);
    void finishReclaims(absl::Time now);
    void requeueBlockedReclaims(absl::Time now);
    bool hasLeft(const AttemptId& borrower) const;
    void observeReclaim(const DispatchPart& part, absl::Time now);
    void evict(const AttemptId& attempt, absl::Time now);
    void tellHeld(const DispatchPart& part);
    PlacementRequest requestOf(const DispatchPart& part) const;
    void lapseHolds(absl::Time now);

    // Tasks: dispatch_task_cmd.cpp.
    DispatchPart* findPart(const AttemptId& attempt);
    DispatchPart& recover(const AttemptId& attempt, const ShardName& home, const JobSpec& spec,
        absl::Span<const TaskPlacement> placement, absl::Time now);
    bool isHoldOf(const DispatchPart& part, absl::Span<const TaskPlacement> placement) const;
    void drivePart(DispatchPart& part, absl::Time now);
    void driveTask(DispatchPart& part, DispatchTask& task, absl::Time now);
    void callForTask(const DispatchPart& part, DispatchTask& task, WorkerCommand command, absl::Time now);
    void sendStart(const DispatchPart& part, DispatchTask& task, absl::Time now);
    void sendStop(const DispatchPart& part, DispatchTask& task, absl::Time now);
    void stop(DispatchPart& part, StopReason reason, absl::Time now);
    void concludePart(DispatchPart& part, absl::Time now);
    void endPart(DispatchPart& part, PartEnd end, absl::Time now);
    void tellEnd(DispatchPart& part, absl::Time now);
    void forgetPart(const AttemptId& attempt);
    bool isGang(const DispatchPart& part) const;

    // Workers: dispatch_worker_cmd.cpp.
    void setVm(const VmEntry& vm, absl::Time now);
    void refreshAvailability(WorkerSession& session, absl::Time now);
    bool isDrained(const VmEntry& vm) const;
    void judgeWorker(const DispatchPart& part, const DispatchTask& task, absl::Time now);
    void sendHeartbeat(WorkerSession& session, absl::Time now);
    void heartbeatReplied(WorkerSession& session, const WorkerReport& report, absl::Time now);
    void workerHeard(WorkerSession& session, const WorkerReport& report, absl::Time now);
    void applyReport(const TaskReport& report, absl::string_view incarnation, absl::Time now);
    void settleUnlisted(WorkerSession& session, const WorkerReport& report, absl::Time now);
    void learnFrom(const DispatchPart& part, const DispatchTask& task, absl::Time now);
    bool mayWork(const WorkerName& worker, absl::Time now) const;
    void loseTasks(WorkerSession& session, absl::Time now);
    bool isLapsed(const WorkerSession& session, absl::Time now) const;
    WorkerSession* findWorker(const WorkerName& worker);
    void tellCapacity(absl::Time now);
    // Tells operators of guarantees that cannot be honoured with the workers there are, and of those that can again.
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
    // Room or waiting parts have changed since the last scheduling.
    bool m_isScheduleDue = false;
    WorkPacer m_pacer = WorkPacer(absl::ZeroDuration());
    // A pass is due and waits for its turn.
    bool m_isPassHeldBack = false;
    std::int64_t m_lastHold = 0;
    absl::btree_map<AttemptId, DispatchPart> m_parts;
    absl::btree_map<WorkerName, WorkerSession> m_workers;
    absl::flat_hash_map<CallId, OpenCall> m_calls;
    absl::Time m_capacityToldAt = absl::InfinitePast();
    CapacitySummary m_capacityTold;
    // Cells that were last told to be missing, by guarantee.
    absl::btree_map<GuaranteeName, int> m_shortfallsTold;
};

} // namespace mangohall
