#pragma once

#include "absl/time/clock.h"
#include "ports/clock_port.h"

namespace mangohall {

// The system clock, for stand-ins and for tests over real connections.
class RealClock : public Clock {
public:
    absl::Time now() const override { return absl::Now(); }
};

} // namespace mangohall
