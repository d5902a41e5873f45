#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "batch/policy/room_search_base.h"

namespace mangohall::batch {

namespace {

constexpr std::int32_t urgentPriority = 0;
// Far from its data or spread over racks a task takes three times as long: waiting for twice its run time is no worse.
constexpr double patienceFactor = 2;
constexpr absl::Duration longestPatience = absl::Seconds(15);
// While much is free, nothing waits for long.
constexpr absl::Duration idlePatience = absl::Milliseconds(2000);
// A guarantee has to be honoured within 3.4 s, the time to stop others included.
constexpr absl::Duration guaranteedPatience = absl::Milliseconds(1900);
// From this share of accelerators in use on, a place near the data is worth waiting for.
constexpr double busyShare = 0.55;

// Kept free for urgent work, as a share of the accelerators that urgent work uses now.
constexpr double urgentReserve = 0.6;
// A worker is kept only if a large task fits there.
constexpr std::int32_t leastReservedRoom = 4;

// Sorts before what is served later.
auto rankOf(const StepDemand& demand, absl::Time now)
{
    const bool isLate = demand.objective < now;
    // A guarantee holds for late work too, and soonest for what has waited.
    return std::make_tuple(demand.priority, !demand.isGuaranteed, !demand.mayReclaim, isLate, demand.objective,
        demand.readySince, demand.job);
}

struct RackRoom {
    RackName rack;
    std::int32_t freeAccelerators = 0;
};

// The racks, fullest first, so that large rooms stay whole.
std::vector<RackName> racksByRoom(absl::Span<const WorkerRoom> rooms)
{
    absl::flat_hash_map<absl::string_view, std::int32_t> freeAccelerators;
    for (const WorkerRoom& room : rooms)
        freeAccelerators[room.rack.text()] += room.free.accelerators;
    std::vector<RackRoom> racks;
    racks.reserve(freeAccelerators.size());
    for (const auto& [rack, free] : freeAccelerators)
        racks.push_back({ RackName(rack), free });
    std::sort(racks.begin(), racks.end(), [](const RackRoom& left, const RackRoom& right) {
        return std::tie(left.freeAccelerators, left.rack) < std::tie(right.freeAccelerators, right.rack);
    });
    std::vector<RackName> names;
    names.reserve(racks.size());
    for (const RackRoom& rack : racks)
        names.push_back(rack.rack);
    return names;
}

double usedShare(absl::Span<const WorkerRoom> rooms)
{
    std::int64_t free = 0;
    std::int64_t used = 0;
    for (const WorkerRoom& room : rooms) {
        free += room.free.accelerators;
        for (const Occupant& occupant : room.occupants)
            used += occupant.demand.accelerators;
    }
    return free + used == 0 ? 0 : static_cast<double>(used) / static_cast<double>(free + used);
}

// Accelerators that urgent tasks use now.
std::int64_t urgentAccelerators(absl::Span<const WorkerRoom> rooms)
{
    std::int64_t used = 0;
    for (const WorkerRoom& room : rooms) {
        for (const Occupant& occupant : room.occupants)
            used += occupant.priority == urgentPriority ? occupant.demand.accelerators : 0;
    }
    return used;
}

// Keeps the emptiest workers, rack by rack, for urgent work of the next moments, so that it need not wait for others to
// be evicted, and nobody is started only to be evicted soon.
void reserveForUrgent(std::vector<WorkerRoom>& rooms)
{
    double wanted = static_cast<double>(urgentAccelerators(rooms)) * urgentReserve;
    std::vector<RackName> racks = racksByRoom(rooms);
    std::reverse(racks.begin(), racks.end());
    for (const RackName& rack : racks) {
        for (WorkerRoom& room : rooms) {
            if (wanted <= 0)
                return;
            if (room.rack != rack || room.free.accelerators < leastReservedRoom)
                continue;
            room.isReserved = true;
            wanted -= room.free.accelerators;
        }
    }
}

// One choice over all rooms.
class Choice {
public:
    Choice(std::vector<WorkerRoom>& rooms, absl::Time now)
        : m_rooms(rooms)
        , m_now(now)
        , m_isBusy(usedShare(rooms) > busyShare)
        , m_search(rooms)
    {
        reserveForUrgent(rooms);
    }

    void serve(const StepDemand& demand)
    {
        if (demand.spec->isGang)
            serveGang(demand);
        else
            serveTasks(demand);
    }

    Allocation take()
    {
        m_allocation.roomsTried += m_search.roomsTried();
        return std::move(m_allocation);
    }

private:
    bool isPatient(const StepDemand& demand) const
    {
        if (demand.isGuaranteed)
            return m_now < demand.readySince + guaranteedPatience;
        const absl::Duration busyPatience = std::min(demand.spec->estimate * patienceFactor, longestPatience);
        return m_now < demand.readySince + (m_isBusy ? std::max(busyPatience, idlePatience) : idlePatience);
    }

