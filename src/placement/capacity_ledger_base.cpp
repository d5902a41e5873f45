#include "placement/capacity_ledger_base.h"

#include <algorithm>

#include "core/error_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

absl::Status stale(absl::string_view message)
{
    return makeError(ErrorKind::RevisionConflict, message);
}

} // namespace

void CapacityLedger::setWorker(const VmEntry& vm, absl::string_view incarnation, bool isAvailable)
{
    const auto [entry, isNew] = m_workers.try_emplace(vm.worker);
    WorkerUsage& worker = entry->second;
    if (!isNew)
        removeFromRack(worker);
    worker.vm = vm;
    worker.incarnation = std::string(incarnation);
    worker.isAvailable = isAvailable;
    addToRack(worker);
}

void CapacityLedger::removeWorker(const WorkerName& worker)
{
    const auto entry = m_workers.find(worker);
    if (entry == m_workers.end())
        return;
    removeFromRack(entry->second);
    removeTasksOf(worker, entry->second);
    m_workers.erase(entry);
}

void CapacityLedger::removeTasksOf(const WorkerName& name, WorkerUsage& worker)
{
    for (const auto& [attempt, tasks] : worker.tasks) {
        const auto held = m_attempts.find(attempt);
        const Occupancy& occupancy = held->second.occupancy;
        m_heldAccelerators[occupancy.organisation] -= std::int64_t { tasks } * occupancy.demandPerTask.accelerators;
        absl::erase_if(held->second.workers, [&](const auto& task) { return task.second == name; });
        if (held->second.workers.empty())
            m_attempts.erase(held);
    }
}

void CapacityLedger::setServices(absl::Span<const Service> services)
{
    m_slotsPerWorker.clear();
    for (const Service& service : services)
        m_slotsPerWorker[service.name] = service.slotsPerWorker;
}

void CapacityLedger::setGuaranteeNames(absl::Span<const GuaranteeName> names)
{
    for (const auto& [attempt, held] : m_attempts) {
        for (const auto& [index, worker] : held.workers)
            countByClass(m_workers.at(worker), held.occupancy, -held.occupancy.demandPerTask.accelerators);
    }
    m_guaranteeNames = absl::flat_hash_set<GuaranteeName>(names.begin(), names.end());
    for (const auto& [attempt, held] : m_attempts) {
        for (const auto& [index, worker] : held.workers)
            countByClass(m_workers.at(worker), held.occupancy, held.occupancy.demandPerTask.accelerators);
    }
}

absl::Status CapacityLedger::testAllocate(const Occupancy& occupancy) const
{
    const auto held = m_attempts.find(occupancy.attempt);
    for (const TaskPlacement& task : occupancy.placement) {
        const auto worker = m_workers.find(task.worker);
        if (worker == m_workers.end())
            return stale("the worker no longer exists");
        if (!worker->second.isAvailable)
            return stale("the worker is not available");
        if (worker->second.incarnation != task.incarnation)
            return stale("the worker has restarted");
        if (held != m_attempts.end() && held->second.workers.contains(task.index))
            return stale("the task is already allocated");
    }
    return absl::OkStatus();
}

void CapacityLedger::allocate(const Occupancy& occupancy)
{
    const auto [entry, isNew] = m_attempts.try_emplace(occupancy.attempt);
    HeldAttempt& held = entry->second;
    if (isNew) {
        held.occupancy = occupancy;
        held.occupancy.placement.clear();
    }
    for (const TaskPlacement& task : occupancy.placement) {
        const auto worker = m_workers.find(task.worker);
        if (worker == m_workers.end() || !held.workers.try_emplace(task.index, task.worker).second)
            continue;
        allocateTask(worker->second, occupancy.attempt, held.occupancy);
    }
    if (held.workers.empty())
        m_attempts.erase(entry);
}

void CapacityLedger::release(const AttemptId& attempt, std::int32_t taskIndex)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    HeldAttempt& held = entry->second;
    const auto task = held.workers.find(taskIndex);
    if (task == held.workers.end())
        return;
    releaseTask(m_workers.at(task->second), attempt, held.occupancy);
    held.workers.erase(task);
    if (held.workers.empty())
        m_attempts.erase(entry);
}

