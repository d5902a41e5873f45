#pragma once

#include "batch/node/event_type.h"

namespace mangohall::batch {

// Sends answers to callers, and reports to the front end whether the node accepts new connections.
class CallerPort {
public:
    virtual ~CallerPort() = default;

    // Answers a request. Thread-safe.
    virtual void answer(CallerId caller, const CallerAnswer& answer) = 0;

    // Sets whether the node accepts new connections.
    virtual void setReady(bool isReady) = 0;
};

} // namespace mangohall::batch
