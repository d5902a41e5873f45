// One part of a node's state, under a lock of its own.
#pragma once

#include "absl/time/time.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

class NodePart {
public:
    virtual ~NodePart() = default;

    // Takes the part's lock, changes its state and returns the effects. Never calls another part.
    virtual Effects handle(const Event& event, absl::Time now) = 0;
};

} // namespace mangohall::batch
