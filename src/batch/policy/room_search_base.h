// Finds workers for tasks among the rooms of one choice.
#pragma once

#include <cstddef>
#include <vector>

#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// Where a step's tasks may be placed.
struct SearchLimits {
    // Only on this rack; empty for any.
    RackName rack;
};

// What a task takes from a worker's room.
Resources countedDemand(const StepSpec& spec);

class RoomSearch {
public:
    // The rooms have to outlive the search, which takes from them what it places.
    explicit RoomSearch(std::vector<WorkerRoom>& rooms)
        : m_rooms(rooms)
    {
    }

    // Whether the step may run on the worker, room aside.
    bool isEligible(const WorkerRoom& room, const StepDemand& demand, const SearchLimits& limits) const;

    // Places one task on the worker that it fits best, and takes its room there.
    absl::optional<Placement> place(const StepDemand& demand, std::int32_t index, const SearchLimits& limits);

    // Places every task of the demand or none.
    std::vector<Placement> placeAll(const StepDemand& demand, const SearchLimits& limits);

    // Keeps a worker's room for one task, once what is being stopped there has ended; evicts what loses least if that
    // is not enough. False if no worker can be made to fit.
    bool makeRoom(const StepDemand& demand, const SearchLimits& limits, std::vector<Eviction>& evictions);

    // The racks that stand in the rooms, each once.
    std::vector<RackName> racks() const;

private:
    struct EvictionPlan {
        std::size_t room = 0;
        std::vector<std::size_t> victims;
        double cost = 0;
    };

    absl::optional<EvictionPlan> planEviction(std::size_t room, const StepDemand& demand) const;
    bool isBelowStepLimit(const WorkerRoom& room, const StepDemand& demand) const;
    double misfit(const WorkerRoom& room, const StepDemand& demand) const;
    void take(WorkerRoom& room, const StepDemand& demand, std::int32_t index);
    void undo(absl::Span<const Placement> placements, const StepDemand& demand);

    std::vector<WorkerRoom>& m_rooms;
};

} // namespace mangohall::batch
