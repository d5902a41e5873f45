// The simulated cluster of the fuzz tests and the findings on it.
#pragma once

#include <memory>

#include "fuzz/config_oracle_base.h"
#include "fuzz/job_oracle_base.h"
#include "fuzz/step_type.h"

namespace mangohall {

// Applies random steps to a cluster and checks it with the oracles.
class FuzzWorld {
public:
    explicit FuzzWorld(std::uint64_t seed);

    Cluster& cluster() { return m_cluster; }
    // Applies the step, advances the clock a little and checks the running tasks.
    void applyStep(const Step& step);
    // Ends every fault that a step injected.
    void heal();
    // Ends all faults, runs until all jobs have ended and checks the result. Returns all findings; those made during
    // the steps come first.
    Findings healAndCheck();

private:
    // Each of these four applies the step if it is of its group and returns whether it was: requests of callers, faults
    // of nodes, faults of the platform, faults of workers.
    bool applyRequest(const Step& step);
    bool applyNodeFault(const Step& step);
    bool applyPlatformFault(const Step& step);
    bool applyWorkerFault(const Step& step);
    std::string entryOf(int number) const;
    std::string nodeOf(int number) const;
    FakeWorker& workerOf(int number);
    void submit(const Step& step, int variant);
    void put(const Step& step, bool hasExpectedRevision);
    // Returns the revision in the answer to the last answered put of the organisation, 0 if there is none.
    Revision lastPutRevision(const std::string& name) const;
    // Records a finding for each worker that runs a task of a job whose end was reported 60 s ago or earlier.
    void checkStrayTasks();
    // Queries every submitted job at every entry.
    void queryAllJobs();
    // Declares one more change and checks that every entry serves all accepted changes within the time bound.
    Findings checkApplied();

    Cluster m_cluster;
    Findings m_findings;
    // Number of put requests so far; numbers the change ids and weights.
    int m_puts = 0;
};

} // namespace mangohall
