#pragma once

#include "absl/time/time.h"
#include "node/event_type.h"

namespace mangohall {

// Receives the results of effects: events and wake-up times for parts of the node. Safe to call from any thread.
class PartSink {
public:
    virtual ~PartSink() = default;

    // Queues the event for the given part.
    virtual void postTo(PartIndex part, Event event) = 0;

    // Queues the event for the part that the node assigns it to.
    virtual void routeEvent(Event event) = 0;

    // Sets the part's wake-up time, which replaces the one set before.
    virtual void wakeAt(PartIndex part, absl::Time at) = 0;

    // Called when the node has handed over all its work after a request to drain.
    virtual void handleDrained() = 0;
};

} // namespace mangohall
