#pragma once

#include "node/caller_message_type.h"

namespace mangohall {

// Sends answers to callers and operators.
class CallerPort {
public:
    virtual ~CallerPort() = default;

    // Answers a request. An answer with `isLast` completes the request, and no further answer is sent to it.
    virtual void answer(CallerId caller, const CallerAnswer& answer, bool isLast) = 0;
};

} // namespace mangohall
