#pragma once

#include "ports/clock_port.h"

namespace mangohall::batch {

// Monotonic clock that starts at the time of day of its construction. It advances with CLOCK_BOOTTIME, so it follows no
// later adjustment of the system time and includes the time during which the machine was suspended.
class BootClock : public Clock {
public:
    // Reads the time of day once.
    BootClock();
    absl::Time now() const override;

private:
    // The time of day at construction.
    const absl::Time m_startedAt;
    // The time since boot at construction.
    const absl::Duration m_sinceBootAtStart;
};

} // namespace mangohall::batch
