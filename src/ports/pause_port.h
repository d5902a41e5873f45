#pragma once

#include "absl/time/time.h"

namespace mangohall {

// Lets time pass on the clock of the runtime. Tests go on at once.
class Pause {
public:
    virtual ~Pause() = default;
    virtual void pauseFor(absl::Duration duration) = 0;
};

} // namespace mangohall
