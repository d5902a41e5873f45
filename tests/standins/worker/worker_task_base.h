#pragma once

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "standins/worker/task_behaviour_func.h"
#include "worker/worker_type.h"

namespace mangohall {

// The delays of a simulated worker.
struct WorkerTiming {
    // The time from a request for a checkpoint until it has been taken.
    absl::Duration checkpointDelay = absl::Milliseconds(200);
    // The time from the start of a task until its usage is reported.
    absl::Duration usageLag = absl::Seconds(2);
};

// One task on a simulated worker, from its start to its end. Its time advances only when `advance` is called.
class WorkerTask {
public:
    WorkerTask(
        const StartTask& start, const ShardName& shard, const TaskBehaviour& behaviour, const WorkerTiming& timing);

    const ShardName& shard() const { return m_shard; }
    TaskState state() const { return m_report.state; }
    bool isLive() const { return state() == TaskState::Prepared || state() == TaskState::Running; }

    // Performs everything that is due: the checkpoint, the end of the run, the expiry of the lease.
    void advance(absl::Time now);

    // Each of the following functions does nothing if the state of the task does not permit it.
    void renew(absl::Time leaseUntil);
    // Returns whether the call started the task.
    bool release(absl::Time now);
    // Makes the task fail at the time, whatever its payload says.
    void failAt(absl::Time at);
    void requestCheckpoint(absl::Time now);
    void stop();

    // Returns the report as of the last `advance`. `now` decides whether usage is included.
    TaskReport report(absl::Time now) const;

private:
    void takeCheckpoint(absl::Time at);
    void finish();

    const ShardName m_shard;
    TaskBehaviour m_behaviour;
    const WorkerTiming m_timing;
    TaskReport m_report;
    // The run time that earlier attempts completed before their checkpoint.
    absl::Duration m_savedRunTime;
    absl::Time m_runningSince = absl::InfiniteFuture();
    absl::Time m_endsAt = absl::InfiniteFuture();
    absl::Time m_checkpointAt = absl::InfiniteFuture();
    // Set by the call that starts the task.
    absl::Time m_leaseUntil = absl::InfiniteFuture();
};

} // namespace mangohall
