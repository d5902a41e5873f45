// The baseline placement pool: first fit.
#pragma once

#include <vector>

#include "placement/capacity_ledger_base.h"
#include "placement/placement_pool_base.h"

namespace mangohall {

// Places tasks on the first workers with enough free capacity, in order of rack and worker name. Ignores guarantees for
// placement and evicts nothing.
class FirstFitPool : public PlacementPool {
public:
    explicit FirstFitPool(const ShardName& shard);

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

private:
    ShardName m_shard;
    CapacityLedger m_ledger;
    // The shape of one cell of each guarantee. Used only to measure fragmentation.
    std::vector<Shape> m_cellShapes;
};

} // namespace mangohall
