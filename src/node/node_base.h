// A node: all decisions of one process, without input or output and without a clock.
#pragma once

#include <cstddef>

#include "absl/time/time.h"
#include "node/event_type.h"

namespace mangohall {

// The state of a node is divided into parts, each under its own lock. `handle` takes the lock of one part only and
// returns the effects; the caller executes them after `handle` has returned, that is, outside every lock.
class Node {
public:
    virtual ~Node() = default;

    // The number of parts. It does not change.
    virtual std::size_t partCount() const = 0;

    // The part that handles an event from outside. Replies go to the part that made the call, which the runtime keeps
    // track of.
    virtual PartIndex partFor(const Event& event) const = 0;

    // Changes the part's state and returns the effects in the order in which they have to be started. Safe to call
    // from several threads.
    virtual Effects handle(PartIndex part, const Event& event, absl::Time now) = 0;
};

} // namespace mangohall
