#include "batch/fleet/worker_health_base.h"

#include <algorithm>

#include "core/backoff_func.h"

namespace mangohall::batch {

namespace {

// Two jobs of their own have to fail, or one task stand still that nobody else holds up.
constexpr double sickWeight = 2;
constexpr double failureWeight = 1;
constexpr double standstillWeight = 2;
constexpr double gangStandstillWeight = 1;
constexpr absl::Duration firstQuarantine = absl::Seconds(2);
constexpr absl::Duration longestQuarantine = absl::Seconds(8);

} // namespace

void WorkerHealth::noteDone()
{
    m_accusers.clear();
    m_weight = 0;
    m_sicknesses = 0;
    m_sickUntil = absl::InfinitePast();
}

void WorkerHealth::noteFailed(const JobId& job, absl::Time now)
{
    accuse(job, failureWeight, now);
}

void WorkerHealth::noteStandstill(const JobId& job, bool isGang, absl::Time now)
{
    accuse(job, isGang ? gangStandstillWeight : standstillWeight, now);
}

void WorkerHealth::accuse(const JobId& job, double weight, absl::Time now)
{
    if (std::find(m_accusers.begin(), m_accusers.end(), job) != m_accusers.end())
        return;
    m_accusers.push_back(job);
    m_weight += weight;
    if (m_weight < sickWeight)
        return;
    m_sickUntil = now + backoffCeiling(firstQuarantine, longestQuarantine, m_sicknesses);
    ++m_sicknesses;
    // One more accuser is enough after the next try.
    m_weight = sickWeight - failureWeight;
    m_accusers.clear();
}

double WorkerHealth::suspicion() const
{
    return std::min(1.0, m_weight / sickWeight);
}

} // namespace mangohall::batch
