// Workers of the shard: VM list, heartbeats, reports, and loss of workers.
#include <algorithm>

#include "core/backoff_func.h"
#include "core/time_const.h"
#include "dispatch/dispatcher_base.h"
#include "dispatch/part_end_func.h"

namespace mangohall {

namespace {

// Delays of retries after failed calls about a task: the first one and the longest one.
constexpr absl::Duration firstWorkerRetry = absl::Milliseconds(200);
constexpr absl::Duration maxWorkerRetry = absl::Seconds(2);
// Shortest time between two capacity summaries.
constexpr absl::Duration capacityReportPeriod = absl::Seconds(1);

} // namespace

WorkerSession* Dispatcher::findWorker(const WorkerName& worker)
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

void Dispatcher::setVms(absl::Span<const VmEntry> vms, absl::Time now)
{
    const auto spec = std::find_if(m_directory->shards.begin(), m_directory->shards.end(),
        [this](const ShardSpec& shard) { return shard.name == m_name; });
    if (spec == m_directory->shards.end())
        return;
    absl::flat_hash_set<WorkerName> listed;
    for (const VmEntry& vm : vms) {
        const bool isInShard = vm.dataCentre == spec->dataCentre
            && std::find(spec->racks.begin(), spec->racks.end(), vm.rack) != spec->racks.end();
        if (!isInShard)
            continue;
        listed.insert(vm.worker);
        setVm(vm, now);
    }
    for (auto& [name, session] : m_workers) {
        // The VM list lags behind. A missing worker that still answers is treated as leaving, not as gone.
        const bool isSilent = session.lastHeardAt + workerSuspectAfter < now;
        session.vm.isLeaving = session.vm.isLeaving || !listed.contains(name);
        if (!listed.contains(name) && isSilent && !session.isGone) {
            session.isGone = true;
            markTasksLost(session, now);
        }
        refreshAvailability(session, now);
    }
    m_isScheduleDue = true;
    wake(now);
}

void Dispatcher::setVm(const VmEntry& vm, absl::Time now)
{
    const auto [found, isNew] = m_workers.try_emplace(vm.worker);
    WorkerSession& session = found->second;
    if (isNew) {
        // A former owner may have renewed the leases until now.
        session.lastRenewalSentAt = now;
        session.heartbeatAt = now;
    }
    session.vm = vm;
    session.isGone = false;
}

bool Dispatcher::isDrained(const VmEntry& vm) const
{
    return std::any_of(m_directory->drains.begin(), m_directory->drains.end(), [&vm](const Drain& drain) {
        switch (drain.target) {
        case DrainTarget::Worker:
            return drain.targetName == vm.worker.text();
        case DrainTarget::Rack:
            return drain.targetName == vm.rack.text();
        case DrainTarget::DataCentre:
            break;
        }
        return drain.targetName == vm.dataCentre.text();
    });
}

void Dispatcher::refreshAvailability(WorkerSession& session, absl::Time now)
{
    if (session.isGone) {
        m_pool->removeWorker(session.vm.worker);
        m_health.removeWorker(session.vm.worker);
        const bool hasChanged = std::exchange(session.isAvailable, false);
        if (hasChanged)
            requeueBlockedReclaims(now);
        return;
    }
    const bool isResponding = !session.incarnation.empty() && session.lastHeardAt + workerSuspectAfter >= now;
    const bool isInService = !session.vm.isLeaving && !isDrained(session.vm);
    const bool isAvailable
        = isResponding && !session.hasLastCallFailed && isInService && isFitForWork(session.vm.worker, now);
    if (session.incarnation.empty())
        return;
    const bool hasChanged = isAvailable != session.isAvailable;
    session.isAvailable = isAvailable;
    m_pool->setWorker(session.vm, session.incarnation, isAvailable);
    if (!hasChanged)
        return;
    m_isScheduleDue = true;
    if (!isAvailable)
        requeueBlockedReclaims(now);
}

bool Dispatcher::isFitForWork(const WorkerName& worker, absl::Time now) const
{
    const WorkerFitness fitness = m_health.fitness(worker, now);
    return fitness == WorkerFitness::Healthy || fitness == WorkerFitness::MayProbe;
}

void Dispatcher::recordTaskLoad(const DispatchPart& part, const DispatchTask& task, absl::Time now)
{
    const bool isDone = task.knowledge == TaskKnowledge::Reported && task.report.state == TaskState::Succeeded;
    if (!isDone || !part.hasBeenStarted)
        return;
    const OrganisationName& organisation = part.attempt.job.organisation;
    m_load.observeRun(organisation, part.spec, now - part.startedAt);
    if (task.report.usage.cpuMillis > 0)
        m_load.observeUsage(organisation, part.spec, task.report.usage);
}

void Dispatcher::sendHeartbeat(WorkerSession& session, absl::Time now)
{
    // Do not renew the leases of a silent worker, so that it is known when they lapse.
    const bool isSuspect = session.lastHeardAt + workerSuspectAfter < now && !session.incarnation.empty();
    const absl::Duration lease = isSuspect ? absl::ZeroDuration() : taskLease;
    if (!isSuspect)
        session.lastRenewalSentAt = now;
    session.heartbeatSentAt = now;
    session.heartbeatAt = now + workerHeartbeatPeriod;
    session.tasksToForgetSent = session.tasksToForget;
    session.heartbeatCall
        = m_outbox.toWorker(session.vm, WorkerCall { { m_name, m_epoch }, lease, Heartbeat { session.tasksToForget } });
    m_calls.emplace(session.heartbeatCall, OpenCall { session.vm.worker, {}, true, false });
}

void Dispatcher::handleWorkerReply(CallId call, const absl::Status& status, const WorkerReport& report, absl::Time now)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const OpenCall open = found->second;
    m_calls.erase(found);
    if (report.isFenced) {
        m_isDeposed = true;
        return;
    }
    WorkerSession* session = findWorker(open.worker);
    if (session == nullptr)
        return;
    session->hasLastCallFailed = !status.ok();
    if (status.ok())
        recordContact(*session, report, now);
    else
        refreshAvailability(*session, now);
    if (open.isHeartbeat) {
        session->heartbeatCall = 0;
        if (status.ok())
            handleHeartbeatReply(*session, report, now);
    } else if (DispatchPart* part = findPart({ open.task.job, open.task.attempt })) {
        for (DispatchTask& task : part->tasks) {
            if (task.openCall != call)
                continue;
            task.openCall = 0;
            if (task.knowledge == TaskKnowledge::Unresolved)
                task.unresolvedSince = now;
            const bool isRetryNeeded = !status.ok() || part->state == PartState::Stopping;
            if (isRetryNeeded)
                task.retryAt = now + backoffCeiling(firstWorkerRetry, maxWorkerRetry, task.failures++);
        }
    }
    if (status.ok()) {
        for (const TaskReport& taskReport : report.tasks)
            applyReport(taskReport, report.incarnation, now);
    }
    if (DispatchPart* part = findPart({ open.task.job, open.task.attempt }))
        drivePart(*part, now);
    schedule(now);
}

