// Finds workers for tasks among the rooms of one choice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/policy/allocation_type.h"

namespace mangohall::batch {

// What a task takes from a worker's room.
Resources countedDemand(const StepSpec& spec);

// Places made so that all of some tasks have room once what is being stopped has ended.
struct RoomPlan {
    std::vector<Eviction> evictions;
    // Core-seconds that the evictions lose.
    double cost = 0;
};

// Takes room from the workers that it is given, task by task.
class RoomSearch {
public:
    // The rooms have to outlive the search, and to stay in their places and racks.
    explicit RoomSearch(std::vector<WorkerRoom>& rooms);

    // Whether so many of the demand's tasks could have room on the rack at once if all that may be evicted for them
    // were. Changes nothing.
    bool mayHold(const StepDemand& demand, std::size_t count, const RackName& rack) const;

    // A copy of the rooms of a rack, of all for an empty one, in their order.
    std::vector<WorkerRoom> copyOf(const RackName& rack) const;

    // Places one task on the worker that it fits best. An empty rack stands for any.
    absl::optional<Placement> place(const StepDemand& demand, std::int32_t index, const RackName& rack);

    // Places every task of the demand or none.
    std::vector<Placement> placeAll(const StepDemand& demand, const RackName& rack);

    // Keeps room for the tasks on workers where something is being stopped, and evicts what loses least where that is
    // not enough. Nothing if some task cannot be given room; then rooms may be taken that have to be thrown away.
    absl::optional<RoomPlan> makeRoom(
        const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack);

    // How often a worker's room has been looked at.
    std::int64_t roomsTried() const { return m_roomsTried; }

private:
    // What is taken from one worker to make room there.
    struct Victims {
        std::size_t room = 0;
        std::vector<RunKey> runs;
        double cost = 0;
    };

    // The rooms of the rack; all for an empty one.
    absl::Span<const std::size_t> roomsOn(const RackName& rack) const;
    std::size_t mostTasks(const WorkerRoom& room, const StepDemand& demand) const;
    static bool isVictim(const Occupant& occupant, const StepDemand& demand);
    static bool isEligible(const WorkerRoom& room, const StepDemand& demand);
    bool isBelowStepLimit(const WorkerRoom& room, const StepDemand& demand) const;
    double misfit(const WorkerRoom& room, const StepDemand& demand) const;
    absl::optional<Victims> findVictims(std::size_t room, const StepDemand& demand) const;
    void evict(const Victims& victims, RoomPlan& plan);
    void stop(WorkerRoom& room, Occupant& occupant, RoomPlan& plan);
    void take(WorkerRoom& room, const StepDemand& demand, std::int32_t index);
    void undo(absl::Span<const Placement> placements, const StepDemand& demand);

    std::vector<WorkerRoom>& m_rooms;
    std::vector<std::size_t> m_all;
    absl::flat_hash_map<std::string, std::vector<std::size_t>> m_byRack;
    mutable std::int64_t m_roomsTried = 0;
};

} // namespace mangohall::batch
