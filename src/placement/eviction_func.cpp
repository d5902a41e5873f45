#include "placement/eviction_func.h"

#include <algorithm>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

// An amount of resources and slots: what a request lacks on a worker, or what an eviction frees there. An amount may be
// negative; a deficit of zero or less in every component is covered.
struct ResourceAmount {
    Resources resources;
    std::int32_t slots = 0;

    bool isCovered() const
    {
        return resources.cpuMillis <= 0 && resources.memoryBytes <= 0 && resources.accelerators <= 0 && slots <= 0;
    }
};

// An attempt on the worker that may be evicted, and what its eviction frees there.
struct Candidate {
    AttemptId attempt;
    absl::Time startedAt;
    ResourceAmount freed;
};

ResourceAmount subtract(ResourceAmount deficit, const ResourceAmount& freed)
{
    deficit.resources.cpuMillis -= freed.resources.cpuMillis;
    deficit.resources.memoryBytes -= freed.resources.memoryBytes;
    deficit.resources.accelerators -= freed.resources.accelerators;
    deficit.slots -= freed.slots;
    return deficit;
}

// What the eviction of the occupancy frees on a worker that runs `tasks` of its tasks.
ResourceAmount freedBy(const Occupancy& occupancy, std::int32_t tasks, const ServiceName& service)
{
    const Resources& demand = occupancy.demandPerTask;
    ResourceAmount freed;
    freed.resources = { tasks * demand.cpuMillis, tasks * demand.memoryBytes, tasks * demand.accelerators };
    freed.slots = occupancy.service == service ? tasks : 0;
    return freed;
}

// What the worker lacks for the share.
ResourceAmount deficitOf(const CapacityLedger& ledger, const PlacementRequest& request, const TaskShare& share)
{
    const Resources free = freeResources(*share.worker);
    const Resources& demand = request.demandPerTask;
    const ServiceName& service = request.spec.service;
    ResourceAmount deficit;
    deficit.resources.cpuMillis = share.tasks * demand.cpuMillis - free.cpuMillis;
    deficit.resources.memoryBytes = share.tasks * demand.memoryBytes - free.memoryBytes;
    deficit.resources.accelerators = share.tasks * demand.accelerators - free.accelerators;
    deficit.slots = share.tasks - freeSlots(*share.worker, service, ledger.slotsPerWorker(service));
    return deficit;
}

// Whether the request is urgent and the occupancy is evictable work of lower priority in the same cells, which urgent
// work of the same organisation may evict.
bool isOwnLowerPriorityWork(const Occupancy& occupancy, const PlacementRequest& request, const GuaranteeName& guarantee)
{
    return request.spec.priority == Priority::Urgent && occupancy.priority != Priority::Urgent && occupancy.isEvictable
        && occupancy.guarantee == guarantee;
}

bool mayBeEvicted(const CapacityLedger& ledger, const Occupancy& occupancy, const PlacementRequest& request,
    const GuaranteeName& guarantee)
{
    return ledger.isEvictableBorrower(occupancy) || isOwnLowerPriorityWork(occupancy, request, guarantee);
}

