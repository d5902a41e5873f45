// Finds workers for tasks among the rooms of one choice.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "batch/policy/room_index_base.h"

namespace mangohall::batch {

// Places tasks where they fit best. Looks at each worker once for a step, whatever the number of its tasks.
class RoomSearch {
public:
    explicit RoomSearch(RoomIndex& rooms)
        : m_rooms(rooms)
    {
    }

    // Places as many of the tasks as have room on the rack, the first ones first. An empty rack stands for any.
    std::vector<Placement> placeMost(
        const StepDemand& demand, absl::Span<const std::int32_t> indices, const RackName& rack);

    // Places every task of the demand or none.
    std::vector<Placement> placeAll(const StepDemand& demand, const RackName& rack);

private:
    // A worker with room for tasks of a demand.
    struct Fit {
        std::size_t room = 0;
        std::size_t tasks = 0;
        // The smaller, the better the worker suits.
        double misfit = 0;
    };

    std::vector<Fit> findFits(const StepDemand& demand, const RackName& rack) const;
    std::vector<Placement> fill(
        std::vector<Fit> fits, const StepDemand& demand, absl::Span<const std::int32_t> indices);

    RoomIndex& m_rooms;
};

} // namespace mangohall::batch
