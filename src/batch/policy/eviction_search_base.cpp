#include "batch/policy/eviction_search_base.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace mangohall::batch {

// When the cost of a worker changes, a new entry is added; entries with an older version are skipped.
class EvictionSearch::Candidates {
public:
    explicit Candidates(std::size_t workers)
        : m_versions(workers, 0)
    {
    }

    // Sets the victims for the next task on the worker. Without victims the worker cannot run another task and is no
    // longer a candidate.
    void set(std::size_t worker, const absl::optional<Victims>& victims)
    {
        ++m_versions[worker];
        if (victims)
            m_entries.push({ victims->cost, worker, m_versions[worker] });
    }

    // Whether the worker has been evaluated in this search.
    bool isEvaluated(std::size_t worker) const { return m_versions[worker] != 0; }

    // Removes and returns the worker with the lowest cost, or nothing if no candidate is left.
    absl::optional<std::size_t> takeCheapest()
    {
        while (!m_entries.empty()) {
            const Entry entry = m_entries.top();
            m_entries.pop();
            if (entry.version == m_versions[entry.worker])
                return entry.worker;
        }
        return absl::nullopt;
    }

private:
    struct Entry {
        double cost = 0;
        std::size_t worker = 0;
        std::uint32_t version = 0;

        // The queue returns its largest entry, which has to be the one with the lowest cost. Equal costs are ordered
        // by worker index.
        friend bool operator<(const Entry& left, const Entry& right)
        {
            return left.cost != right.cost ? left.cost > right.cost : left.worker > right.worker;
        }
    };

    // The number of evaluations of each worker; 0 for a worker that is not part of the search.
    std::vector<std::uint32_t> m_versions;
    std::priority_queue<Entry> m_entries;
};

EvictionSearch::GangKey EvictionSearch::gangKeyOf(const AllocatedRun& run)
{
    const TaskKey& task = run.run.task;
    return { task.job.str(), task.task.occurrence, task.task.step };
}

bool EvictionSearch::isVictim(const AllocatedRun& run, const PendingStep& pending)
{
    if (!run.isEvictable || run.isStopping || (run.isEnding && !pending.mayReclaim))
        return false;
    const bool isReclaimed = pending.mayReclaim && run.priority == pending.priority && !run.isGuaranteed;
    return isReclaimed || run.priority > pending.priority;
}

Resources EvictionSearch::freeAfterEnds(const WorkerCapacity& capacity, const PendingStep& pending)
{
    Resources free = capacity.freeAfterStops;
    for (const AllocatedRun& run : capacity.runs) {
        if (run.isEnding && !run.isStopping && !isVictim(run, pending))
            free += run.demand;
    }
    return free;
}

std::size_t EvictionSearch::maxTasksAfterEvictions(const WorkerCapacity& capacity, const PendingStep& pending) const
{
    Resources freed = freeAfterEnds(capacity, pending);
    for (const AllocatedRun& run : capacity.runs) {
        if (isVictim(run, pending))
            freed += run.demand;
    }
    return std::min(countFittingTasks(freed, pending), CapacityIndex::stepAllowance(capacity, pending));
}

bool EvictionSearch::mayFit(const PendingStep& pending, std::size_t count, const RackName& rack) const
{
    std::size_t tasks = 0;
    for (const std::size_t worker : m_index.workersOn(rack)) {
        if (tasks >= count)
            break;
        const WorkerCapacity& capacity = m_index.examine(worker);
        if (CapacityIndex::isEligible(capacity, pending))
            tasks += maxTasksAfterEvictions(capacity, pending);
    }
    return tasks >= count;
}

