// One part of a node's state, with its own lock.
#pragma once

#include "absl/time/time.h"
#include "node/event_type.h"

namespace mangohall {

// Handles the events of one part. Parts communicate only by effects that are handed on as events.
class NodePart {
public:
    virtual ~NodePart() = default;

    // Takes the part's lock, changes its state and returns the effects. Never calls another part.
    virtual Effects handle(const Event& event, absl::Time now) = 0;
};

} // namespace mangohall
