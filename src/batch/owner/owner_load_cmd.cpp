// What the owner reads from the store: the progress that an earlier owner has written, jobs, cancellations and workers.
#include "batch/owner/owner_part_base.h"

#include <utility>

#include "batch/policy/capacity_index_base.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration listTimeout = absl::Seconds(2);
constexpr absl::Duration requestPause = absl::Seconds(10);
constexpr absl::Duration memoryReviewPeriod = absl::Milliseconds(500);
// How long the details of an ended job are kept, for what its workers still list of it.
constexpr absl::Duration settledJobPeriod = absl::Seconds(10);

} // namespace

void OwnerPart::applyOwnershipUpdate(const OwnershipUpdate& update, absl::Time now)
{
    if (!update.isTaken && !update.isLost)
        return;
    DecisionEffect decision;
    decision.kind = update.isTaken ? DecisionEffect::Kind::OwnershipTaken : DecisionEffect::Kind::OwnershipLost;
    decision.reason = update.reason;
    decision.epoch = m_ownership.epoch();
    decision.processorShare = update.isTaken ? m_settings.processorShare : 0;
    m_outbox.log(std::move(decision));
    // A node that has lost the ownership by itself does not ask for it at once.
    if (update.isLost && !m_isYielding)
        m_request.pauseUntil(now + requestPause);
    m_isYielding = false;
    m_jobs.clear();
    m_workers.reset(m_ownership.epoch(), now);
    m_writer.reset();
    m_jobFollower.stop();
    m_workerFollower.stop();
    m_loading = Loading();
    m_deferredCall = 0;
    m_deferredRetryAt = absl::InfinitePast();
    m_allocatedAt = now;
    m_wasWorkerListCurrent = true;
    m_wereEvacuationsCurrent = true;
}

void OwnerPart::advanceLoading(absl::Time now)
{
    if (now < m_loading.retryAt)
        return;
    if (!m_loading.hasProgress && m_loading.progressCall == 0)
        m_loading.progressCall
            = m_outbox.toStore(ReadPage { Collection::Progress, m_loading.nextProgressPage }, listTimeout);
    if (!m_loading.hasCounts && m_loading.countsCall == 0)
        m_loading.countsCall = m_outbox.toStore(ReadRecord { { Collection::QueueCounts, "" } }, listTimeout);
    if (!m_loading.hasAdmission && m_loading.admissionCall == 0)
        m_loading.admissionCall = m_outbox.toStore(ReadRecord { { Collection::Admission, "" } }, listTimeout);
    const bool isRead = m_loading.hasProgress && m_loading.hasCounts && m_loading.hasAdmission && m_loading.hasJobs
        && m_loading.hasWorkers;
    if (isRead && !m_loading.isDone)
        finishLoading(now);
}

void OwnerPart::applyProgress(const StoreReply& reply, absl::Time now)
{
    m_loading.progressCall = 0;
    if (!reply.status.ok()) {
        m_loading.retryAt = now + loadRetryPeriod;
        return;
    }
    m_loading.nextProgressPage = reply.nextPage;
    m_loading.hasProgress = reply.nextPage.empty();
    for (const Record& record : reply.records) {
        if (const auto* progress = std::get_if<ProgressRecord>(&record.value))
            m_jobs.addProgress(JobId(record.key.name), *progress, record.revision);
        else
            logUnreadable(record);
    }
}

void OwnerPart::applyCounts(const StoreReply& reply, absl::Time now)
{
    m_loading.countsCall = 0;
    const bool isAbsent = errorKindOf(reply.status) == ErrorKind::NotFound;
    if (!reply.status.ok() && !isAbsent) {
        m_loading.retryAt = now + loadRetryPeriod;
        return;
    }
    m_loading.hasCounts = true;
    if (isAbsent || reply.records.empty())
        return;
    const Record& record = reply.records.front();
    const auto* counts = std::get_if<QueueCounts>(&record.value);
    m_writer.setWrittenCounts(counts == nullptr ? QueueCounts() : *counts, record.revision);
}

void OwnerPart::applyAdmission(const StoreReply& reply, absl::Time now)
{
    m_loading.admissionCall = 0;
    const bool isAbsent = errorKindOf(reply.status) == ErrorKind::NotFound;
    if (!reply.status.ok() && !isAbsent) {
        m_loading.retryAt = now + loadRetryPeriod;
        return;
    }
    m_loading.hasAdmission = true;
    if (isAbsent || reply.records.empty())
        return;
    const Record& record = reply.records.front();
    const auto* limit = std::get_if<AdmissionLimit>(&record.value);
    m_writer.setWrittenAdmission(limit == nullptr ? AdmissionLimit() : *limit, record.revision);
}

// Called once everything has been read. Runs that the store lists as placed use capacity until their workers have
// replied to a poll.
void OwnerPart::finishLoading(absl::Time now)
{
    m_loading.isDone = true;
    m_loading.doneAt = now;
    for (auto& [id, entry] : m_jobs.entries())
        adoptRuns(entry, now);
    // A worker without a row is never called, so this is the only occasion.
    std::vector<WorkerName> workers;
    for (const auto& [worker, session] : m_workers.sessions())
        workers.push_back(worker);
    for (const WorkerName& worker : workers)
        recordLapses(worker, now);
    std::vector<JobId> cancelled;
    for (const auto& [id, entry] : m_jobs.entries()) {
        if (m_jobs.isCancelled(id))
            cancelled.push_back(id);
    }
    for (const auto& [id, job] : m_jobs.deferred()) {
        if (m_jobs.isCancelled(id))
            cancelled.push_back(id);
    }
    for (const JobId& job : cancelled)
        cancelJob(job, now);
    m_isAllocationDue = true;
}

