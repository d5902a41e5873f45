#pragma once

#include "ports/clock_port.h"

namespace mangohall::batch {

// The time of day as it was when the process started, moved on by a clock that never jumps and that counts the time
// during which the machine was suspended.
class BootClock : public Clock {
public:
    BootClock();
    absl::Time now() const override;

private:
    const absl::Time m_startedAt;
    const absl::Duration m_bootTimeAtStart;
};

} // namespace mangohall::batch
