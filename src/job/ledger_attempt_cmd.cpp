// The steps of an attempt, apart from the reservation of capacity and the end: start, release and retries of messages.
#include <algorithm>

#include "core/backoff_func.h"
#include "core/time_const.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// The longest delay between repetitions of a message, reached when a shard does not answer or its state does not
// change.
constexpr absl::Duration maxPeerRetry = absl::Seconds(30);
// The retry count at which the delay has reached maxPeerRetry. Messages of an attempt that runs start from this count.
constexpr int sendCountAtMaxRetry = 6;

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

void JobLedger::abortPart(const LedgerJob& job, const AttemptPart& part)
{
    const bool isClaimed = job.record.phase != JobPhase::Queued;
    AbortAttempt abort { { job.record.key, job.record.attempt }, m_name, {} };
    if (isClaimed)
        abort.placement = part.placement;
    m_outbox.toShard(part.shard, std::move(abort));
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
