#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/string_view.h"
#include "batch/policy/eviction_search_base.h"
#include "batch/policy/task_placer_base.h"

namespace mangohall::batch {

namespace {

constexpr std::int32_t urgentPriority = 0;
// A task waits this many times its estimated run time for a preferred rack. Far from its data, or spread over racks, it
// takes three times as long, so waiting twice its run time is no worse.
constexpr double localityWaitFactor = 2;
constexpr absl::Duration maxLocalityWait = absl::Seconds(15);
// The wait for a preferred rack while many accelerators are free, and the shortest wait while the workers are busy.
constexpr absl::Duration idleLocalityWait = absl::Milliseconds(2000);
// How long before its latest start a step that a guarantee covers stops waiting for a preferred rack. Runs may have to
// be stopped on the other racks first.
constexpr absl::Duration guaranteeLeadTime = absl::Milliseconds(1500);
// How long after its latest start a step that a guarantee covers still keeps room while not all its tasks fit. One that
// never fits must not keep others out for longer.
constexpr absl::Duration longestPartialClaim = absl::Seconds(3);
// The share of accelerators in use above which the workers count as busy, and tasks wait longer for a rack near their
// data.
constexpr double busyShare = 0.55;

// The accelerators that are reserved for urgent work, as a share of those that urgent work uses now.
constexpr double urgentReserveShare = 0.6;
// Workers with fewer free accelerators are not reserved, because a large task would not fit there.
constexpr std::int32_t minReservedAccelerators = 4;
// How long a step waits for other workers than the reserved ones while more than this share of the accelerators is in
// use, and otherwise.
constexpr double scarceShare = 0.5;
constexpr absl::Duration scarceReserveWait = absl::Seconds(60);
constexpr absl::Duration ampleReserveWait = absl::Seconds(2);

// The sort key of a step; steps with smaller keys are served first.
auto serviceOrderKey(const PendingStep& pending, absl::Time now)
{
    const bool isLate = pending.targetEnd < now;
    // A guarantee also holds for late work, so it comes before lateness. Among guaranteed steps the one that has to
    // start first comes first, so that no other takes the workers that are emptied for it.
    return std::make_tuple(pending.priority, !pending.isGuaranteed, !pending.mayReclaim, pending.startBy, isLate,
        pending.targetEnd, pending.readySince, pending.job.text());
}

// The share of all accelerators that runs occupy, 0 to 1.
double usedAcceleratorShare(absl::Span<const WorkerCapacity> workers)
{
    std::int64_t free = 0;
    std::int64_t used = 0;
    for (const WorkerCapacity& capacity : workers) {
        free += capacity.free.accelerators;
        for (const AllocatedRun& run : capacity.runs)
            used += run.demand.accelerators;
    }
    return free + used == 0 ? 0 : static_cast<double>(used) / static_cast<double>(free + used);
}

// The reserve for urgent work, on the kinds of worker that urgent runs require. `usedShare` is the share of all
// accelerators that runs occupy.
WorkerReserve urgentReserve(absl::Span<const WorkerCapacity> workers, double usedShare, absl::Time now)
{
    WorkerReserve reserve;
    std::int64_t used = 0;
    for (const WorkerCapacity& capacity : workers) {
        for (const AllocatedRun& run : capacity.runs) {
            if (run.priority != urgentPriority)
                continue;
            used += run.demand.accelerators;
            const WorkerKind kind { capacity.service, run.requiredLabel };
            if (std::find(reserve.kinds.begin(), reserve.kinds.end(), kind) == reserve.kinds.end())
                reserve.kinds.push_back(kind);
        }
    }
    reserve.accelerators = static_cast<double>(used) * urgentReserveShare;
    reserve.minFreeAccelerators = minReservedAccelerators;
    reserve.openToStepsReadyBy = now - (usedShare > scarceShare ? scarceReserveWait : ampleReserveWait);
    return reserve;
}

// One allocation round over all workers.
class AllocationRound {
public:
    AllocationRound(std::vector<WorkerCapacity>& workers, absl::Time now)
        : m_now(now)
        , m_isBusy(usedAcceleratorShare(workers) > busyShare)
        , m_index(workers)
        , m_placer(m_index)
        , m_evictionSearch(m_index)
    {
        // With a reserve, urgent work that arrives soon need not wait for evictions, and other tasks are not started
        // only to be evicted shortly after.
        m_index.reserveEmptiest(urgentReserve(workers, usedAcceleratorShare(workers), now));
    }

