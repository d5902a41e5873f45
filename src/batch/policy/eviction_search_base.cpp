#include "batch/policy/eviction_search_base.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace mangohall::batch {

// A room whose cost has changed gets a new entry; the older ones are passed over.
class EvictionSearch::Candidates {
public:
    explicit Candidates(std::size_t rooms)
        : m_versions(rooms, 0)
    {
    }

    // Nothing if the room cannot hold another task.
    void set(std::size_t room, const absl::optional<Victims>& victims)
    {
        ++m_versions[room];
        if (victims)
            m_entries.push({ victims->cost, room, m_versions[room] });
    }

    // Whether the room has been weighed for the demand.
    bool isKnown(std::size_t room) const { return m_versions[room] != 0; }

    absl::optional<std::size_t> takeCheapest()
    {
        while (!m_entries.empty()) {
            const Entry entry = m_entries.top();
            m_entries.pop();
            if (entry.version == m_versions[entry.room])
                return entry.room;
        }
        return absl::nullopt;
    }

private:
    struct Entry {
        double cost = 0;
        std::size_t room = 0;
        std::uint32_t version = 0;

        // The queue gives out its largest entry: the cheapest, and of equal ones the first room.
        friend bool operator<(const Entry& left, const Entry& right)
        {
            return left.cost != right.cost ? left.cost > right.cost : left.room > right.room;
        }
    };

    std::vector<std::uint32_t> m_versions;
    std::priority_queue<Entry> m_entries;
};

EvictionSearch::GangKey EvictionSearch::gangOf(const Occupant& occupant)
{
    const TaskKey& task = occupant.run.task;
    return { task.job.str(), task.task.occurrence, task.task.step };
}

bool EvictionSearch::isVictim(const Occupant& occupant, const StepDemand& demand)
{
    if (!occupant.mayBeEvicted || occupant.isStopping)
        return false;
    const bool isReclaimed = demand.mayReclaim && occupant.priority == demand.priority && !occupant.isGuaranteed;
    return isReclaimed || occupant.priority > demand.priority;
}

std::size_t EvictionSearch::mostTasks(const WorkerRoom& room, const StepDemand& demand) const
{
    Resources freed = room.freeAfterStops;
    for (const Occupant& occupant : room.occupants) {
        if (isVictim(occupant, demand))
            freed += occupant.demand;
    }
    return std::min(tasksIn(freed, demand), RoomIndex::stepAllowance(room, demand));
}

bool EvictionSearch::mayHold(const StepDemand& demand, std::size_t count, const RackName& rack) const
{
    std::size_t tasks = 0;
    for (const std::size_t candidate : m_rooms.roomsOn(rack)) {
        if (tasks >= count)
            break;
        const WorkerRoom& room = m_rooms.lookAt(candidate);
        if (RoomIndex::isEligible(room, demand))
            tasks += mostTasks(room, demand);
    }
    return tasks >= count;
}

absl::optional<EvictionSearch::Victims> EvictionSearch::findVictims(std::size_t room, const StepDemand& demand) const
{
    const WorkerRoom& candidate = m_rooms.lookAt(room);
    if (!RoomIndex::isEligible(candidate, demand) || RoomIndex::stepAllowance(candidate, demand) == 0)
        return absl::nullopt;
    const Resources needed = countedDemand(*demand.spec);
    Victims victims;
    Resources freed = candidate.freeAfterStops;
    if (needed.fitsInto(freed))
        return victims;
    std::vector<std::size_t> order;
    for (std::size_t occupant = 0; occupant < candidate.occupants.size(); ++occupant) {
        if (isVictim(candidate.occupants[occupant], demand))
            order.push_back(occupant);
    }
    std::stable_sort(order.begin(), order.end(), [&candidate](std::size_t left, std::size_t right) {
        return candidate.occupants[left].stopCost < candidate.occupants[right].stopCost;
    });
    for (const std::size_t occupant : order) {
        freed += candidate.occupants[occupant].demand;
        victims.occupants.push_back(occupant);
        victims.cost += candidate.occupants[occupant].stopCost;
        if (needed.fitsInto(freed))
            return victims;
    }
    return absl::nullopt;
}

void EvictionSearch::indexGangs()
{
    if (std::exchange(m_hasGangs, true))
        return;
    for (std::size_t room = 0; room < m_rooms.size(); ++room) {
        const std::vector<Occupant>& occupants = m_rooms.at(room).occupants;
        for (std::size_t occupant = 0; occupant < occupants.size(); ++occupant) {
            if (occupants[occupant].isGang)
                m_gangs[gangOf(occupants[occupant])].push_back({ room, occupant });
        }
    }
}

std::vector<std::size_t> EvictionSearch::stop(std::size_t room, std::size_t occupant, RoomPlan& plan)
{
    const Occupant& first = m_rooms.at(room).occupants[occupant];
    std::vector<OccupantPlace> places = { { room, occupant } };
    if (first.isGang)
        places = m_gangs.at(gangOf(first));
    std::vector<std::size_t> changed;
    for (const OccupantPlace& place : places) {
        if (m_rooms.at(place.room).occupants[place.occupant].isStopping)
            continue;
        m_rooms.markStopping(place.room, place.occupant);
        plan.moves.emplace_back(place);
        changed.push_back(place.room);
    }
    return changed;
}

absl::optional<RoomPlan> EvictionSearch::plan(
    const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    indexGangs();
    RoomPlan plan;
    Candidates candidates(m_rooms.size());
    for (const std::size_t room : m_rooms.roomsOn(rack))
        candidates.set(room, findVictims(room, demand));
    bool isComplete = true;
    for (const std::int32_t index : indices) {
        const absl::optional<std::size_t> room = candidates.takeCheapest();
        isComplete = room.has_value();
        if (!isComplete)
            break;
        const Victims victims = *findVictims(*room, demand);
        plan.cost += victims.cost;
        for (const std::size_t occupant : victims.occupants) {
            for (const std::size_t changed : stop(*room, occupant, plan)) {
                if (changed != *room && candidates.isKnown(changed))
                    candidates.set(changed, findVictims(changed, demand));
            }
        }
        m_rooms.take(*room, demand, index);
        plan.moves.emplace_back(TaskPlace { *room, index });
        candidates.set(*room, findVictims(*room, demand));
    }
    undo(plan);
    if (!isComplete)
        return absl::nullopt;
    return plan;
}

void EvictionSearch::undo(const RoomPlan& plan)
{
    for (auto move = plan.moves.rbegin(); move != plan.moves.rend(); ++move) {
        if (const auto* stopped = std::get_if<OccupantPlace>(&*move))
            m_rooms.unmarkStopping(stopped->room, stopped->occupant);
        else
            m_rooms.giveBack(std::get<TaskPlace>(*move).room);
    }
}

std::vector<Eviction> EvictionSearch::carryOut(const RoomPlan& plan, const StepDemand& demand)
{
    std::vector<Eviction> evictions;
    for (const auto& move : plan.moves) {
        if (const auto* kept = std::get_if<TaskPlace>(&move)) {
            m_rooms.take(kept->room, demand, kept->index);
            continue;
        }
        const auto& stopped = std::get<OccupantPlace>(move);
        m_rooms.markStopping(stopped.room, stopped.occupant);
        const WorkerRoom& room = m_rooms.at(stopped.room);
        evictions.push_back({ room.occupants[stopped.occupant].run, room.worker });
    }
    return evictions;
}

} // namespace mangohall::batch
