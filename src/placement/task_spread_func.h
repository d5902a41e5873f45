// Distributes the tasks of a request over workers with free capacity.
#pragma once

#include <string>
#include <vector>

#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "placement/placement_type.h"
#include "placement/worker_usage_type.h"

namespace mangohall {

// The number of tasks of a request that go to one worker.
struct TaskShare {
    const WorkerUsage* worker = nullptr;
    std::int32_t tasks = 0;
};

// Chooses a set of adjacent workers with capacity for all tasks: the set with the fewest tasks beyond preferredTasks,
// then the one with the smallest sum of ranks. Nothing if no set has enough capacity. `capacities` must be grouped by
// rack.
absl::optional<std::vector<TaskShare>> spreadTasks(const Shape& shape, absl::Span<const TaskCapacity> capacities);

// Chooses the first set of adjacent workers with capacity for all tasks, regardless of preference and rank, and fills
// it in the order given. `capacities` must be grouped by rack.
absl::optional<std::vector<TaskShare>> spreadTasksFirstFit(
    const Shape& shape, absl::Span<const TaskCapacity> capacities);

// Converts shares to task placements, with task indexes from `firstTask` on.
std::vector<TaskPlacement> toPlacement(
    const ShardName& shard, std::int32_t firstTask, absl::Span<const TaskShare> shares);

} // namespace mangohall
