#include "batch/policy/capacity_index_base.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace mangohall::batch {

namespace {

// How many times the requested amount fits into the available amount; the largest integer if nothing is requested and
// the available amount is not negative.
std::int64_t countFitting(std::int64_t available, std::int64_t requested)
{
    if (requested <= 0)
        return available < requested ? 0 : std::numeric_limits<std::int64_t>::max();
    return available < requested ? 0 : available / requested;
}

// How many times the demand fits into the available resources.
std::size_t countFittingDemands(const Resources& available, const Resources& demand)
{
    return static_cast<std::size_t>(std::min(
        { countFitting(available.cpuMillis, demand.cpuMillis), countFitting(available.memoryBytes, demand.memoryBytes),
            countFitting(available.accelerators, demand.accelerators) }));
}

bool isOfKind(const WorkerCapacity& capacity, const WorkerKind& kind)
{
    if (capacity.service != kind.service)
        return false;
    return kind.label.empty()
        || std::find(capacity.labels.begin(), capacity.labels.end(), kind.label) != capacity.labels.end();
}

bool isOfAnyKind(const WorkerCapacity& capacity, absl::Span<const WorkerKind> kinds)
{
    return std::any_of(
        kinds.begin(), kinds.end(), [&capacity](const WorkerKind& kind) { return isOfKind(capacity, kind); });
}

// The resources of the worker, free or not.
Resources totalOf(const WorkerCapacity& capacity)
{
    Resources total = capacity.free;
    for (const AllocatedRun& run : capacity.runs)
        total += run.demand;
    return total;
}

bool belongsToStep(const AllocatedRun& run, const PendingStep& pending)
{
    const TaskKey& task = run.run.task;
    return task.task.step == pending.step && task.task.occurrence == pending.occurrence && task.job == pending.job;
}

} // namespace

Resources countedDemand(const StepSpec& spec)
{
    Resources demand = spec.demand;
    if (spec.usesSpareProcessor)
        demand.cpuMillis = 0;
    return demand;
}

std::size_t countFittingTasks(const Resources& available, const PendingStep& pending)
{
    return std::min(countFittingDemands(available, countedDemand(*pending.spec)), pending.indices.size());
}

CapacityIndex::CapacityIndex(std::vector<WorkerCapacity>& workers)
    : m_workers(workers)
    , m_allWorkers(workers.size())
{
    std::iota(m_allWorkers.begin(), m_allWorkers.end(), std::size_t { 0 });
    m_rackByWorker.reserve(workers.size());
    m_totals.reserve(workers.size());
    for (const std::size_t worker : m_allWorkers) {
        const auto [found, isNew] = m_rackByName.try_emplace(workers[worker].rack.text(), m_racks.size());
        if (isNew)
            m_racks.push_back({ workers[worker].rack, {}, 0 });
        Rack& rack = m_racks[found->second];
        rack.workers.push_back(worker);
        rack.freeAccelerators += workers[worker].free.accelerators;
        m_rackByWorker.push_back(found->second);
        m_totals.push_back(totalOf(workers[worker]));
    }
}

absl::Span<const std::size_t> CapacityIndex::workersOn(const RackName& rack) const
{
    if (rack.empty())
        return m_allWorkers;
    const auto found = m_rackByName.find(rack.text());
    return found == m_rackByName.end() ? absl::Span<const std::size_t>() : m_racks[found->second].workers;
}

std::vector<const CapacityIndex::Rack*> CapacityIndex::sortFullestFirst() const
{
    std::vector<const Rack*> racks;
    racks.reserve(m_racks.size());
    for (const Rack& rack : m_racks)
        racks.push_back(&rack);
    std::sort(racks.begin(), racks.end(), [](const Rack* left, const Rack* right) {
        return std::tie(left->freeAccelerators, left->name) < std::tie(right->freeAccelerators, right->name);
    });
    return racks;
}

std::vector<RackName> CapacityIndex::racksFullestFirst() const
{
    std::vector<RackName> names;
    names.reserve(m_racks.size());
    for (const Rack* rack : sortFullestFirst())
        names.push_back(rack->name);
    return names;
}

bool CapacityIndex::isEligible(const WorkerCapacity& capacity, const PendingStep& pending)
{
    if (pending.readySince > capacity.openToStepsReadyBy && pending.priority != 0)
        return false;
    return isSuitable(capacity, pending);
}

