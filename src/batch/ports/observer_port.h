#pragma once

#include <cstddef>

#include "absl/time/time.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

// The processing times of one event.
struct EventTiming {
    // The part that handled the event.
    PartIndex part = 0;
    // The index of the event's type among the alternatives of `Event`.
    std::size_t kind = 0;
    // The time in the part's queue.
    absl::Duration waitTime;
    // The time that the part took to handle the event.
    absl::Duration decisionTime;
    // The time that it then took to carry out the effects.
    absl::Duration effectsTime;
    // The number of events of all parts that were queued when this one was finished.
    std::size_t queuedEvents = 0;
};

// Records decisions and the load of the node in logs and metrics.
class ObserverPort {
public:
    virtual ~ObserverPort() = default;

    // Records a decision. Returns without waiting. Thread-safe.
    virtual void observe(const DecisionEffect& decision) = 0;

    // Records the processing times of an event. Returns without waiting. Thread-safe.
    virtual void observeEvent(const EventTiming& timing) = 0;
};

} // namespace mangohall::batch
