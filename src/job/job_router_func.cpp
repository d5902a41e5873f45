#include "job/job_router_func.h"

#include <algorithm>

#include "core/hash_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

// Classes of shards, the best first: the shard keeps a guarantee for the job, has free capacity and no queue, or
// neither.
constexpr int guaranteedTier = 0;
constexpr int freeCapacityTier = 1;
constexpr int fullTier = 2;

// A shard with the values that it is sorted by.
struct RankedShard {
    ShardName name;
    // One of the classes above; smaller is better.
    int tier = fullTier;
    std::int64_t freeAccelerators = 0;
    // The rendezvous weight of the shard for the job; larger is better.
    std::uint64_t weight = 0;
};

// Whether the job's organisation has a guarantee in the shard with at least as many accelerators as the job needs.
bool isGuaranteedIn(const JobRecord& record, const Directory& directory, const ShardName& shard)
{
    for (const auto& [name, guarantee] : directory.guarantees) {
        const bool isOwn = guarantee.organisation == record.key.organisation && guarantee.shard == shard;
        const std::int64_t guaranteedAccelerators
            = static_cast<std::int64_t>(guarantee.cells) * guarantee.acceleratorsPerCell;
        if (isOwn && totalAccelerators(record.spec.shape) > 0
            && guaranteedAccelerators >= totalAccelerators(record.spec.shape))
            return true;
    }
    return false;
}

// The largest number of free accelerators that satisfies the adjacency.
std::int64_t largestFree(const CapacitySummary& summary, Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::SameWorker:
        return summary.largestFreeWorker;
    case Adjacency::SameRack:
        return summary.largestFreeRack;
    case Adjacency::SameDataCentre:
    case Adjacency::Anywhere:
        break;
    }
    return summary.freeAccelerators;
}

RankedShard rank(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities, const ShardName& shard)
{
    RankedShard ranked;
    ranked.name = shard;
    ranked.weight = rendezvousWeight(toText(record.key), shard.text());
    const auto capacity = capacities.find(shard);
    if (capacity != capacities.end()) {
        ranked.freeAccelerators = capacity->second.freeAccelerators;
        const std::int64_t neededAccelerators = totalAccelerators(record.spec.shape);
        const bool isIdle = capacity->second.queuedTasks == 0;
        if (isIdle && largestFree(capacity->second, record.spec.shape.adjacency) >= neededAccelerators)
            ranked.tier = freeCapacityTier;
    }
    if (isGuaranteedIn(record, directory, shard))
        ranked.tier = guaranteedTier;
    return ranked;
}

bool isBetter(const RankedShard& left, const RankedShard& right)
{
    if (left.tier != right.tier)
        return left.tier < right.tier;
    return left.weight > right.weight;
}

} // namespace

std::vector<ShardName> routeOrder(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities)
{
    std::vector<RankedShard> ranked;
    ranked.reserve(directory.shards.size());
    for (const ShardSpec& spec : directory.shards)
        ranked.push_back(rank(record, directory, capacities, spec.name));
    std::sort(ranked.begin(), ranked.end(), isBetter);
    std::vector<ShardName> order;
    order.reserve(ranked.size());
    for (const RankedShard& shard : ranked)
        order.push_back(shard.name);
    return order;
}

absl::optional<ShardName> shardWithCapacity(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities)
{
    RankedShard best;
    for (const ShardSpec& spec : directory.shards) {
        RankedShard candidate = rank(record, directory, capacities, spec.name);
        if (best.name.empty() || isBetter(candidate, best))
            best = std::move(candidate);
    }
    if (best.tier == fullTier)
        return absl::nullopt;
    return best.name;
}

std::vector<AttemptPart> splitOverShards(
    const JobRecord& record, const Directory& directory, const ShardCapacities& capacities)
{
    const Shape& shape = record.spec.shape;
    if (shape.adjacency != Adjacency::Anywhere || shape.tasks < 2 || directory.shards.size() < 2)
        return {};
    std::vector<RankedShard> ranked;
    ranked.reserve(directory.shards.size());
    std::int64_t allFree = 0;
    for (const ShardSpec& spec : directory.shards) {
        ranked.push_back(rank(record, directory, capacities, spec.name));
        allFree += ranked.back().freeAccelerators;
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedShard& left, const RankedShard& right) {
        return left.freeAccelerators > right.freeAccelerators;
    });
    std::vector<AttemptPart> parts;
    std::int32_t placed = 0;
    for (std::size_t i = 0; i < ranked.size() && placed < shape.tasks; ++i) {
        const std::int32_t left = shape.tasks - placed;
        const std::int64_t shardsLeft = static_cast<std::int64_t>(ranked.size() - i);
        std::int64_t share = (left + shardsLeft - 1) / shardsLeft;
        if (allFree > 0 && shape.acceleratorsPerTask > 0)
            share = std::max<std::int64_t>(1, ranked[i].freeAccelerators / shape.acceleratorsPerTask);
        const bool isLast = i + 1 == ranked.size();
        AttemptPart part;
        part.shard = ranked[i].name;
        part.firstTask = placed;
        part.tasks = isLast ? left : static_cast<std::int32_t>(std::min<std::int64_t>(share, left));
        placed += part.tasks;
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace mangohall
