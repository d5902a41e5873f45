#include "placement/cell_binding_base.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "placement/cell_packing_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

absl::Status violation(absl::string_view reason, absl::string_view subject)
{
    return makeError(ErrorKind::Internal, absl::StrCat(reason, ": ", subject));
}

} // namespace

CellBinding::CellBinding(CapacityLedger& ledger)
    : m_ledger(ledger)
{
}

void CellBinding::setGuarantees(absl::Span<const Guarantee> guarantees)
{
    std::vector<Cell> old = std::exchange(m_cells, {});
    m_guarantees.assign(guarantees.begin(), guarantees.end());
    for (const Guarantee& guarantee : m_guarantees) {
        for (CellShape& shape : cellsOf(guarantee))
            m_cells.push_back({ std::move(shape), {} });
    }
    std::stable_sort(m_cells.begin(), m_cells.end(),
        [](const Cell& left, const Cell& right) { return isBoundBefore(left.shape, right.shape); });
    // Both lists are sorted in the same order, so one pass over each finds the equal cells.
    auto kept = old.begin();
    for (Cell& cell : m_cells) {
        while (kept != old.end() && isBoundBefore(kept->shape, cell.shape))
            ++kept;
        if (kept != old.end() && kept->shape == cell.shape)
            cell.pieces = std::exchange((kept++)->pieces, {});
    }
    for (Cell& cell : old) {
        if (!cell.pieces.empty())
            unbind(cell);
    }
    m_missing = static_cast<int>(
        std::count_if(m_cells.begin(), m_cells.end(), [](const Cell& cell) { return cell.pieces.empty(); }));
    repair();
}

void CellBinding::unbindWorker(const WorkerName& worker)
{
    for (Cell& cell : m_cells) {
        const bool isBoundThere = std::any_of(
            cell.pieces.begin(), cell.pieces.end(), [&](const CellPiece& piece) { return piece.worker == worker; });
        if (!isBoundThere)
            continue;
        unbind(cell);
        ++m_missing;
    }
}

void CellBinding::repair()
{
    unbindLost();
    unbindBlocked();
    bindMissing();
    if (hasMissing())
        repackIdleCells();
}

void CellBinding::bindMissing()
{
    const CellShape* failed = nullptr;
    for (Cell& cell : m_cells) {
        if (!cell.pieces.empty() || (failed != nullptr && *failed == cell.shape))
            continue;
        if (tryBind(cell))
            --m_missing;
        else
            failed = &cell.shape;
    }
}

void CellBinding::rebindIdleCells(const GuaranteeName& guarantee)
{
    for (Cell& cell : m_cells) {
        if (cell.shape.guarantee != guarantee || cell.pieces.empty() || !isIdle(cell))
            continue;
        unbind(cell);
        ++m_missing;
    }
    repair();
}

std::vector<GuaranteeShortfall> CellBinding::shortfalls() const
{
    std::map<GuaranteeName, int> missing;
    for (const Cell& cell : m_cells) {
        if (cell.pieces.empty())
            ++missing[cell.shape.guarantee];
    }
    std::vector<GuaranteeShortfall> shortfalls;
    shortfalls.reserve(missing.size());
    for (const auto& [guarantee, cells] : missing)
        shortfalls.push_back({ guarantee, cells });
    return shortfalls;
}

void CellBinding::bind(Cell& cell, std::vector<CellPiece> pieces)
{
    cell.pieces = std::move(pieces);
    for (const CellPiece& piece : cell.pieces)
        m_ledger.bind(piece.worker, cell.shape.guarantee, piece.accelerators);
}

void CellBinding::unbind(Cell& cell)
{
    for (const CellPiece& piece : cell.pieces)
        m_ledger.bind(piece.worker, cell.shape.guarantee, -piece.accelerators);
    cell.pieces.clear();
}

bool CellBinding::tryBind(Cell& cell)
{
    const std::vector<BindableWorker> workers = bindableWorkers(cell.shape.guarantee);
    absl::optional<std::vector<CellPiece>> pieces = findCellPlace(cell.shape, workers);
    if (!pieces.has_value())
        return false;
    bind(cell, *std::move(pieces));
    return true;
}

bool CellBinding::isIdle(const Cell& cell) const
{
    return std::all_of(cell.pieces.begin(), cell.pieces.end(), [&](const CellPiece& piece) {
        return guaranteeUsage(m_ledger.workers().at(piece.worker), cell.shape.guarantee).used == 0;
    });
}

bool CellBinding::isLost(const Cell& cell) const
{
    return std::any_of(cell.pieces.begin(), cell.pieces.end(),
        [&](const CellPiece& piece) { return !m_ledger.workers().at(piece.worker).isAvailable; });
}

bool CellBinding::isOvercommitted(const WorkerName& name) const
{
    const WorkerUsage& worker = m_ledger.workers().at(name);
    return worker.pinned + worker.reserved > worker.vm.capacity.accelerators;
}

void CellBinding::unbindLost()
{
    for (Cell& cell : m_cells) {
        if (cell.pieces.empty() || !isLost(cell))
            continue;
        unbind(cell);
        ++m_missing;
    }
}

