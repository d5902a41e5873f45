#pragma once

#include "batch/node/event_type.h"

namespace mangohall::batch {

// The way back to callers.
class CallerPort {
public:
    virtual ~CallerPort() = default;

    // Answers a request. Safe to call from any thread.
    virtual void answer(CallerId caller, const CallerAnswer& answer) = 0;

    // Says whether new connections may be sent here.
    virtual void setReady(bool isReady) = 0;
};

} // namespace mangohall::batch
