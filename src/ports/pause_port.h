#pragma once

#include "absl/time/time.h"

namespace mangohall {

// Pauses the calling thread. Tests use an implementation that returns at once.
class Pause {
public:
    virtual ~Pause() = default;
    virtual void pauseFor(absl::Duration duration) = 0;
};

} // namespace mangohall
