// Places the pending tasks of a step on workers with free capacity.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "batch/policy/capacity_index_base.h"

namespace mangohall::batch {

// Places tasks on the workers that suit them best. Examines each worker once per step, regardless of the number of
// tasks.
class TaskPlacer {
public:
    // The index has to outlive this object.
    explicit TaskPlacer(CapacityIndex& index)
        : m_index(index)
    {
    }

    // Places as many of the tasks as fit on the rack, in the order of `indices`, and subtracts their resources from the
    // free capacity. An empty rack name means all racks together.
    std::vector<Placement> placeMost(
        const PendingStep& pending, absl::Span<const std::int32_t> indices, const RackName& rack);

    // Places all pending tasks of the step on the rack, or none of them. An empty rack name means all racks together.
    std::vector<Placement> placeAll(const PendingStep& pending, const RackName& rack);

private:
    // A worker with free capacity for tasks of a step.
    struct Fit {
        // The index of the worker.
        std::size_t worker = 0;
        // The number of tasks that fit.
        std::size_t tasks = 0;
        // Workers with a lower penalty are filled first.
        double penalty = 0;
    };

    // The workers on the rack with free capacity for at least one task of the step.
    std::vector<Fit> findFits(const PendingStep& pending, const RackName& rack) const;
    // Places the tasks on the workers in the order of their penalties until either runs out.
    std::vector<Placement> fill(
        std::vector<Fit> fits, const PendingStep& pending, absl::Span<const std::int32_t> indices);

    CapacityIndex& m_index;
};

} // namespace mangohall::batch
