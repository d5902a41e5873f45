#include "adapters/batch_runtime/boot_clock_base.h"

#include <ctime>

#include "absl/time/clock.h"

namespace mangohall::batch {

namespace {

// The time since the machine was booted, including suspended time.
absl::Duration timeSinceBoot()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

BootClock::BootClock()
    : m_startedAt(absl::Now())
    , m_sinceBootAtStart(timeSinceBoot())
{
}

absl::Time BootClock::now() const
{
    return m_startedAt + (timeSinceBoot() - m_sinceBootAtStart);
}

} // namespace mangohall::batch
