#pragma once

#include "batch/node/event_type.h"

namespace mangohall::batch {

// Takes requests of callers into a node.
class CallerSink {
public:
    virtual ~CallerSink() = default;

    // Queues the request and returns at once. Safe to call from any thread.
    virtual void post(CallerEvent event) = 0;
};

} // namespace mangohall::batch
