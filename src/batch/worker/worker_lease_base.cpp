#include "batch/worker/worker_lease_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// Replies of one process show clocks that differ from the expected one by less than this, on top of the clock drift:
// they are delayed, and overtake each other.
constexpr absl::Duration clockTolerance = absl::Milliseconds(500);

} // namespace

void WorkerLease::recordClock(WorkerMillis clock, absl::Time now)
{
    m_clock = clock;
    m_clockReadAt = now;
}

void WorkerLease::forgetClock()
{
    m_clock = 0;
    m_clockReadAt = absl::InfinitePast();
}

// Each process has a clock of its own, and only the reply to a poll names the process. A process that was suspended has
// an unexpected clock as well.
bool WorkerLease::isClockUnexpected(WorkerMillis clock, absl::Time now) const
{
    if (clock == 0 || !isClockKnown())
        return false;
    const absl::Duration elapsed = now - m_clockReadAt;
    const absl::Duration difference = absl::Milliseconds(clock - m_clock) - elapsed;
    return absl::AbsDuration(difference) > clockTolerance + elapsed * maxClockDrift;
}

// The end is reckoned from the worker's clock when that was last read, and the clock may have gone slower since.
WorkerMillis WorkerLease::grant(absl::Time now)
{
    if (!isClockKnown())
        return 0;
    const absl::Duration clockAge = now - m_clockReadAt;
    const absl::Duration drift = (m_granted + clockAge) * maxClockDrift;
    extendTo(now + m_granted + drift + leaseMargin);
    m_grantedAt = now;
    return m_clock + absl::ToInt64Milliseconds(clockAge + m_granted);
}

void WorkerLease::extendTo(absl::Time bound)
{
    m_bound = std::max(m_bound, bound);
}

} // namespace mangohall::batch
