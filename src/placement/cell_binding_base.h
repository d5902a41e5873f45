// Binds the guaranteed cells of a shard to workers.
#pragma once

#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "organisation/organisation_type.h"
#include "placement/capacity_ledger_base.h"
#include "placement/cell_type.h"
#include "placement/placement_type.h"

namespace mangohall {

// Binds each cell to accelerators that belong to it alone, apart from borrowers that can be evicted. A cell stays bound
// to the same workers until one of them becomes unavailable or work that cannot be evicted takes the accelerators.
class CellBinding {
public:
    // The ledger must outlive the binding. It keeps the number of bound accelerators of each worker.
    explicit CellBinding(CapacityLedger& ledger);

    // Replaces the guarantees. Cells of unchanged shape keep their workers.
    void setGuarantees(absl::Span<const Guarantee> guarantees);
    // Unbinds the cells on the worker. Call this before the worker is removed from the ledger.
    void unbindWorker(const WorkerName& worker);
    // Unbinds cells on unavailable workers or on workers taken by work that cannot be evicted, then binds every cell
    // that fits. Idle cells are moved if more cells can be bound that way.
    void repair();
    // Binds missing cells where they fit, without moving any other cell.
    void bindMissing();
    // Rebinds the idle cells of the guarantee, which lets them move to workers on which tasks of the guarantee run
    // outside its cells.
    void rebindIdleCells(const GuaranteeName& guarantee);

    // Whether any cell is not bound.
    bool hasMissing() const { return m_missing > 0; }
    absl::Span<const Guarantee> guarantees() const { return m_guarantees; }
    absl::Span<const Cell> cells() const { return m_cells; }
    // The number of unbound cells of each guarantee that has any.
    std::vector<GuaranteeShortfall> shortfalls() const;

    // Checks that each bound cell is complete, adjacent and on available workers, and overlaps neither another cell nor
    // work that cannot be evicted. Internal with the reason if not.
    absl::Status checkInvariant() const;

private:
    void bind(Cell& cell, std::vector<CellPiece> pieces);
    void unbind(Cell& cell);
    // Binds the cell if it fits somewhere. Returns whether it does.
    bool tryBind(Cell& cell);
    // Whether no task of the guarantee runs on the cell's workers.
    bool isIdle(const Cell& cell) const;
    // Whether a worker of the cell is unavailable.
    bool isLost(const Cell& cell) const;
    // Whether the worker has fewer accelerators than its pinned tasks and guarantees need together.
    bool isOvercommitted(const WorkerName& name) const;
    void unbindLost();
    void unbindBlocked();
    // Unbinds and rebinds all idle cells. Restores the former binding unless more accelerators are bound than before.
    void repackIdleCells();
    // Accelerators of all unbound cells.
    std::int64_t missingAccelerators() const;
    // The workers to which a cell of the guarantee may be bound, rack by rack.
    std::vector<BindableWorker> bindableWorkers(const GuaranteeName& guarantee) const;
    absl::Status checkCell(const Cell& cell) const;
    absl::Status checkWorker(const WorkerUsage& worker) const;

    CapacityLedger& m_ledger;
    std::vector<Guarantee> m_guarantees;
    // In the order in which they are bound, see isBoundBefore().
    std::vector<Cell> m_cells;
    // Number of cells that are not bound.
    int m_missing = 0;
};

} // namespace mangohall
