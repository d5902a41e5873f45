// The steps of an attempt: request capacity, claim, start, release, finish.
#include <algorithm>

#include "core/backoff_func.h"
#include "core/error_func.h"
#include "core/time_const.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// The longest delay between repetitions of a message, reached when a shard does not answer or its state does not
// change.
constexpr absl::Duration maxPeerRetry = absl::Seconds(30);
// Capacity requests that a shard may leave unanswered before the job is offered to another shard.
constexpr int requestsBeforeMoving = 3;
// The delay between a refused or failed attempt and the next one.
constexpr absl::Duration firstAttemptRetry = absl::Milliseconds(50);
constexpr absl::Duration maxAttemptRetry = absl::Seconds(5);
// The retry count at which the delay has reached maxPeerRetry. Messages of an attempt that runs start from this count.
constexpr int sendCountAtMaxRetry = 6;
// The total size of the results that the ledger keeps for one job.
constexpr std::size_t maxResultBytes = 256ULL * 1024;

bool allInPhase(absl::Span<const AttemptPart> parts, PartPhase phase)
{
    return !parts.empty()
        && std::all_of(parts.begin(), parts.end(), [phase](const AttemptPart& part) { return part.phase == phase; });
}

absl::Time deadlineOf(const JobRecord& record)
{
    return record.acceptedAt + record.spec.deadline;
}

} // namespace

LedgerJob* JobLedger::findAttempt(const AttemptId& attempt)
{
    const auto found = m_jobs.find(attempt.job);
    if (found == m_jobs.end() || found->second.record.attempt != attempt.attempt)
        return nullptr;
    return &found->second;
}

AttemptPart* JobLedger::findPart(LedgerJob& job, const ShardName& shard)
{
    for (AttemptPart& part : job.parts) {
        if (part.shard == shard)
            return &part;
    }
    return nullptr;
}

void JobLedger::wakeJobAt(LedgerJob& job, absl::Time at)
{
    m_timers.erase({ job.wakeAt, job.record.key });
    job.wakeAt = at;
    if (at != absl::InfiniteFuture())
        m_timers.insert({ at, job.record.key });
}

void JobLedger::scheduleRetry(LedgerJob& job, absl::Time now)
{
    const absl::Duration delay = backoffCeiling(peerRetryPeriod, maxPeerRetry, job.sendCount++);
    absl::Time at = now + delay * (0.75 + 0.5 * m_random.uniform());
    if (job.record.phase == JobPhase::Queued && job.record.spec.deadline != absl::InfiniteDuration())
        at = std::min(at, std::max(now, deadlineOf(job.record)) + absl::Milliseconds(1));
    wakeJobAt(job, at);
}

void JobLedger::advance(LedgerJob& job, absl::Time now)
{
    job.sendCount = 0;
    drive(job, now);
}

void JobLedger::handleDurableRecord(LedgerJob& job, absl::Time now)
{
    for (const EndToAcknowledge& end : std::exchange(job.acknowledgements, {}))
        m_outbox.toShard(end.shard, EndAcknowledged { end.attempt });
    const bool isStarted = job.record.phase == JobPhase::Claimed || job.record.phase == JobPhase::Released;
    if (job.record.isCancelRequested && isStarted)
        job.isStopping = true;
    notifyListeners(job);
    advance(job, now);
}

void JobLedger::drive(LedgerJob& job, absl::Time now)
{
    switch (job.record.phase) {
    case JobPhase::Queued:
        driveQueued(job, now);
        break;
    case JobPhase::Claimed:
    case JobPhase::Released:
        driveStarted(job, now);
        break;
    case JobPhase::Ended:
        wakeJobAt(job, absl::InfiniteFuture());
        break;
    }
}

void JobLedger::driveQueued(LedgerJob& job, absl::Time now)
{
    if (deadlineOf(job.record) <= now) {
        for (const AttemptPart& part : job.parts)
            abortPart(job, part);
        endJob(job, ErrorKind::DeadlineMissed, "the deadline passed while the job was waiting", now);
        return;
    }
    if (job.nextRequestAt > now) {
        wakeJobAt(job, job.nextRequestAt);
        return;
    }
    moveToFreeCapacity(job);
    if (job.parts.empty())
        chooseParts(job);
    for (const AttemptPart& part : job.parts) {
        if (part.phase != PartPhase::Requested)
            continue;
        ReserveCapacity reserve;
        reserve.attempt = { job.record.key, job.record.attempt };
        reserve.home = m_name;
        reserve.spec = job.record.spec;
        reserve.spec.shape.tasks = part.tasks;
        reserve.checkpoint = job.record.checkpoint;
        reserve.firstTask = part.firstTask;
        reserve.acceptedAt = job.record.acceptedAt;
        m_outbox.toShard(part.shard, std::move(reserve));
    }
    scheduleRetry(job, now);
}

