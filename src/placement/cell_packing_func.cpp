#include "placement/cell_packing_func.h"

#include <algorithm>
#include <tuple>

namespace mangohall {
namespace {

// Whether a cell with this adjacency may span several racks.
bool isLoose(Adjacency adjacency)
{
    return adjacency == Adjacency::Anywhere || adjacency == Adjacency::SameDataCentre;
}

// A set of workers that satisfies the adjacency of a cell.
struct WorkerGroup {
    absl::Span<const BindableWorker> workers;
    std::int32_t accelerators = 0;
    std::int32_t ownUsed = 0;
};

WorkerGroup makeGroup(absl::Span<const BindableWorker> workers)
{
    WorkerGroup group { workers };
    for (const BindableWorker& worker : workers) {
        group.accelerators += worker.accelerators;
        group.ownUsed += worker.ownUsed;
    }
    return group;
}

std::vector<WorkerGroup> groupByRack(absl::Span<const BindableWorker> workers)
{
    std::vector<WorkerGroup> groups;
    std::size_t first = 0;
    for (std::size_t next = 1; next <= workers.size(); ++next) {
        if (next < workers.size() && workers[next].rack == workers[first].rack)
            continue;
        groups.push_back(makeGroup(workers.subspan(first, next - first)));
        first = next;
    }
    return groups;
}

std::vector<WorkerGroup> adjacentGroups(Adjacency adjacency, absl::Span<const BindableWorker> workers)
{
    if (isLoose(adjacency))
        return { makeGroup(workers) };
    if (adjacency == Adjacency::SameRack)
        return groupByRack(workers);
    std::vector<WorkerGroup> groups;
    groups.reserve(workers.size());
    for (std::size_t index = 0; index < workers.size(); ++index)
        groups.push_back(makeGroup(workers.subspan(index, 1)));
    return groups;
}

// The order in which the workers of the group are filled: those with own tasks of the guarantee first, then those with
// the most bindable accelerators, so that the pieces are few and large.
std::vector<const BindableWorker*> fillOrder(const WorkerGroup& group)
{
    std::vector<const BindableWorker*> order;
    order.reserve(group.workers.size());
    for (const BindableWorker& worker : group.workers)
        order.push_back(&worker);
    std::stable_sort(order.begin(), order.end(), [](const BindableWorker* left, const BindableWorker* right) {
        return std::tie(left->ownUsed, left->accelerators) > std::tie(right->ownUsed, right->accelerators);
    });
    return order;
}

// The worker for the last piece: the one with the most own use of the guarantee, then the one with the fewest bindable
// accelerators that are enough.
const BindableWorker* pickLastWorker(absl::Span<const BindableWorker* const> order, std::int32_t accelerators)
{
    const BindableWorker* best = nullptr;
    for (const BindableWorker* worker : order) {
        if (worker->accelerators < accelerators)
            continue;
        const bool isBetter = best == nullptr || worker->ownUsed > best->ownUsed
            || (worker->ownUsed == best->ownUsed && worker->accelerators < best->accelerators);
        if (isBetter)
            best = worker;
    }
    return best;
}

// Puts the cell on whole workers and on part of at most one more. Nothing if it does not fit that way.
absl::optional<std::vector<CellPiece>> fillWholeWorkers(const WorkerGroup& group, std::int32_t accelerators)
{
    std::vector<const BindableWorker*> order = fillOrder(group);
    std::vector<CellPiece> pieces;
    std::int32_t left = accelerators;
    for (const BindableWorker*& worker : order) {
        if (worker->accelerators < worker->capacity || worker->capacity > left || worker->capacity == 0)
            continue;
        pieces.push_back({ worker->worker, worker->capacity });
        left -= worker->capacity;
        worker = nullptr;
    }
    if (left == 0)
        return pieces;
    order.erase(std::remove(order.begin(), order.end(), nullptr), order.end());
    const BindableWorker* last = pickLastWorker(order, left);
    if (last == nullptr)
        return absl::nullopt;
    pieces.push_back({ last->worker, left });
    return pieces;
}

// Spreads a cell without an adjacency requirement over the workers in the reverse of fillOrder(), so that it takes
// small remainders and leaves whole workers free.
std::vector<CellPiece> fillScattered(const WorkerGroup& group, std::int32_t accelerators)
{
    const std::vector<const BindableWorker*> order = fillOrder(group);
    std::vector<CellPiece> pieces;
    std::int32_t left = accelerators;
    for (auto worker = order.rbegin(); worker != order.rend() && left > 0; ++worker) {
        const std::int32_t count = std::min(left, (*worker)->accelerators);
        left -= count;
        if (count > 0)
            pieces.push_back({ (*worker)->worker, count });
    }
    return pieces;
}

// Whether the left group is tried first: the one with more own use of the guarantee, then the smaller one.
bool isTighter(const WorkerGroup& left, const WorkerGroup& right)
{
    if (left.ownUsed != right.ownUsed)
        return left.ownUsed > right.ownUsed;
    return left.accelerators < right.accelerators;
}

} // namespace

bool isBoundBefore(const CellShape& left, const CellShape& right)
{
    const bool isLeftLoose = isLoose(left.adjacency);
    const bool isRightLoose = isLoose(right.adjacency);
    if (isLeftLoose != isRightLoose)
        return isRightLoose;
    if (left.accelerators != right.accelerators)
        return left.accelerators > right.accelerators;
    if (left.adjacency != right.adjacency)
        return left.adjacency > right.adjacency;
    return left.guarantee < right.guarantee;
}

std::vector<CellShape> cellsOf(const Guarantee& guarantee)
{
    const CellShape cell { guarantee.name, guarantee.acceleratorsPerCell, guarantee.adjacency };
    return std::vector<CellShape>(static_cast<std::size_t>(std::max(guarantee.cells, 0)), cell);
}

absl::optional<std::vector<CellPiece>> findCellPlace(const CellShape& cell, absl::Span<const BindableWorker> workers)
{
    if (workers.empty())
        return absl::nullopt;
    std::vector<WorkerGroup> groups = adjacentGroups(cell.adjacency, workers);
    std::erase_if(groups, [&](const WorkerGroup& group) { return group.accelerators < cell.accelerators; });
    std::stable_sort(groups.begin(), groups.end(), isTighter);
    for (const WorkerGroup& group : groups) {
        if (cell.adjacency == Adjacency::Anywhere)
            return fillScattered(group, cell.accelerators);
        absl::optional<std::vector<CellPiece>> pieces = fillWholeWorkers(group, cell.accelerators);
        if (pieces.has_value())
            return pieces;
    }
    return absl::nullopt;
}

} // namespace mangohall
