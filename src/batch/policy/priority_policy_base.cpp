#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "batch/policy/eviction_search_base.h"
#include "batch/policy/room_search_base.h"

namespace mangohall::batch {

namespace {

constexpr std::int32_t urgentPriority = 0;
// Far from its data or spread over racks a task takes three times as long: waiting for twice its run time is no worse.
constexpr double patienceFactor = 2;
constexpr absl::Duration longestPatience = absl::Seconds(15);
// While much is free, nothing waits for long.
constexpr absl::Duration idlePatience = absl::Milliseconds(2000);
// So long before its guarantee wants it started, work takes a place that suits less: others may have to be stopped
// there.
constexpr absl::Duration guaranteeLead = absl::Milliseconds(1500);
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
        demand.readySince, demand.job.text());
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

// One choice over all rooms.
class Choice {
public:
    Choice(std::vector<WorkerRoom>& rooms, absl::Time now)
        : m_now(now)
        , m_isBusy(usedShare(rooms) > busyShare)
        , m_rooms(rooms)
        , m_search(m_rooms)
        , m_evictions(m_rooms)
    {
        // Urgent work of the next moments need not wait for others to be evicted, and nobody is started only to be
        // evicted soon.
        m_rooms.reserveEmptiest(static_cast<double>(urgentAccelerators(rooms)) * urgentReserve, leastReservedRoom);
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
        m_allocation.roomsTried = m_rooms.looks();
        return std::move(m_allocation);
    }

private:
    bool isPatient(const StepDemand& demand) const
    {
        if (demand.isGuaranteed)
            return m_now < demand.startBy - guaranteeLead;
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
            const std::vector<RackName> racks = m_rooms.racksByRoom();
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
        absl::Span<const std::int32_t> unplaced = demand.indices;
        for (const RackName& place : places)
            unplaced.remove_prefix(add(m_search.placeMost(demand, unplaced, place)));
        makeRoom(demand, unplaced, places);
    }

    // Returns how many there are.
    std::size_t add(absl::Span<const Placement> placements)
    {
        m_allocation.placements.insert(m_allocation.placements.end(), placements.begin(), placements.end());
        return placements.size();
    }

    void serveGang(const StepDemand& demand)
    {
        const std::vector<RackName> places = placesOf(demand);
        for (const RackName& place : places) {
            if (add(m_search.placeAll(demand, place)) > 0)
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
        for (const RackName& place : places) {
            if (!m_evictions.mayHold(demand, indices.size(), place))
                continue;
            absl::optional<RoomPlan> plan = m_evictions.plan(demand, indices, place);
            if (plan && (!best || plan->cost < best->cost))
                best = std::move(plan);
        }
        if (!best)
            return;
        const std::vector<Eviction> evictions = m_evictions.carryOut(*best, demand);
        m_allocation.evictions.insert(m_allocation.evictions.end(), evictions.begin(), evictions.end());
    }

    const absl::Time m_now;
    const bool m_isBusy;
    RoomIndex m_rooms;
    RoomSearch m_search;
    EvictionSearch m_evictions;
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
    RoomIndex index(rooms);
    RoomSearch search(index);
    Allocation allocation;
    for (const StepDemand& demand : demands) {
        const std::vector<Placement> placed = demand.spec->isGang
            ? search.placeAll(demand, RackName())
            : search.placeMost(demand, demand.indices, RackName());
        allocation.placements.insert(allocation.placements.end(), placed.begin(), placed.end());
    }
    allocation.roomsTried = index.looks();
    return allocation;
}

} // namespace mangohall::batch
