#include "batch/policy/room_index_base.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace mangohall::batch {

namespace {

// How often the part goes into the whole; without end if it takes nothing.
std::int64_t timesIn(std::int64_t whole, std::int64_t part)
{
    if (part <= 0)
        return whole < part ? 0 : std::numeric_limits<std::int64_t>::max();
    return whole < part ? 0 : whole / part;
}

bool isOfStep(const Occupant& occupant, const StepDemand& demand)
{
    const TaskKey& task = occupant.run.task;
    return task.task.step == demand.step && task.task.occurrence == demand.occurrence && task.job == demand.job;
}

} // namespace

Resources countedDemand(const StepSpec& spec)
{
    Resources demand = spec.demand;
    if (spec.isFilling)
        demand.cpuMillis = 0;
    return demand;
}

std::size_t tasksIn(const Resources& available, const StepDemand& demand)
{
    const Resources needed = countedDemand(*demand.spec);
    const std::int64_t times = std::min({ timesIn(available.cpuMillis, needed.cpuMillis),
        timesIn(available.memoryBytes, needed.memoryBytes), timesIn(available.accelerators, needed.accelerators) });
    return static_cast<std::size_t>(std::min<std::int64_t>(times, static_cast<std::int64_t>(demand.indices.size())));
}

RoomIndex::RoomIndex(std::vector<WorkerRoom>& rooms)
    : m_rooms(rooms)
    , m_all(rooms.size())
{
    std::iota(m_all.begin(), m_all.end(), std::size_t { 0 });
    m_rackOfRoom.reserve(rooms.size());
    for (const std::size_t room : m_all) {
        const auto [found, isNew] = m_rackOf.try_emplace(rooms[room].rack.text(), m_racks.size());
        if (isNew)
            m_racks.push_back({ rooms[room].rack, {}, 0 });
        Rack& rack = m_racks[found->second];
        rack.rooms.push_back(room);
        rack.freeAccelerators += rooms[room].free.accelerators;
        m_rackOfRoom.push_back(found->second);
    }
}

absl::Span<const std::size_t> RoomIndex::roomsOn(const RackName& rack) const
{
    if (rack.empty())
        return m_all;
    const auto found = m_rackOf.find(rack.text());
    return found == m_rackOf.end() ? absl::Span<const std::size_t>() : m_racks[found->second].rooms;
}

std::vector<const RoomIndex::Rack*> RoomIndex::fullestFirst() const
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

std::vector<RackName> RoomIndex::racksByRoom() const
{
    std::vector<RackName> names;
    names.reserve(m_racks.size());
    for (const Rack* rack : fullestFirst())
        names.push_back(rack->name);
    return names;
}

bool RoomIndex::isEligible(const WorkerRoom& room, const StepDemand& demand)
{
    if (room.isReserved && demand.priority != 0)
        return false;
    if (room.service != demand.service)
        return false;
    const WorkerLabel& label = demand.spec->requiredLabel;
    return label.empty() || std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
}

std::size_t RoomIndex::stepAllowance(const WorkerRoom& room, const StepDemand& demand)
{
    if (demand.spec->maxPerWorker <= 0)
        return std::numeric_limits<std::size_t>::max();
    const auto present = std::count_if(room.occupants.begin(), room.occupants.end(),
        [&demand](const Occupant& occupant) { return isOfStep(occupant, demand); });
    return static_cast<std::size_t>(std::max<std::int64_t>(0, demand.spec->maxPerWorker - present));
}

void RoomIndex::take(std::size_t room, const StepDemand& demand, std::int32_t index)
{
    WorkerRoom& taken = m_rooms[room];
    Occupant occupant;
    occupant.run.task = { demand.job, { demand.occurrence, demand.step, index } };
    occupant.demand = countedDemand(*demand.spec);
    occupant.priority = demand.priority;
    taken.free -= occupant.demand;
    taken.freeAfterStops -= occupant.demand;
    m_racks[m_rackOfRoom[room]].freeAccelerators -= occupant.demand.accelerators;
    taken.occupants.push_back(std::move(occupant));
}

void RoomIndex::giveBack(std::size_t room)
{
    WorkerRoom& taken = m_rooms[room];
    const Resources& demand = taken.occupants.back().demand;
    taken.free += demand;
    taken.freeAfterStops += demand;
    m_racks[m_rackOfRoom[room]].freeAccelerators += demand.accelerators;
    taken.occupants.pop_back();
}

void RoomIndex::markStopping(std::size_t room, std::size_t occupant)
{
    WorkerRoom& changed = m_rooms[room];
    changed.occupants[occupant].isStopping = true;
    changed.freeAfterStops += changed.occupants[occupant].demand;
}

void RoomIndex::unmarkStopping(std::size_t room, std::size_t occupant)
{
    WorkerRoom& changed = m_rooms[room];
    changed.occupants[occupant].isStopping = false;
    changed.freeAfterStops -= changed.occupants[occupant].demand;
}

void RoomIndex::reserveEmptiest(double accelerators, std::int32_t leastRoom)
{
    const std::vector<const Rack*> racks = fullestFirst();
    for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
        for (const std::size_t room : (*rack)->rooms) {
            if (accelerators <= 0)
                return;
            if (m_rooms[room].free.accelerators < leastRoom)
                continue;
            m_rooms[room].isReserved = true;
            accelerators -= m_rooms[room].free.accelerators;
        }
    }
}

} // namespace mangohall::batch
