#pragma once

#include <cstddef>

#include "absl/time/time.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

// How one event passed through a part of the node.
struct EventTiming {
    PartIndex part = 0;
    // The event's place among the alternatives of `Event`.
    std::size_t kind = 0;
    // In the part's queue.
    absl::Duration waited;
    // Until the part had decided, and then until its effects were carried out.
    absl::Duration handled;
    absl::Duration carriedOut;
    // Events of all parts that waited when it was done.
    std::size_t queued = 0;
};

// Takes note of decisions and of the node's own load for logs and metrics.
class ObserverPort {
public:
    virtual ~ObserverPort() = default;

    // Returns at once. Safe to call from any thread.
    virtual void observe(const DecisionEffect& decision) = 0;

    // Returns at once. Safe to call from any thread.
    virtual void observeEvent(const EventTiming& timing) = 0;
};

} // namespace mangohall::batch
