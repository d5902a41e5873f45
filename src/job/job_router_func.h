// Routing: chooses the building shards that a job is offered to.
#pragma once

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "job/ledger_type.h"
#include "membership/directory_type.h"

namespace mangohall {

// The latest free capacity that each building shard has reported.
using ShardCapacities = absl::flat_hash_map<ShardName, CapacitySummary>;

// All building shards in the order in which the job should be offered to them: first the shards that keep a guarantee
// of its organisation large enough for the job, then those with free capacity and no queue, then the rest. Within a
// class the order follows the rendezvous weight of the job.
std::vector<ShardName> routeOrder(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities);

// The best shard for a waiting job, if that shard could start it now: it keeps a guarantee for the job, or it has
// enough free capacity and no queued tasks. Returns nothing if no shard could.
absl::optional<ShardName> shardWithCapacity(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities);

// Splits a gang without an adjacency requirement over several shards, starting with the one that has most free
// accelerators. Each shard gets as many tasks as its free accelerators hold, but at least one; the last shard gets the
// rest. If no shard reports free accelerators or the tasks need none, the tasks are split evenly. Returns nothing if
// the job requires adjacency, has fewer than two tasks, or there are fewer than two shards.
std::vector<AttemptPart> splitOverShards(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities);

} // namespace mangohall