void Dispatcher::recordContact(WorkerSession& session, const WorkerReport& report, absl::Time now)
{
    session.lastHeardAt = now;
    session.isGone = false;
    if (session.incarnation == report.incarnation) {
        if (!session.isAvailable)
            refreshAvailability(session, now);
        return;
    }
    const bool isRestart = !session.incarnation.empty();
    session.incarnation = report.incarnation;
    session.tasksToForget.clear();
    if (isRestart)
        markTasksLost(session, now);
    refreshAvailability(session, now);
}

void Dispatcher::handleHeartbeatReply(WorkerSession& session, const WorkerReport& report, absl::Time now)
{
    const std::vector<TaskId> forgotten = std::exchange(session.tasksToForgetSent, {});
    const auto isForgotten = [&forgotten](const TaskId& task) {
        return std::find(forgotten.begin(), forgotten.end(), task) != forgotten.end();
    };
    session.tasksToForget.erase(std::remove_if(session.tasksToForget.begin(), session.tasksToForget.end(), isForgotten),
        session.tasksToForget.end());
    stopPartsOfUnlistedTasks(session, report, now);
}

void Dispatcher::stopPartsOfUnlistedTasks(WorkerSession& session, const WorkerReport& report, absl::Time now)
{
    absl::flat_hash_set<TaskId> listed;
    for (const TaskReport& taskReport : report.tasks)
        listed.insert(taskReport.task);
    std::vector<AttemptId> affected;
    for (const TaskId& id : session.tasks) {
        if (!listed.contains(id))
            affected.push_back({ id.job, id.attempt });
    }
    for (const AttemptId& attempt : affected) {
        DispatchPart* part = findPart(attempt);
        if (part == nullptr || part->state == PartState::Stopping)
            continue;
        const bool isMissing = std::any_of(part->tasks.begin(), part->tasks.end(), [&](const DispatchTask& task) {
            const bool isOnWorkerWithoutOpenCall = task.placement.worker == session.vm.worker && task.openCall == 0;
            const bool isOverdue
                = task.knowledge == TaskKnowledge::Unresolved && task.unresolvedSince <= session.heartbeatSentAt;
            return isOnWorkerWithoutOpenCall && isOverdue && !listed.contains(task.report.task);
        });
        // The start may still be on its way to the worker. Stopping the part makes the worker refuse it.
        if (isMissing)
            stop(*part, StopReason::PeerTaskEnded, now);
    }
}

