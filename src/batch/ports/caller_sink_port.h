#pragma once

#include "batch/node/event_type.h"

namespace mangohall::batch {

// Accepts requests of callers on behalf of a node.
class CallerSink {
public:
    virtual ~CallerSink() = default;

    // Queues the request and returns without waiting. Thread-safe.
    virtual void post(CallerEvent event) = 0;
};

} // namespace mangohall::batch
