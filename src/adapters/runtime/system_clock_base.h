#pragma once

#include "absl/time/clock.h"
#include "ports/clock_port.h"
#include "ports/pause_port.h"

namespace mangohall {

// The operating system's time of day, and pauses that block the calling thread.
class SystemClock : public Clock, public Pause {
public:
    absl::Time now() const override { return absl::Now(); }
    void pauseFor(absl::Duration duration) override { absl::SleepFor(duration); }
};

} // namespace mangohall
