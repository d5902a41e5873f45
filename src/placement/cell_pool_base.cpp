#include "placement/cell_pool_base.h"

#include <algorithm>
#include <map>

#include "core/error_func.h"
#include "job/job_func.h"
#include "placement/eviction_func.h"
#include "placement/fragmentation_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

// From this completion weight on, completion time takes precedence over fragmentation.
constexpr double balancedWeight = 0.5;

// Lists the workers that can run at least one task, grouped by rack. `capacityOf` returns the TaskCapacity of a worker,
// given its rack and the worker.
template <typename CapacityOf>
std::vector<TaskCapacity> listCapacities(const CapacityLedger& ledger, const CapacityOf& capacityOf)
{
    std::vector<TaskCapacity> capacities;
    for (const auto& [rackName, rack] : ledger.racks()) {
        for (const WorkerUsage* worker : rack.workers) {
            const TaskCapacity capacity = capacityOf(rack, *worker);
            if (capacity.tasks > 0)
                capacities.push_back(capacity);
        }
    }
    return capacities;
}

} // namespace

CellPool::CellPool(const ShardName& shard)
    : m_shard(shard)
    , m_binding(m_ledger)
{
}

void CellPool::setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable)
{
    m_ledger.setWorker(vm, incarnation, isAvailable);
    m_binding.repair();
}

void CellPool::removeWorker(const WorkerName& worker)
{
    m_binding.unbindWorker(worker);
    m_reservations.dropForWorker(worker);
    m_ledger.removeWorker(worker);
    m_binding.repair();
}

void CellPool::setGuarantees(absl::Span<const Guarantee> guarantees)
{
    std::vector<Guarantee> own;
    std::vector<GuaranteeName> names;
    for (const Guarantee& guarantee : guarantees) {
        if (guarantee.shard != m_shard)
            continue;
        own.push_back(guarantee);
        names.push_back(guarantee.name);
    }
    std::sort(
        own.begin(), own.end(), [](const Guarantee& left, const Guarantee& right) { return left.name < right.name; });
    m_ledger.setGuaranteeNames(names);
    m_binding.setGuarantees(own);
}

void CellPool::setServices(absl::Span<const Service> services)
{
    m_ledger.setServices(services);
}

void CellPool::setPolicy(const Policy& policy)
{
    m_policy = policy;
}

absl::Status CellPool::testEverFits(const PlacementRequest& request) const
{
    return testFitsEmptyWorkers(m_ledger, request);
}

absl::optional<PlacementDecision> CellPool::choose(const PlacementRequest& request) const
{
    absl::optional<PlacementDecision> best;
    if (request.demandPerTask.accelerators > 0) {
        for (const Guarantee& guarantee : m_binding.guarantees()) {
            if (guarantee.organisation != request.attempt.job.organisation)
                continue;
            absl::optional<PlacementDecision> choice = chooseInCells(request, guarantee.name);
            const bool isBetter
                = choice.has_value() && (!best.has_value() || choice->evictions.size() < best->evictions.size());
            if (isBetter)
                best = std::move(choice);
        }
    }
    if (best.has_value())
        return best;
    return chooseBorrowed(request);
}

absl::optional<PlacementDecision> CellPool::chooseInCells(
    const PlacementRequest& request, const GuaranteeName& guarantee) const
{
    const std::vector<TaskCapacity> capacities
        = listCapacities(m_ledger, [&](const RackUsage& /*rack*/, const WorkerUsage& worker) {
              return capacityInCells(request, guarantee, worker);
          });
    const absl::optional<std::vector<TaskShare>> shares = spreadTasks(request.spec.shape, capacities);
    if (!shares.has_value())
        return absl::nullopt;
    PlacementDecision choice;
    choice.placement = toPlacement(m_shard, request.firstTask, *shares);
    choice.guarantee = guarantee;
    choice.evictions = chooseEvictions(m_ledger, request, guarantee, *shares);
    return choice;
}

absl::optional<PlacementDecision> CellPool::chooseBorrowed(const PlacementRequest& request) const
{
    const std::vector<TaskCapacity> capacities = listCapacities(m_ledger,
        [&](const RackUsage& rack, const WorkerUsage& worker) { return capacityForBorrower(request, rack, worker); });
    const absl::optional<std::vector<TaskShare>> shares = spreadTasks(request.spec.shape, capacities);
    if (!shares.has_value())
        return absl::nullopt;
    PlacementDecision choice;
    choice.placement = toPlacement(m_shard, request.firstTask, *shares);
    return choice;
}

