#include "placement/first_fit_pool_base.h"

#include <map>

#include "core/error_func.h"
#include "placement/fragmentation_func.h"
#include "placement/task_spread_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {

FirstFitPool::FirstFitPool(const ShardName& shard)
    : m_shard(shard)
{
}

void FirstFitPool::setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable)
{
    m_ledger.setWorker(vm, incarnation, isAvailable);
}

void FirstFitPool::removeWorker(const WorkerName& worker)
{
    m_ledger.removeWorker(worker);
}

void FirstFitPool::setGuarantees(absl::Span<const Guarantee> guarantees)
{
    m_cellShapes.clear();
    for (const Guarantee& guarantee : guarantees) {
        if (guarantee.shard == m_shard)
            m_cellShapes.push_back({ guarantee.acceleratorsPerCell, 1, guarantee.adjacency });
    }
}

void FirstFitPool::setServices(absl::Span<const Service> services)
{
    m_ledger.setServices(services);
}

void FirstFitPool::setPolicy(const Policy& /*policy*/) { }

absl::Status FirstFitPool::testEverFits(const PlacementRequest& request) const
{
    return testFitsEmptyWorkers(m_ledger, request);
}

absl::optional<PlacementDecision> FirstFitPool::choose(const PlacementRequest& request) const
{
    const ServiceName& service = request.spec.service;
    const std::int32_t slots = m_ledger.slotsPerWorker(service);
    std::vector<TaskCapacity> capacities;
    for (const auto& [rackName, rack] : m_ledger.racks()) {
        for (const WorkerUsage* worker : rack.workers) {
            if (!worker->isAvailable)
                continue;
            const std::int32_t tasks
                = tasksThatFit(freeResources(*worker), freeSlots(*worker, service, slots), request.demandPerTask);
            capacities.push_back({ worker, tasks, tasks, 0 });
        }
    }
    const absl::optional<std::vector<TaskShare>> shares = spreadTasksFirstFit(request.spec.shape, capacities);
    if (!shares.has_value())
        return absl::nullopt;
    PlacementDecision choice;
    choice.placement = toPlacement(m_shard, request.firstTask, *shares);
    return choice;
}

absl::Status FirstFitPool::occupy(const Occupancy& occupancy)
{
    absl::Status status = m_ledger.testAllocate(occupancy);
    if (!status.ok())
        return status;
    std::map<WorkerName, std::int32_t> tasksByWorker;
    for (const TaskPlacement& task : occupancy.placement)
        ++tasksByWorker[task.worker];
    const std::int32_t slots = m_ledger.slotsPerWorker(occupancy.service);
    for (const auto& [name, tasks] : tasksByWorker) {
        const WorkerUsage& worker = m_ledger.workers().at(name);
        const std::int32_t free = freeSlots(worker, occupancy.service, slots);
        if (tasksThatFit(freeResources(worker), free, occupancy.demandPerTask) < tasks)
            return makeError(ErrorKind::RevisionConflict, "the worker no longer has enough free capacity");
    }
    m_ledger.allocate(occupancy);
    return absl::OkStatus();
}

void FirstFitPool::adopt(const Occupancy& occupancy)
{
    m_ledger.allocate(occupancy);
}

void FirstFitPool::vacate(const AttemptId& attempt, std::int32_t taskIndex)
{
    m_ledger.release(attempt, taskIndex);
}

void FirstFitPool::vacateAll(const AttemptId& attempt)
{
    m_ledger.releaseAll(attempt);
}

absl::optional<absl::Time> FirstFitPool::reserve(const PlacementRequest& /*request*/, absl::Time /*now*/)
{
    return absl::nullopt;
}

void FirstFitPool::dropReservation(const AttemptId& /*attempt*/) { }

std::vector<AttemptId> FirstFitPool::reservations() const
{
    return {};
}

std::int64_t FirstFitPool::heldAccelerators(const OrganisationName& organisation) const
{
    return m_ledger.heldAccelerators(organisation);
}

std::vector<GuaranteeShortfall> FirstFitPool::shortfalls() const
{
    return {};
}

Fragmentation FirstFitPool::fragmentation(absl::Span<const Shape> waiting) const
{
    std::vector<Shape> shapes(waiting.begin(), waiting.end());
    shapes.insert(shapes.end(), m_cellShapes.begin(), m_cellShapes.end());
    return measureFragmentation(m_ledger, shapes);
}

CapacitySummary FirstFitPool::summary() const
{
    return summarize(m_ledger, m_shard);
}

std::unique_ptr<PlacementPool> makeFirstFitPool(const ShardName& shard)
{
    return std::make_unique<FirstFitPool>(shard);
}

} // namespace mangohall
