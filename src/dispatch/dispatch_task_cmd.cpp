// Tasks of parts: start, release, stop, and the end of a part.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "core/backoff_func.h"
#include "core/time_const.h"
#include "dispatch/dispatcher_base.h"
#include "dispatch/part_end_func.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

// Upper bound of the time between repetitions of the end of a part.
constexpr absl::Duration maxEndRetryPeriod = absl::Seconds(30);

} // namespace

DispatchPart* Dispatcher::findPart(const AttemptId& attempt)
{
    const auto found = m_parts.find(attempt);
    return found == m_parts.end() ? nullptr : &found->second;
}

bool Dispatcher::isGang(const DispatchPart& part) const
{
    return part.spec.shape.tasks > 1;
}

bool Dispatcher::isHoldOf(const DispatchPart& part, absl::Span<const TaskPlacement> placement) const
{
    if (part.state != PartState::Held || placement.size() != part.tasks.size())
        return false;
    return std::equal(placement.begin(), placement.end(), part.tasks.begin(),
        [](const TaskPlacement& left, const DispatchTask& right) { return left == right.placement; });
}

void Dispatcher::startAttempt(const StartAttempt& message, absl::Time now)
{
    DispatchPart* part = findPart(message.attempt);
    if (part != nullptr && part->state == PartState::Ended) {
        sendEnd(*part, now);
        return;
    }
    if (part != nullptr && isHoldOf(*part, message.placement)) {
        part->spec = message.spec;
        part->checkpoint = message.checkpoint;
        part->state = PartState::Starting;
        part->hasBeenStarted = true;
        part->startedAt = now;
        drivePart(*part, now);
        return;
    }
    const bool isStarted = part != nullptr && part->hasBeenStarted;
    if (!isStarted) {
        // The placement belongs to another owner or to a hold that has timed out. Its tasks may have been started.
        recoverPart(message.attempt, message.home, message.spec, message.placement, now);
        return;
    }
    if (part->state == PartState::Prepared || part->state == PartState::Released)
        m_outbox.toShard(part->home, AttemptPrepared { part->attempt, m_name });
}

DispatchPart& Dispatcher::recoverPart(const AttemptId& attempt, const ShardName& home, const JobSpec& spec,
    absl::Span<const TaskPlacement> placement, absl::Time now)
{
    forgetPart(attempt);
    DispatchPart part;
    part.attempt = attempt;
    part.home = home;
    part.spec = spec;
    part.taskCount = static_cast<std::int32_t>(placement.size());
    part.state = PartState::Starting;
    part.hasBeenStarted = true;
    part.startedAt = now;
    for (const TaskPlacement& place : placement) {
        DispatchTask task;
        task.placement = place;
        task.report.task = { attempt.job, attempt.attempt, place.index };
        task.knowledge = TaskKnowledge::Unresolved;
        task.unresolvedSince = now;
        part.tasks.push_back(std::move(task));
        if (WorkerSession* session = findWorker(place.worker)) {
            session->tasks.insert({ attempt.job, attempt.attempt, place.index });
            session->heartbeatAt = now;
        }
    }
    Occupancy occupancy;
    occupancy.attempt = attempt;
    occupancy.organisation = attempt.job.organisation;
    occupancy.service = spec.service;
    occupancy.placement.assign(placement.begin(), placement.end());
    occupancy.demandPerTask = requestOf(part).demandPerTask;
    occupancy.isEvictable = isEvictable(spec);
    occupancy.priority = spec.priority;
    occupancy.startedAt = now;
    m_pool->adopt(occupancy);
    DispatchPart& stored = m_parts.insert_or_assign(attempt, std::move(part)).first->second;
    drivePart(stored, now);
    return stored;
}

void Dispatcher::releaseAttempt(const ReleaseAttempt& message, absl::Time now)
{
    DispatchPart* part = findPart(message.attempt);
    if (part == nullptr || !part->hasBeenStarted)
        part = &recoverPart(message.attempt, message.home, message.spec, message.placement, now);
    if (part->state == PartState::Ended) {
        sendEnd(*part, now);
        return;
    }
    part->isReleaseRequested = true;
    if (part->state == PartState::Prepared)
        part->state = PartState::Released;
    drivePart(*part, now);
}