// Adds one part with all tasks of the job.
void JobLedger::offerWholeJob(LedgerJob& job, const ShardName& shard)
{
    AttemptPart part;
    part.shard = shard;
    part.tasks = job.record.spec.shape.tasks;
    job.parts.push_back(std::move(part));
}

// Moves a job that has waited in one shard for several requests to another shard that could start it now.
void JobLedger::moveToFreeCapacity(LedgerJob& job)
{
    const bool isWaitingInOneShard = job.parts.size() == 1 && job.parts.front().phase == PartPhase::Requested;
    if (!isWaitingInOneShard || job.sendCount < requestsBeforeMoving)
        return;
    const absl::optional<ShardName> better = shardWithCapacity(job.record, *m_directory, m_capacities);
    const bool isRefused
        = better && std::find(job.refusedBy.begin(), job.refusedBy.end(), *better) != job.refusedBy.end();
    if (!better || isRefused || *better == job.parts.front().shard)
        return;
    abortPart(job, job.parts.front());
    job.parts.clear();
    offerWholeJob(job, *better);
}

void JobLedger::chooseParts(LedgerJob& job)
{
    for (const ShardName& shard : routeOrder(job.record, *m_directory, m_capacities)) {
        const bool hasRefused = std::find(job.refusedBy.begin(), job.refusedBy.end(), shard) != job.refusedBy.end();
        if (hasRefused)
            continue;
        offerWholeJob(job, shard);
        return;
    }
    if (!job.refusedBy.empty())
        job.parts = splitOverShards(job.record, *m_directory, m_capacities);
}

void JobLedger::handleCapacityHeld(const CapacityHeld& message, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    LedgerJob* job = findAttempt(message.attempt);
    AttemptPart* part = job == nullptr ? nullptr : findPart(*job, message.shard);
    if (part == nullptr || job->record.phase == JobPhase::Ended) {
        // The capacity is held for an attempt that is over.
        m_outbox.toShard(message.shard, AbortAttempt { message.attempt, m_name, {} });
        return;
    }
    if (job->record.phase != JobPhase::Queued)
        return;
    const bool matchesPart = static_cast<std::int32_t>(message.placement.size()) == part->tasks
        && message.placement.front().index == part->firstTask;
    if (!matchesPart) {
        // The capacity is held for an earlier request; the job has been split differently since.
        m_outbox.toShard(message.shard, AbortAttempt { message.attempt, m_name, {} });
        return;
    }
    part->placement = message.placement;
    part->phase = PartPhase::Held;
    claimIfHeld(*job, now);
    writeChangedBuckets(now);
}

void JobLedger::claimIfHeld(LedgerJob& job, absl::Time now)
{
    if (!allInPhase(job.parts, PartPhase::Held))
        return;
    job.record.placement.clear();
    for (const AttemptPart& part : job.parts)
        job.record.placement.insert(job.record.placement.end(), part.placement.begin(), part.placement.end());
    job.record.phase = JobPhase::Claimed;
    --m_queuedByOrganisation[job.record.key.organisation];
    markChanged(job);
    advance(job, now);
}

void JobLedger::handleCapacityRefused(const CapacityRefused& message, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    LedgerJob* job = findAttempt(message.attempt);
    if (job == nullptr || job->record.phase != JobPhase::Queued)
        return;
    const AttemptPart* requested = findPart(*job, message.shard);
    const bool isPresent
        = requested != nullptr && requested->firstTask == message.firstTask && requested->tasks == message.tasks;
    if (!isPresent)
        return;
    const bool isSplit = job->parts.size() > 1;
    for (const AttemptPart& part : job->parts) {
        if (part.shard != message.shard)
            abortPart(*job, part);
    }
    job->parts.clear();
    if (message.kind == ErrorKind::NeverFits) {
        job->refusedBy.push_back(message.shard);
        chooseParts(*job);
        if (job->parts.empty() || isSplit) {
            job->parts.clear();
            endJob(*job, ErrorKind::NeverFits, message.message, now);
            writeChangedBuckets(now);
            return;
        }
    }
    job->nextRequestAt = now + fullJitter(firstAttemptRetry, maxAttemptRetry, job->sendCount, m_random);
    drive(*job, now);
}

