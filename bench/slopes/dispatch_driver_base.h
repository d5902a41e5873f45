// Drives a dispatcher and simulates its workers, in simulated time that passes only in advance().
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/seeded_random_base.h"
#include "dispatch/dispatcher_base.h"
#include "job/job_ledger_base.h"

namespace mangohall {

// The simulated workers reply at once and keep every task running that they are asked to start.
class DispatchDriver {
public:
    // Sets up one shard with `workers` workers and lets all of them join.
    DispatchDriver(std::uint64_t seed, int workers);

    // Takes a job with one task through the dispatcher, from its request for capacity until the task runs. `index`
    // makes the job's key.
    void runTask(int index);
    // Advances the simulated time, waking the dispatcher at each time that it has requested.
    void advance(absl::Duration span);

    // Events that the dispatcher has handled.
    std::int64_t events() const { return m_events; }
    // Calls that the dispatcher has made to workers.
    std::int64_t workerCalls() const { return m_workerCalls; }

private:
    // Replies to calls and messages of the dispatcher until none is left.
    void replyToAll();
    void replyToWorkerCall(const OutgoingWorkerCall& call);
    // Counts the event and reads the next wake time, as the part of a node that owns a dispatcher does after every
    // event.
    void afterEvent();

    SeededRandom m_random;
    Outbox m_outbox;
    Dispatcher m_dispatcher;
    absl::Time m_now;
    // When the dispatcher has to be woken.
    absl::Time m_nextWake;
    std::int64_t m_events = 0;
    std::int64_t m_workerCalls = 0;
    // The tasks that each worker runs.
    absl::flat_hash_map<WorkerName, std::vector<TaskReport>> m_tasks;
};

} // namespace mangohall