void Dispatcher::abortAttempt(const AbortAttempt& message, absl::Time now)
{
    DispatchPart* part = findPart(message.attempt);
    const bool isStarted = part != nullptr && part->hasBeenStarted;
    if (part != nullptr && part->state == PartState::Ended) {
        sendEnd(*part, now);
        return;
    }
    if (!isStarted && message.placement.empty()) {
        forgetPart(message.attempt);
        schedule(now);
        return;
    }
    if (part != nullptr && isHoldOf(*part, message.placement)) {
        endPart(*part, PartEnd::NeverRan, now);
        schedule(now);
        return;
    }
    if (!isStarted) {
        JobSpec spec;
        spec.shape.tasks = static_cast<std::int32_t>(message.placement.size());
        part = &recoverPart(message.attempt, message.home, spec, message.placement, now);
    }
    stop(*part, StopReason::Aborted, now);
}

void Dispatcher::acknowledgeEnd(const EndAcknowledged& message, absl::Time now)
{
    DispatchPart* part = findPart(message.attempt);
    if (part == nullptr || part->state != PartState::Ended)
        return;
    for (const DispatchTask& task : part->tasks) {
        WorkerSession* session = findWorker(task.placement.worker);
        if (session != nullptr && part->hasBeenStarted)
            session->tasksToForget.push_back({ part->attempt.job, part->attempt.attempt, task.placement.index });
    }
    m_parts.erase(message.attempt);
    schedule(now);
}

void Dispatcher::forgetPart(const AttemptId& attempt)
{
    const auto found = m_parts.find(attempt);
    if (found == m_parts.end())
        return;
    m_queue->remove(attempt);
    m_pool->vacateAll(attempt);
    m_parts.erase(found);
    m_isScheduleDue = true;
}

void Dispatcher::stop(DispatchPart& part, StopReason reason, absl::Time now)
{
    if (part.state == PartState::Ended)
        return;
    if (part.state == PartState::Stopping) {
        // An abort does not wait for a checkpoint.
        if (reason == StopReason::Aborted)
            part.graceUntil = now;
    } else {
        part.state = PartState::Stopping;
        part.stopReason = reason;
    }
    drivePart(part, now);
}

void Dispatcher::drivePart(DispatchPart& part, absl::Time now)
{
    if (!part.hasBeenStarted || part.state == PartState::Ended)
        return;
    for (DispatchTask& task : part.tasks)
        driveTask(part, task, now);
    updatePartState(part, now);
}

void Dispatcher::driveTask(DispatchPart& part, DispatchTask& task, absl::Time now)
{
    if (isSettled(task))
        return;
    WorkerSession* session = findWorker(task.placement.worker);
    const bool isOtherIncarnation
        = session != nullptr && !session->incarnation.empty() && session->incarnation != task.placement.incarnation;
    const bool isGone = session == nullptr || session->isGone || isOtherIncarnation;
    const bool isUnsent = task.knowledge == TaskKnowledge::Unsent;
    if (isUnsent && (isGone || part.state == PartState::Stopping)) {
        task.knowledge = TaskKnowledge::Reported;
        task.report.state = TaskState::NeverStarted;
        return;
    }
    if (isGone) {
        task.knowledge = TaskKnowledge::Lost;
        return;
    }
    if (task.openCall != 0 || task.retryAt > now)
        return;
    // The retry is due now. If retryAt stayed in the past, nextWake() would return it over and over when there is
    // nothing to send, as after a failed start, which only a heartbeat resolves.
    task.retryAt = absl::InfinitePast();
    if (session->incarnation.empty())
        return;
    if (part.state == PartState::Stopping) {
        sendStop(part, task, now);
        return;
    }
    if (isUnsent)
        sendStart(part, task, now);
    else if (part.state == PartState::Released && task.report.state == TaskState::Prepared)
        callForTask(part, task, ReleaseTask { task.report.task }, now);
}