void JobLedger::driveStarted(LedgerJob& job, absl::Time now)
{
    const bool isWaitingForStore = !isDurable(job);
    for (const AttemptPart& part : job.parts) {
        if (part.phase == PartPhase::Ended)
            continue;
        if (job.isStopping) {
            abortPart(job, part);
            continue;
        }
        if (isWaitingForStore)
            continue;
        const AttemptId attempt { job.record.key, job.record.attempt };
        if (job.record.phase == JobPhase::Released)
            m_outbox.toShard(part.shard, ReleaseAttempt { attempt, m_name, job.record.spec, part.placement });
        else
            m_outbox.toShard(
                part.shard, StartAttempt { attempt, m_name, job.record.spec, job.record.checkpoint, part.placement });
    }
    scheduleRetry(job, now);
}

void JobLedger::handleAttemptPrepared(const AttemptPrepared& message, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    LedgerJob* job = findAttempt(message.attempt);
    AttemptPart* part = job == nullptr ? nullptr : findPart(*job, message.shard);
    if (part == nullptr || job->record.phase != JobPhase::Claimed || part->phase == PartPhase::Ended)
        return;
    part->phase = PartPhase::Prepared;
    releaseIfPrepared(*job, now);
    writeChangedBuckets(now);
}

void JobLedger::releaseIfPrepared(LedgerJob& job, absl::Time now)
{
    if (job.isStopping || !isDurable(job) || !allInPhase(job.parts, PartPhase::Prepared))
        return;
    if (job.record.releasedAt == absl::InfiniteFuture()) {
        job.record.releasedAt = now;
        observeStart(job);
    }
    if (job.record.spec.shape.tasks == 1) {
        // A single task runs as soon as it is started: there is nothing to release and nothing to make durable.
        job.sendCount = std::max(job.sendCount, sendCountAtMaxRetry);
        return;
    }
    job.record.phase = JobPhase::Released;
    markChanged(job);
    advance(job, now);
}

void JobLedger::observeStart(const LedgerJob& job)
{
    if (job.record.spec.priority != Priority::Urgent)
        return;
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::UrgentStart;
    observation.organisation = job.record.key.organisation;
    observation.service = job.record.spec.service;
    observation.shard = m_name;
    observation.subject = toText(job.record.key);
    observation.duration = job.record.releasedAt - job.record.acceptedAt;
    observation.epoch = m_epoch;
    observation.isWithinObjective = observation.duration <= urgentStartBound;
    m_outbox.observe(std::move(observation));
}

void JobLedger::handlePartEnded(const PartEnded& message, absl::Time now)
{
    if (!m_isServing || m_isDeposed)
        return;
    const auto found = m_jobs.find(message.attempt.job);
    const bool isOver = found == m_jobs.end() || found->second.record.phase == JobPhase::Ended
        || found->second.record.attempt > message.attempt.attempt;
    if (isOver) {
        // The end is already recorded. The building shard may forget the part once the record is durable.
        if (found == m_jobs.end() || isDurable(found->second))
            m_outbox.toShard(message.shard, EndAcknowledged { message.attempt });
        return;
    }
    LedgerJob& job = found->second;
    AttemptPart* part = findPart(job, message.shard);
    if (part == nullptr || part->phase == PartPhase::Ended || job.record.attempt != message.attempt.attempt)
        return;
    if (job.record.phase == JobPhase::Queued) {
        // The hold lapsed before every part was held: request the capacity again.
        part->phase = PartPhase::Requested;
        part->placement.clear();
        m_outbox.toShard(message.shard, EndAcknowledged { message.attempt });
        scheduleRetry(job, now);
        return;
    }
    part->phase = PartPhase::Ended;
    part->end = message.end;
    part->message = message.message;
    part->checkpoint = message.checkpoint;
    part->reports = message.tasks;
    job.acknowledgements.push_back({ message.shard, message.attempt });
    if (message.end != PartEnd::Succeeded)
        stopParts(job, now);
    finishIfEnded(job, now);
    writeChangedBuckets(now);
}

void JobLedger::stopParts(LedgerJob& job, absl::Time now)
{
    if (job.isStopping)
        return;
    job.isStopping = true;
    advance(job, now);
}

void JobLedger::abortPart(const LedgerJob& job, const AttemptPart& part)
{
    const bool isClaimed = job.record.phase != JobPhase::Queued;
    AbortAttempt abort { { job.record.key, job.record.attempt }, m_name, {} };
    if (isClaimed)
        abort.placement = part.placement;
    m_outbox.toShard(part.shard, std::move(abort));
}

