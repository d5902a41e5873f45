#include "batch/policy/priority_policy_base.h"

#include <algorithm>
#include <tuple>

#include "batch/policy/room_search_base.h"

namespace mangohall::batch {

namespace {

// How long tasks wait for room next to their data, or on one rack, before they run slower elsewhere.
constexpr absl::Duration placePatience = absl::Seconds(2);
constexpr std::int32_t urgentPriority = 0;

// Sorts before what is served later.
auto rankOf(const StepDemand& demand, absl::Time now)
{
    const bool isLate = demand.objective < now;
    return std::make_tuple(
        demand.priority, !demand.isGuaranteed, isLate, demand.objective, demand.readySince, demand.job);
}

// One choice over all rooms.
class Choice {
public:
    Choice(std::vector<WorkerRoom>& rooms, absl::Time now)
        : m_search(rooms)
        , m_now(now)
    {
    }

    void serve(const StepDemand& demand)
    {
        if (demand.spec->isGang)
            serveGang(demand);
        else
            serveTasks(demand);
    }

    Allocation take() { return std::move(m_allocation); }

private:
    bool isPatient(const StepDemand& demand) const { return m_now < demand.readySince + placePatience; }

    // Near the data while that may still come free.
    SearchLimits limitsOf(const StepDemand& demand) const
    {
        return isPatient(demand) ? SearchLimits { demand.spec->dataRack } : SearchLimits();
    }

    void serveTasks(const StepDemand& demand)
    {
        const SearchLimits limits = limitsOf(demand);
        for (std::size_t i = 0; i < demand.indices.size(); ++i) {
            absl::optional<Placement> placement = m_search.place(demand, demand.indices[i], limits);
            if (!placement) {
                makeRoom(demand, limits, demand.indices.size() - i);
                return;
            }
            m_allocation.placements.push_back(*std::move(placement));
        }
    }

    void serveGang(const StepDemand& demand)
    {
        std::vector<Placement> placements = placeGang(demand);
        if (placements.empty()) {
            makeRoom(demand, limitsOf(demand), demand.indices.size());
            return;
        }
        m_allocation.placements.insert(m_allocation.placements.end(), placements.begin(), placements.end());
    }

    std::vector<Placement> placeGang(const StepDemand& demand)
    {
        if (!demand.spec->isRackLocal)
            return m_search.placeAll(demand, limitsOf(demand));
        std::vector<Placement> placements = m_search.placeAll(demand, { demand.spec->dataRack });
        for (const RackName& rack : m_search.racks()) {
            if (!placements.empty())
                return placements;
            if (demand.spec->dataRack.empty() || !isPatient(demand))
                placements = m_search.placeAll(demand, { rack });
        }
        if (placements.empty() && !isPatient(demand))
            placements = m_search.placeAll(demand, SearchLimits());
        return placements;
    }

    // Only urgent work makes others leave. Whoever finds no room even so takes nothing away.
    void makeRoom(const StepDemand& demand, const SearchLimits& limits, std::size_t tasks)
    {
        if (demand.priority != urgentPriority)
            return;
        for (std::size_t i = 0; i < tasks; ++i) {
            if (m_search.makeRoom(demand, limits, m_allocation.evictions))
                continue;
            if (limits.rack.empty() || !m_search.makeRoom(demand, SearchLimits(), m_allocation.evictions))
                return;
        }
    }

    RoomSearch m_search;
    const absl::Time m_now;
    Allocation m_allocation;
};

} // namespace

Allocation PriorityPolicy::choose(
    std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const
{
    std::vector<const StepDemand*> order;
    for (const StepDemand& demand : demands)
        order.push_back(&demand);
    std::sort(order.begin(), order.end(),
        [now](const StepDemand* left, const StepDemand* right) { return rankOf(*left, now) < rankOf(*right, now); });
    Choice choice(rooms, now);
    for (const StepDemand* demand : order)
        choice.serve(*demand);
    return choice.take();
}

Allocation FirstFitPolicy::choose(
    std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time /*now*/) const
{
    RoomSearch search(rooms);
    Allocation allocation;
    for (const StepDemand& demand : demands) {
        const std::vector<Placement> gang
            = demand.spec->isGang ? search.placeAll(demand, SearchLimits()) : std::vector<Placement>();
        allocation.placements.insert(allocation.placements.end(), gang.begin(), gang.end());
        if (demand.spec->isGang)
            continue;
        for (const std::int32_t index : demand.indices) {
            const absl::optional<Placement> placement = search.place(demand, index, SearchLimits());
            if (!placement)
                break;
            allocation.placements.push_back(*placement);
        }
    }
    return allocation;
}

} // namespace mangohall::batch
