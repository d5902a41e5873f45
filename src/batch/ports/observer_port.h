#pragma once

#include "batch/node/event_type.h"

namespace mangohall::batch {

// Takes note of decisions for logs and metrics.
class ObserverPort {
public:
    virtual ~ObserverPort() = default;

    // Returns at once. Safe to call from any thread.
    virtual void observe(const DecisionEffect& decision) = 0;
};

} // namespace mangohall::batch