absl::optional<EvictionSearch::Victims> EvictionSearch::findVictims(
    std::size_t worker, const PendingStep& pending) const
{
    const WorkerCapacity& capacity = m_index.examine(worker);
    if (!CapacityIndex::isEligible(capacity, pending) || CapacityIndex::stepAllowance(capacity, pending) == 0)
        return absl::nullopt;
    const Resources needed = countedDemand(*pending.spec);
    Victims victims;
    Resources freed = freeAfterEnds(capacity, pending);
    if (needed.fitsInto(freed))
        return victims;
    std::vector<std::size_t> order;
    for (std::size_t run = 0; run < capacity.runs.size(); ++run) {
        if (isVictim(capacity.runs[run], pending))
            order.push_back(run);
    }
    std::stable_sort(order.begin(), order.end(), [&capacity](std::size_t left, std::size_t right) {
        return capacity.runs[left].evictionCost < capacity.runs[right].evictionCost;
    });
    for (const std::size_t run : order) {
        freed += capacity.runs[run].demand;
        victims.runs.push_back(run);
        victims.cost += capacity.runs[run].evictionCost;
        if (needed.fitsInto(freed))
            return victims;
    }
    return absl::nullopt;
}

void EvictionSearch::indexGangs()
{
    if (std::exchange(m_hasGangs, true))
        return;
    for (std::size_t worker = 0; worker < m_index.size(); ++worker) {
        const std::vector<AllocatedRun>& runs = m_index.at(worker).runs;
        for (std::size_t run = 0; run < runs.size(); ++run) {
            if (runs[run].isGang)
                m_gangs[gangKeyOf(runs[run])].push_back({ worker, run });
        }
    }
}

std::vector<std::size_t> EvictionSearch::stopRun(std::size_t worker, std::size_t run, EvictionPlan& plan)
{
    const AllocatedRun& first = m_index.at(worker).runs[run];
    std::vector<RunPosition> positions = { { worker, run } };
    if (first.isGang)
        positions = m_gangs.at(gangKeyOf(first));
    std::vector<std::size_t> changed;
    for (const RunPosition& position : positions) {
        if (m_index.at(position.worker).runs[position.run].isStopping)
            continue;
        m_index.markStopping(position.worker, position.run);
        plan.moves.emplace_back(position);
        changed.push_back(position.worker);
    }
    return changed;
}

absl::optional<EvictionPlan> EvictionSearch::plan(
    const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    EvictionPlan plan = planMost(pending, indices, rack);
    if (plan.tasks < indices.size())
        return absl::nullopt;
    return plan;
}

EvictionPlan EvictionSearch::planMost(
    const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack)
{
    EvictionPlan plan;
    indexGangs();
    Candidates candidates(m_index.size());
    for (const std::size_t worker : m_index.workersOn(rack))
        candidates.set(worker, findVictims(worker, pending));
    for (const std::int32_t index : indices) {
        const absl::optional<std::size_t> worker = candidates.takeCheapest();
        if (!worker)
            break;
        ++plan.tasks;
        const Victims victims = *findVictims(*worker, pending);
        plan.cost += victims.cost;
        for (const std::size_t run : victims.runs) {
            for (const std::size_t changed : stopRun(*worker, run, plan)) {
                if (changed != *worker && candidates.isEvaluated(changed))
                    candidates.set(changed, findVictims(changed, pending));
            }
        }
        m_index.addTask(*worker, pending, index);
        plan.moves.emplace_back(KeptCapacity { *worker, index });
        candidates.set(*worker, findVictims(*worker, pending));
    }
    undo(plan);
    return plan;
}

void EvictionSearch::undo(const EvictionPlan& plan)
{
    for (auto move = plan.moves.rbegin(); move != plan.moves.rend(); ++move) {
        if (const auto* stopped = std::get_if<RunPosition>(&*move))
            m_index.unmarkStopping(stopped->worker, stopped->run);
        else
            m_index.removeLastTask(std::get<KeptCapacity>(*move).worker);
    }
}

std::vector<Eviction> EvictionSearch::apply(const EvictionPlan& plan, const PendingStep& pending)
{
    std::vector<Eviction> evictions;
    for (const auto& move : plan.moves) {
        if (const auto* kept = std::get_if<KeptCapacity>(&move)) {
            m_index.addTask(kept->worker, pending, kept->task);
            continue;
        }
        const auto& stopped = std::get<RunPosition>(move);
        m_index.markStopping(stopped.worker, stopped.run);
        const WorkerCapacity& capacity = m_index.at(stopped.worker);
        evictions.push_back({ capacity.runs[stopped.run].run, capacity.worker, pending.job });
    }
    return evictions;
}

} // namespace mangohall::batch
