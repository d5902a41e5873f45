// Finds who has to leave, so that tasks that may take others' room get it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/policy/room_index_base.h"

namespace mangohall::batch {

// A run on one of the rooms.
struct OccupantPlace {
    std::size_t room = 0;
    std::size_t occupant = 0;
};

// A place for a task.
struct TaskPlace {
    std::size_t room = 0;
    std::int32_t index = 0;
};

// How all of some tasks get room once what is being stopped has ended.
struct RoomPlan {
    // Runs that are stopped and places that are kept, in this order.
    std::vector<std::variant<OccupantPlace, TaskPlace>> moves;
    // Core-seconds that the stops lose.
    double cost = 0;
};

// Keeps room for tasks on workers where something is being stopped, and evicts what loses least where that is not
// enough. Looks at each worker a few times for a step, and once more for each of its tasks and of the evicted runs.
class EvictionSearch {
public:
    explicit EvictionSearch(RoomIndex& rooms)
        : m_rooms(rooms)
    {
    }

    // Whether so many of the demand's tasks could have room on the rack at once if all that may be evicted for them
    // were. An empty rack stands for any.
    bool mayHold(const StepDemand& demand, std::size_t count, const RackName& rack) const;

    // The cheapest way to give every task room on the rack; nothing if there is none. The rooms are as before then.
    absl::optional<RoomPlan> plan(
        const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack);

    // Changes the rooms as planned. Returns whom to stop.
    std::vector<Eviction> carryOut(const RoomPlan& plan, const StepDemand& demand);

private:
    // What is taken from one worker to make room for one task there.
    struct Victims {
        std::vector<std::size_t> occupants;
        double cost = 0;
    };

    // One step of one job, whose gang ends as a whole.
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

    // The rooms of a search, cheapest first.
    class Candidates;

    static bool isVictim(const Occupant& occupant, const StepDemand& demand);
    static GangKey gangOf(const Occupant& occupant);
    std::size_t mostTasks(const WorkerRoom& room, const StepDemand& demand) const;
    absl::optional<Victims> findVictims(std::size_t room, const StepDemand& demand) const;
    void indexGangs();
    // Stops the run with its whole gang. Returns the rooms that have changed.
    std::vector<std::size_t> stop(std::size_t room, std::size_t occupant, RoomPlan& plan);
    void undo(const RoomPlan& plan);

    RoomIndex& m_rooms;
    // Where the members of each gang are, filled when first needed.
    absl::flat_hash_map<GangKey, std::vector<OccupantPlace>> m_gangs;
    bool m_hasGangs = false;
};

} // namespace mangohall::batch
