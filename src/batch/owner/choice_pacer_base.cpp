#include "batch/owner/choice_pacer_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// Of the owner's time. Leases, ends and stops have to fit into what is left.
constexpr double choiceShare = 0.25;
// Events that come together are served by one choice.
constexpr absl::Duration shortestPause = absl::Milliseconds(10);

} // namespace

void ChoicePacer::noteChoice(absl::Time begun, absl::Time ended)
{
    const absl::Duration earned = (ended - std::min(m_refilledAt, ended)) * choiceShare;
    m_allowance = std::min(longestBurst, m_allowance + earned) - (ended - begun);
    m_refilledAt = ended;
    const absl::Duration owed = std::max(absl::ZeroDuration(), -m_allowance);
    m_mayBeginAt = ended + std::max(shortestPause, owed / choiceShare);
}

} // namespace mangohall::batch
