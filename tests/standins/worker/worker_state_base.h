#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "ports/clock_port.h"
#include "standins/worker/worker_task_base.h"
#include "worker/worker_type.h"

namespace mangohall {

// The start of one execution of a task. A task that ran twice has two executions.
struct TaskExecution {
    TaskId task;
    std::string incarnation;
    absl::Time startedAt;
};

// A simulated worker without input and output. It starts every task that it is given, whether or not the resources
// suffice, but each task id at most once. Tasks run under leases, and calls of an old epoch are fenced. Safe to use
// from several threads.
class WorkerState {
public:
    // Incarnations are named "PREFIX-0", "PREFIX-1" and so on. The clock must outlive the worker.
    WorkerState(
        const WorkerName& worker, absl::string_view incarnationPrefix, const Clock& clock, const WorkerTiming& timing);

    const WorkerName& worker() const { return m_worker; }

    // Handles a call of a scheduler and returns the report on its tasks.
    WorkerReport handle(const WorkerCall& call) ABSL_LOCKS_EXCLUDED(m_mutex);

    // Simulates a restart of the worker's process: it gets another incarnation and loses all tasks.
    void restart() ABSL_LOCKS_EXCLUDED(m_mutex);
    // If set, every task that starts to run from now on fails at once.
    void setFailsEveryTask(bool failsEveryTask) ABSL_LOCKS_EXCLUDED(m_mutex);

    // Returns the executions of all incarnations in their order.
    std::vector<TaskExecution> executions() const ABSL_LOCKS_EXCLUDED(m_mutex);
    // Returns the tasks that are running now.
    std::vector<TaskId> runningTasks() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::string incarnation() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    // Returns whether the epoch is at least as new as any seen for the shard. If so, it is the newest from now on.
    bool applyFence(const Fence& fence) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Advances all tasks to the time.
    void advance(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Carries out the command and returns the reports on its tasks.
    std::vector<TaskReport> apply(const WorkerCall& call, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<TaskReport> applyTo(const TaskId& id, const WorkerCall& call, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void start(const StartTask& command, const ShardName& shard, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    static void renew(WorkerTask& task, const WorkerCall& call, absl::Time now);
    void release(const TaskId& id, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void stop(const TaskId& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void forget(const TaskId& id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool isKnown(const TaskId& id) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    std::vector<TaskReport> handleHeartbeat(const Heartbeat& command, const WorkerCall& call, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<TaskReport> reportOn(const TaskId& id, absl::Time now) const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
    std::string incarnationName() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

    const WorkerName m_worker;
    const std::string m_incarnationPrefix;
    const Clock& m_clock;
    const WorkerTiming m_timing;
    mutable absl::Mutex m_mutex;
    std::int64_t m_restarts ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_failsEveryTask ABSL_GUARDED_BY(m_mutex) = false;
    // The newest epoch seen of each shard.
    absl::flat_hash_map<ShardName, Epoch> m_epochs ABSL_GUARDED_BY(m_mutex);
    std::map<TaskId, WorkerTask> m_tasks ABSL_GUARDED_BY(m_mutex);
    // Ids that can never start again, because they were stopped before they started or forgotten after their end.
    std::map<TaskId, TaskState> m_closed ABSL_GUARDED_BY(m_mutex);
    std::vector<TaskExecution> m_executions ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
