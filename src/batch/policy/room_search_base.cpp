#include "batch/policy/room_search_base.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace mangohall::batch {

namespace {

// Misfit of a worker that is not on the rack of the data, in accelerators left over.
constexpr double farDataMisfit = 1000;
// Misfit of a worker that much speaks against.
constexpr double suspicionMisfit = 500;
// An accelerator that is left over weighs as much as this share of a worker's cores.
constexpr double millisPerAccelerator = 16000;

// Small near the data, on a sound worker, and with little left over. A task that is placed there makes it smaller.
double misfitOf(const WorkerRoom& room, const StepDemand& demand)
{
    const Resources needed = countedDemand(*demand.spec);
    double misfit = room.suspicion * suspicionMisfit;
    if (!demand.spec->dataRack.empty() && room.rack != demand.spec->dataRack)
        misfit += farDataMisfit;
    misfit += room.free.accelerators - needed.accelerators;
    misfit += static_cast<double>(room.free.cpuMillis - needed.cpuMillis) / millisPerAccelerator;
    return misfit;
}

} // namespace

std::vector<RoomSearch::Fit> RoomSearch::findFits(const StepDemand& demand, const RackName& rack) const
{
    std::vector<Fit> fits;
    for (const std::size_t candidate : m_rooms.roomsOn(rack)) {
        const WorkerRoom& room = m_rooms.lookAt(candidate);
        std::size_t tasks = tasksIn(room.free, demand);
        if (tasks == 0 || !RoomIndex::isEligible(room, demand))
            continue;
        tasks = std::min(tasks, RoomIndex::stepAllowance(room, demand));
        if (tasks > 0)
            fits.push_back({ candidate, tasks, misfitOf(room, demand) });
    }
    return fits;
}

// The worker that suits best suits even better with one task more, so that it is filled before the next one.
std::vector<Placement> RoomSearch::fill(
    std::vector<Fit> fits, const StepDemand& demand, absl::Span<const std::int32_t> indices)
{
    std::stable_sort(
        fits.begin(), fits.end(), [](const Fit& left, const Fit& right) { return left.misfit < right.misfit; });
    std::vector<Placement> placements;
    auto index = indices.begin();
    for (const Fit& fit : fits) {
        for (std::size_t task = 0; task < fit.tasks && index != indices.end(); ++task, ++index) {
            m_rooms.take(fit.room, demand, *index);
            placements.push_back(
                { { demand.job, { demand.occurrence, demand.step, *index } }, m_rooms.at(fit.room).worker });
        }
    }
    return placements;
}

std::vector<Placement> RoomSearch::placeMost(
    const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    return fill(findFits(demand, rack), demand, indices);
}

std::vector<Placement> RoomSearch::placeAll(const StepDemand& demand, const RackName& rack)
{
    std::vector<Fit> fits = findFits(demand, rack);
    const std::size_t tasks = std::accumulate(
        fits.begin(), fits.end(), std::size_t { 0 }, [](std::size_t sum, const Fit& fit) { return sum + fit.tasks; });
    if (tasks < demand.indices.size())
        return {};
    return fill(std::move(fits), demand, demand.indices);
}

} // namespace mangohall::batch
