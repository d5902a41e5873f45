#pragma once

#include <vector>

#include "absl/time/time.h"
#include "batch/job/job_type.h"

namespace mangohall::batch {

// What speaks for and against a worker, told from jobs that are at fault themselves: only failures and standstills of
// several jobs make a worker sick, and one task that gets done clears it. Not safe to call from several threads.
class WorkerHealth {
public:
    void noteDone();
    void noteFailed(const JobId& job, absl::Time now);
    // A task did not move for long. A gang's members stand still together, so that one of them proves little.
    void noteStandstill(const JobId& job, bool isGang, absl::Time now);

    // Gets no new work. After a while it is tried again.
    bool isSick(absl::Time now) const { return now < m_sickUntil; }
    // How much a sound worker is to be preferred, 0 to 1.
    double suspicion() const;

private:
    void accuse(const JobId& job, double weight, absl::Time now);

    // Jobs that have spoken against the worker since a task was last done there.
    std::vector<JobId> m_accusers;
    double m_weight = 0;
    int m_sicknesses = 0;
    absl::Time m_sickUntil = absl::InfinitePast();
};

} // namespace mangohall::batch
