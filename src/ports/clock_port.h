#pragma once

#include "absl/time/time.h"

namespace mangohall {

// The clock of the runtime. Tests use a clock that only changes when they advance it.
class Clock {
public:
    virtual ~Clock() = default;
    virtual absl::Time now() const = 0;
};

} // namespace mangohall