TaskCapacity CellPool::capacityInCells(
    const PlacementRequest& request, const GuaranteeName& guarantee, const WorkerUsage& worker) const
{
    const GuaranteeUsage own = guaranteeUsage(worker, guarantee);
    if (!worker.isAvailable || own.bound < request.demandPerTask.accelerators)
        return {};
    const ServiceName& service = request.spec.service;
    ReclaimableCapacity reclaimable = reclaimableCapacity(m_ledger, request, guarantee, worker);
    const std::int32_t cellAccelerators = own.bound - own.used + reclaimable.ownAccelerators;
    if (cellAccelerators < request.demandPerTask.accelerators)
        return {};
    reclaimable.resources.accelerators = std::min(reclaimable.resources.accelerators, cellAccelerators);
    Resources free = freeResources(worker);
    free.accelerators = std::min(free.accelerators, own.bound - own.used);
    const std::int32_t slots = freeSlots(worker, service, m_ledger.slotsPerWorker(service));
    TaskCapacity capacity;
    capacity.worker = &worker;
    capacity.tasks = tasksThatFit(reclaimable.resources, reclaimable.slots, request.demandPerTask);
    capacity.preferredTasks = tasksThatFit(free, slots, request.demandPerTask);
    capacity.rank = cellAccelerators;
    return capacity;
}

TaskCapacity CellPool::capacityForBorrower(
    const PlacementRequest& request, const RackUsage& rack, const WorkerUsage& worker) const
{
    if (!worker.isAvailable)
        return {};
    const ServiceName& service = request.spec.service;
    const std::int32_t slots = freeSlots(worker, service, m_ledger.slotsPerWorker(service));
    const bool mayOverlapCells = isEvictable(request.spec);
    Resources free = freeResources(worker);
    if (!mayOverlapCells)
        free.accelerators = std::min(free.accelerators, bindableAccelerators(worker));
    if (request.demandPerTask.accelerators > 0)
        free.accelerators = std::min(free.accelerators, m_reservations.unreservedAccelerators(request, worker));
    TaskCapacity capacity;
    capacity.worker = &worker;
    capacity.tasks = tasksThatFit(free, slots, request.demandPerTask);
    // Tasks with checkpoints lose no work when they are evicted, so they may overlap cells. borrowerRank() decides
    // which.
    if (!request.spec.isCheckpointable)
        free.accelerators = std::min(free.accelerators, unboundFreeAccelerators(worker));
    capacity.preferredTasks = tasksThatFit(free, slots, request.demandPerTask);
    capacity.rank = borrowerRank(request, rack, worker);
    return capacity;
}

std::int64_t CellPool::borrowerRank(
    const PlacementRequest& request, const RackUsage& rack, const WorkerUsage& worker) const
{
    if (request.demandPerTask.accelerators == 0) {
        const std::int64_t freeCpu = freeResources(worker).cpuMillis;
        return m_policy.completionWeight >= balancedWeight ? -freeCpu : freeCpu;
    }
    // Fill the fullest worker first, and among equally full ones the one in the fullest rack. Work that cannot be
    // evicted goes where the fewest accelerators are left for binding cells.
    constexpr std::int64_t rackScale = 1 << 16;
    constexpr std::int64_t tierScale = std::int64_t { 1 } << 40;
    const std::int32_t available = isEvictable(request.spec) ? freeAccelerators(worker) : bindableAccelerators(worker);
    const std::int64_t tier = request.spec.isCheckpointable ? borrowerTier(worker) : 0;
    return tier * tierScale + available * rackScale + rack.freeAccelerators;
}

std::int64_t CellPool::borrowerTier(const WorkerUsage& worker) const
{
    std::int32_t largestOnWorker = 0;
    std::int32_t largest = 0;
    for (const Guarantee& guarantee : m_binding.guarantees()) {
        largest = std::max(largest, guarantee.acceleratorsPerCell);
        if (guaranteeUsage(worker, guarantee.name).bound > 0)
            largestOnWorker = std::max(largestOnWorker, guarantee.acceleratorsPerCell);
    }
    const bool isOfLargestCells = largestOnWorker == largest;
    if (largestOnWorker > 0 && !isOfLargestCells)
        return 0;
    // Either keep the workers of the largest cells free, or keep those without cells free for work that cannot be
    // evicted.
    const bool keepsLargestWhole = m_policy.completionWeight < balancedWeight;
    return isOfLargestCells == keepsLargestWhole ? 2 : 1;
}

