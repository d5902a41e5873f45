#pragma once

#include "node/event_type.h"

namespace mangohall {

// Accepts events from outside a node.
class EventSink {
public:
    virtual ~EventSink() = default;

    // Queues the event for the part that handles it and returns at once. Safe to call from any thread.
    virtual void post(Event event) = 0;
};

} // namespace mangohall
