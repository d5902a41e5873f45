// Plain types for cells: the sets of adjacent accelerators that make up a guarantee.
#pragma once

#include <vector>

#include "core/name_type.h"
#include "organisation/organisation_type.h"

namespace mangohall {

// The size and adjacency of one cell of a guarantee.
struct CellShape {
    GuaranteeName guarantee;
    std::int32_t accelerators = 0;
    Adjacency adjacency = Adjacency::SameWorker;

    friend bool operator==(const CellShape&, const CellShape&) = default;
};

// The part of a bound cell on one worker.
struct CellPiece {
    WorkerName worker;
    std::int32_t accelerators = 0;
};

// A cell and the workers to which it is bound. A cell without pieces is not bound.
struct Cell {
    CellShape shape;
    std::vector<CellPiece> pieces;
};

// A worker to which a cell may be bound.
struct BindableWorker {
    WorkerName worker;
    RackName rack;
    // Accelerators to which the cell may be bound.
    std::int32_t accelerators = 0;
    // All accelerators of the worker.
    std::int32_t capacity = 0;
    // The part of `accelerators` that the guarantee's own tasks use outside its cells. Cells with an adjacency
    // requirement are bound there first.
    std::int32_t ownUsed = 0;
};

} // namespace mangohall
