#include "core/work_pacer_base.h"

#include <algorithm>

namespace mangohall {

namespace {

// Of the thread's time. Leases, ends and stops have to fit into what is left.
constexpr double workShare = 0.25;

} // namespace

void WorkPacer::note(absl::Time begun, absl::Time ended)
{
    const absl::Duration earned = (ended - std::min(m_refilledAt, ended)) * workShare;
    m_allowance = std::min(longestBurst, m_allowance + earned) - (ended - begun);
    m_refilledAt = ended;
    const absl::Duration owed = std::max(absl::ZeroDuration(), -m_allowance);
    m_mayBeginAt = ended + std::max(m_shortestPause, owed / workShare);
}

} // namespace mangohall
