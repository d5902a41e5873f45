#include "core/work_pacer_base.h"

#include <algorithm>

namespace mangohall {

namespace {

// The share of the thread's time that the work may take. The rest has to suffice for leases, ends of tasks and stops.
constexpr double workShare = 0.25;

} // namespace

void WorkPacer::recordWork(absl::Time begun, absl::Time ended)
{
    const absl::Duration earned = (ended - std::min(m_refilledAt, ended)) * workShare;
    m_allowance = std::min(longestBurst, m_allowance + earned) - (ended - begun);
    m_refilledAt = ended;
    const absl::Duration overdrawn = std::max(absl::ZeroDuration(), -m_allowance);
    m_mayBeginAt = ended + std::max(m_shortestPause, overdrawn / workShare);
}

} // namespace mangohall
