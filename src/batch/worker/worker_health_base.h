#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// Decides from the results of a worker's runs whether the worker itself is faulty. To tell this from jobs that are
// faulty themselves, only failures and stalls of several jobs, or the stall of a task outside a gang, quarantine a
// worker; one completed task clears it. Not safe to call from several threads.
class WorkerHealth {
public:
    // Records a completed task. Clears all evidence against the worker and ends its quarantine.
    void recordCompletion();
    // Records a failed task of the job. Returns whether that begins a quarantine.
    bool recordFailure(const JobId& job, absl::Time now);
    // Records that the progress of a task has stalled. The members of a gang stall together, so a gang member counts
    // for less. Returns whether that begins a quarantine.
    bool recordStall(const JobId& job, bool isGang, absl::Time now);

    // Whether the worker is quarantined and gets no new work. The quarantine expires, and the worker is tried again.
    bool isQuarantined(absl::Time now) const { return now < m_quarantinedUntil; }
    // When the last quarantine ends; the infinite past if a task was completed since.
    absl::Time quarantinedUntil() const { return m_quarantinedUntil; }
    // The share of the evidence needed for a quarantine that has been collected, 0 to 1. Workers with a smaller value
    // are preferred.
    double failureSuspicion() const;

private:
    // Returns whether the evidence begins a quarantine.
    bool addEvidence(const JobId& job, double weight, absl::Time now);

    // Jobs already counted in the fault weight. Each job counts once until a task completes on the worker.
    std::vector<JobId> m_countedJobs;
    // The evidence collected against the worker; at 2 it is quarantined.
    double m_faultWeight = 0;
    // Quarantines since the last completed task.
    int m_quarantines = 0;
    absl::Time m_quarantinedUntil = absl::InfinitePast();
};

} // namespace mangohall::batch