void Dispatcher::sendStart(const DispatchPart& part, DispatchTask& task, absl::Time now)
{
    StartTask start;
    start.task = { part.attempt.job, part.attempt.attempt, task.placement.index };
    start.incarnation = task.placement.incarnation;
    start.isPrepared = isGang(part);
    start.demand = requestOf(part).demandPerTask;
    start.service = part.spec.service;
    start.payload = part.spec.payload;
    start.checkpoint = part.checkpoint;
    task.report.task = start.task;
    task.knowledge = TaskKnowledge::Unresolved;
    // A heartbeat does not resolve the task until the start itself has been answered or has failed.
    task.unresolvedSince = absl::InfiniteFuture();
    WorkerSession* session = findWorker(task.placement.worker);
    session->tasks.insert(start.task);
    if (m_health.fitness(task.placement.worker, now) == WorkerFitness::MayProbe) {
        m_health.beginProbe(task.placement.worker, now);
        refreshAvailability(*session, now);
    }
    callForTask(part, task, std::move(start), now);
}

void Dispatcher::sendStop(const DispatchPart& part, DispatchTask& task, absl::Time now)
{
    const bool mayCheckpoint = task.report.state == TaskState::Running && task.report.checkpoint.empty();
    const bool isInGrace = part.stopReason == StopReason::Evicted && now < part.graceUntil && mayCheckpoint;
    if (!isInGrace) {
        callForTask(part, task, StopTask { task.report.task }, now);
        return;
    }
    if (!task.isCheckpointRequested) {
        task.isCheckpointRequested = true;
        callForTask(part, task, CheckpointTask { task.report.task }, now);
        return;
    }
    // Heartbeat replies report the checkpoint once it is written.
    task.retryAt = part.graceUntil;
}

void Dispatcher::callForTask(const DispatchPart& part, DispatchTask& task, WorkerCommand command, absl::Time now)
{
    WorkerSession* session = findWorker(task.placement.worker);
    const bool isStart = std::holds_alternative<StartTask>(command);
    session->lastRenewalSentAt = now;
    const WorkerCall call { { m_name, m_epoch }, taskLease, std::move(command) };
    task.openCall = m_outbox.toWorker(session->vm, call);
    m_calls.emplace(task.openCall,
        OpenCall {
            session->vm.worker, { part.attempt.job, part.attempt.attempt, task.placement.index }, false, isStart });
}

void Dispatcher::updatePartState(DispatchPart& part, absl::Time now)
{
    const bool areAllSettled = std::all_of(part.tasks.begin(), part.tasks.end(), isSettled);
    if (areAllSettled) {
        endPart(part, endOf(part), now);
        return;
    }
    const bool hasUnsuccessfulTask = std::any_of(part.tasks.begin(), part.tasks.end(), hasEndedUnsuccessfully);
    if (hasUnsuccessfulTask && part.state != PartState::Stopping) {
        stop(part, StopReason::PeerTaskEnded, now);
        return;
    }
    const bool areAllConfirmed = std::all_of(part.tasks.begin(), part.tasks.end(), isConfirmed);
    if (part.state == PartState::Starting && areAllConfirmed) {
        part.state = part.isReleaseRequested ? PartState::Released : PartState::Prepared;
        m_outbox.toShard(part.home, AttemptPrepared { part.attempt, m_name });
        if (part.isReleaseRequested)
            drivePart(part, now);
    }
}

void Dispatcher::endPart(DispatchPart& part, PartEnd end, absl::Time now)
{
    part.state = PartState::Ended;
    part.end = end;
    part.endSendCount = 0;
    m_queue->remove(part.attempt);
    m_pool->vacateAll(part.attempt);
    for (const DispatchTask& task : part.tasks)
        recordTaskLoad(part, task, now);
    for (const DispatchTask& task : part.tasks) {
        if (WorkerSession* session = findWorker(task.placement.worker))
            session->tasks.erase({ part.attempt.job, part.attempt.attempt, task.placement.index });
    }
    m_isScheduleDue = true;
    sendEnd(part, now);
}

