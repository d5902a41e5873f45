// The placement pool that reserves guarantees as cells.
#pragma once

#include <vector>

#include "placement/capacity_ledger_base.h"
#include "placement/cell_binding_base.h"
#include "placement/placement_pool_base.h"
#include "placement/reservation_table_base.h"
#include "placement/task_spread_func.h"

namespace mangohall {

// Places guaranteed work in the bound cells of its organisation and evicts borrowers that overlap them. Places
// borrowers outside cells where possible, and packs them so that whole workers and racks stay free.
class CellPool : public PlacementPool {
public:
    explicit CellPool(const ShardName& shard);

    void setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable) override;
    void removeWorker(const WorkerName& worker) override;
    void setGuarantees(absl::Span<const Guarantee> guarantees) override;
    void setServices(absl::Span<const Service> services) override;
    void setPolicy(const Policy& policy) override;
    absl::Status testEverFits(const PlacementRequest& request) const override;
    absl::optional<PlacementDecision> choose(const PlacementRequest& request) const override;
    absl::Status occupy(const Occupancy& occupancy) override;
    void adopt(const Occupancy& occupancy) override;
    void vacate(const AttemptId& attempt, std::int32_t taskIndex) override;
    void vacateAll(const AttemptId& attempt) override;
    absl::optional<absl::Time> reserve(const PlacementRequest& request, absl::Time now) override;
    void dropReservation(const AttemptId& attempt) override;
    std::vector<AttemptId> reservations() const override;
    std::int64_t heldAccelerators(const OrganisationName& organisation) const override;
    std::vector<GuaranteeShortfall> shortfalls() const override;
    Fragmentation fragmentation(absl::Span<const Shape> waiting) const override;
    CapacitySummary summary() const override;

    // Checks the guarantee invariant, see CellBinding::checkInvariant(). Internal with the reason if it is violated.
    absl::Status checkInvariant() const { return m_binding.checkInvariant(); }
    const CapacityLedger& ledger() const { return m_ledger; }
    absl::Span<const Cell> cells() const { return m_binding.cells(); }

protected:
    // RevisionConflict if `tasks` tasks of the occupancy do not fit on the worker. Called after the ledger's own test.
    virtual absl::Status testCapacity(const Occupancy& occupancy, const WorkerUsage& worker, std::int32_t tasks) const;

private:
    // A placement in the cells of the guarantee, with the evictions that it needs; nothing if it does not fit.
    absl::optional<PlacementDecision> chooseInCells(
        const PlacementRequest& request, const GuaranteeName& guarantee) const;
    // A placement on free capacity; nothing if it does not fit.
    absl::optional<PlacementDecision> chooseBorrowed(const PlacementRequest& request) const;
    TaskCapacity capacityInCells(
        const PlacementRequest& request, const GuaranteeName& guarantee, const WorkerUsage& worker) const;
    TaskCapacity capacityForBorrower(
        const PlacementRequest& request, const RackUsage& rack, const WorkerUsage& worker) const;
    // The order in which borrowers fill workers: the smallest rank first.
    std::int64_t borrowerRank(const PlacementRequest& request, const RackUsage& rack, const WorkerUsage& worker) const;
    // The group in which a borrower with checkpoints fills the worker, from 0 (first) to 2 (last). Workers with cells
    // smaller than the largest are in group 0.
    std::int64_t borrowerTier(const WorkerUsage& worker) const;
    // Accelerators of the occupancy's guarantee on the worker that its evictions free.
    std::int32_t leavingAccelerators(const Occupancy& occupancy, const WorkerUsage& worker) const;
    bool isGuarantee(const GuaranteeName& guarantee) const;
    // Binds missing cells after a release. Idle cells may move only once the attempt has no task left.
    void bindAfterVacate(bool isGone);

    ShardName m_shard;
    Policy m_policy;
    CapacityLedger m_ledger;
    CellBinding m_binding;
    ReservationTable m_reservations;
};

} // namespace mangohall