void CapacityLedger::releaseAll(const AttemptId& attempt)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end())
        return;
    for (const auto& [index, worker] : entry->second.workers)
        releaseTask(m_workers.at(worker), attempt, entry->second.occupancy);
    m_attempts.erase(entry);
}

std::int32_t CapacityLedger::slotsPerWorker(const ServiceName& service) const
{
    const auto slots = m_slotsPerWorker.find(service);
    return slots == m_slotsPerWorker.end() ? Service().slotsPerWorker : slots->second;
}

bool CapacityLedger::isBorrower(const Occupancy& occupancy) const
{
    return !m_guaranteeNames.contains(occupancy.guarantee);
}

bool CapacityLedger::isEvictableBorrower(const Occupancy& occupancy) const
{
    return occupancy.isEvictable && isBorrower(occupancy);
}

void CapacityLedger::makeBorrower(const AttemptId& attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    HeldAttempt& held = found->second;
    const std::int32_t accelerators = held.occupancy.demandPerTask.accelerators;
    for (const auto& [index, worker] : held.workers)
        countByClass(m_workers.at(worker), held.occupancy, -accelerators);
    held.occupancy.guarantee = GuaranteeName();
    for (const auto& [index, worker] : held.workers)
        countByClass(m_workers.at(worker), held.occupancy, accelerators);
}

std::int64_t CapacityLedger::heldAccelerators(const OrganisationName& organisation) const
{
    const auto held = m_heldAccelerators.find(organisation);
    return held == m_heldAccelerators.end() ? 0 : held->second;
}

void CapacityLedger::bind(const WorkerName& worker, const GuaranteeName& guarantee, std::int32_t accelerators)
{
    addBound(m_workers.at(worker), guarantee, accelerators);
}

void CapacityLedger::allocateTask(WorkerUsage& worker, const AttemptId& attempt, const Occupancy& occupancy)
{
    ++worker.tasks[attempt];
    changeUsage(worker, occupancy, 1);
}

void CapacityLedger::releaseTask(WorkerUsage& worker, const AttemptId& attempt, const Occupancy& occupancy)
{
    const auto tasks = worker.tasks.find(attempt);
    if (--tasks->second == 0)
        worker.tasks.erase(tasks);
    changeUsage(worker, occupancy, -1);
}

void CapacityLedger::changeUsage(WorkerUsage& worker, const Occupancy& occupancy, std::int32_t tasks)
{
    const Resources& demand = occupancy.demandPerTask;
    worker.used.cpuMillis += tasks * demand.cpuMillis;
    worker.used.memoryBytes += tasks * demand.memoryBytes;
    worker.used.accelerators += tasks * demand.accelerators;
    std::int32_t& slots = worker.slotsUsed[occupancy.service];
    slots += tasks;
    if (slots == 0)
        worker.slotsUsed.erase(occupancy.service);
    if (worker.isAvailable)
        m_racks[worker.vm.rack].freeAccelerators -= tasks * demand.accelerators;
    m_heldAccelerators[occupancy.organisation] += std::int64_t { tasks } * demand.accelerators;
    countByClass(worker, occupancy, tasks * demand.accelerators);
}

void CapacityLedger::countByClass(WorkerUsage& worker, const Occupancy& occupancy, std::int32_t accelerators)
{
    if (!isBorrower(occupancy)) {
        addUsed(worker, occupancy.guarantee, accelerators);
        return;
    }
    worker.borrowed += accelerators;
    if (!occupancy.isEvictable)
        worker.pinned += accelerators;
}

void CapacityLedger::addToRack(WorkerUsage& worker)
{
    RackUsage& rack = m_racks[worker.vm.rack];
    const auto position = std::lower_bound(rack.workers.begin(), rack.workers.end(), worker.vm.worker,
        [](const WorkerUsage* other, const WorkerName& name) { return other->vm.worker < name; });
    rack.workers.insert(position, &worker);
    if (worker.isAvailable)
        rack.freeAccelerators += mangohall::freeAccelerators(worker);
}

void CapacityLedger::removeFromRack(WorkerUsage& worker)
{
    const auto entry = m_racks.find(worker.vm.rack);
    RackUsage& rack = entry->second;
    std::erase(rack.workers, &worker);
    if (worker.isAvailable)
        rack.freeAccelerators -= mangohall::freeAccelerators(worker);
    if (rack.workers.empty())
        m_racks.erase(entry);
}

} // namespace mangohall
