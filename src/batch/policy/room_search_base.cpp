#include "batch/policy/room_search_base.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangohall::batch {

namespace {

// Misfit of a worker that is not on the rack of the data, in accelerators left over.
constexpr double farDataMisfit = 1000;
// Misfit of a worker on which everything fails.
constexpr double failureMisfit = 500;
// An accelerator that is left over weighs as much as this share of a worker's cores.
constexpr double millisPerAccelerator = 16000;

} // namespace

Resources countedDemand(const StepSpec& spec)
{
    Resources demand = spec.demand;
    if (spec.isFilling)
        demand.cpuMillis = 0;
    return demand;
}

bool RoomSearch::isEligible(const WorkerRoom& room, const StepDemand& demand, const SearchLimits& limits) const
{
    if (room.service != demand.service)
        return false;
    if (!limits.rack.empty() && room.rack != limits.rack)
        return false;
    const WorkerLabel& label = demand.spec->requiredLabel;
    return label.empty() || std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
}

bool RoomSearch::isBelowStepLimit(const WorkerRoom& room, const StepDemand& demand) const
{
    if (demand.spec->maxPerWorker <= 0)
        return true;
    const auto sameStep = [&demand](const Occupant& occupant) {
        const TaskKey& task = occupant.run.task;
        return task.job == demand.job && task.task.occurrence == demand.occurrence && task.task.step == demand.step;
    };
    return std::count_if(room.occupants.begin(), room.occupants.end(), sameStep) < demand.spec->maxPerWorker;
}

// The smaller, the better the worker suits: near its data, sound, and with little left over.
double RoomSearch::misfit(const WorkerRoom& room, const StepDemand& demand) const
{
    const Resources needed = countedDemand(*demand.spec);
    double misfit = room.failureShare * failureMisfit;
    if (!demand.spec->dataRack.empty() && room.rack != demand.spec->dataRack)
        misfit += farDataMisfit;
    misfit += room.free.accelerators - needed.accelerators;
    misfit += static_cast<double>(room.free.cpuMillis - needed.cpuMillis) / millisPerAccelerator;
    return misfit;
}

void RoomSearch::take(WorkerRoom& room, const StepDemand& demand, std::int32_t index)
{
    const Resources needed = countedDemand(*demand.spec);
    room.free -= needed;
    room.freeAfterStops -= needed;
    Occupant occupant;
    occupant.run.task = { demand.job, { demand.occurrence, demand.step, index } };
    occupant.demand = needed;
    occupant.priority = demand.priority;
    room.occupants.push_back(occupant);
}

absl::optional<Placement> RoomSearch::place(const StepDemand& demand, std::int32_t index, const SearchLimits& limits)
{
    const Resources needed = countedDemand(*demand.spec);
    WorkerRoom* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (WorkerRoom& room : m_rooms) {
        if (!needed.fitsInto(room.free) || !isEligible(room, demand, limits) || !isBelowStepLimit(room, demand))
            continue;
        const double misfitHere = misfit(room, demand);
        if (misfitHere < least) {
            least = misfitHere;
            best = &room;
        }
    }
    if (best == nullptr)
        return absl::nullopt;
    take(*best, demand, index);
    return Placement { { demand.job, { demand.occurrence, demand.step, index } }, best->worker };
}

std::vector<Placement> RoomSearch::placeAll(const StepDemand& demand, const SearchLimits& limits)
{
    std::vector<Placement> placements;
    for (const std::int32_t index : demand.indices) {
        absl::optional<Placement> placement = place(demand, index, limits);
        if (!placement) {
            undo(placements, demand);
            return {};
        }
        placements.push_back(*std::move(placement));
    }
    return placements;
}

void RoomSearch::undo(absl::Span<const Placement> placements, const StepDemand& demand)
{
    const Resources needed = countedDemand(*demand.spec);
    for (const Placement& placement : placements) {
        const auto room = std::find_if(m_rooms.begin(), m_rooms.end(),
            [&placement](const WorkerRoom& candidate) { return candidate.worker == placement.worker; });
        room->free += needed;
        room->freeAfterStops += needed;
        const auto occupant = std::find_if(room->occupants.begin(), room->occupants.end(),
            [&placement](const Occupant& candidate) { return candidate.run.task == placement.task; });
        room->occupants.erase(occupant);
    }
}

absl::optional<RoomSearch::EvictionPlan> RoomSearch::planEviction(std::size_t room, const StepDemand& demand) const
{
    const WorkerRoom& candidate = m_rooms[room];
    const Resources needed = countedDemand(*demand.spec);
    EvictionPlan plan;
    plan.room = room;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < candidate.occupants.size(); ++i) {
        const Occupant& occupant = candidate.occupants[i];
        if (occupant.mayBeEvicted && !occupant.isStopping && occupant.priority > demand.priority)
            order.push_back(i);
    }
    std::sort(order.begin(), order.end(), [&candidate](std::size_t left, std::size_t right) {
        return candidate.occupants[left].stopCost < candidate.occupants[right].stopCost;
    });
    Resources roomThen = candidate.freeAfterStops;
    for (const std::size_t victim : order) {
        if (needed.fitsInto(roomThen))
            break;
        roomThen += candidate.occupants[victim].demand;
        plan.victims.push_back(victim);
        plan.cost += candidate.occupants[victim].stopCost;
    }
    if (!needed.fitsInto(roomThen))
        return absl::nullopt;
    return plan;
}

bool RoomSearch::makeRoom(const StepDemand& demand, const SearchLimits& limits, std::vector<Eviction>& evictions)
{
    absl::optional<EvictionPlan> best;
    for (std::size_t room = 0; room < m_rooms.size(); ++room) {
        if (!isEligible(m_rooms[room], demand, limits) || !isBelowStepLimit(m_rooms[room], demand))
            continue;
        absl::optional<EvictionPlan> plan = planEviction(room, demand);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    if (!best)
        return false;
    WorkerRoom& room = m_rooms[best->room];
    for (const std::size_t victim : best->victims) {
        Occupant& occupant = room.occupants[victim];
        occupant.isStopping = true;
        room.freeAfterStops += occupant.demand;
        evictions.push_back({ occupant.run, room.worker });
    }
    take(room, demand, demand.indices.front());
    return true;
}

std::vector<RackName> RoomSearch::racks() const
{
    std::vector<RackName> racks;
    for (const WorkerRoom& room : m_rooms)
        racks.push_back(room.rack);
    std::sort(racks.begin(), racks.end());
    racks.erase(std::unique(racks.begin(), racks.end()), racks.end());
    return racks;
}

} // namespace mangohall::batch
