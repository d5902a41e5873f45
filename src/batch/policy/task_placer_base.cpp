#include "batch/policy/task_placer_base.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace mangohall::batch {

namespace {

// Penalties are in accelerators that stay free on the worker.
constexpr double remoteDataPenalty = 1000;
// The penalty of a worker with the highest failure suspicion.
constexpr double suspicionPenalty = 500;
// A free accelerator weighs as much as this amount of free processor time.
constexpr double cpuMillisPerAccelerator = 16000;

// The penalty of placing a task of the step on the worker. It is low near the data, on a healthy worker and where few
// resources stay free. Each task that is placed on the worker lowers it.
double penaltyOf(const WorkerCapacity& capacity, const PendingStep& pending)
{
    const Resources needed = countedDemand(*pending.spec);
    double penalty = capacity.failureSuspicion * suspicionPenalty;
    if (!pending.spec->dataRack->empty() && capacity.rack != pending.spec->dataRack.get())
        penalty += remoteDataPenalty;
    penalty += capacity.free.accelerators - needed.accelerators;
    penalty += static_cast<double>(capacity.free.cpuMillis - needed.cpuMillis) / cpuMillisPerAccelerator;
    return penalty;
}

} // namespace

std::vector<TaskPlacer::Fit> TaskPlacer::findFits(const PendingStep& pending, const RackName& rack) const
{
    std::vector<Fit> fits;
    for (const std::size_t worker : m_index.workersOn(rack)) {
        const WorkerCapacity& capacity = m_index.examine(worker);
        std::size_t tasks = countFittingTasks(capacity.free, pending);
        if (tasks == 0 || !CapacityIndex::isEligible(capacity, pending))
            continue;
        tasks = std::min(tasks, CapacityIndex::stepAllowance(capacity, pending));
        if (tasks > 0)
            fits.push_back({ worker, tasks, penaltyOf(capacity, pending) });
    }
    return fits;
}

// Fills one worker after the other. The penalties need no update: each task that is placed on the best worker lowers
// that worker's penalty further, so it stays the best until it is full.
std::vector<Placement> TaskPlacer::fill(
    std::vector<Fit> fits, const PendingStep& pending, absl::Span<const std::int32_t> indices)
{
    std::stable_sort(
        fits.begin(), fits.end(), [](const Fit& left, const Fit& right) { return left.penalty < right.penalty; });
    std::vector<Placement> placements;
    auto index = indices.begin();
    for (const Fit& fit : fits) {
        for (std::size_t task = 0; task < fit.tasks && index != indices.end(); ++task, ++index) {
            m_index.addTask(fit.worker, pending, *index);
            placements.push_back(
                { { pending.job, { pending.occurrence, pending.step, *index } }, m_index.at(fit.worker).worker });
        }
    }
    return placements;
}

std::vector<Placement> TaskPlacer::placeMost(
    const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    return fill(findFits(pending, rack), pending, indices);
}

std::vector<Placement> TaskPlacer::placeAll(const PendingStep& pending, const RackName& rack)
{
    std::vector<Fit> fits = findFits(pending, rack);
    const std::size_t tasks = std::accumulate(
        fits.begin(), fits.end(), std::size_t { 0 }, [](std::size_t sum, const Fit& fit) { return sum + fit.tasks; });
    if (tasks < pending.indices.size())
        return {};
    return fill(std::move(fits), pending, pending.indices);
}

} // namespace mangohall::batch
