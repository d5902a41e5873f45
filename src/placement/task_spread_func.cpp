#include "placement/task_spread_func.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace mangohall {
namespace {

// A set of adjacent workers with the sums of their capacities and ranks.
struct WorkerGroup {
    absl::Span<const TaskCapacity> capacities;
    std::int64_t tasks = 0;
    std::int64_t preferredTasks = 0;
    std::int64_t rank = 0;
};

WorkerGroup makeGroup(absl::Span<const TaskCapacity> capacities)
{
    WorkerGroup group { capacities };
    for (const TaskCapacity& capacity : capacities) {
        group.tasks += capacity.tasks;
        group.preferredTasks += capacity.preferredTasks;
        group.rank += capacity.rank;
    }
    return group;
}

std::vector<WorkerGroup> groupByRack(absl::Span<const TaskCapacity> capacities)
{
    std::vector<WorkerGroup> groups;
    std::size_t first = 0;
    for (std::size_t next = 1; next <= capacities.size(); ++next) {
        if (next < capacities.size() && capacities[next].worker->vm.rack == capacities[first].worker->vm.rack)
            continue;
        groups.push_back(makeGroup(capacities.subspan(first, next - first)));
        first = next;
    }
    return groups;
}

std::vector<WorkerGroup> adjacentGroups(Adjacency adjacency, absl::Span<const TaskCapacity> capacities)
{
    if (capacities.empty())
        return {};
    if (adjacency == Adjacency::SameRack)
        return groupByRack(capacities);
    if (adjacency != Adjacency::SameWorker)
        return { makeGroup(capacities) };
    std::vector<WorkerGroup> groups;
    groups.reserve(capacities.size());
    for (std::size_t index = 0; index < capacities.size(); ++index)
        groups.push_back(makeGroup(capacities.subspan(index, 1)));
    return groups;
}

// Uses the preferred capacity of all workers first, then the rest, each in the order given.
std::vector<TaskShare> fillInOrder(absl::Span<const TaskCapacity* const> order, std::int32_t tasks)
{
    std::vector<TaskShare> shares;
    std::vector<std::int32_t> preferredTaken(order.size(), 0);
    std::int32_t left = tasks;
    for (std::size_t index = 0; index < order.size() && left > 0; ++index) {
        preferredTaken[index] = std::min(left, order[index]->preferredTasks);
        left -= preferredTaken[index];
    }
    for (std::size_t index = 0; index < order.size(); ++index) {
        const std::int32_t more = std::min(left, order[index]->tasks - preferredTaken[index]);
        left -= more;
        if (preferredTaken[index] + more > 0)
            shares.push_back({ order[index]->worker, preferredTaken[index] + more });
    }
    return shares;
}

std::vector<const TaskCapacity*> pointersTo(absl::Span<const TaskCapacity> capacities)
{
    std::vector<const TaskCapacity*> order(capacities.size());
    std::transform(
        capacities.begin(), capacities.end(), order.begin(), [](const TaskCapacity& capacity) { return &capacity; });
    return order;
}

} // namespace

absl::optional<std::vector<TaskShare>> spreadTasks(const Shape& shape, absl::Span<const TaskCapacity> capacities)
{
    const std::vector<WorkerGroup> groups = adjacentGroups(shape.adjacency, capacities);
    const auto cost = [&](const WorkerGroup& group) {
        const std::int64_t nonPreferredTasks = std::max<std::int64_t>(0, shape.tasks - group.preferredTasks);
        return std::make_tuple(nonPreferredTasks, group.rank);
    };
    const WorkerGroup* best = nullptr;
    for (const WorkerGroup& group : groups) {
        if (group.tasks >= shape.tasks && (best == nullptr || cost(group) < cost(*best)))
            best = &group;
    }
    if (best == nullptr)
        return absl::nullopt;
    std::vector<const TaskCapacity*> order = pointersTo(best->capacities);
    std::stable_sort(order.begin(), order.end(),
        [](const TaskCapacity* left, const TaskCapacity* right) { return left->rank < right->rank; });
    return fillInOrder(order, shape.tasks);
}

absl::optional<std::vector<TaskShare>> spreadTasksFirstFit(
    const Shape& shape, absl::Span<const TaskCapacity> capacities)
{
    for (const WorkerGroup& group : adjacentGroups(shape.adjacency, capacities)) {
        if (group.tasks < shape.tasks)
            continue;
        return fillInOrder(pointersTo(group.capacities), shape.tasks);
    }
    return absl::nullopt;
}

std::vector<TaskPlacement> toPlacement(
    const ShardName& shard, std::int32_t firstTask, absl::Span<const TaskShare> shares)
{
    std::vector<TaskPlacement> placement;
    std::int32_t index = firstTask;
    for (const TaskShare& share : shares) {
        for (std::int32_t task = 0; task < share.tasks; ++task)
            placement.push_back({ index++, shard, share.worker->vm.worker, share.worker->incarnation });
    }
    return placement;
}

} // namespace mangohall
