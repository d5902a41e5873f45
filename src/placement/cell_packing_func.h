// Finds workers for cells. The pool and the guarantee planner use the same functions, so that guarantees which the
// planner accepts can also be bound by the pool.
#pragma once

#include <vector>

#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "placement/cell_type.h"

namespace mangohall {

// The order in which cells are bound: cells confined to a worker or rack before the others, large cells before small
// ones.
bool isBoundBefore(const CellShape& left, const CellShape& right);

// The shapes of all cells of a guarantee.
std::vector<CellShape> cellsOf(const Guarantee& guarantee);

// Chooses the smallest set of adjacent workers that can hold the cell, or nothing if none can. A cell with any
// adjacency requirement is put on whole workers and on part of at most one more, so that tasks that need a whole worker
// fit into it. `workers` must be grouped by rack.
absl::optional<std::vector<CellPiece>> findCellPlace(const CellShape& cell, absl::Span<const BindableWorker> workers);

} // namespace mangohall