absl::Status CellPool::occupy(const Occupancy& occupancy)
{
    absl::Status status = m_ledger.testAllocate(occupancy);
    if (!status.ok())
        return status;
    std::map<WorkerName, std::int32_t> tasksByWorker;
    for (const TaskPlacement& task : occupancy.placement)
        ++tasksByWorker[task.worker];
    for (const auto& [worker, tasks] : tasksByWorker) {
        absl::Status capacityStatus = testCapacity(occupancy, m_ledger.workers().at(worker), tasks);
        if (!capacityStatus.ok())
            return capacityStatus;
    }
    // Attempts that are being evicted no longer draw on the cells that are allocated now.
    for (const AttemptId& leaving : occupancy.evictions)
        m_ledger.makeBorrower(leaving);
    m_ledger.allocate(occupancy);
    m_reservations.drop(occupancy.attempt);
    return absl::OkStatus();
}

absl::Status CellPool::testCapacity(const Occupancy& occupancy, const WorkerUsage& worker, std::int32_t tasks) const
{
    const Resources& demand = occupancy.demandPerTask;
    const std::int32_t accelerators = tasks * demand.accelerators;
    if (!occupancy.guarantee.empty()) {
        const GuaranteeUsage own = guaranteeUsage(worker, occupancy.guarantee);
        const std::int32_t leaving = leavingAccelerators(occupancy, worker);
        const bool fits = isGuarantee(occupancy.guarantee) && own.bound - own.used + leaving >= accelerators;
        return fits ? absl::OkStatus() : makeError(ErrorKind::RevisionConflict, "the guarantee's cells are in use");
    }
    const std::int32_t slots = freeSlots(worker, occupancy.service, m_ledger.slotsPerWorker(occupancy.service));
    if (tasksThatFit(freeResources(worker), slots, demand) < tasks)
        return makeError(ErrorKind::RevisionConflict, "the worker no longer has enough free capacity");
    if (!occupancy.isEvictable && accelerators > 0 && bindableAccelerators(worker) < accelerators)
        return makeError(ErrorKind::RevisionConflict, "the free capacity is reserved for a guarantee");
    return absl::OkStatus();
}

std::int32_t CellPool::leavingAccelerators(const Occupancy& occupancy, const WorkerUsage& worker) const
{
    std::int32_t leaving = 0;
    for (const AttemptId& attempt : occupancy.evictions) {
        const auto tasks = worker.tasks.find(attempt);
        if (tasks == worker.tasks.end())
            continue;
        const Occupancy& held = m_ledger.attempts().at(attempt).occupancy;
        if (held.guarantee == occupancy.guarantee)
            leaving += tasks->second * held.demandPerTask.accelerators;
    }
    return leaving;
}

bool CellPool::isGuarantee(const GuaranteeName& guarantee) const
{
    const absl::Span<const Guarantee> guarantees = m_binding.guarantees();
    return std::any_of(
        guarantees.begin(), guarantees.end(), [&](const Guarantee& other) { return other.name == guarantee; });
}

void CellPool::adopt(const Occupancy& occupancy)
{
    m_ledger.allocate(occupancy);
    if (isGuarantee(occupancy.guarantee))
        m_binding.rebindIdleCells(occupancy.guarantee);
    else
        m_binding.repair();
}

void CellPool::vacate(const AttemptId& attempt, std::int32_t taskIndex)
{
    m_ledger.release(attempt, taskIndex);
    bindAfterVacate(!m_ledger.attempts().contains(attempt));
}

void CellPool::vacateAll(const AttemptId& attempt)
{
    m_ledger.releaseAll(attempt);
    bindAfterVacate(true);
}

void CellPool::bindAfterVacate(bool isGone)
{
    if (!m_binding.hasMissing())
        return;
    if (isGone)
        m_binding.repair();
    else
        m_binding.bindMissing();
}

absl::optional<absl::Time> CellPool::reserve(const PlacementRequest& request, absl::Time now)
{
    return m_reservations.reserve(m_ledger, request, now);
}

void CellPool::dropReservation(const AttemptId& attempt)
{
    m_reservations.drop(attempt);
}

std::vector<AttemptId> CellPool::reservations() const
{
    return m_reservations.attempts();
}

std::int64_t CellPool::heldAccelerators(const OrganisationName& organisation) const
{
    return m_ledger.heldAccelerators(organisation);
}

std::vector<GuaranteeShortfall> CellPool::shortfalls() const
{
    return m_binding.shortfalls();
}

Fragmentation CellPool::fragmentation(absl::Span<const Shape> waiting) const
{
    std::vector<Shape> shapes(waiting.begin(), waiting.end());
    for (const Guarantee& guarantee : m_binding.guarantees())
        shapes.push_back({ guarantee.acceleratorsPerCell, 1, guarantee.adjacency });
    return measureFragmentation(m_ledger, shapes);
}

CapacitySummary CellPool::summary() const
{
    return summarize(m_ledger, m_shard);
}

std::unique_ptr<PlacementPool> makeCellPool(const ShardName& shard)
{
    return std::make_unique<CellPool>(shard);
}

} // namespace mangohall