void Dispatcher::applyReport(const TaskReport& report, absl::string_view incarnation, absl::Time now)
{
    DispatchPart* part = findPart({ report.task.job, report.task.attempt });
    if (part == nullptr || !part->hasBeenStarted || part->state == PartState::Ended)
        return;
    for (DispatchTask& task : part->tasks) {
        if (task.placement.index != report.task.index || isSettled(task))
            continue;
        // Another incarnation of the worker does not know the tasks of this one.
        if (task.placement.incarnation != incarnation)
            continue;
        // Ignore a report that arrives after a later one.
        const bool isOutdated = task.knowledge == TaskKnowledge::Reported && task.report.state == TaskState::Running
            && report.state == TaskState::Prepared;
        if (isOutdated)
            continue;
        const bool isCheckpointNew = task.report.checkpoint.empty() && !report.checkpoint.empty();
        task.knowledge = TaskKnowledge::Reported;
        task.report = report;
        if (isCheckpointNew || isSettled(task))
            task.retryAt = now;
        recordTaskOutcome(*part, task, now);
    }
    drivePart(*part, now);
}

void Dispatcher::recordTaskOutcome(const DispatchPart& part, const DispatchTask& task, absl::Time now)
{
    if (!isSettled(task))
        return;
    const WorkerName& worker = task.placement.worker;
    const JobKey& job = part.attempt.job;
    if (task.report.state == TaskState::Succeeded)
        m_health.recordSuccess(worker, job, part.spec.service, now);
    else if (task.report.state == TaskState::Failed)
        m_health.recordFailure(worker, job, part.spec.service, now);
    else if (m_health.fitness(worker, now) == WorkerFitness::Probing)
        m_health.abandonProbe(worker);
    WorkerSession* session = findWorker(worker);
    const bool wasAvailable = session != nullptr && session->isAvailable;
    if (session != nullptr)
        refreshAvailability(*session, now);
    const bool isQuarantined = m_health.fitness(worker, now) == WorkerFitness::Quarantined;
    if (!wasAvailable || !isQuarantined)
        return;
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::WorkerQuarantined;
    observation.shard = m_name;
    observation.subject = worker.str();
    observation.epoch = m_epoch;
    m_outbox.observe(std::move(observation));
}

bool Dispatcher::haveLeasesLapsed(const WorkerSession& session, absl::Time now) const
{
    const bool isSilent = session.lastHeardAt + workerSuspectAfter < now;
    return isSilent && session.lastRenewalSentAt + taskLease + leaseMargin < now;
}

void Dispatcher::markTasksLost(WorkerSession& session, absl::Time now)
{
    std::vector<AttemptId> affected;
    for (const TaskId& id : session.tasks)
        affected.push_back({ id.job, id.attempt });
    std::sort(affected.begin(), affected.end());
    for (const AttemptId& attempt : affected) {
        DispatchPart* part = findPart(attempt);
        if (part == nullptr || part->state == PartState::Ended)
            continue;
        for (DispatchTask& task : part->tasks) {
            const bool isOnWorker = task.placement.worker == session.vm.worker;
            if (isOnWorker && !isSettled(task) && task.knowledge != TaskKnowledge::Unsent)
                task.knowledge = TaskKnowledge::Lost;
        }
        drivePart(*part, now);
    }
    m_isScheduleDue = true;
}

void Dispatcher::sendCapacity(absl::Time now)
{
    const CapacitySummary current = summary();
    const bool isSame = current.freeAccelerators == m_sentCapacity.freeAccelerators
        && current.largestFreeWorker == m_sentCapacity.largestFreeWorker
        && current.largestFreeRack == m_sentCapacity.largestFreeRack
        && current.queuedTasks == m_sentCapacity.queuedTasks;
    if (isSame || now < m_capacitySentAt + capacityReportPeriod)
        return;
    m_sentCapacity = current;
    m_capacitySentAt = now;
    for (const auto& [node, member] : m_directory->members)
        m_outbox.toNode(node, current);
}

} // namespace mangohall
