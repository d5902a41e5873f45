// Simulated workers and the platform's VM list in one process, with fault injection.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"
#include "standins/worker/worker_state_base.h"

namespace mangohall {

// One simulated worker and its fault switches.
struct FakeWorker {
    VmEntry vm;
    std::unique_ptr<WorkerState> state;
    // While frozen, the worker receives no calls and executes nothing. Afterwards it continues as if no time had
    // passed.
    bool isFrozen = false;
    // The VM has gone; calls to it time out.
    bool isDead = false;
    // Calls take effect, but their answers are lost.
    bool losesAnswers = false;
};

// The first time that a worker process accepted a task.
struct TaskStart {
    TaskId task;
    std::string worker;
    absl::Time at;
    // The task only runs once it is released, as a member of a gang.
    bool isPrepared = false;
    // The task continues from a checkpoint.
    bool isResumed = false;
};

// A change of the shard epoch whose calls a worker accepts.
struct AcceptedEpoch {
    std::string worker;
    std::string incarnation;
    ShardName shard;
    Epoch epoch = 0;
};

// Determines how workers handle calls. Tests install one that violates the worker protocol.
class WorkerBehaviour {
public:
    virtual ~WorkerBehaviour() = default;
    virtual WorkerReport handle(WorkerState& worker, const WorkerCall& call) { return worker.handle(call); }
};

// The workers of all data centres. Calls, faults and delays run on the simulated clock.
class FakeWorkerPool {
public:
    using Reply = std::function<void(const absl::StatusOr<WorkerReport>&)>;

    FakeWorkerPool(Timeline& timeline, RandomSource& random);

    // Adds a rack of workers named "RACK-w0", "RACK-w1" and so on.
    void addRack(absl::string_view region, absl::string_view dataCentre, absl::string_view rack, int workers,
        int acceleratorsPerWorker);

    // Calls a worker. Replies with OwnerUnreachable after the timeout if the call or its answer is lost.
    void call(const WorkerName& name, const WorkerCall& call, const Reply& reply);
    // Returns the VMs of the data centre as they were before the list lag.
    std::vector<VmEntry> vms(const DataCentreName& dataCentre) const;

    FakeWorker& worker(const std::string& name) { return m_workers.at(name); }
    std::map<std::string, FakeWorker>& workers() { return m_workers; }
    // Ends the VM without notice. The VM list shows it after the list lag.
    void kill(const std::string& name);
    // Marks the VM as leaving in the VM list; it continues to run.
    void leave(const std::string& name);
    // Brings the VM back, not leaving, with a restarted worker that has no tasks.
    void revive(const std::string& name);
    void setBehaviour(std::shared_ptr<WorkerBehaviour> conduct) { m_behaviour = std::move(conduct); }
    // Sets the fraction of calls that are lost, half of them on the way to the worker and half on the way back.
    void setLoss(double share) { m_loss = share; }
    // Sets how far the VM list is behind the actual state.
    void setListLag(absl::Duration lag) { m_listLag = lag; }

    // Returns every execution on every worker so far.
    std::vector<TaskExecution> executions() const;
    // Every first start of a task, and every change of an accepted epoch, in the order in which they happened.
    const std::vector<TaskStart>& starts() const { return m_starts; }
    const std::vector<AcceptedEpoch>& acceptedEpochs() const { return m_acceptedEpochs; }

private:
    // Records epoch changes and first starts from a call that the worker accepted.
    void recordCall(const WorkerCall& call, const WorkerReport& report);
    void recordStart(const StartTask& start, const WorkerReport& report);

    // An entry of the VM list's history.
    struct ListChange {
        absl::Time at;
        VmEntry vm;
        bool isGone = false;
    };

    Timeline& m_timeline;
    RandomSource& m_random;
    // One-way delay of a call.
    absl::Duration m_delay = absl::Milliseconds(2);
    absl::Duration m_listLag = absl::Seconds(2);
    double m_loss = 0;
    std::map<std::string, FakeWorker> m_workers;
    std::shared_ptr<WorkerBehaviour> m_behaviour = std::make_shared<WorkerBehaviour>();
    std::vector<TaskStart> m_starts;
    // Pairs of worker incarnation and task that are in m_starts.
    std::set<std::pair<std::string, TaskId>> m_recordedStarts;
    std::vector<AcceptedEpoch> m_acceptedEpochs;
    // The last accepted epoch by worker incarnation and shard.
    std::map<std::pair<std::string, ShardName>, Epoch> m_lastEpochs;
    std::vector<ListChange> m_listChanges;
};

} // namespace mangohall