    // Places the step's tasks as far as they fit, and evicts runs for the rest if the step is urgent.
    void serve(const PendingStep& pending)
    {
        const std::size_t placed = m_allocation.placements.size();
        const std::size_t evicted = m_allocation.evictions.size();
        if (pending.spec->isGang)
            serveGang(pending);
        else
            serveTasks(pending);
        const auto hasPlaced = [&] { return m_allocation.placements.size() > placed; };
        const bool hasEvicted = m_allocation.evictions.size() > evicted;
        if (!hasPlaced() && !hasEvicted && pending.isOverdue && !m_servedJobs.contains(pending.job.text()))
            serveOverdue(pending);
        if (hasPlaced())
            m_servedJobs.insert(pending.job.str());
        else if (pending.wantsReason)
            m_allocation.held.push_back(
                { pending.job, hasEvicted ? HoldReason::AwaitsEvictions : holdReasonOf(pending) });
    }

    // Moves the result out of the round.
    Allocation take()
    {
        m_allocation.workersExamined = m_index.examinations();
        return std::move(m_allocation);
    }

private:
    // Whether the step still waits for a preferred rack rather than starting on any other.
    bool isWaitingForRack(const PendingStep& pending) const
    {
        if (pending.isGuaranteed)
            return m_now < pending.startBy - guaranteeLeadTime;
        const absl::Duration busyWait = std::min(pending.spec->estimate * localityWaitFactor, maxLocalityWait);
        return m_now < pending.readySince + (m_isBusy ? std::max(busyWait, idleLocalityWait) : idleLocalityWait);
    }

    // Whether the rack could hold the step: a task of it, or its whole gang.
    bool mayHold(const RackName& rack, const PendingStep& pending) const
    {
        return m_index.mayEverFit(pending, leastTogether(pending), rack);
    }

    // The racks on which the step may be placed now, best first. An empty name means all racks together. A step waits
    // for no rack that could not hold it.
    std::vector<RackName> candidateRacks(const PendingStep& pending) const
    {
        const StepSpec& spec = *pending.spec;
        std::vector<RackName> candidates;
        if (!spec.dataRack->empty() && mayHold(spec.dataRack.get(), pending))
            candidates.push_back(spec.dataRack.get());
        if (!candidates.empty() && isWaitingForRack(pending))
            return candidates;
        if (spec.isGang && spec.isRackLocal) {
            for (const RackName& rack : m_index.racksFullestFirst()) {
                if (mayHold(rack, pending))
                    candidates.push_back(rack);
            }
            if (!candidates.empty() && isWaitingForRack(pending))
                return candidates;
        }
        candidates.emplace_back();
        return candidates;
    }

    // The number of tasks that have to be placed together.
    static std::size_t leastTogether(const PendingStep& pending)
    {
        return pending.spec->isGang ? pending.indices.size() : 1;
    }

    // Places the smallest part of the step that can run on any workers, if there is capacity for two such parts. The
    // part is the whole gang, each task of a long-running step, or one task otherwise; the other tasks stay pending.
    void serveOverdue(const PendingStep& pending)
    {
        const std::size_t enough = 2 * leastTogether(pending);
        if (m_index.countFitting(pending, enough, true) < enough)
            return;
        PendingStep overdue = pending;
        // Reserved workers are open to steps that have waited long.
        overdue.readySince = absl::InfinitePast();
        if (pending.spec->isGang) {
            placeGang(overdue, candidateRacks(overdue));
            return;
        }
        const std::size_t count = pending.spec->isLongRunning ? pending.indices.size() : 1;
        addPlacements(m_placer.placeMost(overdue, absl::MakeConstSpan(overdue.indices).first(count), RackName()));
    }

    // Places the gang on the first of the racks that has room for it. Returns whether there is one.
    bool placeGang(const PendingStep& pending, absl::Span<const RackName> racks)
    {
        return std::any_of(racks.begin(), racks.end(),
            [&](const RackName& rack) { return addPlacements(m_placer.placeAll(pending, rack)) > 0; });
    }

    // Why no task of the step was placed on the workers as they are now.
    HoldReason holdReasonOf(const PendingStep& pending) const
    {
        const std::size_t needed = leastTogether(pending);
        if (m_index.countFitting(pending, needed, true) < needed)
            return HoldReason::NoCapacity;
        const bool fitsUnreserved = m_index.countFitting(pending, needed, false) >= needed;
        return fitsUnreserved ? HoldReason::AwaitsRack : HoldReason::Reserved;
    }

