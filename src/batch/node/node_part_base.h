// The interface of the parts that a node's state is divided into.
#pragma once

#include "absl/time/time.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

// One part of a node's state, which has its own lock.
class NodePart {
public:
    virtual ~NodePart() = default;

    // Locks the part, changes its state and returns the effects. Never calls another part. Thread-safe.
    virtual Effects handle(const Event& event, absl::Time now) = 0;
};

} // namespace mangohall::batch
