#include "batch/policy/room_search_base.h"

#include <algorithm>
#include <limits>
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

} // namespace

Resources countedDemand(const StepSpec& spec)
{
    Resources demand = spec.demand;
    if (spec.isFilling)
        demand.cpuMillis = 0;
    return demand;
}

RoomSearch::RoomSearch(std::vector<WorkerRoom>& rooms)
    : m_rooms(rooms)
    , m_all(rooms.size())
{
    std::iota(m_all.begin(), m_all.end(), std::size_t { 0 });
    for (const std::size_t room : m_all)
        m_byRack[rooms[room].rack.str()].push_back(room);
}

absl::Span<const std::size_t> RoomSearch::roomsOn(const RackName& rack) const
{
    if (rack.empty())
        return m_all;
    const auto found = m_byRack.find(rack.text());
    return found == m_byRack.end() ? absl::Span<const std::size_t>() : absl::MakeConstSpan(found->second);
}

std::vector<WorkerRoom> RoomSearch::copyOf(const RackName& rack) const
{
    const absl::Span<const std::size_t> places = roomsOn(rack);
    std::vector<WorkerRoom> rooms;
    rooms.reserve(places.size());
    m_roomsTried += static_cast<std::int64_t>(places.size());
    for (const std::size_t place : places)
        rooms.push_back(m_rooms[place]);
    return rooms;
}

bool RoomSearch::isEligible(const WorkerRoom& room, const StepDemand& demand)
{
    if (room.service != demand.service)
        return false;
    if (room.isReserved && demand.priority != 0)
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
    double misfit = room.suspicion * suspicionMisfit;
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

absl::optional<Placement> RoomSearch::place(const StepDemand& demand, std::int32_t index, const RackName& rack)
{
    const Resources needed = countedDemand(*demand.spec);
    WorkerRoom* best = nullptr;
    double least = std::numeric_limits<double>::infinity();
    for (const std::size_t candidate : roomsOn(rack)) {
        WorkerRoom& room = m_rooms[candidate];
        ++m_roomsTried;
        if (!needed.fitsInto(room.free) || !isEligible(room, demand) || !isBelowStepLimit(room, demand))
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

std::vector<Placement> RoomSearch::placeAll(const StepDemand& demand, const RackName& rack)
{
    std::vector<Placement> placements;
    for (const std::int32_t index : demand.indices) {
        absl::optional<Placement> placement = place(demand, index, rack);
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

bool RoomSearch::isVictim(const Occupant& occupant, const StepDemand& demand)
{
    if (!occupant.mayBeEvicted || occupant.isStopping)
        return false;
    const bool isReclaimed = demand.mayReclaim && occupant.priority == demand.priority && !occupant.isGuaranteed;
    return isReclaimed || occupant.priority > demand.priority;
}

std::size_t RoomSearch::mostTasks(const WorkerRoom& room, const StepDemand& demand) const
{
    const Resources needed = countedDemand(*demand.spec);
    Resources freed = room.freeAfterStops;
    for (const Occupant& occupant : room.occupants) {
        if (isVictim(occupant, demand))
            freed += occupant.demand;
    }
    std::size_t tasks = 0;
    for (; needed.fitsInto(freed) && tasks < demand.indices.size(); ++tasks)
        freed -= needed;
    const auto limit = static_cast<std::size_t>(std::max(0, demand.spec->maxPerWorker));
    return limit == 0 ? tasks : std::min(tasks, limit);
}

bool RoomSearch::mayHold(const StepDemand& demand, std::size_t count, const RackName& rack) const
{
    std::size_t tasks = 0;
    for (const std::size_t candidate : roomsOn(rack)) {
        if (tasks >= count)
            break;
        ++m_roomsTried;
        if (isEligible(m_rooms[candidate], demand))
            tasks += mostTasks(m_rooms[candidate], demand);
    }
    return tasks >= count;
}

absl::optional<RoomSearch::Victims> RoomSearch::findVictims(std::size_t room, const StepDemand& demand) const
{
    const WorkerRoom& candidate = m_rooms[room];
    const Resources needed = countedDemand(*demand.spec);
    std::vector<const Occupant*> order;
    for (const Occupant& occupant : candidate.occupants) {
        if (isVictim(occupant, demand))
            order.push_back(&occupant);
    }
    std::sort(order.begin(), order.end(),
        [](const Occupant* left, const Occupant* right) { return left->stopCost < right->stopCost; });
    Victims victims;
    victims.room = room;
    Resources freed = candidate.freeAfterStops;
    for (const Occupant* occupant : order) {
        if (needed.fitsInto(freed))
            break;
        freed += occupant->demand;
        victims.runs.push_back(occupant->run);
        victims.cost += occupant->stopCost;
    }
    if (!needed.fitsInto(freed))
        return absl::nullopt;
    return victims;
}

void RoomSearch::stop(WorkerRoom& room, Occupant& occupant, RoomPlan& plan)
{
    if (occupant.isStopping)
        return;
    occupant.isStopping = true;
    room.freeAfterStops += occupant.demand;
    plan.evictions.push_back({ occupant.run, room.worker });
}

// With one member its whole gang ends, so that all of its room comes free.
void RoomSearch::evict(const Victims& victims, RoomPlan& plan)
{
    plan.cost += victims.cost;
    const auto isVictim = [&victims](const Occupant& occupant) {
        return std::any_of(victims.runs.begin(), victims.runs.end(), [&occupant](const RunKey& run) {
            const bool isSameGang = occupant.isGang && occupant.run.task.job == run.task.job
                && occupant.run.task.task.occurrence == run.task.task.occurrence
                && occupant.run.task.task.step == run.task.task.step;
            return occupant.run == run || isSameGang;
        });
    };
    for (WorkerRoom& room : m_rooms) {
        ++m_roomsTried;
        for (Occupant& occupant : room.occupants) {
            if (isVictim(occupant))
                stop(room, occupant, plan);
        }
    }
}

absl::optional<RoomPlan> RoomSearch::makeRoom(
    const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    RoomPlan plan;
    for (const std::int32_t index : indices) {
        absl::optional<Victims> best;
        for (const std::size_t room : roomsOn(rack)) {
            ++m_roomsTried;
            if (!isEligible(m_rooms[room], demand) || !isBelowStepLimit(m_rooms[room], demand))
                continue;
            absl::optional<Victims> victims = findVictims(room, demand);
            if (victims && (!best || victims->cost < best->cost))
                best = std::move(victims);
        }
        if (!best)
            return absl::nullopt;
        evict(*best, plan);
        take(m_rooms[best->room], demand, index);
    }
    return plan;
}

} // namespace mangohall::batch
