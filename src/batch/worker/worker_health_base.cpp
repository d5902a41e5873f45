#include "batch/worker/worker_health_base.h"

#include <algorithm>

#include "core/backoff_func.h"

namespace mangohall::batch {

namespace {

// A quarantine needs failures of two different jobs, or the stall of one task outside a gang, which no other task can
// hold up.
constexpr double quarantineWeight = 2;
constexpr double failureWeight = 1;
constexpr double stallWeight = 2;
constexpr double gangStallWeight = 1;
constexpr absl::Duration firstQuarantine = absl::Seconds(2);
constexpr absl::Duration longestQuarantine = absl::Seconds(8);

} // namespace

void WorkerHealth::recordCompletion()
{
    m_countedJobs.clear();
    m_faultWeight = 0;
    m_quarantines = 0;
    m_quarantinedUntil = absl::InfinitePast();
}

bool WorkerHealth::recordFailure(const JobId& job, absl::Time now)
{
    return addEvidence(job, failureWeight, now);
}

bool WorkerHealth::recordStall(const JobId& job, bool isGang, absl::Time now)
{
    return addEvidence(job, isGang ? gangStallWeight : stallWeight, now);
}

bool WorkerHealth::addEvidence(const JobId& job, double weight, absl::Time now)
{
    if (std::find(m_countedJobs.begin(), m_countedJobs.end(), job) != m_countedJobs.end())
        return false;
    m_countedJobs.push_back(job);
    m_faultWeight += weight;
    if (m_faultWeight < quarantineWeight)
        return false;
    m_quarantinedUntil = now + backoffCeiling(firstQuarantine, longestQuarantine, m_quarantines);
    ++m_quarantines;
    // After the quarantine a failure of one more job is enough for the next.
    m_faultWeight = quarantineWeight - failureWeight;
    m_countedJobs.clear();
    return true;
}

double WorkerHealth::failureSuspicion() const
{
    return std::min(1.0, m_faultWeight / quarantineWeight);
}

} // namespace mangohall::batch