    void serveTasks(const PendingStep& pending)
    {
        const std::vector<RackName> racks = candidateRacks(pending);
        absl::Span<const std::int32_t> unplaced = pending.indices;
        for (const RackName& rack : racks)
            unplaced.remove_prefix(addPlacements(m_placer.placeMost(pending, unplaced, rack)));
        evictFor(pending, unplaced, racks);
    }

    // Returns the number of placements that were added.
    std::size_t addPlacements(absl::Span<const Placement> placements)
    {
        m_allocation.placements.insert(m_allocation.placements.end(), placements.begin(), placements.end());
        return placements.size();
    }

    void serveGang(const PendingStep& pending)
    {
        const std::vector<RackName> racks = candidateRacks(pending);
        if (!placeGang(pending, racks))
            evictFor(pending, pending.indices, racks);
    }

    // Whether room is kept for some tasks of the step although not all fit: for a while, and only if all could fit.
    // Only one step at a time, because several that each keep part of their room would wait for one another.
    bool mayClaimPart(const PendingStep& pending) const
    {
        return pending.isGuaranteed && !m_hasPartialClaim && m_now < pending.startBy + longestPartialClaim
            && mayHold(RackName(), pending);
    }

    // Returns the plan for as many of the tasks as fit on one of the racks, cheapest first.
    absl::optional<EvictionPlan> planMostFor(
        const PendingStep& pending, absl::Span<const std::int32_t> indices, absl::Span<const RackName> racks)
    {
        absl::optional<EvictionPlan> most;
        for (const RackName& rack : racks) {
            EvictionPlan plan = m_evictionSearch.planMost(pending, indices, rack);
            if (!most || plan.tasks > most->tasks || (plan.tasks == most->tasks && plan.cost < most->cost))
                most = std::move(plan);
        }
        return most;
    }

    // Evicts runs so that the tasks of an urgent step fit later, on the candidate rack where this costs least. Evicts
    // nothing for other steps, or if the tasks would not all fit even after evictions; but under a guarantee, makes and
    // keeps room for as many as fit for a while.
    void evictFor(const PendingStep& pending, absl::Span<const std::int32_t> indices, absl::Span<const RackName> racks)
    {
        if (pending.priority != urgentPriority || indices.empty())
            return;
        absl::optional<EvictionPlan> best;
        for (const RackName& rack : racks) {
            if (!m_evictionSearch.mayFit(pending, indices.size(), rack))
                continue;
            absl::optional<EvictionPlan> plan = m_evictionSearch.plan(pending, indices, rack);
            if (plan && (!best || plan->cost < best->cost))
                best = std::move(plan);
        }
        if (!best && mayClaimPart(pending)) {
            best = planMostFor(pending, indices, racks);
            m_hasPartialClaim = true;
        }
        if (!best)
            return;
        const std::vector<Eviction> evictions = m_evictionSearch.apply(*best, pending);
        m_allocation.evictions.insert(m_allocation.evictions.end(), evictions.begin(), evictions.end());
    }

    const absl::Time m_now;
    // The used share of accelerators at the start of the round was above `busyShare`.
    const bool m_isBusy;
    CapacityIndex m_index;
    TaskPlacer m_placer;
    EvictionSearch m_evictionSearch;
    // The jobs of which a task was placed in this round.
    absl::flat_hash_set<std::string> m_servedJobs;
    // Room is kept for some tasks of a step of which not all fit.
    bool m_hasPartialClaim = false;
    Allocation m_allocation;
};

} // namespace

Allocation PriorityPolicy::allocate(
    std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps, absl::Time now) const
{
    std::vector<const PendingStep*> order;
    order.reserve(pendingSteps.size());
    for (const PendingStep& pending : pendingSteps)
        order.push_back(&pending);
    std::sort(order.begin(), order.end(), [now](const PendingStep* left, const PendingStep* right) {
        return serviceOrderKey(*left, now) < serviceOrderKey(*right, now);
    });
    AllocationRound round(workers, now);
    for (const PendingStep* pending : order)
        round.serve(*pending);
    return round.take();
}

Allocation ArrivalOrderPolicy::allocate(
    std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps, absl::Time /*now*/) const
{
    CapacityIndex index(workers);
    TaskPlacer placer(index);
    Allocation allocation;
    for (const PendingStep& pending : pendingSteps) {
        const std::vector<Placement> placed = pending.spec->isGang
            ? placer.placeAll(pending, RackName())
            : placer.placeMost(pending, pending.indices, RackName());
        allocation.placements.insert(allocation.placements.end(), placed.begin(), placed.end());
    }
    allocation.workersExamined = index.examinations();
    return allocation;
}

} // namespace mangohall::batch
