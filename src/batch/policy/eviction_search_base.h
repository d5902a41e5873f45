// Selects the runs to evict so that urgent tasks get capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/policy/capacity_index_base.h"

namespace mangohall::batch {

// The position of a run: the index of its worker, and its index among the runs of that worker.
struct RunPosition {
    std::size_t worker = 0;
    std::size_t run = 0;
};

// Capacity of a worker that is kept for one task of a step.
struct KeptCapacity {
    // The index of the worker.
    std::size_t worker = 0;
    // The index of the task within its step.
    std::int32_t task = 0;
};

// The evictions after which a set of tasks fits, once all stopping runs have ended.
struct EvictionPlan {
    // The runs to stop and the capacity to keep, in the order in which they have to be applied.
    std::vector<std::variant<RunPosition, KeptCapacity>> moves;
    // The number of tasks that fit then.
    std::size_t tasks = 0;
    // The work that the evictions lose, in core-seconds.
    double cost = 0;
};

// Keeps capacity for tasks on workers where runs are already stopping, and evicts the runs with the lowest cost where
// that is not enough. Examines each worker a few times per step, plus once for each task and for each evicted run.
class EvictionSearch {
public:
    // The index has to outlive the search.
    explicit EvictionSearch(CapacityIndex& index)
        : m_index(index)
    {
    }

    // Whether `count` tasks of the step would fit on the rack at once if every run that may be evicted for them were
    // evicted. An empty rack name means all racks together.
    bool mayFit(const PendingStep& pending, std::size_t count, const RackName& rack) const;

    // Returns the plan with the lowest cost that the search finds for all the tasks on the rack, or nothing if they do
    // not fit. An empty rack name means all racks together. Leaves the index as it was.
    absl::optional<EvictionPlan> plan(
        const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack);

    // The same for as many of the tasks as fit on the rack.
    EvictionPlan planMost(const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack);

    // Applies the plan to the index and returns the runs to stop.
    std::vector<Eviction> apply(const EvictionPlan& plan, const PendingStep& pending);

private:
    // The runs of one worker that are evicted to free capacity for one task there.
    struct Victims {
        // Indices among the runs of the worker.
        std::vector<std::size_t> runs;
        // The work that the evictions lose, in core-seconds.
        double cost = 0;
    };

    // Identifies a gang: one step of one occurrence of a job.
    struct GangKey {
        std::string job;
        std::int32_t occurrence = 0;
        std::int32_t step = 0;

        friend bool operator==(const GangKey&, const GangKey&) = default;
        template <typename H> friend H AbslHashValue(H state, const GangKey& key)
        {
            return H::combine(std::move(state), key.job, key.occurrence, key.step);
        }
    };

    // The candidate workers of a search, ordered by eviction cost.
    class Candidates;

    // Whether the run may be evicted for the step. A run that is expected to end is evicted only to enforce a
    // guarantee, since it may last longer than expected.
    static bool isVictim(const AllocatedRun& run, const PendingStep& pending);
    // The capacity of the worker for the step once the runs that are stopping, or expected to end, have ended.
    static Resources freeAfterEnds(const WorkerCapacity& capacity, const PendingStep& pending);
    static GangKey gangKeyOf(const AllocatedRun& run);
    // The number of tasks that would fit on the worker if every run that may be evicted for them were evicted.
    std::size_t maxTasksAfterEvictions(const WorkerCapacity& capacity, const PendingStep& pending) const;
    // Returns the runs to evict so that one more task fits on the worker, cheapest first; no runs if it fits already.
    // Returns nothing if the worker cannot run the task.
    absl::optional<Victims> findVictims(std::size_t worker, const PendingStep& pending) const;
    // Fills `m_gangs` on the first call.
    void indexGangs();
    // Marks the run, and its whole gang if it has one, as stopping. Returns the workers that have changed.
    std::vector<std::size_t> stopRun(std::size_t worker, std::size_t run, EvictionPlan& plan);
    // Reverts the moves of the plan in the index.
    void undo(const EvictionPlan& plan);

    CapacityIndex& m_index;
    // The positions of the members of each gang; empty until `m_hasGangs` is set.
    absl::flat_hash_map<GangKey, std::vector<RunPosition>> m_gangs;
    bool m_hasGangs = false;
};

} // namespace mangohall::batch
