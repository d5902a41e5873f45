// The end of an attempt: its outcome, and the next attempt or the end of the job.
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

// The total size of the results that the ledger keeps for one job.
constexpr std::size_t maxResultBytes = 256ULL * 1024;

} // namespace

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
    job.nextRequestAt = nextAttemptTime(job.record.attempt, now);
    ++m_queuedByOrganisation[job.record.key.organisation];
    markChanged(job);
    if (job.record.isCancelRequested) {
        endJob(job, ErrorKind::CancelledBeforeRun, "cancelled before any task ran", now);
        return;
    }
    advance(job, now);
}

} // namespace mangohall