    // Where the demand may be placed now, best first. An empty rack stands for all of them together.
    std::vector<RackName> placesOf(const StepDemand& demand) const
    {
        const StepSpec& spec = *demand.spec;
        std::vector<RackName> places;
        if (!spec.dataRack.empty())
            places.push_back(spec.dataRack);
        if (!spec.dataRack.empty() && isPatient(demand))
            return places;
        if (spec.isGang && spec.isRackLocal) {
            const std::vector<RackName> racks = racksByRoom(m_rooms);
            places.insert(places.end(), racks.begin(), racks.end());
            if (isPatient(demand))
                return places;
        }
        places.emplace_back();
        return places;
    }

    void serveTasks(const StepDemand& demand)
    {
        const std::vector<RackName> places = placesOf(demand);
        std::vector<std::int32_t> unplaced;
        for (const std::int32_t index : demand.indices) {
            // What has found no room will find none for the next equal task.
            absl::optional<Placement> placement;
            if (unplaced.empty())
                placement = placeTask(demand, index, places);
            if (placement)
                m_allocation.placements.push_back(*std::move(placement));
            else
                unplaced.push_back(index);
        }
        makeRoom(demand, unplaced, places);
    }

    absl::optional<Placement> placeTask(const StepDemand& demand, std::int32_t index, absl::Span<const RackName> places)
    {
        for (const RackName& place : places) {
            absl::optional<Placement> placement = m_search.place(demand, index, place);
            if (placement)
                return placement;
        }
        return absl::nullopt;
    }

    void serveGang(const StepDemand& demand)
    {
        const std::vector<RackName> places = placesOf(demand);
        for (const RackName& place : places) {
            const std::vector<Placement> placements = m_search.placeAll(demand, place);
            if (placements.empty())
                continue;
            m_allocation.placements.insert(m_allocation.placements.end(), placements.begin(), placements.end());
            return;
        }
        makeRoom(demand, demand.indices, places);
    }

    // Only urgent work makes others leave, where that loses least. Whoever finds no room even so takes nothing away.
    void makeRoom(const StepDemand& demand, absl::Span<const std::int32_t> indices, absl::Span<const RackName> places)
    {
        if (demand.priority != urgentPriority || indices.empty())
            return;
        absl::optional<RoomPlan> best;
        std::vector<WorkerRoom> bestRooms;
        for (const RackName& place : places) {
            // The trial takes a copy of the rooms, which is worth it for few of them.
            if (!m_search.mayHold(demand, indices.size(), place))
                continue;
            std::vector<WorkerRoom> trial = m_search.copyOf(place);
            RoomSearch search(trial);
            absl::optional<RoomPlan> plan = search.makeRoom(demand, indices, place);
            m_allocation.roomsTried += search.roomsTried();
            if (!plan || (best && plan->cost >= best->cost))
                continue;
            best = std::move(plan);
            bestRooms = std::move(trial);
        }
        if (!best)
            return;
        replace(std::move(bestRooms));
        m_allocation.evictions.insert(m_allocation.evictions.end(), best->evictions.begin(), best->evictions.end());
    }

    // Takes over rooms that a plan has changed. Both lists are in the same order.
    void replace(std::vector<WorkerRoom> changed)
    {
        auto target = m_rooms.begin();
        for (WorkerRoom& room : changed) {
            target = std::find_if(target, m_rooms.end(),
                [&room](const WorkerRoom& candidate) { return candidate.worker == room.worker; });
            *target = std::move(room);
        }
    }

    std::vector<WorkerRoom>& m_rooms;
    const absl::Time m_now;
    const bool m_isBusy;
    RoomSearch m_search;
    Allocation m_allocation;
};

} // namespace

Allocation PriorityPolicy::choose(
    std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const
{
    std::vector<const StepDemand*> order;
    order.reserve(demands.size());
    for (const StepDemand& demand : demands)
        order.push_back(&demand);
    std::sort(order.begin(), order.end(),
        [now](const StepDemand* left, const StepDemand* right) { return rankOf(*left, now) < rankOf(*right, now); });
    Choice choice(rooms, now);
    for (const StepDemand* demand : order)
        choice.serve(*demand);
    return choice.take();
}

Allocation ArrivalOrderPolicy::choose(
    std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time /*now*/) const
{
    RoomSearch search(rooms);
    Allocation allocation;
    for (const StepDemand& demand : demands) {
        if (demand.spec->isGang) {
            const std::vector<Placement> gang = search.placeAll(demand, RackName());
            allocation.placements.insert(allocation.placements.end(), gang.begin(), gang.end());
            continue;
        }
        for (const std::int32_t index : demand.indices) {
            const absl::optional<Placement> placement = search.place(demand, index, RackName());
            if (!placement)
                break;
            allocation.placements.push_back(*placement);
        }
    }
    allocation.roomsTried = search.roomsTried();
    return allocation;
}

} // namespace mangohall::batch
