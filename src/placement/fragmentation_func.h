// Measures the idle accelerators of a shard and tests whether a request fits into the shard at all.
#pragma once

#include "absl/types/span.h"
#include "placement/capacity_ledger_base.h"
#include "placement/placement_type.h"

namespace mangohall {

// Counts the idle accelerators, and those that stay idle when the largest shape is placed as often as it fits. Among
// shapes of the same size, the one with the strictest adjacency counts.
Fragmentation measureFragmentation(const CapacityLedger& ledger, absl::Span<const Shape> shapes);

// Sums up the free accelerators of the shard, of its emptiest rack and of its emptiest worker.
CapacitySummary summarize(const CapacityLedger& ledger, const ShardName& shard);

// Tests whether the request would fit if all workers of the ledger were empty. NeverFits with the reason if not.
absl::Status testFitsEmptyWorkers(const CapacityLedger& ledger, const PlacementRequest& request);

} // namespace mangohall