// The candidates on the worker, those that started last first.
std::vector<Candidate> candidatesOn(const CapacityLedger& ledger, const PlacementRequest& request,
    const GuaranteeName& guarantee, const WorkerUsage& worker)
{
    std::vector<Candidate> candidates;
    for (const auto& [attempt, tasks] : worker.tasks) {
        const Occupancy& occupancy = ledger.attempts().at(attempt).occupancy;
        if (mayBeEvicted(ledger, occupancy, request, guarantee))
            candidates.push_back({ attempt, occupancy.startedAt, freedBy(occupancy, tasks, request.spec.service) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        if (left.startedAt != right.startedAt)
            return left.startedAt > right.startedAt;
        return left.attempt < right.attempt;
    });
    return candidates;
}

// Rates how much of the deficit would be covered by what an eviction frees. Accelerators outweigh everything else.
std::int64_t coverage(const ResourceAmount& deficit, const ResourceAmount& freed)
{
    constexpr std::int64_t acceleratorWeight = std::int64_t { 1 } << 40;
    const std::int64_t accelerators
        = std::max(0, std::min(deficit.resources.accelerators, freed.resources.accelerators));
    const std::int64_t cpuMillis
        = std::max<std::int64_t>(0, std::min(deficit.resources.cpuMillis, freed.resources.cpuMillis));
    const bool freesMemory = deficit.resources.memoryBytes > 0 && freed.resources.memoryBytes > 0;
    const bool freesSlots = deficit.slots > 0 && freed.slots > 0;
    return accelerators * acceleratorWeight + cpuMillis + (freesMemory ? 1 : 0) + (freesSlots ? 1 : 0);
}

// The first candidate that covers the deficit alone, or else the one that covers most of it. The candidates are sorted
// by start time, the latest first.
const Candidate* pickCandidate(
    absl::Span<const Candidate> candidates, const ResourceAmount& deficit, const absl::flat_hash_set<AttemptId>& chosen)
{
    const Candidate* best = nullptr;
    std::int64_t bestCoverage = 0;
    for (const Candidate& candidate : candidates) {
        if (chosen.contains(candidate.attempt))
            continue;
        if (subtract(deficit, candidate.freed).isCovered())
            return &candidate;
        const std::int64_t value = coverage(deficit, candidate.freed);
        if (value > bestCoverage) {
            best = &candidate;
            bestCoverage = value;
        }
    }
    return best;
}

} // namespace

ReclaimableCapacity reclaimableCapacity(const CapacityLedger& ledger, const PlacementRequest& request,
    const GuaranteeName& guarantee, const WorkerUsage& worker)
{
    const ServiceName& service = request.spec.service;
    ReclaimableCapacity reclaimable;
    reclaimable.resources = freeResources(worker);
    reclaimable.slots = freeSlots(worker, service, ledger.slotsPerWorker(service));
    for (const auto& [attempt, tasks] : worker.tasks) {
        const Occupancy& occupancy = ledger.attempts().at(attempt).occupancy;
        if (!mayBeEvicted(ledger, occupancy, request, guarantee))
            continue;
        const ResourceAmount freed = freedBy(occupancy, tasks, service);
        if (isOwnLowerPriorityWork(occupancy, request, guarantee))
            reclaimable.ownAccelerators += freed.resources.accelerators;
        reclaimable.resources.cpuMillis += freed.resources.cpuMillis;
        reclaimable.resources.memoryBytes += freed.resources.memoryBytes;
        reclaimable.resources.accelerators += freed.resources.accelerators;
        reclaimable.slots += freed.slots;
    }
    return reclaimable;
}

std::vector<AttemptId> chooseEvictions(const CapacityLedger& ledger, const PlacementRequest& request,
    const GuaranteeName& guarantee, absl::Span<const TaskShare> shares)
{
    std::vector<AttemptId> evictions;
    absl::flat_hash_set<AttemptId> chosen;
    for (const TaskShare& share : shares) {
        ResourceAmount deficit = deficitOf(ledger, request, share);
        if (deficit.isCovered())
            continue;
        const std::vector<Candidate> candidates = candidatesOn(ledger, request, guarantee, *share.worker);
        for (const Candidate& candidate : candidates) {
            if (chosen.contains(candidate.attempt))
                deficit = subtract(deficit, candidate.freed);
        }
        while (!deficit.isCovered()) {
            const Candidate* next = pickCandidate(candidates, deficit, chosen);
            if (next == nullptr)
                break;
            chosen.insert(next->attempt);
            evictions.push_back(next->attempt);
            deficit = subtract(deficit, next->freed);
        }
    }
    return evictions;
}

} // namespace mangohall
