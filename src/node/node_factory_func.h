// Makes the nodes that the programs and tests drive.
#pragma once

#include <cstdint>
#include <memory>

#include "membership/membership_type.h"
#include "node/node_base.h"
#include "ports/clock_port.h"

namespace mangohall {

// What a node is told at its start.
struct NodeSettings {
    Member self;
    // Parts that the state of jobs and callers is spread over, besides the directory.
    std::size_t partCount = 8;
    // Waiting callers that an entry keeps at a time.
    std::size_t maxWaitingCallers = 10000;
    // Open watches that an entry keeps at a time.
    std::size_t maxWatches = 1000;
};

// A node that owns shards: queues, places, starts, reclaims and recovers.
// The clock has to outlive the node; it only tells how long scheduling takes.
std::unique_ptr<Node> makeSchedulerNode(const NodeSettings& settings, std::uint64_t seed, const Clock& clock);

// A node that serves callers and operators: admits, routes, waits and declares.
std::unique_ptr<Node> makeEntryNode(const NodeSettings& settings, std::uint64_t seed);

} // namespace mangohall