void JobLedger::finishIfEnded(LedgerJob& job, absl::Time now)
{
    if (!allInPhase(job.parts, PartPhase::Ended))
        return;
    const AttemptOutcome outcome = decideOutcome(job.record, job.parts);
    if (outcome.decision == AttemptDecision::Retry) {
        retryJob(job, outcome.checkpoint, now);
        return;
    }
    job.record.results.assign(job.record.spec.shape.tasks, std::string());
    std::size_t bytes = 0;
    for (const AttemptPart& part : job.parts) {
        for (const TaskReport& report : part.reports) {
            bytes += report.result.size();
            const bool isInRange
                = report.task.index >= 0 && static_cast<std::size_t>(report.task.index) < job.record.results.size();
            if (isInRange)
                job.record.results[report.task.index] = report.result;
        }
    }
    if (bytes > maxResultBytes) {
        job.record.results.clear();
        endJob(job, ErrorKind::TaskFailed, "the tasks ran, but their results exceed the limit of 256 KiB", now);
        return;
    }
    if (outcome.outcome != ErrorKind::None)
        job.record.results.clear();
    endJob(job, outcome.outcome, outcome.message, now);
}

void JobLedger::endJob(LedgerJob& job, ErrorKind outcome, absl::string_view message, absl::Time now)
{
    if (job.record.phase == JobPhase::Queued)
        --m_queuedByOrganisation[job.record.key.organisation];
    job.record.phase = JobPhase::Ended;
    job.record.outcome = outcome;
    job.record.message = std::string(message);
    job.record.endedAt = now;
    job.record.placement.clear();
    job.parts.clear();
    markChanged(job);
    wakeJobAt(job, absl::InfiniteFuture());
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::JobEnded;
    observation.organisation = job.record.key.organisation;
    observation.service = job.record.spec.service;
    observation.shard = m_name;
    observation.subject = toText(job.record.key);
    observation.duration = now - job.record.acceptedAt;
    observation.outcome = outcome;
    observation.epoch = m_epoch;
    observation.isWithinObjective = now <= deadlineOf(job.record);
    m_outbox.observe(std::move(observation));
}

void JobLedger::retryJob(LedgerJob& job, absl::string_view checkpoint, absl::Time now)
{
    job.record.phase = JobPhase::Queued;
    ++job.record.attempt;
    job.record.checkpoint = std::string(checkpoint);
    job.record.placement.clear();
    job.record.releasedAt = absl::InfiniteFuture();
    job.parts.clear();
    job.isStopping = false;
    job.nextRequestAt = now + fullJitter(firstAttemptRetry, maxAttemptRetry, job.record.attempt, m_random);
    ++m_queuedByOrganisation[job.record.key.organisation];
    markChanged(job);
    if (job.record.isCancelRequested) {
        endJob(job, ErrorKind::CancelledBeforeRun, "cancelled before any task ran", now);
        return;
    }
    advance(job, now);
}

void JobLedger::restoreParts(LedgerJob& job)
{
    for (const TaskPlacement& placement : job.record.placement) {
        AttemptPart* part = findPart(job, placement.shard);
        if (part == nullptr) {
            AttemptPart fresh;
            fresh.shard = placement.shard;
            fresh.firstTask = placement.index;
            fresh.phase = PartPhase::Held;
            job.parts.push_back(std::move(fresh));
            part = &job.parts.back();
        }
        part->placement.push_back(placement);
        ++part->tasks;
    }
}

void JobLedger::setDirectory(DirectorySnapshot directory, absl::Time now)
{
    const DirectorySnapshot previous = std::exchange(m_directory, std::move(directory));
    if (!m_isServing || m_isDeposed)
        return;
    const auto hasNewOwner = [&](const AttemptPart& part) {
        const auto before = previous->owners.find(part.shard);
        const auto after = m_directory->owners.find(part.shard);
        if (after == m_directory->owners.end())
            return false;
        return before == previous->owners.end() || before->second.record.epoch != after->second.record.epoch;
    };
    const bool hasNewShards = previous->shards.size() != m_directory->shards.size();
    for (auto& [key, job] : m_jobs) {
        const bool isAffected = std::any_of(job.parts.begin(), job.parts.end(), hasNewOwner);
        const bool needsParts = job.parts.empty() && hasNewShards && job.record.phase == JobPhase::Queued;
        if (!isAffected && !needsParts)
            continue;
        // The new owner learns of the attempt from this message. A random delay spreads the messages of all jobs.
        job.sendCount = 0;
        wakeJobAt(job, now + peerRetryPeriod * m_random.uniform());
    }
}

void JobLedger::setCapacity(const CapacitySummary& summary)
{
    m_capacities.insert_or_assign(summary.shard, summary);
}

} // namespace mangohall
