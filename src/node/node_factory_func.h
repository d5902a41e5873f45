// Creates the nodes that programs and tests run.
#pragma once

#include <cstdint>
#include <memory>

#include "membership/membership_type.h"
#include "node/node_base.h"
#include "ports/clock_port.h"

namespace mangohall {

// The settings of a node, fixed at its start.
struct NodeSettings {
    // The node's own member record.
    Member self;
    // The number of parts that hold jobs and callers; the directory part is added to it.
    std::size_t partCount = 8;
    // The maximum number of callers that wait at an entry at one time.
    std::size_t maxWaitingCallers = 10000;
    // The maximum number of watches that are open at an entry at one time.
    std::size_t maxWatches = 1000;
};

// Creates a scheduler: a node that owns ledger shards and building shards. The clock has to outlive the node; it only
// measures how long scheduling takes.
std::unique_ptr<Node> makeSchedulerNode(const NodeSettings& settings, std::uint64_t seed, const Clock& clock);

// Creates an entry: a node that serves callers and operators.
std::unique_ptr<Node> makeEntryNode(const NodeSettings& settings, std::uint64_t seed);

} // namespace mangohall