void OwnerPart::reviewMemory(absl::Time now)
{
    if (now < m_memoryReviewedAt + memoryReviewPeriod)
        return;
    m_memoryReviewedAt = now;
    m_jobs.reviewMemory(now - settledJobPeriod);
}

void OwnerPart::loadDeferred(absl::Time now)
{
    if (m_deferredCall != 0 || now < m_deferredRetryAt)
        return;
    const absl::optional<JobId> next = m_jobs.nextDeferred();
    if (!next)
        return;
    m_deferredJob = *next;
    m_deferredCall = m_outbox.toStore(ReadRecord { { Collection::Jobs, next->str() } }, listTimeout);
}

void OwnerPart::applyDeferred(const StoreReply& reply, absl::Time now)
{
    m_deferredCall = 0;
    const bool isAbsent = errorKindOf(reply.status) == ErrorKind::NotFound;
    if (!reply.status.ok() && !isAbsent) {
        m_deferredRetryAt = now + loadRetryPeriod;
        return;
    }
    // It may have been cancelled meanwhile.
    if (!m_jobs.isDeferred(m_deferredJob))
        return;
    m_jobs.removeDeferred(m_deferredJob);
    const auto* job = isAbsent || reply.records.empty() ? nullptr : std::get_if<Job>(&reply.records.front().value);
    if (job != nullptr)
        holdJob(*job, reply.records.front().revision, now);
}

void OwnerPart::adoptRuns(JobEntry& entry, absl::Time now)
{
    for (const TaskRef& task : entry.progress.placedTasks()) {
        const TaskProgress& placed = *entry.progress.find(task);
        const RunKey run { { entry.progress.job().id, task }, placed.attempt };
        WorkerSession& session = m_workers.findOrAdd(placed.worker, placed.workerProcessStartMs);
        session.adopt(run, countedDemand(entry.progress.stepSpec(task.step)),
            { placed.workerProcessStartMs, placed.earlierCommandsUntilMs }, entry.progress.isLastAttemptStarted(task),
            now, placed.lapsesByMs);
    }
    for (const TaskRef& task : entry.progress.startableDoneTasks()) {
        const TaskProgress& done = *entry.progress.find(task);
        WorkerSession& session = m_workers.findOrAdd(done.worker, done.workerProcessStartMs);
        session.adoptDone({ { entry.progress.job().id, task }, done.attempt },
            countedDemand(entry.progress.stepSpec(task.step)), now);
    }
    if (entry.progress.isFinal())
        stopRunsOf(entry, now);
}

void OwnerPart::applyJobs(const CollectionUpdate& update, absl::Time now)
{
    for (const Record& record : update.records) {
        const JobId id(record.key.name);
        if (const auto* job = std::get_if<Job>(&record.value)) {
            addJob(*job, record.revision, now);
        } else if (std::holds_alternative<Cancellation>(record.value)) {
            m_jobs.addCancellation(id);
            if (m_loading.isDone)
                cancelJob(id, now);
        } else if (std::holds_alternative<UnreadableRecord>(record.value)) {
            logUnreadable(record);
        }
    }
    m_loading.hasJobs = m_loading.hasJobs || update.isComplete;
}

void OwnerPart::addJob(const Job& job, Revision revision, absl::Time now)
{
    if (m_jobs.hasRoomFor(job))
        holdJob(job, revision, now);
    else
        deferJob(job, revision, now);
}

void OwnerPart::holdJob(const Job& job, Revision revision, absl::Time now)
{
    if (!m_jobs.add(job, revision) || !m_loading.isDone)
        return;
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobAdded;
    decision.job = job.id.str();
    decision.queue = job.queue.str();
    decision.organisation = job.organisation.str();
    decision.age = now - job.acceptedAt;
    m_outbox.log(std::move(decision));
    m_jobs.find(job.id)->wait.recordAdded(now);
    m_isAllocationDue = true;
    if (m_jobs.isCancelled(job.id))
        cancelJob(job.id, now);
}

void OwnerPart::deferJob(const Job& job, Revision revision, absl::Time now)
{
    m_jobs.defer(job, revision);
    if (!m_jobs.isDeferred(job.id))
        return;
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobDeferred;
    decision.job = job.id.str();
    decision.queue = job.queue.str();
    decision.organisation = job.organisation.str();
    decision.age = now - job.acceptedAt;
    m_outbox.log(std::move(decision));
    if (m_loading.isDone && m_jobs.isCancelled(job.id))
        cancelJob(job.id, now);
}

void OwnerPart::cancelJob(const JobId& job, absl::Time now)
{
    JobEntry* entry = m_jobs.isDeferred(job) ? &m_jobs.addDeferredForCancellation(job) : m_jobs.find(job);
    if (entry == nullptr || !entry->progress.cancel(now))
        return;
    m_jobs.markDirty(*entry);
    stopRunsOf(*entry, now);
    logJobEnd(*entry, now);
}

void OwnerPart::applyWorkers(const CollectionUpdate& update, absl::Time now)
{
    for (const Record& record : update.records) {
        if (std::holds_alternative<UnreadableRecord>(record.value))
            logUnreadable(record);
    }
    m_workers.applyRecords(update, now);
    m_loading.hasWorkers = m_loading.hasWorkers || update.isComplete;
    m_isAllocationDue = true;
}

} // namespace mangohall::batch
