// Random histories of a cluster of nodes for batch jobs. They are checked against what callers, workers and the store
// have observed.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "batch/batch_cluster_base.h"
#include "batch/unsettled_run_oracle_base.h"

namespace mangohall::batch {

// The parameters of a random history.
struct FuzzOptions {
    std::uint64_t seed = 1;
    // The number of random actions.
    int steps = 40;
    // The number of nodes in the cluster.
    int nodes = 3;
    // Workers are replaced by others at their addresses, and some return under their names later.
    bool hasTakeovers = false;
    // Some workers lose and regain their connections all the time, also for a while after the other faults.
    bool hasFlaps = false;
    // Writes every decision and every step to standard error.
    bool isTraced = false;
};

// Runs one random history: submits and cancels jobs while nodes, workers and the store fail, and checks the guarantees
// that callers rely on.
class BatchFuzz {
public:
    explicit BatchFuzz(const FuzzOptions& options);

    // Runs the history, clears all faults and waits for the jobs to end. Returns a description of each violation.
    std::vector<std::string> run();

    // The cluster, in which a test may plant a fault before `run`.
    BatchCluster& cluster() { return m_cluster; }

private:
    struct FuzzJob {
        std::string id;
        std::string path;
        JobSpec spec;
        // The tasks always fail.
        bool isFailing = false;
        // The caller numbers of all submissions and cancellations of the job.
        std::vector<CallerId> submissions;
        std::vector<CallerId> cancellations;
    };

    // Carries out one random action.
    void runStep();
    void submitNewJob();
    void submitNewJob(const std::string& chosenPayload);
    // How long the tasks of a new job run, by its payload.
    std::string pickPayload();
    // Submits the newest job, which may have been submitted before.
    void submitLastJob();
    void cancelRandomJob();
    // The inject functions start or end a random fault.
    void injectNodeFault();
    void injectStoreFault();
    void injectWorkerFault();
    void setPartitioned(int worker, bool isPartitioned);
    // Replaces the worker by another one at its address, which may return later.
    void takeOverAddress(int worker);
    void returnReplaced(int worker, const std::string& name);
    // Drains the worker, which leaves and comes back under its name.
    void leaveAndReturn(int worker);
    // Restarts the worker among late commands and cuts it off soon after, so that commands to its earlier process meet
    // a process that nobody reaches.
    void restartAndPartition(int worker);
    // Lets some workers lose and regain their connections by turns.
    void startFlaps();
    void scheduleFlap(int worker, bool isCutOff);
    // Waits for the jobs to end, and checks that no owner waits too long for runs that are over.
    void settle();
    void clearFaults();
    // The check functions add a violation if the job's end contradicts the answers that its callers got.
    void checkJob(const FuzzJob& job);
    void checkCancelledJob(const FuzzJob& job);
    // Whether at least one of the requests was answered with this kind of error, or with success for None.
    bool isAnsweredWith(absl::Span<const CallerId> callers, ErrorKind kind) const;
    bool wasNeverAccepted(const FuzzJob& job) const;
    // A random number from 0 to count - 1.
    int randomBelow(int count);
    // A random node that is not killed; any node if all are killed.
    int pickLiveNode();

    const FuzzOptions m_options;
    SeededRandom m_random;
    BatchCluster m_cluster;
    std::vector<FuzzJob> m_jobs;
    // The worker that half of the faults of workers meet.
    int m_weakWorker = 0;
    // The name of the worker at each address.
    std::vector<std::string> m_workerNames;
    int m_replacements = 0;
    bool m_areFaultsCleared = false;
    // Apart from the other random numbers, so that the histories without flaps are as they were.
    SeededRandom m_flapRandom;
    bool m_isFlapping = false;
    // The faults that are present, by node or by worker.
    std::map<int, bool> m_isKilled;
    std::map<int, bool> m_isSuspended;
    std::map<int, bool> m_isCutOff;
    std::map<int, bool> m_isPartitioned;
    std::vector<std::string> m_violations;
};

} // namespace mangohall::batch