void Dispatcher::sendEnd(DispatchPart& part, absl::Time now)
{
    PartEnded ended;
    ended.attempt = part.attempt;
    ended.shard = m_name;
    ended.end = part.end;
    for (const DispatchTask& task : part.tasks) {
        ended.tasks.push_back(task.report);
        if (task.report.state == TaskState::Failed && task.knowledge == TaskKnowledge::Reported)
            ended.message = task.report.result;
    }
    ended.checkpoint = checkpointOf(part);
    m_outbox.toShard(part.home, std::move(ended));
    part.endSendAt = now
        + backoffCeiling(peerRetryPeriod, maxEndRetryPeriod, part.endSendCount++) * (0.75 + 0.5 * m_random.uniform());
}

void Dispatcher::setDirectory(DirectorySnapshot directory, absl::Time now)
{
    const DirectorySnapshot previous = std::exchange(m_directory, std::move(directory));
    std::vector<Guarantee> guarantees;
    for (const auto& [name, guarantee] : m_directory->guarantees) {
        if (guarantee.shard == m_name)
            guarantees.push_back(guarantee);
    }
    std::sort(guarantees.begin(), guarantees.end(),
        [](const Guarantee& left, const Guarantee& right) { return left.name < right.name; });
    m_pool->setGuarantees(guarantees);
    std::vector<Service> services;
    for (const auto& [name, service] : m_directory->services)
        services.push_back(service);
    m_pool->setServices(services);
    m_pool->setPolicy(m_directory->policy);
    std::vector<Organisation> organisations;
    for (const auto& [name, organisation] : m_directory->organisations)
        organisations.push_back(organisation);
    m_queue->setOrganisations(organisations);
    for (auto& [name, session] : m_workers)
        refreshAvailability(session, now);
    for (auto& [attempt, part] : m_parts) {
        const auto before = previous->owners.find(part.home);
        const auto after = m_directory->owners.find(part.home);
        const bool hasMoved = after != m_directory->owners.end()
            && (before == previous->owners.end() || before->second.record.epoch != after->second.record.epoch);
        if (part.state == PartState::Ended && hasMoved) {
            part.endSendCount = 0;
            part.endSendAt = now + peerRetryPeriod * m_random.uniform();
        }
    }
    m_isScheduleDue = true;
    schedule(now);
}

void Dispatcher::wake(absl::Time now)
{
    if (m_isDeposed)
        return;
    expireHolds(now);
    for (auto& [name, session] : m_workers) {
        refreshAvailability(session, now);
        if (haveLeasesLapsed(session, now))
            markTasksLost(session, now);
        if (session.heartbeatAt <= now && session.heartbeatCall == 0)
            sendHeartbeat(session, now);
    }
    for (auto& [attempt, part] : m_parts) {
        if (part.state == PartState::Ended && part.endSendAt <= now)
            sendEnd(part, now);
        else
            drivePart(part, now);
    }
    schedule(now);
}

absl::Time Dispatcher::nextWake() const
{
    absl::Time next = absl::InfiniteFuture();
    if (m_isPassDelayed && !m_isDeposed)
        next = m_pacer.mayBeginAt();
    for (const auto& [name, session] : m_workers) {
        if (session.heartbeatCall == 0)
            next = std::min(next, session.heartbeatAt);
    }
    for (const auto& [attempt, part] : m_parts) {
        if (part.state == PartState::Held)
            next = std::min(next, part.holdUntil);
        if (part.state == PartState::Ended)
            next = std::min(next, part.endSendAt);
        for (const DispatchTask& task : part.tasks) {
            const bool isRetrying = part.hasBeenStarted && part.state != PartState::Ended && !isSettled(task);
            if (isRetrying && task.openCall == 0 && task.retryAt != absl::InfinitePast())
                next = std::min(next, task.retryAt);
        }
    }
    return next;
}

} // namespace mangohall