bool CapacityIndex::isSuitable(const WorkerCapacity& capacity, const PendingStep& pending)
{
    return isOfKind(capacity, { pending.service, pending.spec->requiredLabel.get() });
}

bool CapacityIndex::mayEverFit(const PendingStep& pending, std::size_t count, const RackName& rack) const
{
    const auto limit = static_cast<std::size_t>(std::max(0, pending.spec->maxPerWorker));
    std::size_t tasks = 0;
    for (const std::size_t worker : workersOn(rack)) {
        if (tasks >= count)
            break;
        if (!isSuitable(examine(worker), pending))
            continue;
        const std::size_t fitting = countFittingTasks(m_totals[worker], pending);
        tasks += limit == 0 ? fitting : std::min(fitting, limit);
    }
    return tasks >= count;
}

std::size_t CapacityIndex::countFitting(const PendingStep& pending, std::size_t limit, bool includesReserved) const
{
    const Resources demand = countedDemand(*pending.spec);
    std::size_t tasks = 0;
    for (const std::size_t worker : m_allWorkers) {
        if (tasks >= limit)
            break;
        const WorkerCapacity& capacity = examine(worker);
        if (!(includesReserved ? isSuitable(capacity, pending) : isEligible(capacity, pending)))
            continue;
        const std::size_t fitting
            = std::min(countFittingDemands(capacity.free, demand), stepAllowance(capacity, pending));
        tasks += std::min(fitting, limit);
    }
    return std::min(tasks, limit);
}

std::size_t CapacityIndex::stepAllowance(const WorkerCapacity& capacity, const PendingStep& pending)
{
    if (pending.spec->maxPerWorker <= 0)
        return std::numeric_limits<std::size_t>::max();
    const auto present = std::count_if(capacity.runs.begin(), capacity.runs.end(),
        [&pending](const AllocatedRun& run) { return belongsToStep(run, pending); });
    return static_cast<std::size_t>(std::max<std::int64_t>(0, pending.spec->maxPerWorker - present));
}

void CapacityIndex::addTask(std::size_t worker, const PendingStep& pending, std::int32_t index)
{
    WorkerCapacity& capacity = m_workers[worker];
    AllocatedRun run;
    run.run.task = { pending.job, { pending.occurrence, pending.step, index } };
    run.demand = countedDemand(*pending.spec);
    run.priority = pending.priority;
    capacity.free -= run.demand;
    capacity.freeAfterStops -= run.demand;
    m_racks[m_rackByWorker[worker]].freeAccelerators -= run.demand.accelerators;
    capacity.runs.push_back(std::move(run));
}

void CapacityIndex::removeLastTask(std::size_t worker)
{
    WorkerCapacity& capacity = m_workers[worker];
    const Resources& released = capacity.runs.back().demand;
    capacity.free += released;
    capacity.freeAfterStops += released;
    m_racks[m_rackByWorker[worker]].freeAccelerators += released.accelerators;
    capacity.runs.pop_back();
}

void CapacityIndex::markStopping(std::size_t worker, std::size_t run)
{
    WorkerCapacity& capacity = m_workers[worker];
    capacity.runs[run].isStopping = true;
    capacity.freeAfterStops += capacity.runs[run].demand;
}

void CapacityIndex::unmarkStopping(std::size_t worker, std::size_t run)
{
    WorkerCapacity& capacity = m_workers[worker];
    capacity.runs[run].isStopping = false;
    capacity.freeAfterStops -= capacity.runs[run].demand;
}

void CapacityIndex::reserveEmptiest(const WorkerReserve& reserve)
{
    double missing = reserve.accelerators;
    const std::vector<const Rack*> racks = sortFullestFirst();
    for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
        for (const std::size_t worker : (*rack)->workers) {
            if (missing <= 0)
                return;
            WorkerCapacity& capacity = m_workers[worker];
            if (capacity.free.accelerators < reserve.minFreeAccelerators || !isOfAnyKind(capacity, reserve.kinds))
                continue;
            capacity.openToStepsReadyBy = reserve.openToStepsReadyBy;
            missing -= capacity.free.accelerators;
        }
    }
}

} // namespace mangohall::batch