void CellBinding::unbindBlocked()
{
    // Unbind idle cells first, so that cells in use stay where their tasks run.
    for (const bool mayBeInUse : { false, true }) {
        for (auto cell = m_cells.rbegin(); cell != m_cells.rend(); ++cell) {
            const bool isBlocked = std::any_of(cell->pieces.begin(), cell->pieces.end(),
                [&](const CellPiece& piece) { return isOvercommitted(piece.worker); });
            if (!isBlocked || (!mayBeInUse && !isIdle(*cell)))
                continue;
            unbind(*cell);
            ++m_missing;
        }
    }
}

void CellBinding::repackIdleCells()
{
    const std::vector<Cell> before = m_cells;
    const int missingBefore = m_missing;
    const std::int64_t acceleratorsBefore = missingAccelerators();
    for (Cell& cell : m_cells) {
        if (cell.pieces.empty() || !isIdle(cell))
            continue;
        unbind(cell);
        ++m_missing;
    }
    bindMissing();
    if (missingAccelerators() < acceleratorsBefore)
        return;
    for (Cell& cell : m_cells)
        unbind(cell);
    for (std::size_t index = 0; index < m_cells.size(); ++index)
        bind(m_cells[index], before[index].pieces);
    m_missing = missingBefore;
}

std::int64_t CellBinding::missingAccelerators() const
{
    std::int64_t accelerators = 0;
    for (const Cell& cell : m_cells)
        accelerators += cell.pieces.empty() ? cell.shape.accelerators : 0;
    return accelerators;
}

std::vector<BindableWorker> CellBinding::bindableWorkers(const GuaranteeName& guarantee) const
{
    std::vector<BindableWorker> workers;
    workers.reserve(m_ledger.workers().size());
    for (const auto& [rackName, rack] : m_ledger.racks()) {
        for (const WorkerUsage* worker : rack.workers) {
            if (!worker->isAvailable || isOvercommitted(worker->vm.worker))
                continue;
            const GuaranteeUsage own = guaranteeUsage(*worker, guarantee);
            const std::int32_t ownUsed = std::max(0, own.used - own.bound);
            workers.push_back({ worker->vm.worker, rackName, bindableAccelerators(*worker) + ownUsed,
                worker->vm.capacity.accelerators, ownUsed });
        }
    }
    return workers;
}

absl::Status CellBinding::checkInvariant() const
{
    for (const Cell& cell : m_cells) {
        absl::Status status = checkCell(cell);
        if (!status.ok())
            return status;
    }
    for (const auto& [name, worker] : m_ledger.workers()) {
        absl::Status status = checkWorker(worker);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status CellBinding::checkCell(const Cell& cell) const
{
    if (cell.pieces.empty())
        return absl::OkStatus();
    const absl::string_view name = cell.shape.guarantee.text();
    std::int32_t accelerators = 0;
    for (const CellPiece& piece : cell.pieces) {
        const auto worker = m_ledger.workers().find(piece.worker);
        if (worker == m_ledger.workers().end() || !worker->second.isAvailable)
            return violation("a cell is bound to an unavailable worker", name);
        const bool isInOtherRack = cell.shape.adjacency == Adjacency::SameRack
            && worker->second.vm.rack != m_ledger.workers().at(cell.pieces.front().worker).vm.rack;
        if (isInOtherRack)
            return violation("a cell spans several racks", name);
        accelerators += piece.accelerators;
    }
    if (cell.shape.adjacency == Adjacency::SameWorker && cell.pieces.size() != 1)
        return violation("a cell spans several workers", name);
    if (accelerators != cell.shape.accelerators)
        return violation("a cell is incomplete", name);
    return absl::OkStatus();
}

absl::Status CellBinding::checkWorker(const WorkerUsage& worker) const
{
    // Counts again from the cells and tasks, so that an error in the incremental totals is found as well.
    absl::flat_hash_map<GuaranteeName, GuaranteeUsage> guarantees;
    for (const Cell& cell : m_cells) {
        for (const CellPiece& piece : cell.pieces) {
            if (piece.worker == worker.vm.worker)
                guarantees[cell.shape.guarantee].bound += piece.accelerators;
        }
    }
    if (guarantees.empty())
        return absl::OkStatus();
    std::int32_t committed = 0;
    for (const auto& [attempt, tasks] : worker.tasks) {
        const Occupancy& occupancy = m_ledger.attempts().at(attempt).occupancy;
        if (m_ledger.isEvictableBorrower(occupancy))
            continue;
        const std::int32_t accelerators = tasks * occupancy.demandPerTask.accelerators;
        const auto own = guarantees.find(occupancy.guarantee);
        if (own == guarantees.end())
            committed += accelerators;
        else
            own->second.used += accelerators;
    }
    for (const auto& [name, own] : guarantees)
        committed += std::max(own.bound, own.used);
    if (committed > worker.vm.capacity.accelerators)
        return violation("cells overlap each other or non-evictable work on a worker", worker.vm.worker.text());
    return absl::OkStatus();
}

} // namespace mangohall
