#include "adapters/batch_runtime/boot_clock_base.h"

#include <ctime>

#include "absl/time/clock.h"

namespace mangohall::batch {

namespace {

absl::Duration bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::DurationFromTimespec(time);
}

} // namespace

BootClock::BootClock()
    : m_startedAt(absl::Now())
    , m_bootTimeAtStart(bootTime())
{
}

absl::Time BootClock::now() const
{
    return m_startedAt + (bootTime() - m_bootTimeAtStart);
}

} // namespace mangohall::batch
