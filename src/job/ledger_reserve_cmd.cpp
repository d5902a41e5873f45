// The reservation of capacity for a queued job, up to the claim.
#include <algorithm>

#include "core/backoff_func.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// Capacity requests that a shard may leave unanswered before the job is offered to another shard.
constexpr int requestsBeforeMoving = 3;
// The delay between a refused or failed attempt and the next one.
constexpr absl::Duration firstAttemptRetry = absl::Milliseconds(50);
constexpr absl::Duration maxAttemptRetry = absl::Seconds(5);

} // namespace

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

void JobLedger::offerWholeJob(LedgerJob& job, const ShardName& shard)
{
    AttemptPart part;
    part.shard = shard;
    part.tasks = job.record.spec.shape.tasks;
    job.parts.push_back(std::move(part));
}

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
    job->nextRequestAt = nextAttemptTime(job->sendCount, now);
    drive(*job, now);
}

absl::Time JobLedger::nextAttemptTime(int failures, absl::Time now)
{
    return now + fullJitter(firstAttemptRetry, maxAttemptRetry, failures, m_random);
}

} // namespace mangohall
